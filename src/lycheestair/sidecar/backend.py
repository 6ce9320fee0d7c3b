"""What a backend server says of itself, and the names of its headers."""

import dataclasses
import enum

from lycheestair import ids


class BackendState(enum.Enum):
    """Whether a backend server takes requests."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat or the deregistration of a backend server.

    Attributes:
      instance: Id of the backend server.
      started_ms: Unix time in milliseconds of its start; tells incarnations
        with the same id apart.
      sequence: Rises with each heartbeat of one incarnation.
      cold_s: Time in seconds for which it is slow after its start.
    """

    instance: str
    state: BackendState
    started_ms: int = 0
    sequence: int = 0
    address: ids.Address = ids.Address("")
    service: ids.ServiceName = ids.ServiceName("")
    version: ids.VersionName = ids.VersionName("")
    slots: int = 0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Headers with a meaning, in lower case.

    Attributes:
      request_id: Id of one attempt of a client.
      deadline_ms: Milliseconds that the sender waits.
      instance: Id of the backend server that may run the request.
      caller: Service of the instance where the request began.
      not_run: On an answer: the backend server has not run the request.
      proof: Signature of the backend server on its answer.
      load: On an answer: running, waiting, slots.
    """

    request_id: bytes
    deadline_ms: bytes
    instance: bytes
    caller: bytes
    not_run: bytes
    proof: bytes
    load: bytes
