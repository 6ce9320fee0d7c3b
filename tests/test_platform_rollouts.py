"""Rollouts on the platform: good ones completed, bad ones rolled back."""

import asyncio

import platform_standins as standins
import platform_world
import pytest

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import versions as versions_lib

SERVICE = ids.ServiceName("desk")
ROUTE = ids.RouteName("view")


def make_rollout(
    state=rollout_lib.RolloutState.ORDERED, revision=5, target="v2"
):
    return rollout_lib.Rollout(SERVICE, target, 10.0, state, revision, 5)


def make_planner(*counts):
    """Returns a planner; counts are (version, answers, failures, busy_ms)."""
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
        member.order_revision = 5
        member.counts = (members.RouteCount(ROUTE, *count),)
    table.index()
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
        # A fault that all versions have is not the new version's.
        ((30, 12, 3000), (300, 100, 30000), False),
        # Too few answers to tell.
        ((3, 3, 300), (300, 0, 30000), False),
    ],
)
def test_version_is_judged_against_the_others(new, old, bad):
    """Guards the verdict against thin traffic and shared faults."""
    planner = make_planner(("v1", *old), ("v2", *new))
    planner.take(make_rollout(), 1.0)
    assert bool(planner.judge()) == bad
    shares = planner.compute_shares(SERVICE, ["v1", "v2"])
    assert (shares.get("v2", 0) == 0) == bad


def test_fault_of_a_dependency_is_not_blamed_on_the_new_version(monkeypatch):
    """Guards a good version that has most requests when all versions fail."""
    now = clock.read_s()
    planner = make_planner(("v1", 0, 0, 0), ("v2", 0, 0, 0))
    planner.take(make_rollout(), 0.0)
    old, new = [member.counts[0] for member in planner._table.list_others()]
    # Requests and failures of both in a second: first few at the new version,
    # then most, and half of the requests fail wherever they are run.
    for second in range(1, 9):
        early = second < 5
        monkeypatch.setattr(clock, "read_s", lambda at=now + second: at)
        old = add_outcomes(old, *((190, 2) if early else (20, 11)))
        new = add_outcomes(new, *((14, 0) if early else (184, 101)))
        for member, count in zip(
            planner._table.list_others(), (old, new), strict=True
        ):
            member.counts = (count,)
        assert not planner.judge(), planner.read_bad_reason(SERVICE)


@pytest.mark.parametrize("lacks_call", [True, False])
def test_failure_for_lack_of_a_call_is_not_counted(lacks_call):
    """Guards a version that fails because a service it calls does."""

    async def scenario():
        machines = (("n1", "desk"), ("n2", "press"))
        async with platform_world.run(*machines) as world:
            desk, press = world.machines
            press.worker.status = 500

            async def fail(request, stream):
                if lacks_call:
                    answer = await desk.call("/press/1", b"POST")
                    assert answer.status == 500
                stream.write(desk.worker.encode(request))

            desk.worker.misbehave = fail
            desk.worker.status = 500
            for _ in range(4):
                # A client's failed request explains nothing.
                assert (await desk.request("/none/1")).status == 404
                assert (await desk.request()).status == 500
            answers, failures, _ = desk.node._server.counts.get(
                "view", [0, 0, 0]
            )
            assert (answers, failures) == ((0, 0) if lacks_call else (4, 4))

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_version_that_turns_bad_late_is_found(monkeypatch):
    """Guards against evidence that is diluted by the time before."""
    now = clock.read_s()
    planner = make_planner(("v1", 0, 0, 0), ("v2", 0, 0, 0))
    planner.take(make_rollout(), 0.0)
    old, new = [member.counts[0] for member in planner._table.list_others()]
    found_at = None
    for second in range(1, 9):
        monkeypatch.setattr(clock, "read_s", lambda at=now + second: at)
        old = add_outcomes(old, *((190, 2) if second < 5 else (20, 0)))
        new = add_outcomes(new, *((14, 0) if second < 5 else (184, 80)))
        for member, count in zip(
            planner._table.list_others(), (old, new), strict=True
        ):
            member.counts = (count,)
        if planner.judge():
            found_at = second
            break
    assert found_at == 5


def add_outcomes(count, answers, failures):
    return members.RouteCount(
        ROUTE,
        count.answers + answers,
        count.failures + failures,
        count.busy_ms + 100 * answers,
    )


