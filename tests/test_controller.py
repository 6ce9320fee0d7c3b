"""Tests of the controller: state transitions of moves, and failures."""

import dataclasses

import moves_support as support
import pytest

from lycheestair import acceptance
from lycheestair import base_shares
from lycheestair import caps as caps_lib
from lycheestair import controller as controller_lib
from lycheestair import injection
from lycheestair import resources

State = resources.MoveState


class KilledError(Exception):
    """Simulates the end of the process at an injection point."""


def shares_of(fleet, service="s"):
    return {s.version: s.bps for s in fleet.snapshot.service(service).shares}


def start_move(fleet, **kwargs):
    assert isinstance(
        fleet.apply(support.make_move_note("n1", "m", **kwargs)),
        acceptance.Accepted,
    )
    return fleet


def start_route_moves(fleet):
    fleet.apply(
        'id = "r2"\nroute = [{name = "r2", service = "s", path_prefix = "/2"}]'
    )
    fleet.apply(support.make_move_note("n1", "m", extra='route = "r"'))
    fleet.apply(support.make_move_note("n2", "m2", extra='route = "r2"'))


def is_state(fleet, *states, move_id="m"):
    return lambda: fleet.move(move_id).state in states


def test_bad_version_stays_barred_until_a_note_names_it():
    fleet = start_move(support.Fleet())
    fleet.rates["v2"] = 0.5
    assert fleet.run(60, is_state(fleet, State.TAKEN_BACK))
    generation = fleet.snapshot.generation
    fleet.rates["v2"] = 0.0
    fleet.run(120)
    assert fleet.snapshot.generation == generation
    service = fleet.snapshot.service("s")
    assert service.versions[1].state is resources.VersionState.BARRED
    assert shares_of(fleet) == {"v1": 10_000}
    assert fleet.move().bad_calls > 0
    assert "failed" in fleet.move().reason
    fleet.apply(support.make_move_note("n2", "m2", deadline_s=400))
    assert fleet.run(400, is_state(fleet, State.WATCHING, move_id="m2"))


def test_fault_of_both_versions_at_full_share_causes_no_rollback():
    fleet = start_move(support.Fleet(watch_s=30.0), deadline_s=120)
    assert fleet.run(120, is_state(fleet, State.WATCHING))
    fleet.rates = {"v1": 0.3, "v2": 0.3}
    before = fleet.snapshot.generation
    fleet.run(30)
    assert fleet.move().state is State.WATCHING
    # Only the start and the end of one comparison.
    assert fleet.snapshot.generation - before <= 2
    fleet.rates = {"v1": 0.01, "v2": 0.01}
    assert fleet.run(90, is_state(fleet, State.DONE))


def test_several_moves_advance_concurrently():
    fleet = start_move(support.Fleet(watch_s=5.0))
    fleet.apply(support.make_move_note("n2", "m2", service="t"))
    assert fleet.run(
        200, lambda: {fleet.move(m).state for m in ("m", "m2")} == {State.DONE}
    )
    assert shares_of(fleet, "t") == {"v2": 10_000}
    recorded = fleet.store.get(controller_lib.FINISHED_MOVE_KIND, "m2")
    assert recorded.value["state"] == State.DONE


def test_two_moves_of_one_service_on_different_routes():
    """The moves don't affect each other."""
    fleet = support.Fleet(watch_s=5.0)
    start_route_moves(fleet)
    assert fleet.run(200, is_state(fleet, State.DONE))
    route = fleet.snapshot.resources["route/r"]
    assert route.shares == (resources.Share("v2", 10_000),)
    assert shares_of(fleet) == {"v1": 10_000}
    # There is no evidence from r2, so the move is advanced by time only.
    assert fleet.move("m2").state in (State.WATCHING, State.DONE)


def test_version_barred_by_one_move_ends_the_other():
    fleet = support.Fleet()
    start_route_moves(fleet)
    fleet.rates["v2"] = 0.5
    assert fleet.run(60, is_state(fleet, State.TAKEN_BACK))
    fleet.run(1)
    assert fleet.move("m2").state is State.TAKEN_BACK
    assert "barred" in fleet.move("m2").reason


