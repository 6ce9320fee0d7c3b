"""The whole path on the platform's protocol, against stand-ins."""

import asyncio
import functools
import re

import platform_standins as standins
import platform_world
import pytest

from lycheestair.sidecar import feeder
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams

DESKS = (("n1", "desk"), ("n2", "desk"), ("n3", "press"))


def play(scenario):
    """Runs a scenario with an event loop of its own."""
    asyncio.run(asyncio.wait_for(scenario(), 30))


def count_runs(world, request_id):
    return sum(
        seen.request.find(b"x-request-id") == request_id
        for machine in world.machines
        for seen in machine.worker.seen
    )


def test_request_reaches_another_service_with_its_headers():
    """Guards the deadline, instance and caller that backend servers need."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, _, third = world.machines
            request_id = platform_world.make_id()
            answer = await first.request(
                "/press/7?x=1",
                b"POST",
                b"plate",
                deadline_ms=900,
                request_id=request_id,
                headers=[(b"x-caller-service", b"forged"), (b"a", b"b")],
            )
            assert (answer.status, answer.body) == (200, b"done")
            assert answer.find(standins.PROOF) == b"i-n3"
            (seen,) = third.worker.seen
            request = seen.request
            assert request.target == b"/press/7?x=1"
            assert (request.method, request.body) == (b"POST", b"plate")
            assert request.find(b"x-request-id") == request_id
            assert request.find(b"x-expected-instance") == b"i-n3"
            assert request.find(b"a") == b"b"
            callers = [
                v for n, v in request.headers if n == b"x-caller-service"
            ]
            assert callers == [b"desk"]
            assert 0 < int(request.find(b"x-deadline-ms")) <= 900

    play(scenario)


@pytest.mark.parametrize(
    ("path", "status"), [("/none/", 404), ("/viewer", 404), ("/view/", 200)]
)
def test_path_without_a_route_is_not_found(path, status):
    """Guards the match on whole prefixes."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            answer = await world.machines[0].request(path)
            assert answer.status == status

    play(scenario)


def test_node_without_a_configuration_answers_not_run():
    """Guards against a 404 for routes that the node has not learned yet."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            world.store.faults.down = True
            machine.node.stop()
            await asyncio.sleep(0.1)
            await machine.start_node()
            assert not await machine.is_ready()
            answer = await machine.request()
            assert answer.status == 503
            assert float(answer.find(b"retry-after")) > 0
            world.store.faults.down = False
            await platform_world.wait_for(machine.is_ready)
            await machine.worker.announce()
            assert (await machine.request()).status == 200

    play(scenario)


def test_restarted_node_learns_from_peers_while_the_store_is_down():
    """Guards against a node that waits for the store although peers know."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            machine = world.machines[0]
            world.store.faults.down = True
            machine.node.stop()
            await asyncio.sleep(0.1)
            await machine.start_node()
            await platform_world.wait_for(machine.is_ready)
            answer = await machine.request("/press/1", b"POST")
            assert answer.status == 200

    play(scenario)


def test_nodes_that_all_restart_read_the_store_at_once(monkeypatch):
    """Guards against waiting for peers that have no configuration either."""
    monkeypatch.setattr(feeder, "PEERS_FIRST_S", 30.0)

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            for machine in world.machines:
                machine.node.stop()
            await asyncio.sleep(0.1)
            for machine in world.machines:
                await machine.start_node()
            for machine in world.machines:
                await platform_world.wait_for(machine.is_ready)

    play(scenario)


