"""Faults that are injected while convergence is measured."""

from collections.abc import Iterator
import contextlib
import itertools
import random
import signal
import threading
import time
from typing import Any
from typing import Final
from typing import Protocol

import orjson
import urllib3

from lycheestair import fleet as fleet_lib
from lycheestair_standins import link

# Long enough for each side to declare the nodes of the other side dead.
PARTITION_S: Final = 6.0
# Time from a change on one side until the partition ends.
HEAL_DELAY_S: Final = 2.0
CHURN_PERIOD_S: Final = 0.5
LEASE_KIND: Final = "leases"


class Driver(Protocol):
    """Part of measure_convergence.Driver that the faults use."""

    fleet: fleet_lib.Fleet
    changes: list[Any]

    def apply_change(self, attempts: int = 5) -> Any:
        """Applies a change and returns it, or None if it was not accepted."""

    def list_running(self) -> list[fleet_lib.NodeProcess]:
        """Returns the nodes whose process is running."""

    def wait_for_generation(self, generation: int) -> float:
        """Waits until a generation or a later one is active on all nodes.

        Returns:
          The time waited in seconds.
        """


def make_links(fault: str | None) -> link.LinkMesh | None:
    """Returns the links that a fault requires, None if it requires none."""
    return link.LinkMesh() if fault == "partition" else None


def apply_changes(
    driver: Driver, changes: int, fault: str | None, period_s: float
) -> dict[str, Any]:
    """Applies changes, with the fault active during the middle third.

    Returns:
      Results that are specific to the fault, and the number of changes in the
      middle third that were not accepted.
    """
    results: dict[str, Any] = {}
    first, last = changes // 3, 2 * changes // 3
    _apply_periodically(driver, range(first), period_s)
    with _FAULTS[fault](driver, results) if fault else contextlib.nullcontext():
        results["refused"] = _apply_periodically(
            driver, range(first, last), period_s
        )
    _apply_periodically(driver, range(last, changes), period_s)
    return results


def _apply_periodically(driver: Driver, indexes: range, period_s: float) -> int:
    not_accepted = 0
    for _ in indexes:
        started_at = time.monotonic()
        not_accepted += driver.apply_change() is None
        time.sleep(max(0.0, started_at + period_s - time.monotonic()))
    return not_accepted


def _restart(
    driver: Driver, nodes: list[fleet_lib.NodeProcess], results: dict[str, Any]
) -> None:
    started_at = time.monotonic()
    for node in nodes:
        driver.fleet.start_node(node.failure_domain, node.id)
    driver.fleet.wait_until_ready([driver.fleet.nodes[n.id] for n in nodes])
    results["restart_ms"] = round(1000 * (time.monotonic() - started_at))


def _kill(nodes: list[fleet_lib.NodeProcess]) -> None:
    for node in nodes:
        node.process.send_signal(signal.SIGKILL)
    for node in nodes:
        node.process.wait()


@contextlib.contextmanager
def _take_store_down(driver: Driver, results: dict[str, Any]) -> Iterator[None]:
    """Makes the store unavailable and restarts a node meanwhile."""
    driver.fleet.set_store_faults(down=True)
    restarted = driver.list_running()[-1:]
    _kill(restarted)
    _restart(driver, restarted, results)
    yield
    driver.fleet.set_store_faults()


@contextlib.contextmanager
def _lose_store_responses(
    driver: Driver, results: dict[str, Any]
) -> Iterator[None]:
    driver.fleet.set_store_faults(lose_answers=5)
    yield
    driver.fleet.set_store_faults()


@contextlib.contextmanager
def _restart_half_of_nodes(
    driver: Driver, results: dict[str, Any]
) -> Iterator[None]:
    restarted = driver.list_running()[::2]
    _kill(restarted)
    _restart(driver, restarted, results)
    yield


@contextlib.contextmanager
def _isolate_region(driver: Driver, results: dict[str, Any]) -> Iterator[None]:
    """Cuts a region off from the others and the store, and applies a change.

    The partition has ended when the context is entered.
    """
    links = driver.fleet.links
    assert links is not None
    region = list(driver.fleet.profile.regions)[-1]
    nodes = driver.list_running()
    isolated = [str(n.id) for n in nodes if n.region == region]
    others = [str(n.id) for n in nodes if n.region != region]
    links.partition(isolated, [*others, fleet_lib.STORE_NAME])
    time.sleep(PARTITION_S)
    change = None
    while change is None:
        # None if all nodes that were tried are cut off from the store.
        change = driver.apply_change()
    time.sleep(HEAL_DELAY_S)
    links.clear_faults()
    # Excluded from the convergence times, because the isolated region cannot
    # receive it before the partition heals.
    driver.changes.remove(change)
    results["after_heal_ms"] = round(
        1000 * driver.wait_for_generation(change.generation)
    )
    yield


@contextlib.contextmanager
def _kill_feeder(driver: Driver, results: dict[str, Any]) -> Iterator[None]:
    region = list(driver.fleet.profile.regions)[-1]
    holder = driver.fleet.read_lease_holder(LEASE_KIND, f"feeder-{region}")
    feeders = [node for node in driver.list_running() if node.id == holder]
    results["killed"] = [str(node.id) for node in feeders]
    _kill(feeders)
    yield
    _restart(driver, feeders, results)


@contextlib.contextmanager
def churn_endpoints(fleet: fleet_lib.Fleet, seed: int) -> Iterator[None]:
    """Changes the version of a random node's endpoint periodically."""
    stop = threading.Event()
    rng = random.Random(seed)
    http = urllib3.PoolManager(retries=False, timeout=2.0)

    def announce() -> None:
        for version in itertools.cycle(("v1", "v2")):
            if stop.wait(CHURN_PERIOD_S):
                return
            node = rng.choice(list(fleet.nodes.values()))
            body = {
                "service": "proofroom",
                "version": version,
                "address": node.address("server"),
                "slots": 4,
            }
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                http.request(
                    "PUT",
                    f"http://{node.address('local')}/endpoint",
                    body=orjson.dumps(body),
                )

    thread = threading.Thread(target=announce, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()


_FAULTS: Final = {
    "store-down": _take_store_down,
    "lost-answer": _lose_store_responses,
    "herd-restart": _restart_half_of_nodes,
    "partition": _isolate_region,
    "feeder-killed": _kill_feeder,
}
