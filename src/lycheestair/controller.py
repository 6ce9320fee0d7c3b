"""Controller of moves and key ownership, run by one node under a lease."""

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
from lycheestair import aggregation
from lycheestair import base_shares
from lycheestair import configuration as configuration_lib
from lycheestair import evidence
from lycheestair import evidence_exchange
from lycheestair import ids
from lycheestair import injection
from lycheestair import lease_candidates
from lycheestair import leases
from lycheestair import members as members_lib
from lycheestair import progress
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import slots as slots_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib

LEASE_NAME: Final = "controller"
FINISHED_MOVE_KIND: Final = "moves"
# Time for which finished moves stay in the snapshot, where operators can query
# them at every node. After that they are only in the store.
FINISHED_RETENTION_S: Final = 3_600.0
# Window over which the load of a service is averaged.
LOAD_WINDOW_S: Final = 10.0
# Maximum age of a decision when it is written. If it is older, the process has
# been paused and the evidence is stale.
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

_FINAL_STATE_INJECTION_POINTS: Final = {
    resources.MoveState.DONE: injection.Point.MOVE_DONE,
    resources.MoveState.TAKEN_BACK: injection.Point.MOVE_TAKEN_BACK,
}


class LoadEstimator:
    """Estimates the slots in use by a service or one of its routes."""

    def __init__(self) -> None:
        self._intervals: collections.deque[tuple[float, evidence.Rows]] = (
            collections.deque()
        )

    def add(self, parts: Iterable[evidence.Rows], now: float) -> None:
        """Adds the counts of an interval that ends now, by failure domain."""
        self._intervals.append((now, evidence.merge_rows(parts)))
        while self._intervals[0][0] < now - LOAD_WINDOW_S:
            self._intervals.popleft()

    def estimate(self, move: resources.Move) -> float:
        """Returns the mean number of slots in use by the traffic of a move.

        0 until the intervals span half of LOAD_WINDOW_S.
        """
        span_s = (
            self._intervals[-1][0] - self._intervals[0][0]
            if self._intervals
            else 0.0
        )
        if span_s < LOAD_WINDOW_S / 2:
            return 0.0
        total_latency_ms = sum(
            counts.total_latency_ms
            for _, rows in itertools.islice(self._intervals, 1, None)
            for target, counts in rows.items()
            if target.service == move.service
            and move.route in ("", target.route)
        )
        return total_latency_ms / 1000 / span_s


