"""End-to-end requests over the platform's protocol, against stand-ins."""

import asyncio
import functools
import re
import time

import platform_standins as standins
import platform_world
import pytest

from lycheestair.sidecar import feeder
from lycheestair.sidecar import http1
from lycheestair.sidecar import serving
from lycheestair.sidecar import streams

THREE_NODES = (("n1", "desk"), ("n2", "desk"), ("n3", "press"))


def run_scenario(scenario):
    """Runs a scenario in a new event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(scenario(), 30))


def count_executions(world, request_id):
    return sum(
        received.request.find_header(b"x-request-id") == request_id
        for instance in world.instances
        for received in instance.backend_server.received_requests
    )


def test_request_reaches_another_service_with_its_headers():
    """Guards the deadline, instance and caller headers sent to servers."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, _, third = world.instances
            request_id = platform_world.make_id()
            response = await first.request(
                "/press/7?x=1",
                b"POST",
                b"plate",
                deadline_ms=900,
                request_id=request_id,
                headers=[(b"x-caller-service", b"forged"), (b"a", b"b")],
            )
            assert (response.status, response.body) == (200, b"done")
            assert response.find_header(standins.STAMP_HEADER) == b"i-n3"
            (received,) = third.backend_server.received_requests
            request = received.request
            assert request.target == b"/press/7?x=1"
            assert (request.method, request.body) == (b"POST", b"plate")
            assert request.find_header(b"x-request-id") == request_id
            assert request.find_header(b"x-expected-instance") == b"i-n3"
            assert request.find_header(b"a") == b"b"
            callers = [
                value
                for name, value in request.headers
                if name == b"x-caller-service"
            ]
            assert callers == [b"desk"]
            assert 0 < int(request.find_header(b"x-deadline-ms")) <= 900

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "status"), [("/none/", 404), ("/viewer", 404), ("/view/", 200)]
)
def test_path_without_a_route_is_not_found(path, status):
    """Guards against matching part of a path segment."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            response = await world.instances[0].request(path)
            assert response.status == status

    run_scenario(scenario)


def test_node_without_a_configuration_refuses_requests():
    """Guards against a 404 for routes that the node does not know yet."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            world.store.faults.down = True
            instance.node.stop()
            await asyncio.sleep(0.1)
            await instance.start_node()
            assert not await instance.is_ready()
            response = await instance.request()
            assert response.status == 503
            assert float(response.find_header(b"retry-after")) > 0
            world.store.faults.down = False
            await platform_world.wait_for(instance.is_ready)
            await instance.announce_until_used()
            assert (await instance.request()).status == 200

    run_scenario(scenario)


def test_restarted_node_gets_configuration_from_peers_while_store_is_down():
    """Guards against waiting for the store if peers can provide the data."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            instance = world.instances[0]
            world.store.faults.down = True
            instance.node.stop()
            await asyncio.sleep(0.1)
            await instance.start_node()
            await platform_world.wait_for(instance.is_ready)
            response = await instance.request("/press/1", b"POST")
            assert response.status == 200

    run_scenario(scenario)


def test_nodes_restarted_together_read_the_store_immediately(monkeypatch):
    """Guards against waiting for peers that have no configuration either."""
    monkeypatch.setattr(feeder, "PEER_CONFIGURATION_TIMEOUT_S", 30.0)

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            for instance in world.instances:
                instance.node.stop()
            await asyncio.sleep(0.1)
            for instance in world.instances:
                await instance.start_node()
            for instance in world.instances:
                await platform_world.wait_for(instance.is_ready)

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["none", "compact", "lost"])
def test_configuration_is_activated_on_all_nodes(fault):
    """Guards against nodes that keep an old configuration."""

    async def scenario():
        async with platform_world.run(*THREE_NODES, ("n4", "desk")) as world:
            last_replica = world.instances[-1].node._gossip.replica
            apply_change = last_replica.apply_change
            for version in (9, 14, 15):
                if fault == "compact":
                    world.store.compact()
                if fault == "lost":
                    # A pushed change is lost; the node has to fetch it.
                    last_replica.apply_change = lambda *_: setattr(
                        last_replica, "apply_change", apply_change
                    )
                world.store.put(
                    "config",
                    "main",
                    platform_world.make_config(
                        version,
                        [
                            (
                                f"r{version}",
                                f"/v{version}/",
                                "safe",
                                [("desk", 1)],
                            )
                        ],
                    ),
                )
            for instance in world.instances:

                async def has_route(instance=instance):
                    return (await instance.request("/v15/a")).status == 200

                await platform_world.wait_for(has_route, 2.5)
                assert (await instance.request("/v14/a")).status == 404

    run_scenario(scenario)


def test_delayed_write_of_an_earlier_process_does_not_replace_the_record():
    """Guards the address under which other nodes find a restarted node."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            instance = world.instances[0]
            key = ("lycheestair-nodes", "n1")
            instance.node.stop()
            world.store.faults.delayed_writes = 1
            await asyncio.sleep(0.1)
            await instance.start_node()
            await platform_world.wait_for(
                lambda: not world.store.faults.delayed_writes
            )
            instance.node.stop()
            await asyncio.sleep(0.1)
            await instance.start_node()
            await platform_world.wait_for(instance.is_ready)
            incarnation = instance.node._table.own.record.incarnation

            def is_current():
                record = world.store.objects[key]["specification"]
                return record[-1] == incarnation

            await platform_world.wait_for(is_current)
            await asyncio.sleep(world.store.faults.write_delay_s + 0.2)
            assert is_current()

    run_scenario(scenario)


