"""A store that was restored from a copy: revisions go back, writes are lost."""

import asyncio
import dataclasses

import platform_standins as standins
import platform_world
import pytest
from test_platform_path import run_scenario
from test_platform_rollouts import make_planner
from test_platform_rollouts import make_report
from test_platform_rollouts import make_rollout
from test_platform_rollouts import SERVICE

from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import store as store_lib

INSTANCES = (("n1", "desk"), ("n2", "desk"), ("n3", "desk", "v2"))
STATES = rollout_lib.RolloutState


def order(world, version, duration_s=2):
    world.store.put(
        "rollouts",
        "desk",
        {
            "service": "desk",
            "target_version": version,
            "duration_s": duration_s,
        },
    )


def read_state(world):
    status = world.store.read_status("rollouts", "desk")
    return status and (status["target_version"], status["state"])


def find_states(world):
    """Returns the rollout that each node knows, as (target, state)."""
    rollouts = [
        instance.node._planner.find_rollout(SERVICE)
        for instance in world.instances
    ]
    return [
        rollout and (rollout.target, rollout.state.value)
        for rollout in rollouts
    ]


def test_rollout_ordered_after_a_restore_reaches_all_nodes():
    """Guards against nodes that take new revisions for old ones."""

    async def scenario():
        async with platform_world.run(*INSTANCES) as world:
            copy = world.store.copy()
            for version in range(8, 40):
                world.store.put(
                    "config", "main", platform_world.make_config(version)
                )
            order(world, "v2")
            await platform_world.wait_for(
                lambda: read_state(world) == ("v2", "completed")
            )
            world.store.restore(copy)
            world.store.put("config", "main", platform_world.make_config(39))
            new = await world.add("n4", "desk", "v3")
            new.backend_server.status = 500
            order(world, "v3", 4)
            stop = asyncio.Event()

            async def send_requests(instance):
                while not stop.is_set():
                    await instance.request()
                    await asyncio.sleep(0.003)

            tasks = [
                asyncio.create_task(send_requests(instance))
                for instance in world.instances
            ]
            await platform_world.wait_for(
                lambda: read_state(world) == ("v3", "rolled_back")
            )
            await platform_world.wait_for(
                lambda: find_states(world) == [("v3", "rolled_back")] * 4
            )
            stop.set()
            await asyncio.gather(*tasks)

    run_scenario(scenario)


@pytest.mark.parametrize("is_in_copy", [True, False])
def test_final_state_that_a_restore_lost_is_written_again(is_in_copy):
    """Guards against a rollout that starts again, or stays unfinished."""

    async def scenario():
        async with platform_world.run(*INSTANCES) as world:
            copy = world.store.copy()
            order(world, "v2")
            if is_in_copy:
                await platform_world.wait_for(
                    lambda: read_state(world) == ("v2", "running")
                )
                copy = world.store.copy()
            await platform_world.wait_for(
                lambda: read_state(world) == ("v2", "completed")
            )
            world.store.restore(copy)
            if not is_in_copy:
                order(world, "v2")
            for _ in range(10):
                shares = world.instances[0].node._planner.compute_shares(
                    SERVICE, ["v1", "v2"]
                )
                assert shares == {"v2": 1.0}
                await asyncio.sleep(0.02)
            await platform_world.wait_for(
                lambda: read_state(world) == ("v2", "completed"), 3.0
            )

    run_scenario(scenario)


def test_rollout_that_a_restored_store_lacks_is_not_written_all_the_time():
    """Guards against a call to the store in every period of the task."""

    async def scenario():
        async with platform_world.run(*INSTANCES) as world:
            copy = world.store.copy()
            order(world, "v2", 60)
            await platform_world.wait_for(
                lambda: read_state(world) == ("v2", "running")
            )
            for instance in world.instances:
                (tracked,) = instance.node._planner._rollouts.values()
                tracked.bad = "slow"
            world.store.restore(copy)
            await asyncio.sleep(0.5)
            before = world.store.calls["PUT"]
            await asyncio.sleep(2.0)
            assert world.store.calls["PUT"] - before <= 5

    run_scenario(scenario)


