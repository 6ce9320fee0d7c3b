"""Header names of the platform, and its requests to a node."""

import time
from typing import Final
import urllib.parse

import orjson

from lycheestair import ids
from lycheestair.sidecar import backend
from lycheestair.sidecar import fields
from lycheestair.sidecar import http1
from lycheestair.sidecar.places import cold_values

HEADERS: Final = backend.HeaderNames(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    instance=b"x-expected-instance",
    responder=b"x-instance-id",
    caller=b"x-caller-service",
    not_executed=b"x-not-executed",
    signature=b"x-server-stamp",
    load=b"x-server-load",
    limit=b"server-limit",
    leaving=b"server-leaving",
    account=b"x-tenant",
    credentials=b"authorization",
    warmup_ms=b"x-cold-remaining-ms",
)
READINESS_PATH: Final = "/-/readiness"

_RPC_PATH: Final = "/-/rpc"
_HEARTBEAT: Final = "instances.heartbeat"
_DEREGISTER: Final = "instances.deregister"
_STATES: Final = {
    "ready": backend.BackendState.SERVING,
    "draining": backend.BackendState.DRAINING,
}


# More slots than a backend server has.
_MAX_SLOTS: Final = 100_000
# A start in the future by more than clocks differ. It would hide all later
# incarnations.
_MAX_CLOCK_DIFFERENCE_MS: Final = 3_600_000


class AnnouncementError(ValueError):
    """The request is not a valid heartbeat or deregistration."""


def decode_announcement(request: http1.Request) -> backend.Announcement:
    """Decodes a heartbeat or a deregistration.

    Raises:
      AnnouncementError: The request is neither, or malformed.
    """
    path, _, query = request.target.decode("latin-1").partition("?")
    parameters = dict(urllib.parse.parse_qsl(query))
    call = parameters.get("call")
    instance = parameters.get("of", "")
    if path != _RPC_PATH or request.method != b"POST" or not instance:
        raise AnnouncementError("request is not an RPC for an instance")
    if call == _DEREGISTER:
        return backend.Announcement(
            instance,
            backend.BackendState.GONE,
            started_ms=_read_start_ms(request.body),
        )
    if call != _HEARTBEAT:
        raise AnnouncementError("unknown RPC method")
    return _decode_heartbeat(instance, request.body)


def _read_start_ms(body: http1.Body) -> int:
    """Returns the start time of an incarnation, 0 if the body has none."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return 0
    started = document.get("born") if isinstance(document, dict) else None
    if not isinstance(started, int) or started > _read_max_start_ms():
        return 0
    return started


def _decode_heartbeat(instance: str, body: http1.Body) -> backend.Announcement:
    try:
        document = orjson.loads(body)
        information = document["information"]
        status = document["status"]
        return backend.Announcement(
            instance=instance,
            state=_STATES[status["state"]],
            # The platform calls the start time of an incarnation "born".
            started_ms=fields.check_range(
                fields.check_type(document.get("born", 0), int),
                _read_max_start_ms(),
            ),
            sequence=fields.check_type(status["sequence"], int),
            address=ids.Address(fields.check_type(document["address"], str)),
            service=ids.ServiceName(
                fields.check_type(information["service"], str)
            ),
            version=ids.VersionName(
                fields.check_type(information["version"], str)
            ),
            slots=fields.check_range(
                fields.check_type(information["slots"], int), _MAX_SLOTS
            ),
            warmup_s=cold_values.decode(status.get("cold_remaining_s")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise AnnouncementError(f"malformed heartbeat: {error!r}") from error


def _read_max_start_ms() -> int:
    return int(time.time() * 1000) + _MAX_CLOCK_DIFFERENCE_MS