def test_malformed_document_is_ignored():
    """Guards against a malformed object that hides the valid ones."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            kind = "lycheestair-nodes"
            for name, value in (
                ("x1", None),
                ("x2", ["a", "b"]),
                ("x3", {"a": 1}),
                ("x4", ["x4", "no address", "a1", "north", "1"]),
            ):
                world.store.put(kind, name, value)
            world.store.put("rollouts", "desk", {"service": 7})
            world.store.put("config", "other", {"version": 3})
            await asyncio.sleep(0.3)
            instance = await world.add("n9", "desk")
            await world.wait_ready()
            assert (await instance.request("/press/1", b"POST")).status == 200

    run_scenario(scenario)


def test_draining_server_gets_no_requests_after_the_acknowledgement():
    """Guards the limit on requests sent to a draining backend server."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances
            first.backend_server.state = "draining"
            assert await first.backend_server.announce() == 200
            received_before = len(first.backend_server.received_requests)
            for _ in range(10):
                assert (await first.request()).status == 200
            assert (
                len(first.backend_server.received_requests) == received_before
            )
            assert len(second.backend_server.received_requests) == 10
            assert await first.backend_server.deregister() == 200

    run_scenario(scenario)


def test_delayed_heartbeat_of_an_earlier_incarnation_is_ignored():
    """Guards against routing requests to a crashed backend server."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            backend_server = world.instances[0].backend_server
            backend_server.instance, backend_server.started_ms = "i-new", 2_000
            assert await backend_server.announce() == 200
            backend_server.instance = "i-n1"
            assert await backend_server.announce(born=1_000) != 200
            backend_server.instance = "i-new"
            assert (await world.instances[0].request()).status == 200

    run_scenario(scenario)


@pytest.mark.parametrize("with_start", [True, False])
def test_delayed_heartbeat_after_a_deregistration_is_ignored(with_start):
    """Guards against routing requests to a deregistered backend server.

    The node restarts after a heartbeat was sent, and the deregistration arrives
    before that heartbeat. The restarted node has no record of the backend
    server and must not accept the heartbeat.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            instance = world.instances[0]
            instance.node.stop()
            await asyncio.sleep(0.1)
            await instance.start_node()
            await platform_world.wait_for(instance.is_ready)
            backend_server = instance.backend_server
            body = b'{"born": 1000}' if with_start else b""
            assert await backend_server.deregister(body) == 200
            await backend_server.announce()
            assert instance.node._server.endpoint is None
            received_before = len(backend_server.received_requests)
            for _ in range(5):
                assert (await instance.request()).status == 200
            assert len(backend_server.received_requests) == received_before
            backend_server.started_ms = serving.read_unix_ms() + 1_000
            assert await backend_server.announce() == 200
            await platform_world.wait_for(
                lambda: instance.node._server.endpoint is not None
            )

    run_scenario(scenario)


