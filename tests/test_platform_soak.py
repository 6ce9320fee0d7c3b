"""Short seeded runs of the soak, and each seed that has ever failed."""

import pytest
import soak

SECONDS = 8.0
# Seeds that have failed: 4 and 11, SIGHUP ended a process that was starting.
REGRESSIONS = (4, 11)


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_under_overlapping_faults(seed, tmp_path):
    """Guards all promises to callers and backend servers at once."""
    failures, requests = soak.play(seed, SECONDS, tmp_path)
    assert not failures
    # Far fewer would mean that clients were not served.
    assert requests > 200
