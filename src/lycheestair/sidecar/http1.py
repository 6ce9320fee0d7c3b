"""HTTP/1.1 requests and responses over asyncio streams."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Final

from lycheestair import chunks
from lycheestair import error_responses
from lycheestair import messages
from lycheestair import pacing
from lycheestair.sidecar import streams

MAX_RESPONSE_HEAD_BYTES: Final = 32_768
MAX_RESPONSE_BODY_BYTES: Final = 67_108_864
MAX_INTERIM_RESPONSES: Final = 8
# Bodies are read in parts of this size, so that memory is taken as they arrive.
MAX_PART_BYTES: Final = 65_536
# Result of `messages.parse_body_framing` for a chunked body.
CHUNKED: Final = -1

# Shared by the bodies on all connections of the process.
_BODY_PACER: Final = pacing.Pacer()
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


# Large bodies of requests stay in the buffer into which they were received.
Body = bytes | bytearray


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its complete body.

    Attributes:
      target: Path and query, unchanged.
      keep_alive: Whether the connection stays open after the response.
    """

    method: bytes
    target: bytes
    host: str
    headers: list[messages.Header]
    body: Body
    keep_alive: bool = True

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; its name is in lower case."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(slots=True)
class Response:
    """A response with its complete body.

    Attributes:
      keep_alive: Whether the connection can be reused for another request.
      dependency_failed: Whether the backend server failed because a call that
        it made to another service failed.
    """

    status: int
    headers: list[messages.Header]
    body: bytes
    keep_alive: bool = True
    dependency_failed: bool = False

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; its name is in lower case."""
        return find_header(self.headers, name)


def find_header(headers: list[messages.Header], name: bytes) -> bytes | None:
    """Returns the first value of a header; its name is in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def _take_any(count: int) -> None:
    """Accepts any number of bytes."""


def parse_request(data: bytes) -> tuple[Request, int, bool]:
    """Parses the head of a request.

    Returns:
      The request without its body, the length of the body or CHUNKED, and whether
      the client waits for an interim response before it sends the body.

    Raises:
      MalformedMessageError: The head is malformed.
    """
    head = messages.parse_head(data)
    line = messages.parse_request_line(head)
    framing = messages.parse_body_framing(head.headers) or 0
    connection = (head.find_header(b"connection") or b"").lower()
    request = Request(
        line.method,
        line.target,
        line.host.decode(),
        head.headers,
        b"",
        line.is_persistent and b"close" not in connection,
    )
    return request, framing, head.find_header(b"expect") is not None


async def read_request(
    stream: streams.Stream, max_header_bytes: int, max_body_bytes: int
) -> Request:
    """Reads a request with its complete body.

    Raises:
      BodyTooLargeError: The body exceeds the limit.
      IncompleteMessageError: The connection was closed.
      MalformedMessageError: The request is malformed or its head exceeds the
        limit.
    """
    request, framing, expects_continue = parse_request(
        await stream.read_until(b"\r\n\r\n", max_header_bytes, False)
    )
    if framing > max_body_bytes:
        raise messages.BodyTooLargeError("request body is too large")
    if framing and expects_continue:
        stream.write(CONTINUE_RESPONSE)
    request.body = await _read_body(stream, framing, max_body_bytes)
    return request