@pytest.mark.parametrize("departure", ["draining", "deregistered"])
def test_departed_server_is_not_used_again_after_a_restart_of_its_node(
    departure,
):
    """Guards against a delayed heartbeat at a node that has forgotten a departure.

    The other nodes remember what the node has acknowledged.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances
            server = first.backend_server
            if departure == "draining":
                server.state = "draining"
                assert await server.announce() == 200
            else:
                assert await server.deregister(b'{"born": 1000}') == 200
            peer = second.node._table.find("n1")
            await platform_world.wait_for(lambda: peer.departures)
            first.node.stop()
            await asyncio.sleep(0.1)
            await first.start_node()
            await platform_world.wait_for(first.is_ready)
            await platform_world.wait_for(lambda: first.node._server.departures)
            server.state = "ready"
            assert await server.announce() == 200
            for _ in range(10):
                assert (await second.request()).status == 200
                assert (await first.request()).status == 200
            assert not server.received_requests
            # A later incarnation under the same id is used.
            server.started_ms = 2_000
            await first.announce_until_used()

    run_scenario(scenario)


def knows_server(instance, name):
    """Whether a node has a backend server of another node to choose."""
    member = instance.node._table.find(name)
    return member is not None and member.reachable and member.endpoint


@pytest.mark.parametrize("restarted", [False, True])
def test_server_that_says_leaving_in_a_response_gets_no_more_requests(
    restarted,
):
    """Guards against requests to a server whose heartbeat is late or delayed."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n3", "press")) as world:
            first, third = world.instances
            server = first.backend_server
            server.extra_headers = [(b"server-leaving", b"perhaps")]
            assert (await third.request()).status == 200
            assert first.node._server.endpoint.state.value == "serving"
            server.extra_headers = [(b"server-leaving", b"1")]
            assert (await third.request()).status == 200
            assert first.node._server.endpoint.state.value == "draining"
            await world.add("n2", "desk")
            peer = third.node._table.find("n1")
            await platform_world.wait_for(lambda: peer.departures)
            for instance in world.instances:
                await platform_world.wait_for(
                    functools.partial(knows_server, instance, "n2")
                )
            if restarted:
                first.node.stop()
                await asyncio.sleep(0.1)
                await first.start_node()
                await platform_world.wait_for(first.is_ready)
                await platform_world.wait_for(
                    lambda: first.node._server.departures
                )
            # A heartbeat that was sent before the response.
            assert await server.announce() == 200
            for _ in range(10):
                for instance in world.instances:
                    assert (await instance.request()).status == 200
            assert len(server.received_requests) == 2
            # The next incarnation is used again.
            server.extra_headers = []
            server.started_ms = 2_000
            await first.announce_until_used()
            assert first.node._server.endpoint.state.value == "serving"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"information": None},
        {"status": {"state": "sleepy", "sequence": 9}},
        {"born": "soon"},
        {"address": 7},
    ],
)
def test_malformed_heartbeat_is_rejected(changes):
    """Guards against malformed heartbeats that remove a backend server."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            assert await instance.backend_server.announce(**changes) == 400
            assert (await instance.request()).status == 200

    run_scenario(scenario)


def test_reused_address_does_not_mix_up_responses():
    """Guards against mixed up responses after an address was reused.

    Two links lead to the node that owns the address now. If they used the same
    call numbers, the node would return the retained outcome of one call for
    another one.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, _, third = world.instances
            third.backend_server.handler_override = respond_with_path(
                third.backend_server
            )
            for number in range(3):
                response = await first.request(f"/press/{number}", b"POST")
                assert response.body == f"/press/{number}".encode()
            # The record of a former owner of the address.
            world.store.put(
                "lycheestair-nodes",
                "n0",
                ["n0", third.peers, "a1", "north", 1],
            )
            await asyncio.sleep(0.5)
            assert first.node._table.find("n0") is None
            for number in range(10, 16):
                response = await first.request(f"/press/{number}", b"POST")
                assert response.body == f"/press/{number}".encode()

    run_scenario(scenario)


def respond_with_path(backend_server):
    async def respond(request, stream):
        stream.write(backend_server.encode(request, request.target))

    return respond