def test_changed_move_continues_from_its_share():
    fleet = start_move(support.Fleet())
    assert fleet.run(120, lambda: fleet.move().share_bps > 500)
    share = fleet.move().share_bps
    fleet.apply(
        support.make_move_note("n2", "m2", deadline_s=300)
        + '[withdraw]\nmoves = ["m"]\n'
    )
    assert fleet.move("m2").share_bps == share
    assert fleet.move("m").state is State.CANCELLED
    fleet.run(1)
    assert fleet.store.get(controller_lib.FINISHED_MOVE_KIND, "m") is not None
    fleet.run(100)
    assert fleet.move("m2").share_bps >= share
    assert fleet.run(300, is_state(fleet, State.DONE, move_id="m2"))


def test_move_starts_at_the_base_share():
    fleet = support.Fleet()
    fleet.apply(
        'id = "b"\nservice = [{name = "s", shares = {v1 = 80, v2 = 20}}]'
    )
    start_move(fleet)
    assert fleet.move().share_bps == 2_000
    fleet.rates["v2"] = 0.5
    assert fleet.run(30, is_state(fleet, State.TAKEN_BACK))
    assert shares_of(fleet) == {"v1": 10_000}


def test_old_version_cannot_be_withdrawn_during_a_move():
    fleet = start_move(support.Fleet())
    fleet.run(5)
    outcome = fleet.apply('id = "n2"\n[withdraw]\nversions = ["s/v1"]\n')
    assert isinstance(outcome, acceptance.Rejected)
    assert any("in use by move 'm'" in text for text in outcome.messages)


def test_without_old_servers_a_bad_version_is_reported_but_not_rolled_back():
    fleet = start_move(support.Fleet())
    fleet.run(10)
    del fleet.membership.members["sv1"]
    fleet.rates["v2"] = 0.5
    fleet.run(30)
    assert fleet.move().state is State.MOVING
    assert "no backend server to return to" in fleet.move().waits_for


def test_too_few_warm_slots_are_reported_early_with_counts():
    fleet = start_move(support.Fleet(slots=10), deadline_s=300)
    fleet.run(2)
    assert fleet.move().waits_for.startswith("warm slots: 10 of 83 needed by")
    fleet.run(300)
    # 10 slots at a utilization of 0.85 serve 8.5 of the 24 busy slots.
    assert 3_000 < fleet.move().share_bps < 4_000
    assert fleet.move().state is State.MOVING
    for name in ("more1", "more2"):
        fleet.membership.members[name] = dataclasses.replace(
            fleet.membership.members["sv2"], node_id=name
        )
    assert fleet.run(60, is_state(fleet, State.WATCHING))


def test_move_with_few_calls_is_completed_at_the_deadline_and_watched():
    fleet = start_move(support.Fleet(calls=4, watch_s=30.0))
    assert fleet.run(60, lambda: "too few" in fleet.move().waits_for)
    assert fleet.run(120, is_state(fleet, State.WATCHING))
    assert fleet.now <= support.START + 120
    fleet.rates["v2"] = 1.0
    assert fleet.run(30, is_state(fleet, State.TAKEN_BACK))


def test_move_continues_after_a_store_outage_past_the_deadline():
    fleet = start_move(support.Fleet(watch_s=5.0), deadline_s=60)
    fleet.run(20)
    share = fleet.move().share_bps
    fleet.store.down = True
    fleet.run(60)
    assert fleet.move().share_bps == share
    fleet.store.down = False
    fleet.run(1)
    # The move is late, but no steps are skipped.
    assert fleet.move().share_bps < 2_000
    assert fleet.run(60, is_state(fleet, State.DONE))


@pytest.mark.parametrize("age_s", [10.0, float("inf")])
def test_stale_evidence_of_one_domain_stops_every_step(age_s):
    fleet = start_move(support.Fleet())
    fleet.run(10)
    share = fleet.move().share_bps
    fleet.ages["d2"] = age_s
    fleet.run(150)
    assert fleet.move().share_bps == share
    assert fleet.move().waits_for.startswith("evidence: d2 not heard")
    fleet.ages["d2"] = 0.0
    assert fleet.run(60, is_state(fleet, State.WATCHING))


def test_stale_evidence_does_not_prevent_a_rollback():
    fleet = start_move(support.Fleet())
    fleet.run(10)
    fleet.ages["d2"] = 100.0
    fleet.rates["v2"] = 0.5
    assert fleet.run(30, is_state(fleet, State.TAKEN_BACK))


