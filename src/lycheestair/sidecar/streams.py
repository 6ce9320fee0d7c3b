"""Buffered byte streams on top of asyncio transports."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
from typing import Final

from lycheestair import ids
from lycheestair import messages

# Reading is paused while more than this is buffered, so that TCP flow control
# slows a fast sender down and memory use stays bounded.
MAX_BUFFERED_BYTES: Final = 262_144
# Most and fewest bytes that are received at once.
MAX_RECEIVED_BYTES: Final = 65_536
MIN_RECEIVED_BYTES: Final = 4_096
# Large bodies are written in parts of this size, so that they aren't copied whole
# into the write buffer.
WRITTEN_PART_BYTES: Final = 131_072
# A connection fails if data stays unacknowledged for this long. Without the
# limit it takes minutes to detect a vanished peer. The limit exceeds the
# time that the retransmissions of a lost packet take.
USER_TIMEOUT_MS: Final = 4_000
ACCEPT_BACKLOG: Final = 512

# Receives the bytes of all connections: the event loop fills it and has it emptied
# before it turns to the next connection.
_RECEIVED: Final = memoryview(bytearray(MAX_RECEIVED_BYTES))


class Stream(asyncio.BufferedProtocol):
    """A connection that is read by a single task.

    Attributes:
      closed: Whether either side has closed or reset the connection.
      was_reset: Whether the connection ended with an error.
      is_writing_paused: Whether the peer reads slower than data is written.
      max_buffered: Reading is paused while at least this many bytes are buffered.
      on_close: Called once when either side closes or resets the connection.
    """

    def __init__(
        self, on_connect: Callable[["Stream"], Awaitable[None]] | None = None
    ):
        self.closed = False
        self.max_buffered = MAX_BUFFERED_BYTES
        self.was_reset = False
        self.on_close: Callable[[], None] | None = None
        self._on_connect = on_connect
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._is_reading_paused = False
        self.is_writing_paused = False
        self._unwritten_bytes = 0

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # The peer has already closed it.
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        if self._on_connect is not None:
            self._task = asyncio.get_running_loop().create_task(
                _run_handler(self._on_connect, self)
            )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Implements asyncio.BufferedProtocol."""
        del sizehint
        room = self.max_buffered - len(self._buffer)
        if room >= MAX_RECEIVED_BYTES:
            return _RECEIVED
        return _RECEIVED[: max(room, MIN_RECEIVED_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        """Implements asyncio.BufferedProtocol."""
        self._buffer += _RECEIVED[:nbytes]
        if len(self._buffer) >= self.max_buffered and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._notify_reader()
        if self._unwritten_bytes:
            self._notify_writer()

    def eof_received(self) -> bool:
        """Implements asyncio.Protocol; keeps the write side open."""
        self._mark_closed()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements asyncio.Protocol."""
        self.was_reset = exc is not None
        self._mark_closed()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Implements asyncio.Protocol."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Implements asyncio.Protocol."""
        self.is_writing_paused = False
        self._notify_writer()

    def _notify_writer(self) -> None:
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def _mark_closed(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._notify_reader()
        if self._unwritten_bytes:
            self._notify_writer()
        if self.on_close is not None:
            self.on_close()

    def _notify_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    # Methods for the task that reads the connection.

    @property
    def buffered(self) -> int:
        """Number of bytes received but not read yet."""
        return len(self._buffer)

    @property
    def peer_host(self) -> str:
        """IP address of the peer, empty if unknown."""
        if self._transport is None:
            return ""
        peer_address = self._transport.get_extra_info("peername")
        return str(peer_address[0]) if peer_address else ""

    @property
    def unsent(self) -> int:
        """Number of bytes to be written but not passed to the kernel yet."""
        if self._transport is None:
            return self._unwritten_bytes
        return self._unwritten_bytes + self._transport.get_write_buffer_size()

    async def fill(self, started: bool) -> None:
        """Waits until more data has been received.

        Args:
          started: Whether part of the message has been read already.

        Raises:
          IncompleteMessageError: The connection has ended.
        """
        if self.closed:
            raise messages.IncompleteMessageError(started)
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()
        self._read_waiter = asyncio.get_running_loop().create_future()
        size = len(self._buffer)
        await self._read_waiter
        if self.closed and len(self._buffer) == size:
            raise messages.IncompleteMessageError(started or size > 0)

    async def read_until(
        self, delimiter: bytes, limit: int, started: bool
    ) -> bytes:
        """Reads up to and including a delimiter.

        Args:
          delimiter: Bytes that end the data.
          limit: Size limit in bytes, including the delimiter.
          started: Whether part of the message has been read already.

        Raises:
          IncompleteMessageError: The connection has ended.
          MalformedMessageError: The delimiter was not found within the limit.
        """
        search_start = 0
        while (found := self._buffer.find(delimiter, search_start)) < 0:
            size = len(self._buffer)
            if size >= limit:
                raise messages.MalformedMessageError("head too large")
            search_start = max(0, size - len(delimiter) + 1)
            await self.fill(started)
        if found + len(delimiter) > limit:
            raise messages.MalformedMessageError("head too large")
        return self.take(found + len(delimiter))

    async def read_exactly(self, length: int) -> bytes:
        """Reads exactly the given number of bytes."""
        while len(self._buffer) < length:
            await self.fill(True)
        return self.take(length)

    async def read_buffer(self, length: int) -> bytes | bytearray:
        """Reads exactly the given number of bytes, if possible without a copy."""
        while len(self._buffer) < length:
            await self.fill(True)
        if len(self._buffer) > length:
            return self.take(length)
        data, self._buffer = self._buffer, bytearray()
        return data

    def decode(self, decode: Callable[[bytearray], int]) -> int:
        """Removes the bytes that a function decodes; returns their number.

        Args:
          decode: Called with the receive buffer; returns the number of decoded
            bytes.
        """
        length = decode(self._buffer)
        del self._buffer[:length]
        return length

    def take(self, length: int) -> bytes:
        """Removes and returns bytes from the receive buffer."""
        with memoryview(self._buffer) as view:
            data = bytes(view[:length])
        del self._buffer[:length]
        return data

    def move(self, target: bytearray, limit: int) -> int:
        """Moves received bytes, up to a limit; returns their number."""
        count = min(limit, len(self._buffer))
        with memoryview(self._buffer) as view:
            target += view[:count]
        del self._buffer[:count]
        return count

    def interrupt(self, error: Exception) -> None:
        """Raises an error in the task that waits for data, if one does."""
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_exception(error)

    def write(self, data: bytes | bytearray) -> None:
        """Sends data; does nothing once the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            # The transport slices what it can't send at once, without a copy of
            # a large view.
            is_large = len(data) > MAX_RECEIVED_BYTES
            self._transport.write(memoryview(data) if is_large else data)

    async def write_in_parts(self, data: bytes | bytearray) -> None:
        """Sends data that is too large to be copied whole.

        Stops when the peer answers or closes the connection. What is left then
        counts as unsent.
        """
        self._unwritten_bytes = len(data)
        with memoryview(data) as view:
            for start in range(0, len(data), WRITTEN_PART_BYTES):
                while self.is_writing_paused and not (
                    self.closed or self._buffer
                ):
                    self._drain_waiter = (
                        asyncio.get_running_loop().create_future()
                    )
                    await self._drain_waiter
                if self.closed or self._buffer:
                    return
                part = bytes(view[start : start + WRITTEN_PART_BYTES])
                self.write(part)
                self._unwritten_bytes -= len(part)

    async def drain(self) -> None:
        """Waits until the write buffer falls below its low-water mark."""
        if self.is_writing_paused:
            self._drain_waiter = asyncio.get_running_loop().create_future()
            await self._drain_waiter

    def close(self) -> None:
        """Closes the connection after all written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once; the peer sees a reset."""
        if self._transport is not None:
            self._transport.abort()


async def _run_handler(
    on_connect: Callable[[Stream], Awaitable[None]], stream: Stream
) -> None:
    try:
        await on_connect(stream)
    finally:
        stream.close()


async def connect(address: ids.Address, timeout_s: float) -> Stream:
    """Opens a connection.

    Raises:
      OSError: The connection could not be opened within the timeout.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, stream = await loop.create_connection(Stream, host, port)
    return stream


async def listen(
    address: ids.Address,
    on_connect: Callable[[Stream], Awaitable[None]],
    accept_batch: int = ACCEPT_BACKLOG,
) -> asyncio.Server:
    """Accepts connections on an address and starts a task for each.

    Args:
      address: Address to listen on.
      on_connect: Serves a connection, which is closed afterwards.
      accept_batch: Connections accepted before others are served.

    Raises:
      OSError: The address can't be bound.
    """
    host, port = split_address(address)
    server = await asyncio.get_running_loop().create_server(
        lambda: Stream(on_connect),
        host,
        port,
        backlog=accept_batch,
        reuse_address=True,
    )
    if accept_batch != ACCEPT_BACKLOG:
        # The event loop has one argument for both.
        for listener in server.sockets:
            with listener.dup() as duplicate:
                duplicate.listen(ACCEPT_BACKLOG)
    return server


def split_address(address: ids.Address) -> tuple[str, int]:
    """Splits an address into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
