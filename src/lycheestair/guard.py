"""Caps the share of a bad version without waiting for store or controller.

Each node tests the new versions of running moves on its local evidence. It
applies a cap at once and notifies peers. The controller collects caps together
with the evidence.
"""

import collections
from collections.abc import Iterable
import dataclasses
import random
import threading
import time
from typing import Final

from absl import logging
import grpc

from lycheestair import aggregation
from lycheestair import caps as caps_lib
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import evidence
from lycheestair import evidence_exchange
from lycheestair import evidence_pb2
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import progress
from lycheestair import regression
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import slots as slots_lib
from lycheestair import snapshot as snapshot_lib

NOTIFY_TIMEOUT_S: Final = 1.0
# Time for which a cap is kept if its move is not in the local snapshot. Either
# the snapshot is older than the move, or the move finished long ago.
UNKNOWN_MOVE_RETENTION_S: Final = 30.0
# Maximum number of notices in flight. They are referenced because gRPC cancels
# a call when its object is garbage collected.
MAX_PENDING_NOTICES: Final = 256


class MoveMonitor:
    """Regression detectors of one running move at one node.

    One uses the evidence of the node, the other that of its failure domain,
    which only the aggregator has.
    """

    def __init__(
        self,
        move: resources.Move,
        nodes: int,
        domains: int,
        now: float,
        cursors: tuple[int, int],
    ):
        """Initializes the detectors.

        Args:
          move: The move.
          nodes: Number of nodes that test the move on their own evidence.
          domains: Number of failure domains that test it on theirs.
          now: Unix time in seconds.
          cursors: Sequence numbers of the last interval before the move, in the
            logs of the node and of its failure domain.
        """
        scope = (move.service, move.from_version, move.to_version, move.route)
        self._detectors = (
            regression.RegressionDetector(*scope, detector_count=1 + nodes),
            regression.RegressionDetector(*scope, detector_count=1 + domains),
        )
        self._cursors = list(cursors)
        self._cold_start_budget = slots_lib.ColdStartBudget(now)
        self._review = move.review

    def observe(
        self,
        logs: tuple[evidence.EvidenceLog, evidence.EvidenceLog],
        cold: bool,
        now: float,
        separate_routes: frozenset[ids.RouteName] = frozenset(),
    ) -> None:
        """Adds the intervals since the last call.

        Args:
          logs: Logs of the node and of its failure domain.
          cold: Whether some backend servers of the new version are cold.
          now: Unix time in seconds.
          separate_routes: Routes with their own shares.
        """
        exclude_latency = self._cold_start_budget.should_ignore_latency(
            cold, now
        )
        for detector in self._detectors:
            detector.separate_routes = separate_routes
        for index, log in enumerate(logs):
            for interval in log.read_after(self._cursors[index]):
                self._detectors[index].observe(
                    interval.rows, now, include_latency=not exclude_latency
                )
                self._cursors[index] = interval.sequence

    def compute_cap(self, move: resources.Move) -> tuple[int, str] | None:
        """Returns the required cap in basis points and its reason, if any."""
        if move.review != self._review:
            self._review = move.review
            for detector in self._detectors:
                detector.reset_suspicion()
        findings = [detector.evaluate() for detector in self._detectors]
        for verdict, cap_bps in (
            (regression.Verdict.BAD, 0),
            (regression.Verdict.SUSPECTED, progress.COMPARISON_SHARE_BPS),
        ):
            for finding in findings:
                if finding.verdict is verdict:
                    return cap_bps, finding.reason
        return None


@dataclasses.dataclass(frozen=True)
class _ActiveCap:
    """An active cap and the monotonic time in seconds at which it was added."""

    cap: caps_lib.Cap
    added_at: float


