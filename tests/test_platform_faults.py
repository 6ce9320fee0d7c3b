"""Faults of peers, connections and backend servers, each shown once by reading."""

import asyncio
import itertools
import types

import platform_standins as standins
import platform_world
import pytest
from test_platform_path import run_scenario

from lycheestair import shutdowns
from lycheestair.sidecar import backend
from lycheestair.sidecar import cells
from lycheestair.sidecar import digests
from lycheestair.sidecar import members
from lycheestair.sidecar import peer_server
from lycheestair.sidecar import serving
from lycheestair.sidecar import statuses
from lycheestair.sidecar import streams


def make_record(name, domain="a1", region="north"):
    return members.NodeRecord(name, f"{name}:1", domain, region, 1)


def test_digest_is_not_sent_to_a_cell_whose_nodes_all_leave():
    """Guards against a division by zero that ends the periodic task."""
    table = members.MemberTable(make_record("n1"))
    member = table.add(make_record("s1", "b1", "south"))
    member.leaving = True
    log = types.SimpleNamespace(write=None)
    exchange = digests.DigestExchange(
        table, cells.CellMap(table), {}, None, lambda: [], log
    )
    exchange.send_if_due(100.0, False)


def test_call_that_is_cancelled_before_it_starts_is_finished():
    """Guards against a call that counts as running until the node stops."""

    async def scenario():
        async def run(call):
            await asyncio.sleep(0)

        server = types.SimpleNamespace(run=run, read_load=lambda: [0, 0, 0, 0])
        log = types.SimpleNamespace(write=lambda *_, **__: None)
        peers = peer_server.PeerServer(
            server, shutdowns.Shutdown(), None, None, None, log
        )
        stream = types.SimpleNamespace(write=lambda data: None)
        key = ("n1", 1, 7)
        fields = [b"1", b"GET", b"/", [], b"", "d", "r", "i", True, 1, 0, 9, 9]
        peers._accept_call(key, stream, fields)
        peers._cancel(key)
        await asyncio.sleep(0.01)
        assert peers.running == 0

    run_scenario(scenario)


def test_drain_ends_when_the_connection_was_lost_before():
    """Guards against a response that is written forever."""

    async def scenario():
        stream = streams.Stream()
        stream.pause_writing()
        stream.connection_lost(OSError())
        await asyncio.wait_for(stream.drain(), 1.0)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("index", "value"),
    [(1, ["i1", "desk"]), (1, ["i", "desk", "v1", 4, "no state"]), (2, [1])],
)
def test_malformed_status_changes_nothing(index, value):
    """Guards against a member of which half of a status is applied."""
    member = members.Member(make_record("n1"))
    endpoint = ["i1", "desk", "v1", 4, backend.BackendState.SERVING.value]
    status = [1, endpoint, [0, 0, 150, 0], 3, False, True, 4, 0, None]
    assert statuses.apply_status(member, status)
    malformed = [2, *status[1:3], 4, True, False, 9, 0, None]
    malformed[index] = value
    with pytest.raises((TypeError, ValueError)):
        statuses.apply_status(member, malformed)
    assert (member.generation, member.leaving) == (3, False)
    assert member.status is status
    assert member.status_number == 1


def set_answer_memory(monkeypatch, limit):
    """Sets the bytes that answers of a node may take together."""
    ratio = limit / platform_world.MEMORY_BYTES
    monkeypatch.setattr(serving, "ANSWER_MEMORY_RATIO", ratio)


# Answers without end. Each is a prefix and a part that is repeated.
ENDLESS_ANSWERS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n"),
    "header value": (b"HTTP/1.1 200 OK\r\nx-more: ", b"1" * 1_000),
    "garbage": (b"", b"\x00garbage" * 100),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4_096 + b"\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        b"e=1;" * 100,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-more: 1\r\n",
    ),
    "body until close": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 4_096),
    "long body": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n",
        b"x" * 4_096,
    ),
}


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("answer", ENDLESS_ANSWERS)
def test_answer_without_end_is_cut_off(answer, is_kept, monkeypatch):
    """Guards against bytes without end from a backend server.

    The client gets 502 in time, the connection is closed, the slot is free and
    the next request is served. The node takes no more than the limit.
    """
    max_answer_bytes = 1_000_000
    set_answer_memory(monkeypatch, max_answer_bytes)
    prefix, part = ENDLESS_ANSWERS[answer]
    written = []

    async def write_endlessly(request, stream):
        stream.write(prefix)
        for _ in itertools.count():
            if stream.closed:
                return
            stream.write(part)
            written.append(len(part))
            await stream.drain()
            await asyncio.sleep(0)

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            server = instance.backend_server
            if is_kept:
                assert (await instance.request()).status == 200
            server.handler_override = write_endlessly
            response = await instance.request(
                "/order/1", b"POST", deadline_ms=3000
            )
            assert response.status == 502
            await platform_world.wait_for(
                lambda: instance.node._server.admission.running == 0
            )
            server.handler_override = None
            response = await instance.request()
            assert (response.status, response.body) == (200, b"done")
            # What the system buffers on both sides of the connection is added.
            assert sum(written) <= max_answer_bytes + 12_000_000

    run_scenario(scenario)


def test_answers_that_are_read_at_the_same_time_share_the_limit(monkeypatch):
    """Guards the memory of a node whose slots all get large answers."""
    set_answer_memory(monkeypatch, 3_000_000)

    async def write_large(request, stream):
        stream.write(
            b"HTTP/1.1 200 OK\r\n%s: i-n1\r\nx-request-id: %s\r\n"
            b"content-length: 2000000\r\n\r\n"
            % (standins.STAMP_HEADER, request.find_header(b"x-request-id"))
        )
        stream.write(b"x" * 1_900_000)
        await asyncio.sleep(0.3)
        stream.write(b"x" * 100_000)
        await stream.drain()

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            instance.backend_server.handler_override = write_large
            responses = await asyncio.gather(
                *(instance.request("/order/1", b"POST") for _ in range(3))
            )
            statuses_seen = sorted(r.status for r in responses)
            assert statuses_seen == [200, 502, 502]
            # The bytes are given back.
            response = await instance.request("/order/1", b"POST")
            assert response.status == 200

    run_scenario(scenario)
