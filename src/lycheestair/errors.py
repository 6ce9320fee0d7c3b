"""Error kinds and the HTTP error response for each of them."""

import dataclasses
import enum
from typing import Final


class Execution(enum.Enum):
    """Whether a failed request is known not to have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Reasons for which a request fails without a backend server's response."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    OVER_ALLOWANCE = "over_allowance"
    INTERNAL_HEADER = "internal_header"
    NO_ROUTE = "no_route"
    NOT_READY = "not_ready"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    LONG_QUEUE = "long_queue"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEPTH_EXCEEDED = "depth_exceeded"
    DRAINING = "draining"
    CONNECT_FAILED = "connect_failed"
    REFUSED_BY_SERVER = "refused_by_server"
    SUSPECT = "suspect"
    NO_QUORUM = "no_quorum"
    SHARD_CLOSED = "shard_closed"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    RESULT_LOST = "result_lost"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    ANSWER_INCOMPLETE = "answer_incomplete"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class ErrorResponse:
    """HTTP response that reports an error kind to the client.

    Attributes:
      status: HTTP status code.
      execution: Sent as a header, so that clients know whether a retry is
        safe.
      retry_elsewhere: Whether the request may be retried on another endpoint.
      message: Text for the client.
    """

    status: int
    execution: Execution
    retry_elsewhere: bool
    message: str


_NOT_RUN: Final = Execution.NOT_RUN
_UNKNOWN: Final = Execution.UNKNOWN

ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, _NOT_RUN, False, "malformed request"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, _NOT_RUN, False, "request body too large"
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, _NOT_RUN, False, "request has no valid key of an account"
    ),
    ErrorKind.OVER_ALLOWANCE: ErrorResponse(
        429, _NOT_RUN, False, "account has used up its allowance"
    ),
    ErrorKind.INTERNAL_HEADER: ErrorResponse(
        400, _NOT_RUN, False, "request carries an internal header"
    ),
    ErrorKind.NO_ROUTE: ErrorResponse(404, _NOT_RUN, False, "no route matches"),
    ErrorKind.NOT_READY: ErrorResponse(
        503, _NOT_RUN, True, "node has not learned the configuration yet"
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(
        503, _NOT_RUN, False, "no backend server of the service is available"
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, _NOT_RUN, True, "all slots and queues are full"
    ),
    ErrorKind.LONG_QUEUE: ErrorResponse(
        503, _NOT_RUN, True, "backend server has a longer queue than others"
    ),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorResponse(
        504, _NOT_RUN, False, "deadline cannot be met"
    ),
    ErrorKind.DEPTH_EXCEEDED: ErrorResponse(
        508, _NOT_RUN, False, "call chain is too deep"
    ),
    ErrorKind.DRAINING: ErrorResponse(
        503, _NOT_RUN, True, "backend server is draining"
    ),
    ErrorKind.CONNECT_FAILED: ErrorResponse(
        502, _NOT_RUN, True, "backend server could not be reached"
    ),
    ErrorKind.REFUSED_BY_SERVER: ErrorResponse(
        503, _NOT_RUN, True, "backend server refused the request"
    ),
    ErrorKind.SUSPECT: ErrorResponse(
        422, _NOT_RUN, False, "request is suspected of crashing backend servers"
    ),
    ErrorKind.NO_QUORUM: ErrorResponse(
        503, _NOT_RUN, False, "too few key voters can be reached"
    ),
    ErrorKind.SHARD_CLOSED: ErrorResponse(
        503, _NOT_RUN, False, "key shard is closed after a loss of records"
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, _NOT_RUN, False, "idempotency key was used for another request"
    ),
    ErrorKind.IN_PROGRESS: ErrorResponse(
        409, _UNKNOWN, False, "request with this idempotency key is in progress"
    ),
    ErrorKind.RESULT_LOST: ErrorResponse(
        409,
        _UNKNOWN,
        False,
        "request with this idempotency key has no known result",
    ),
    ErrorKind.TIMEOUT: ErrorResponse(
        504, _UNKNOWN, False, "no answer before the deadline"
    ),
    ErrorKind.CONNECTION_LOST: ErrorResponse(
        502, _UNKNOWN, True, "connection lost before the answer"
    ),
    ErrorKind.ANSWER_INCOMPLETE: ErrorResponse(
        502, _UNKNOWN, True, "answer was not whole"
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN, False, "internal error"),
}


@dataclasses.dataclass(frozen=True)
class Failure:
    """Outcome of a request that has no response from its backend server.

    Attributes:
      retry_after_s: Time in seconds after which the backend server accepts
        requests again; 0 if unknown.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float = 0.0

    @property
    def response(self) -> ErrorResponse:
        """Error response for the kind of this failure."""
        return ERROR_RESPONSES[self.kind]
