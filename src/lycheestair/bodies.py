"""Reads message bodies from a socket with a deadline."""

import time
from typing import Final
from typing import Protocol

from lycheestair import chunks
from lycheestair import messages
from lycheestair import pacing
from lycheestair import request_memory

# Bodies of clients are charged and read in parts of this size.
PART_BYTES: Final = 65_536
# A request that waits longer than this for memory is refused.
MAX_MEMORY_WAIT_S: Final = 1.5
MEMORY_POLL_S: Final = 0.05
# A paced request learns within this time that it has been shed. With many paced
# requests, each waits for seconds.
MAX_PAUSE_S: Final = 0.25

# Shared by the bodies on all connections of the process.
_BODY_PACER: Final = pacing.Pacer()


class BodyBudget(Protocol):
    """What the bytes of a body are charged to."""

    def reserve(self, reader: messages.MessageReader, count: int) -> None:
        """Charges bytes that are about to be read.

        Raises:
          MemoryShortError: There is not enough memory for the request.
          TimeoutError: The deadline of the reader passed.
        """

    def record(self, count: int) -> None:
        """Records bytes that have been read.

        Raises:
          MemoryShortError: The request must give its memory back.
        """


class _NoBudget:
    """Accepts any number of bytes."""

    def reserve(self, reader: messages.MessageReader, count: int) -> None:
        """Implements BodyBudget."""

    def record(self, count: int) -> None:
        """Implements BodyBudget."""


_NO_BUDGET: Final = _NoBudget()


class ChargedBudget:
    """Charges the body of a client's request to the memory of all requests."""

    def __init__(
        self,
        memory: request_memory.RequestMemory,
        charge: request_memory.Charge,
    ):
        self._memory = memory
        self._charge = charge

    def reserve(self, reader: messages.MessageReader, count: int) -> None:
        """Implements BodyBudget; waits until stalled requests have ended."""
        count += count // request_memory.GROWTH_DIVISOR
        now = time.monotonic()
        until = now + MAX_MEMORY_WAIT_S
        while not self._charge.try_charge(count, now):
            if self._charge.is_shed or (
                not self._memory.shed_stalled(now) and now >= until
            ):
                raise request_memory.MemoryShortError
            self._charge.is_waiting = True
            time.sleep(min(MEMORY_POLL_S, reader.check_deadline()))
            self._charge.is_waiting = False
            now = time.monotonic()
        self._charge.progress_at = now

    def record(self, count: int) -> None:
        """Implements BodyBudget."""
        self._charge.record_progress(count, time.monotonic())


def read_body(
    reader: messages.MessageReader,
    framing: int,
    limit: int,
    budget: BodyBudget = _NO_BUDGET,
) -> messages.Body:
    """Reads the body of a message.

    Args:
      reader: Positioned after the head.
      framing: Length in bytes, or -1 for a chunked body.
      limit: Size limit in bytes.
      budget: Charged with the bytes before they are read.

    Raises:
      BodyTooLargeError: The body is larger than the limit.
      IncompleteMessageError: The connection ended within the body.
      MalformedMessageError: A chunk is malformed.
      MemoryShortError: There is not enough memory for the body.
      TimeoutError: The deadline of the reader passed.
    """
    if framing < 0:
        return _read_chunks(reader, limit, budget)
    if framing > limit:
        raise messages.BodyTooLargeError(f"body is larger than {limit} bytes")
    if budget is _NO_BUDGET:
        return reader.read_exactly(framing) if framing else b""
    return _read_parts(reader, framing, budget)


def _read_parts(
    reader: messages.MessageReader, length: int, budget: BodyBudget
) -> messages.Body:
    body = bytearray()
    while length:
        part_bytes = min(length, PART_BYTES)
        budget.reserve(reader, part_bytes)
        length -= part_bytes
        while part_bytes:
            count = reader.move(body, part_bytes)
            budget.record(count)
            part_bytes -= count
    return _finish_body(body)


def _read_chunks(
    reader: messages.MessageReader, limit: int, budget: BodyBudget
) -> messages.Body:
    decoder = chunks.ChunkDecoder(limit)
    pace = pacing.BodyPace(_BODY_PACER)
    room = 0
    while True:
        # No call decodes more than is buffered.
        if room < reader.buffered:
            budget.reserve(reader, PART_BYTES)
            room += PART_BYTES
        # Unlike the monotonic clock, it excludes waiting for the other threads.
        began_s = time.thread_time()
        decoded_bytes = reader.decode(decoder.decode)
        room -= decoded_bytes
        budget.record(decoded_bytes)
        if decoder.is_finished:
            if budget is _NO_BUDGET:
                return decoder.take_body()
            return _finish_body(decoder.detach_body())
        used_s = time.thread_time() - began_s
        if delay_s := pace.charge(time.monotonic(), used_s):
            _pause(delay_s, reader, budget)
        if not decoded_bytes and not reader.fill():
            raise messages.IncompleteMessageError(True)


def _pause(
    delay_s: float, reader: messages.MessageReader, budget: BodyBudget
) -> None:
    until = time.monotonic() + delay_s
    while (remaining_s := until - time.monotonic()) > 0:
        time.sleep(min(remaining_s, MAX_PAUSE_S, reader.check_deadline()))
        budget.record(0)


def _finish_body(body: bytearray) -> messages.Body:
    # A copy of a large body would double its memory.
    return bytes(body) if len(body) <= PART_BYTES else body
