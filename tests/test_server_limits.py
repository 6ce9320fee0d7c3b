"""Limits that backend servers name for the requests of all nodes together."""

import asyncio
import time

import platform_world
import pytest
import request_support

from lycheestair import errors
from lycheestair import server_limits
from lycheestair.sidecar import admission
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import error_responses

# A server may get 1.5 times its limit and 5 requests in any span of 4 s, from
# the time at which the nodes must have applied it.
SPAN_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
APPLIED_AFTER_S = 1.0
LOAD_S = APPLIED_AFTER_S + SPAN_S + 0.5
LIMIT_PER_S = 5


def run_scenario(scenario):
    """Runs a scenario in a new event loop, with a timeout."""
    asyncio.run(asyncio.wait_for(scenario(), 40))


def count_most_in_span(times, since):
    """Returns the most requests in a span of SPAN_S that begins after `since`."""
    times = sorted(at for at in times if at >= since)
    return max(
        (sum(at <= other < at + SPAN_S for other in times) for at in times),
        default=0,
    )


def assert_within_limit(times, named_at, limit_per_s=LIMIT_PER_S):
    most = count_most_in_span(times, named_at + APPLIED_AFTER_S)
    assert most <= LIMIT_FACTOR * SPAN_S * limit_per_s + LIMIT_SLACK


def list_arrivals(instance):
    return [
        received.at for received in instance.backend_server.received_requests
    ]


def name_limit(instance, limit=b"%d" % LIMIT_PER_S):
    """Makes the backend server of an instance name a limit in its answers."""
    instance.backend_server.extra_headers = [(b"server-limit", limit)]


async def send_load(entries, path="/order/1", rate_per_s=20, load_s=LOAD_S):
    """Sends requests to each entry; returns (response, seconds) of each."""

    async def send_timed(entry):
        started_at = time.monotonic()
        response = await entry.request(path, b"POST")
        return response, time.monotonic() - started_at

    tasks = []
    for number in range(int(load_s * rate_per_s)):
        if number % rate_per_s == 0:
            for entry in entries:
                await entry.backend_server.announce()
        tasks += [asyncio.create_task(send_timed(entry)) for entry in entries]
        await asyncio.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks)


def test_limit_holds_over_all_nodes_and_excess_goes_to_a_server_with_room():
    """Guards against LIMIT: a server gets more than it named."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), ("n2", "desk"), ("n3", "press"), ("n4", "press")
        ) as world:
            limited = world.instances[0]
            name_limit(limited)
            named_at = time.monotonic()
            answers = await send_load(world.instances)
            assert_within_limit(list_arrivals(limited), named_at)
            assert {response.status for response, _ in answers} == {200}

    run_scenario(scenario)


def test_excess_is_refused_at_once_if_all_servers_are_at_their_limits():
    """Guards against LIMIT, and against excess that waits for its deadline."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), ("n2", "desk"), ("n3", "press")
        ) as world:
            limited = world.instances[:2]
            for instance in limited:
                name_limit(instance)
            named_at = time.monotonic()
            answers = await send_load(world.instances)
            for instance in limited:
                assert_within_limit(list_arrivals(instance), named_at)
            refused = [
                (response, taken_s)
                for response, taken_s in answers
                if response.status != 200
            ]
            assert {response.status for response, _ in refused} == {503}
            # The objective of the route is 0.5 s.
            assert max(taken_s for _, taken_s in refused) < 0.5
            served = len(answers) - len(refused)
            assert served >= 0.8 * 2 * LIMIT_PER_S * LOAD_S

    run_scenario(scenario)


