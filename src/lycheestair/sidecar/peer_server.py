"""Incoming connections from other nodes and the calls received on them."""

import asyncio
from collections.abc import Callable
import dataclasses
import heapq
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import shutdowns
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import http1
from lycheestair.sidecar import links
from lycheestair.sidecar import members
from lycheestair.sidecar import serving
from lycheestair.sidecar import streams

HANDSHAKE_TIMEOUT_S: Final = 2.0
# A call whose connection was lost is cancelled after this time unless its entry
# node sends it again. Longer than a reconnect takes, and shorter than client
# timeouts. A non-idempotent call that has been admitted runs to its end.
ORPHAN_TIMEOUT_S: Final = 0.5
# Outcomes are retained for calls that are sent again after a lost connection.
OUTCOME_RETENTION_S: Final = 5.0
# An entry node sends a non-idempotent call again until its deadline, which the
# transfer of the call has delayed at this node. The outcome is retained for this
# long after the deadline, so that the call is not executed again.
DEADLINE_MARGIN_S: Final = 1.0

# An entry node sends calls again as soon as it is connected and before their
# deadline. One that is unknown is executed only within this time of the
# handshake, while an outcome of it would still be retained: frames may wait
# unread while the process is suspended.
MAX_RESEND_DELAY_S: Final = DEADLINE_MARGIN_S

# Entry node, its incarnation and the number that it gave to the call.
_CallKey = tuple[ids.NodeId, int, int]


@dataclasses.dataclass(slots=True)
class _ReceivedCall:
    """A call that is running, or has finished and whose outcome is retained.

    Attributes:
      stream: Latest connection that carried the call, None after a
        cancellation.
      number: Number that the entry node gave to the call.
      call: The call; None if it isn't executed.
      reads_slowdown: Whether the entry node reads load reports that name a
        slowdown. Nodes of the previous release lose the outcome with one.
    """

    stream: streams.Stream | None
    number: int
    call: calls.Call | None = None
    task: "asyncio.Task[calls.Outcome] | None" = None
    outcome: calls.Outcome | None = None
    reads_slowdown: bool = False

    @property
    def must_finish(self) -> bool:
        """Whether the outcome is kept for an entry node that may return."""
        call = self.call
        return call is not None and call.was_admitted and not call.idempotent