@pytest.mark.parametrize(
    ("age_s", "state", "share"),
    [
        (0.0, rollout_lib.RolloutState.ORDERED, 0.07),
        (4.0, rollout_lib.RolloutState.RUNNING, 0.07),
        (7.0, rollout_lib.RolloutState.RUNNING, 1.0),
        (1.0, rollout_lib.RolloutState.COMPLETED, 1.0),
        (1.0, rollout_lib.RolloutState.ROLLED_BACK, 0.0),
    ],
)
def test_share_follows_the_schedule_and_the_state(age_s, state, share):
    """Guards against traffic at a version that was rolled back."""
    planner = make_planner()
    planner.take(make_rollout(state), age_s)
    shares = planner.compute_shares(SERVICE, ["v1", "v2"])
    assert shares.get("v2", 0) == pytest.approx(share)
    assert sum(shares.values()) == pytest.approx(1.0)


def test_unknown_version_waits_for_its_order():
    """Guards against a new version that gets a full share before its order."""
    planner = make_planner()
    assert set(planner.compute_shares(SERVICE, ["v1"])) == {"v1"}
    assert set(planner.compute_shares(SERVICE, ["v1", "v2"])) == {"v1"}
    planner.take(make_rollout(), 0.0)
    assert planner.compute_shares(SERVICE, ["v1", "v2"])["v2"] < 0.1


def test_older_revision_of_a_rollout_is_ignored():
    """Guards against a late message that takes a verdict back."""
    planner = make_planner()
    done = make_rollout(rollout_lib.RolloutState.ROLLED_BACK, revision=9)
    assert planner.take(done, 0.0)
    assert not planner.take(make_rollout(revision=7), 0.0)
    assert planner.find_order(SERVICE) is done


@pytest.mark.parametrize("fault", ["none", "lost", "late", "limited"])
@pytest.mark.parametrize("good", [True, False])
def test_rollout_ends_in_the_store(good, fault):
    """Guards against rollouts that stay open, also after lost answers."""

    async def scenario():
        machines = (("n1", "desk"), ("n2", "desk"), ("n3", "desk", "v2"))
        async with platform_world.run(*machines) as world:
            new = world.machines[2].worker
            if not good:
                new.status = 500
            if fault == "lost":
                world.store.faults.lose_writes = 2
            if fault == "late":
                world.store.faults.late_writes = 2
            world.store.put(
                "rollouts",
                "desk",
                {"service": "desk", "target_version": "v2", "duration_s": 3},
            )
            if fault == "limited":
                world.store.faults.limited = True
            stop = asyncio.Event()

            async def load(machine):
                while not stop.is_set():
                    await machine.request()
                    await asyncio.sleep(0.003)

            tasks = [asyncio.create_task(load(m)) for m in world.machines]
            if fault == "limited":
                await asyncio.sleep(0.5)
                world.store.faults.limited = False
            expected = "completed" if good else "rolled_back"

            def ended():
                status = world.store.read_status("rollouts", "desk")
                return status and status["state"] == expected

            await platform_world.wait_for(ended, 6.0)
            if fault == "late":
                # A write that is done now must not undo the verdict.
                await asyncio.sleep(world.store.faults.late_s)
                assert ended()
            status = world.store.read_status("rollouts", "desk")
            assert status["target_version"] == "v2"
            await asyncio.sleep(0.3)
            before = len(new.seen)
            old = sum(len(m.worker.seen) for m in world.machines[:2])
            await asyncio.sleep(0.3)
            if good:
                after = sum(len(m.worker.seen) for m in world.machines[:2])
                assert after == old
            else:
                assert len(new.seen) == before
            stop.set()
            await asyncio.gather(*tasks)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_standin_speaks_conditional_writes():
    """Guards the stand-in: a stale revision must not overwrite."""

    async def scenario():
        store = standins.PlatformStore(platform_world.take_address())
        await store.start()
        client = platform_world.program.Platform().connect_store(store.address)
        item = await client.put("k", "a", [1], 0)
        newer = await client.put("k", "a", [2], item.revision)
        refused = await client.put("k", "a", [3], item.revision)
        assert refused.current.value == [2]
        same = await client.put("k", "a", [2], newer.revision)
        assert same.revision == newer.revision
        for number in range(7):
            await client.put("k", f"b{number}", number, 0)
        listing = await client.list("k")
        assert len(listing.items) == 8
        store.compact()
        store.put("k", "z", 1)
        changes = await client.watch("k", store.oldest, 1.0)
        assert [item.name for item in changes.items] == ["z"]
        with pytest.raises(platform_world.node_lib.store_lib.HistoryLostError):
            await client.watch("k", 1, 1.0)
        store.stop()

    asyncio.run(scenario())
