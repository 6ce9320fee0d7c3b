"""A configuration arrives in time when the store turns most nodes away."""

import asyncio
import random
import time

import platform_world
import pytest

from lycheestair.sidecar import event_log
from lycheestair.sidecar import store_search

# Time within which a configuration that the store has accepted is in force.
APPLY_S = 2.5
# In the order in which they are feeders.
NAMES = [f"n{number:02d}" for number in range(12)]
ROUTES = [("added", "/added/", "safe", [("desk", 1)])]


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def add_instance(world, name, zone):
    """Adds an instance that the store can turn away."""
    instance = platform_world.Instance(world, name, "desk", "v1", zone)
    instance.store_address = platform_world.allocate_address()
    instance.gate = await world.store.open_gate(instance.store_address)
    world.instances.append(instance)
    await instance.start()
    return instance


async def run_world(test, names=NAMES):
    async with platform_world.run() as world:
        for number, name in enumerate(names):
            await add_instance(world, name, "ab"[number % 2] + "1")
        await world.wait_ready()
        # All feeders wait for changes.
        await asyncio.sleep(1.5)
        await test(world)


async def change_configuration(world, generation):
    """Adds a route; returns the longest time in seconds until it is in force."""
    world.store.put(
        "config", "main", platform_world.make_config(generation, ROUTES)
    )
    changed_at = time.monotonic()
    await platform_world.wait_for(
        lambda: all(
            instance.node._gossip.catalog.generation == generation
            for instance in world.instances
        ),
        12,
    )
    return time.monotonic() - changed_at


@pytest.mark.parametrize("how", ["silent", "busy", "many", "reset"])
@pytest.mark.parametrize("reaching", ["n11", "n05", "n00"])
def test_configuration_arrives_when_the_store_serves_one_node(how, reaching):
    """Guards against asking the nodes for the store one after the other."""

    async def test(world):
        for instance in world.instances:
            if instance.name != reaching:
                instance.gate.how = how
        assert await change_configuration(world, 8) < APPLY_S
        # The next one is found by a watch.
        await asyncio.sleep(1.0)
        assert await change_configuration(world, 9) < APPLY_S

    run_scenario(lambda: run_world(test))


@pytest.mark.parametrize("how", ["silent", "busy"])
@pytest.mark.parametrize("gap_s", [0.4, 0.9, 1.4, 1.9])
def test_configuration_arrives_when_other_nodes_are_served_soon_after(
    how, gap_s
):
    """Guards against a second loss that begins no search."""

    async def test(world):
        for reaching in ("n05", "n11", "n08"):
            for instance in world.instances:
                is_served = instance.name == reaching
                instance.gate.how = None if is_served else how
            await asyncio.sleep(gap_s)
        assert await change_configuration(world, 8) < APPLY_S

    run_scenario(lambda: run_world(test))


def test_configuration_arrives_when_the_feeders_end_as_well():
    """Guards against a next feeder that waits before it tries the store."""

    async def test(world):
        for instance in world.instances[3:-1]:
            instance.gate.how = "busy"
        await asyncio.sleep(1.5)
        for instance in world.instances[:3]:
            instance.node.stop()
        del world.instances[:3]
        assert await change_configuration(world, 8) < APPLY_S

    run_scenario(lambda: run_world(test))


def test_configuration_arrives_after_the_store_turned_all_nodes_away():
    """Guards against nodes that stay turned away in the view of the others."""

    async def test(world):
        for instance in world.instances:
            instance.gate.how = "busy"
        await asyncio.sleep(3.0)
        calls = sum(instance.gate.calls for instance in world.instances)
        await asyncio.sleep(4.0)
        later_calls = sum(instance.gate.calls for instance in world.instances)
        # At most 3 nodes a second, and two rounds of the search.
        assert later_calls - calls < 4 * 2 * 3 + 2 * len(world.instances)
        for instance in world.instances:
            instance.gate.how = None
        assert await change_configuration(world, 8) < APPLY_S

    run_scenario(lambda: run_world(test))


