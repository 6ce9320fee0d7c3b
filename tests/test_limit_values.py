"""Values of the header in which a backend server names its limit."""

import pytest

from lycheestair import server_limits


@pytest.mark.parametrize("limit_per_s", [20 / 3, 0.1 + 0.2, 1e-7 / 3, 4.6])
def test_limit_with_all_decimal_places_of_a_double_is_applied(limit_per_s):
    """Guards against a limit that is ignored because it is written in full."""
    text = f"{limit_per_s:.25f}".encode()
    assert server_limits.parse_limit(text) == pytest.approx(limit_per_s)
    assert server_limits.parse_limit(b"6.666666666666667") == 20 / 3


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"1e3", b"nan", b"1.", b".5", b"1" * 10, b"0." + b"1" * 41],
)
def test_value_that_is_no_decimal_number_is_not_a_limit(value):
    """Guards against values that no server would name."""
    with pytest.raises(ValueError, match="not a limit"):
        server_limits.parse_limit(value)
