"""Scenarios of moves from the operator's point of view."""

import moves_support as support
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from lycheestair import resources

scenarios("features/moves.feature")


@pytest.fixture
def fleet():
    return support.Fleet()


@given(
    parsers.parse("a note that moves all traffic within {seconds:d} seconds")
)
def write_note(fleet, seconds):
    fleet.apply(support.make_move_note("n1", "m", deadline_s=seconds))


@given("the new version fails half of its calls")
@when("the new version fails half of its calls")
def make_new_version_fail(fleet):
    fleet.rates["v2"] = 0.5


@given("both versions fail half of their calls")
def make_both_versions_fail(fleet):
    fleet.rates = {"v1": 0.5, "v2": 0.5}


@when(parsers.parse("{seconds:d} seconds pass"))
def advance_clock(fleet, seconds):
    fleet.run(seconds)


@when("a note withdraws the move")
def withdraw_move(fleet):
    fleet.apply(support.CANCEL_NOTE)


@then("the new version has all traffic")
def check_new_version_has_all_traffic(fleet):
    assert fleet.move().share_bps == resources.FULL_SHARE_BPS


@then("the old version has all traffic")
def check_old_version_has_all_traffic(fleet):
    assert fleet.move().share_bps == 0
    assert fleet.snapshot.service("s").shares == (
        resources.Share("v1", 10_000),
    )


@then("the move is rolled back")
def check_rolled_back(fleet):
    assert fleet.move().state is resources.MoveState.TAKEN_BACK


@then("the move is not rolled back")
def check_not_rolled_back(fleet):
    running = resources.RUNNING_MOVE_STATES
    assert fleet.move().state in running | {resources.MoveState.DONE}
    assert fleet.move().share_bps > 0


@then(
    parsers.parse(
        "the new version answered at most {percent:d} percent of the calls"
    )
)
def check_bad_calls(fleet, percent):
    total = (
        fleet.calls * 2 * (fleet.move().changed_at - fleet.move().created_at)
    )
    assert 0 < fleet.move().bad_calls <= total * percent / 100


@then("the new version is barred")
def check_barred(fleet):
    version = fleet.snapshot.service("s").versions[1]
    assert version.state is resources.VersionState.BARRED