def test_lost_peer_connection_loses_no_request():
    """Guards against failed or duplicate executions after a reset."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, _, third = world.instances
            third.backend_server.work_s = 0.3
            request_id = platform_world.make_id()
            task = asyncio.create_task(
                first.request("/press/1", b"POST", request_id=request_id)
            )
            await platform_world.wait_for(lambda: third.backend_server.running)
            first.node._gossip.find_link("n3")._stream.abort()
            response = await task
            assert response.status == 200
            assert count_executions(world, request_id) == 1

    run_scenario(scenario)


async def respond_with_old_then_own(backend_server, request, stream):
    stream.write(backend_server.encode(request, b"old", b"0" * 16))
    stream.write(backend_server.encode(request, b"own"))


async def respond_twice(backend_server, request, stream):
    stream.write(backend_server.encode(request, b"own"))
    stream.write(backend_server.encode(request, b"again"))


async def respond_with_garbage(backend_server, request, stream):
    stream.write(b"\x00\x01garbage\r\n\r\n")


async def respond_truncated(backend_server, request, stream):
    stream.write(backend_server.encode(request, b"own")[:-1])
    stream.close()


async def respond_with_part_of_the_head(backend_server, request, stream):
    stream.write(b"HTTP/1.1 200 OK\r\nx-server-stamp: i-n1\r\nconte")
    stream.close()


async def respond_with_head_lines_only(backend_server, request, stream):
    data = backend_server.encode(request, b"own")
    stream.write(data[: data.index(b"\r\n\r\n") + 2])
    stream.close()


async def respond_unsigned(backend_server, request, stream):
    stream.write(
        backend_server.encode(request, b"own").replace(
            standins.STAMP_HEADER, b"x-other"
        )
    )


async def respond_without_length(backend_server, request, stream):
    data = backend_server.encode(request, b"own")
    stream.write(re.sub(rb"content-length: \d+\r\n", b"", data))
    stream.close()


async def close_without_response(backend_server, request, stream):
    stream.abort()


@pytest.mark.parametrize(
    ("handler", "status", "body"),
    [
        (respond_with_old_then_own, 200, b"own"),
        (respond_twice, 200, b"own"),
        (respond_without_length, 200, b"own"),
        (respond_with_garbage, 502, None),
        (respond_truncated, 502, None),
        (respond_with_part_of_the_head, 502, None),
        (respond_with_head_lines_only, 502, None),
        (respond_unsigned, 502, None),
        (close_without_response, 502, None),
    ],
)
def test_only_the_complete_matching_response_is_delivered(
    handler, status, body
):
    """Guards against mismatched, truncated or unsigned responses."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            backend_server = instance.backend_server

            async def handle(request, stream):
                await handler(backend_server, request, stream)

            backend_server.handler_override = handle
            request_ids = [platform_world.make_id() for _ in range(4)]
            for request_id in request_ids:
                response = await instance.request(
                    "/order/1", b"POST", request_id=request_id
                )
                assert response.status == status
                if body is not None:
                    assert response.body == body
                    assert response.find_header(b"x-request-id") == request_id
            # Each non-idempotent request was sent exactly once.
            for request_id in request_ids:
                assert count_executions(world, request_id) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("answers", [True, False])
def test_refusal_that_is_written_again_answers_no_other_request(
    status, has_id, answers
):
    """Guards against 'not run' for a request that a server has run or runs."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            limited, entry = world.instances
            server = limited.backend_server
            refusals = {}
            run_ids = []

            async def handle(request, stream):
                request_id = request.find_header(b"x-request-id")
                if stream in refusals:
                    run_ids.append(request_id)
                    stream.write(refusals[stream])
                    if answers:
                        stream.write(server.encode(request))
                    return
                headers = [(b"x-not-executed", b"1")]
                if has_id:
                    headers.append((b"x-request-id", request_id))
                refusals[stream] = http1.encode_response(
                    http1.Response(status, headers, b""), request.method, True
                )
                stream.write(refusals[stream])

            server.handler_override = handle
            for number in range(4):
                request_id = platform_world.make_id()
                response = await entry.request(
                    f"/order/{number}",
                    b"POST",
                    deadline_ms=700,
                    request_id=request_id,
                )
                assert count_executions(world, request_id) == 1
                expected = {503}
                if request_id in run_ids:
                    expected = {200} if answers else {502, 504}
                assert response.status in expected

    run_scenario(scenario)


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("status", [400, 408, 421, 429, 500, 503])
def test_late_bytes_without_an_id_answer_no_order(status, closes):
    """Guards against 'not run' for an order that its server runs."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            faulty, entry = world.instances
            server = faulty.backend_server
            used = set()
            headers = [(b"connection", b"close")] if closes else []
            late_bytes = http1.encode_response(
                http1.Response(status, headers, b""), b"POST", True
            )

            async def handle(request, stream):
                if stream in used:
                    stream.write(late_bytes)
                used.add(stream)
                await asyncio.sleep(0.05)
                stream.write(server.encode(request))

            server.handler_override = handle
            for number in range(4):
                response = await entry.request(f"/order/{number}", b"POST")
                assert response.status == 200
                assert response.find_header(standins.STAMP_HEADER)

    run_scenario(scenario)


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_order_is_not_reported_as_not_run_unless_its_server_says_so(
    status, has_id
):
    """Guards against a status that promises more than the server said."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            faulty, entry = world.instances

            async def fail(request, stream):
                request_id = request.find_header(b"x-request-id")
                headers = [(b"x-request-id", request_id)] if has_id else []
                stream.write(
                    http1.encode_response(
                        http1.Response(status, headers, b""),
                        request.method,
                        True,
                    )
                )

            faulty.backend_server.handler_override = fail
            for number in range(3):
                response = await entry.request(f"/order/{number}", b"POST")
                assert response.status == 502

    run_scenario(scenario)


def test_request_refused_by_a_server_is_retried_on_another():
    """Guards against refusals while another backend server has slots."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances

            async def refuse(request, stream):
                stream.write(
                    http1.encode_response(
                        http1.Response(503, [(b"x-not-executed", b"1")], b""),
                        request.method,
                        True,
                    )
                )

            first.backend_server.handler_override = refuse
            # A member that has not received a request yet is preferred, so
            # every member gets one first.
            for _ in range(3):
                await first.request(deadline_ms=800)
            for _ in range(3):
                response = await first.request(
                    "/order/1", b"POST", deadline_ms=800
                )
                assert response.status == 200
                assert response.find_header(standins.STAMP_HEADER) == b"i-n2"
            second.backend_server.handler_override = refuse
            response = await first.request(
                "/order/1", b"POST", deadline_ms=3000
            )
            assert response.status == 503
            assert 0 < float(response.find_header(b"retry-after")) < 0.1

    run_scenario(scenario)


