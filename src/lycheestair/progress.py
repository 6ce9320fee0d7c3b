"""Transitions of a running move, from its plan, evidence and warm slots."""

from collections.abc import Iterable
import dataclasses
import datetime
import math
from typing import Final

from lycheestair import caps as caps_lib
from lycheestair import evidence
from lycheestair import ids
from lycheestair import planner
from lycheestair import probes
from lycheestair import regression
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import slots

# Maximum share of the new version during a comparison, which gives the old
# version some traffic again. Close to all traffic, because some faults only
# occur under load.
COMPARISON_SHARE_BPS: Final = 9_000
COMPARISON_S: Final = 5.0
# If there is still a warning after this time, the share is lowered further: a
# weak fault is only confirmed with more calls of the old version.
WEAK_FAULT_COMPARISON_S: Final = 2.0
WEAK_FAULT_SHARE_BPS: Final = 5_000
# A new version that is suspected again within RECURRENCE_S after each of
# MAX_COMPARISONS comparisons in a row is taken to have a fault that only occurs
# above the share of a comparison.
RECURRENCE_S: Final = 30.0
MAX_COMPARISONS: Final = 3
# Minimum time between changes of a wait text of the same kind. Each change
# creates a generation that is distributed to all nodes.
WAIT_REFRESH_S: Final = 10.0
# With fewer calls in an interval, the counts of all failure domains are merged,
# because a failure has little weight among the few calls of a single domain.
MIN_CALLS_TO_SPLIT: Final = 500
# Assumed utilization of the old version's slots before there is evidence.
ASSUMED_UTILIZATION: Final = 0.7


@dataclasses.dataclass(frozen=True)
class DecisionInputs:
    """Inputs of a decision in addition to the regression detector.

    Attributes:
      now: Unix time in seconds.
      old_slots: Slots of the old version.
      new_slots: Slots of the new version.
      busy_slots: Mean number of slots in use by the traffic of the move, 0 if
        unknown.
      stale: A text for each failure domain whose evidence is stale.
      caps: Caps set by guards for the move.
      barred: Whether the new version is barred.
      nodes: Nodes that can probe the new version. Without any, the plan starts
        at once.
    """

    now: float
    old_slots: slots.Slots
    new_slots: slots.Slots
    busy_slots: float = 0.0
    stale: tuple[str, ...] = ()
    caps: tuple[caps_lib.Cap, ...] = ()
    barred: bool = False
    nodes: tuple[ids.NodeId, ...] = ()


