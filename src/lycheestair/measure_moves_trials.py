"""Simulates moves under a policy, with randomly drawn faults.

The guard and the controller logic are those of the node. Calls and their
results are drawn at random, and time advances in ticks.
"""

from collections.abc import Iterable
import dataclasses
import enum
import functools
import itertools
from typing import Final

import numpy as np
import numpy.typing as npt

from lycheestair import caps as caps_lib
from lycheestair import evidence
from lycheestair import guard
from lycheestair import ids
from lycheestair import observations
from lycheestair import planner
from lycheestair import progress
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import slots as slots_lib
from lycheestair import snapshot as snapshot_lib

TICK_S: Final = 0.5
# Ticks from a call until its aggregator closes the interval that counts it.
EVIDENCE_DELAY_TICKS: Final = 2
# Ticks from a decision until its generation is active.
PUBLISH_DELAY_TICKS: Final = 1
CALLS_PER_S_PER_INSTANCE: Final = 43.0
DOMAINS: Final = ("a", "b")
ROUTE_FRACTIONS: Final = {"main": 0.6, "second": 0.3, "rare": 0.1}
# A fault is evident after this many calls failed or were slow because of it.
EVIDENT_FAULT_CALLS: Final = 10
COLD_LATENCY_FACTOR: Final = 3.0
SERVICE: Final = ids.ServiceName("service")
OLD_VERSION: Final = ids.VersionName("v1")
NEW_VERSION: Final = ids.VersionName("v2")


class Fault(enum.Enum):
    """Fault of the new version."""

    NONE = "none"
    IMMEDIATE = "immediate"
    DELAYED = "delayed"
    LOAD = "load"
    ROUTE = "route"
    SLOW = "slow"
    SLIGHT = "slight"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size and load of a service.

    Attributes:
      slots: Slots per instance.
      busy_slots: Mean number of busy slots per instance.
      instances: Minimum and maximum number of instances, each with
        CALLS_PER_S_PER_INSTANCE.
    """

    slots: int
    busy_slots: float
    instances: tuple[int, int] = (20, 100)


DEPLOYMENTS: Final = {
    "zecca": Deployment(9, 6.5),
    "vakharia": Deployment(12, 6.0),
    # Has too few calls to confirm a healthy version before the deadline.
    "thin": Deployment(9, 6.5, (1, 6)),
}


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of a move and of its versions.

    Times are in seconds since the start of the move.

    Attributes:
      calls_per_s: Calls on all routes and in all failure domains.
      duration_s: Time from the start of the move to its deadline.
      base_rate: Failure rate of a version without a fault.
      fault_rate: Failure rate of the new version while its fault is active.
      fault_at_s: Time at which a delayed fault starts.
      fault_share_bps: Minimum share in a failure domain at which a
        load-dependent fault is active.
      fault_route: Route on which a fault of a single route is active.
      latency_ms: Median latency of a version without a fault.
      latency_factor: Factor by which a latency fault raises the latency.
      common_fault_at_s: Time at which a fault of both versions starts, None if
        there is none.
    """

    seed: int
    fault: Fault
    instances: int
    calls_per_s: float
    duration_s: float
    base_rate: float
    fault_rate: float
    fault_at_s: float
    fault_share_bps: int
    fault_route: str
    latency_ms: float
    latency_factor: float
    common_fault_at_s: float | None


def draw_case(seed: int, fault: Fault | None, deployment: Deployment) -> Case:
    """Draws a case. Unless a fault is given, half of the cases have none."""
    rng = np.random.default_rng(seed)
    faults = [kind for kind in Fault if kind is not Fault.NONE]
    drawn = rng.choice(np.array([Fault.NONE] * len(faults) + faults))
    kind = drawn if fault is None else fault
    instances = int(np.exp(rng.uniform(*np.log(deployment.instances))))
    duration_s = float(rng.uniform(600, 1_800))
    base_rate = float(np.exp(rng.uniform(np.log(0.003), np.log(0.02))))
    slight_fault_factor = float(rng.uniform(2.0, 3.0))
    clear_fault_rate = float(rng.uniform(0.05, 0.5))
    common_fault_at_s = float(rng.uniform(0, duration_s))
    return Case(
        seed=seed,
        fault=kind,
        instances=instances,
        calls_per_s=instances * CALLS_PER_S_PER_INSTANCE,
        duration_s=duration_s,
        base_rate=base_rate,
        fault_rate=base_rate * slight_fault_factor
        if kind is Fault.SLIGHT
        else clear_fault_rate,
        fault_at_s=float(rng.uniform(10, duration_s)),
        fault_share_bps=int(rng.uniform(500, 6_000)),
        fault_route=str(rng.choice(list(ROUTE_FRACTIONS))),
        latency_ms=float(rng.uniform(5, 50)),
        latency_factor=float(rng.uniform(2.0, 4.0)),
        common_fault_at_s=common_fault_at_s if rng.random() < 0.3 else None,
    )