def test_clients_with_different_limits_are_treated_alike():
    """Guards against guesses from its limit whether a client will return.

    The first attempt of each request is refused by its server.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances
            refused = set()

            def make_handler(server):
                async def refuse_once(request, stream):
                    request_id = request.find_header(b"x-request-id")
                    if request_id in refused:
                        stream.write(server.encode(request))
                        return
                    refused.add(request_id)
                    stream.write(
                        http1.encode_response(
                            http1.Response(
                                503, [(b"x-not-executed", b"1")], b""
                            ),
                            request.method,
                            True,
                        )
                    )

                return refuse_once

            for instance in (first, second):
                server = instance.backend_server
                server.handler_override = make_handler(server)
            for deadline_ms in (3000, 800, 3000, 500, 2000):
                response = await first.request(
                    "/order/1", b"POST", deadline_ms=deadline_ms
                )
                assert response.status == 200, deadline_ms

    run_scenario(scenario)


def test_call_of_the_local_server_is_retried_regardless_of_its_timeout():
    """Guards against refusing a call of a backend server without a retry.

    A client with the same timeout would retry by itself. Backend servers do not
    retry, so the entry node must.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, _, press_instance = world.instances

            async def refuse(request, stream):
                stream.write(
                    http1.encode_response(
                        http1.Response(503, [(b"x-not-executed", b"1")], b""),
                        request.method,
                        True,
                    )
                )

            first.backend_server.handler_override = refuse
            for _ in range(3):
                response = await press_instance.call(
                    "/view/1", deadline_ms=3000
                )
                assert response.status == 200

    run_scenario(scenario)


def test_call_of_the_local_server_that_would_be_late_is_refused_at_once():
    """Guards against calls that hold the slots of the servers that make them.

    A server holds a slot while it waits for its calls. If these wait until their
    deadline under overload, the services that make them run out of slots too.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, _, press = world.instances
            press.backend_server.slots = 1
            press.backend_server.work_s = 0.35
            await press.backend_server.announce()
            await platform_world.wait_for(
                lambda: press.node._server.admission.slots == 1
            )
            started_at = time.monotonic()
            responses = await asyncio.gather(
                *(first.call("/press/1", b"POST") for _ in range(4))
            )
            statuses = sorted(response.status for response in responses)
            assert statuses == [200, 200, 503, 503]
            # The objective is 0.5 s and a request takes 0.35 s.
            assert time.monotonic() - started_at < 2 * 0.35 + 0.3

    run_scenario(scenario)


def test_request_that_failed_because_of_a_call_is_not_retried():
    """Guards against repeated calls to a failing service.

    A backend server fails a request because its call to another service failed.
    Retrying the request would repeat the call and consume the retry budget of
    that service.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, press_instance = world.instances
            press_instance.backend_server.status = 500

            async def fail_after_call(instance, request, stream):
                response = await instance.call("/press/1", b"POST")
                assert response.status == 500
                stream.write(instance.backend_server.encode(request))

            for instance in (first, second):
                instance.backend_server.status = 500
                instance.backend_server.handler_override = functools.partial(
                    fail_after_call, instance
                )
            # Executed by the local backend server and through another node.
            for instance in (first, press_instance):
                request_id = platform_world.make_id()
                response = await instance.request(
                    deadline_ms=800, request_id=request_id
                )
                assert response.status == 500
                assert count_executions(world, request_id) == 1

    run_scenario(scenario)


