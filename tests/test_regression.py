"""Tests that only faults of the new version are detected, at stated rates."""

import moves_support as support
import numpy as np
import pytest

from lycheestair import measure_moves_trials as trials
from lycheestair import regression
from lycheestair import sums

Verdict = regression.Verdict


def evaluate_rows(*phases, include_latency=True, route=""):
    """Returns the finding after phases, each a (number of intervals, rows)."""
    detector = regression.RegressionDetector("s", "v1", "v2", route)
    now = 0.0
    for count, rows in phases:
        for _ in range(count):
            now += 0.5
            detector.observe(rows, now, include_latency)
    return detector.evaluate()


WARM_UP = (20, support.make_rows((10, 0), (990, 5)))


@pytest.mark.parametrize(
    ("phases", "expected"),
    [
        # Too few calls for a verdict, whatever their failure rate.
        pytest.param([(1, support.make_rows((3, 3), (500, 0)))], Verdict.UNDECIDED, id="thin"),
        # The crash of one instance affects one interval.
        pytest.param([WARM_UP, (1, support.make_rows((50, 40), (950, 5)))], Verdict.UNDECIDED, id="burst"),
        # Three failures of three calls are enough, against hundreds of
        # successes.
        pytest.param([(10, support.make_rows((0, 0), (60, 0))), (3, support.make_rows((1, 1), (59, 0)))], Verdict.BAD, id="three_of_three"),
        pytest.param([WARM_UP, (6, support.make_rows((50, 15), (950, 5)))], Verdict.BAD, id="failing"),
        pytest.param([(600, support.make_rows((50, 1), (950, 7)))], Verdict.BAD, id="slight"),
        # A fault of both versions, at a small and at a large share.
        pytest.param([WARM_UP, (100, support.make_rows((50, 15), (950, 285)))], Verdict.UNDECIDED, id="common"),
        pytest.param([WARM_UP, (100, support.make_rows((500, 150), (500, 150)))], Verdict.UNDECIDED, id="common_large"),
        # Only the old version fails: no alarm, but also no proof of health.
        pytest.param([WARM_UP, (100, support.make_rows((500, 5), (500, 150)))], Verdict.UNDECIDED, id="old_bad"),
        pytest.param([WARM_UP, (8, support.make_rows((50, 0, support.SLOW_BUCKET), (950, 5, support.FAST_BUCKET)))], Verdict.BAD, id="slow"),
        pytest.param([WARM_UP, (10, support.make_rows((50, 0, support.SLOW_BUCKET), (950, 5, support.SLOW_BUCKET)))], Verdict.UNDECIDED, id="slow_common"),
        # A late fault is detected after a long time without faults.
        pytest.param([(4_000, support.make_rows((100, 1), (900, 9))), (8, support.make_rows((100, 30), (900, 9)))], Verdict.BAD, id="late"),
        pytest.param([(1_500, support.make_rows((20, 0), (980, 5)))], Verdict.HEALTHY, id="healthy"),
        # Without calls of the old version there is only suspicion.
        pytest.param([WARM_UP, (20, support.make_rows((1_000, 300), (0, 0)))], Verdict.SUSPECTED, id="alone"),
        pytest.param([WARM_UP, (20, support.make_rows((1_000, 5), (0, 0)))], Verdict.UNDECIDED, id="alone_good"),
        # In a comparison the old version fails as well, or only the new one
        # fails.
        pytest.param([WARM_UP, (4, support.make_rows((1_000, 300), (0, 0))), (10, support.make_rows((900, 270), (100, 30)))], Verdict.SUSPECTED, id="compared_common"),
        pytest.param([WARM_UP, (4, support.make_rows((1_000, 300), (0, 0))), (10, support.make_rows((900, 270), (100, 1)))], Verdict.BAD, id="compared_bad")
    ]
)  # fmt: skip
def test_verdict(phases, expected):
    assert evaluate_rows(*phases).verdict is expected


def test_one_failure_is_a_warning_until_enough_calls_succeed():
    detector = regression.RegressionDetector("s", "v1", "v2")
    detector.observe(support.make_rows((1, 1), (99, 0)), 0.0)
    assert detector.has_warning()
    detector.observe(support.make_rows((40, 0), (3_960, 0)), 0.5)
    assert not detector.has_warning()


def test_fault_on_one_of_several_routes_is_detected():
    rows = {
        **support.make_rows((90, 1), (9_000, 90), route="large"),
        **support.make_rows((5, 2), (500, 5), route="small"),
    }
    finding = evaluate_rows((20, rows))
    assert finding.verdict is Verdict.BAD
    assert "'small'" in finding.reason


