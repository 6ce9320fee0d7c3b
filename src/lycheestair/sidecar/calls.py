"""One request on its way to a backend server, and how it can end."""

import dataclasses
from typing import Any

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import clock
from lycheestair.sidecar import http1


@dataclasses.dataclass(slots=True)
class Call:
    """A request with what its entry node decided.

    Attributes:
      deadline: Steady time in seconds at which the answer is due.
      instance: Backend server that may run it.
      objective: Steady time in seconds until which it has its full value.
      service: Service that it is for; the serving node does not need it.
      may_return: Whether its client would send it again after a failure.
      own: Whether the own backend server makes it; it does not try again.
      repeat: Whether another backend server has been sent it before.
      caller: Service of the instance where the request began.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[messages.Header]
    body: bytes
    caller: ids.ServiceName
    route: ids.RouteName
    instance: str
    idempotent: bool
    priority: int
    deadline: float
    objective: float
    service: ids.ServiceName = ids.ServiceName("")
    may_return: bool = False
    own: bool = False
    repeat: bool = False

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - clock.read_s()

    def encode(self) -> list[Any]:
        """Returns the call as a list; times are relative."""
        now = clock.read_s()
        return [
            self.request_id,
            self.method,
            self.target,
            self.headers,
            self.body,
            self.caller,
            self.route,
            self.instance,
            self.idempotent,
            self.priority,
            self.repeat,
            int((self.deadline - now) * 1000),
            int((self.objective - now) * 1000),
        ]


def decode_call(fields: list[Any]) -> Call:
    """Decodes a call.

    Raises:
      ValueError: The fields are not those of a call.
    """
    try:
        *values, repeat, deadline_ms, objective_ms = fields
        now = clock.read_s()
        values += [now + deadline_ms / 1000, now + objective_ms / 1000]
        call = Call(*values)
        call.repeat = bool(repeat)
        call.headers = [(name, value) for name, value in call.headers]
        return call
    except TypeError as error:
        raise ValueError(f"not a call: {error}") from error


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that ended without an answer of its backend server.

    Attributes:
      reached: Whether the backend server was sent the request.
      retry_after_s: Time in seconds after which there may be room.
    """

    kind: errors.ErrorKind
    detail: str = ""
    reached: bool = False
    retry_after_s: float = 0.0

    @property
    def not_run(self) -> bool:
        """Whether the request has certainly not run."""
        return errors.ANSWERS[self.kind].execution is errors.Execution.NOT_RUN


Outcome = http1.Answer | Refusal
