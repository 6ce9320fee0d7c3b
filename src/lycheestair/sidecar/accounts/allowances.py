"""Keeps the allowances of accounts over all nodes, without a clock or a network.

Each node counts the requests that it admits and reports them to the coordinator of
their account. A coordinator answers each report, so that a node knows that it is
there, and tells limits only of accounts that are near or over their allowance.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import frames
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar.accounts import buckets
from lycheestair.sidecar.accounts import coordinators
from lycheestair.sidecar.accounts import ledgers
from lycheestair.sidecar.accounts import quotas

# Interval of reports, less than that of three ticks of 0.1 s.
REPORT_INTERVAL_S: Final = 0.22
# Interval while an account sends more than its allowance yields. Excess requests
# are admitted meanwhile.
URGENT_INTERVAL_S: Final = 0.04
# A coordinator that hasn't answered a report for this long is taken as lost: more
# than two round trips between regions and the pause of a busy node.
ANSWER_TIMEOUT_S: Final = 0.5
# Connections to coordinators are closed after 10 s without a report.
KEEPALIVE_S: Final = 5.0
# A node that has not reported for this long isn't told limits.
CLIENT_MEMORY_S: Final = 3 * KEEPALIVE_S
# Interval at which the reachable members are read, at least this for each of them.
MEMBERS_INTERVAL_S: Final = 0.3
INTERVAL_FOR_MEMBER_S: Final = 0.0001
# Interval at which accounts without requests are forgotten.
CLEANUP_INTERVAL_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownMember:
    """A known node that isn't leaving."""

    node_id: ids.NodeId
    failure_domain: ids.FailureDomain
    reachable: bool


@dataclasses.dataclass(slots=True)
class _Contact:
    """What this node knows of its exchange with a coordinator.

    Attributes:
      number: That of the latest report.
      reported_at: Time of the latest report.
      has_answered: Whether it has answered any report.
      unanswered_since: Time of the first report without an answer, None if all
        have been answered.
      is_scheduled: Whether an urgent report is scheduled.
    """

    created_at: float
    number: int = 0
    reported_at: float = -math.inf
    has_answered: bool = False
    unanswered_since: float | None = None
    is_scheduled: bool = False

    def answers(self, now: float) -> bool:
        """Whether the coordinator is there."""
        return self.has_answered and (
            self.unanswered_since is None
            or now - self.unanswered_since < ANSWER_TIMEOUT_S
        )


