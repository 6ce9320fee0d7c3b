"""Encoding of failures as HTTP responses and decoding of peers' responses."""

import contextlib
import http
from typing import Final

import orjson

from lycheestair import errors
from lycheestair import messages

EXECUTION_HEADER: Final = b"x-lycheestair-execution"
ERROR_HEADER: Final = b"x-lycheestair-error"
RETRY_AFTER_HEADER: Final = b"retry-after"
_KINDS_BY_NAME: Final = {kind.value.encode(): kind for kind in errors.ErrorKind}
_REASON_PHRASES: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


def get_reason_phrase(status: int) -> bytes:
    """Returns the reason phrase of a status code."""
    return _REASON_PHRASES.get(status, b"-")


def encode(failure: errors.Failure) -> messages.Response:
    """Returns the HTTP response for a failure."""
    response = failure.response
    execution = response.execution.value
    body = orjson.dumps(
        {
            "error": failure.kind.value,
            "execution": execution,
            "message": response.message,
            "detail": failure.detail,
        }
    )
    headers = [
        (b"content-type", b"application/json"),
        (EXECUTION_HEADER, execution.encode()),
        (ERROR_HEADER, failure.kind.value.encode()),
    ]
    if failure.retry_after_s:
        headers.append(
            (RETRY_AFTER_HEADER, f"{failure.retry_after_s:.3f}".encode())
        )
    return messages.Response(response.status, headers, body)


def decode(answer: messages.Response) -> errors.Failure | None:
    """Returns the failure that a peer reports, None for any other response."""
    name = answer.find_header(ERROR_HEADER)
    if name is None:
        return None
    kind = _KINDS_BY_NAME.get(name)
    if kind is None:
        # Peers that run another software version may send other kinds.
        return errors.Failure(errors.ErrorKind.INTERNAL, "unknown error kind")
    try:
        detail = str(orjson.loads(answer.body).get("detail", ""))
    except (orjson.JSONDecodeError, AttributeError):
        detail = ""
    retry_after_s = 0.0
    with contextlib.suppress(ValueError):
        # Without a valid value the time is unknown.
        retry_after_s = float(answer.find_header(RETRY_AFTER_HEADER) or b"")
    return errors.Failure(kind, detail, retry_after_s)