@pytest.mark.parametrize("fault", ["none", "compact", "lost"])
def test_configuration_comes_into_force_at_all_nodes(fault):
    """Guards against nodes that keep an older configuration."""

    async def scenario():
        async with platform_world.run(*DESKS, ("n4", "desk")) as world:
            last = world.machines[-1].node._gossip.replica
            take_change = last.take_change
            for version in (9, 14, 15):
                if fault == "compact":
                    world.store.compact()
                if fault == "lost":
                    # A push does not arrive; the node has to ask.
                    last.take_change = lambda *_: setattr(
                        last, "take_change", take_change
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
            for machine in world.machines:

                async def has_route(machine=machine):
                    return (await machine.request("/v15/a")).status == 200

                await platform_world.wait_for(has_route, 2.5)
                assert (await machine.request("/v14/a")).status == 404

    play(scenario)


def test_late_write_of_an_earlier_process_does_not_replace_the_record():
    """Guards the address under which nodes that start later are found."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            machine = world.machines[0]
            key = ("lycheestair-nodes", "n1")
            machine.node.stop()
            world.store.faults.late_writes = 1
            await asyncio.sleep(0.1)
            await machine.start_node()
            await platform_world.wait_for(
                lambda: not world.store.faults.late_writes
            )
            machine.node.stop()
            await asyncio.sleep(0.1)
            await machine.start_node()
            await platform_world.wait_for(machine.is_ready)
            incarnation = machine.node._table.own.record.incarnation

            def is_current():
                record = world.store.objects[key]["specification"]
                return record[-1] == incarnation

            await platform_world.wait_for(is_current)
            await asyncio.sleep(world.store.faults.late_s + 0.2)
            assert is_current()

    play(scenario)


def test_document_of_another_writer_is_passed_over():
    """Guards against a malformed entry that hides the good ones."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
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
            machine = await world.add("n9", "desk")
            await world.wait_ready()
            assert (await machine.request("/press/1", b"POST")).status == 200

    play(scenario)


def test_draining_server_gets_nothing_after_its_acknowledgement():
    """Guards the bound on work for a backend server that leaves."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, second, _ = world.machines
            first.worker.state = "draining"
            assert await first.worker.announce() == 200
            before = len(first.worker.seen)
            for _ in range(10):
                assert (await first.request()).status == 200
            assert len(first.worker.seen) == before
            assert len(second.worker.seen) == 10
            assert await first.worker.deregister() == 200

    play(scenario)


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored():
    """Guards against requests for a backend server that has crashed."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            worker = world.machines[0].worker
            worker.instance, worker.started_ms = "i-new", 2_000
            assert await worker.announce() == 200
            worker.instance = "i-n1"
            assert await worker.announce(born=1_000) != 200
            worker.instance = "i-new"
            assert (await world.machines[0].request()).status == 200

    play(scenario)


@pytest.mark.parametrize("with_start", [True, False])
def test_late_heartbeat_after_a_deregistration_is_ignored(with_start):
    """Guards against work for a server that left a node that had restarted.

    Seen as DRAIN on a hunted day of peloro-mesh: the node had started between
    the heartbeat and the deregistration, which arrived first.
    """

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            machine = world.machines[0]
            machine.node.stop()
            await asyncio.sleep(0.1)
            await machine.start_node()
            await platform_world.wait_for(machine.is_ready)
            worker = machine.worker
            body = b'{"born": 1000}' if with_start else b""
            assert await worker.deregister(body) == 200
            await worker.announce()
            assert machine.node._server.endpoint is None
            before = len(worker.seen)
            for _ in range(5):
                assert (await machine.request()).status == 200
            assert len(worker.seen) == before
            worker.started_ms = 10**15
            assert await worker.announce() == 200
            await platform_world.wait_for(
                lambda: machine.node._server.endpoint is not None
            )

    play(scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"information": None},
        {"status": {"state": "sleepy", "sequence": 9}},
        {"born": "soon"},
        {"address": 7},
    ],
)
def test_malformed_heartbeat_changes_nothing(changes):
    """Guards against foreign check-ins that take a backend server away."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            assert await machine.worker.announce(**changes) == 400
            assert (await machine.request()).status == 200

    play(scenario)


def test_reused_address_does_not_mix_answers():
    """Guards against two links to one node that use the same call numbers.

    Seen as MIXED on trouble-2 of peloro-mesh: a kept answer was sent for a
    call of another link with the same number.
    """

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, _, third = world.machines
            third.worker.misbehave = answer_with_its_path(third.worker)
            for number in range(3):
                answer = await first.request(f"/press/{number}", b"POST")
                assert answer.body == f"/press/{number}".encode()
            # A record of a node that had the address before.
            world.store.put(
                "lycheestair-nodes",
                "n0",
                ["n0", third.peers, "a1", "north", 1],
            )
            await asyncio.sleep(0.5)
            assert first.node._table.find("n0") is None
            for number in range(10, 16):
                answer = await first.request(f"/press/{number}", b"POST")
                assert answer.body == f"/press/{number}".encode()

    play(scenario)


def answer_with_its_path(worker):
    async def answer(request, stream):
        stream.write(worker.encode(request, request.target))

    return answer


def test_lost_peer_connection_loses_no_order():
    """Guards against orders that fail or run twice after a reset."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, _, third = world.machines
            third.worker.work_s = 0.3
            request_id = platform_world.make_id()
            task = asyncio.create_task(
                first.request("/press/1", b"POST", request_id=request_id)
            )
            await platform_world.wait_for(lambda: third.worker.running)
            first.node._gossip.find_link("n3")._stream.abort()
            answer = await task
            assert answer.status == 200
            assert count_runs(world, request_id) == 1

    play(scenario)


async def answer_extra_then_late(worker, request, stream):
    stream.write(worker.encode(request, b"old", b"0" * 16))
    stream.write(worker.encode(request, b"own"))


async def answer_twice(worker, request, stream):
    stream.write(worker.encode(request, b"own"))
    stream.write(worker.encode(request, b"again"))


