"""Outgoing connections to other nodes, and the calls made over them."""

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
from lycheestair.sidecar import frames
from lycheestair.sidecar import http1
from lycheestair.sidecar import journal
from lycheestair.sidecar import members
from lycheestair.sidecar import streams

# Several round trips between regions, so that one lost packet does not end the
# attempt.
CONNECT_TIMEOUT_S: Final = 0.6
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
# A link that is silent for this long while calls wait is asked for a sign.
PING_AFTER_S: Final = 0.15
# An idle link is asked less often, because each frame costs bytes.
IDLE_PING_AFTER_S: Final = 1.5
# Without an answer for this long other members are preferred: several round
# trips between regions.
SILENT_AFTER_S: Final = 0.15
# Without an answer for this long the connection is replaced.
SILENCE_LIMIT_S: Final = 0.8
# A connection that was opened for calls alone is closed after this time
# without one: as long as clients of a busy instance keep theirs.
IDLE_CLOSE_S: Final = 10.0

# Numbers of calls are unique in the process: two links may lead to one node
# for a moment, after an address has got a new owner.
_NUMBERS: Final = itertools.count(1)

FrameHandler = Callable[[members.Member, frames.Frame], None]


class AddressReusedError(Exception):
    """Another node answers at the address.

    Attributes:
      record: The node that answers.
    """

    def __init__(self, record: members.NodeRecord):
        super().__init__(f"{record.node_id} answers at {record.address}")
        self.record = record


