"""Odd entries of another writer: the other entries must still count."""

import orjson
import platform_standins as standins
import platform_world
import pytest
from test_platform_path import run_scenario

from lycheestair.platform import objects
from lycheestair.platform import requests
from lycheestair.sidecar import http1
from lycheestair.sidecar import json_lists
from lycheestair.sidecar import members

DEEP = b"[" * 5_000 + b"]" * 5_000
RECORD = ["n9", "127.0.0.1:7660", "a1", "north", 1]
ODD_ITEMS = [
    b"null",
    b"7",
    b'{"metadata":{}}',
    b'{"metadata":{"name":"x","revision":null}}',
    b'{"metadata":{"name":"x","revision":1e308}}',
    b'{"metadata":{"name":"x","revision":1e400}}',
    b'{"metadata":{"name":"x]","revision":1},"specification":%s}' % DEEP,
    b'{"metadata":{"name":"x","revision":1},"specification":"\xff"}',
    b'{"metadata":{"name":"x","revision":[[1]]}}',
]


def make_item(name, value):
    return orjson.dumps(
        {
            "metadata": {"name": name, "revision": 4, "creation_revision": 4},
            "specification": value,
            "status": None,
        }
    )


@pytest.mark.parametrize("odd", ODD_ITEMS)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_odd_object_leaves_the_others_of_its_list(odd, position):
    """Guards against one entry that makes a store count as unavailable."""

    async def scenario():
        items = [make_item("a", ["],", 1]), make_item("b", {"k": "\\"})]
        items.insert(position, odd)
        body = b'{"items": [%s], "has_more": false, "at": 9}' % b", ".join(
            items
        )

        async def answer(stream):
            request = await http1.read_request(stream, 16384, 16384)
            stream.write(
                http1.encode_response(
                    http1.Response(200, [], body), request.method, True
                )
            )

        address = platform_world.allocate_address()
        listener = await standins.streams.listen(address, answer)
        listing = await objects.ObjectStore(address).list("k")
        listener.close()
        names = [item.name for item in listing.items if item.name != "x"]
        assert names == ["a", "b"]
        assert listing.revision.number == 9

    run_scenario(scenario)


def test_invalid_document_is_not_repaired():
    """Guards against an answer that broke off and passes as a short list."""
    for body in (b'{"items": [1, 2', b"{", b'{"items": [1]} x', DEEP):
        with pytest.raises(orjson.JSONDecodeError):
            json_lists.decode(body)


def test_list_of_node_records_is_followed_beside_odd_ones():
    """Guards against a node that no other finds because of an odd record."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            kind = world.instances[0].node._platform.kinds.nodes
            for name, value in (
                ("odd-port", ["odd-port", "127.0.0.1:99999", "a1", "north", 1]),
                ("odd-type", {"a": 1}),
                ("odd-depth", orjson.loads(b"[" * 200 + b"]" * 200)),
                ("odd-number", ["o", "127.0.0.1:1", "a1", "north", 2**63]),
            ):
                world.store.put(kind, name, value)
            await world.add("n2", "desk")
            await world.wait_ready()
            for _ in range(5):
                assert (await world.instances[0].request()).status == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:" + "9" * 5_000},
        {"address": ":7660"},
        {"address": "127.0.0.1:²"},
        {"incarnation": -1},
        {"incarnation": 2**63},
    ],
)
def test_record_out_of_range_is_rejected(change):
    """Guards against an address that no connection can be opened to."""
    fields = list(RECORD)
    members.decode_record(fields)
    fields[1] = change.get("address", fields[1])
    fields[4] = change.get("incarnation", fields[4])
    with pytest.raises(ValueError):
        members.decode_record(fields)


@pytest.mark.parametrize(
    "part",
    [
        b'"slots":%s' % (b"[" * 1_000 + b"]" * 1_000),
        b'"slots":' + b"[" * 5_000 + b"]" * 5_000,
        b'"slots":1e400',
        b'"slots":-1',
        b'"slots":9000000000000000000',
    ],
)
def test_odd_heartbeat_is_rejected(part):
    """Guards against a heartbeat whose error message can't be written."""
    body = (
        b'{"address":"127.0.0.1:1","born":1,"information":{"service":"s",'
        b'"version":"v","zone":"z",%s},"status":{"state":"ready","sequence":1}}'
    ) % part
    target = b"/-/rpc?call=instances.heartbeat&of=i-1"
    with pytest.raises(requests.AnnouncementError):
        requests.decode_announcement(
            http1.Request(b"POST", target, "h", [], body)
        )


def test_start_in_the_future_does_not_hide_later_incarnations():
    """Guards against a server that is lost because of one odd heartbeat."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            (instance,) = world.instances
            server = instance.backend_server
            assert await server.announce(born=2**62) == 400
            assert await server.announce() == 200
            assert (await instance.request()).status == 200

    run_scenario(scenario)
