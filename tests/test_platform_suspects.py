"""Requests that crash backend servers: found, shared, refused, forgotten."""

import asyncio
import dataclasses
import itertools

import platform_world
import pytest
from test_platform_path import run_scenario

from lycheestair import errors
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import suspects as suspects_lib
from lycheestair.sidecar import trials

CRASH = b"/view/crash"
REQUEST = suspects_lib.Fingerprint(b"request")


def make_call(target):
    now = clock.read_s()
    return calls.Call(
        request_id=b"1",
        method=b"GET",
        target=target,
        headers=[(b"host", b"shop.example")],
        body=b"",
        caller="desk",
        route="view",
        instance="",
        idempotent=True,
        priority=1,
        deadline=now + 1.0,
        objective=now + 0.5,
        service="desk",
    )


def record_crash(table, number, is_trial=False):
    """Records a crash, half a second after the number."""
    at = number + 0.5
    table.record_crash(
        f"crash {number}", {REQUEST: at}, REQUEST if is_trial else None, at
    )


class CrashingServers:
    """Backend servers that crash when they begin to run a certain request."""

    def __init__(self, instances):
        self.crashes = 0
        for instance in instances:
            instance.backend_server.handler_override = self.make_handler(
                instance
            )

    def make_handler(self, instance):
        server = instance.backend_server

        async def handle(request, stream):
            if not request.target.startswith(CRASH):
                await asyncio.sleep(0.05)
                stream.write(server.encode(request))
                return
            self.crashes += 1
            server.stop()
            stream.abort()
            await asyncio.sleep(0.8)
            await server.start()
            server.started_ms += 1_000
            server._sequence = 0
            await server.announce()

        return handle


def test_request_that_crashes_servers_is_refused_at_every_node():
    """Guards against a request that takes down one server after another."""

    async def scenario():
        names = [(f"n{number}", "desk") for number in range(5)]
        async with platform_world.run(*names) as world:
            servers = CrashingServers(world.instances)
            for attempt in range(12):
                instance = world.instances[attempt % 5]
                response = await instance.request(CRASH.decode())
                assert response.status in (502, 503, 504)
                # Other requests are served meanwhile.
                await instance.request("/view/other")
                await asyncio.sleep(0.4)
            # Two more may have been sent before the third crash was known.
            assert servers.crashes <= suspects_lib.CRASH_LIMIT + 2
            assert response.status == 503
            assert (await instance.request("/view/other")).status == 200
            # A node that starts later knows it from the others.
            later = await world.add("n9", "desk")
            await world.wait_ready()
            known = servers.crashes
            response = await later.request(CRASH.decode())
            assert response.status == 503
            assert servers.crashes == known
            # Logs and metrics name the request and count it.
            (fingerprint,) = later.node._server.suspects
            assert fingerprint.hex().encode() in response.body
            assert b"lycheestair_suspects_refused 1.0" in (
                later.node._metrics.render()
            )
            assert (
                sum(i.node._server.crashes for i in world.instances)
                == servers.crashes
            )

    run_scenario(scenario)