def test_restart_of_the_node_beside_a_limited_server_exceeds_no_limit():
    """Guards against LIMIT by a node that has lost the limit in a restart."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), ("n2", "press"), ("n3", "press")
        ) as world:
            limited, *others = world.instances
            name_limit(limited)
            named_at = time.monotonic()
            load = asyncio.create_task(send_load(others, load_s=LOAD_S + 1))
            for pause_s in (1.5, 1.0):
                await asyncio.sleep(pause_s)
                await limited.backend_server.announce()
                limited.node.stop()
                await asyncio.sleep(0.2)
                await limited.start_node()
                await limited.backend_server.announce()
            await load
            assert_within_limit(list_arrivals(limited), named_at)
            assert list_arrivals(limited)[-1] > time.monotonic() - 1.0

    run_scenario(scenario)


def read_limit(instance):
    return instance.node._server.admission.limit_per_s


async def request_once(instance, entry):
    """Sends a request to the backend server of an instance."""
    before = len(list_arrivals(instance))
    assert (await entry.request("/order/1", b"POST")).status == 200
    assert len(list_arrivals(instance)) == before + 1


@pytest.mark.parametrize("zone", ["a1", "b1"])
def test_restarted_node_knows_the_limit_before_its_server_answers(zone):
    """Guards against requests in excess until the first response."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), ("n2", "press", "v1", zone)
        ) as world:
            limited, other = world.instances
            name_limit(limited)
            await request_once(limited, other)
            peer = other.node._table.find("n1")
            await platform_world.wait_for(lambda: peer.limit)
            limited.node.stop()
            await asyncio.sleep(0.1)
            await limited.start_node()
            await limited.backend_server.announce()
            await platform_world.wait_for(lambda: read_limit(limited) == 5)
            assert len(list_arrivals(limited)) == 1
            # Another backend server at the address has no limit.
            limited.backend_server.started_ms = 2_000
            await limited.backend_server.announce()
            assert read_limit(limited) is None

    run_scenario(scenario)


def test_limit_that_no_other_node_knows_is_in_force_after_a_restart():
    """Guards against requests in excess where only the server knows its limit."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            limited = world.instances[0]
            name_limit(limited)
            await request_once(limited, limited)
            assert read_limit(limited) == 5
            limited.node.stop()
            await asyncio.sleep(0.1)
            await limited.start_node()
            await limited.announce_until_used()
            assert read_limit(limited) == 5
            assert len(list_arrivals(limited)) == 1
            # Its responses end it.
            limited.backend_server.extra_headers = []
            await request_once(limited, limited)
            assert read_limit(limited) is None

    run_scenario(scenario)


def test_limit_changes_and_ends_with_the_responses_that_name_it():
    """Guards against a limit that stays, or that a malformed value ends."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            limited, other = world.instances
            for value, expected in (
                (b"40", 40.0),
                (b"12.5", 12.5),
                (b"many", 12.5),
                (b"-1", 12.5),
                (b"nan", 12.5),
                (b"1e9", 12.5),
                (b"", 12.5),
                (b"20", 20.0),
            ):
                name_limit(limited, value)
                await request_once(limited, other)
                assert read_limit(limited) == expected, value
            limited.backend_server.extra_headers = []
            await request_once(limited, other)
            assert read_limit(limited) is None

    run_scenario(scenario)


def test_time_of_a_refusal_at_a_limit_is_true():
    """Guards against a Retry-After that leads into another refusal."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            limited, other = world.instances
            name_limit(limited)
            await request_once(limited, other)
            answers = await asyncio.gather(
                *(other.request("/order/1", b"POST") for _ in range(20))
            )
            refused = [answer for answer in answers if answer.status == 503]
            assert refused
            for answer in refused:
                retry_after_s = float(answer.find_header(b"retry-after"))
                assert 0 < retry_after_s <= 20 / LIMIT_PER_S
            await asyncio.sleep(
                max(
                    float(answer.find_header(b"retry-after"))
                    for answer in refused
                )
            )
            await request_once(limited, other)

    run_scenario(scenario)


def test_retry_after_is_never_earlier_than_the_time_known():
    """Guards against clients that return in vain, or all at once."""
    refusal = calls.Refusal(errors.ErrorKind.OVERLOADED, retry_after_s=2.0)
    times_s = [
        error_responses.compute_retry_after_s(refusal) for _ in range(200)
    ]
    assert min(times_s) >= 2.0
    assert max(times_s) - min(times_s) > 0.5


def test_limit_that_changes_in_each_response_is_not_sent_each_time():
    """Guards against traffic in the cell that grows with the requests."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            limited, other = world.instances
            gossip = other.node._gossip
            apply_limit, received = gossip._apply_limit, []

            def record(*arguments):
                received.append(arguments)
                apply_limit(*arguments)

            gossip._apply_limit = record
            started_at = time.monotonic()
            for number in range(60):
                name_limit(limited, b"%d" % (500 + number))
                await request_once(limited, other)
            taken_s = time.monotonic() - started_at
            await platform_world.wait_for(
                lambda: received and received[-1][2] == ["i-n1", 559.0]
            )
            assert len(received) <= taken_s / 0.3 + 2

    run_scenario(scenario)