def test_non_idempotent_request_with_unknown_outcome_is_not_retried():
    """Guards against a second execution and against status 503.

    Status 503 would tell the client that the request was not executed.
    """

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances

            async def reset_connection(request, stream):
                stream.abort()

            first.backend_server.handler_override = (
                second.backend_server.handler_override
            ) = reset_connection
            request_id = platform_world.make_id()
            response = await first.request(
                "/order/1", b"POST", request_id=request_id
            )
            assert response.status == 502
            assert count_executions(world, request_id) == 1
            view_response = await first.request("/view/1")
            assert view_response.status == 502

    run_scenario(scenario)


def test_refusal_after_a_failed_attempt_does_not_claim_no_execution():
    """Guards against status 503 for a request that was executed.

    The request fails on one backend server, then another one refuses the retry.
    The response must be that of the first one, since 503 means not executed.
    """

    async def scenario():
        instances = (("n1", "desk"), ("n2", "desk", "v1", "b1"))
        async with platform_world.run(*instances) as world:
            first, second = world.instances

            async def refuse(request, stream):
                stream.write(
                    http1.encode_response(
                        http1.Response(503, [(b"x-not-executed", b"1")], b""),
                        request.method,
                        True,
                    )
                )

            first.backend_server.status = 500
            second.backend_server.handler_override = refuse
            for _ in range(4):
                request_id = platform_world.make_id()
                response = await first.request(
                    deadline_ms=800, request_id=request_id
                )
                was_executed = any(
                    received.request.find_header(b"x-request-id") == request_id
                    for received in first.backend_server.received_requests
                )
                assert was_executed and response.status == 500

    run_scenario(scenario)


def test_non_idempotent_request_does_not_reuse_a_long_idle_connection():
    """Guards against losing requests on connections closed by the server."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            client_ports = []

            async def respond(request, stream):
                client_ports.append(
                    stream._transport.get_extra_info("peername")[1]
                )
                stream.write(instance.backend_server.encode(request))

            instance.backend_server.handler_override = respond
            await instance.request("/order/1", b"POST")
            await instance.request("/order/2", b"POST")
            await asyncio.sleep(0.7)
            await instance.request("/order/3", b"POST")
            assert client_ports[0] == client_ports[1] != client_ports[2]

    run_scenario(scenario)


def test_client_disconnect_cancels_its_request():
    """Guards against wasting slots on clients that have disconnected."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances
            for instance in (first, second):
                instance.backend_server.work_s = 5.0
            stream = await streams.connect(first.outbound, 1.0)
            stream.write(
                http1.encode_request(
                    b"GET",
                    b"/view/1",
                    [(b"host", b"shop.example"), (b"x-request-id", b"1" * 16)],
                    b"",
                )
            )
            backend_servers = (first.backend_server, second.backend_server)
            await platform_world.wait_for(
                lambda: any(
                    backend_server.running for backend_server in backend_servers
                )
            )
            stream.close()
            await platform_world.wait_for(
                lambda: sum(
                    backend_server.cancelled_requests
                    for backend_server in backend_servers
                )
                == 1,
                0.5,
            )

    run_scenario(scenario)


