"""Decoder of chunked bodies, shared by both request paths.

Answers senders of tiny chunks without end: what is kept of a body takes as much
memory as its bytes, and decoding stops after a bounded number of chunks, so that
the caller can let other work run.
"""

from collections.abc import Callable
import enum
import re
from typing import Final

from lycheestair import messages

MAX_CHUNK_LINE_BYTES: Final = 256
MAX_TRAILER_BYTES: Final = 8_192
# Chunks and trailer lines decoded by one call, a fraction of a turn (`pacing`).
MAX_PARTS_PER_CALL: Final = 32

_CHUNK_LINE: Final = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(;[^\r\n]*)?\r\n")
_LINE_END: Final = b"\r\n"


class _State(enum.Enum):
    """What the next bytes of a body are."""

    SIZE = "size"
    CONTENT = "content"
    CONTENT_END = "content end"
    TRAILER = "trailer"
    FINISHED = "finished"


def _accept_any(count: int) -> None:
    """Accepts any number of bytes."""


class ChunkDecoder:
    """Decodes one chunked body from the bytes received so far."""

    def __init__(
        self, limit: int, take_bytes: Callable[[int], None] = _accept_any
    ):
        """Initializes a decoder at the first chunk.

        Args:
          limit: Size limit of the body in bytes.
          take_bytes: Called with the number of bytes of each part of the body;
            raises BodyTooLargeError if it may not be kept.
        """
        self._limit = limit
        self._take_bytes = take_bytes
        self._state = _State.SIZE
        self._body = bytearray()
        self._announced_bytes = 0
        self._remaining_bytes = 0
        self._trailer_bytes = 0
        self._part_count = 0

    @property
    def is_finished(self) -> bool:
        """Whether the end of the body has been decoded."""
        return self._state is _State.FINISHED

    def take_body(self) -> bytes:
        """Returns the decoded body and releases its memory."""
        body = bytes(self._body)
        self._body.clear()
        return body

    def detach_body(self) -> bytearray:
        """Returns the decoded body without copying it."""
        body, self._body = self._body, bytearray()
        return body

    def decode(self, buffer: bytes | bytearray) -> int:
        """Decodes received bytes, up to MAX_PARTS_PER_CALL parts.

        Returns:
          The number of decoded bytes. If it is 0 and the body isn't finished,
          more bytes are needed.

        Raises:
          BodyTooLargeError: The body exceeds the limit.
          MalformedMessageError: A chunk or trailer line is malformed.
        """
        position = 0
        last_part = self._part_count + MAX_PARTS_PER_CALL
        while self._part_count < last_part and not self.is_finished:
            end = self._decode_part(buffer, position)
            if end is None:
                break
            position = end
        return position

    def _decode_part(self, buffer: bytes | bytearray, start: int) -> int | None:
        """Returns the end of the part at `start`, None if it is incomplete."""
        if self._state is _State.SIZE:
            return self._decode_size(buffer, start)
        if self._state is _State.CONTENT:
            return self._decode_content(buffer, start)
        if self._state is _State.CONTENT_END:
            return self._decode_content_end(buffer, start)
        return self._decode_trailer_line(buffer, start)

    def _decode_size(self, buffer: bytes | bytearray, start: int) -> int | None:
        end = _find_line_end(buffer, start, MAX_CHUNK_LINE_BYTES)
        if end is None:
            return None
        match = _CHUNK_LINE.fullmatch(buffer, start, end)
        if match is None:
            raise messages.MalformedMessageError("malformed chunk")
        self._part_count += 1
        self._remaining_bytes = int(match[1], 16)
        self._announced_bytes += self._remaining_bytes
        if self._announced_bytes > self._limit:
            raise messages.BodyTooLargeError(
                f"body is larger than {self._limit} bytes"
            )
        self._state = (
            _State.CONTENT if self._remaining_bytes else _State.TRAILER
        )
        return end

    def _decode_content(
        self, buffer: bytes | bytearray, start: int
    ) -> int | None:
        count = min(len(buffer) - start, self._remaining_bytes)
        if not count:
            return None
        self._take_bytes(count)
        end = start + count
        self._body += memoryview(buffer)[start:end]
        self._remaining_bytes -= count
        if not self._remaining_bytes:
            self._state = _State.CONTENT_END
        return end

    def _decode_content_end(
        self, buffer: bytes | bytearray, start: int
    ) -> int | None:
        end = start + len(_LINE_END)
        if len(buffer) < end:
            return None
        if buffer[start:end] != _LINE_END:
            raise messages.MalformedMessageError("malformed chunk")
        self._state = _State.SIZE
        return end

    def _decode_trailer_line(
        self, buffer: bytes | bytearray, start: int
    ) -> int | None:
        end = _find_line_end(
            buffer, start, MAX_TRAILER_BYTES - self._trailer_bytes
        )
        if end is None:
            return None
        self._part_count += 1
        self._trailer_bytes += end - start
        if end - start == len(_LINE_END):
            self._state = _State.FINISHED
        return end


def _find_line_end(
    buffer: bytes | bytearray, start: int, limit: int
) -> int | None:
    """Returns the end of the line at `start`, None if it is incomplete.

    Raises:
      MalformedMessageError: The line is longer than the limit.
    """
    found = buffer.find(_LINE_END, start, start + limit)
    if found >= 0:
        return found + len(_LINE_END)
    if len(buffer) - start >= limit:
        raise messages.MalformedMessageError("line of a chunked body too long")
    return None