class Guard:
    """Holds the active caps and adds those required by local evidence.

    Implements observations.ShareCaps.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        table: evidence.EvidenceTable,
        exchange: evidence_exchange.EvidenceExchange,
        channels: control.PeerChannels,
        membership: members_lib.Membership,
        configuration: configuration_lib.ActiveConfiguration,
    ):
        self._settings = settings
        self._table = table
        self._exchange = exchange
        self._channels = channels
        self._membership = membership
        self._configuration = configuration
        self._lock = threading.Lock()
        self._active_caps: dict[evidence.ServiceVersion, _ActiveCap] = {}
        # Read by the request path without the lock, so it is never modified but
        # replaced as a whole.
        self._caps_bps: dict[evidence.ServiceVersion, int] = {}
        self._monitor_by_move: dict[ids.MoveId, MoveMonitor] = {}
        self._pending_notices: collections.deque[
            grpc.Future[evidence_pb2.NotifyResponse]
        ] = collections.deque(maxlen=MAX_PENDING_NOTICES)
        self._stop = threading.Event()
        self._tick_requested = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="guard", daemon=True
        )
        exchange.set_guard_callbacks(
            self.add_cap, self.list_caps, self._tick_requested.set
        )

    def start(self) -> None:
        """Starts to test running moves."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the tests. Caps stay active."""
        self._stop.set()
        self._tick_requested.set()
        if self._thread.is_alive():
            self._thread.join(timeout=2.0)

    def read_cap_bps(
        self, service: ids.ServiceName, version: ids.VersionName
    ) -> int | None:
        """Implements ShareCaps.read_cap_bps."""
        return self._caps_bps.get((service, version))

    def list_caps(self) -> tuple[caps_lib.Cap, ...]:
        """Returns the active caps."""
        with self._lock:
            return tuple(active.cap for active in self._active_caps.values())

    def add_cap(self, cap: caps_lib.Cap) -> None:
        """Adds a cap unless the local snapshot has superseded it.

        A cap is also ignored if it does not replace the version's active cap.
        An added cap is sent to randomly chosen peers.
        """
        snapshot = self._configuration.current
        known = snapshot.move(cap.move_id) is not None
        if known and caps_lib.is_superseded(cap, snapshot):
            return
        service_version = (cap.service, cap.version)
        with self._lock:
            active = self._active_caps.get(service_version)
            if active is not None and not _should_replace(cap, active.cap):
                return
            self._active_caps[service_version] = _ActiveCap(
                cap, time.monotonic()
            )
            self._rebuild_caps_bps()
        logging.warning(
            "share of %s/%s capped at %d bps by node %s: %s",
            cap.service,
            cap.version,
            cap.cap_bps,
            cap.origin,
            cap.reason,
        )
        self._notify(cap)

    def _rebuild_caps_bps(self) -> None:
        self._caps_bps = {
            service_version: active.cap.cap_bps
            for service_version, active in self._active_caps.items()
        }

    def _run(self) -> None:
        period_s = self._settings.moves.tick_ms / 1000
        while not self._stop.is_set():
            self._tick_requested.wait(period_s)
            self._tick_requested.clear()
            try:
                self.tick(time.time())
            except Exception:  # Continue after a failed tick.
                logging.exception("guard tick failed")

    def tick(self, now: float) -> None:
        """Tests the running moves on the intervals since the last tick.

        Args:
          now: Unix time in seconds.
        """
        snapshot = self._configuration.current
        self._remove_ended_caps(snapshot)
        running = [
            move
            for move in snapshot.select(resources.Move)
            if move.state in resources.RUNNING_MOVE_STATES
        ]
        self._exchange.set_reported_services(
            frozenset(move.service for move in running),
            frozenset((move.service, move.to_version) for move in running),
        )
        self._update_monitors(running, now)
        members = self._membership.read_members()
        ramp_s = self._settings.requests.ramp_s
        for move in running:
            monitor = self._monitor_by_move[move.id]
            old, new = (
                slots_lib.count_slots(
                    members, move.service, version, now, ramp_s
                )
                for version in (move.from_version, move.to_version)
            )
            monitor.observe(
                (self._table.log, self._exchange.domain_aggregator.log),
                new.cold,
                now,
                slots_lib.list_routes_with_own_shares(snapshot, move.service),
            )
            required_cap = monitor.compute_cap(move)
            # Without backend servers of the old version, a cap would leave no
            # version to serve the calls.
            if required_cap is not None and old.serving > 0:
                self._set_cap(move, *required_cap)

    def _update_monitors(
        self, running: Iterable[resources.Move], now: float
    ) -> None:
        nodes = len(self._membership.read_members())
        domains = len(self._settings.topology)
        cursors = (
            _read_last_sequence(self._table.log),
            _read_last_sequence(self._exchange.domain_aggregator.log),
        )
        self._monitor_by_move = {
            move.id: self._monitor_by_move.get(move.id)
            or MoveMonitor(move, nodes, domains, now, cursors)
            for move in running
        }

    def _set_cap(self, move: resources.Move, cap_bps: int, reason: str) -> None:
        self.add_cap(
            caps_lib.Cap(
                move.id,
                move.service,
                move.to_version,
                cap_bps,
                move.review,
                self._settings.node.node_id,
                reason,
            )
        )

    def _remove_ended_caps(self, snapshot: snapshot_lib.Snapshot) -> None:
        now = time.monotonic()
        with self._lock:
            self._active_caps = {
                service_version: active
                for service_version, active in self._active_caps.items()
                if not _has_ended(active, snapshot, now)
            }
            self._rebuild_caps_bps()

    def _notify(self, cap: caps_lib.Cap) -> None:
        own = self._membership.read_self()
        alive = [
            member
            for member in aggregation.list_alive_members(
                self._membership.read_members()
            )
            if member.node_id != own.node_id
        ]
        same_domain = [
            m for m in alive if m.failure_domain == own.failure_domain
        ]
        other_domains = [
            m for m in alive if m.failure_domain != own.failure_domain
        ]
        fan_out = self._settings.distribution.fan_out
        message = caps_lib.encode_cap(cap)
        for group in (same_domain, other_domains):
            for peer in random.sample(group, min(fan_out, len(group))):
                stub = evidence_exchange.connect_evidence(
                    self._channels, peer.control
                )
                self._pending_notices.append(
                    stub.Notify.future(message, timeout=NOTIFY_TIMEOUT_S)
                )


def _should_replace(cap: caps_lib.Cap, active: caps_lib.Cap) -> bool:
    if cap.move_id != active.move_id:
        return cap.cap_bps < active.cap_bps
    return cap.review > active.review or cap.cap_bps < active.cap_bps


def _has_ended(
    active: _ActiveCap, snapshot: snapshot_lib.Snapshot, now: float
) -> bool:
    if snapshot.move(active.cap.move_id) is None:
        return now - active.added_at > UNKNOWN_MOVE_RETENTION_S
    return caps_lib.is_superseded(active.cap, snapshot)


def _read_last_sequence(log: evidence.EvidenceLog) -> int:
    intervals = log.read_after(0)
    return intervals[-1].sequence if intervals else 0
