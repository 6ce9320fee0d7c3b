"""Rollouts on the platform: good versions complete, bad ones roll back."""

import asyncio
import dataclasses

import platform_standins as standins
import platform_world
import pytest

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import exposure
from lycheestair.sidecar import members
from lycheestair.sidecar import replica
from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import statuses
from lycheestair.sidecar import versions as versions_lib

SERVICE = ids.ServiceName("desk")
ROUTE = ids.RouteName("view")
CREATED = revisions.Revision(1, 5)
STATES = rollout_lib.RolloutState


def make_rollout(
    state=rollout_lib.RolloutState.ORDERED,
    revision=5,
    target="v2",
    era=1,
    created=5,
):
    return rollout_lib.Rollout(
        SERVICE,
        target,
        10.0,
        state,
        revisions.Revision(era, revision),
        revisions.Revision(era, created),
    )


def make_report(rollout, age_s=0.0, bad_reason=""):
    return rollout_lib.RolloutReport(rollout, age_s, bad_reason)


def make_planner(*counts):
    """Returns a planner with a member per count.

    Each count is (version, answers, failures, total_latency_ms).
    """
    table = members.MemberTable(
        members.NodeRecord("n0", "127.0.0.1:1", "a1", "north", 1)
    )
    for number, (version, *count) in enumerate(counts, 1):
        member = table.add(
            members.NodeRecord(
                f"n{number}", f"127.0.0.1:{number}", "a1", "north", 1
            )
        )
        member.endpoint = members.Endpoint(
            f"i{number}",
            SERVICE,
            version,
            4,
            members.backend.BackendState.SERVING,
        )
        member.rollout_created_revision = CREATED
        member.counts = (members.RouteCount(ROUTE, *count),)
    table.invalidate_service_index()
    planner = versions_lib.VersionPlanner(settings_lib.Bounds(), table)
    return planner


@pytest.mark.parametrize(
    ("new", "old", "bad"),
    [
        ((30, 15, 3000), (300, 1, 30000), True),
        ((8, 4, 800), (100, 0, 10000), True),
        ((30, 0, 24000), (300, 0, 30000), True),
        ((30, 1, 3000), (300, 3, 30000), False),
        ((30, 0, 7500), (300, 0, 30000), False),
        # A fault that all versions have is not attributed to the new one.
        ((30, 12, 3000), (300, 100, 30000), False),
        # There are too few failures for a decision.
        ((3, 3, 300), (300, 0, 30000), False),
    ],
)
def test_new_version_is_compared_with_the_others(new, old, bad):
    """Guards against bad versions that are missed and good ones rolled back.

    This may happen with few requests or a fault that all versions have.
    """
    planner = make_planner(("v1", *old), ("v2", *new))
    planner.update_rollout(make_report(make_rollout(), 1.0))
    assert bool(planner.detect_bad_versions()) == bad
    shares = planner.compute_shares(SERVICE, ["v1", "v2"])
    assert (shares.get("v2", 0) == 0) == bad


def test_fault_of_a_dependency_is_not_attributed_to_the_new_version(
    monkeypatch,
):
    """Guards against the rollback of a good version when all versions fail.

    The new version has most of the requests by then, so its failure rate over
    the whole rollout is much larger than that of the old version.
    """
    now = clock.read_s()
    planner = make_planner(("v1", 0, 0, 0), ("v2", 0, 0, 0))
    planner.update_rollout(make_report(make_rollout(), 0.0))
    old, new = [member.counts[0] for member in planner._table.list_others()]
    # Answers and failures per second. The new version gets few requests at
    # first; later it gets most of them, and half fail at both versions.
    for second in range(1, 9):
        early = second < 5
        monkeypatch.setattr(clock, "read_s", lambda at=now + second: at)
        old = add_outcomes(old, *((190, 2) if early else (20, 11)))
        new = add_outcomes(new, *((14, 0) if early else (184, 101)))
        for member, count in zip(
            planner._table.list_others(), (old, new), strict=True
        ):
            member.counts = (count,)
        assert not planner.detect_bad_versions(), planner.get_bad_reason(
            SERVICE
        )


