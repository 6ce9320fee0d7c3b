"""Limits that backend servers name for the requests that they accept."""

import re
from typing import Final

_DECIMAL_NUMBER: Final = re.compile(rb"\d{1,9}(\.\d{1,9})?")


def parse_limit(value: bytes) -> float:
    """Returns the requests per second that a header value allows.

    Raises:
      ValueError: The value is not a decimal number of at least 0.
    """
    text = value.strip()
    if not _DECIMAL_NUMBER.fullmatch(text):
        raise ValueError(f"{value[:32]!r} is not a limit")
    return float(text)