@dataclasses.dataclass
class MoveOutcome:
    """Result of a simulated move.

    Times are in seconds since the start of the move.

    Attributes:
      state: Final state of the move.
      reason: Why the move was rolled back, rejected or cancelled.
      target_reached_at_s: Time at which the target share was reached.
      last_bad_call_at_s: End of the last tick with bad calls.
      evident_at_s: Time at which the fault became evident.
      calls: Calls of the service until the end of the move.
      bad_calls: Calls to the new version since its fault first occurred.
      control_bytes: Encoded size of distributed moves and of evidence, the
        latter estimated from every 20th tick.
      shares: Time and mean share in percent over the failure domains, at each
        change.
    """

    case: Case
    state: str = ""
    reason: str = ""
    target_reached_at_s: float | None = None
    last_bad_call_at_s: float | None = None
    evident_at_s: float | None = None
    calls: int = 0
    bad_calls: int = 0
    control_bytes: int = 0
    shares: list[tuple[float, float]] = dataclasses.field(default_factory=list)


class CallGenerator:
    """Draws the calls of both versions and their results."""

    def __init__(self, case: Case):
        self._case = case
        self._rng = np.random.default_rng((case.seed, 1))
        self.affected_calls = 0
        # Delayed and load-dependent faults occur later.
        self.fault_occurred = case.fault not in (
            Fault.NONE,
            Fault.DELAYED,
            Fault.LOAD,
        )

    def draw(self, domain_share_bps: int, at_s: float) -> evidence.Rows:
        """Draws the calls of one failure domain in one tick.

        Args:
          domain_share_bps: Share of the new version in the failure domain.
          at_s: Time in seconds since the start of the move.
        """
        rows = {}
        for route, fraction in ROUTE_FRACTIONS.items():
            rate = self._case.calls_per_s * fraction * TICK_S / len(DOMAINS)
            total = int(self._rng.poisson(rate))
            new_calls = int(
                self._rng.binomial(total, domain_share_bps / 10_000)
            )
            for version, calls in (
                (OLD_VERSION, total - new_calls),
                (NEW_VERSION, new_calls),
            ):
                if calls:
                    rows[
                        observations.VersionRoute(
                            SERVICE, version, ids.RouteName(route)
                        )
                    ] = self._draw_counts(
                        version, route, calls, domain_share_bps, at_s
                    )
        return rows

    def _draw_counts(
        self,
        version: ids.VersionName,
        route: str,
        calls: int,
        share_bps: int,
        at_s: float,
    ) -> evidence.OutcomeCounts:
        case = self._case
        fault_active = version == NEW_VERSION and self._is_fault_active(
            route, share_bps, at_s
        )
        failure_rate = case.base_rate
        # A fault of both versions lasts 20 s and fails 30% of the calls.
        if (
            case.common_fault_at_s is not None
            and 0 <= at_s - case.common_fault_at_s < 20
        ):
            failure_rate = 0.3
        median_ms = case.latency_ms
        # Instances of the new version start cold.
        if version == NEW_VERSION and at_s < 5.0:
            median_ms *= COLD_LATENCY_FACTOR
        base_failures = int(self._rng.binomial(calls, failure_rate))
        failed = base_failures
        if fault_active and case.fault is Fault.SLOW:
            median_ms *= case.latency_factor
            self.affected_calls += calls
        elif fault_active:
            extra_rate = max(0.0, case.fault_rate - failure_rate) / (
                1 - failure_rate
            )
            extra_failed = int(
                self._rng.binomial(calls - base_failures, extra_rate)
            )
            failed += extra_failed
            self.affected_calls += extra_failed
        latency_counts = self._rng.multinomial(
            calls, _compute_latency_distribution(median_ms)
        )
        return evidence.OutcomeCounts(calls, failed, latency_counts)

    def _is_fault_active(self, route: str, share_bps: int, at_s: float) -> bool:
        case = self._case
        fault_active = {
            Fault.NONE: False,
            Fault.DELAYED: at_s >= case.fault_at_s,
            Fault.LOAD: share_bps >= case.fault_share_bps,
            Fault.ROUTE: route == case.fault_route,
        }.get(case.fault, True)
        self.fault_occurred = self.fault_occurred or fault_active
        return fault_active


@functools.cache
def _compute_latency_distribution(median_ms: float) -> npt.NDArray[np.float64]:
    """Returns the probability of each latency bucket.

    The latency is log-normally distributed.
    """
    rng = np.random.default_rng(0)
    samples_ms = rng.lognormal(np.log(median_ms), 0.5, 100_000)
    counts = np.bincount(
        np.searchsorted(evidence.LATENCY_BOUNDS_MS, samples_ms),
        minlength=evidence.LATENCY_BUCKET_COUNT,
    )
    return np.asarray(counts / counts.sum(), np.float64)