class Controller:
    """Controller of the fleet. Active while the node holds the lease."""

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
          configuration: Configuration that is active at the node.
          membership: View of the fleet.
          exchange: Collects the evidence of all failure domains.
          publish: Called with each generation accepted by this controller, or
            found to be newer than the active one.
          plan_shards: Returns the key shards to change.
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
        self._newest_seen = snapshot_lib.EMPTY
        self._tracker_by_move: dict[ids.MoveId, progress.MoveTracker] = {}
        self._recorded_moves: set[ids.MoveId] = set()
        self._load = LoadEstimator()
        self._stop = threading.Event()
        self._threads = (
            threading.Thread(
                target=leases.maintain_lease,
                args=(
                    self._lease,
                    settings.store.lease_ms / 1000,
                    self._stop,
                    lambda: lease_candidates.is_lease_candidate(membership),
                ),
                name="controller-lease",
                daemon=True,
            ),
            threading.Thread(target=self._run, name="controller", daemon=True),
        )

    @property
    def holds_lease(self) -> bool:
        """Whether the node holds the controller lease."""
        return self._lease.held

    def start(self) -> None:
        """Starts to compete for the lease, and to advance moves under it."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops and releases the lease."""
        self._stop.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join(timeout=2.0)
        try:
            self._lease.release()
        except store_lib.StoreUnavailableError as error:
            logging.warning("cannot release the controller lease: %s", error)

    def _run(self) -> None:
        period_s = self._settings.moves.tick_ms / 1000
        while not self._stop.wait(period_s):
            if not self._lease.held:
                # Another node is the controller. The state of the moves will
                # be outdated when the lease is acquired again.
                self._tracker_by_move.clear()
                continue
            try:
                self.tick()
            except store_lib.StoreUnavailableError as error:
                logging.warning(
                    "cannot advance moves, the store is unavailable: %s", error
                )
            except Exception:  # Continue after a failed tick.
                logging.exception("controller tick failed")

    def tick(self) -> bool:
        """Decides on all moves and shards once.

        Returns:
          Whether a new generation was accepted.

        Raises:
          StoreUnavailableError: The store did not respond. A write may still
            have taken effect; the next tick detects that.
          StoredConfigurationError: The stored configuration cannot be decoded.
        """
        started_at = time.monotonic()
        head = acceptance.read_head(self._store)
        newest = max(
            self._newest_seen,
            self._configuration.current,
            key=lambda snapshot: snapshot.generation,
        )
        stored = acceptance.read_snapshot(self._store, head, newest)
        if stored.generation > head.generation:
            # The read was stale, a write based on it would fail.
            return False
        self._newest_seen = stored
        if stored.generation > self._configuration.current.generation:
            # A note was accepted, or the response to a write was lost.
            self._publish(stored)
        self._record_finished_moves(stored)
        now = self._clock()
        upserts = self._decide_all(stored, now)
        removals = self._list_expired_moves(stored, now)
        if not upserts and not removals:
            return False
        new = snapshot_lib.replace_resources(stored, upserts, removals)
        if time.monotonic() - started_at > MAX_DECISION_AGE_S:
            logging.warning(
                "discarded an outdated decision, the process was paused"
            )
            return False
        if not acceptance.compare_and_set_head(self._store, head, stored, new):
            logging.info(
                "generation %d lost against a concurrent write", new.generation
            )
            return False
        self._newest_seen = new
        self._publish(new)
        self._record_finished_moves(new)
        return True

    def _decide_all(
        self, current: snapshot_lib.Snapshot, now: float
    ) -> tuple[resources.Resource, ...]:
        members = self._membership.read_members()
        changed = list(self._decide_moves(current, members, now))
        updated = dict(current.resources)
        for move in changed:
            updated[move.key] = move
            updated.update(
                (resource.key, resource)
                for resource in base_shares.apply_ended_move(updated, move)
            )
        if self._plan_shards is not None:
            updated.update(
                (shard.key, shard)
                for shard in self._plan_shards(
                    current, members, self._settings, now
                )
            )
        return tuple(
            resource
            for key, resource in updated.items()
            if current.resources.get(key) != resource
        )

    def _decide_moves(
        self,
        current: snapshot_lib.Snapshot,
        members: Mapping[ids.NodeId, members_lib.Member],
        now: float,
    ) -> Iterator[resources.Move]:
        running = [
            move
            for move in current.select(resources.Move)
            if move.state in resources.RUNNING_MOVE_STATES
        ]
        self._tracker_by_move = {
            move.id: self._tracker_by_move.get(move.id)
            or progress.MoveTracker(move, self._settings, now)
            for move in running
        }
        if not running:
            return
        collected = self._exchange.collect(
            frozenset(move.service for move in running)
        )
        domain_rows = [report.rows for report in collected]
        self._load.add(domain_rows, now)
        for move in running:
            inputs = self._build_decision_inputs(
                current, move, members, collected, now
            )
            tracker = self._tracker_by_move[move.id]
            tracker.detector.separate_routes = (
                slots_lib.list_routes_with_own_shares(current, move.service)
            )
            tracker.observe(domain_rows, inputs.new_slots.cold, now)
            decided = tracker.decide(move, inputs)
            injection.reach(injection.Point.MOVE_JUDGED)
            if decided == move:
                continue
            _reach_injection_points(move, decided)
            yield decided

    def _build_decision_inputs(
        self,
        current: snapshot_lib.Snapshot,
        move: resources.Move,
        members: Mapping[ids.NodeId, members_lib.Member],
        collected: Iterable[evidence_exchange.DomainEvidence],
        now: float,
    ) -> progress.DecisionInputs:
        ramp_s = self._settings.requests.ramp_s
        old_slots, new_slots = (
            slots_lib.count_slots(members, move.service, version, now, ramp_s)
            for version in (move.from_version, move.to_version)
        )
        service = current.service(move.service)
        return progress.DecisionInputs(
            now=now,
            old_slots=old_slots,
            new_slots=new_slots,
            busy_slots=self._load.estimate(move),
            stale=tuple(
                f"{report.domain} not heard for {report.age_s:.0f} s"
                for report in collected
                if report.age_s > evidence_exchange.STALE_AFTER_S
            ),
            caps=tuple(
                cap
                for report in collected
                for cap in report.caps
                if cap.move_id == move.id
            ),
            barred=service is not None
            and any(
                version.name == move.to_version
                and version.state is resources.VersionState.BARRED
                for version in service.versions
            ),
            nodes=tuple(
                member.node_id
                for member in aggregation.list_alive_members(members)
            ),
        )

    def _record_finished_moves(self, snapshot: snapshot_lib.Snapshot) -> None:
        for move in snapshot.select(resources.Move):
            if (
                move.state in resources.RUNNING_MOVE_STATES
                or move.id in self._recorded_moves
            ):
                continue
            # A conflict means that an earlier controller has recorded it.
            self._store.put(
                FINISHED_MOVE_KIND, move.id, dataclasses.asdict(move), 0
            )
            self._recorded_moves.add(move.id)

    def _list_expired_moves(
        self, current: snapshot_lib.Snapshot, now: float
    ) -> tuple[str, ...]:
        return tuple(
            move.key
            for move in current.select(resources.Move)
            if move.id in self._recorded_moves
            and move.state not in resources.RUNNING_MOVE_STATES
            and now - move.changed_at > FINISHED_RETENTION_S
        )


def _reach_injection_points(
    before: resources.Move, after: resources.Move
) -> None:
    if before.state is resources.MoveState.PENDING:
        injection.reach(injection.Point.MOVE_PLANNED)
    if before.share_bps != after.share_bps:
        injection.reach(injection.Point.MOVE_STEPPED)
    point = _FINAL_STATE_INJECTION_POINTS.get(after.state)
    if point is not None:
        injection.reach(point)
