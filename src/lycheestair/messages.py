"""Strict parsing of complete HTTP/1.1 requests and responses from a socket.

Messages that two parsers could frame differently are rejected, so that no
part of one message can be taken for the next one (request smuggling).
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import http
import re
import socket
import time
from typing import Final

Header = tuple[bytes, bytes]
# Large bodies of requests stay in the buffer into which they were received.
Body = bytes | bytearray

RECEIVE_BUFFER_BYTES: Final = 65_536
INTERNAL_HEADER_PREFIX: Final = b"x-lycheestair-"

# Unambiguous, so that matching does not backtrack and takes linear time.
_FIELD_PATTERN: Final = (
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\x00-\x08\x0a-\x1f\x7f]*)\r\n"
)
_FIELD: Final = re.compile(_FIELD_PATTERN)
_FIELDS: Final = re.compile(b"(?:%s)*" % _FIELD_PATTERN)
_REQUEST_LINE: Final = re.compile(
    rb"([A-Z]{1,32}) (/[\x21-\x7e\x80-\xff]*) HTTP/1\.([01])"
)
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})( .*)?")
_HOST: Final = re.compile(rb"[0-9A-Za-z._:\[\]-]{0,255}")
_HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class MalformedMessageError(Exception):
    """The message violates the HTTP syntax or a size limit of its head."""


class BodyTooLargeError(Exception):
    """The body is larger than the limit."""


class IncompleteMessageError(Exception):
    """The connection ended within the message.

    Attributes:
      started: Whether any byte of the message had arrived.
    """

    def __init__(self, started: bool):
        super().__init__("connection ended within a message")
        self.started = started


class MessageReader:
    """Reads parts of messages from a socket with a deadline.

    Attributes:
      deadline: Monotonic time in seconds after which reads raise
        TimeoutError. A timeout per read would let a slow sender occupy its
        thread indefinitely.
      receive_bytes: Most bytes that are received at once.
    """

    def __init__(self, sock: socket.socket):
        self.deadline = 0.0
        self.receive_bytes = RECEIVE_BUFFER_BYTES
        self._sock = sock
        self._buffer = b""

    @property
    def has_buffered_data(self) -> bool:
        """Whether bytes beyond the last message have been received."""
        return bool(self._buffer)

    @property
    def buffered(self) -> int:
        """Number of bytes received but not read yet."""
        return len(self._buffer)

    def check_deadline(self) -> float:
        """Returns the time in seconds until the deadline.

        Raises:
          TimeoutError: The deadline has passed.
        """
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("deadline passed")
        return remaining_s

    def fill(self) -> bool:
        """Receives more bytes; returns False at the end of the connection."""
        self._sock.settimeout(self.check_deadline())
        data = self._sock.recv(self.receive_bytes)
        self._buffer = self._buffer + data if self._buffer else data
        return bool(data)

    def clear(self) -> int:
        """Discards buffered bytes and returns their number."""
        size = len(self._buffer)
        self._buffer = b""
        return size

    def read_until(self, delimiter: bytes, limit: int, started: bool) -> bytes:
        """Reads up to and including a delimiter.

        Args:
          delimiter: Bytes that end the part.
          limit: Size limit in bytes, including the delimiter.
          started: Whether earlier parts of the message have been read.
        """
        searched = 0
        while (position := self._buffer.find(delimiter, searched)) < 0:
            size = len(self._buffer)
            if size >= limit:
                raise MalformedMessageError("start line or headers too large")
            searched = max(0, size - len(delimiter) + 1)
            if not self.fill():
                raise IncompleteMessageError(started or size > 0)
        position += len(delimiter)
        if position > limit:
            raise MalformedMessageError("start line or headers too large")
        data = self._buffer[:position]
        self._buffer = self._buffer[position:]
        return data

    def decode(self, decode: Callable[[bytes], int]) -> int:
        """Removes the bytes that a function decodes; returns their number.

        Args:
          decode: Called with the received bytes; returns the number of decoded
            bytes.
        """
        length = decode(self._buffer)
        self._buffer = self._buffer[length:]
        return length

    def move(self, target: bytearray, limit: int) -> int:
        """Moves at least one byte, up to a limit; returns their number."""
        if not self._buffer and not self.fill():
            raise IncompleteMessageError(True)
        data = self._buffer[:limit]
        self._buffer = self._buffer[len(data) :]
        target += data
        return len(data)

    def read_exactly(self, length: int) -> bytes:
        """Reads a given number of bytes."""
        if len(self._buffer) < length:
            # Joined once, because appending each piece to the buffer would
            # copy a large body in quadratic time.
            pieces = [self._buffer]
            missing = length - len(self._buffer)
            while missing > 0:
                self._buffer = b""
                if not self.fill():
                    raise IncompleteMessageError(True)
                pieces.append(self._buffer)
                missing -= len(self._buffer)
            self._buffer = b"".join(pieces)
        data = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return data


@dataclasses.dataclass
class MessageHead:
    """Start line and header fields with lowercase names."""

    start: bytes
    headers: list[Header]

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass
class Request:
    """A complete request.

    Attributes:
      target: Path and query as sent.
      path: Path of the target, still percent-encoded.
      is_sender_disconnected: Returns whether the sender has closed the
        connection.
    """

    method: str
    target: bytes
    path: str
    host: str
    headers: list[Header]
    body: Body
    is_sender_disconnected: Callable[[], bool] = lambda: False

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @functools.cached_property
    def encoded_head(self) -> bytes:
        """Encoded start line and end-to-end headers without the empty line."""
        length = (
            b"content-length: %d\r\n" % len(self.body)
            if self.body or self.method in ("POST", "PUT", "PATCH")
            else b""
        )
        return b"%s %s HTTP/1.1\r\n%s%s" % (
            self.method.encode(),
            self.target,
            encode_headers(select_end_to_end_headers(self.headers)),
            length,
        )


@dataclasses.dataclass
class Response:
    """A complete response."""

    status: int
    headers: list[Header]
    body: bytes

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def encode_headers(headers: Iterable[Header]) -> bytes:
    """Encodes headers as header lines."""
    return b"".join([b"%s: %s\r\n" % header for header in headers])


def select_end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Returns the headers to forward: neither hop-by-hop nor internal."""
    dropped = _HOP_BY_HOP
    for name, value in headers:
        if name == b"connection" and value.lower() not in (
            b"close",
            b"keep-alive",
        ):
            dropped = dropped | {
                token.strip().lower() for token in value.split(b",")
            }
    return [
        header
        for header in headers
        if header[0] not in dropped
        and not header[0].startswith(INTERNAL_HEADER_PREFIX)
    ]