def test_reset_connections_make_no_suspect():
    """Guards against refusing requests of servers that reset when full."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            (instance,) = world.instances

            async def reset(request, stream):
                stream.abort()

            for _ in range(5):
                instance.backend_server.handler_override = reset
                await instance.request("/view/1", deadline_ms=300)
                instance.backend_server.handler_override = None
                await asyncio.sleep(0.3)
                assert (await instance.request("/view/1")).status == 200
            assert not instance.node._server.suspects

    run_scenario(scenario)


def test_answer_clears_a_suspect():
    """Guards against refusing a request because another one crashed servers."""
    table = suspects_lib.SuspectTable()
    for number in range(suspects_lib.CRASH_LIMIT - 1):
        record_crash(table, number)
    assert table.clear(REQUEST)
    assert not table.clear(REQUEST)
    record_crash(table, 8)
    assert table.classify(REQUEST, 9.0) is suspects_lib.Verdict.CLEAN


def test_servers_that_crash_together_make_no_refusal():
    """Guards against refusing a request of which many copies are processed."""
    table = suspects_lib.SuspectTable()
    for number in range(8):
        at = 2.0 + number / 100
        table.record_crash(f"crash {number}", {REQUEST: at}, None, 3.0)
    assert not table.read_refusal_s(REQUEST, 3.0)
    assert table.classify(REQUEST, 3.0) is suspects_lib.Verdict.TRIAL
    assert table.clear(REQUEST)
    assert table.classify(REQUEST, 3.0) is suspects_lib.Verdict.CLEAN


def test_each_failed_trial_refuses_the_request_for_longer():
    """Guards against a request that crashes a server whenever it comes again."""
    table = suspects_lib.SuspectTable()
    for number in range(suspects_lib.CRASH_LIMIT):
        record_crash(table, number)
    now = 10.0
    for delay_s in (*suspects_lib.TRIAL_DELAYS_S, 600.0):
        assert table.classify(REQUEST, now) is suspects_lib.Verdict.TRIAL
        record_crash(table, now, is_trial=True)
        assert table.read_refusal_s(REQUEST, now + 0.5) == delay_s
        now += delay_s + 0.5


def test_request_that_was_cleared_is_tried_again_after_its_next_crash():
    """Guards against three crashes after each answer of a faulty request."""
    table = suspects_lib.SuspectTable()
    for number in range(suspects_lib.CRASH_LIMIT):
        record_crash(table, number)
    table.clear(REQUEST)
    record_crash(table, 10)
    assert table.classify(REQUEST, 11.0) is suspects_lib.Verdict.TRIAL
    table.clear(REQUEST)
    assert table.classify(REQUEST, 11.0) is suspects_lib.Verdict.CLEAN
    # The answer between two failed trials doesn't make the second one the first.
    record_crash(table, 12)
    record_crash(table, 13, is_trial=True)
    table.clear(REQUEST)
    assert table.classify(REQUEST, 14.0) is suspects_lib.Verdict.CLEAN
    record_crash(table, 15, is_trial=True)
    assert table.read_refusal_s(REQUEST, 15.5) == suspects_lib.TRIAL_DELAYS_S[1]


@pytest.mark.parametrize("order", [1, -1])
def test_suspects_merge_in_any_order(order):
    """Guards against nodes that permanently know different suspects."""
    tables = [suspects_lib.SuspectTable() for _ in range(3)]
    for number, table in enumerate(tables):
        record_crash(table, number)
    merged = suspects_lib.SuspectTable()
    for table in tables[::order]:
        assert merged.merge(table.encode(3.0), 3.0)
        assert not merged.merge(table.encode(3.0), 3.0)
    # Together they know the third crash.
    assert merged.classify(REQUEST, 3.0) is suspects_lib.Verdict.TRIAL
    record_crash(tables[0], 3, is_trial=True)
    assert merged.merge(tables[0].encode(4.0), 4.0)
    # The failed trial was at 3.5 s.
    refused_s = suspects_lib.TRIAL_DELAYS_S[0]
    assert merged.read_refusal_s(REQUEST, 4.0) == pytest.approx(refused_s - 0.5)
    assert not merged.read_refusal_s(REQUEST, 4.0 + refused_s)


def test_number_of_suspects_is_bounded():
    """Guards against memory that grows with each crash."""
    table = suspects_lib.SuspectTable()
    for number in range(2 * suspects_lib.MAX_SUSPECTS):
        fingerprint = suspects_lib.Fingerprint(b"%d" % number)
        table.record_crash(
            f"crash {number}", {fingerprint: number + 0.2}, None, 0.0
        )
    assert len(table.encode(0.0)) == suspects_lib.MAX_SUSPECTS


def test_requests_lost_beside_others_do_not_evict_a_refused_one():
    """Guards against a request that is tried again when many others were lost."""
    table = suspects_lib.SuspectTable()
    for number in range(suspects_lib.CRASH_LIMIT):
        record_crash(table, number)
    record_crash(table, 5, is_trial=True)
    for number in range(2 * suspects_lib.MAX_SUSPECTS):
        fingerprint = suspects_lib.Fingerprint(b"%d" % number)
        table.record_crash(f"later {number}", {fingerprint: 9.0}, None, 9.0)
    assert table.classify(REQUEST, 9.0) is suspects_lib.Verdict.REFUSE


def make_members(names, region="north"):
    return [
        members.Member(members.NodeRecord(name, "h:1", "a", region, 1))
        for name in names
    ]


def test_nodes_select_the_same_tester_in_any_order():
    """Guards against trials of a request at several servers at once."""
    names = [f"n{number}" for number in range(20)]
    for number in range(10):
        fingerprint = suspects_lib.Fingerprint(b"%d" % number)
        testers = {
            trials.select_tester(
                fingerprint, make_members(order)
            ).record.node_id
            for order in (names, names[::-1])
        }
        assert len(testers) == 1
    assert trials.select_tester(REQUEST, []) is None


def test_candidates_of_one_region_rank_before_all_others():
    """Guards against two testers while other cells don't know of an end yet."""
    candidates = [
        member
        for region in ("north", "south", "west")
        for member in make_members([f"{region}{n}" for n in range(4)], region)
    ]
    for number in range(10):
        fingerprint = suspects_lib.Fingerprint(b"%d" % number)
        left = list(candidates)
        regions = []
        while left:
            tester = trials.select_tester(fingerprint, left)
            regions.append(tester.record.region)
            left.remove(tester)
        assert [r for r, _ in itertools.groupby(regions)] == regions[::4]


