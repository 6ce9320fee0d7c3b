"""Reads message bodies from a socket with a deadline."""

import time
from typing import Final

from lycheestair import chunks
from lycheestair import messages
from lycheestair import pacing

# Bodies of tiny chunks share the turns of all connections of the process.
_COSTLY_BODIES: Final = pacing.Pacer()


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
    while True:
        decoded_bytes = reader.decode(decoder.decode)
        if decoder.is_finished:
            return decoder.take_body()
        if decoder.is_costly:
            delay_s = _COSTLY_BODIES.reserve(time.monotonic())
            time.sleep(min(delay_s, reader.check_deadline()))
        if not decoded_bytes and not reader.fill():
            raise messages.IncompleteMessageError(True)
