"""Lowers a bad version's share at once, without store or controller."""

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
# Time for which a cap is kept for a move that the own snapshot lacks: either
# the snapshot is older than the move, or the move is long finished.
UNKNOWN_MOVE_S: Final = 30.0
# Notices in flight, kept because a dropped call object is cancelled.
MAX_NOTICES: Final = 256


class GuardedMove:
    """Judges of one running move on the evidence of one node."""

    def __init__(
        self,
        move: resources.Move,
        nodes: int,
        domains: int,
        now: float,
        cursors: tuple[int, int],
    ):
        """Initializes the judges.

        Args:
          move: The move.
          nodes: Nodes that judge the move on their own evidence.
          domains: Failure domains that judge the move on theirs.
          now: Unix time in seconds.
          cursors: Last intervals before the move, own and failure domain's.
        """
        names = (move.service, move.from_version, move.to_version, move.route)
        self._judges = (
            regression.RegressionDetector(*names, detectors=1 + nodes),
            regression.RegressionDetector(*names, detectors=1 + domains),
        )
        self._cursors = list(cursors)
        self._cold = slots_lib.ColdBudget(now)
        self._review = move.review

    def observe(
        self,
        logs: tuple[evidence.EvidenceLog, evidence.EvidenceLog],
        cold: bool,
        now: float,
        separate: frozenset[ids.RouteName] = frozenset(),
    ) -> None:
        """Adds the intervals since the last call."""
        left_out = self._cold.spend(cold, now)
        for judge in self._judges:
            judge.separate_routes = separate
        for index, log in enumerate(logs):
            for interval in log.read_after(self._cursors[index]):
                self._judges[index].observe(
                    interval.rows, now, include_latency=not left_out
                )
                self._cursors[index] = interval.sequence

    def find_cap(self, move: resources.Move) -> tuple[int, str] | None:
        """Returns the cap the evidence asks for, and why."""
        if move.review != self._review:
            self._review = move.review
            for judge in self._judges:
                judge.reset_suspicion()
        findings = [judge.evaluate() for judge in self._judges]
        for verdict, cap_bps in (
            (regression.Verdict.BAD, 0),
            (regression.Verdict.SUSPECTED, progress.COMPARISON_SHARE_BPS),
        ):
            for finding in findings:
                if finding.verdict is verdict:
                    return cap_bps, finding.reason
        return None


@dataclasses.dataclass(frozen=True)
class _Held:
    """A cap in force, and when it was learned (monotonic, in seconds)."""

    cap: caps_lib.Cap
    learned_at: float


