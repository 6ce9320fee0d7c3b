"""Tests that plans meet their deadlines, never step down, and respect slots."""

import math

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from lycheestair import planner
from lycheestair import resources
from lycheestair import settings as settings_lib

SETTINGS = settings_lib.MoveSettings()
TICK_S = 0.5


def make_move(duration_s, target=10_000, share=0, changed_at=0.0):
    return resources.Move(
        "m",
        "n",
        "s",
        "v1",
        "v2",
        target,
        duration_s,
        0.0,
        share_bps=share,
        changed_at=changed_at,
    )


def simulate_steps(
    duration_s, target, healthy, warning, limit=10_000, delay_s=0.0
):
    """Yields the time and the share at each tick until after the deadline."""
    move = make_move(duration_s, target)
    plan = planner.plan_move(move, SETTINGS)
    for tick in range(int((duration_s + 5) / TICK_S)):
        now = delay_s + tick * TICK_S
        wanted = planner.choose_share(
            move, plan, now, healthy(now), warning(now)
        )
        share = planner.limit_share(move.share_bps, wanted, limit, 10_000)
        if share != move.share_bps:
            move = make_move(duration_s, target, share, now)
        yield now, share


durations = st.floats(10, 3_600)
targets = st.integers(1, 10_000)


@given(durations, targets, st.booleans())
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_target_is_reached_by_the_deadline_with_or_without_proof_of_health(
    duration_s, target, healthy
):
    reached = next(
        now
        for now, share in simulate_steps(
            duration_s, target, lambda _: healthy, lambda _: False
        )
        if share == target
    )
    assert reached <= duration_s


@given(durations, targets, st.integers(0, 2**32))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_share_never_falls_without_lack_of_slots(
    duration_s, target, random_bits
):
    shares = [
        share
        for _, share in simulate_steps(
            duration_s,
            target,
            lambda now: bool(random_bits >> int(now) % 32 & 1),
            lambda now: not random_bits >> int(now / 7) % 32 & 1,
        )
    ]
    assert shares == sorted(shares)
    assert shares[0] <= max(SETTINGS.first_share_bps, 1)


@given(durations, targets, st.integers(0, 10_000))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_share_never_rises_above_the_warm_slots(duration_s, target, limit):
    for _, share in simulate_steps(
        duration_s, target, lambda _: True, lambda _: False, limit
    ):
        assert share <= limit


@given(durations, st.integers(1, 9_000))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_controller_that_starts_late_does_not_skip_steps(duration_s, delay_bps):
    delay_s = duration_s * delay_bps / 10_000
    last_step = None
    plan = planner.plan_move(make_move(duration_s), SETTINGS)
    for now, share in simulate_steps(
        duration_s, 10_000, lambda _: False, lambda _: False, delay_s=delay_s
    ):
        if last_step is not None and share != last_step[1]:
            assert now - last_step[0] >= planner.MIN_HOLD_S
            assert share == plan.next_share_above(last_step[1])
        if last_step is None or share != last_step[1]:
            last_step = (now, share)


@pytest.mark.parametrize(
    ("duration_s", "elapsed_s", "share", "expected"),
    [
        (600, 20, 50, 97),  # The first steps need no proof of health.
        (600, 20, 365, 365),  # Limited by MAX_EXPOSURE_FRACTION.
        (600, 200, 97, 188),
        (600, 200, 5_157, 5_157),
    ],
)
def test_evidence_raises_the_share_within_the_exposure_limit(
    duration_s, elapsed_s, share, expected
):
    move = make_move(duration_s, share=share)
    plan = planner.plan_move(move, SETTINGS)
    assert planner.choose_share(move, plan, elapsed_s, True, False) == expected


def test_warning_of_a_fault_stops_every_step():
    move = make_move(600, share=97)
    plan = planner.plan_move(move, SETTINGS)
    assert planner.choose_share(move, plan, 599, True, True) == 97


@pytest.mark.parametrize(
    ("warm", "busy", "expected"),
    [(0, 10.0, 0), (10, 0.0, 10_000), (100, 85.0, 10_000), (50, 85.0, 5_000)],
)
def test_slot_limit(warm, busy, expected):
    assert math.isclose(
        planner.compute_slot_limit(warm, busy), expected, abs_tol=1
    )


@pytest.mark.parametrize(
    ("share", "wanted", "warm", "serving", "expected"),
    [
        (0, 50, 10_000, 10_000, 50),
        (100, 200, 150, 10_000, 150),
        (100, 200, 0, 10_000, 100),  # A restart does not lower the share.
        (1_000, 1_000, 900, 900, 1_000),  # Within the tolerance for estimates.
        (1_000, 1_000, 500, 500, 500),  # Backend servers have left.
    ],
)
def test_limit_share(share, wanted, warm, serving, expected):
    assert planner.limit_share(share, wanted, warm, serving) == expected
