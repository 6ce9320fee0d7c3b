"""Reads the requests of clients; each byte is charged before it is read."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Final

from lycheestair import chunks
from lycheestair import messages
from lycheestair import pacing
from lycheestair import request_memory
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams

# Bodies are charged and read in parts of this size.
PART_BYTES: Final = 65_536
# Memory of one header field once it has been parsed, without its bytes.
FIELD_BYTES: Final = 150
# Heads up to this size are part of what each connection is charged.
INCLUDED_HEAD_BYTES: Final = 8_192
# A request that waits longer than this for memory is refused.
MAX_WAIT_S: Final = 1.5
WAIT_POLL_S: Final = 0.05

# Shared by the bodies on all connections of the process.
_BODY_PACER: Final = pacing.Pacer()


async def read_request(
    stream: streams.Stream,
    limits: catalog_lib.ClientLimits,
    memory: request_memory.RequestMemory,
    charge: request_memory.Charge,
    wait_until_answered: Callable[[], Awaitable[None]],
) -> http1.Request:
    """Reads a request with its complete body.

    Args:
      stream: The connection.
      limits: Size limits of requests.
      memory: Budget of the charge.
      charge: Charged with what the request takes; the caller releases it.
      wait_until_answered: Waits until earlier requests on the connection are
        answered; awaited before the client is told to send the body.

    Raises:
      BodyTooLargeError: The body exceeds the limit.
      IncompleteMessageError: The connection was closed.
      MalformedMessageError: The request is malformed or its head exceeds the
        limit.
      MemoryShortError: There is not enough memory for the request.
    """
    data = await stream.read_until(b"\r\n\r\n", limits.max_header_bytes, False)
    request, framing, expects_continue = http1.parse_request(data)
    if framing > limits.max_body_bytes:
        raise messages.BodyTooLargeError("request body is too large")
    head_bytes = len(data) + len(request.headers) * FIELD_BYTES
    del data
    if head_bytes > INCLUDED_HEAD_BYTES:
        await _reserve(memory, charge, head_bytes)
    if not framing:
        charge.finish_reading()
        return request
    if expects_continue:
        await wait_until_answered()
        stream.write(http1.CONTINUE_RESPONSE)
    reader = _BodyReader(stream, memory, charge)
    if framing == http1.CHUNKED:
        request.body = await reader.read_chunks(limits.max_body_bytes)
    else:
        request.body = await reader.read_exactly(framing)
    charge.finish_reading()
    return request


class _BodyReader:
    """Reads the body of one request."""

    def __init__(
        self,
        stream: streams.Stream,
        memory: request_memory.RequestMemory,
        charge: request_memory.Charge,
    ):
        self._stream = stream
        self._memory = memory
        self._charge = charge

    async def read_exactly(self, length: int) -> http1.Body:
        """Reads a body of known length."""
        body = bytearray()
        while length:
            part_bytes = min(length, PART_BYTES)
            await self._reserve(part_bytes)
            length -= part_bytes
            while part_bytes:
                if not self._stream.buffered:
                    await self._stream.fill(True)
                count = self._stream.move(body, part_bytes)
                self._charge.record_progress(count, clock.read_s())
                part_bytes -= count
        return _finish_body(body)

    async def read_chunks(self, limit: int) -> http1.Body:
        """Reads a chunked body."""
        decoder = chunks.ChunkDecoder(limit, self._take_chunk)
        pace = pacing.BodyPace(_BODY_PACER)
        self._room = 0
        while True:
            # No call decodes more than is buffered.
            if self._room < self._stream.buffered:
                await self._reserve(PART_BYTES)
                self._room += PART_BYTES
            began_at = time.monotonic()
            decoded_bytes = self._stream.decode(decoder.decode)
            self._charge.record_progress(decoded_bytes, clock.read_s())
            if decoder.is_finished:
                return _finish_body(decoder.detach_body())
            now = time.monotonic()
            if delay_s := pace.charge(now, now - began_at):
                await asyncio.sleep(delay_s)
            if not decoded_bytes:
                await self._stream.fill(True)

    def _take_chunk(self, count: int) -> None:
        self._room -= count

    async def _reserve(self, count: int) -> None:
        await _reserve(
            self._memory,
            self._charge,
            count + count // request_memory.GROWTH_DIVISOR,
        )


async def _reserve(
    memory: request_memory.RequestMemory,
    charge: request_memory.Charge,
    count: int,
) -> None:
    """Charges bytes; waits for stalled requests to give theirs back.

    Raises:
      MemoryShortError: There is not enough memory for the request.
    """
    now = clock.read_s()
    until = now + MAX_WAIT_S
    while not charge.try_charge(count, now):
        if charge.is_shed or (not memory.shed_stalled(now) and now >= until):
            raise request_memory.MemoryShortError
        charge.is_waiting = True
        try:
            await asyncio.sleep(WAIT_POLL_S)
        finally:
            charge.is_waiting = False
        now = clock.read_s()
    charge.progress_at = now


def _finish_body(body: bytearray) -> http1.Body:
    # A copy of a large body would double its memory.
    return bytes(body) if len(body) <= PART_BYTES else body
