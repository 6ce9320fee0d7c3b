"""Answers of the node's own, for requests that it refuses."""

import random
from typing import Final

import orjson

from lycheestair import errors
from lycheestair.sidecar import calls
from lycheestair.sidecar import http1

# Time in seconds after which a client that was refused should come back if
# nothing is known of the queues.
DEFAULT_RETRY_AFTER_S: Final = 0.3
# A backend server that has not run a request may run the next one.
QUICK_RETRY_AFTER_S: Final = 0.05

_CLIENT_ERRORS: Final = frozenset({400, 404, 413})


def encode_refusal(refusal: calls.Refusal) -> http1.Answer:
    """Returns the answer for a refusal.

    503 says that the request has not run and never will, and when to come
    back; 502 and 504 leave that open.
    """
    answer = errors.ANSWERS[refusal.kind]
    if answer.status in _CLIENT_ERRORS:
        status = answer.status
    elif refusal.not_run:
        status = 503
    else:
        status = 504 if refusal.kind is errors.ErrorKind.TIMEOUT else 502
    headers = [(b"content-type", b"application/json")]
    if status == 503:
        retry_after_s = refusal.retry_after_s or (
            QUICK_RETRY_AFTER_S if refusal.reached else DEFAULT_RETRY_AFTER_S
        )
        # Spread, so that those refused together don't come back together.
        retry_after_s *= random.uniform(0.8, 1.2)
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    return http1.Answer(
        status,
        headers,
        orjson.dumps(
            {
                "error": refusal.kind.value,
                "execution": answer.execution.value,
                "message": answer.message,
                "detail": refusal.detail,
            }
        ),
    )
