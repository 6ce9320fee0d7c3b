"""Leases whose stored object another program has damaged."""

import threading

import fleet as fleet_lib
import pytest

from lycheestair import leases
from lycheestair import settings as settings_lib

LEASE_S = 0.9


def make_lease(store, clock):
    return leases.Lease(
        "controller",
        "n01",
        store,
        settings_lib.StoreSettings("127.0.0.1:4", lease_ms=int(LEASE_S * 1000)),
        clock,
    )


malformed_leases = pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        "n02",
        {},
        {"holder": "n02"},
        {"holder": 7, "lease_s": 1.0},
        {"holder": ["n02"], "lease_s": 1.0},
        {"holder": "n02", "lease_s": "soon"},
        {"holder": "n02", "lease_s": None},
        {"holder": "n02", "lease_s": True},
        {"holder": "n02", "lease_s": -1.0},
        {"holder": "n02", "lease_s": float("nan")},
        {"holder": "n02", "lease_s": float("inf")},
    ],
)


@malformed_leases
def test_malformed_lease_counts_as_held_for_the_own_duration(value):
    now = [0.0]
    store = fleet_lib.MemoryStore()
    store.put(leases.LEASE_KIND, "controller", value, 0)
    lease = make_lease(store, lambda: now[0])

    lease.acquire_or_renew()
    now[0] += LEASE_S
    lease.acquire_or_renew()
    assert not lease.held

    now[0] += 0.01
    lease.acquire_or_renew()
    assert lease.held


@malformed_leases
def test_release_leaves_a_malformed_lease_to_others(value):
    store = fleet_lib.MemoryStore()
    lease = make_lease(store, lambda: 0.0)
    lease.acquire_or_renew()
    store.put(leases.LEASE_KIND, "controller", value, lease.version)

    lease.release()

    assert not lease.held
    assert store.get(leases.LEASE_KIND, "controller").value is value


def test_malformed_lease_does_not_end_the_thread_that_maintains_it():
    store = fleet_lib.MemoryStore()
    store.put(leases.LEASE_KIND, "controller", {"holder": "n02"}, 0)
    lease = make_lease(store, fleet_lib.time.monotonic)
    stop = threading.Event()
    thread = threading.Thread(
        target=leases.maintain_lease, args=(lease, LEASE_S, stop)
    )
    thread.start()

    fleet_lib.wait_until(lambda: lease.held, "lease is held")

    stop.set()
    thread.join()
