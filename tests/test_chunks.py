"""Decoding of chunked bodies and the pace of costly ones, without a network."""

import asyncio
import contextlib
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from lycheestair import chunks
from lycheestair import messages
from lycheestair import pacing
from lycheestair import virtual_time
from lycheestair.sidecar import http1

LIMIT = 1_000_000
# Duration of a load in virtual time.
LOAD_S = 2.0


def encode(parts, trailer=b""):
    return (
        b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        + b"0\r\n"
        + trailer
        + b"\r\n"
    )


def decode(decoder, pieces):
    """Decodes pieces as they arrive; returns the bytes that are left."""
    buffer = bytearray()
    for piece in pieces:
        buffer += piece
        while count := decoder.decode(buffer):
            del buffer[:count]
    return bytes(buffer)


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=40), max_size=20),
    strategies.integers(1, 9),
    strategies.sampled_from([b"", b"a: b\r\n", b"a: b\r\nc: d\r\n"]),
)
def test_body_is_decoded_however_it_arrives(parts, piece_bytes, trailer):
    """Guards against lost, added or foreign bytes."""
    data = encode(parts, trailer)
    pieces = [
        data[start : start + piece_bytes]
        for start in range(0, len(data), piece_bytes)
    ]
    taken = []
    decoder = chunks.ChunkDecoder(LIMIT, taken.append)
    rest = decode(decoder, [*pieces, b"HTTP/1.1 200 OK"])
    assert decoder.is_finished
    assert decoder.take_body() == b"".join(parts)
    assert rest == b"HTTP/1.1 200 OK"
    assert sum(taken) == sum(map(len, parts))


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"-1\r\n",
        b"0x1\r\na\r\n",
        b"1\r\nab\r\n",
        b"1 \x00\r\na\r\n",
        b"1;" + b"e" * chunks.MAX_CHUNK_LINE_BYTES,
        b"123456789\r\n",
        b"0\r\n" + b"a: b\r\n" * chunks.MAX_TRAILER_BYTES,
    ],
)
def test_malformed_body_is_rejected(data):
    """Guards against bodies that two parsers could frame differently."""
    with pytest.raises(messages.MalformedMessageError):
        decode(chunks.ChunkDecoder(LIMIT), [data])


def test_body_is_rejected_before_it_exceeds_the_limit():
    """Guards the memory against chunks that are announced but too large."""
    decoder = chunks.ChunkDecoder(10)
    with pytest.raises(messages.BodyTooLargeError):
        decode(decoder, [b"6\r\nabcdef\r\n", b"5\r\n"])


def test_one_call_decodes_a_bounded_number_of_chunks():
    """Guards against a full buffer that is decoded without a pause."""
    buffer = bytearray(b"1\r\nx\r\n" * 40_000)
    decoder = chunks.ChunkDecoder(LIMIT)
    count = decoder.decode(buffer)
    assert 0 < count <= chunks.MAX_PARTS_PER_CALL * len(b"1\r\nx\r\n")


class EndlessStream:
    """A stream of chunks without end, on a processor of a given speed."""

    def __init__(self, loop, chunk_bytes, chunk_s):
        self._loop = loop
        self._part = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        self._chunk_s = chunk_s
        self._buffer = bytearray()
        self.used_s = 0.0

    def decode(self, decode):
        if len(self._buffer) < 512 * len(self._part):
            self._buffer += self._part * 512
        length = decode(self._buffer)
        del self._buffer[:length]
        used_s = self._chunk_s * length / len(self._part)
        self._loop.advance(used_s)
        self.used_s += used_s
        # The former pacing never lets the other tasks run.
        assert self.used_s < 2 * LOAD_S, "decoded without a pause"
        return length

    async def fill(self, started):
        await asyncio.sleep(0)


@pytest.mark.parametrize("chunk_bytes", [1, 16, 64, 600])
@pytest.mark.parametrize("chunk_s", [2e-5, 1e-4])
def test_endless_bodies_leave_the_processor_to_other_work(
    chunk_bytes, chunk_s, monkeypatch
):
    """Guards against turns that take longer on a slow or busy processor."""
    loop = virtual_time.EventLoop()
    streams = [EndlessStream(loop, chunk_bytes, chunk_s) for _ in range(9)]
    monkeypatch.setattr(http1.time, "monotonic", loop.time)
    monkeypatch.setattr(http1, "_BODY_PACER", pacing.Pacer())

    async def scenario():
        tasks = [
            asyncio.create_task(
                http1._read_chunks(stream, chunks.ChunkDecoder(10**9))
            )
            for stream in streams
        ]
        await asyncio.sleep(LOAD_S)
        for task in tasks:
            assert not task.done()
            task.cancel()

    with contextlib.closing(loop):
        loop.run_until_complete(scenario())
    # Work that isn't paced, and a last turn of each body.
    call_s = chunks.MAX_PARTS_PER_CALL * chunk_s
    unpaced_s = len(streams) * (pacing.UNPACED_S + pacing.TURN_S + 2 * call_s)
    used_s = sum(stream.used_s for stream in streams)
    assert used_s < pacing.MAX_SHARE * LOAD_S + unpaced_s


@pytest.mark.parametrize("used_s", [0.0001, 0.0005, pacing.UNPACED_S])
def test_short_bodies_are_not_delayed(used_s):
    """Guards ordinary responses against waiting for the turns of others."""
    pacer = pacing.Pacer()
    pacer.charge(5.0, 0.01)
    assert pacing.BodyPace(pacer).charge(5.0, used_s) == 0.0


def test_a_long_body_is_delayed_however_its_time_is_divided():
    """Guards against bodies that arrive in pieces too small to count."""
    for pieces in (1, 10, 1000):
        pace = pacing.BodyPace(pacing.Pacer())
        delays_s = [pace.charge(5.0, 0.01 / pieces) for _ in range(pieces)]
        assert max(delays_s) == pytest.approx(
            (0.01 - pacing.UNPACED_S) / pacing.MAX_SHARE, abs=0.011
        )


def test_turns_take_a_bounded_share_whoever_asks():
    """Guards against several connections that take the whole time together."""
    pacer = pacing.Pacer(0.1)
    delays = [pacer.charge(5.0, 0.001) for _ in range(4)]
    assert delays == pytest.approx([0.01, 0.02, 0.03, 0.04])
    turns = itertools.accumulate(
        range(20), lambda now, _: now + pacer.charge(now, 0.001), initial=9.0
    )
    assert list(turns)[-1] == pytest.approx(9.2)
    # A turn during which the process was suspended.
    assert pacer.charge(20.0, 5.0) == pytest.approx(
        pacing.MAX_CHARGED_TURN_S / 0.1
    )