def test_move_of_one_route_ignores_other_routes():
    rows = {
        **support.make_rows((500, 200), (500, 5), route="other"),
        **support.make_rows((500, 5), (500, 5), route="own"),
    }
    assert evaluate_rows((50, rows), route="own").verdict is not Verdict.BAD


def test_route_with_separate_shares_is_not_pooled_with_other_routes():
    """Both versions have a high failure rate on the separate route."""
    rows = {
        **support.make_rows((500, 100), (10, 2), route="separate"),
        **support.make_rows((10, 0), (900, 9), route="r"),
    }
    detector = regression.RegressionDetector("s", "v1", "v2")
    detector.separate_routes = frozenset({"separate"})
    for tick in range(50):
        detector.observe(rows, tick * 0.5)
    assert detector.evaluate().verdict is not Verdict.BAD


def test_latency_is_ignored_during_cold_starts():
    slow = support.make_rows(
        (50, 0, support.SLOW_BUCKET), (950, 0, support.FAST_BUCKET)
    )
    finding = evaluate_rows(WARM_UP, (50, slow), include_latency=False)
    assert finding.verdict is not Verdict.BAD


def test_suspicion_does_not_recur_at_once_for_the_same_common_fault():
    detector = regression.RegressionDetector("s", "v1", "v2")
    new_only = support.make_rows((1_000, 300), (0, 0))
    for tick, rows in enumerate(
        [WARM_UP[1]] * 20
        + [new_only] * 4
        + [support.make_rows((900, 270), (100, 30))] * 10
    ):
        detector.observe(rows, tick * 0.5)
    detector.reset_suspicion()
    for tick in range(60):
        detector.observe(new_only, 17 + tick * 0.5)
    assert detector.evaluate().verdict is not Verdict.SUSPECTED
    for tick in range(200):
        detector.observe(new_only, 17 + sums.RAISED_BASELINE_S + tick * 0.5)
    assert detector.evaluate().verdict is Verdict.SUSPECTED


def test_ended_common_fault_does_not_mask_a_remaining_fault():
    """The raised baseline after a comparison masked a fault for 60 s.

    A fault of both versions had ended meanwhile (seed 30356).
    """
    detector = regression.RegressionDetector("s", "v1", "v2")
    phases = [(20, WARM_UP[1]), (4, support.make_rows((1_000, 300), (0, 0)))]
    phases += [(10, support.make_rows((900, 270), (100, 30)))]
    now = 0.0
    for count, rows in phases:
        for _ in range(count):
            now += 0.5
            detector.observe(rows, now)
    detector.reset_suspicion()
    assert detector.common_fault_found
    for _ in range(20):
        now += 0.5
        detector.observe(support.make_rows((1_000, 100), (0, 0)), now)
    assert detector.evaluate().verdict is Verdict.SUSPECTED


def test_false_alarms_stay_within_the_stated_rate():
    """Binomial outcomes of equal versions, 300 detectors of 400 intervals."""
    rng = np.random.default_rng(7)
    alarms = 0
    for _ in range(300):
        detector = regression.RegressionDetector("s", "v1", "v2")
        for tick in range(400):
            new = (200, int(rng.binomial(200, 0.01)))
            old = (800, int(rng.binomial(800, 0.01)))
            detector.observe(support.make_rows(new, old), tick * 0.5)
        alarms += detector.evaluate().verdict is Verdict.BAD
    # At the stated rate, at most three alarms have a probability of 0.9997.
    assert alarms <= 3


@pytest.mark.parametrize(
    ("seed", "policy"),
    [(63, "bounded"), (107, "fixed"), (118, "bounded"), (30_358, "bounded")],
)
def test_long_good_moves_are_completed_in_time(seed, policy):
    """Seeds 63, 107 and 118 raised false alarms.

    In seed 30358 a weak warning held the move past its deadline.
    """
    from lycheestair import measure_moves

    outcome = measure_moves.run_case(seed, policy, None, "zecca")
    assert outcome.case.fault is trials.Fault.NONE
    assert outcome.state == "done"
    assert outcome.target_reached_at_s <= outcome.case.duration_s


def test_weak_late_fault_affects_at_most_one_percent_of_calls():
    """A share of 90% during the whole comparison led to 1.04% of bad calls."""
    from lycheestair import measure_moves

    outcome = measure_moves.run_case(10_120, "bounded", None, "zecca")
    assert outcome.state == "taken_back"
    assert outcome.bad_calls <= 0.01 * outcome.calls
