"""Open-loop load generator that measures latency from the scheduled send time.

A slow response does not delay the schedule. A call that is sent late because
all connections are busy counts as slow, which avoids coordinated omission.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import socket
import threading
import time
from typing import Any
from typing import Final

from hdrh import histogram
import orjson

from lycheestair import errors
from lycheestair import invariants

RESPONSE_TIMEOUT_S: Final = 10.0
START_DELAY_S: Final = 0.2
MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
_EXECUTION_HEADER: Final = b"\r\nx-lycheestair-execution: "


@dataclasses.dataclass(frozen=True)
class Target:
    """Address, method and path of a series of calls.

    Attributes:
      path: Path without its last segment, which is the call id.
      connections: Number of connections, each with one call at a time.
    """

    name: str
    address: str
    method: str
    path: str
    idempotent: bool
    connections: int


@dataclasses.dataclass(frozen=True)
class Sample:
    """One call and its result.

    Attributes:
      error: Error kind of a rejection, `no_answer` without a response,
        otherwise empty.
      server: Address of the backend server that responded, if any.
      at_s: Scheduled send time in seconds since the start.
      latency_s: Time from the scheduled send time to the response or failure.
    """

    target: Target
    call: invariants.Call
    status: int
    error: str
    server: str
    at_s: float
    latency_s: float


class _HttpClient:
    """Minimal HTTP/1.1 client that adds little latency to the measurement."""

    def __init__(self, target: Target):
        self._target = target
        self._socket: socket.socket | None = None

    def send(self, call_id: str) -> tuple[bytes, bytes]:
        """Sends a call and returns the head and the body of its response.

        Raises:
          OSError: No complete response was received.
        """
        target = self._target
        if self._socket is None:
            host, _, port = target.address.rpartition(":")
            self._socket = socket.create_connection(
                (host, int(port)), RESPONSE_TIMEOUT_S
            )
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = call_id if target.method == "POST" else ""
        try:
            self._socket.sendall(
                f"{target.method} {target.path}/{call_id} HTTP/1.1\r\n"
                f"Host: {target.address}\r\nContent-Length: {len(body)}\r\n"
                f"\r\n{body}".encode()
            )
            head, response_body = self._receive()
        except OSError:
            self.close()
            raise
        if b"\r\nconnection: close" in head:
            self.close()
        return head, response_body

    def _receive(self) -> tuple[bytes, bytes]:
        assert self._socket is not None
        data = b""
        length = None
        while True:
            head, separator, body = data.partition(b"\r\n\r\n")
            if separator and length is None:
                # Header names are case-insensitive. The first 13 bytes are the
                # HTTP version and the status code.
                head = head[:13] + head[13:].lower()
                value_start = head.find(b"\r\ncontent-length:") + 17
                length = int(head[value_start:].split(b"\r\n", 1)[0])
            if length is not None and len(body) >= length:
                return head[:13] + head[13:].lower(), body
            chunk = self._socket.recv(65_536)
            if not chunk:
                raise ConnectionResetError(
                    "connection closed before the end of the response"
                )
            data += chunk

    def close(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def run(
    targets: Iterable[Target], rate: float, seconds: float, prefix: str
) -> list[Sample]:
    """Sends calls to all targets at a constant rate.

    Args:
      targets: Each gets its own connections and its own schedule.
      rate: Calls per second to each target.
      seconds: Duration of the schedule.
      prefix: Prefix of the call ids, unique among the runs of a benchmark.

    Returns:
      A sample for each call, in order of completion.
    """
    samples: list[Sample] = []
    threads = []
    targets = list(targets)
    start = time.monotonic() + START_DELAY_S
    for index, target in enumerate(targets):
        offset = index / len(targets) / rate
        schedule = iter(
            [
                (f"{prefix}-{index}-{number}", offset + number / rate)
                for number in range(int(rate * seconds))
            ]
        )
        lock = threading.Lock()
        threads += [
            threading.Thread(
                target=_send_calls,
                args=(target, start, schedule, lock, samples),
            )
            for _ in range(target.connections)
        ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return samples


def _send_calls(
    target: Target,
    start: float,
    schedule: Iterator[tuple[str, float]],
    lock: threading.Lock,
    samples: list[Sample],
) -> None:
    client = _HttpClient(target)
    while True:
        with lock:
            scheduled = next(schedule, None)
        if scheduled is None:
            client.close()
            return
        call_id, at_s = scheduled
        delay = start + at_s - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        response = None
        with contextlib.suppress(OSError):
            response = client.send(call_id)
        latency_s = time.monotonic() - start - at_s
        samples.append(_make_sample(target, call_id, response, at_s, latency_s))


def _make_sample(
    target: Target,
    call_id: str,
    response: tuple[bytes, bytes] | None,
    at_s: float,
    latency_s: float,
) -> Sample:
    if response is None:
        call = invariants.Call(call_id, "", target.idempotent, answered=False)
        return Sample(target, call, 0, "no_answer", "", at_s, latency_s)
    head, body = response
    document: dict[str, Any] = orjson.loads(body)
    offset = head.find(_EXECUTION_HEADER)
    execution = None
    if offset >= 0:
        value = head[offset + len(_EXECUTION_HEADER) :].split(b"\r\n", 1)[0]
        execution = errors.Execution(value.decode())
    own = str(document.get("path", "")).endswith(f"/{call_id}")
    call = invariants.Call(
        call_id, "", target.idempotent, own=own, execution=execution
    )
    return Sample(
        target,
        call,
        int(head[9:12]),
        str(document.get("error", "")) if execution else "",
        str(document.get("address", "")),
        at_s,
        latency_s,
    )


def summarize(samples: Iterable[Sample]) -> dict[str, float]:
    """Returns latency percentiles in ms and the number of calls."""
    latencies = histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for sample in samples:
        latencies.record_value(max(MIN_LATENCY_US, int(sample.latency_s * 1e6)))
    return {
        "p50": latencies.get_value_at_percentile(50) / 1000,
        "p99": latencies.get_value_at_percentile(99) / 1000,
        "p999": latencies.get_value_at_percentile(99.9) / 1000,
        "count": latencies.get_total_count(),
    }
