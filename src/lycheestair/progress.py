"""Next state of a move, from its plan, its evidence and the warm slots."""

from collections.abc import Iterable
import dataclasses
import datetime
import math
from typing import Final

from lycheestair import caps as caps_lib
from lycheestair import evidence
from lycheestair import planner
from lycheestair import regression
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import slots

# Highest share while a version is compared that had all the traffic. Close to
# all of it, because some faults only show under load.
COMPARE_SHARE_BPS: Final = 9_000
COMPARE_S: Final = 5.0
# A weak fault needs more calls of the old version to compare with.
COMPARE_LONGER_S: Final = 2.0
COMPARE_LONGER_SHARE_BPS: Final = 5_000
# Suspicions that come back this soon after a comparison, and this often, show
# a fault that is present only above the share of the comparison.
RECURRENCE_S: Final = 30.0
MAX_COMPARISONS: Final = 3
# Least time between two changes of a text that only reports progress; each
# change is a generation that goes to all nodes.
WAIT_REFRESH_S: Final = 10.0
# With fewer calls in an interval the failure domains are judged as one; a
# failure weighs little against the few calls of a single one.
THIN_CALLS: Final = 500
# Used as busy part of the old version's slots before there is evidence.
ASSUMED_UTILIZATION: Final = 0.7


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a decision rests on besides the judge.

    Attributes:
      now: Unix time in seconds.
      busy_slots: slots.Slots that the traffic of the move keeps busy, 0 if unknown.
      stale: One text for each failure domain whose evidence is stale.
      caps: Caps that guards have set for the move.
    """

    now: float
    old: slots.Slots
    new: slots.Slots
    busy_slots: float = 0.0
    stale: tuple[str, ...] = ()
    caps: tuple[caps_lib.Cap, ...] = ()
    barred: bool = False


class Progress:
    """A running move as its controller follows it. Kept in memory only."""

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
        self._cold = slots.ColdBudget(now)
        self._followed_since = now
        self._comparing_since: float | None = None
        self._compared_at = -math.inf
        self._comparisons = 0
        self._waiting_since = -math.inf
        self.judge = regression.RegressionDetector(
            move.service, move.from_version, move.to_version, move.route
        )

    def observe(
        self, parts: Iterable[evidence.Rows], cold: bool, now: float
    ) -> None:
        """Adds the evidence of one interval, by failure domain."""
        left_out = self._cold.spend(cold, now)
        listed = list(parts)
        calls = sum(c.calls for rows in listed for c in rows.values())
        if calls < THIN_CALLS:
            listed = [evidence.merge_rows(listed)]
        for rows in listed:
            self.judge.observe(rows, now, include_latency=not left_out)

    def decide(
        self, move: resources.Move, situation: Situation
    ) -> resources.Move:
        """Returns the move as it should be from now on."""
        now = situation.now
        if situation.barred:
            return self._refuse(move, now)
        caps = [cap for cap in situation.caps if cap.review >= move.review]
        finding = self.judge.evaluate()
        stopped = next((cap for cap in caps if cap.cap_bps == 0), None)
        if finding.verdict is regression.Verdict.BAD or stopped is not None:
            reason = finding.reason if stopped is None else stopped.reason
            return self._take_back(move, situation, reason)
        # Without calls of the old version a sign of a fault neither grows nor
        # goes away.
        suspected = finding.verdict is regression.Verdict.SUSPECTED or (
            self.judge.has_warning() and move.share_bps > COMPARE_SHARE_BPS
        )
        if self._comparing_since is not None or suspected or caps:
            reasons = [finding.reason, *(cap.reason for cap in caps)]
            return self._compare(
                move, situation, next(filter(None, reasons), "")
            )
        if situation.stale:
            text = "evidence: " + ", ".join(situation.stale)
            return self._wait(move, now, text)
        return self._advance(move, situation, finding)

    def _refuse(self, move: resources.Move, now: float) -> resources.Move:
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
            reason="version is barred after another move was taken back",
            bad_calls=0 if pending else self.judge.calls,
        )

    def _take_back(
        self, move: resources.Move, situation: Situation, reason: str
    ) -> resources.Move:
        if situation.old.serving == 0:
            # Nothing would answer the calls; a faulty answer is no worse.
            text = f"old version: no backend server to return to; {reason}"
            return self._wait(move, situation.now, text)
        return dataclasses.replace(
            move,
            state=resources.MoveState.TAKEN_BACK,
            share_bps=0,
            changed_at=situation.now,
            waits_for="",
            reason=reason,
            bad_calls=self.judge.calls,
        )

    def _compare(
        self, move: resources.Move, situation: Situation, reason: str
    ) -> resources.Move:
        """Gives the old version traffic for a while, to compare both."""
        now = situation.now
        if self._comparing_since is None:
            recurs = now - self._compared_at <= RECURRENCE_S
            if not recurs or self.judge.common_fault_found:
                self._comparisons = 0
            if self._comparisons == MAX_COMPARISONS:
                return self._take_back(
                    move, situation, f"worse at full share: {reason}"
                )
            self._comparisons += 1
            self._comparing_since = now
            return dataclasses.replace(
                move,
                share_bps=min(move.share_bps, COMPARE_SHARE_BPS),
                changed_at=now,
                waits_for="comparison: old version gets traffic again",
            )
        if (
            now - self._comparing_since >= COMPARE_LONGER_S
            and move.share_bps > COMPARE_LONGER_SHARE_BPS
            and self.judge.has_warning()
        ):
            return dataclasses.replace(
                move, share_bps=COMPARE_LONGER_SHARE_BPS, changed_at=now
            )
        if (
            now - self._comparing_since < COMPARE_S
            or self.judge.has_warning()
            or situation.stale
        ):
            return move
        self._comparing_since = None
        self._compared_at = now
        self.judge.reset_suspicion()
        # A step that was under way goes on from the share of the comparison.
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
        situation: Situation,
        finding: regression.Finding,
    ) -> resources.Move:
        now = situation.now
        sign = self.judge.has_warning()
        busy = _estimate_busy(situation)
        limit = planner.compute_slot_limit(situation.new.warm, busy)
        share = planner.limit_share(
            move.share_bps,
            planner.choose_share(
                move,
                self._plan,
                now,
                finding.verdict is regression.Verdict.HEALTHY,
                sign,
                self._policy,
            ),
            limit,
            planner.compute_slot_limit(situation.new.serving, busy),
        )
        reached = (
            share >= move.target_bps
            and move.state is not resources.MoveState.WATCHING
        )
        if share != move.share_bps or reached:
            return self._step(move, situation, share, limit)
        if move.state is resources.MoveState.WATCHING:
            return self._watch(move, now, sign)
        return self._wait(
            move, now, self._explain(move, situation, limit, finding)
        )

    def _step(
        self,
        move: resources.Move,
        situation: Situation,
        share: int,
        limit: int,
    ) -> resources.Move:
        reached = share >= move.target_bps
        self._waiting_since = situation.now
        return dataclasses.replace(
            move,
            state=(
                resources.MoveState.WATCHING
                if reached or move.state is resources.MoveState.WATCHING
                else resources.MoveState.MOVING
            ),
            share_bps=share,
            changed_at=situation.now,
            waits_for=(
                self._explain_slots(move, situation, limit)
                if limit < move.target_bps
                else ""
            ),
        )

    def _watch(
        self, move: resources.Move, now: float, sign: bool
    ) -> resources.Move:
        # A controller that takes over has seen nothing before that.
        watched_s = now - max(move.changed_at, self._followed_since)
        # A move that is early is watched until its deadline: until then
        # nobody relies on it, and the old version is there to return to.
        if (
            sign
            or now < move.deadline
            or watched_s < self._settings.moves.watch_s
        ):
            return move
        return dataclasses.replace(
            move, state=resources.MoveState.DONE, changed_at=now, waits_for=""
        )

    def _explain(
        self,
        move: resources.Move,
        situation: Situation,
        limit: int,
        finding: regression.Finding,
    ) -> str:
        if limit < move.target_bps:
            return self._explain_slots(move, situation, limit)
        return f"proof of health: {finding.reason}" if finding.reason else ""

    def _explain_slots(
        self, move: resources.Move, situation: Situation, limit: int
    ) -> str:
        needed = math.ceil(
            _estimate_busy(situation)
            * move.target_bps
            / resources.FULL_SHARE_BPS
            / planner.SLOT_UTILIZATION
        )
        deadline = datetime.datetime.fromtimestamp(
            move.deadline, datetime.UTC
        ).isoformat(timespec="seconds")
        return (
            f"warm slots: {situation.new.warm} of {max(needed, 1)} needed by"
            f" {deadline}, enough for {limit / 100:g}% of"
            f" {move.target_bps / 100:g}%"
        )

    def _wait(
        self, move: resources.Move, now: float, text: str
    ) -> resources.Move:
        """Reports what the move waits for, without a change at each tick."""
        if text == move.waits_for:
            return move
        same_kind = text.partition(":")[0] == move.waits_for.partition(":")[0]
        if same_kind and now - self._waiting_since < WAIT_REFRESH_S:
            return move
        self._waiting_since = now
        return dataclasses.replace(move, waits_for=text)


def _estimate_busy(situation: Situation) -> float:
    if situation.busy_slots > 0:
        return situation.busy_slots
    return situation.old.serving * ASSUMED_UTILIZATION
