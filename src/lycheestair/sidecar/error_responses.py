"""Error responses for refused requests."""

import random
from typing import Final

import orjson

from lycheestair import errors
from lycheestair.sidecar import calls
from lycheestair.sidecar import http1

# Retry-After for a refused client if the expected queueing time is unknown.
DEFAULT_RETRY_AFTER_S: Final = 0.3
# Retry-After if the backend server itself refused the request; it may accept
# the next one.
BACKEND_REFUSAL_RETRY_AFTER_S: Final = 0.05
# Clients that were refused together return spread over the time up to this
# factor, and none returns too early.
MAX_JITTER_FACTOR: Final = 1.4

_CLIENT_ERROR_STATUSES: Final = frozenset({400, 401, 404, 413, 429})
# Statuses that tell clients when to return.
_RETRY_AFTER_STATUSES: Final = frozenset({429, 503})


def compute_retry_after_s(refusal: calls.Refusal) -> float:
    """Returns when the client of a refused request should return, in seconds."""
    retry_after_s = refusal.retry_after_s or (
        BACKEND_REFUSAL_RETRY_AFTER_S
        if refusal.reached
        else DEFAULT_RETRY_AFTER_S
    )
    return retry_after_s * random.uniform(1.0, MAX_JITTER_FACTOR)


def create_error_response(refusal: calls.Refusal) -> http1.Response:
    """Returns the error response for a refusal.

    Statuses 429 and 503 mean that the request was not and will not be executed,
    and say when to retry. Statuses 502 and 504 mean that it may have been executed.
    """
    error = errors.ERROR_RESPONSES[refusal.kind]
    if error.status in _CLIENT_ERROR_STATUSES:
        status = error.status
    elif refusal.not_executed:
        status = 503
    else:
        status = 504 if refusal.kind is errors.ErrorKind.TIMEOUT else 502
    headers = [(b"content-type", b"application/json")]
    if status in _RETRY_AFTER_STATUSES:
        retry_after_s = compute_retry_after_s(refusal)
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    return http1.Response(
        status,
        headers,
        orjson.dumps(
            {
                "error": refusal.kind.value,
                "execution": error.execution.value,
                "message": error.message,
                "detail": refusal.detail,
            }
        ),
    )
