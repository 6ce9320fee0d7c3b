"""What callers get under load, with the decisions of many nodes."""

import platform_load
import pytest

from lycheestair.sidecar import calls
from lycheestair.sidecar import frames
from lycheestair.sidecar import queueing

# The failure domain of a large fleet: 16 servers of a service with three slots.
SERVERS, SLOTS = 16, 3
VIEW_WORK_S, ORDER_WORK_S = 0.29, 0.38


def make_load(utilization, **changes):
    """Returns a load that takes a share of the slots; three views an order."""
    capacity = SERVERS * SLOTS * utilization
    orders_per_s = capacity / (3 * VIEW_WORK_S + ORDER_WORK_S)
    kinds = [
        platform_load.Kind("view", 3 * orders_per_s, VIEW_WORK_S, 1.0, 6.0, 2),
        platform_load.Kind("order", orders_per_s, ORDER_WORK_S, 1.2, 8.0, 1),
    ]
    return platform_load.Load(kinds, SERVERS, SLOTS, **changes)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("utilization", [0.55, 0.75])
def test_requests_are_in_time_while_the_service_has_free_slots(
    utilization, seed, monkeypatch
):
    """Guards against queues at busy servers while others are idle.

    No request takes longer than its objective at a server, so that all can be
    in time. One in a hundred may be late.
    """
    fleet = platform_load.play(make_load(utilization), seed, monkeypatch)
    for kind in ("view", "order"):
        assert fleet.share(kind, "in time") >= 0.99, fleet.outcomes


@pytest.mark.parametrize("seed", [1, 2])
def test_overloaded_service_spends_its_slots_on_requests_in_time(
    seed, monkeypatch
):
    """Guards against queues whose requests all come late.

    Urgent requests are in time, and of the others at least three quarters of
    what the slots can serve.
    """
    utilization = 1.3
    load = make_load(utilization)
    fleet = platform_load.play(load, seed, monkeypatch)
    assert fleet.share("order", "in time") >= 0.99, fleet.outcomes
    view_share = 3 * VIEW_WORK_S / (3 * VIEW_WORK_S + ORDER_WORK_S)
    demand = utilization * platform_load.MEAN_SLOWNESS
    servable = (1 / demand - (1 - view_share)) / view_share
    assert fleet.share("view", "in time") >= 0.75 * servable, fleet.outcomes


@pytest.mark.parametrize(
    ("changes", "decision"),
    [
        ({}, queueing.Decision.QUEUE),
        ({"wait_s": 0.8}, queueing.Decision.REFUSE),
        ({"wait_s": 0.3, "max_wait_s": 0.2}, queueing.Decision.TRY_ANOTHER),
        ({"wait_s": 0.9, "max_wait_s": 0.2}, queueing.Decision.TRY_ANOTHER),
        ({"wait_s": 0.3, "max_wait_s": 0.4}, queueing.Decision.QUEUE),
        ({"slack_s": 0.0, "wait_s": 0.02}, queueing.Decision.QUEUE),
        # It can't be in time any more, but its client still waits.
        ({"slack_s": -0.1, "wait_s": 0.5}, queueing.Decision.QUEUE),
        ({"slack_s": -0.1, "wait_s": 0.7}, queueing.Decision.REFUSE),
    ],
)
def test_queueing_decision(changes, decision):
    values = {"wait_s": 0.3, "slack_s": 0.7, "remaining_s": 2.0, **changes}
    assert queueing.decide(queueing.Arrival(**values)) is decision


def test_expected_wait_counts_urgent_calls_that_arrive_later():
    """Guards against calls that are queued in time and delayed until late."""
    assert queueing.predict_wait_s(3, 3, 0.3, 0.0) == pytest.approx(0.3)
    assert queueing.predict_wait_s(3, 3, 0.3, 0.5) == pytest.approx(0.6)
    assert queueing.predict_wait_s(3, 3, 0.3, 1.0) < 2.0


@pytest.mark.parametrize("version", [1, frames.PROTOCOL_VERSION])
def test_call_is_encoded_for_the_version_of_the_serving_node(version):
    """Guards calls between nodes of two builds during an upgrade."""
    call = calls.Call(
        b"1", b"GET", b"/", [], b"", "desk", "view", "i1", True, 1, 2e9, 1e9
    )
    call.max_wait_s = 0.25
    fields = call.encode(version)
    assert len(fields) == (13 if version == 1 else 14)
    decoded = calls.decode_call(fields)
    assert decoded.max_wait_s == (None if version == 1 else 0.25)