def test_one_feeder_without_the_store_changes_no_other_feeder(monkeypatch):
    """Guards against a search that replaces feeders that are served."""
    released = []
    write = event_log.EventLog.write

    def record(log, message, **fields):
        if message == "feeder role released":
            released.append(log._node_id)
        write(log, message, **fields)

    async def test(world):
        feeders = [
            instance
            for instance in world.instances
            if instance.node._feeder._active
        ]
        assert len(feeders) == 3
        monkeypatch.setattr(event_log.EventLog, "write", record)
        feeders[1].gate.how = "busy"
        await asyncio.sleep(3.0)
        assert released == [feeders[1].name]
        active = sum(i.node._feeder._active for i in world.instances)
        assert active == 3

    run_scenario(lambda: run_world(test))


class PlayedSearch:
    """A search by many nodes of which the store serves a few, in virtual time.

    Attributes:
      calls: Times of the calls of all nodes.
    """

    def __init__(self, nodes, served, seed):
        generator = random.Random(seed)
        self._served = served
        self._searches = [
            store_search.StoreSearch(random.Random(generator.random()))
            for _ in range(nodes)
        ]
        self.calls = []
        for search in self._searches:
            search.request()
            assert search.begin_if_requested(0.0)

    def play(self, until_s):
        """Returns when a node was served, in seconds; None if none was."""
        for tick in range(int(until_s / 0.1)):
            now = tick * 0.1
            trying = [
                number
                for number, search in enumerate(self._searches)
                if search.should_try(now, len(self._searches))
            ]
            self.calls += [now] * len(trying)
            if any(number < self._served for number in trying):
                return now
        return None


@pytest.mark.parametrize("share", [0.5, 0.8, 0.9, 0.97])
@pytest.mark.parametrize("nodes", [12, 90, 19_000])
def test_search_finds_a_served_node_in_time_at_any_size(nodes, share):
    """Guards against a search whose time or calls grow with the fleet."""
    served = max(1, int(nodes * (1 - share)))
    plays = [PlayedSearch(nodes, served, seed) for seed in range(5)]
    times = [play.play(2.0) for play in plays]
    assert None not in times
    # A silent store is known 1.3 s after it fell silent.
    assert max(times) < APPLY_S - 1.3
    assert max(len(play.calls) for play in plays) <= 2 * 7 * 32


@pytest.mark.parametrize("nodes", [12, 19_000])
def test_search_costs_little_while_the_store_serves_nobody(nodes):
    """Guards against calls of all nodes to a store that is away."""
    play = PlayedSearch(nodes, 0, 1)
    assert play.play(60.0) is None
    late_calls = [at for at in play.calls if at > 5.0]
    assert len(play.calls) - len(late_calls) < 600
    assert len(late_calls) < 60 * 2 * 32 / store_search.LATE_ROUND_INTERVAL_S


def test_losses_shortly_after_each_other_begin_one_search_later():
    """Guards against a search for each feeder that loses the store, and for none."""
    search = store_search.StoreSearch(random.Random(1))
    assert not search.begin_if_requested(9.0)
    search.request()
    assert search.begin_if_requested(10.0)
    assert search.should_try(10.0, 12)
    search.end()
    for now in (10.1, 10.3, 10.6):
        search.request()
        assert not search.begin_if_requested(now)
        assert not search.should_try(now, 12)
    assert search.begin_if_requested(10.01 + store_search.MIN_INTERVAL_S)
    assert search.should_try(10.01 + store_search.MIN_INTERVAL_S, 12)
    search.end()
    assert not search.begin_if_requested(15.0)


def test_feeders_that_lose_the_store_all_the_time_cost_a_bounded_rate():
    """Guards against a search of 19,000 nodes for each loss."""
    nodes = 19_000
    searches = [
        store_search.StoreSearch(random.Random(number))
        for number in range(nodes)
    ]
    calls = 0
    duration_s = 10.0
    for tick in range(int(duration_s / 0.1)):
        now = tick * 0.1
        for search in searches:
            search.request()
            search.begin_if_requested(now)
            calls += search.should_try(now, nodes)
            search.end()
    # The first rounds of the searches; twice as many by chance.
    assert calls < 2 * 32 * duration_s / store_search.MIN_INTERVAL_S