class _Pending:
    """A call that waits for its answer."""

    def __init__(self, call: calls.Call):
        self.call = call
        self.outcome: asyncio.Future[calls.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    def finish(self, outcome: calls.Outcome) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class PeerLink:
    """Connection that this node opens to another one.

    The other node recognizes a call that is sent again over a new connection,
    so that a lost connection loses no call while both processes live.

    Attributes:
      wanted: Whether it stays connected without calls. Other links connect
        for calls and close when they are idle; whether their member can be
        reached is then told by others.
    """

    def __init__(
        self,
        member: members.Member,
        greet: Callable[[], list[frames.Frame]],
        on_frame: FrameHandler,
        on_change: Callable[[members.Member], None],
        on_reuse: Callable[[members.Member, members.NodeRecord], None],
        wanted: bool,
        log: journal.Journal,
    ):
        """Initializes a link that is not connected.

        Args:
          member: The other node.
          greet: Returns the frames that begin a connection.
          on_frame: Handles frames that are not about calls.
          on_change: Called when the other node becomes reachable or not.
          on_reuse: Called when the address belongs to another node now.
          wanted: Whether it stays connected without calls.
          log: Log of the node.
        """
        self.member = member
        self.wanted = wanted
        self._greet = greet
        self._on_frame = on_frame
        self._on_change = on_change
        self._on_reuse = on_reuse
        self._log = log
        self._pending: dict[int, _Pending] = {}
        self._stream: streams.Stream | None = None
        self._incarnation = 0
        self._heard_at = 0.0
        self._pinged_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._retry_now = asyncio.Event()
        self._needed = asyncio.Event()
        self._used_at = -math.inf
        self._closing = False
        # Set once the attempt to connect that is under way has ended.
        self._attempted = asyncio.Event()

    @property
    def connected(self) -> bool:
        """Whether frames can be sent."""
        return self._stream is not None

    def start(self) -> None:
        """Starts to connect."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Closes the connection."""
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()

    def retry(self) -> None:
        """Connects at once instead of after the pause."""
        self._retry_now.set()

    def want(self, wanted: bool) -> None:
        """Sets whether the link stays connected without calls."""
        self.wanted = wanted
        if wanted:
            self._needed.set()

    def wake(self) -> None:
        """Connects for something that is to be sent soon."""
        self._used_at = clock.read_s()
        self._needed.set()

    def send(self, frame: frames.Frame) -> bool:
        """Sends a frame; False if the other node is not reachable."""
        return self.send_bytes(frames.encode(frame))

    def send_bytes(self, data: bytes) -> bool:
        """Sends an encoded frame; False if the node is not reachable."""
        if self._stream is None:
            return False
        self._stream.write(data)
        return True

    async def call(self, call: calls.Call) -> calls.Outcome:
        """Sends a call and waits for its outcome."""
        if not self.wanted:
            await self._open(call)
        number = next(_NUMBERS)
        pending = _Pending(call)
        if not self.send([frames.FrameType.REQUEST, number, call.encode()]):
            return calls.Refusal(errors.ErrorKind.CONNECT_FAILED)
        self._pending[number] = pending
        self.member.sent += 1
        try:
            async with asyncio.timeout(max(0.0, call.remaining_s)):
                return await pending.outcome
        except TimeoutError:
            self.send([frames.FrameType.CANCEL, number])
            return calls.Refusal(errors.ErrorKind.TIMEOUT, reached=True)
        except asyncio.CancelledError:
            self.send([frames.FrameType.CANCEL, number])
            raise
        finally:
            self.member.sent -= 1
            self._pending.pop(number, None)

    async def _open(self, call: calls.Call) -> None:
        """Connects a link that is not connected all the time."""
        self.wake()
        if self._stream is not None:
            return
        self._attempted.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(0.0, min(CONNECT_TIMEOUT_S, call.remaining_s))
            ):
                await self._attempted.wait()

    def check(self) -> None:
        """Asks a silent link for a sign and replaces a dead one."""
        stream = self._stream
        if stream is None:
            return
        now = clock.read_s()
        if not self._is_needed(now):
            self._closing = True
            stream.close()
            return
        if self._pinged_at > self._heard_at:
            self.member.silent = now - self._pinged_at > SILENT_AFTER_S
            if now - self._pinged_at > SILENCE_LIMIT_S:
                self._log.write(
                    "link silent",
                    peer=self.member.record.node_id,
                    silent_ms=int((now - self._heard_at) * 1000),
                    pending=len(self._pending),
                )
                stream.abort()
        elif now - self._heard_at > (
            PING_AFTER_S if self._pending else IDLE_PING_AFTER_S
        ):
            self._pinged_at = now
            self.send([frames.FrameType.PING])

    def _is_needed(self, now: float) -> bool:
        return bool(
            self.wanted or self._pending or now - self._used_at < IDLE_CLOSE_S
        )

    async def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            refused = False
            while not self._is_needed(clock.read_s()):
                self._needed.clear()
                await self._needed.wait()
            try:
                stream = await streams.connect(
                    self.member.record.address, CONNECT_TIMEOUT_S
                )
                try:
                    backoff_s = MIN_BACKOFF_S
                    await self._use(stream)
                finally:
                    stream.abort()
            except AddressReusedError as error:
                # The former owner is gone, and with it all calls sent to it.
                self._fail_pending(lambda _: True)
                self._on_reuse(self.member, error.record)
                return
            except OSError as error:
                refused = isinstance(error, ConnectionRefusedError)
            except messages.IncompleteMessageError:
                pass  # Logged by `_set_reachable`; connected again below.
            except Exception as error:
                # A frame of another release must not end the link for good.
                self._log.write(
                    "link failed",
                    peer=self.member.record.node_id,
                    error=repr(error),
                )
            self._end_connection()
            if refused:
                # The process is gone, and with it all calls sent to it.
                self._fail_pending(lambda _: True)
            else:
                self._fail_pending(lambda call: call.idempotent)
            self._attempted.set()
            if not self.wanted and not self._pending:
                # Connects again for the next call.
                self._used_at = -math.inf
                continue
            self._retry_now.clear()
            pause_s = random.uniform(0.5, 1.0) * backoff_s
            try:
                async with asyncio.timeout(pause_s):
                    await self._retry_now.wait()
            except TimeoutError:
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _use(self, stream: streams.Stream) -> None:
        for frame in self._greet():
            stream.write(frames.encode(frame))
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            hello = await frames.read(stream)
        if hello[0] != frames.FrameType.HELLO:
            raise messages.MalformedMessageError("no greeting")
        record = members.decode_record(hello[1])
        if record.node_id != self.member.record.node_id:
            raise AddressReusedError(record)
        if self._incarnation and record.incarnation != self._incarnation:
            self._fail_pending(lambda _: True)
        self._incarnation = record.incarnation
        self._heard_at = clock.read_s()
        self._pinged_at = 0.0
        self._stream = stream
        self._closing = False
        self._on_frame(self.member, hello)
        self._set_reachable(True)
        self._attempted.set()
        for number, pending in list(self._pending.items()):
            self.send([frames.FrameType.REQUEST, number, pending.call.encode()])
        while True:
            frame = await frames.read(stream)
            self._heard_at = self.member.heard_at = clock.read_s()
            self.member.silent = False
            self._handle(frame)

    def _handle(self, frame: frames.Frame) -> None:
        kind = frame[0]
        if kind in (frames.FrameType.ANSWER, frames.FrameType.REFUSAL):
            number, load = frame[1], frame[2]
            pending = self._pending.get(number)
            self.member.report_load(*load)
            if pending is not None:
                # The finished call is no longer part of the load.
                self.member.sent_at_report -= 1
                pending.finish(_decode_outcome(frame))
        elif kind != frames.FrameType.PONG:
            self._on_frame(self.member, frame)

    def _end_connection(self) -> None:
        self._stream = None
        if not self._closing:
            self.member.lost_at = clock.read_s()
            self._set_reachable(False)
        self._closing = False

    def _set_reachable(self, reachable: bool) -> None:
        self.member.silent = False
        changed = self.member.reachable != reachable
        self.member.reachable = reachable
        if not changed and not reachable:
            return
        self._log.write(
            "peer reachable" if reachable else "peer lost",
            peer=self.member.record.node_id,
            incarnation=self._incarnation,
            pending=len(self._pending),
        )
        self._on_change(self.member)

    def _fail_pending(self, select: Callable[[calls.Call], bool]) -> None:
        for pending in list(self._pending.values()):
            if select(pending.call):
                pending.finish(
                    calls.Refusal(
                        errors.ErrorKind.CONNECTION_LOST,
                        "connection to the serving node was lost",
                        reached=True,
                    )
                )


def encode_outcome(
    number: int, load: list[Any], outcome: calls.Outcome
) -> frames.Frame:
    """Returns the frame that ends a call."""
    if isinstance(outcome, http1.Answer):
        return [
            frames.FrameType.ANSWER,
            number,
            load,
            outcome.status,
            outcome.headers,
            outcome.body,
            outcome.lacks_call,
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
    if frame[0] == frames.FrameType.ANSWER:
        _, _, _, status, headers, body, lacks_call = frame
        return http1.Answer(
            status,
            [(name, value) for name, value in headers],
            body,
            lacks_call=bool(lacks_call),
        )
    _, _, _, kind, detail, reached, retry_after_s = frame
    return calls.Refusal(errors.ErrorKind(kind), detail, reached, retry_after_s)
