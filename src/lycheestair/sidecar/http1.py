"""HTTP/1.1 requests and answers over asyncio streams."""

import dataclasses
from typing import Final

from lycheestair import messages
from lycheestair import refusals
from lycheestair.sidecar import streams

MAX_CHUNK_LINE_BYTES: Final = messages.MAX_CHUNK_LINE_BYTES
MAX_TRAILER_BYTES: Final = messages.MAX_TRAILER_BYTES
MAX_ANSWER_HEAD_BYTES: Final = 32_768
MAX_ANSWER_BYTES: Final = 67_108_864
MAX_INTERIM_ANSWERS: Final = 8
CHUNKED: Final = -1

_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request as the client sent it.

    Attributes:
      target: Path and query, unchanged.
      keep: Whether the client keeps the connection open afterwards.
    """

    method: bytes
    target: bytes
    host: str
    headers: list[messages.Header]
    body: bytes
    keep: bool = True

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, given in lower case."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer.

    Attributes:
      keep: Whether its connection may be used for another request.
      lacks_call: Whether the backend server failed for lack of a call.
    """

    status: int
    headers: list[messages.Header]
    body: bytes
    keep: bool = True
    lacks_call: bool = False

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, given in lower case."""
        return find_header(self.headers, name)


def find_header(headers: list[messages.Header], name: bytes) -> bytes | None:
    """Returns the first value of a header, given in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


async def read_request(
    stream: streams.Stream, max_header_bytes: int, max_body_bytes: int
) -> Request:
    """Reads a whole request.

    Raises:
      BodyTooLargeError: The body is larger than the limit.
      IncompleteMessageError: The connection ended.
      MalformedMessageError: The request is malformed or its head too large.
    """
    head = messages.parse_head(
        await stream.read_until(b"\r\n\r\n", max_header_bytes, False)
    )
    line = messages.parse_request_line(head)
    framing = messages.find_framing(head.headers) or 0
    if framing > max_body_bytes:
        raise messages.BodyTooLargeError("request body is too large")
    connection = (head.find(b"connection") or b"").lower()
    if framing and head.find(b"expect") is not None:
        stream.write(_CONTINUE)
    return Request(
        line.method,
        line.target,
        line.host.decode(),
        head.headers,
        await _read_body(stream, framing, max_body_bytes),
        line.keeps and b"close" not in connection,
    )


async def read_answer(stream: streams.Stream, method: bytes) -> Answer:
    """Reads a whole answer.

    An answer without a length ends with its connection; one that is reset is
    not whole.

    Raises:
      BodyTooLargeError: The body is larger than the limit.
      IncompleteMessageError: The connection ended within the answer.
      MalformedMessageError: The answer is malformed.
    """
    for _ in range(MAX_INTERIM_ANSWERS):
        head = messages.parse_head(
            await stream.read_until(b"\r\n\r\n", MAX_ANSWER_HEAD_BYTES, False)
        )
        line = messages.parse_status_line(head)
        if line.status >= 200:
            break
    else:
        raise messages.MalformedMessageError("too many interim answers")
    framing = messages.find_framing(head.headers)
    if method == b"HEAD" or line.status in (204, 304):
        body = b""
    elif framing is None:
        body = await _read_to_end(stream)
    else:
        body = await _read_body(stream, framing, MAX_ANSWER_BYTES)
    connection = (head.find(b"connection") or b"").lower()
    # Bytes behind the answer belong to no request.
    keep = (
        line.keeps
        and framing is not None
        and b"close" not in connection
        and not stream.buffered
        and not stream.ended
    )
    return Answer(line.status, head.headers, body, keep)


async def _read_body(stream: streams.Stream, framing: int, limit: int) -> bytes:
    if framing > limit:
        raise messages.BodyTooLargeError("body is too large")
    if framing != CHUNKED:
        return await stream.read_exactly(framing) if framing else b""
    chunks = []
    total = 0
    while length := messages.parse_chunk_length(
        await stream.read_until(b"\r\n", MAX_CHUNK_LINE_BYTES, True)
    ):
        total += length
        if total > limit:
            raise messages.BodyTooLargeError("body is too large")
        chunks.append(await stream.read_exactly(length))
        if await stream.read_exactly(2) != b"\r\n":
            raise messages.MalformedMessageError("malformed chunk")
    size = 0
    while (
        line := await stream.read_until(b"\r\n", MAX_TRAILER_BYTES - size, True)
    ) != b"\r\n":
        size += len(line)
    return b"".join(chunks)


async def _read_to_end(stream: streams.Stream) -> bytes:
    pieces = []
    total = 0
    try:
        while True:
            piece = stream.take(stream.buffered)
            pieces.append(piece)
            total += len(piece)
            if total > MAX_ANSWER_BYTES:
                raise messages.BodyTooLargeError("body is too large")
            await stream.fill(True)
    except messages.IncompleteMessageError:
        if stream.was_reset:
            raise
    return b"".join(pieces)


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[messages.Header],
    body: bytes,
) -> bytes:
    """Returns the bytes of a request with a body of known length."""
    length = (
        b"content-length: %d\r\n" % len(body)
        if body or method in (b"POST", b"PUT", b"PATCH")
        else b""
    )
    return b"%s %s HTTP/1.1\r\n%s%s\r\n%s" % (
        method,
        target,
        messages.encode_headers(headers),
        length,
        body,
    )


def encode_answer(answer: Answer, method: bytes, keep: bool) -> bytes:
    """Returns the bytes of an answer to a request with this method."""
    bodyless = answer.status in (204, 304)
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n%s" % (
        answer.status,
        refusals.find_reason(answer.status),
        messages.encode_headers(answer.headers),
        b"" if bodyless else b"content-length: %d\r\n" % len(answer.body),
        b"" if keep else b"connection: close\r\n",
        b"" if bodyless or method == b"HEAD" else answer.body,
    )