class Allowances:
    """Allowances of accounts as one node sees them, also as a coordinator.

    Attributes:
      refused: Requests refused because of an allowance.
      on_limit_change: Called at the coordinator of an account with its name and
        whether its requests are limited now.
    """

    def __init__(
        self,
        own_id: ids.NodeId,
        bounds: settings_lib.Bounds,
        read_catalog: Callable[[], catalog_lib.Catalog],
        list_members: Callable[[], Iterable[KnownMember]],
        send: Callable[[ids.NodeId, frames.Frame], bool],
        schedule: Callable[[float, Callable[[float], None]], None],
        draw: Callable[[], float] = random.random,
    ):
        """Initializes the state of a node that has just started.

        Args:
          own_id: Id of this node.
          bounds: Bounds on the requests of an account.
          read_catalog: Returns the configuration in force.
          list_members: Returns all known nodes, including this one.
          send: Sends a frame to another node; returns False if it can't be sent
            now.
          schedule: Calls a function with the time after a delay in seconds.
          draw: Returns random numbers in [0, 1).
        """
        self.refused = 0
        self.on_limit_change: Callable[[ids.AccountName, bool], None] = (
            lambda account, is_limited: None
        )
        self._own_id = own_id
        self._bounds = bounds
        self._read_catalog = read_catalog
        self._list_members = list_members
        self._send = send
        self._schedule = schedule
        self._choice = coordinators.CoordinatorChoice()
        self._ledger = ledgers.Ledger(draw)
        self._quotas: dict[ids.AccountName, quotas.Quota] = {}
        self._contacts: dict[ids.NodeId, _Contact] = {}
        # Nodes that report to this one, and when they last did.
        self._clients: dict[ids.NodeId, float] = {}
        # Share of the allowances that the reachable nodes may use, and the number
        # of known nodes.
        self._share = 1.0
        self._known_count = 1
        self._members_read_at = -math.inf
        self._cleaned_at = 0.0
        self._catalog: catalog_lib.Catalog | None = None
        self._allowances: dict[ids.AccountName, buckets.Allowance] = {}

    # Entry node.

    def admit(self, account: ids.AccountName, now: float) -> float | None:
        """Counts a request and decides on it.

        Returns:
          None if it is admitted; otherwise the time in seconds after which it may
          return.
        """
        allowance = self._find_allowance(account)
        if allowance is None:
            return None
        self._update_members(now)
        coordinator = self._choice.find(account) or self._own_id
        contact = self._find_contact(coordinator, now)
        retry_after_s = self._ledger.admit(
            account,
            allowance.scale(1 / self._known_count),
            coordinator == self._own_id or contact.answers(now),
            now,
        )
        if retry_after_s is not None:
            self.refused += 1
        expected = allowance.rate_per_s * REPORT_INTERVAL_S / self._known_count
        if self._ledger.is_report_urgent(account, expected, now):
            self._report_urgently(coordinator, contact, now)
        return retry_after_s

    def charge(self, account: ids.AccountName) -> None:
        """Counts another attempt of an admitted request."""
        self._ledger.adjust(account, 1)

    def give_back(self, account: ids.AccountName) -> None:
        """Takes back the count of an admitted request that did not run."""
        self._ledger.adjust(account, -1)

    def tick(self, now: float) -> None:
        """Sends what is due; called every 0.1 s."""
        if not self._read_catalog().has_allowances:
            return
        self._update_members(now)
        accounts: dict[ids.NodeId, list[ids.AccountName]] = {
            coordinator: [] for coordinator in self._choice.coordinators
        }
        for account in self._ledger.list_unreported():
            coordinator = self._choice.find(account)
            if coordinator is not None:
                accounts[coordinator].append(account)
        for coordinator, unreported in accounts.items():
            contact = self._find_contact(coordinator, now)
            interval_s = REPORT_INTERVAL_S if unreported else KEEPALIVE_S
            if not contact.has_answered:
                interval_s = REPORT_INTERVAL_S
            if now - contact.reported_at >= interval_s:
                self._report(coordinator, contact, unreported, now)
        self._send_limits(now)
        if now - self._cleaned_at >= CLEANUP_INTERVAL_S:
            self._cleaned_at = now
            self._forget_unused(now)

    def _report_urgently(
        self, coordinator: ids.NodeId, contact: _Contact, now: float
    ) -> None:
        due_in_s = contact.reported_at + URGENT_INTERVAL_S - now
        if due_in_s <= 0:
            self._report_all(coordinator, now)
        elif not contact.is_scheduled:
            contact.is_scheduled = True
            self._schedule(
                due_in_s, lambda later: self._report_all(coordinator, later)
            )

    def _report_all(self, coordinator: ids.NodeId, now: float) -> None:
        contact = self._find_contact(coordinator, now)
        contact.is_scheduled = False
        unreported = [
            account
            for account in self._ledger.list_unreported()
            if self._choice.find(account) == coordinator
        ]
        if unreported:
            self._report(coordinator, contact, unreported, now)

    def _report(
        self,
        coordinator: ids.NodeId,
        contact: _Contact,
        accounts: list[ids.AccountName],
        now: float,
    ) -> None:
        span_s = min(
            REPORT_INTERVAL_S,
            max(ledgers.MIN_SPAN_S, now - contact.reported_at),
        )
        if coordinator == self._own_id:
            contact.reported_at = now
            counts = self._ledger.take_counts(accounts)
            for account, limit in self._record(
                self._own_id, counts, span_s, now
            ):
                self._ledger.apply_limit(account, limit, now)
            return
        number = contact.number + 1
        frame = [
            frames.FrameType.ALLOWANCE_REPORT,
            number,
            int(span_s * 1000),
            [],
        ]
        if not contact.answers(now) and accounts:
            # What the node admits on its own is within its share. Counted later,
            # it would be a debt of all nodes.
            if now - contact.created_at > ANSWER_TIMEOUT_S:
                self._ledger.take_counts(accounts)
            accounts = []
        contact.reported_at = now
        if contact.unanswered_since is None:
            contact.unanswered_since = now
        counts = self._ledger.take_counts(accounts)
        frame[3] = [
            [count.account, count.offered, count.admitted] for count in counts
        ]
        if self._send(coordinator, frame):
            contact.number = number
        else:
            self._ledger.restore_counts(counts)

    def _find_contact(self, coordinator: ids.NodeId, now: float) -> _Contact:
        contact = self._contacts.get(coordinator)
        if contact is None:
            contact = self._contacts[coordinator] = _Contact(now)
        return contact

    # Frames.

    def handle(
        self, sender: ids.NodeId, frame: frames.Frame, now: float
    ) -> None:
        """Handles a frame from another node.

        Raises:
          TypeError, ValueError: The frame is malformed.
        """
        if frame[0] == frames.FrameType.ALLOWANCE_REPORT:
            _, number, span_ms, items = frame
            counts = [ledgers.decode_count(item) for item in items]
            span_s = min(
                REPORT_INTERVAL_S, max(ledgers.MIN_SPAN_S, span_ms / 1000)
            )
            self._clients[sender] = now
            limits = self._record(sender, counts, span_s, now)
            self._send(sender, _encode_limits(int(number), limits))
        elif frame[0] == frames.FrameType.ALLOWANCE_LIMITS:
            _, number, items = frame
            limits = [_decode_limit(item) for item in items]
            contact = self._contacts.get(sender)
            if contact is not None and number:
                contact.has_answered = True
                contact.unanswered_since = (
                    None if number >= contact.number else contact.reported_at
                )
            for account, limit in limits:
                if self._choice.find(account) == sender:
                    self._ledger.apply_limit(account, limit, now)

    # Coordinator.

    def _record(
        self,
        node_id: ids.NodeId,
        counts: list[ledgers.Count],
        span_s: float,
        now: float,
    ) -> list[tuple[ids.AccountName, quotas.Limit]]:
        """Applies a report; returns the limits that its sender needs."""
        self._update_members(now)
        limits = []
        for count in counts:
            allowance = self._find_allowance(count.account)
            if allowance is None:
                continue
            allowance = allowance.scale(self._share)
            quota = self._quotas.get(count.account)
            if quota is None:
                quota = quotas.Quota(allowance, now)
                self._quotas[count.account] = quota
            quota.record(
                node_id, count.offered, count.admitted, span_s, allowance, now
            )
            if quota.may_be_limited:
                limits.append((count.account, quota.limit))
                if quota.has_fallen(now):
                    self._send_limit(count.account, quota, now)
        return limits

    def _send_limits(self, now: float) -> None:
        """Tells the limits that are due to all nodes."""
        due = []
        for account, quota in list(self._quotas.items()):
            allowance = self._find_allowance(account)
            if allowance is None or quota.is_idle(now):
                del self._quotas[account]
                continue
            quota.update(allowance.scale(self._share), now)
            if quota.has_changed_lastingly(now):
                self.on_limit_change(account, quota.is_limited)
            if quota.must_renew(now):
                quota.mark_renewed(now)
                due.append((account, quota.limit))
            elif quota.has_fallen(now):
                self._send_limit(account, quota, now)
        if not due:
            return
        for account, limit in due:
            self._ledger.apply_limit(account, limit, now)
        for node_id in self._clients:
            self._send(node_id, _encode_limits(0, due))

    def _send_limit(
        self, account: ids.AccountName, quota: quotas.Quota, now: float
    ) -> None:
        """Tells a changed limit to the nodes with requests of the account."""
        frame = _encode_limits(0, [(account, quota.limit)])
        for node_id in quota.list_receivers(now):
            if node_id == self._own_id:
                self._ledger.apply_limit(account, quota.limit, now)
            else:
                self._send(node_id, frame)

    # State.

    def count_limited(self, now: float) -> int:
        """Returns the number of accounts that this node limits."""
        return self._ledger.count_limited(now)

    def _find_allowance(
        self, account: ids.AccountName
    ) -> buckets.Allowance | None:
        """Returns the allowance of an account, None if it has no limit."""
        catalog = self._read_catalog()
        if catalog is not self._catalog:
            self._catalog = catalog
            self._allowances.clear()
        found = self._allowances.get(account)
        if found is None:
            record = catalog.accounts.get(account)
            if record is None or not record.rate_per_s:
                return None
            found = buckets.compute_allowance(record, self._bounds)
            self._allowances[account] = found
        return found

    def _update_members(self, now: float) -> None:
        if now - self._members_read_at < max(
            MEMBERS_INTERVAL_S, self._known_count * INTERVAL_FOR_MEMBER_S
        ):
            return
        self._members_read_at = now
        members = list(self._list_members())
        self._known_count = max(1, len(members))
        self._share = coordinators.compute_share(
            (member.failure_domain, member.reachable) for member in members
        )
        self._choice.update(
            member.node_id for member in members if member.reachable
        )
        for node_id in list(self._contacts):
            if node_id not in self._choice.coordinators:
                del self._contacts[node_id]

    def _forget_unused(self, now: float) -> None:
        self._ledger.forget_unused(now)
        self._clients = {
            node_id: seen_at
            for node_id, seen_at in self._clients.items()
            if now - seen_at < CLIENT_MEMORY_S
        }


def _encode_limits(
    number: int, limits: list[tuple[ids.AccountName, quotas.Limit]]
) -> frames.Frame:
    return [
        frames.FrameType.ALLOWANCE_LIMITS,
        number,
        [
            [account, limit.fraction, limit.retry_after_s, limit.spread_s]
            for account, limit in limits
        ],
    ]


def _decode_limit(
    fields: list[Any],
) -> tuple[ids.AccountName, quotas.Limit]:
    account, *values = fields
    fraction, retry_after_s, spread_s = (float(value) for value in values)
    if not (
        0.0 <= fraction <= 1.0
        and 0.0 <= retry_after_s <= quotas.MAX_RETRY_AFTER_S
        and 0.0 <= spread_s <= quotas.MAX_RETRY_AFTER_S
    ):
        raise ValueError("limit of an account is out of range")
    return account, quotas.Limit(fraction, retry_after_s, spread_s)