@pytest.mark.parametrize("call_fails", [True, False])
def test_failure_caused_by_a_failed_call_is_not_counted(call_fails):
    """Guards against blaming a version for failures of a service it calls."""

    async def scenario():
        instances = (("n1", "desk"), ("n2", "press"))
        async with platform_world.run(*instances) as world:
            desk, press = world.instances
            press.backend_server.status = 500

            async def fail(request, stream):
                if call_fails:
                    response = await desk.call("/press/1", b"POST")
                    assert response.status == 500
                stream.write(desk.backend_server.encode(request))

            desk.backend_server.handler_override = fail
            desk.backend_server.status = 500
            for _ in range(4):
                # This request of a client fails too. It is no call of the
                # backend server, so it must not excuse the next failure.
                assert (await desk.request("/none/1")).status == 404
                assert (await desk.request()).status == 500
            answers, failures, _ = desk.node._server.counts.get(
                "view", [0, 0, 0]
            )
            assert (answers, failures) == ((0, 0) if call_fails else (4, 4))

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_version_that_turns_bad_late_is_found(monkeypatch):
    """Guards against late detection: earlier successes dilute the failures."""
    now = clock.read_s()
    planner = make_planner(("v1", 0, 0, 0), ("v2", 0, 0, 0))
    planner.update_rollout(make_report(make_rollout(), 0.0))
    old, new = [member.counts[0] for member in planner._table.list_others()]
    detected_at = None
    for second in range(1, 9):
        monkeypatch.setattr(clock, "read_s", lambda at=now + second: at)
        old = add_outcomes(old, *((190, 2) if second < 5 else (20, 0)))
        new = add_outcomes(new, *((14, 0) if second < 5 else (184, 80)))
        for member, count in zip(
            planner._table.list_others(), (old, new), strict=True
        ):
            member.counts = (count,)
        if planner.detect_bad_versions():
            detected_at = second
            break
    assert detected_at == 5


def test_outcomes_of_the_previous_rollout_do_not_count():
    """Guards against a second rollout judged by the answers of the first."""
    planner = make_planner(("v1", 900, 0, 90000), ("v2", 900, 30, 90000))
    planner.update_rollout(make_report(make_rollout()))
    planner.detect_bad_versions()
    done = make_rollout(rollout_lib.RolloutState.COMPLETED, revision=6)
    planner.update_rollout(make_report(done))
    # The operator orders it in the same object.
    later = make_rollout(revision=7, target="v3")
    planner.update_rollout(make_report(later))
    planner.detect_bad_versions()
    (tracked,) = planner._rollouts.values()
    assert tracked.evidence.all_answers == 0
    # The counts begin again.
    for member in planner._table.list_others():
        member.counts = (members.RouteCount(ROUTE, 10, 0, 1000),)
    planner.detect_bad_versions()
    assert tracked.evidence.all_answers == 20


