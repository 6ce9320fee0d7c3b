"""Latency histograms with logarithmic buckets, small enough for each report."""

import bisect
import collections
from collections.abc import Iterable
from typing import Any
from typing import Final

BUCKETS_PER_DOUBLING: Final = 4
MIN_EDGE_MS: Final = 4.0
# The last edge is at 8.2 s.
_EDGE_COUNT: Final = 45
_EDGES_MS: Final = [
    MIN_EDGE_MS * 2 ** (number / BUCKETS_PER_DOUBLING)
    for number in range(_EDGE_COUNT)
]

# Number of answers by bucket.
Histogram = collections.Counter[int]
# The same as sorted pairs of bucket and number.
EncodedHistogram = tuple[tuple[int, int], ...]


def find_bucket(latency_ms: float) -> int:
    """Returns the bucket of a latency; the last one has no upper bound."""
    return bisect.bisect_left(_EDGES_MS, latency_ms)


def encode(histogram: Histogram) -> EncodedHistogram:
    """Returns a histogram as plain values."""
    return tuple(sorted(histogram.items()))


def decode(pairs: Iterable[Any]) -> EncodedHistogram:
    """Decodes the histogram of another node.

    Raises:
      TypeError, ValueError: The pairs are malformed.
    """
    return tuple((int(bucket), int(number)) for bucket, number in pairs)


def subtract(
    later: EncodedHistogram, earlier: EncodedHistogram
) -> EncodedHistogram:
    """Returns the answers counted since an earlier histogram."""
    return encode(Histogram(dict(later)) - Histogram(dict(earlier)))


def count_above(histogram: Histogram, bucket: int) -> int:
    """Returns the number of answers in higher buckets."""
    return sum(number for key, number in histogram.items() if key > bucket)


def find_quantile_bucket(histogram: Histogram, quantile: float) -> int:
    """Returns the lowest bucket that covers this fraction of the answers."""
    wanted = quantile * histogram.total()
    covered = 0
    for bucket in sorted(histogram):
        covered += histogram[bucket]
        if covered >= wanted:
            return bucket
    return _EDGE_COUNT