async def read_response(
    stream: streams.Stream,
    method: bytes,
    take_bytes: Callable[[int], None] = _take_any,
) -> Response:
    """Reads a response with its complete body.

    A response without a length is complete when the connection is closed, but
    incomplete if it is reset.

    Args:
      stream: The connection.
      method: Method of the request.
      take_bytes: Called with the number of bytes of each part of the body; raises
        BodyTooLargeError if it may not be read.

    Raises:
      BodyTooLargeError: The body exceeds the limit.
      IncompleteMessageError: The connection ended before the response did.
      MalformedMessageError: The response is malformed.
    """
    for _ in range(MAX_INTERIM_RESPONSES):
        head = messages.parse_head(
            await stream.read_until(b"\r\n\r\n", MAX_RESPONSE_HEAD_BYTES, False)
        )
        line = messages.parse_status_line(head)
        if line.status >= 200:
            break
    else:
        raise messages.MalformedMessageError("too many interim answers")
    framing = messages.parse_body_framing(head.headers)
    if method == b"HEAD" or line.status in (204, 304):
        body = b""
    elif framing is None:
        body = await _read_until_close(stream, take_bytes)
    else:
        body = await _read_body(
            stream, framing, MAX_RESPONSE_BODY_BYTES, take_bytes
        )
    connection = (head.find_header(b"connection") or b"").lower()
    # Data after the response belongs to no request, so the connection is not
    # reused.
    keep_alive = (
        line.is_persistent
        and framing is not None
        and b"close" not in connection
        and not stream.buffered
        and not stream.closed
    )
    return Response(line.status, head.headers, body, keep_alive)


async def _read_body(
    stream: streams.Stream,
    framing: int,
    limit: int,
    take_bytes: Callable[[int], None] = _take_any,
) -> bytes:
    if framing > limit:
        raise messages.BodyTooLargeError("body is too large")
    if framing != CHUNKED:
        return await _read_in_parts(stream, framing, take_bytes)
    return await _read_chunks(stream, chunks.ChunkDecoder(limit, take_bytes))


async def _read_chunks(
    stream: streams.Stream, decoder: chunks.ChunkDecoder
) -> bytes:
    pace = pacing.BodyPace(_BODY_PACER)
    while True:
        began_at = time.monotonic()
        decoded_bytes = stream.decode(decoder.decode)
        if decoder.is_finished:
            return decoder.take_body()
        now = time.monotonic()
        if delay_s := pace.charge(now, now - began_at):
            await asyncio.sleep(delay_s)
        if not decoded_bytes:
            await stream.fill(True)


async def _read_in_parts(
    stream: streams.Stream, length: int, take_bytes: Callable[[int], None]
) -> bytes:
    """Reads exactly the given number of bytes."""
    parts = []
    while length:
        part_bytes = min(length, MAX_PART_BYTES)
        take_bytes(part_bytes)
        parts.append(await stream.read_exactly(part_bytes))
        length -= part_bytes
    return parts[0] if len(parts) == 1 else b"".join(parts)


async def _read_until_close(
    stream: streams.Stream, take_bytes: Callable[[int], None]
) -> bytes:
    body = bytearray()
    try:
        while True:
            take_bytes(stream.buffered)
            body += stream.take(stream.buffered)
            if len(body) > MAX_RESPONSE_BODY_BYTES:
                raise messages.BodyTooLargeError("body is too large")
            await stream.fill(True)
    except messages.IncompleteMessageError:
        if stream.was_reset:
            raise
    return bytes(body)


def encode_request_head(
    method: bytes,
    target: bytes,
    headers: list[messages.Header],
    body_bytes: int,
) -> bytes:
    """Returns the encoded head of a request with a body of known length."""
    length = (
        b"content-length: %d\r\n" % body_bytes
        if body_bytes or method in (b"POST", b"PUT", b"PATCH")
        else b""
    )
    return b"%s %s HTTP/1.1\r\n%s%s\r\n" % (
        method,
        target,
        messages.encode_headers(headers),
        length,
    )


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[messages.Header],
    body: bytes,
) -> bytes:
    """Returns an encoded request with a body of known length."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_response(answer: Response, method: bytes, keep_alive: bool) -> bytes:
    """Returns an encoded response to a request with the given method."""
    has_no_body = answer.status in (204, 304)
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n%s" % (
        answer.status,
        error_responses.get_reason_phrase(answer.status),
        messages.encode_headers(answer.headers),
        b"" if has_no_body else b"content-length: %d\r\n" % len(answer.body),
        b"" if keep_alive else b"connection: close\r\n",
        b"" if has_no_body or method == b"HEAD" else answer.body,
    )
