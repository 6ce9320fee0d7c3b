"""One connection of a client, with HTTP pipelining.

Answers clients that send further requests before the first is answered: requests
that may run at the same time do so, and the responses keep the order of the
requests. The task of the connection only reads; the task of a request writes its
response, so that a request costs one task and one wakeup of the reader.
"""

import asyncio
import collections
import contextlib
import dataclasses
from typing import Final
from typing import Protocol

from lycheestair import errors
from lycheestair import messages
from lycheestair import request_memory
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import error_responses
from lycheestair.sidecar import event_log
from lycheestair.sidecar import http1
from lycheestair.sidecar import metrics
from lycheestair.sidecar import streams
from lycheestair.sidecar.ingress import requests

# Requests of one connection in progress at a time. Browsers and proxies that
# pipeline send fewer.
MAX_REQUESTS: Final = 16
# No further request of a connection is read while those in progress have at
# least this many bytes.
MAX_REQUEST_BYTES: Final = 65_536
# Receive buffer of a connection, and at least that for the largest head.
MIN_BUFFER_BYTES: Final = 16_384
# Retry-After of requests that were not read because of a limit. A request that
# stalls is shed after a second.
SHED_RETRY_AFTER_S: Final = 1.0
# Estimated memory of a request's head once it has been parsed.
HEAD_BYTES: Final = 2_048


class RequestHandler(Protocol):
    """Runs the requests that a connection reads."""

    @property
    def limits(self) -> catalog_lib.ClientLimits:
        """Limits of client requests."""

    @property
    def is_leaving(self) -> bool:
        """Whether the node shuts down."""

    def is_idempotent(self, request: http1.Request) -> bool:
        """Returns whether a request may run beside others of its connection."""

    def describe(self, request: http1.Request) -> str:
        """Returns the id of a request for the log."""

    async def handle(
        self, request: http1.Request, from_local_backend: bool = False
    ) -> http1.Response:
        """Returns the response to a request."""


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """A request in progress, and its response once that is ready."""

    request: http1.Request
    charge: request_memory.Charge
    task: asyncio.Task[None] | None = None
    response: http1.Response | None = None