def test_node_records_that_a_restore_lost_are_written_again():
    """Guards against nodes that nobody who starts later can find."""

    async def scenario():
        async with platform_world.run(INSTANCES[0]) as world:
            copy = world.store.copy()
            for instance in INSTANCES[1:]:
                await world.add(*instance)
            await world.wait_ready()
            kind = world.instances[0].node._platform.kinds.nodes

            def list_records():
                return {
                    name for found, name in world.store.objects if found == kind
                }

            before = list_records()
            assert len(before) == 3
            world.store.restore(copy)
            assert len(list_records()) == 1
            await platform_world.wait_for(lambda: list_records() == before)

    run_scenario(scenario)


def test_watch_does_not_continue_in_a_later_era():
    """Guards against changes missed once their revisions are given out again."""

    async def scenario():
        store = standins.PlatformStore(platform_world.allocate_address())
        await store.start()
        client = platform_world.program.Platform().connect_store(store.address)
        copy = store.copy()
        store.put("k", "a", 1)
        listing = await client.list("k")
        assert listing.revision == revisions.Revision(store.era, store.revision)
        store.restore(copy)
        store.oldest_revision -= 1
        for value in range(3):
            store.put("k", "a", value)
        with pytest.raises(store_lib.HistoryDiscardedError):
            await client.watch("k", listing.revision, 1.0)
        store.stop()

    run_scenario(scenario)


@pytest.mark.parametrize("state", [STATES.ORDERED, STATES.RUNNING])
def test_bad_version_stays_bad_after_a_restore(state):
    """Guards against traffic to a version whose verdict the store has lost."""
    planner = make_planner(("v1", 300, 0, 30000), ("v2", 30, 0, 3000))
    planner.update_rollout(make_report(make_rollout(revision=50)))
    planner.update_rollout(
        make_report(make_rollout(STATES.ROLLED_BACK, revision=60))
    )
    restored = make_rollout(state, revision=20, era=2)
    assert planner.update_rollout(make_report(restored))
    assert planner.compute_shares(SERVICE, ["v1", "v2"]) == {
        "v1": 1.0,
        "v2": 0.0,
    }
    (report,) = planner.list_rollouts()
    assert report.decided is STATES.ROLLED_BACK
    # A node that starts now learns it too.
    later = make_planner(("v1", 300, 0, 30000), ("v2", 30, 0, 3000))
    later.update_rollout(rollout_lib.decode(rollout_lib.encode(report)))
    assert later.compute_shares(SERVICE, ["v1", "v2"])["v2"] == 0.0
    # The same version, ordered once more after the state was written again.
    planner.update_rollout(
        make_report(make_rollout(STATES.ROLLED_BACK, revision=21, era=2))
    )
    planner.update_rollout(make_report(make_rollout(revision=22, era=2)))
    assert planner.compute_shares(SERVICE, ["v1", "v2"])["v2"] > 0.0


def test_earlier_rollout_in_a_copy_does_not_replace_the_known_one():
    """Guards against traffic to an older version after a restore."""
    planner = make_planner()
    earlier = make_rollout(STATES.RUNNING, revision=6, target="v2")
    planner.update_rollout(make_report(earlier))
    known = make_rollout(revision=9, target="v3")
    planner.update_rollout(make_report(known))
    for state, revision in ((STATES.RUNNING, 6), (STATES.COMPLETED, 7)):
        restored = make_rollout(state, revision=revision, era=2)
        assert not planner.update_rollout(make_report(restored))
        assert planner.find_rollout(SERVICE) is known
    # Written again by the operator.
    again = dataclasses.replace(
        known,
        revision=revisions.Revision(2, 7),
        created_revision=revisions.Revision(2, 5),
    )
    assert planner.update_rollout(make_report(again))
    assert planner.update_rollout(
        make_report(make_rollout(revision=8, target="v4", era=2))
    )
    # A node that hasn't heard of the restore changes nothing.
    assert not planner.update_rollout(make_report(known))