def parse_head(data: bytes) -> MessageHead:
    """Parses start line and headers.

    Args:
      data: Message head including the terminating empty line.

    Raises:
      MalformedMessageError: A header line is malformed.
    """
    start, _, fields = data[:-2].partition(b"\r\n")
    if _FIELDS.fullmatch(fields) is None:
        raise MalformedMessageError("malformed header line")
    return MessageHead(
        start,
        [
            (name.lower(), value.strip(b" \t"))
            for name, value in _FIELD.findall(fields)
        ],
    )


@dataclasses.dataclass(frozen=True)
class RequestLine:
    """Request line and Host header.

    Attributes:
      target: Path and query as sent.
      is_persistent: Whether the HTTP version defaults to persistent
        connections.
      host: Value of the Host header, empty if an HTTP/1.0 request omits it.
    """

    method: bytes
    target: bytes
    is_persistent: bool
    host: bytes


def parse_request_line(head: MessageHead) -> RequestLine:
    """Parses the request line and the Host header.

    Raises:
      MalformedMessageError: One of them is malformed or missing.
    """
    line = _REQUEST_LINE.fullmatch(head.start)
    if line is None:
        raise MalformedMessageError("malformed request line")
    hosts = [value for name, value in head.headers if name == b"host"]
    if len(hosts) > 1 or (not hosts and line[3] == b"1"):
        raise MalformedMessageError("exactly one Host is needed")
    host = hosts[0] if hosts else b""
    if _HOST.fullmatch(host) is None:
        raise MalformedMessageError("malformed Host")
    return RequestLine(line[1], line[2], line[3] == b"1", host)


@dataclasses.dataclass(frozen=True)
class StatusLine:
    """Status line of a response.

    Attributes:
      is_persistent: Whether the HTTP version defaults to persistent
        connections.
    """

    status: int
    is_persistent: bool


def parse_status_line(head: MessageHead) -> StatusLine:
    """Parses the status line of a response.

    Raises:
      MalformedMessageError: The status line is malformed, or changes the
        protocol, which no request asks for.
    """
    line = _STATUS_LINE.fullmatch(head.start)
    if line is None:
        raise MalformedMessageError("malformed status line")
    status = int(line[2])
    if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedMessageError("answer changes the protocol")
    return StatusLine(status, line[1] == b"1")


def read_head(reader: MessageReader, limit: int) -> MessageHead:
    """Reads start line and headers.

    Args:
      reader: Positioned at the start of a message.
      limit: Size limit of the head in bytes.

    Raises:
      IncompleteMessageError: The connection ended.
      MalformedMessageError: The head is malformed or too large.
      TimeoutError: The deadline of the reader passed.
    """
    return parse_head(reader.read_until(b"\r\n\r\n", limit, False))


def parse_body_framing(headers: list[Header]) -> int | None:
    """Returns the length of the body, -1 if chunked, None if unspecified.

    Raises:
      MalformedMessageError: The framing headers are malformed or conflict.
    """
    lengths = {value for name, value in headers if name == b"content-length"}
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise MalformedMessageError("conflicting or unknown body framing")
        return -1
    if not lengths:
        return None
    length = lengths.pop()
    # isdigit rejects signs, underscores and spaces, which int() accepts.
    if lengths or not length.isdigit() or len(length) > 15:
        raise MalformedMessageError("conflicting or malformed content-length")
    return int(length)
