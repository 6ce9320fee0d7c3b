"""Calls over the link to a node whose process restarts."""

import asyncio
import contextlib
import time
import types

import platform_world
import pytest

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import shutdowns
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import frames
from lycheestair.sidecar import http1
from lycheestair.sidecar import links
from lycheestair.sidecar import members
from lycheestair.sidecar import peer_server
from lycheestair.sidecar import streams

LOAD = [0, 0, 0, 0]


class ServingPeer:
    """A serving node that can be replaced by another process.

    Attributes:
      incarnation: Incarnation of the process that accepts connections.
      received: Incarnation and number of each call that was received.
    """

    def __init__(self):
        self.incarnation = 1
        self.received = []
        self.address = f"{platform_world.allocate_host()}:7660"
        self._streams = []
        self._server = None

    async def start(self):
        self._server = await streams.listen(self.address, self._serve)

    def stop(self):
        self._server.close()
        self.lose_connections()

    def lose_connections(self):
        for stream in self._streams:
            stream.abort()
        self._streams.clear()

    def restart(self):
        """Replaces the process; no connection attempt is refused meanwhile."""
        self.incarnation += 1
        self.lose_connections()

    def make_record(self):
        return members.NodeRecord(
            ids.NodeId("n2"),
            ids.Address(self.address),
            ids.FailureDomain("a1"),
            ids.Region("north"),
            self.incarnation,
        )

    async def wait_received(self, count):
        await platform_world.wait_for(lambda: len(self.received) == count)

    async def _serve(self, stream):
        with contextlib.suppress(messages.IncompleteMessageError):
            await self._receive(stream)

    async def _receive(self, stream):
        self._streams.append(stream)
        incarnation = self.incarnation
        await frames.read(stream)
        hello = [
            frames.FrameType.HELLO,
            self.make_record().encode(),
            [],
            frames.PROTOCOL_VERSION,
        ]
        stream.write(frames.encode(hello))
        while True:
            frame = await frames.read(stream)
            if frame[0] == frames.FrameType.REQUEST:
                self.received.append((incarnation, frame[1]))


def make_call(*, idempotent):
    now = clock.read_s()
    return calls.Call(
        b"1",
        b"POST",
        b"/",
        [],
        b"",
        "desk",
        "order",
        "i-n2",
        idempotent,
        1,
        now + 3.0,
        now + 1.0,
    )


def make_link(peer):
    return links.PeerLink(
        members.Member(peer.make_record()),
        lambda: [[frames.FrameType.HELLO, [], [], frames.PROTOCOL_VERSION]],
        lambda member, frame: None,
        lambda member: None,
        lambda member, record: None,
        True,
        types.SimpleNamespace(write=lambda *_, **__: None),
    )


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize("call_count", [1, 5])
@pytest.mark.parametrize("connections_lost_before", [0, 1])
def test_calls_of_an_ended_process_are_not_sent_to_the_next_one(
    call_count, connections_lost_before
):
    """Guards against a non-idempotent request that runs twice.

    The new process knows none of the calls of the earlier one, which may have
    run them.
    """

    async def scenario():
        peer = ServingPeer()
        await peer.start()
        link = make_link(peer)
        link.start()
        try:
            await platform_world.wait_for(lambda: link.connected)
            tasks = [
                asyncio.create_task(link.call(make_call(idempotent=False)))
                for _ in range(call_count)
            ]
            expected = call_count
            await peer.wait_received(expected)
            for _ in range(connections_lost_before):
                peer.lose_connections()
                expected += call_count
                await peer.wait_received(expected)
            peer.restart()
            outcomes = await asyncio.gather(*tasks)
            await platform_world.wait_for(lambda: link.connected)
            await asyncio.sleep(0.1)

            assert {incarnation for incarnation, _ in peer.received} == {1}
            assert all(
                outcome.kind is errors.ErrorKind.CONNECTION_LOST
                and outcome.reached
                for outcome in outcomes
            )
            # The link carries calls to the new process.
            new = asyncio.create_task(link.call(make_call(idempotent=False)))
            await peer.wait_received(expected + 1)
            new.cancel()
        finally:
            link.stop()
            peer.stop()

    run_scenario(scenario)


class ServingNodeStandin:
    """Executes calls at once and records their request ids."""

    def __init__(self):
        self.executed = []
        self.admission = types.SimpleNamespace(running=0, waiting=0)

    async def run(self, call):
        self.executed.append(call.request_id)
        return http1.Response(200, [], b"done")

    def read_load(self):
        return LOAD


def encode_request(request_id, number, is_resent):
    call = make_call(idempotent=False)
    call.request_id = request_id
    fields = call.encode(frames.PROTOCOL_VERSION)
    return frames.encode([frames.FrameType.REQUEST, number, fields, is_resent])


async def open_entry_connection(address):
    """Connects to a node as an entry node does."""
    stream = await streams.connect(address, 1.0)
    record = members.NodeRecord("n1", "127.0.0.1:1", "a1", "north", 5)
    stream.write(
        frames.encode([frames.FrameType.HELLO, record.encode(), [], 2])
    )
    assert (await frames.read(stream))[0] == frames.FrameType.HELLO
    return stream


async def exchange(stream, request_id, number, is_resent=False):
    """Returns the type of the frame that answers a call."""
    stream.write(encode_request(request_id, number, is_resent))
    return (await frames.read(stream))[0]


@contextlib.asynccontextmanager
async def run_peer_server():
    """Runs a serving node; yields it, its address and a clock to advance."""
    now = types.SimpleNamespace(added_s=0.0)
    server = ServingNodeStandin()
    peers = peer_server.PeerServer(
        server,
        shutdowns.Shutdown(),
        lambda: [[frames.FrameType.HELLO, [], [], frames.PROTOCOL_VERSION]],
        members.Member,
        lambda member, frame: None,
        types.SimpleNamespace(write=lambda *_, **__: None),
    )
    address = f"{platform_world.allocate_host()}:7660"
    with clock.replace(lambda: time.monotonic() + now.added_s):
        listener = await streams.listen(address, peers.serve)
        try:
            yield server, address, now
        finally:
            listener.close()
            peers.close()


def test_call_whose_outcome_has_expired_is_not_run_again():
    """Guards against a resent call that waits unread at a suspended node."""

    async def scenario():
        async with run_peer_server() as (server, address, now):
            first = await open_entry_connection(address)
            answer = await exchange(first, b"order", 7)
            assert answer == frames.FrameType.RESPONSE
            second = await open_entry_connection(address)
            now.added_s += 10.0
            # Outcomes expire when a call ends.
            await exchange(first, b"other", 8)
            answer = await exchange(second, b"order", 7, is_resent=True)
            assert answer == frames.FrameType.REFUSAL
            assert server.executed == [b"order", b"other"]

    run_scenario(scenario)


@pytest.mark.parametrize("first_arrived", [False, True])
def test_call_that_is_sent_again_at_once_is_run_once(first_arrived):
    """Guards against calls that are lost with their connection."""

    async def scenario():
        async with run_peer_server() as (server, address, _):
            if first_arrived:
                first = await open_entry_connection(address)
                await exchange(first, b"order", 7)
            second = await open_entry_connection(address)
            answer = await exchange(second, b"order", 7, is_resent=True)
            assert answer == frames.FrameType.RESPONSE
            assert server.executed == [b"order"]

    run_scenario(scenario)