def test_cap_of_a_guard_rolls_the_move_back():
    fleet = start_move(support.Fleet())
    fleet.run(10)
    fleet.caps = (caps_lib.Cap("m", "s", "v2", 0, 0, "n9", "seen by guard"),)
    assert fleet.run(1, is_state(fleet, State.TAKEN_BACK))
    assert fleet.move().reason == "seen by guard"


def test_wait_text_creates_few_generations():
    fleet = start_move(support.Fleet(calls=4), deadline_s=600)
    fleet.run(20)
    before = fleet.snapshot.generation
    fleet.run(100)
    assert fleet.snapshot.generation - before <= 11


POINTS = [point for point in injection.Point if point.name.startswith("MOVE_")]


@pytest.mark.parametrize("fault_rate", [0.01, 0.5])
@pytest.mark.parametrize("point", POINTS)
def test_controller_killed_at_a_step_is_replaced(
    monkeypatch, point, fault_rate
):
    fleet = start_move(support.Fleet(watch_s=5.0))
    fleet.rates["v2"] = fault_rate
    killed = []

    def reach(reached):
        if reached is point and len(killed) < 2:
            killed.append(reached)
            raise KilledError

    monkeypatch.setattr(injection, "reach", reach)
    expected = State.DONE if fault_rate < 0.1 else State.TAKEN_BACK
    for _ in range(3):
        try:
            assert fleet.run(300, is_state(fleet, expected))
            break
        except KilledError:
            fleet.controller = fleet.make_controller()
    assert fleet.move().state is expected
    unreached_points = {
        State.DONE: "MOVE_TAKEN_BACK",
        State.TAKEN_BACK: "MOVE_DONE",
    }
    assert bool(killed) == (point.name != unreached_points[expected])


@pytest.mark.parametrize("point", POINTS)
def test_paused_controller_does_not_change_an_ended_move(monkeypatch, point):
    """Another controller ends the move while this one is paused."""
    fleet = start_move(support.Fleet(watch_s=5.0))
    other = fleet.make_controller()
    paused = []

    def reach(reached):
        if reached is point and not paused:
            paused.append(fleet.move())
            first, fleet.controller = fleet.controller, other
            fleet.rates["v2"] = 0.5
            assert fleet.run(90, is_state(fleet, State.TAKEN_BACK))
            fleet.controller = first

    monkeypatch.setattr(injection, "reach", reach)
    fleet.run(200, is_state(fleet, State.TAKEN_BACK, State.DONE))
    if paused and paused[0].state in resources.RUNNING_MOVE_STATES:
        generation = fleet.snapshot.generation
        fleet.run(30)
        assert fleet.move().state is State.TAKEN_BACK
        assert fleet.snapshot.generation == generation


@pytest.mark.parametrize("every", [1, 3])
def test_lost_store_responses_do_not_skip_or_repeat_steps(every):
    fleet = start_move(support.Fleet(watch_s=5.0))
    shares = []
    for tick in range(300):
        fleet.store.lost_responses = int(tick % every == 0)
        fleet.run(0.5)
        shares.append(fleet.move().share_bps)
    assert fleet.move().state is State.DONE
    assert shares == sorted(shares)


@pytest.mark.parametrize(
    ("shares", "share_bps", "expected"),
    [
        ({"v1": 10_000}, 10_000, {"v2": 10_000}),
        ({"v1": 10_000}, 3_000, {"v1": 7_000, "v2": 3_000}),
        ({"v1": 6_000, "v2": 4_000}, 0, {"v1": 10_000}),
        ({"v1": 5_000, "v3": 5_000}, 4_000, {"v1": 1_000, "v2": 4_000, "v3": 5_000}),
        ({"v1": 5_000, "v3": 5_000}, 10_000, {"v2": 10_000}),
        ({"v1": 1_000, "v3": 3_000, "v4": 6_000}, 4_000, {"v2": 4_000, "v3": 2_000, "v4": 4_000})
    ]
)  # fmt: skip
def test_base_shares_after_a_move_add_up(shares, share_bps, expected):
    move = resources.Move("m", "n", "s", "v1", "v2", 10_000, 1.0, 0.0)
    base = tuple(resources.Share(v, bps) for v, bps in shares.items())
    result = base_shares.replace_share(base, move, share_bps)
    assert {s.version: s.bps for s in result} == expected
