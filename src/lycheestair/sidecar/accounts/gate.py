"""Admits the requests of client accounts at an entry node."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

from lycheestair import errors
from lycheestair import ids
from lycheestair.sidecar import backend
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import gossip as gossip_lib
from lycheestair.sidecar import http1
from lycheestair.sidecar import members
from lycheestair.sidecar import metrics
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar.accounts import allowances
from lycheestair.sidecar.accounts import authentication
from lycheestair.sidecar.accounts import freshness


class AccountGate:
    """Connects the decisions about accounts to the node.

    Does nothing in deployments without accounts.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        headers: backend.HeaderNames,
        table: members.MemberTable,
        gossip: gossip_lib.Gossip,
        log: event_log.EventLog,
        node_metrics: metrics.Metrics,
    ):
        self._bounds = settings.bounds
        self._table = table
        self._gossip = gossip
        self._log = log
        self._authenticator = authentication.Authenticator(headers, gossip)
        self._freshness = freshness.KeyFreshness(settings.bounds.revocation_s)
        # Whether the keys were relied on at the latest tick.
        self._are_keys_fresh = True
        self._allowances = allowances.Allowances(
            settings.node_id,
            settings.bounds,
            lambda: gossip.catalog,
            self._list_members,
            self._send,
            _schedule,
        )
        self._allowances.on_limit_change = self._log_limit_change
        gossip.on_tick = self._tick
        gossip.on_account_frame = self._handle_frame
        for name, read_value in {
            "accounts": lambda: len(gossip.catalog.accounts),
            "accounts_limited": lambda: self._allowances.count_limited(
                clock.read_s()
            ),
            "allowance_refusals": lambda: self._allowances.refused,
        }.items():
            node_metrics.add_gauge(name, read_value)

    def hides(self, header_name: bytes) -> bool:
        """Returns whether servers must not get a header of a request."""
        return self._authenticator.hides(header_name)

    def identify(
        self,
        call: calls.Call,
        request: http1.Request,
        route: catalog_lib.Route,
    ) -> calls.Refusal | None:
        """Sets the account and the priority of a client's call.

        Returns:
          A refusal if the request needs a key and has no valid one.
        """
        refusal = self._authenticator.identify(call, request, route)
        if (
            refusal is None
            and self._bounds.fails_closed
            and self._gossip.catalog.requires_keys
            and not route.is_public
            and self._freshness.is_lost(clock.read_s())
        ):
            return calls.Refusal(
                errors.ErrorKind.NOT_READY,
                "keys may have been removed meanwhile",
            )
        return refusal

    def refuse_excess(self, call: calls.Call) -> calls.Refusal | None:
        """Counts a call; returns a refusal if it exceeds its allowance."""
        if not call.account:
            return None
        retry_after_s = self._allowances.admit(call.account, clock.read_s())
        if retry_after_s is None:
            return None
        return calls.Refusal(
            errors.ErrorKind.OVER_ALLOWANCE,
            f"account {call.account}",
            retry_after_s=retry_after_s,
        )

    def charge_retry(self, call: calls.Call) -> None:
        """Counts a call that is sent to another server after it reached one."""
        if call.account:
            self._allowances.charge(call.account)

    def settle(self, call: calls.Call, outcome: calls.Outcome) -> None:
        """Takes back the count of a call that has reached no server."""
        if (
            call.account
            and isinstance(outcome, calls.Refusal)
            and outcome.not_executed
            and not outcome.reached
        ):
            self._allowances.give_back(call.account)

    # Exchange with other nodes.

    def _tick(self, now: float) -> None:
        if self._bounds.fails_closed:
            self._check_freshness(now)
        self._allowances.tick(now)

    def _check_freshness(self, now: float) -> None:
        self._freshness.note(self._gossip.is_store_reached(), now)
        are_keys_fresh = not self._freshness.is_lost(now)
        if are_keys_fresh != self._are_keys_fresh:
            self._are_keys_fresh = are_keys_fresh
            self._log.write(
                "keys are relied on again"
                if are_keys_fresh
                else "keys are not relied on"
            )

    def _handle_frame(
        self, member: members.Member, frame: frames.Frame
    ) -> None:
        self._allowances.handle(member.record.node_id, frame, clock.read_s())

    def _send(self, node_id: ids.NodeId, frame: frames.Frame) -> bool:
        link = self._gossip.find_link(node_id)
        if link is None:
            return False
        link.request_connection()
        return link.protocol_version >= frames.ACCOUNT_VERSION and link.send(
            frame
        )

    def _list_members(self) -> Iterator[allowances.KnownMember]:
        for member in self._table:
            if not member.leaving:
                yield allowances.KnownMember(
                    member.record.node_id,
                    member.record.failure_domain,
                    member.reachable,
                )

    def _log_limit_change(
        self, account: ids.AccountName, is_limited: bool
    ) -> None:
        self._log.write(
            "account reached its allowance"
            if is_limited
            else "account is within its allowance",
            account=account,
        )


def _schedule(delay_s: float, call: Callable[[float], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, lambda: call(clock.read_s()))