async def answer_garbage(worker, request, stream):
    stream.write(b"\x00\x01garbage\r\n\r\n")


async def answer_short(worker, request, stream):
    stream.write(worker.encode(request, b"own")[:-1])
    stream.close()


async def answer_unsigned(worker, request, stream):
    stream.write(
        worker.encode(request, b"own").replace(standins.PROOF, b"x-other")
    )


async def answer_unframed(worker, request, stream):
    data = worker.encode(request, b"own")
    stream.write(re.sub(rb"content-length: \d+\r\n", b"", data))
    stream.close()


async def answer_nothing(worker, request, stream):
    stream.abort()


@pytest.mark.parametrize(
    ("misbehave", "status", "body"),
    [
        (answer_extra_then_late, 200, b"own"),
        (answer_twice, 200, b"own"),
        (answer_unframed, 200, b"own"),
        (answer_garbage, 502, None),
        (answer_short, 502, None),
        (answer_unsigned, 502, None),
        (answer_nothing, 502, None),
    ],
)
def test_only_the_own_whole_answer_is_delivered(misbehave, status, body):
    """Guards against answers that are crossed, cut or not signed."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            worker = machine.worker

            async def act(request, stream):
                await misbehave(worker, request, stream)

            worker.misbehave = act
            request_ids = [platform_world.make_id() for _ in range(4)]
            for request_id in request_ids:
                answer = await machine.request(
                    "/order/1", b"POST", request_id=request_id
                )
                assert answer.status == status
                if body is not None:
                    assert answer.body == body
                    assert answer.find(b"x-request-id") == request_id
            # Whatever happened, an order was sent once.
            for request_id in request_ids:
                assert count_runs(world, request_id) == 1

    play(scenario)


def test_request_that_a_server_has_not_run_is_tried_elsewhere():
    """Guards against refusals while another backend server is free."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, second, _ = world.machines

            async def shed(request, stream):
                stream.write(
                    http1.encode_answer(
                        http1.Answer(503, [(b"x-not-executed", b"1")], b""),
                        request.method,
                        True,
                    )
                )

            first.worker.misbehave = shed
            # The first requests show each member to the node.
            for _ in range(3):
                await first.request(deadline_ms=800)
            for _ in range(3):
                answer = await first.request(
                    "/order/1", b"POST", deadline_ms=800
                )
                assert answer.status == 200
                assert answer.find(standins.PROOF) == b"i-n2"
            # A client with time comes back by itself, which costs no budget.
            second.worker.misbehave = shed
            answer = await first.request("/order/1", b"POST", deadline_ms=3000)
            assert answer.status == 503
            assert 0 < float(answer.find(b"retry-after")) < 0.1

    play(scenario)


def test_call_of_the_own_server_is_tried_elsewhere_whatever_its_time():
    """Guards calls, which nobody sends again, against a single refusal."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, _, press = world.machines

            async def shed(request, stream):
                stream.write(
                    http1.encode_answer(
                        http1.Answer(503, [(b"x-not-executed", b"1")], b""),
                        request.method,
                        True,
                    )
                )

            first.worker.misbehave = shed
            for _ in range(3):
                answer = await press.call("/view/1", deadline_ms=3000)
                assert answer.status == 200

    play(scenario)


def test_request_that_lacks_a_call_is_not_run_again():
    """Guards the budget of a failing service against runs of its callers."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, second, press = world.machines
            press.worker.status = 500

            async def fail(machine, request, stream):
                answer = await machine.call("/press/1", b"POST")
                assert answer.status == 500
                stream.write(machine.worker.encode(request))

            for machine in (first, second):
                machine.worker.status = 500
                machine.worker.misbehave = functools.partial(fail, machine)
            # At the own backend server, and over another node.
            for machine in (first, press):
                request_id = platform_world.make_id()
                answer = await machine.request(
                    deadline_ms=800, request_id=request_id
                )
                assert answer.status == 500
                assert count_runs(world, request_id) == 1

    play(scenario)