def test_request_beyond_its_route_timeout_gets_a_response():
    """Guards against clients that wait longer than the route timeout."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            instance.backend_server.work_s = 5.0
            loop = asyncio.get_running_loop()
            started = loop.time()
            response = await instance.request(deadline_ms=4000)
            assert response.status == 504
            assert loop.time() - started < 2.0

    run_scenario(scenario)


def test_leaving_node_finishes_requests_and_then_refuses_new_ones():
    """Guards against requests that a shutdown interrupts or delays."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, second, _ = world.instances
            first.backend_server.work_s = second.backend_server.work_s = 1.0
            task = asyncio.create_task(first.request("/order/1", b"POST"))
            await asyncio.sleep(0.1)
            shutdown_task = asyncio.create_task(first.node.shut_down())
            await asyncio.sleep(0.1)
            assert not await first.is_ready()
            assert (await task).status == 200
            late_response = await first.request("/order/2", b"POST")
            assert late_response.status == 200
            request_task = asyncio.create_task(
                first.request("/order/3", b"POST")
            )
            await asyncio.sleep(0.9)
            tasks = [request_task]
            while not shutdown_task.done():
                sent_at = asyncio.get_running_loop().time()
                tasks.append(
                    asyncio.create_task(first.request("/order/4", b"POST"))
                )
                await asyncio.sleep(0.3)
                assert asyncio.get_running_loop().time() - sent_at < 2
            responses = await asyncio.gather(*tasks)
            assert {response.status for response in responses} <= {200, 503}
            await shutdown_task

    run_scenario(scenario)


def test_call_that_can_not_end_before_the_node_does_is_not_run():
    """Guards against calls that a planned stop cuts off without an answer."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            first, second = world.instances
            first.backend_server.work_s = 0.8
            # The other node doesn't learn that this one is leaving.
            first.node._gossip.publish_status = lambda: None
            request_tasks = []

            async def send_requests():
                while True:
                    request_tasks.append(
                        asyncio.create_task(second.request("/order/1", b"POST"))
                    )
                    await asyncio.sleep(0.25)

            shutdown_task = asyncio.create_task(first.node.shut_down())
            sending_task = asyncio.create_task(send_requests())
            while not shutdown_task.done():
                await first.backend_server.announce()
                await asyncio.wait([shutdown_task], timeout=0.5)
            first.node.stop()
            sending_task.cancel()
            responses = await asyncio.gather(*request_tasks)
            assert {response.status for response in responses} <= {200, 503}
            assert 200 in {response.status for response in responses}

    run_scenario(scenario)


def test_calls_of_running_requests_are_accepted_until_the_node_ends():
    """Guards against requests that fail because their calls are refused."""

    async def scenario():
        async with platform_world.run(*THREE_NODES) as world:
            first, _, third = world.instances
            third.backend_server.work_s = 0.1
            first.backend_server.work_s = 1.3
            shutdown_task = asyncio.create_task(first.node.shut_down())
            await asyncio.sleep(2.5)
            running = [asyncio.create_task(first.request("/order/1", b"POST"))]
            await asyncio.sleep(0.8)
            running += [asyncio.create_task(first.request("/order/2", b"POST"))]
            await third.backend_server.announce()
            await asyncio.sleep(1.2)
            response = await first.call("/press/1", b"POST", deadline_ms=500)
            assert response.status == 200
            # Its deadline is after the end of the grace period.
            response = await first.request("/press/2", b"POST")
            assert response.status == 503
            for response in await asyncio.gather(*running):
                assert response.status == 200
            await shutdown_task

    run_scenario(scenario)


def test_overload_is_refused_at_once_with_retry_after():
    """Guards against queueing requests that can't be served in time."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            instance.backend_server.work_s = 0.5
            responses = await asyncio.gather(
                *(
                    instance.request(f"/order/{number}", b"POST")
                    for number in range(40)
                )
            )
            statuses = [response.status for response in responses]
            assert statuses.count(200) >= 4
            assert set(statuses) <= {200, 503}
            for response in responses:
                if response.status == 503:
                    assert float(response.find_header(b"retry-after")) > 0
            execution_count = len(instance.backend_server.received_requests)
            assert execution_count == statuses.count(200)

    run_scenario(scenario)


def test_metrics_report_outcomes_and_durations():
    """Guards the metrics that on-call engineers use besides the logs."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            instance = world.instances[0]
            await instance.request()
            await instance.request("/none/")
            response = await standins.send(
                instance.metrics,
                b"GET",
                b"/metrics",
                [(b"host", b"metrics")],
            )
            text = response.body.decode()
            for line in (
                'lycheestair_request_seconds_count{outcome="status_200"} 1',
                'lycheestair_request_seconds_count{outcome="no_route"} 1',
                "lycheestair_generation 7.0",
                "lycheestair_ready 1.0",
            ):
                assert line in text.splitlines()

    run_scenario(scenario)