@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 1.0, 3.5, 20.0, 150.0])
def test_starts_stay_within_the_limit_at_any_rate(limit_per_s):
    """Guards every span of 4 s, also when the limit comes, goes and changes."""
    limiter = server_limits.StartLimiter()
    starts = []
    for step in range(20_000):
        now = step / 1000
        if step % 700 == 0:
            # Gone for a moment, as if one response had not named it.
            limiter.update(None if step % 1400 else limit_per_s, now)
            limiter.update(limit_per_s, now)
        if limiter.try_start(now):
            starts.append(now)
    allowed = LIMIT_FACTOR * SPAN_S * limit_per_s + LIMIT_SLACK
    assert count_most_in_span(starts, 0.0) <= allowed
    # And no fewer than the server accepts, or one in 4 s to ask it.
    assert len(starts) >= 0.95 * 20 * max(limit_per_s, 0.25) - 1


def test_limit_of_a_backend_server_holds_over_all_nodes_of_the_product():
    """Guards against LIMIT on the request path of the product's nodes."""
    arrivals = []

    def answer(request):
        arrivals.append(time.monotonic())
        return request_support.make_response(
            request, headers=b"x-lycheestair-limit: %d\r\n" % LIMIT_PER_S
        )

    with request_support.Cluster(("a1", "a1", "a2")) as cluster:
        first, second, _ = cluster.nodes
        first.serve(answer)
        second.serve(request_support.make_response)
        named_at = time.monotonic()
        statuses = []
        while time.monotonic() < named_at + LOAD_S:
            first.announce()
            second.announce()
            statuses += [
                request_support.call(node.caller, "POST", "/write", b"x").status
                for node in cluster.nodes
            ]
            time.sleep(0.02)
        assert_within_limit(arrivals, named_at)
        assert set(statuses) == {200}


def test_limit_at_the_product_changes_and_ends_with_the_responses():
    """Guards against a limit that stays, or that a malformed value ends."""
    header = []

    def answer(request):
        return request_support.make_response(request, headers=b"".join(header))

    with request_support.Cluster(("a1",)) as cluster:
        (node,) = cluster.nodes
        node.serve(answer)
        for value, expected in (
            (b"40", 40.0),
            (b"12.5", 12.5),
            (b"many", 12.5),
            (b"-1", 12.5),
            (b"nan", 12.5),
            (b"", 12.5),
            (b"20", 20.0),
            (None, None),
        ):
            header[:] = []
            if value is not None:
                header.append(b"x-lycheestair-limit: %s\r\n" % value)
            response = request_support.call(node.caller, "POST", "/write", b"x")
            assert response.status == 200
            assert node.data_plane.read_server_limit() == expected, value


def test_waiting_call_starts_though_another_arrives_at_its_turn():
    """Guards against calls that wait at a limit without a timer."""

    async def scenario():
        now_s = 100.0
        with clock.replace(lambda: now_s):
            queue = admission.Admission()
            queue.resize(4)
            queue.apply_limit(5.0)
            now_s += 0.2
            assert await queue.acquire(make_call()) is None
            waiting = asyncio.create_task(queue.acquire(make_call()))
            await asyncio.sleep(0)
            now_s += 0.2
            later = asyncio.create_task(queue.acquire(make_call()))
            assert await asyncio.wait_for(waiting, 0.15) is None
            later.cancel()

    def make_call():
        now_s = clock.read_s()
        return calls.Call(
            *[b"", b"GET", b"/", [], b"", "s", "r", "", True, 1],
            deadline=now_s + 3.0,
            objective=now_s + 1.0,
        )

    run_scenario(scenario)
