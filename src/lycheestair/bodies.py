"""Reads message bodies from a socket with a deadline."""

import time
from typing import Final

from lycheestair import chunks
from lycheestair import messages
from lycheestair import pacing

# Shared by the bodies on all connections of the process.
_BODY_PACER: Final = pacing.Pacer()


def read_body(
    reader: messages.MessageReader, framing: int, limit: int
) -> bytes:
    """Reads the body of a message.

    Args:
      reader: Positioned after the head.
      framing: Length in bytes, or -1 for a chunked body.
      limit: Size limit in bytes.

    Raises:
      BodyTooLargeError: The body is larger than the limit.
      IncompleteMessageError: The connection ended within the body.
      MalformedMessageError: A chunk is malformed.
      TimeoutError: The deadline of the reader passed.
    """
    if framing < 0:
        return _read_chunks(reader, limit)
    if framing > limit:
        raise messages.BodyTooLargeError(f"body is larger than {limit} bytes")
    return reader.read_exactly(framing) if framing else b""


def _read_chunks(reader: messages.MessageReader, limit: int) -> bytes:
    decoder = chunks.ChunkDecoder(limit)
    pace = pacing.BodyPace(_BODY_PACER)
    while True:
        # Unlike the monotonic clock, it excludes waiting for the other threads.
        began_s = time.thread_time()
        decoded_bytes = reader.decode(decoder.decode)
        if decoder.is_finished:
            return decoder.take_body()
        used_s = time.thread_time() - began_s
        if delay_s := pace.charge(time.monotonic(), used_s):
            time.sleep(min(delay_s, reader.check_deadline()))
        if not decoded_bytes and not reader.fill():
            raise messages.IncompleteMessageError(True)