class ClientConnection:
    """Serves the requests on one connection of a client."""

    def __init__(
        self,
        stream: streams.Stream,
        handler: RequestHandler,
        from_local_backend: bool,
        memory: request_memory.RequestMemory,
        log: event_log.EventLog,
        node_metrics: metrics.Metrics,
    ):
        self._stream = stream
        self._handler = handler
        self._from_local_backend = from_local_backend
        self._memory = memory
        self._log = log
        self._metrics = node_metrics
        # In the order of the requests; removed when the response is written.
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._progress_waiter: asyncio.Future[None] | None = None
        # Whether the last response of the connection has been written.
        self._is_finished = False
        self._is_waiting_for_request = False
        # Time in seconds of the latest response, or of the connection's start.
        self._idle_since = clock.read_s()
        # Time in seconds of the first bytes of the request that is being read.
        self._reading_since = 0.0
        # Charge of the request that is being read.
        self._charge: request_memory.Charge | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests whose response has not been sent yet."""
        return len(self._exchanges) + self._stream.is_writing_paused

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and none has begun to arrive."""
        return (
            self._is_waiting_for_request
            and not self._exchanges
            and not self._stream.buffered
        )

    def read_stalled_s(self, now: float) -> float:
        """Returns for how long the connection has been without progress.

        The time is 0 while a request is in progress or waits for memory.
        """
        if self.in_progress:
            return 0.0
        progress_at = self._idle_since
        if self._charge is not None:
            if self._charge.is_waiting:
                return 0.0
            progress_at = max(progress_at, self._charge.progress_at)
        return now - progress_at

    def is_slow(self, now: float) -> bool:
        """Returns whether the request that is being read arrives slowly."""
        charge = self._charge
        if charge is None or self.in_progress:
            return False
        age_s = now - self._reading_since
        return (
            age_s > request_memory.SLOW_S
            and not charge.is_waiting
            and charge.received < age_s * request_memory.SLOW_BYTES_PER_S
        )

    def shed(self, reason: str) -> None:
        """Closes an idle connection, or refuses the request that is being read."""
        self._metrics.count("client_connections_shed", reason=reason)
        self._log.write(
            "connection closed",
            limit=reason,
            stalled_s=round(self.read_stalled_s(clock.read_s()), 1),
        )
        if self.is_idle:
            self._stream.close()
        elif self._charge is not None:
            self._charge.shed()

    def refuse(self, reason: str) -> None:
        """Answers that the connection can't be served; the caller closes it."""
        self._metrics.count("client_connections_refused", reason=reason)
        self._log.write("connection refused", limit=reason)
        self._write_refusal(errors.ErrorKind.OVERLOADED, f"limit of {reason}")

    def close(self) -> None:
        """Closes the connection, which cancels its requests."""
        self._stream.close()

    async def serve(self) -> None:
        """Serves requests until the connection is closed."""
        self._stream.on_close = self._cancel
        try:
            while await self._serve_request():
                pass
        except (messages.IncompleteMessageError, OSError):
            pass  # The client closed the connection or timed out.
        # Without a client, the requests have been cancelled.
        await self._wait_until_answered()

    async def _serve_request(self) -> bool:
        """Reads a request and starts it; returns whether more may follow."""
        await self._wait_for_room()
        if not self._stream.buffered:
            self._is_waiting_for_request = True
            try:
                await self._wait_for_request()
            finally:
                self._is_waiting_for_request = False
        self._reading_since = clock.read_s()
        charge = self._charge = self._memory.open_charge(self._interrupt)
        started = False
        try:
            request = await self._read_request(charge)
            if isinstance(request, calls.Refusal):
                charge.release()
                await self._reject(request.kind, request.detail)
                return False
            started = await self._start_in_turn(request, charge)
            return started and request.keep_alive
        finally:
            self._charge = None
            if not started:
                charge.release()

    async def _read_request(
        self, charge: request_memory.Charge
    ) -> http1.Request | calls.Refusal:
        limits = self._handler.limits
        try:
            async with asyncio.timeout(
                max(limits.header_timeout_s, limits.idle_timeout_s)
            ):
                return await requests.read_request(
                    self._stream,
                    limits,
                    self._memory,
                    charge,
                    self._wait_until_answered,
                )
        except messages.MalformedMessageError as error:
            return calls.Refusal(errors.ErrorKind.BAD_REQUEST, str(error))
        except messages.BodyTooLargeError as error:
            return calls.Refusal(errors.ErrorKind.BODY_TOO_LARGE, str(error))
        except request_memory.MemoryShortError:
            self._metrics.count(
                "client_requests_shed",
                reason="stalled" if charge.is_shed else "memory",
            )
            return calls.Refusal(
                errors.ErrorKind.OVERLOADED,
                "request stalled while resources were short"
                if charge.is_shed
                else "memory for requests is short",
            )

    async def _start_in_turn(
        self, request: http1.Request, charge: request_memory.Charge
    ) -> bool:
        """Starts a request when those before it allow it.

        Returns:
          Whether the request was started; otherwise it counts as not read.
        """
        if self._exchanges:
            await self._wait_for_turn(request)
        if (
            self._is_finished
            or self._stream.closed
            or (self._exchanges and self._handler.is_leaving)
        ):
            return False
        exchange = _Exchange(request, charge)
        self._exchanges.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(
            self._run(exchange)
        )
        return True

    async def _run(self, exchange: _Exchange) -> None:
        """Runs a request and writes the responses that it held back."""
        try:
            exchange.response = await self._handler.handle(
                exchange.request, self._from_local_backend
            )
        except asyncio.CancelledError:
            if not self._stream.closed:
                raise
            self._log.write(
                "client disconnected",
                id=self._handler.describe(exchange.request),
            )
        finally:
            if exchange.response is None:
                # The responses behind this one can't be returned.
                self._is_finished = True
                self._cancel()
                for dropped in self._exchanges:
                    dropped.charge.release()
                self._exchanges.clear()
                self._stream.close()
        self._write_responses()

    def _write_responses(self) -> None:
        """Writes the responses that are next in the order of the requests."""
        while self._exchanges:
            exchange = self._exchanges[0]
            response = exchange.response
            if response is None:
                return
            self._exchanges.popleft()
            exchange.charge.release()
            keep_alive = exchange.request.keep_alive and not (
                self._handler.is_leaving and not self._exchanges
            )
            self._stream.write(
                http1.encode_response(
                    response, exchange.request.method, keep_alive
                )
            )
            if not keep_alive:
                self._is_finished = True
                self._stream.close()
        self._idle_since = clock.read_s()
        self._notify_progress()

    async def _reject(self, kind: errors.ErrorKind, detail: str) -> None:
        """Answers a request that can't be read, behind those before it."""
        self._log.write("request rejected", kind=kind.value, detail=detail)
        await self._wait_until_answered()
        if self._is_finished:
            return
        self._is_finished = True
        self._write_refusal(kind, detail)
        await self._stream.drain()

    def _write_refusal(self, kind: errors.ErrorKind, detail: str) -> None:
        self._stream.write(
            http1.encode_response(
                error_responses.create_error_response(
                    calls.Refusal(
                        kind, detail, retry_after_s=SHED_RETRY_AFTER_S
                    )
                ),
                b"",
                False,
            )
        )

    def _interrupt(self) -> None:
        """Ends the reading of a request that is shed."""
        self._stream.interrupt(request_memory.MemoryShortError())

    def _cancel(self) -> None:
        """Cancels all requests, because none can be answered any more."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._notify_progress()

    # Waiting of the reader.

    async def _wait_for_request(self) -> None:
        """Waits for the first bytes of a request.

        Raises:
          IncompleteMessageError: The client has closed the connection.
          TimeoutError: The connection was idle for the timeout, which may change
            meanwhile.
        """
        while True:
            now = clock.read_s()
            idle_since = now if self._exchanges else self._idle_since
            remaining_s = idle_since + self._handler.limits.idle_timeout_s - now
            if remaining_s <= 0:
                raise TimeoutError
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    return await self._stream.fill(False)

    async def _wait_for_room(self) -> None:
        """Waits until a further request may be read.

        A client that reads its responses slowly or not at all gets no further
        requests read.
        """
        while True:
            await self._stream.drain()
            if not self._exchanges or (
                len(self._exchanges) < MAX_REQUESTS
                and self._count_bytes() < MAX_REQUEST_BYTES
                and not self._handler.is_leaving
            ):
                return
            await self._wait_for_progress()

    async def _wait_for_turn(self, request: http1.Request) -> None:
        """Waits until a request may run beside those before it."""
        self._metrics.count("requests_read_ahead")
        while self._exchanges and not self._stream.closed:
            # A request that may not run beside others is alone in progress.
            if (
                not self._handler.is_leaving
                and self._handler.is_idempotent(request)
                and self._handler.is_idempotent(self._exchanges[0].request)
            ):
                return
            await self._wait_for_progress()

    async def _wait_until_answered(self) -> None:
        while self._exchanges and not self._stream.closed:
            await self._wait_for_progress()

    async def _wait_for_progress(self) -> None:
        """Waits until a response is written or the client disconnects."""
        if self._stream.closed:
            raise messages.IncompleteMessageError(False)
        self._progress_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._progress_waiter
        finally:
            self._progress_waiter = None

    def _notify_progress(self) -> None:
        waiter = self._progress_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _count_bytes(self) -> int:
        return sum(
            HEAD_BYTES + len(exchange.request.body)
            for exchange in self._exchanges
        )
