"""Limit of the memory that the requests of clients may take in a node."""

from typing import Final

# Memory of the process without client requests: about 26 MB after the start, and
# what the connections of other nodes and the configuration add.
PROCESS_BYTES: Final = 30_000_000
# Fraction of the memory of the process that client requests get in any case.
MIN_RATIO: Final = 0.1
# Memory of an open connection: its objects, without the receive buffer.
CONNECTION_BYTES: Final = 10_000


def compute_limit(memory_bytes: int, answer_ratio: float) -> int:
    """Returns the limit for client requests.

    Args:
      memory_bytes: Memory of the process.
      answer_ratio: Fraction of it for the answers of the backend server.
    """
    return int(
        max(
            memory_bytes * (1 - answer_ratio) - PROCESS_BYTES,
            memory_bytes * MIN_RATIO,
        )
    )
