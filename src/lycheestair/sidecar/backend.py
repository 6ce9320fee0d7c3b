"""Announcements of backend servers and the headers used with them."""

import dataclasses
import enum

from lycheestair import ids
from lycheestair.sidecar import http1


class BackendState(enum.Enum):
    """Whether a backend server accepts requests."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat or the deregistration of a backend server.

    Attributes:
      instance: Id of the backend server.
      started_ms: Unix time in milliseconds at which it started; distinguishes
        incarnations with the same id.
      sequence: Increases with each heartbeat of an incarnation.
      warmup_s: Remaining warm-up time in seconds, during which the backend
        server is slow.
    """

    instance: str
    state: BackendState
    started_ms: int = 0
    sequence: int = 0
    address: ids.Address = ids.Address("")
    service: ids.ServiceName = ids.ServiceName("")
    version: ids.VersionName = ids.VersionName("")
    slots: int = 0
    warmup_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that nodes interpret, in lower case.

    Attributes:
      request_id: Id of one attempt of a client.
      deadline_ms: Timeout of the sender in milliseconds.
      instance: Id of the backend server that may execute the request.
      responder: On a response to a health check: id of the backend server that
        sent it.
      caller: Service of the entry node's local backend server.
      not_executed: On a response: the backend server did not execute the
        request.
      signature: On a response: signature of the backend server.
      load: On a response: running requests, waiting requests and slots, and
        perhaps the time that work takes now, in percent of the usual time.
      limit: On a response: requests per second that the backend server accepts
        from all nodes together.
      leaving: On a response: b"1" if the backend server is about to stop.
      account: Client account of the request, set by the system alone.
      credentials: On a request of a client: the key of its account.
      warmup_ms: On a response to a health check: remaining warm-up time in
        milliseconds.
    """

    request_id: bytes
    deadline_ms: bytes
    instance: bytes
    responder: bytes
    caller: bytes
    not_executed: bytes
    signature: bytes
    load: bytes
    limit: bytes
    leaving: bytes
    account: bytes
    credentials: bytes
    warmup_ms: bytes


def tells_limit(response: http1.Response, headers: HeaderNames) -> bool:
    """Returns whether a response says which limit its server has, if any.

    An error response without a signature may come from something in front of
    the backend server, and ends no limit.
    """
    return (
        response.find_header(headers.limit) is not None
        or response.find_header(headers.signature) is not None
    )