class PeerServer:
    """Executes the calls of other nodes, each at most once."""

    def __init__(
        self,
        server: serving.ServingNode,
        shutdown: shutdowns.Shutdown,
        build_hello_frames: Callable[[], list[frames.Frame]],
        on_hello: Callable[[members.NodeRecord], members.Member | None],
        on_frame: links.FrameHandler,
        log: event_log.EventLog,
    ):
        """Initializes the server.

        Args:
          server: Executes the calls.
          shutdown: Tells which calls are accepted.
          build_hello_frames: Returns the frames sent in response to HELLO.
          on_hello: Returns the member for a record, or None to refuse it.
          on_frame: Handles frames that do not belong to calls.
          log: Log of the node.
        """
        self._serving_node = server
        self._shutdown = shutdown
        self._build_hello_frames = build_hello_frames
        self._on_hello = on_hello
        self._on_frame = on_frame
        self._log = log
        self._calls: dict[_CallKey, _ReceivedCall] = {}
        # Finished calls by the time at which their outcome expires, a heap.
        self._expiry: list[tuple[float, _CallKey]] = []
        self._streams: set[streams.Stream] = set()

    @property
    def running(self) -> int:
        """Number of calls without an outcome."""
        return sum(1 for call in self._calls.values() if call.outcome is None)

    def close(self) -> None:
        """Closes all connections."""
        for stream in list(self._streams):
            stream.abort()

    async def serve(self, stream: streams.Stream) -> None:
        """Serves a connection until it is closed."""
        member = None
        incarnation = 0
        self._streams.add(stream)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                hello = await frames.read(stream)
            if hello[0] != frames.FrameType.HELLO:
                raise messages.MalformedMessageError("first frame is not HELLO")
            record = members.decode_record(hello[1])
            incarnation = record.incarnation
            member = self._on_hello(record)
            if member is None:
                return
            for frame in self._build_hello_frames():
                stream.write(frames.encode(frame))
            resend_until = clock.read_s() + MAX_RESEND_DELAY_S
            self._on_frame(member, hello)
            while True:
                frame = await frames.read(stream)
                member.last_frame_at = clock.read_s()
                self._handle_frame(
                    member, incarnation, stream, resend_until, frame
                )
        except messages.IncompleteMessageError:
            pass  # The other node closed the connection.
        except Exception as error:
            # Another release may send an unknown frame, after which the
            # connection is closed.
            self._log.write(
                "peer connection failed",
                peer=member.record.node_id if member else None,
                error=repr(error),
            )
        finally:
            self._streams.discard(stream)
            stream.abort()
            if member is not None:
                self._schedule_orphan_cancellation(stream)

    def _handle_frame(
        self,
        member: members.Member,
        incarnation: int,
        stream: streams.Stream,
        resend_until: float,
        frame: frames.Frame,
    ) -> None:
        frame_type = frame[0]
        if frame_type == frames.FrameType.REQUEST:
            _, number, fields, *flags = frame
            key = (member.record.node_id, incarnation, number)
            is_resent = bool(flags and flags[0])
            if (
                is_resent
                and key not in self._calls
                and clock.read_s() > resend_until
            ):
                self._refuse_late_resend(key, stream)
            else:
                self._accept_call(key, stream, fields)
        elif frame_type == frames.FrameType.CANCEL:
            key = (member.record.node_id, incarnation, frame[1])
            self._cancel(key)
        elif frame_type == frames.FrameType.PING:
            stream.write(frames.encode([frames.FrameType.PONG]))
        else:
            self._on_frame(member, frame)

    def _refuse_late_resend(
        self, key: _CallKey, stream: streams.Stream
    ) -> None:
        """Fails a call that may have been executed and forgotten."""
        self._log.write("late call not executed again", origin=key[0])
        self._send_outcome(
            _ReceivedCall(
                stream,
                key[2],
                outcome=calls.Refusal(
                    errors.ErrorKind.CONNECTION_LOST,
                    "sent again too late to know its outcome",
                    reached=True,
                ),
            )
        )

    def _accept_call(
        self, key: _CallKey, stream: streams.Stream, fields: list[object]
    ) -> None:
        known = self._calls.get(key)
        if known is not None:
            known.stream = stream
            if known.outcome is not None:
                self._send_outcome(known)
            return
        call = calls.decode_call(fields)
        running = _ReceivedCall(
            stream,
            key[2],
            call,
            reads_slowdown=calls.has_account(fields),
        )
        self._calls[key] = running
        running.task = asyncio.get_running_loop().create_task(self._run(call))
        # Also called for a task that is cancelled before it starts.
        running.task.add_done_callback(
            lambda task: self._finish(key, running, call, task)
        )

    async def _run(self, call: calls.Call) -> calls.Outcome:
        if not self._shutdown.accepts(call.deadline, clock.read_s()):
            return calls.Refusal(errors.ErrorKind.DRAINING, "shutting down")
        return await self._serving_node.run(call)

    def _finish(
        self,
        key: _CallKey,
        running: _ReceivedCall,
        call: calls.Call,
        task: "asyncio.Task[calls.Outcome]",
    ) -> None:
        outcome: calls.Outcome
        if task.cancelled():
            outcome = calls.Refusal(errors.ErrorKind.TIMEOUT, "cancelled")
        elif (error := task.exception()) is not None:
            outcome = calls.Refusal(
                errors.ErrorKind.INTERNAL, repr(error), reached=True
            )
        else:
            outcome = task.result()
        running.outcome = outcome
        now = clock.read_s()
        expires_at = now + OUTCOME_RETENTION_S
        if not call.idempotent:
            expires_at = max(expires_at, call.deadline + DEADLINE_MARGIN_S)
        heapq.heappush(self._expiry, (expires_at, key))
        self._expire_outcomes(now)
        # A call that is sent back because of a long queue is not refused; the
        # entry node logs which nodes it has tried.
        if (
            isinstance(outcome, calls.Refusal)
            and outcome.kind is not errors.ErrorKind.LONG_QUEUE
        ):
            self._log.write(
                "call refused",
                id=call.request_id.decode("latin-1"),
                origin=key[0],
                route=call.route,
                kind=outcome.kind.value,
                detail=outcome.detail,
                reached=outcome.reached,
                running=self._serving_node.admission.running,
                waiting=self._serving_node.admission.waiting,
            )
        self._send_outcome(running)

    def _send_outcome(self, running: _ReceivedCall) -> None:
        if running.stream is None or running.outcome is None:
            return
        outcome = running.outcome
        if isinstance(outcome, http1.Response):
            outcome = dataclasses.replace(
                outcome,
                headers=messages.select_end_to_end_headers(outcome.headers),
            )
        load = self._serving_node.read_load()
        if not running.reads_slowdown:
            load = load[: members.LOAD_FIELDS_WITHOUT_SLOWDOWN]
        running.stream.write(
            frames.encode(links.encode_outcome(running.number, load, outcome))
        )

    def _cancel(self, key: _CallKey) -> None:
        running = self._calls.get(key)
        if running is not None and running.task is not None:
            running.stream = None
            running.task.cancel()

    def _schedule_orphan_cancellation(self, stream: streams.Stream) -> None:
        orphans = [
            key
            for key, running in self._calls.items()
            if running.stream is stream and running.outcome is None
        ]
        if orphans:
            asyncio.get_running_loop().call_later(
                ORPHAN_TIMEOUT_S, self._cancel_orphans, stream, orphans
            )

    def _cancel_orphans(
        self, stream: streams.Stream, orphans: list[_CallKey]
    ) -> None:
        for key in orphans:
            running = self._calls.get(key)
            if (
                running is not None
                and running.stream is stream
                and not running.must_finish
            ):
                self._cancel(key)

    def _expire_outcomes(self, now: float) -> None:
        while self._expiry and self._expiry[0][0] < now:
            self._calls.pop(heapq.heappop(self._expiry)[1], None)