def test_server_that_is_not_the_tester_refuses_a_trial():
    """Guards against a trial at each server that some node takes for the tester."""

    async def scenario():
        names = [(f"n{number}", "desk") for number in range(3)]
        async with platform_world.run(*names) as world:
            first = world.instances[0].node
            call = make_call(b"/view/7")
            fingerprint = suspects_lib.compute_fingerprint(call)
            now = clock.read_s()
            for number in range(suspects_lib.CRASH_LIMIT):
                first._server.suspects.record_crash(
                    f"{number}", {fingerprint: now}, None, now
                )
            first._gossip.publish_suspects()
            await asyncio.sleep(0.2)
            outcomes = {}
            for instance in world.instances:
                call.instance = f"i-{instance.name}"
                call.deadline = clock.read_s() + 1.0
                balancer = instance.node._entry_node._balancer
                is_tester = balancer.is_tester(fingerprint)
                outcome = await instance.node._server.run(call)
                outcomes[is_tester] = outcome
                if is_tester:
                    break
            assert outcomes[True].status == 200
            if False in outcomes:
                assert outcomes[False].kind is errors.ErrorKind.SUSPECT
                assert outcomes[False].not_executed

    run_scenario(scenario)


def test_node_whose_server_runs_a_trial_sends_other_requests_on():
    """Guards against an entry node that refuses what another server may try."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "desk")) as world:
            node = world.instances[0].node
            now = clock.read_s()
            node._server._trial.begin(REQUEST, now)
            call = make_call(b"/view/7")
            fingerprint = suspects_lib.compute_fingerprint(call)
            for number in range(suspects_lib.CRASH_LIMIT):
                node._server.suspects.record_crash(
                    f"{number}", {fingerprint: now}, None, now
                )
            assert node._server.refuse_suspect(call) is None
            refusal = await node._server.run(
                dataclasses.replace(call, instance="i-n1")
            )
            assert refusal.kind is errors.ErrorKind.SUSPECT

    run_scenario(scenario)


def test_trial_that_finds_its_server_gone_has_not_failed():
    """Guards against refusing a request that an earlier crash has lost."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            (instance,) = world.instances
            node, now = instance.node._server, clock.read_s()
            call = make_call(b"/view/7")
            call.instance = "i-n1"
            fingerprint = suspects_lib.compute_fingerprint(call)
            for number in range(suspects_lib.CRASH_LIMIT):
                node.suspects.record_crash(
                    f"{number}", {fingerprint: now}, None, now
                )
            # A copy was lost when the server crashed, which isn't known yet.
            node._losses.add(fingerprint, now)
            instance.backend_server.crash()
            node._pool.close_idle()
            outcome = await node.run(call)
            assert outcome.kind is errors.ErrorKind.CONNECT_FAILED
            assert node.crashes == 1
            verdict = node.suspects.classify(fingerprint, clock.read_s())
            assert verdict is suspects_lib.Verdict.TRIAL

    run_scenario(scenario)


def test_server_runs_one_trial_at_a_time():
    """Guards against a crash in two trials, which tells nothing of either."""
    slot = trials.TrialSlot()
    other = suspects_lib.Fingerprint(b"other")
    assert slot.begin(REQUEST, 1.0)
    assert not slot.begin(REQUEST, 1.5)
    assert not slot.begin(other, 1.5)
    slot.end_if_lost()
    assert slot.find_running(1.5) == REQUEST
    assert slot.find_lost(1.5) is None
    slot.mark_lost()
    assert slot.find_lost(1.5) == REQUEST
    slot.end_if_lost()
    assert slot.begin(other, 2.0)
    assert slot.begin(REQUEST, 2.0 + trials.MAX_TRIAL_S)
