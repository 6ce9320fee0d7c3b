"""Per-request call state and the internal headers that propagate it.

Clients may not send internal headers. For a nested call, a backend server sends
`x-lycheestair-context`, a random token that its node issued for the request in
progress and revokes when the request ends. Deadline, depth and remaining
retries stay in the node, so a backend server can't change them.
"""

import dataclasses
import itertools
import secrets
import time
from typing import Final

import xxhash

from lycheestair import claims as claims_lib
from lycheestair import ids
from lycheestair import messages

REQUEST_ID_HEADER: Final = b"x-lycheestair-request-id"
DEADLINE_MS_HEADER: Final = b"x-lycheestair-deadline-ms"
DEPTH_HEADER: Final = b"x-lycheestair-depth"
RETRIES_HEADER: Final = b"x-lycheestair-retries"
CONTEXT_HEADER: Final = b"x-lycheestair-context"
# In responses of backend servers: requests per second that the server accepts
# from all nodes together.
LIMIT_HEADER: Final = b"x-lycheestair-limit"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
_ROUTE_HEADER: Final = b"x-lycheestair-route"
_SERVICE_HEADER: Final = b"x-lycheestair-service"
_VERSION_HEADER: Final = b"x-lycheestair-version"
_FLAGS_HEADER: Final = b"x-lycheestair-flags"
# Letters of the flags header.
_CAN_WAIT_FLAG: Final = b"w"
_FROM_SERVICE_FLAG: Final = b"s"
_ALONE_FLAG: Final = b"a"


class MalformedCallError(Exception):
    """The internal headers of a request are missing, malformed or forbidden."""


@dataclasses.dataclass
class Call:
    """A request with its route, version, deadline and retry limit.

    Attributes:
      deadline: Monotonic time in seconds.
      depth: Number of calls above this one in the call chain.
      remaining_retries: Retries left for this call; its nested calls may use
        no more.
      can_wait: Whether the call has low priority: in a queue, calls that can't
        wait go ahead of it.
      from_service: Whether a backend server made the call.
      alone: Whether the backend server must run no other call at the same
        time, because this call may have crashed a backend server.
      grant: Exclusive right to run the request of an idempotency key.
    """

    request: messages.Request
    request_id: str
    route: ids.RouteName
    service: ids.ServiceName
    version: ids.VersionName
    deadline: float
    depth: int
    remaining_retries: int
    can_wait: bool
    from_service: bool
    alone: bool = False
    grant: claims_lib.Grant | None = None

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline or the end of the grant."""
        remaining = self.deadline - time.monotonic()
        if self.grant is None:
            return remaining
        return min(remaining, self.grant.valid_until - claims_lib.read_clock())

    @property
    def can_start(self) -> bool:
        """Whether the request may still run; checked right before sending.

        The process may have been paused for any length of time. Meanwhile the
        peer may have closed its connection and the client may have retried.
        """
        return (
            self.remaining_s > 0 and not self.request.is_sender_disconnected()
        )

    def fingerprint(self) -> str:
        """Returns a digest that is equal for repetitions of the request.

        Unlike the fingerprint of a key claim, it covers the idempotency key, if
        there is one, instead of the target and the body.
        """
        key = self.request.find_header(IDEMPOTENCY_KEY_HEADER)
        digest = xxhash.xxh3_128(self.request.method.encode())
        digest.update(f"\n{self.route}\n".encode())
        if key is not None:
            digest.update(b"key\n" + key)
        else:
            digest.update(self.request.target + b"\n" + self.request.body)
        return str(digest.hexdigest())


class RequestIdGenerator:
    """Generates request IDs that are unique across all nodes."""

    def __init__(self) -> None:
        self._prefix = secrets.token_hex(6)
        self._sequence = itertools.count(1)

    def generate(self) -> str:
        """Returns a new request ID."""
        return f"{self._prefix}-{next(self._sequence):x}"


def encode_peer_headers(call: Call) -> bytes:
    """Returns the internal header lines of a request to a serving node."""
    flags = b"%s%s%s" % (
        _CAN_WAIT_FLAG if call.can_wait else b"",
        _FROM_SERVICE_FLAG if call.from_service else b"",
        _ALONE_FLAG if call.alone else b"",
    )
    return (
        f"{REQUEST_ID_HEADER.decode()}: {call.request_id}\r\n"
        f"{DEADLINE_MS_HEADER.decode()}: "
        f"{max(1, int(call.remaining_s * 1000))}\r\n"
        f"{DEPTH_HEADER.decode()}: {call.depth}\r\n"
        f"{RETRIES_HEADER.decode()}: {call.remaining_retries}\r\n"
        f"{_ROUTE_HEADER.decode()}: {call.route}\r\n"
        f"{_SERVICE_HEADER.decode()}: {call.service}\r\n"
        f"{_VERSION_HEADER.decode()}: {call.version}\r\n"
        f"{_FLAGS_HEADER.decode()}: {flags.decode()}\r\n"
    ).encode()


def decode_peer_headers(request: messages.Request) -> Call:
    """Decodes the call from an entry node's request.

    Raises:
      MalformedCallError: An internal header is missing or malformed.
    """
    fields = {
        name: value.decode("latin-1")
        for name, value in request.headers
        if name.startswith(messages.INTERNAL_HEADER_PREFIX)
    }
    try:
        flags = fields[_FLAGS_HEADER]
        return Call(
            request=request,
            request_id=fields[REQUEST_ID_HEADER],
            route=ids.RouteName(fields[_ROUTE_HEADER]),
            service=ids.ServiceName(fields[_SERVICE_HEADER]),
            version=ids.VersionName(fields[_VERSION_HEADER]),
            deadline=time.monotonic() + int(fields[DEADLINE_MS_HEADER]) / 1000,
            depth=int(fields[DEPTH_HEADER]),
            remaining_retries=int(fields[RETRIES_HEADER]),
            can_wait=_CAN_WAIT_FLAG.decode() in flags,
            from_service=_FROM_SERVICE_FLAG.decode() in flags,
            alone=_ALONE_FLAG.decode() in flags,
        )
    except (KeyError, OverflowError, ValueError) as error:
        raise MalformedCallError(f"internal header: {error}") from error


class ContextTable:
    """Context tokens of the requests that the local backend server runs."""

    def __init__(self) -> None:
        self._calls: dict[bytes, Call] = {}

    def issue(self, call: Call) -> bytes:
        """Returns a token that identifies the call until it is revoked."""
        token = secrets.token_hex(16).encode()
        self._calls[token] = call
        return token

    def revoke(self, token: bytes) -> None:
        """Revokes a token."""
        self._calls.pop(token, None)

    def find(self, token: bytes) -> Call | None:
        """Returns the call in progress that a token identifies."""
        return self._calls.get(token)


def encode_server_headers(call: Call, token: bytes) -> bytes:
    """Returns the internal header lines of a request to the backend server."""
    return (
        f"{REQUEST_ID_HEADER.decode()}: {call.request_id}\r\n"
        f"{DEADLINE_MS_HEADER.decode()}: "
        f"{max(1, int(call.remaining_s * 1000))}\r\n"
        f"{DEPTH_HEADER.decode()}: {call.depth}\r\n"
        f"{CONTEXT_HEADER.decode()}: {token.decode()}\r\n"
    ).encode()
