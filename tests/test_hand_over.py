"""Hand-over of the records of idempotency keys to a joining voter."""

import pytest

from lycheestair import hand_over
from lycheestair import key_records


# 1.001 * 1000 is less than 1001 in binary floating point.
@pytest.mark.parametrize("request_timeout_ms", [1, 290, 1001, 6019, 8053])
def test_request_timeout_is_unchanged_by_a_hand_over(request_timeout_ms):
    record = key_records.Record(b"claim", b"f", 0.0, request_timeout_ms / 1000)
    chunks = hand_over.encode(
        hand_over.HandOver(True, 1, ((b"key", record),)), 0
    )

    [(_, decoded)] = hand_over.decode(chunks, lambda: 0.0).records

    assert decoded.request_timeout_s == record.request_timeout_s
