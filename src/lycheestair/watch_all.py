"""Baseline of the convergence benchmark: every process watches the store."""

import pathlib
import subprocess
import sys
import time
from typing import Any
from typing import Final

import numpy as np
import orjson
import psutil

from lycheestair import acceptance
from lycheestair import configuration
from lycheestair import deployments
from lycheestair import fleet as fleet_lib
from lycheestair import note_records
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib

WATCH_TIMEOUT_S: Final = 30.0
CHANGE_INTERVAL_S: Final = 1.0
IDLE_S: Final = 5.0
START_TIMEOUT_S: Final = 60.0
RETRY_DELAY_S: Final = 0.2


def watch(address: str) -> None:
    """Watches the store, and prints a JSON line for each active generation."""
    store = store_lib.HttpStore(settings_lib.StoreSettings(address))
    active = configuration.ActiveConfiguration()
    latest_version = 0
    print(orjson.dumps({"ready": True}).decode(), flush=True)
    while True:
        try:
            for stored in store.watch(
                acceptance.HEAD_KIND, latest_version, WATCH_TIMEOUT_S
            ):
                latest_version = max(latest_version, stored.version)
                head = acceptance.decode_head(stored)
                active.activate(
                    acceptance.read_snapshot(store, head, active.current)
                )
                line = {
                    "generation": head.generation,
                    "at": time.time(),
                    "bytes": len(orjson.dumps(stored.value)),
                }
                print(orjson.dumps(line).decode(), flush=True)
        except (store_lib.StoreUnavailableError, store_lib.WatchExpiredError):
            time.sleep(RETRY_DELAY_S)


def measure(
    nodes: int, changes: int, directory: pathlib.Path
) -> dict[str, Any]:
    """Measures convergence, traffic and memory of watching processes.

    Args:
      nodes: Number of processes.
      changes: Number of notes to apply.
      directory: Directory for the output of the processes.
    """
    profile = deployments.PROFILES[deployments.Deployment.ZECCA]
    with fleet_lib.Fleet(profile, directory) as fleet:
        fleet.start_store()
        log_paths = [
            directory / f"watcher-{index}.log" for index in range(nodes)
        ]
        processes = [
            _start_watcher(path, fleet.store_address) for path in log_paths
        ]
        try:
            return _measure(fleet, log_paths, processes, changes)
        finally:
            for process in processes:
                process.kill()
                process.wait()


def _start_watcher(path: pathlib.Path, address: str) -> subprocess.Popen[bytes]:
    with path.open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "lycheestair.watch_all", address],
            stdout=log,
            stderr=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
        )


def _measure(
    fleet: fleet_lib.Fleet,
    log_paths: list[pathlib.Path],
    processes: list[subprocess.Popen[bytes]],
    changes: int,
) -> dict[str, Any]:
    fleet_lib.wait_until(
        lambda: all(path.stat().st_size for path in log_paths),
        "first line of output of every watcher",
        START_TIMEOUT_S,
    )
    time.sleep(IDLE_S)
    store = store_lib.HttpStore(settings_lib.StoreSettings(fleet.store_address))
    acceptor = acceptance.NoteAcceptor(store, lambda: snapshot_lib.EMPTY)
    accepted_at: dict[int, float] = {}
    store_calls = sum(fleet.read_store_counts().values())
    started_at = time.monotonic()
    for index in range(changes):
        text = (
            f'id = "n{index}"\n[[service]]\nname = "s{index}"\nversions=["v1"]'
        )
        outcome = acceptor.apply(text)
        if isinstance(outcome, acceptance.Accepted):
            stored = store.get(note_records.NOTE_KIND, f"n{index}")
            assert stored is not None
            record = note_records.decode_record(stored)
            accepted_at[outcome.generation] = record.accepted_at
        time.sleep(CHANGE_INTERVAL_S)
    elapsed_s = time.monotonic() - started_at
    store_calls = sum(fleet.read_store_counts().values()) - store_calls
    lines = [
        [orjson.loads(line) for line in path.read_bytes().splitlines()[1:]]
        for path in log_paths
    ]
    samples = [
        1000
        * max(0.0, min(e["at"] for e in entries if e["generation"] >= g) - at)
        for entries in lines
        for g, at in accepted_at.items()
    ]
    received_bytes = sum(
        entry["bytes"] for entries in lines for entry in entries
    )
    # Watchers count as placed in the regions in turn. The store is in the first
    # one, whose watchers (remainder 0) cause no cross-region traffic.
    cross_region_bytes = sum(
        e["bytes"]
        for index, entries in enumerate(lines)
        for e in entries
        if index % len(fleet.profile.regions)
    )
    rss_mb = [
        psutil.Process(process.pid).memory_info().rss / 2**20
        for process in processes
    ]
    return {
        "accepted": len(accepted_at),
        "convergence_ms": {
            name: round(float(np.percentile(samples, q)), 1)
            for name, q in {"p50": 50, "p99": 99, "max": 100}.items()
        },
        "control_bytes_per_change_per_node": round(
            received_bytes / len(accepted_at) / len(log_paths)
        ),
        "cross_region_bytes_per_change": round(
            cross_region_bytes / len(accepted_at)
        ),
        "store_calls_per_s": {
            "under_change": round(store_calls / elapsed_s, 1)
        },
        "store_watches": len(log_paths),
        "rss_mb": {"mean": round(float(np.mean(rss_mb)), 1)},
    }


if __name__ == "__main__":
    watch(sys.argv[1])
