"""Advances moves and key ownership, at the holder of the controller lease."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools
import threading
import time
from typing import Final

from absl import logging

from lycheestair import acceptance
from lycheestair import base_shares
from lycheestair import candidates
from lycheestair import configuration as configuration_lib
from lycheestair import evidence
from lycheestair import evidence_exchange
from lycheestair import ids
from lycheestair import injection
from lycheestair import leases
from lycheestair import members as members_lib
from lycheestair import progress
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import slots as slots_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib

LEASE_NAME: Final = "controller"
MOVE_KIND: Final = "moves"
# Finished moves stay in the snapshot for operators' queries at every node;
# the store keeps them after that.
FINISHED_KEEP_S: Final = 3_600.0
# Window over which the load of a service is estimated.
LOAD_WINDOW_S: Final = 10.0
# A decision that is older when it comes to be written was made by a process
# that has been paused; its evidence is stale.
MAX_DECISION_AGE_S: Final = 2.0

PlanShards = Callable[
    [
        snapshot_lib.Snapshot,
        Mapping[ids.NodeId, members_lib.Member],
        settings_lib.Settings,
        float,
    ],
    list[resources.Shard],
]
Publish = Callable[[snapshot_lib.Snapshot], None]

_POINTS: Final = {
    resources.MoveState.DONE: injection.Point.MOVE_DONE,
    resources.MoveState.TAKEN_BACK: injection.Point.MOVE_TAKEN_BACK,
}


class LoadMeter:
    """Busy slots of services and their routes over the last seconds."""

    def __init__(self) -> None:
        self._parts: collections.deque[tuple[float, evidence.Rows]] = (
            collections.deque()
        )

    def add(self, parts: Iterable[evidence.Rows], now: float) -> None:
        """Adds the evidence of an interval that ends now."""
        self._parts.append((now, evidence.merge_rows(parts)))
        while self._parts[0][0] < now - LOAD_WINDOW_S:
            self._parts.popleft()

    def read(self, move: resources.Move) -> float:
        """Returns the mean busy slots, 0 while there is too little to say."""
        span_s = self._parts[-1][0] - self._parts[0][0] if self._parts else 0.0
        if span_s < LOAD_WINDOW_S / 2:
            return 0.0
        busy_ms = sum(
            counts.busy_ms
            for _, rows in itertools.islice(self._parts, 1, None)
            for target, counts in rows.items()
            if target.service == move.service
            and move.route in ("", target.route)
        )
        return busy_ms / 1000 / span_s


class Controller:
    """Controller of the fleet while it holds the lease."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        store: store_lib.Store,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members_lib.Membership,
        exchange: evidence_exchange.EvidenceExchange,
        publish: Publish,
        plan_shards: PlanShards | None = None,
        clock: Callable[[], float] = time.time,
    ):
        """Initializes the controller.

        Args:
          settings: Settings of the node.
          store: Store that holds the head and the lease.
          configuration: Snapshot in force at the node.
          membership: View of the fleet.
          exchange: Collects the evidence of all failure domains.
          publish: Called with each generation that was accepted here.
          plan_shards: Returns the key shards that have to change.
          clock: Unix time in seconds.
        """
        self._settings = settings
        self._store = store
        self._configuration = configuration
        self._membership = membership
        self._exchange = exchange
        self._publish = publish
        self._plan_shards = plan_shards
        self._clock = clock
        self._lease = leases.Lease(
            LEASE_NAME, settings.node.node_id, store, settings.store
        )
        self._known = snapshot_lib.EMPTY
        self._progress: dict[ids.MoveId, progress.Progress] = {}
        self._recorded: set[ids.MoveId] = set()
        self._load = LoadMeter()
        self._stop = threading.Event()
        self._threads = (
            threading.Thread(
                target=leases.keep_lease,
                args=(
                    self._lease,
                    settings.store.lease_ms / 1000,
                    self._stop,
                    lambda: candidates.is_candidate(membership),
                ),
                name="controller-lease",
                daemon=True,
            ),
            threading.Thread(target=self._run, name="controller", daemon=True),
        )

    @property
    def leads(self) -> bool:
        """Whether the node holds the controller lease."""
        return self._lease.held

    def start(self) -> None:
        """Starts to compete for the lease and to advance moves."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops and gives the lease up."""
        self._stop.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join(timeout=2.0)
        try:
            self._lease.release()
        except store_lib.StoreUnavailableError as error:
            logging.warning("controller lease not released: %s", error)

    def _run(self) -> None:
        period_s = self._settings.moves.tick_ms / 1000
        while not self._stop.wait(period_s):
            if not self._lease.held:
                # Another node decides; what was learned so far is outdated
                # by the time the lease comes back.
                self._progress.clear()
                continue
            try:
                self.tick()
            except store_lib.StoreUnavailableError as error:
                logging.warning("moves wait for the store: %s", error)
            except Exception:  # The controller must outlive any single tick.
                logging.exception("controller tick failed")

    def tick(self) -> bool:
        """Decides all moves and shards once.

        Returns:
          Whether a generation was accepted.

        Raises:
          StoreUnavailableError: No answer; a write may have taken effect and
            is found by the next tick.
          HeadUnreadableError: The stored configuration can't be decoded.
        """
        started_at = time.monotonic()
        head = acceptance.read_head(self._store)
        newest = max(
            self._known,
            self._configuration.current,
            key=lambda snapshot: snapshot.generation,
        )
        old = acceptance.read_snapshot(self._store, head, newest)
        if old.generation > head.generation:
            # A stale read: a write based on it could only fail.
            return False
        self._known = old
        if old.generation > self._configuration.current.generation:
            # Accepted by a write of which the answer was lost, or by a note.
            self._publish(old)
        self._record_finished(old)
        now = self._clock()
        upserts = self._decide_all(old, now)
        removals = self._list_removals(old, now)
        if not upserts and not removals:
            return False
        new = snapshot_lib.replace_resources(old, upserts, removals)
        if time.monotonic() - started_at > MAX_DECISION_AGE_S:
            logging.warning("decision dropped: the process was paused")
            return False
        if not acceptance.try_advance(self._store, head, old, new):
            logging.info("generation %d was overtaken", new.generation)
            return False
        self._known = new
        self._publish(new)
        self._record_finished(new)
        return True

    def _decide_all(
        self, old: snapshot_lib.Snapshot, now: float
    ) -> tuple[resources.Resource, ...]:
        members = self._membership.read_members()
        changed = list(self._decide_moves(old, members, now))
        working = dict(old.resources)
        for move in changed:
            working[move.key] = move
            working.update(
                (resource.key, resource)
                for resource in base_shares.apply_ended_move(working, move)
            )
        if self._plan_shards is not None:
            working.update(
                (shard.key, shard)
                for shard in self._plan_shards(
                    old, members, self._settings, now
                )
            )
        return tuple(
            resource
            for key, resource in working.items()
            if old.resources.get(key) != resource
        )

    def _decide_moves(
        self,
        old: snapshot_lib.Snapshot,
        members: Mapping[ids.NodeId, members_lib.Member],
        now: float,
    ) -> Iterator[resources.Move]:
        running = [
            move
            for move in old.select(resources.Move)
            if move.state in resources.RUNNING_MOVE_STATES
        ]
        self._progress = {
            move.id: self._progress.get(move.id)
            or progress.Progress(move, self._settings, now)
            for move in running
        }
        if not running:
            return
        collected = self._exchange.collect(
            frozenset(move.service for move in running)
        )
        parts = [part.rows for part in collected]
        self._load.add(parts, now)
        for move in running:
            situation = self._describe(old, move, members, collected, now)
            follower = self._progress[move.id]
            follower.detector.separate_routes = slots_lib.list_separate_routes(
                old, move.service
            )
            follower.observe(parts, situation.new.cold, now)
            decided = follower.decide(move, situation)
            injection.reach(injection.Point.MOVE_JUDGED)
            if decided == move:
                continue
            _reach_point(move, decided)
            yield decided

    def _describe(
        self,
        old: snapshot_lib.Snapshot,
        move: resources.Move,
        members: Mapping[ids.NodeId, members_lib.Member],
        collected: Iterable[evidence_exchange.DomainEvidence],
        now: float,
    ) -> progress.Situation:
        ramp_s = self._settings.requests.ramp_s
        old_slots, new_slots = (
            slots_lib.count_slots(members, move.service, version, now, ramp_s)
            for version in (move.from_version, move.to_version)
        )
        service = old.service(move.service)
        return progress.Situation(
            now=now,
            old=old_slots,
            new=new_slots,
            busy_slots=self._load.read(move),
            stale=tuple(
                f"{part.domain} not heard for {part.age_s:.0f} s"
                for part in collected
                if part.age_s > evidence_exchange.STALE_AFTER_S
            ),
            caps=tuple(
                cap
                for part in collected
                for cap in part.caps
                if cap.move_id == move.id
            ),
            barred=service is not None
            and any(
                version.name == move.to_version
                and version.state is resources.VersionState.BARRED
                for version in service.versions
            ),
        )

    def _record_finished(self, snapshot: snapshot_lib.Snapshot) -> None:
        for move in snapshot.select(resources.Move):
            if (
                move.state in resources.RUNNING_MOVE_STATES
                or move.id in self._recorded
            ):
                continue
            # A conflict means that an earlier controller recorded it.
            self._store.put(MOVE_KIND, move.id, dataclasses.asdict(move), 0)
            self._recorded.add(move.id)

    def _list_removals(
        self, old: snapshot_lib.Snapshot, now: float
    ) -> tuple[str, ...]:
        return tuple(
            move.key
            for move in old.select(resources.Move)
            if move.id in self._recorded
            and move.state not in resources.RUNNING_MOVE_STATES
            and now - move.changed_at > FINISHED_KEEP_S
        )


def _reach_point(before: resources.Move, after: resources.Move) -> None:
    if before.state is resources.MoveState.PENDING:
        injection.reach(injection.Point.MOVE_PLANNED)
    if before.share_bps != after.share_bps:
        injection.reach(injection.Point.MOVE_STEPPED)
    point = _POINTS.get(after.state)
    if point is not None:
        injection.reach(point)
