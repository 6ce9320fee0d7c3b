"""Calls, which carry requests to backend servers, and their outcomes."""

import dataclasses
from typing import Any
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import clock
from lycheestair.sidecar import frames
from lycheestair.sidecar import http1

# Number of fields of a call from a node of protocol version 1. Later versions add
# fields after them.
_FIELDS_OF_VERSION_1: Final = 13
_FIELDS_OF_VERSION_2: Final = 14

# Regions in which a request may be served; None if all are allowed.
Regions = frozenset[ids.Region] | None


@dataclasses.dataclass(slots=True)
class Call:
    """A request with the routing decisions of its entry node.

    Times are those of `clock.read_s`, in seconds.

    Attributes:
      deadline: Time by which the response is due.
      instance: Id of the backend server that may execute the request.
      objective: Time by which the response must arrive to meet the latency
        objective.
      service: Target service; not sent to the serving node, which does not
        need it.
      own: Whether it arrived from the address of the entry node's local backend
        server. Backend servers do not retry.
      is_dependency: Whether the local backend server sent it while it runs the
        request that needs it.
      is_retry: Whether an earlier attempt may have reached a backend server.
      caller: Service of the entry node's local backend server.
      max_wait_s: Expected time in the queue beyond which the entry node
        prefers another backend server; None if it accepts any.
      fingerprint: Set by `suspects.compute_fingerprint`; empty before.
      account: Client account of the request, empty if it has none.
      was_admitted: At the serving node: whether the backend server may have got
        the request.
      regions: Regions in which it may be served; not sent to the serving node,
        which determines them from its own configuration.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[messages.Header]
    body: http1.Body
    caller: ids.ServiceName
    route: ids.RouteName
    instance: str
    idempotent: bool
    priority: int
    deadline: float
    objective: float
    service: ids.ServiceName = ids.ServiceName("")
    own: bool = False
    is_retry: bool = False
    max_wait_s: float | None = None
    fingerprint: bytes = b""
    account: ids.AccountName = ids.AccountName("")
    is_dependency: bool = False
    was_admitted: bool = False
    regions: Regions = None

    @property
    def remaining_s(self) -> float:
        """Time until the deadline in seconds."""
        return self.deadline - clock.read_s()

    def encode(self, protocol_version: int) -> list[Any]:
        """Returns the fields of the call; times are relative to now.

        Args:
          protocol_version: That of the serving node.
        """
        now = clock.read_s()
        fields = [
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
            self.is_retry,
            int((self.deadline - now) * 1000),
            int((self.objective - now) * 1000),
        ]
        if protocol_version >= frames.WAIT_LIMIT_VERSION:
            fields.append(
                None if self.max_wait_s is None else int(self.max_wait_s * 1000)
            )
        if protocol_version >= frames.ACCOUNT_VERSION:
            fields += [self.account, self.is_dependency]
        return fields


def has_account(fields: list[Any]) -> bool:
    """Returns whether the fields are those from `frames.ACCOUNT_VERSION` on."""
    return len(fields) > _FIELDS_OF_VERSION_2


def decode_call(fields: list[Any]) -> Call:
    """Decodes the fields of a call.

    Raises:
      ValueError: The fields are malformed.
    """
    try:
        max_wait_milliseconds = None
        account, is_dependency = "", False
        if len(fields) > _FIELDS_OF_VERSION_1:
            max_wait_milliseconds, *later = fields[_FIELDS_OF_VERSION_1:]
            if later:
                account, is_dependency = later
            fields = fields[:_FIELDS_OF_VERSION_1]
        *values, is_retry, deadline_ms, objective_ms = fields
        now = clock.read_s()
        values += [now + deadline_ms / 1000, now + objective_ms / 1000]
        call = Call(*values)
        call.is_retry = bool(is_retry)
        call.account = ids.AccountName(account)
        call.is_dependency = bool(is_dependency)
        if max_wait_milliseconds is not None:
            call.max_wait_s = max_wait_milliseconds / 1000
        call.headers = [(name, value) for name, value in call.headers]
        return call
    except TypeError as error:
        raise ValueError(f"malformed call: {error}") from error


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome of a call without a valid response from its backend server.

    The call was refused or has failed; `not_executed` tells whether it may have
    been executed.

    Attributes:
      reached: Whether the request was sent to the backend server, or may have
        been.
      retry_after_s: Time in seconds after which capacity may be available.
    """

    kind: errors.ErrorKind
    detail: str = ""
    reached: bool = False
    retry_after_s: float = 0.0

    @property
    def not_executed(self) -> bool:
        """Whether the request was definitely not executed."""
        return (
            errors.ERROR_RESPONSES[self.kind].execution
            is errors.Execution.NOT_RUN
        )


Outcome = http1.Response | Refusal