class Simulation:
    """Simulates one case under one policy."""

    def __init__(
        self,
        case: Case,
        policy: planner.Policy,
        deployment: Deployment,
        settings: settings_lib.Settings,
    ):
        self._case = case
        self._settings = settings
        self._slots = slots_lib.Slots(
            *(2 * [case.instances * deployment.slots])
        )
        self._busy_slots = case.instances * deployment.busy_slots
        self.move = resources.Move(
            ids.MoveId("m"),
            ids.NoteId("n"),
            SERVICE,
            OLD_VERSION,
            NEW_VERSION,
            resources.FULL_SHARE_BPS,
            case.duration_s,
            0.0,
        )
        self._generator = CallGenerator(case)
        self._controller = progress.MoveTracker(
            self.move, settings, 0.0, policy
        )
        self._logs = [
            evidence.EvidenceLog(settings.moves.window_s) for _ in DOMAINS
        ]
        self._guards = [
            guard.MoveMonitor(self.move, 0, len(DOMAINS), 0.0, (0, 0))
            for _ in DOMAINS
        ]
        # Stays empty: all calls are logged per failure domain.
        self._node_log = evidence.EvidenceLog(settings.moves.window_s)
        self._caps: dict[str, caps_lib.Cap] = {}
        self.outcome = MoveOutcome(case)

    def run(self) -> MoveOutcome:
        """Runs the move until it has ended or is long past its deadline."""
        end_s = self._case.duration_s + 2 * self._settings.moves.watch_s + 60
        pending_evidence: list[list[evidence.Rows]] = []
        published = [self.move] * (PUBLISH_DELAY_TICKS + 1)
        for tick in itertools.count():
            now = tick * TICK_S
            caps = dict(self._caps)
            pending_evidence.append(
                self._simulate_calls(published[0], caps, now)
            )
            published = [*published[1:], self.move]
            if len(pending_evidence) > EVIDENCE_DELAY_TICKS and _is_running(
                self.move
            ):
                self._decide(pending_evidence.pop(0), now, tick)
            if not _is_running(published[0]) or now > end_s:
                break
        self.outcome.state = self.move.state.value
        self.outcome.reason = self.move.reason
        return self.outcome

    def _simulate_calls(
        self, move: resources.Move, caps: dict[str, caps_lib.Cap], now: float
    ) -> list[evidence.Rows]:
        shares = [
            min(
                move.share_bps,
                *(
                    cap.cap_bps
                    for cap in caps.values()
                    if not cap.review < move.review
                ),
                resources.FULL_SHARE_BPS,
            )
            for _ in DOMAINS
        ]
        rows_by_domain = [self._generator.draw(share, now) for share in shares]
        outcome = self.outcome
        new_calls = _count_calls(rows_by_domain, NEW_VERSION)
        outcome.calls += new_calls + _count_calls(rows_by_domain, OLD_VERSION)
        if self._generator.fault_occurred:
            outcome.bad_calls += new_calls
        if new_calls and self._generator.fault_occurred:
            outcome.last_bad_call_at_s = now + TICK_S
        if (
            outcome.evident_at_s is None
            and self._generator.affected_calls >= EVIDENT_FAULT_CALLS
        ):
            outcome.evident_at_s = now
        mean_percent = sum(shares) / len(shares) / 100
        if not outcome.shares or outcome.shares[-1][1] != mean_percent:
            outcome.shares.append((now, mean_percent))
        if shares[0] >= move.target_bps and outcome.target_reached_at_s is None:
            outcome.target_reached_at_s = now
        return rows_by_domain

    def _decide(
        self, rows_by_domain: list[evidence.Rows], now: float, tick: int
    ) -> None:
        """Applies the guards and the controller to one tick of evidence."""
        cold = now < self._settings.requests.ramp_s
        for domain, rows, log, monitor in zip(
            DOMAINS, rows_by_domain, self._logs, self._guards, strict=True
        ):
            log.append(rows, now)
            monitor.observe((self._node_log, log), cold, now)
            required_cap = monitor.compute_cap(self.move)
            if required_cap is not None:
                self._caps[domain] = caps_lib.Cap(
                    self.move.id,
                    SERVICE,
                    NEW_VERSION,
                    required_cap[0],
                    self.move.review,
                    ids.NodeId(domain),
                    required_cap[1],
                )
        self._controller.observe(rows_by_domain, cold, now)
        warm = slots_lib.Slots(
            self._slots.serving, 0 if cold else self._slots.warm
        )
        next_move = self._controller.decide(
            self.move,
            progress.DecisionInputs(
                now,
                self._slots,
                warm,
                self._busy_slots,
                caps=tuple(self._caps.values()),
            ),
        )
        if next_move != self.move:
            self.outcome.control_bytes += len(
                snapshot_lib.encode_resource(next_move)
            )
        if tick % 20 == 0:
            self.outcome.control_bytes += 20 * sum(
                row.ByteSize()
                for rows in rows_by_domain
                for row in evidence.encode_rows(rows)
            )
        self.move = next_move


def _is_running(move: resources.Move) -> bool:
    return move.state in resources.RUNNING_MOVE_STATES


def _count_calls(
    rows_by_domain: Iterable[evidence.Rows], version: ids.VersionName
) -> int:
    return sum(
        counts.calls
        for rows in rows_by_domain
        for target, counts in rows.items()
        if target.version == version
    )