class Guard:
    """Implements observations.ShareCaps."""

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
        self._held: dict[evidence.ServiceVersion, _Held] = {}
        # Read by the request path without the lock; replaced as a whole.
        self._caps: dict[evidence.ServiceVersion, int] = {}
        self._guarded: dict[ids.MoveId, GuardedMove] = {}
        self._notices: collections.deque[
            grpc.Future[evidence_pb2.NotifyResponse]
        ] = collections.deque(maxlen=MAX_NOTICES)
        self._stop = threading.Event()
        self._hurry = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="guard", daemon=True
        )
        exchange.set_guard_callbacks(
            self.learn, self.list_caps, self._hurry.set
        )

    def start(self) -> None:
        """Starts to judge running moves."""
        self._thread.start()

    def stop(self) -> None:
        """Stops judging; caps stay in force."""
        self._stop.set()
        self._hurry.set()
        if self._thread.is_alive():
            self._thread.join(timeout=2.0)

    def read_cap_bps(
        self, service: ids.ServiceName, version: ids.VersionName
    ) -> int | None:
        """Implements ShareCaps.read_cap_bps."""
        return self._caps.get((service, version))

    def list_caps(self) -> tuple[caps_lib.Cap, ...]:
        """Returns the caps in force."""
        with self._lock:
            return tuple(held.cap for held in self._held.values())

    def learn(self, cap: caps_lib.Cap) -> None:
        """Takes a cap into force, unless the own snapshot decides the move.

        A new cap is passed on to some peers; a known one is not.
        """
        snapshot = self._configuration.current
        known = snapshot.move(cap.move_id) is not None
        if known and caps_lib.is_superseded(cap, snapshot):
            return
        target = (cap.service, cap.version)
        with self._lock:
            held = self._held.get(target)
            if held is not None and not _is_stricter(cap, held.cap):
                return
            self._held[target] = _Held(cap, time.monotonic())
            self._publish()
        logging.warning(
            "share of %s/%s lowered to %d bps by %s: %s",
            cap.service,
            cap.version,
            cap.cap_bps,
            cap.origin,
            cap.reason,
        )
        self._notify(cap)

    def _publish(self) -> None:
        self._caps = {
            target: held.cap.cap_bps for target, held in self._held.items()
        }

    def _run(self) -> None:
        period_s = self._settings.moves.tick_ms / 1000
        while not self._stop.is_set():
            self._hurry.wait(period_s)
            self._hurry.clear()
            try:
                self.tick(time.time())
            except Exception:  # The guard must outlive any single tick.
                logging.exception("guard tick failed")

    def tick(self, now: float) -> None:
        """Judges the running moves on what was observed since the last tick.

        Args:
          now: Unix time in seconds.
        """
        snapshot = self._configuration.current
        self._end_decided(snapshot)
        running = [
            move
            for move in snapshot.select(resources.Move)
            if move.state in resources.RUNNING_MOVE_STATES
        ]
        self._exchange.set_reported_services(
            frozenset(move.service for move in running),
            frozenset((move.service, move.to_version) for move in running),
        )
        self._follow(running, now)
        members = self._membership.read_members()
        ramp_s = self._settings.requests.ramp_s
        for move in running:
            guarded = self._guarded[move.id]
            old, new = (
                slots_lib.count_slots(
                    members, move.service, version, now, ramp_s
                )
                for version in (move.from_version, move.to_version)
            )
            guarded.observe(
                (self._table.log, self._exchange.domain_aggregator.log),
                new.cold,
                now,
                slots_lib.list_separate_routes(snapshot, move.service),
            )
            wanted = guarded.find_cap(move)
            # Without an old backend server there is nothing to return to.
            if wanted is not None and old.serving > 0:
                self._set_cap(move, *wanted)

    def _follow(self, running: Iterable[resources.Move], now: float) -> None:
        nodes = len(self._membership.read_members())
        domains = len(self._settings.topology)
        cursors = (
            _read_last(self._table.log),
            _read_last(self._exchange.domain_aggregator.log),
        )
        self._guarded = {
            move.id: self._guarded.get(move.id)
            or GuardedMove(move, nodes, domains, now, cursors)
            for move in running
        }

    def _set_cap(self, move: resources.Move, cap_bps: int, reason: str) -> None:
        self.learn(
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

    def _end_decided(self, snapshot: snapshot_lib.Snapshot) -> None:
        now = time.monotonic()
        with self._lock:
            self._held = {
                target: held
                for target, held in self._held.items()
                if not _is_over(held, snapshot, now)
            }
            self._publish()

    def _notify(self, cap: caps_lib.Cap) -> None:
        own = self._membership.read_self()
        alive = [
            member
            for member in aggregation.list_alive_members(
                self._membership.read_members()
            )
            if member.node_id != own.node_id
        ]
        near = [m for m in alive if m.failure_domain == own.failure_domain]
        far = [m for m in alive if m.failure_domain != own.failure_domain]
        fan_out = self._settings.distribution.fan_out
        message = caps_lib.encode_cap(cap)
        for group in (near, far):
            for peer in random.sample(group, min(fan_out, len(group))):
                stub = evidence_exchange.connect_evidence(
                    self._channels, peer.control
                )
                self._notices.append(
                    stub.Notify.future(message, timeout=NOTIFY_TIMEOUT_S)
                )


def _is_stricter(cap: caps_lib.Cap, held: caps_lib.Cap) -> bool:
    if cap.move_id != held.move_id:
        return cap.cap_bps < held.cap_bps
    return cap.review > held.review or cap.cap_bps < held.cap_bps


def _is_over(held: _Held, snapshot: snapshot_lib.Snapshot, now: float) -> bool:
    if snapshot.move(held.cap.move_id) is None:
        return now - held.learned_at > UNKNOWN_MOVE_S
    return caps_lib.is_superseded(held.cap, snapshot)


def _read_last(log: evidence.EvidenceLog) -> int:
    intervals = log.read_after(0)
    return intervals[-1].sequence if intervals else 0