def test_order_with_an_unknown_outcome_is_not_repeated():
    """Guards against a second run, and against a refusal that says not run."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, second, _ = world.machines

            async def vanish(request, stream):
                stream.abort()

            first.worker.misbehave = second.worker.misbehave = vanish
            request_id = platform_world.make_id()
            answer = await first.request(
                "/order/1", b"POST", request_id=request_id
            )
            assert answer.status == 502
            assert count_runs(world, request_id) == 1
            view = await first.request("/view/1")
            assert view.status == 502

    play(scenario)


def test_refusal_after_a_failed_run_does_not_say_not_run():
    """Guards the promise of 503 for a request that ran at another server.

    Seen in the log of trouble-2 of peloro-mesh: 503 after a run that failed.
    """

    async def scenario():
        machines = (("n1", "desk"), ("n2", "desk", "v1", "b1"))
        async with platform_world.run(*machines) as world:
            first, second = world.machines

            async def shed(request, stream):
                stream.write(
                    http1.encode_answer(
                        http1.Answer(503, [(b"x-not-executed", b"1")], b""),
                        request.method,
                        True,
                    )
                )

            first.worker.status = 500
            second.worker.misbehave = shed
            for _ in range(4):
                request_id = platform_world.make_id()
                answer = await first.request(
                    deadline_ms=800, request_id=request_id
                )
                ran = any(
                    seen.request.find(b"x-request-id") == request_id
                    for seen in first.worker.seen
                )
                assert ran and answer.status == 500

    play(scenario)


def test_order_does_not_use_a_connection_that_was_long_idle():
    """Guards against orders lost on a connection that the server dropped."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            ports = []

            async def answer(request, stream):
                ports.append(stream._transport.get_extra_info("peername")[1])
                stream.write(machine.worker.encode(request))

            machine.worker.misbehave = answer
            await machine.request("/order/1", b"POST")
            await machine.request("/order/2", b"POST")
            await asyncio.sleep(0.7)
            await machine.request("/order/3", b"POST")
            assert ports[0] == ports[1] != ports[2]

    play(scenario)


def test_client_that_leaves_frees_the_server():
    """Guards against work for clients that are gone."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, second, _ = world.machines
            for machine in (first, second):
                machine.worker.work_s = 5.0
            stream = await streams.connect(first.outbound, 1.0)
            stream.write(
                http1.encode_request(
                    b"GET",
                    b"/view/1",
                    [(b"host", b"shop.example"), (b"x-request-id", b"1" * 16)],
                    b"",
                )
            )
            workers = (first.worker, second.worker)
            await platform_world.wait_for(
                lambda: any(worker.running for worker in workers)
            )
            stream.close()
            await platform_world.wait_for(
                lambda: sum(worker.cut for worker in workers) == 1, 0.5
            )

    play(scenario)


def test_request_past_the_time_of_its_route_is_answered():
    """Guards against clients that wait for longer than the operator wants."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            machine.worker.work_s = 5.0
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await machine.request(deadline_ms=4000)
            assert answer.status == 504
            assert loop.time() - started < 2.0

    play(scenario)


def test_leaving_node_finishes_and_then_refuses():
    """Guards against requests that are cut or taken late in a shutdown."""

    async def scenario():
        async with platform_world.run(*DESKS) as world:
            first, second, _ = world.machines
            first.worker.work_s = second.worker.work_s = 1.0
            task = asyncio.create_task(first.request("/order/1", b"POST"))
            await asyncio.sleep(0.1)
            leave = asyncio.create_task(first.node.leave())
            await asyncio.sleep(0.1)
            assert not await first.is_ready()
            assert (await task).status == 200
            late = await first.request("/order/2", b"POST")
            assert late.status == 200
            keep = asyncio.create_task(first.request("/order/3", b"POST"))
            await asyncio.sleep(0.9)
            tasks = [keep]
            while not leave.done():
                before = asyncio.get_running_loop().time()
                tasks.append(
                    asyncio.create_task(first.request("/order/4", b"POST"))
                )
                await asyncio.sleep(0.3)
                assert asyncio.get_running_loop().time() - before < 2
            answers = await asyncio.gather(*tasks)
            assert {answer.status for answer in answers} <= {200, 503}
            await leave

    play(scenario)


def test_overload_is_refused_at_once_with_a_time_to_return():
    """Guards against requests that wait although they can't be served."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            machine.worker.work_s = 0.5
            answers = await asyncio.gather(
                *(machine.request(f"/order/{n}", b"POST") for n in range(40))
            )
            statuses = [answer.status for answer in answers]
            assert statuses.count(200) >= 4
            assert set(statuses) <= {200, 503}
            for answer in answers:
                if answer.status == 503:
                    assert float(answer.find(b"retry-after")) > 0
            runs = len(machine.worker.seen)
            assert runs == statuses.count(200)

    play(scenario)


def test_metrics_tell_outcomes_and_times():
    """Guards what engineers on call read beside the logs."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            machine = world.machines[0]
            await machine.request()
            await machine.request("/none/")
            answer = await standins.send(
                machine.metrics,
                b"GET",
                b"/metrics",
                [(b"host", b"metrics")],
            )
            text = answer.body.decode()
            for line in (
                'lycheestair_request_seconds_count{outcome="status_200"} 1',
                'lycheestair_request_seconds_count{outcome="no_route"} 1',
                "lycheestair_generation 7.0",
                "lycheestair_ready 1.0",
            ):
                assert line in text.splitlines()

    play(scenario)