def test_nodes_count_outcomes_of_each_rollout_from_its_order():
    """Guards against counts of the previous rollout in the reports."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            (instance,) = world.instances
            server = instance.node._server
            for target in ("v2", "v3"):
                for _ in range(3):
                    await instance.request()
                world.store.put(
                    "rollouts",
                    "desk",
                    {
                        "service": "desk",
                        "target_version": target,
                        "duration_s": 60,
                    },
                )
                await platform_world.wait_for(lambda: not server.counts)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_late_failures_are_found_within_a_second(monkeypatch):
    """Guards against a fault that the successes before it hide for seconds."""
    now = clock.read_s()
    planner = make_planner(("v1", 300, 3, 30000), ("v2", 300, 3, 30000))
    planner.update_rollout(make_report(make_rollout()))
    assert not planner.detect_bad_versions()
    old, new = [member.counts[0] for member in planner._table.list_others()]
    for tenth in range(1, 11):
        at = now + 3.0 + tenth / 10
        monkeypatch.setattr(clock, "read_s", lambda at=at: at)
        old = add_outcomes(old, 12, 0)
        new = add_outcomes(new, 9, 3)
        for member, count in zip(
            planner._table.list_others(), (old, new), strict=True
        ):
            member.counts = (count,)
        if planner.detect_bad_versions():
            return
    pytest.fail("not found")


def test_outcomes_of_servers_that_left_still_count():
    """Guards against evidence that is lost with the node that reported it."""
    planner = make_planner(
        ("v1", 300, 3, 30000), ("v2", 5, 2, 500), ("v2", 5, 0, 500)
    )
    planner.update_rollout(make_report(make_rollout()))
    assert not planner.detect_bad_versions()
    _, failing, restarted = planner._table.list_others()
    planner._table.remove(failing.record.node_id)
    assert not planner.detect_bad_versions()
    # The counts of a node begin again after its restart.
    planner._table.add(dataclasses.replace(restarted.record, incarnation=2))
    restarted.endpoint = members.Endpoint(
        "i9", SERVICE, "v2", 4, members.backend.BackendState.SERVING
    )
    restarted.rollout_created_revision = CREATED
    restarted.counts = (members.RouteCount(ROUTE, 6, 2, 600),)
    assert planner.detect_bad_versions()


def add_outcomes(count, answers, failures):
    return members.RouteCount(
        ROUTE,
        count.answers + answers,
        count.failures + failures,
        count.total_latency_ms + 100 * answers,
    )


@pytest.mark.parametrize(
    ("age_s", "state", "share"),
    [
        (0.0, rollout_lib.RolloutState.ORDERED, exposure.INITIAL_SHARE),
        (8.5, rollout_lib.RolloutState.RUNNING, exposure.INITIAL_SHARE),
        (9.0, rollout_lib.RolloutState.RUNNING, 1.0),
        (1.0, rollout_lib.RolloutState.COMPLETED, 1.0),
        (1.0, rollout_lib.RolloutState.ROLLED_BACK, 0.0),
    ],
)
def test_share_follows_the_schedule_and_the_state(age_s, state, share):
    """Guards against traffic to a version that was rolled back."""
    planner = make_planner()
    planner.update_rollout(make_report(make_rollout(state), age_s))
    shares = planner.compute_shares(SERVICE, ["v1", "v2"])
    assert shares.get("v2", 0) == pytest.approx(share)
    assert sum(shares.values()) == pytest.approx(1.0)


@pytest.mark.parametrize("verdict", ["found bad", "rolled back", "restored"])
def test_rolled_back_version_gets_no_traffic_in_the_next_rollout(verdict):
    """Guards against a bad version that shares the traffic of the old one."""
    planner = make_planner()
    planner.update_rollout(make_report(make_rollout()))
    if verdict == "rolled back":
        planner.update_rollout(
            make_report(make_rollout(STATES.ROLLED_BACK, revision=7))
        )
    else:
        planner.update_rollout(make_report(make_rollout(), 1.0, "errors"))
    later = make_rollout(
        revision=9,
        created=9,
        target="v3",
        era=2 if verdict == "restored" else 1,
    )
    assert planner.update_rollout(make_report(later))
    shares = planner.compute_shares(SERVICE, ["v1", "v2", "v3"])
    assert set(shares) == {"v1", "v3"}
    # Also before its servers have started, and once the old ones are gone.
    assert planner.compute_shares(SERVICE, ["v1", "v2"]) == {"v1": 1.0}
    assert planner.compute_shares(SERVICE, ["v2", "v3"]) == {"v3": 1.0}
    assert planner.compute_shares(SERVICE, ["v2"]) == {"v2": 1.0}
    # A node that starts later learns it with the rollout.
    (report,) = planner.list_rollouts()
    other = make_planner()
    assert other.update_rollout(rollout_lib.decode(rollout_lib.encode(report)))
    assert not other.update_rollout(report)
    shares = other.compute_shares(SERVICE, ["v1", "v2", "v3"])
    assert set(shares) == {"v1", "v3"}
    # It is tried again if the operator orders so.
    planner.update_rollout(
        make_report(make_rollout(STATES.ROLLED_BACK, 11, "v3", 2, 9))
    )
    again = make_rollout(revision=12, created=12, target="v2", era=2)
    assert planner.update_rollout(make_report(again))
    shares = planner.compute_shares(SERVICE, ["v1", "v2", "v3"])
    assert set(shares) == {"v1", "v2"}
    assert shares["v2"] < 0.1


def test_completed_version_keeps_its_traffic_in_the_next_rollout():
    """Guards against a verdict that came when the old servers were stopped."""
    planner = make_planner()
    planner.update_rollout(make_report(make_rollout(), 1.0, "errors"))
    planner.update_rollout(
        make_report(make_rollout(STATES.COMPLETED, revision=7))
    )
    assert planner.compute_shares(SERVICE, ["v1", "v2"]) == {"v2": 1.0}
    later = make_rollout(revision=9, created=9, target="v3")
    assert planner.update_rollout(make_report(later))
    assert planner.compute_shares(SERVICE, ["v2", "v3"])["v3"] < 0.1


def test_number_of_rejected_versions_is_bounded():
    """Guards against reports that grow with each version that was bad."""
    planner = make_planner()
    for number in range(1, 60):
        rollout = make_rollout(
            revision=number, created=number, target=f"v{number}"
        )
        planner.update_rollout(make_report(rollout, 0.0, "errors"))
    (report,) = planner.list_rollouts()
    assert len(report.rejected) == versions_lib.MAX_REJECTED_VERSIONS
    assert "v58" in report.rejected


def test_new_version_gets_no_traffic_before_its_rollout():
    """Guards against an even share for a version without a known rollout.

    Its backend servers may be announced before the rollout arrives.
    """
    planner = make_planner()
    assert set(planner.compute_shares(SERVICE, ["v1"])) == {"v1"}
    assert set(planner.compute_shares(SERVICE, ["v1", "v2"])) == {"v1"}
    planner.update_rollout(make_report(make_rollout(), 0.0))
    assert planner.compute_shares(SERVICE, ["v1", "v2"])["v2"] < 0.1


def test_older_revision_of_a_rollout_is_ignored():
    """Guards against a delayed message that reverts a rollback."""
    planner = make_planner()
    done = make_rollout(rollout_lib.RolloutState.ROLLED_BACK, revision=9)
    assert planner.update_rollout(make_report(done))
    assert not planner.update_rollout(
        make_report(make_rollout(revision=7), 0.0)
    )
    assert planner.find_rollout(SERVICE) is done


def test_verdict_of_a_node_applies_to_its_rollout_only():
    """Guards against a verdict that outlives the rollout it belongs to."""
    planner = make_planner()
    assert planner.update_rollout(make_report(make_rollout()))
    verdict = make_report(make_rollout(), 1.0, "slow")
    assert planner.update_rollout(
        rollout_lib.decode(rollout_lib.encode(verdict))
    )
    assert planner.get_bad_reason(SERVICE) == "slow"
    assert not planner.update_rollout(verdict)
    # The same name and version, ordered once more.
    later = make_rollout(revision=12, created=12)
    assert planner.update_rollout(make_report(later))
    assert not planner.update_rollout(verdict)
    assert not planner.get_bad_reason(SERVICE)
    # The same, ordered in the same object.
    done = make_rollout(STATES.ROLLED_BACK, revision=14, created=12)
    planner.update_rollout(make_report(done))
    again = make_rollout(revision=15, created=12)
    assert planner.update_rollout(make_report(again))
    late = make_report(make_rollout(revision=13, created=12), 1.0, "slow")
    assert not planner.update_rollout(late)
    assert not planner.get_bad_reason(SERVICE)


def test_reports_of_the_previous_release_are_read():
    """Guards against nodes that can't see each other during an upgrade."""
    fields = ["desk", "v2", 10.0, "running", 7, 5, 1.5]
    report = rollout_lib.decode(fields)
    assert report.rollout.revision == revisions.Revision(0, 7)
    assert (report.bad_reason, report.decided) == ("", None)
    assert not report.rejected
    verdict = rollout_lib.decode([*fields, "slow", "rolled_back"])
    assert verdict.bad_reason == "slow"
    assert not verdict.rejected
    member = members.Member(
        members.NodeRecord("n1", "127.0.0.1:1", "a1", "north", 1)
    )
    status = [1, None, [0, 0, 0, 0], 3, False, True, 4, 5]
    statuses.apply_status(member, [*status, [["view", 9, 1, 900]]])
    assert member.rollout_created_revision == revisions.Revision(0, 5)
    assert member.counts == (members.RouteCount(ROUTE, 9, 1, 900),)


