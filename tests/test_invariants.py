"""Tests that each violated invariant, and only that one, is reported."""

import dataclasses

import pytest

from lycheestair import errors
from lycheestair import invariants as inv

RUN = inv.Run("c1", "", "s1", "burin", "v1", 10.0, 11.0)
CALL = inv.Call("c1", "", False)
BAD_VERSION = inv.BadVersion("burin", "v2", 20.0, 5.0)
BAD_RUN = dataclasses.replace(
    RUN, call_id="b1", server="s2", version="v2", started_at=20.0
)

VALID = inv.History(
    calls=(CALL,),
    runs=(RUN,),
    activations=(
        inv.Activation("n1", 0.0, 1, "d1", 1.0),
        inv.Activation("n1", 0.0, 2, "d2", 3.0),
        # A restarted process may activate an older generation first.
        inv.Activation("n1", 4.0, 1, "d1", 4.5),
    ),
    accepted=(
        inv.AcceptedGeneration(1, "d1", 0.5),
        inv.AcceptedGeneration(2, "d2", 2.5),
    ),
    departures=(inv.Departure("s1", 9.0),),
    reachable=("n1",),
    gracefully_stopped=("s1",),
    ended_at=30.0,
)

VIOLATIONS = {
    "no_older_version": {
        "activations": (
            *VALID.activations,
            inv.Activation("n1", 0.0, 1, "d1", 5.0),
        )
    },
    "no_dangling_route": {
        "activations": (
            *VALID.activations,
            inv.Activation("n1", 0.0, 3, "d3", 5.0, dangling=1),
        )
    },
    "no_partial_apply": {
        "activations": (
            *VALID.activations,
            inv.Activation("n2", 0.0, 2, "other", 5.0),
        )
    },
    "bad_version_small_share": {
        "bad_versions": (BAD_VERSION,),
        "runs": (RUN, dataclasses.replace(BAD_RUN, started_at=26.0)),
    },
    "own_whole_answer": {"calls": (dataclasses.replace(CALL, own=False),)},
    "true_not_run": {
        "calls": (
            dataclasses.replace(CALL, execution=errors.Execution.NOT_RUN),
        )
    },
    "at_most_once": {"runs": (RUN, dataclasses.replace(RUN, server="s2"))},
    "no_new_work_leaving": {"departures": (inv.Departure("s1", 7.0),)},
    "graceful_shutdown": {"runs": (dataclasses.replace(RUN, ended_at=None),)},
    "accepted_in_force": {"reachable": ("n1", "n2")},
}


def test_valid_history_has_no_violation():
    assert inv.find_violations(VALID) == []


@pytest.mark.parametrize("name", VIOLATIONS)
def test_violation_is_reported(name):
    violating = dataclasses.replace(VALID, **VIOLATIONS[name])
    assert {item.invariant for item in inv.find_violations(violating)} == {name}


@pytest.mark.parametrize(
    "calls, expected",
    [
        ((dataclasses.replace(CALL, answered=False),), ["own_whole_answer"]),
        ((dataclasses.replace(CALL, whole=False),), ["own_whole_answer"]),
        ((dataclasses.replace(CALL, idempotent=True),), []),
    ],
)
def test_call_outcome_is_checked(calls, expected):
    history = dataclasses.replace(VALID, calls=calls)
    found = [item.invariant for item in inv.find_violations(history)]
    assert found == expected


def test_many_early_runs_on_a_bad_version_are_reported():
    runs = tuple(
        dataclasses.replace(BAD_RUN, call_id=f"b{i}") for i in range(9)
    )
    history = dataclasses.replace(VALID, runs=runs, bad_versions=(BAD_VERSION,))
    assert "bad_version_small_share" in {
        item.invariant for item in inv.find_violations(history)
    }
