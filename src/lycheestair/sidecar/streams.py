"""Buffered byte streams over asyncio transports."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
from typing import Final

from lycheestair import ids
from lycheestair import messages

# Reading pauses while this much is buffered, so that a fast sender is slowed
# by TCP instead of filling the memory.
MAX_BUFFERED_BYTES: Final = 262_144
# Unacknowledged data ends a connection after this time; without it a peer that
# vanished is noticed after minutes. Longer than a lost packet's retries.
USER_TIMEOUT_MS: Final = 4_000
ACCEPT_BACKLOG: Final = 512


class Stream(asyncio.Protocol):
    """One connection, read by one task.

    Attributes:
      ended: Whether the other side has closed or reset the connection.
      was_reset: Whether it ended with an error instead of a close.
      on_end: Called once when the other side closes or resets it.
    """

    def __init__(
        self, on_connect: Callable[["Stream"], Awaitable[None]] | None = None
    ):
        self.ended = False
        self.was_reset = False
        self.on_end: Callable[[], None] | None = None
        self._on_connect = on_connect
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._paused_reading = False
        self._paused_writing = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # The peer was faster.
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        if self._on_connect is not None:
            self._task = asyncio.get_running_loop().create_task(
                _run(self._on_connect, self)
            )

    def data_received(self, data: bytes) -> None:
        """Implements asyncio.Protocol."""
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES and self._transport:
            self._paused_reading = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Implements asyncio.Protocol; keeps the sending side open."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements asyncio.Protocol."""
        self.was_reset = exc is not None
        self._end()
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def pause_writing(self) -> None:
        """Implements asyncio.Protocol."""
        self._paused_writing = True

    def resume_writing(self) -> None:
        """Implements asyncio.Protocol."""
        self._paused_writing = False
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self._wake()
        if self.on_end is not None:
            self.on_end()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # For the task of the connection.

    @property
    def buffered(self) -> int:
        """Bytes received and not yet read."""
        return len(self._buffer)

    @property
    def peer_host(self) -> str:
        """IP address of the other side, empty when it is not known."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    @property
    def unsent(self) -> int:
        """Bytes written and not yet handed to the kernel."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    async def fill(self, started: bool) -> None:
        """Waits for more bytes.

        Raises:
          IncompleteMessageError: The connection has ended.
        """
        if self.ended:
            raise messages.IncompleteMessageError(started)
        if self._paused_reading and self._transport is not None:
            self._paused_reading = False
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        size = len(self._buffer)
        await self._waiter
        if self.ended and len(self._buffer) == size:
            raise messages.IncompleteMessageError(started or size > 0)

    async def read_until(self, end: bytes, limit: int, started: bool) -> bytes:
        """Reads up to and including an end mark.

        Args:
          end: The mark.
          limit: Size limit in bytes, with the mark.
          started: Whether earlier parts of the message have been read.

        Raises:
          IncompleteMessageError: The connection has ended.
          MalformedMessageError: The mark is not within the limit.
        """
        searched = 0
        while (found := self._buffer.find(end, searched)) < 0:
            size = len(self._buffer)
            if size >= limit:
                raise messages.MalformedMessageError("head too large")
            searched = max(0, size - len(end) + 1)
            await self.fill(started)
        if found + len(end) > limit:
            raise messages.MalformedMessageError("head too large")
        return self.take(found + len(end))

    async def read_exactly(self, length: int) -> bytes:
        """Reads a number of bytes."""
        while len(self._buffer) < length:
            await self.fill(True)
        return self.take(length)

    def take(self, length: int) -> bytes:
        """Returns and removes received bytes."""
        data = bytes(self._buffer[:length])
        del self._buffer[:length]
        return data

    def write(self, data: bytes) -> None:
        """Sends bytes; does nothing once the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the bytes written are nearly all sent."""
        if self._paused_writing:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained

    def close(self) -> None:
        """Closes the connection once the bytes written are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once; the other side sees a reset."""
        if self._transport is not None:
            self._transport.abort()


async def _run(
    on_connect: Callable[[Stream], Awaitable[None]], stream: Stream
) -> None:
    try:
        await on_connect(stream)
    finally:
        stream.close()


async def connect(address: ids.Address, timeout_s: float) -> Stream:
    """Opens a connection.

    Raises:
      OSError: It could not be opened within the time.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, stream = await loop.create_connection(Stream, host, port)
    return stream


async def listen(
    address: ids.Address, on_connect: Callable[[Stream], Awaitable[None]]
) -> asyncio.Server:
    """Starts a task for each connection to an address.

    Raises:
      OSError: The address can't be bound.
    """
    host, port = split_address(address)
    return await asyncio.get_running_loop().create_server(
        lambda: Stream(on_connect),
        host,
        port,
        backlog=ACCEPT_BACKLOG,
        reuse_address=True,
    )


def split_address(address: ids.Address) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