class MoveTracker:
    """Controller's state of a running move. Kept in memory only."""

    def __init__(
        self,
        move: resources.Move,
        settings: settings_lib.Settings,
        now: float,
        policy: planner.Policy = planner.Policy.BOUNDED,
    ):
        self._settings = settings
        self._policy = policy
        self._plan = planner.plan_move(move, settings.moves, policy)
        self._probing = probes.Probing(move, self._plan, now)
        self._cold_start_budget = slots.ColdStartBudget(now)
        self._tracked_since = now
        self._comparison_started_at: float | None = None
        self._comparison_ended_at = -math.inf
        self._comparison_count = 0
        self._wait_text_changed_at = -math.inf
        self.detector = regression.RegressionDetector(
            move.service, move.from_version, move.to_version, move.route
        )

    def observe(
        self, parts: Iterable[evidence.Rows], cold: bool, now: float
    ) -> None:
        """Adds the counts of one interval, by failure domain."""
        exclude_latency = self._cold_start_budget.should_ignore_latency(
            cold, now
        )
        domain_rows = list(parts)
        self._probing.observe(domain_rows)
        calls = sum(
            counts.calls for rows in domain_rows for counts in rows.values()
        )
        if calls < MIN_CALLS_TO_SPLIT:
            domain_rows = [evidence.merge_rows(domain_rows)]
        for rows in domain_rows:
            self.detector.observe(
                rows, now, include_latency=not exclude_latency
            )

    def decide(
        self, move: resources.Move, inputs: DecisionInputs
    ) -> resources.Move:
        """Returns the next state of the move, which may be unchanged."""
        now = inputs.now
        if inputs.barred:
            return self._end_barred(move, now)
        caps = [cap for cap in inputs.caps if cap.review >= move.review]
        finding = self.detector.evaluate()
        stop_cap = next((cap for cap in caps if cap.cap_bps == 0), None)
        if finding.verdict is regression.Verdict.BAD or stop_cap is not None:
            reason = finding.reason if stop_cap is None else stop_cap.reason
            return self._roll_back(move, inputs, reason)
        # Without calls of the old version, a warning could neither be confirmed
        # nor cleared.
        suspected = finding.verdict is regression.Verdict.SUSPECTED or (
            self.detector.has_warning()
            and move.share_bps > COMPARISON_SHARE_BPS
        )
        if self._comparison_started_at is not None or suspected or caps:
            reasons = [finding.reason, *(cap.reason for cap in caps)]
            return self._compare(move, inputs, next(filter(None, reasons), ""))
        if inputs.stale:
            text = "evidence: " + ", ".join(inputs.stale)
            return self._set_wait_text(move, now, text)
        return self._advance(move, inputs, finding)

    def _end_barred(self, move: resources.Move, now: float) -> resources.Move:
        pending = move.state is resources.MoveState.PENDING
        return dataclasses.replace(
            move,
            state=(
                resources.MoveState.REFUSED
                if pending
                else resources.MoveState.TAKEN_BACK
            ),
            share_bps=0,
            changed_at=now,
            waits_for="",
            probe_node=probes.NO_NODE,
            reason="version is barred after another move was taken back",
            bad_calls=0 if pending else self.detector.new_calls,
        )

    def _roll_back(
        self, move: resources.Move, inputs: DecisionInputs, reason: str
    ) -> resources.Move:
        if inputs.old_slots.serving == 0:
            # After a rollback there would be no backend server at all, which
            # is no better than a faulty version.
            text = f"old version: no backend server to return to; {reason}"
            return self._set_wait_text(move, inputs.now, text)
        return dataclasses.replace(
            move,
            state=resources.MoveState.TAKEN_BACK,
            share_bps=0,
            changed_at=inputs.now,
            waits_for="",
            probe_node=probes.NO_NODE,
            reason=reason,
            bad_calls=self.detector.new_calls,
        )

    def _compare(
        self, move: resources.Move, inputs: DecisionInputs, reason: str
    ) -> resources.Move:
        """Starts, continues or ends a comparison with the old version."""
        now = inputs.now
        if self._comparison_started_at is None:
            recurred = now - self._comparison_ended_at <= RECURRENCE_S
            if not recurred or self.detector.common_fault_found:
                self._comparison_count = 0
            if self._comparison_count == MAX_COMPARISONS:
                return self._roll_back(
                    move, inputs, f"worse at full share: {reason}"
                )
            self._comparison_count += 1
            self._comparison_started_at = now
            return dataclasses.replace(
                move,
                share_bps=min(move.share_bps, COMPARISON_SHARE_BPS),
                changed_at=now,
                waits_for="comparison: old version gets traffic again",
            )
        if (
            now - self._comparison_started_at >= WEAK_FAULT_COMPARISON_S
            and move.share_bps > WEAK_FAULT_SHARE_BPS
            and self.detector.has_warning()
        ):
            return dataclasses.replace(
                move, share_bps=WEAK_FAULT_SHARE_BPS, changed_at=now
            )
        if (
            now - self._comparison_started_at < COMPARISON_S
            or self.detector.has_warning()
            or inputs.stale
        ):
            return move
        self._comparison_started_at = None
        self._comparison_ended_at = now
        self.detector.reset_suspicion()
        # A move that has not reached its target continues from the share of the
        # comparison.
        share = (
            move.target_bps
            if move.state is resources.MoveState.WATCHING
            else move.share_bps
        )
        return dataclasses.replace(
            move,
            share_bps=share,
            changed_at=now,
            waits_for="",
            review=move.review + 1,
        )

    def _advance(
        self,
        move: resources.Move,
        inputs: DecisionInputs,
        finding: regression.Finding,
    ) -> resources.Move:
        now = inputs.now
        warning = self.detector.has_warning()
        busy_slots = _estimate_busy_slots(inputs)
        limit = planner.compute_slot_limit(inputs.new_slots.warm, busy_slots)
        if move.share_bps == 0 and limit > 0:
            step = self._probing.decide(now, bool(inputs.nodes))
            if step is not probes.Step.FOLLOW_PLAN:
                return self._probe(move, inputs, step)
            if self._probing.has_delayed:
                return self._end_probing(move, inputs, limit)
        share = planner.limit_share(
            move.share_bps,
            planner.choose_share(
                move,
                self._plan,
                now,
                finding.verdict is regression.Verdict.HEALTHY,
                warning,
                self._policy,
            ),
            limit,
            planner.compute_slot_limit(inputs.new_slots.serving, busy_slots),
        )
        reached = (
            share >= move.target_bps
            and move.state is not resources.MoveState.WATCHING
        )
        if share != move.share_bps or reached:
            return self._step(move, inputs, share, limit)
        if move.state is resources.MoveState.WATCHING:
            return self._watch(move, now, warning)
        return self._set_wait_text(
            move,
            now,
            self._explain_wait(move, inputs, limit, finding),
        )

    def _probe(
        self, move: resources.Move, inputs: DecisionInputs, step: probes.Step
    ) -> resources.Move:
        """Orders, withdraws or awaits a probe, or rolls the move back."""
        now = inputs.now
        match step:
            case probes.Step.ROLL_BACK:
                return self._roll_back(move, inputs, self._probing.describe())
            case probes.Step.WITHDRAW:
                return dataclasses.replace(
                    move, probe_node=probes.NO_NODE, waits_for=""
                )
            case probes.Step.PROBE:
                node = probes.choose_node(inputs.nodes, move)
                self._probing.order(now)
                return dataclasses.replace(
                    move,
                    state=resources.MoveState.MOVING,
                    changed_at=now,
                    probe_number=move.probe_number + 1,
                    probe_node=node,
                    waits_for=f"first request: sent by node {node}",
                )
        text = (
            "first request failed: too few calls for a verdict or another"
            if self._probing.failures
            else "first request: calls so far are too few"
        )
        return self._set_wait_text(move, now, text)

    def _end_probing(
        self, move: resources.Move, inputs: DecisionInputs, limit: int
    ) -> resources.Move:
        """Starts the plan after a delay, with the share that is due.

        The time of the probes counts as time at that share, so that the steps
        that follow are on time.
        """
        share = max(
            self._plan.shares[0],
            (
                0
                if self._probing.failures
                else self._plan.find_due_share_bps(inputs.now)
            ),
        )
        return dataclasses.replace(
            self._step(move, inputs, min(share, limit), limit),
            changed_at=inputs.now - planner.MIN_HOLD_S,
            probe_node=probes.NO_NODE,
        )

    def _step(
        self,
        move: resources.Move,
        inputs: DecisionInputs,
        share: int,
        limit: int,
    ) -> resources.Move:
        reached = share >= move.target_bps
        self._wait_text_changed_at = inputs.now
        return dataclasses.replace(
            move,
            state=(
                resources.MoveState.WATCHING
                if reached or move.state is resources.MoveState.WATCHING
                else resources.MoveState.MOVING
            ),
            share_bps=share,
            changed_at=inputs.now,
            waits_for=(
                self._explain_slot_limit(move, inputs, limit)
                if limit < move.target_bps
                else ""
            ),
        )

    def _watch(
        self, move: resources.Move, now: float, warning: bool
    ) -> resources.Move:
        # A controller that has taken over has no evidence from before.
        watched_s = now - max(move.changed_at, self._tracked_since)
        # A move that reaches its target early is watched until its deadline.
        # Nobody relies on its end before the deadline, and it can be rolled
        # back until it ends.
        if (
            warning
            or now < move.deadline
            or watched_s < self._settings.moves.watch_s
        ):
            return move
        return dataclasses.replace(
            move, state=resources.MoveState.DONE, changed_at=now, waits_for=""
        )

    def _explain_wait(
        self,
        move: resources.Move,
        inputs: DecisionInputs,
        limit: int,
        finding: regression.Finding,
    ) -> str:
        if limit < move.target_bps:
            return self._explain_slot_limit(move, inputs, limit)
        return f"proof of health: {finding.reason}" if finding.reason else ""

    def _explain_slot_limit(
        self, move: resources.Move, inputs: DecisionInputs, limit: int
    ) -> str:
        needed = math.ceil(
            _estimate_busy_slots(inputs)
            * move.target_bps
            / resources.FULL_SHARE_BPS
            / planner.SLOT_UTILIZATION
        )
        deadline = datetime.datetime.fromtimestamp(
            move.deadline, datetime.UTC
        ).isoformat(timespec="seconds")
        return (
            f"warm slots: {inputs.new_slots.warm} of {max(needed, 1)} needed by"
            f" {deadline}, enough for {limit / 100:g}% of"
            f" {move.target_bps / 100:g}%"
        )

    def _set_wait_text(
        self, move: resources.Move, now: float, text: str
    ) -> resources.Move:
        """Sets the wait text, limited by WAIT_REFRESH_S for texts of one kind."""
        if text == move.waits_for:
            return move
        same_kind = text.partition(":")[0] == move.waits_for.partition(":")[0]
        if same_kind and now - self._wait_text_changed_at < WAIT_REFRESH_S:
            return move
        self._wait_text_changed_at = now
        return dataclasses.replace(move, waits_for=text)


def _estimate_busy_slots(inputs: DecisionInputs) -> float:
    if inputs.busy_slots > 0:
        return inputs.busy_slots
    return inputs.old_slots.serving * ASSUMED_UTILIZATION
