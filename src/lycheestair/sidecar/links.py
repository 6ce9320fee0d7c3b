"""Outgoing connections to other nodes and the calls sent over them."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import math
import random
from typing import Any
from typing import Final

from lycheestair import errors
from lycheestair import messages
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import deadlines
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import http1
from lycheestair.sidecar import members
from lycheestair.sidecar import streams

# Several round trips between regions, so that one lost packet does not fail the
# attempt.
# Statuses of complete answers.
FINAL_STATUSES: Final = range(200, 600)
CONNECT_TIMEOUT_S: Final = 0.6
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
# Time without received frames after which a link with pending calls is pinged.
PING_AFTER_S: Final = 0.15
# Time without frames from a node, on any connection, after which an idle
# persistent link to it is pinged. Statuses arrive more often.
IDLE_PING_AFTER_S: Final = 1.5
# Time without received frames after which an idle persistent link is pinged in
# any case: a single connection may have failed while another one works.
MAX_UNVERIFIED_S: Final = 10.0
# Time without a response to a ping after which other members are preferred:
# several round trips between regions.
UNRESPONSIVE_AFTER_S: Final = 0.15
# Time without a response to a ping after which the connection is replaced.
PING_TIMEOUT_S: Final = 0.8
# Time without calls after which an on-demand connection is closed. Clients keep
# their connections to a busy instance for the same time.
IDLE_CLOSE_S: Final = 10.0

# Call numbers are unique within the process rather than per link: two links can
# lead to the same node for a short time after its address has changed owner.
_CALL_NUMBERS: Final = itertools.count(1)

FrameHandler = Callable[[members.Member, frames.Frame], None]


class AddressReassignedError(Exception):
    """The address of a node now belongs to another node.

    Attributes:
      record: The node that uses the address now.
    """

    def __init__(self, record: members.NodeRecord):
        super().__init__(
            f"node {record.node_id} now owns address {record.address}"
        )
        self.record = record


class _PendingCall:
    """A call that waits for its outcome."""

    def __init__(self, call: calls.Call):
        self.call = call
        self.outcome: asyncio.Future[calls.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    def set_outcome(self, outcome: calls.Outcome) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class PeerLink:
    """Connection that this node opens to another node.

    When the connection is lost, pending idempotent calls fail, which lets the
    entry node retry them elsewhere. Other calls are sent again after a
    reconnect. The other node detects the duplicates, so a lost connection loses
    no such call while both processes live.

    Attributes:
      member: The other node.
      persistent: Whether the link stays connected without calls. Other links
        are connected on demand and closed when idle; the reachability of their
        member is then learned from other nodes.
    """

    def __init__(
        self,
        member: members.Member,
        build_hello_frames: Callable[[], list[frames.Frame]],
        on_frame: FrameHandler,
        on_reachability_change: Callable[[members.Member], None],
        on_address_reassigned: Callable[
            [members.Member, members.NodeRecord], None
        ],
        persistent: bool,
        log: event_log.EventLog,
    ):
        """Initializes a link that is not connected.

        Args:
          member: The other node.
          build_hello_frames: Returns the frames sent first on a new connection.
          on_frame: Handles frames that do not belong to calls.
          on_reachability_change: Called when the reachability of the other node
            changes.
          on_address_reassigned: Called when the address belongs to another
            node.
          persistent: Whether the link stays connected without calls.
          log: Log of the node.
        """
        self.member = member
        self.persistent = persistent
        self._build_hello_frames = build_hello_frames
        self._on_frame = on_frame
        self._on_reachability_change = on_reachability_change
        self._on_address_reassigned = on_address_reassigned
        self._log = log
        self._pending: dict[int, _PendingCall] = {}
        self._stream: streams.Stream | None = None
        self._incarnation = 0
        self._protocol_version = 1
        self._received_at = 0.0
        self._pinged_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._reconnect_requested = asyncio.Event()
        self._connection_requested = asyncio.Event()
        self._last_used_at = -math.inf
        self._is_closing_idle = False
        # Set when the current connection attempt has succeeded or failed.
        self._attempt_finished = asyncio.Event()

    @property
    def connected(self) -> bool:
        """Whether frames can be sent."""
        return self._stream is not None

    @property
    def protocol_version(self) -> int:
        """Protocol version of the other node, 1 before the first connection."""
        return self._protocol_version

    def start(self) -> None:
        """Starts the task that maintains the connection."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stops the task and closes the connection."""
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()

    def reconnect(self) -> None:
        """Reconnects at once instead of after the backoff."""
        self._reconnect_requested.set()

    def set_persistent(self, persistent: bool) -> None:
        """Sets whether the link stays connected without calls."""
        if persistent and not self.persistent:
            self._connection_requested.set()
        self.persistent = persistent

    def request_connection(self) -> None:
        """Requests a connection for frames that are about to be sent."""
        self._last_used_at = clock.read_s()
        self._connection_requested.set()

    def send(self, frame: frames.Frame) -> bool:
        """Sends a frame; returns False if the link is not connected."""
        return self.send_bytes(frames.encode(frame))

    def send_bytes(self, data: bytes) -> bool:
        """Sends an encoded frame; returns False if not connected."""
        if self._stream is None:
            return False
        self._stream.write(data)
        return True

    async def call(self, call: calls.Call) -> calls.Outcome:
        """Sends a call and returns its outcome."""
        if not self.persistent or self._stream is None:
            await self._connect_on_demand(call)
        number = next(_CALL_NUMBERS)
        pending = _PendingCall(call)
        if not self._send_call(number, call):
            return calls.Refusal(errors.ErrorKind.CONNECT_FAILED)
        self._pending[number] = pending
        self.member.in_flight += 1
        try:
            async with deadlines.limit(call.deadline):
                return await pending.outcome
        except TimeoutError:
            self.send([frames.FrameType.CANCEL, number])
            return calls.Refusal(errors.ErrorKind.TIMEOUT, reached=True)
        except asyncio.CancelledError:
            self.send([frames.FrameType.CANCEL, number])
            raise
        finally:
            self.member.in_flight -= 1
            self._pending.pop(number, None)

    def _send_call(
        self, number: int, call: calls.Call, is_resent: bool = False
    ) -> bool:
        fields = call.encode(self._protocol_version)
        frame = [frames.FrameType.REQUEST, number, fields, is_resent]
        if len(call.body) <= frames.MAX_JOINED_BYTES:
            return self.send(frame)
        if self._stream is None:
            return False
        for part in frames.encode_parts(frame):
            self._stream.write(part)
        return True

    async def _connect_on_demand(self, call: calls.Call) -> None:
        """Connects if necessary and waits for the attempt to end."""
        self.request_connection()
        if self._stream is not None:
            return
        self.reconnect()
        self._attempt_finished.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(0.0, min(CONNECT_TIMEOUT_S, call.remaining_s))
            ):
                await self._attempt_finished.wait()

    def check(
        self, now: float, idle_ping_after_s: float = IDLE_PING_AFTER_S
    ) -> None:
        """Pings a silent link; closes an unresponsive or idle one.

        Args:
          now: Current time.
          idle_ping_after_s: Time in seconds without frames from the node after
            which an idle link is pinged.
        """
        stream = self._stream
        if stream is None:
            return
        if not self._is_needed(now):
            self._is_closing_idle = True
            stream.close()
            return
        if self._pinged_at > self._received_at:
            self.member.ping_overdue = (
                now - self._pinged_at > UNRESPONSIVE_AFTER_S
            )
            if now - self._pinged_at > PING_TIMEOUT_S:
                self._log.write(
                    "peer did not answer ping",
                    peer=self.member.record.node_id,
                    silent_ms=int((now - self._received_at) * 1000),
                    pending=len(self._pending),
                )
                stream.abort()
        elif self._must_ping(now, idle_ping_after_s):
            self._pinged_at = now
            self.send([frames.FrameType.PING])

    def _must_ping(self, now: float, idle_ping_after_s: float) -> bool:
        silent_s = now - self._received_at
        if self._pending:
            return silent_s > PING_AFTER_S
        if not self.persistent:
            return False
        return (
            silent_s > MAX_UNVERIFIED_S
            or min(silent_s, now - self.member.last_frame_at)
            > idle_ping_after_s
        )

    def _is_needed(self, now: float) -> bool:
        return bool(
            self.persistent
            or self._pending
            or now - self._last_used_at < IDLE_CLOSE_S
        )

    async def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            connection_refused = False
            while not self._is_needed(clock.read_s()):
                self._connection_requested.clear()
                await self._connection_requested.wait()
            try:
                stream = await streams.connect(
                    self.member.record.address, CONNECT_TIMEOUT_S
                )
                try:
                    backoff_s = MIN_BACKOFF_S
                    await self._run_connection(stream)
                finally:
                    stream.abort()
            except AddressReassignedError as error:
                # The process of the former owner has ended, so its calls can't
                # be answered any more.
                self._fail_pending(lambda _: True)
                self._on_address_reassigned(self.member, error.record)
                return
            except OSError as error:
                connection_refused = isinstance(error, ConnectionRefusedError)
            except messages.IncompleteMessageError:
                pass  # Logged by `_set_reachable`; reconnects below.
            except Exception as error:
                # An unknown frame of another release must not stop the link
                # permanently.
                self._log.write(
                    "link failed",
                    peer=self.member.record.node_id,
                    error=repr(error),
                )
            self._mark_disconnected()
            if connection_refused:
                # The process has ended, so its calls can't be answered any
                # more.
                self._fail_pending(lambda _: True)
            else:
                self._fail_pending(lambda call: call.idempotent)
            self._attempt_finished.set()
            if not self.persistent and not self._pending:
                # Stays disconnected until the next call.
                self._last_used_at = -math.inf
                continue
            self._reconnect_requested.clear()
            delay_s = random.uniform(0.5, 1.0) * backoff_s
            try:
                async with asyncio.timeout(delay_s):
                    await self._reconnect_requested.wait()
            except TimeoutError:
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _run_connection(self, stream: streams.Stream) -> None:
        for frame in self._build_hello_frames():
            stream.write(frames.encode(frame))
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            hello = await frames.read(stream)
        if hello[0] != frames.FrameType.HELLO:
            raise messages.MalformedMessageError("first frame is not HELLO")
        record = members.decode_record(hello[1])
        if record.node_id != self.member.record.node_id:
            raise AddressReassignedError(record)
        if self._incarnation and record.incarnation != self._incarnation:
            self._fail_pending(lambda _: True)
        self._incarnation = record.incarnation
        self._protocol_version = hello[3] if len(hello) > 3 else 1
        self._received_at = clock.read_s()
        self._pinged_at = 0.0
        self._stream = stream
        self._is_closing_idle = False
        self._on_frame(self.member, hello)
        self._set_reachable(True)
        self._attempt_finished.set()
        for number, pending in list(self._pending.items()):
            # The other node forgets calls whose deadline has passed, and would
            # answer that such a call was not executed.
            if pending.call.remaining_s > 0:
                self._send_call(number, pending.call, is_resent=True)
        while True:
            frame = await frames.read(stream)
            self._received_at = self.member.last_frame_at = clock.read_s()
            self.member.ping_overdue = False
            self._handle_frame(frame)

    def _handle_frame(self, frame: frames.Frame) -> None:
        frame_type = frame[0]
        if frame_type in (frames.FrameType.RESPONSE, frames.FrameType.REFUSAL):
            number, load = frame[1], frame[2]
            pending = self._pending.pop(number, None)
            self.member.report_load(*load)
            if pending is not None:
                # The report excludes the finished call, which `call` has not
                # subtracted from `in_flight` yet.
                self.member.in_flight_at_report -= 1
                pending.set_outcome(_decode_outcome(frame))
        elif frame_type != frames.FrameType.PONG:
            self._on_frame(self.member, frame)

    def _mark_disconnected(self) -> None:
        self._stream = None
        if not self._is_closing_idle:
            self.member.connection_lost_at = clock.read_s()
            self._set_reachable(False)
        self._is_closing_idle = False

    def _set_reachable(self, reachable: bool) -> None:
        self.member.ping_overdue = False
        changed = self.member.reachable != reachable
        self.member.reachable = reachable
        if not changed and not reachable:
            return
        self._log.write(
            "peer reachable" if reachable else "peer unreachable",
            peer=self.member.record.node_id,
            incarnation=self._incarnation,
            pending=len(self._pending),
        )
        self._on_reachability_change(self.member)

    def _fail_pending(self, predicate: Callable[[calls.Call], bool]) -> None:
        """Fails pending calls; they are never sent again."""
        for number, pending in list(self._pending.items()):
            if predicate(pending.call):
                # Not left to the waiting task, which runs after the remaining
                # calls have been sent again.
                del self._pending[number]
                pending.set_outcome(
                    calls.Refusal(
                        errors.ErrorKind.CONNECTION_LOST,
                        "connection to the serving node was lost",
                        reached=True,
                    )
                )


def encode_outcome(
    number: int, load: list[Any], outcome: calls.Outcome
) -> frames.Frame:
    """Returns the frame with the outcome of a call."""
    if isinstance(outcome, http1.Response):
        return [
            frames.FrameType.RESPONSE,
            number,
            load,
            outcome.status,
            outcome.headers,
            outcome.body,
            outcome.dependency_failed,
        ]
    return [
        frames.FrameType.REFUSAL,
        number,
        load,
        outcome.kind.value,
        outcome.detail,
        outcome.reached,
        outcome.retry_after_s,
    ]


def _decode_outcome(frame: frames.Frame) -> calls.Outcome:
    if frame[0] == frames.FrameType.RESPONSE:
        _, _, _, status, headers, body, dependency_failed = frame
        # A node of an earlier release passes on any status of three digits.
        if type(status) is not int or status not in FINAL_STATUSES:
            return calls.Refusal(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                "status is not that of an answer",
                reached=True,
            )
        return http1.Response(
            status,
            [(name, value) for name, value in headers],
            body,
            dependency_failed=bool(dependency_failed),
        )
    _, _, _, kind, detail, reached, retry_after_s = frame
    return calls.Refusal(errors.ErrorKind(kind), detail, reached, retry_after_s)