def test_version_found_bad_by_another_node_is_not_completed(monkeypatch):
    """Guards against a completion by a node that hasn't seen the evidence."""

    async def scenario():
        instances = (("n1", "desk"), ("n2", "desk", "v2"), ("n3", "desk"))
        async with platform_world.run(*instances) as world:
            planners = [instance.node._planner for instance in world.instances]
            for planner in planners:
                monkeypatch.setattr(planner, "detect_bad_versions", list)
            world.store.put(
                "rollouts",
                "desk",
                {"service": "desk", "target_version": "v2", "duration_s": 2},
            )
            await platform_world.wait_for(
                lambda: all(planner.in_rollout for planner in planners)
            )
            detected = []

            def detect():
                if detected:
                    return []
                (tracked,) = planners[2]._rollouts.values()
                tracked.bad = "found by n3"
                detected.append(tracked.rollout)
                return list(detected)

            monkeypatch.setattr(planners[2], "detect_bad_versions", detect)

            def read_state():
                status = world.store.read_status("rollouts", "desk")
                return status and status["state"]

            await platform_world.wait_for(
                lambda: read_state() in ("completed", "rolled_back")
            )
            assert read_state() == "rolled_back"

    asyncio.run(asyncio.wait_for(scenario(), 30))


@pytest.mark.parametrize("fault", ["none", "lost", "late", "limited"])
@pytest.mark.parametrize("good", [True, False])
def test_final_state_is_written_to_the_store(good, fault):
    """Guards against rollouts that stay unfinished, also after store faults."""

    async def scenario():
        instances = (("n1", "desk"), ("n2", "desk"), ("n3", "desk", "v2"))
        async with platform_world.run(*instances) as world:
            new = world.instances[2].backend_server
            if not good:
                new.status = 500
            if fault == "lost":
                world.store.faults.unanswered_writes = 2
            if fault == "late":
                world.store.faults.delayed_writes = 2
            world.store.put(
                "rollouts",
                "desk",
                {"service": "desk", "target_version": "v2", "duration_s": 3},
            )
            if fault == "limited":
                world.store.faults.rate_limited = True
            stop = asyncio.Event()

            async def send_requests(instance):
                while not stop.is_set():
                    await instance.request()
                    await asyncio.sleep(0.003)

            tasks = [
                asyncio.create_task(send_requests(instance))
                for instance in world.instances
            ]
            if fault == "limited":
                await asyncio.sleep(0.5)
                world.store.faults.rate_limited = False
            expected = "completed" if good else "rolled_back"

            def has_ended():
                status = world.store.read_status("rollouts", "desk")
                return status and status["state"] == expected

            await platform_world.wait_for(has_ended, 6.0)
            if fault == "late":
                # A write that is applied late must not revert the final state.
                await asyncio.sleep(world.store.faults.write_delay_s)
                assert has_ended()
            status = world.store.read_status("rollouts", "desk")
            assert status["target_version"] == "v2"
            await asyncio.sleep(0.3)
            new_count = len(new.received_requests)
            old_count = sum(
                len(instance.backend_server.received_requests)
                for instance in world.instances[:2]
            )
            await asyncio.sleep(0.3)
            if good:
                later_old_count = sum(
                    len(instance.backend_server.received_requests)
                    for instance in world.instances[:2]
                )
                assert later_old_count == old_count
            else:
                assert len(new.received_requests) == new_count
            stop.set()
            await asyncio.gather(*tasks)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_node_that_starts_learns_rollouts_before_it_serves(monkeypatch):
    """Guards against an even share for a bad version after a restart."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            world.store.put(
                "rollouts",
                "desk",
                {"service": "desk", "target_version": "v2", "duration_s": 60},
            )
            (instance,) = world.instances
            instance.node.stop()
            await asyncio.sleep(0.1)
            known = []
            activate = replica.CatalogReplica.activate

            def record_and_activate(self, catalog):
                planner = instance.node._planner
                known.append(planner.find_rollout(SERVICE) is not None)
                return activate(self, catalog)

            monkeypatch.setattr(
                replica.CatalogReplica, "activate", record_and_activate
            )
            await instance.start_node()
            await platform_world.wait_for(instance.is_ready)
            assert known[0]

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_standin_implements_conditional_writes():
    """Guards the stand-in against stale revisions that overwrite objects."""

    async def scenario():
        store = standins.PlatformStore(platform_world.allocate_address())
        await store.start()
        client = platform_world.program.Platform().connect_store(store.address)
        item = await client.put("k", "a", [1], None)
        newer = await client.put("k", "a", [2], item.revision)
        refused = await client.put("k", "a", [3], item.revision)
        assert refused.current.value == [2]
        same = await client.put("k", "a", [2], newer.revision)
        assert same.revision == newer.revision
        for number in range(7):
            await client.put("k", f"b{number}", number, None)
        listing = await client.list("k")
        assert len(listing.items) == 8
        store.compact()
        store.put("k", "z", 1)
        changes = await client.watch(
            "k", revisions.Revision(store.era, store.oldest_revision), 1.0
        )
        assert [item.name for item in changes.items] == ["z"]
        with pytest.raises(
            platform_world.node_lib.store_lib.HistoryDiscardedError
        ):
            await client.watch("k", revisions.Revision(store.era, 1), 1.0)
        store.stop()

    asyncio.run(scenario())
