"""Clients that send requests to a fleet and record the outcomes."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import random
import threading
import time
from typing import Final

import orjson
import urllib3
import urllib3.exceptions

from lycheestair import deployments
from lycheestair import errors
from lycheestair import invariants

IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
EXECUTION_HEADER: Final = "x-lycheestair-execution"
RESPONSE_TIMEOUT_S: Final = 8.0
# A client gives up a request after this many attempts.
MAX_ATTEMPTS: Final = 40
RETRY_DELAY_S: Final = 0.1


@dataclasses.dataclass(frozen=True)
class Response:
    """Response to one attempt of a request.

    Attributes:
      error: Error kind of a rejection, empty for a response of the backend
        server.
      execution: Execution state that a rejection reported, None for a response
        of the backend server.
      whole: Whether the response was complete.
      own: Whether the response is to this request, not to another one.
    """

    status: int
    error: str
    execution: errors.Execution | None
    whole: bool
    own: bool


@dataclasses.dataclass(frozen=True)
class Record:
    """A request with its last response, attempts and total latency."""

    call: invariants.Call
    kind: deployments.RequestKind
    status: int
    error: str
    attempts: int
    latency_s: float


class RequestClients:
    """Closed-loop load generator with a fixed number of client threads.

    A client retries a request, each time at a random node, until it gets a
    final response. All attempts of a request that is not idempotent carry the
    same idempotency key. After `stop`, a rejection is a final response too.
    """

    def __init__(
        self,
        profile: deployments.Profile,
        list_targets: Callable[[], list[str]],
        thread_count: int,
        rate_per_s: float,
        seed: int,
    ):
        """Creates the client threads without starting them.

        Args:
          profile: Deployment whose request kinds are sent.
          list_targets: Returns the addresses to send requests to.
          thread_count: Number of clients.
          rate_per_s: Requests per second of all clients together.
          seed: Seed of the choice of kinds and targets.
        """
        self.records: list[Record] = []
        self._profile = profile
        self._list_targets = list_targets
        self._mean_pause_s = thread_count / rate_per_s
        self._seed = seed
        self._stop = threading.Event()
        self._call_numbers = itertools.count(1)
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(thread_count)
        ]

    def start(self) -> None:
        """Starts the client threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops new requests and waits for those in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def count_errors(self) -> dict[str, int]:
        """Returns the number of requests by final error kind or status."""
        return dict(
            collections.Counter(
                record.error or str(record.status) for record in self.records
            )
        )

    def _run(self, index: int) -> None:
        generator = random.Random(f"{self._seed}/{index}")
        pool = urllib3.PoolManager(
            num_pools=64, retries=False, timeout=RESPONSE_TIMEOUT_S
        )
        kinds = self._profile.kinds
        weights = [kind.weight for kind in kinds]
        while not self._stop.wait(generator.uniform(0, 2 * self._mean_pause_s)):
            (kind,) = generator.choices(kinds, weights)
            self.records.append(self._send_request(pool, kind, generator))

    def _send_request(
        self,
        pool: urllib3.PoolManager,
        kind: deployments.RequestKind,
        generator: random.Random,
    ) -> Record:
        call_id = f"{self._seed}-{next(self._call_numbers)}"
        key = "" if kind.idempotent else f"key-{call_id}"
        started = time.monotonic()
        for attempts in range(1, MAX_ATTEMPTS + 1):
            target = generator.choice(self._list_targets())
            received = send(pool, target, kind, call_id, key)
            if received is not None and (
                self._stop.is_set() or not _should_retry(received)
            ):
                break
            time.sleep(RETRY_DELAY_S)
        call = invariants.Call(
            call_id,
            key,
            kind.idempotent,
            answered=received is not None,
            whole=received is not None and received.whole,
            own=received is not None and received.own,
            execution=received.execution if received else None,
        )
        return Record(
            call,
            kind,
            received.status if received else 0,
            received.error if received else "no_answer",
            attempts,
            time.monotonic() - started,
        )


def send(
    pool: urllib3.PoolManager,
    target: str,
    kind: deployments.RequestKind,
    call_id: str,
    key: str,
) -> Response | None:
    """Sends one attempt and returns its response, None if there is none."""
    headers = {IDEMPOTENCY_KEY_HEADER: key} if key else {}
    body = call_id.encode() if kind.method == "POST" else None
    try:
        response = pool.request(
            kind.method,
            f"http://{target}{kind.path}/{call_id}",
            body=body,
            headers=headers,
        )
    except urllib3.exceptions.HTTPError:
        return None
    return _parse_response(response, call_id)


def _parse_response(
    response: urllib3.BaseHTTPResponse, call_id: str
) -> Response:
    execution_text = response.headers.get(EXECUTION_HEADER)
    try:
        document = orjson.loads(response.data)
    except orjson.JSONDecodeError:
        return Response(response.status, "", None, False, False)
    if execution_text is not None:
        execution = errors.Execution(execution_text)
        error_kind = document.get("error", "refused")
        return Response(response.status, error_kind, execution, True, True)
    own = str(document.get("path", "")).endswith(f"/{call_id}")
    return Response(response.status, "", None, True, own)


def _should_retry(received: Response) -> bool:
    if received.execution is errors.Execution.NOT_RUN:
        return received.status >= 500
    return received.error in (
        errors.ErrorKind.IN_PROGRESS.value,
        errors.ErrorKind.TIMEOUT.value,
        errors.ErrorKind.CONNECTION_LOST.value,
        errors.ErrorKind.ANSWER_INCOMPLETE.value,
    )
