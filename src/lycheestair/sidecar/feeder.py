"""Brings the store's content to the nodes, and rollout states to the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import gossip as gossip_lib
from lycheestair.sidecar import journal
from lycheestair.sidecar import members
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import store as store_lib
from lycheestair.sidecar import versions as versions_lib

# A connection that falls silent is only noticed when a watch ends, which has
# to be within the time for a new configuration.
WATCH_S: Final = 1.5
NODES_WATCH_S: Final = 4.0
# Each feeder after the first one waits this much longer before it sends a
# change to those that have not got it: a round trip between regions and more.
PUBLISH_STEP_S: Final = 0.12
# A starting node waits this long for a configuration from its peers.
PEERS_FIRST_S: Final = 0.4
RETRY_MIN_S: Final = 0.2
RETRY_MAX_S: Final = 1.5
# A node becomes a feeder if it has been due for this long: while the store is
# down for all, the turn would else pass through the whole fleet at once.
TAKEOVER_S: Final = 1.0
# A node that the store has refused asks again after this time while no node
# is served, if it is among the first ones; otherwise after the longer time.
RECHECK_S: Final = 1.0
SLOW_RECHECK_S: Final = 10.0
POLL_S: Final = 0.1
# The record of a node that nobody reaches is removed after this time.
REMOVE_AFTER_S: Final = 20.0


class Feeder:
    """Watches the store while this node is one of those that should."""

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        kinds: store_lib.Kinds,
        store: store_lib.MetadataStore,
        codec: store_lib.DocumentCodec,
        table: members.MemberTable,
        gossip: gossip_lib.Gossip,
        planner: versions_lib.VersionPlanner,
        log: journal.Journal,
    ):
        self._settings = settings
        self._kinds = kinds
        self._store = store
        self._codec = codec
        self._table = table
        self._gossip = gossip
        self._planner = planner
        self._log = log
        self._record_revisions: dict[str, int] = {}
        self._unreachable_since: dict[ids.NodeId, float] = {}
        self._active = False
        self._due_since = math.inf
        self._checked_at = 0.0

    async def run(self) -> None:
        """Joins, then feeds while it is this node's turn."""
        await self._retry(self._register)
        kinds = self._kinds
        async with asyncio.TaskGroup() as group:
            for work in (
                lambda: self._watch(
                    kinds.configuration, WATCH_S, self._take_catalogs
                ),
                lambda: self._watch(
                    kinds.rollouts, WATCH_S, self._take_rollouts
                ),
                lambda: self._watch(
                    kinds.nodes, NODES_WATCH_S, self._take_nodes
                ),
                self._control,
            ):
                group.create_task(self._repeat(work))

    async def _repeat(self, work: Callable[[], Awaitable[None]]) -> None:
        """Starts work anew that has failed; a node serves without it."""
        while True:
            try:
                await work()
            except Exception as error:
                self._log.write("feeder task failed", error=repr(error))
            await asyncio.sleep(RETRY_MAX_S)

    # Turns.

    def _rank(self) -> int | None:
        """Returns the place of this node among the feeders."""
        feeders = self._gossip.list_feeders()
        own = self._table.own
        return feeders.index(own) if own in feeders else None

    def _is_turn(self) -> bool:
        if self._gossip.leaving:
            return False
        now = clock.read_s()
        turn = self._rank() is not None
        if not turn:
            self._due_since = math.inf
        elif not self._active:
            self._due_since = min(self._due_since, now)
            if self._gossip.catalog.generation:
                turn = now - self._due_since >= TAKEOVER_S
        if turn != self._active:
            self._active = turn
            self._log.write("feeder starts" if turn else "feeder ends")
        return turn

    def _set_store_ok(self, answered: bool, error: str = "") -> None:
        if self._gossip.store_ok == answered:
            return
        self._gossip.store_ok = answered
        self._log.write(
            "store answers" if answered else "store lost", error=error
        )
        self._gossip.publish_status()

    async def _retry(self, action: Callable[[], Awaitable[None]]) -> None:
        pause_s = RETRY_MIN_S
        while True:
            try:
                await action()
                return
            except store_lib.StoreUnavailableError as error:
                self._set_store_ok(False, str(error))
            await asyncio.sleep(random.uniform(0.5, 1.0) * pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)

    # Start.

    async def _register(self) -> None:
        """Writes the own record and learns those of the others."""
        started = clock.read_s()
        own = self._table.own.record
        result = await self._store.put(
            self._kinds.nodes, own.node_id, own.encode(), 0
        )
        self._gossip.store_ms = int((clock.read_s() - started) * 1000)
        if isinstance(result, store_lib.Conflict) and result.current:
            current = result.current
            if current.value != own.encode():
                result = await self._store.put(
                    self._kinds.nodes,
                    own.node_id,
                    own.encode(),
                    current.revision,
                )
        self._set_store_ok(True)
        listing = await self._store.list(self._kinds.nodes)
        self._take_nodes(listing.items)
        if len(self._table) > 1:
            limit = clock.read_s() + PEERS_FIRST_S
            while not self._gossip.catalog.generation:
                if clock.read_s() > limit or self._peers_lack_configuration():
                    break
                await asyncio.sleep(POLL_S / 4)
        if not self._gossip.catalog.generation and self._is_turn():
            listing = await self._store.list(self._kinds.configuration)
            self._take_catalogs(listing.items)
            listing = await self._store.list(self._kinds.rollouts)
            self._take_rollouts(listing.items)

    def _peers_lack_configuration(self) -> bool:
        """Whether all nodes have started anew, as far as peers tell.

        Nodes far from the store leave it to the near ones to read it.
        """
        heard = [
            member
            for member in self._table.list_others()
            if member.reachable and member.status_number >= 0
        ]
        return (
            self._gossip.store_ms <= gossip_lib.FAR_STORE_MS
            and bool(heard)
            and not any(member.generation for member in heard)
        )

    # Watches.

    async def _watch(
        self,
        kind: str,
        wait_s: float,
        take: Callable[[list[store_lib.StoredItem]], None],
    ) -> None:
        revision = 0
        while True:
            if not self._is_turn():
                revision = 0
                await asyncio.sleep(POLL_S)
                if (
                    kind == self._kinds.configuration
                    and self._gossip.store_ok is False
                ):
                    await self._recheck_due()
                continue
            try:
                if revision:
                    listing = await self._store.watch(kind, revision, wait_s)
                else:
                    listing = await self._store.list(kind)
                self._set_store_ok(True)
                revision = listing.revision
                take(listing.items)
            except store_lib.HistoryLostError:
                self._log.write("store history lost", kind=kind)
                revision = 0
            except store_lib.StoreUnavailableError as error:
                self._set_store_ok(False, str(error))
                revision = 0
                await asyncio.sleep(random.uniform(0.5, 1.0) * RETRY_MIN_S)

    async def _recheck_due(self) -> None:
        """Asks now and then whether the store serves this node again."""
        interval_s = (
            RECHECK_S if self._gossip.leads_unserved() else SLOW_RECHECK_S
        )
        now = clock.read_s()
        if now - self._checked_at > random.uniform(0.5, 1.0) * interval_s:
            self._checked_at = now
            await self._recheck()

    async def _recheck(self) -> None:
        try:
            listing = await self._store.list(self._kinds.configuration)
        except store_lib.StoreUnavailableError as error:
            self._set_store_ok(False, str(error))
            return
        self._set_store_ok(True)
        self._take_catalogs(listing.items)

    def _take_catalogs(self, items: list[store_lib.StoredItem]) -> None:
        for item in items:
            if item.deleted:
                continue
            try:
                catalog = self._codec.decode_catalog(item)
            except store_lib.DocumentError as error:
                self._log.write("document ignored", error=str(error))
                continue
            if self._gossip.replica.take(catalog):
                asyncio.get_running_loop().call_later(
                    PUBLISH_STEP_S * (self._rank() or 0),
                    self._gossip.replica.publish,
                )

    def _take_rollouts(self, items: list[store_lib.StoredItem]) -> None:
        news = False
        for item in items:
            if item.deleted:
                continue
            try:
                rollout = self._codec.decode_rollout(item)
            except store_lib.DocumentError as error:
                self._log.write("document ignored", error=str(error))
                continue
            news |= self._gossip.take_rollout(rollout, 0.0)
        if news:
            self._gossip.publish_rollouts()

    def _take_nodes(self, items: list[store_lib.StoredItem]) -> None:
        for item in items:
            if item.deleted:
                self._record_revisions.pop(item.name, None)
                continue
            try:
                record = members.decode_record(item.value)
            except ValueError as error:
                self._log.write(
                    "document ignored", name=item.name, error=str(error)
                )
                continue
            self._record_revisions[item.name] = item.revision
            self._gossip.add_record(record)

    # Duties of the first feeder.

    async def _control(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            self._note_unreachable()
            if self._gossip.leaving or self._gossip.store_ok is not True:
                continue
            if self._rank() != 0:
                continue
            try:
                for rollout, age_s in self._planner.list_rollouts():
                    await self._advance(rollout, age_s)
                await self._remove_lost()
            except store_lib.StoreUnavailableError as error:
                self._set_store_ok(False, str(error))

    async def _advance(
        self, rollout: rollout_lib.Rollout, age_s: float
    ) -> None:
        if rollout.state in rollout_lib.FINAL_STATES:
            return
        state = rollout_lib.RolloutState.RUNNING
        if self._planner.read_bad_reason(rollout.service):
            state = rollout_lib.RolloutState.ROLLED_BACK
        elif age_s > versions_lib.find_end_s(
            rollout.duration_s
        ) and rollout.target in self._table.list_versions(rollout.service):
            state = rollout_lib.RolloutState.COMPLETED
        if state is rollout.state:
            return
        result: Any = await self._store.put_status(
            self._kinds.rollouts,
            rollout.service,
            self._codec.encode_rollout_status(rollout.target, state),
            rollout.revision,
        )
        item = (
            result.current if isinstance(result, store_lib.Conflict) else result
        )
        self._log.write(
            "rollout status written"
            if item is result
            else "rollout status conflict",
            service=rollout.service,
            target=rollout.target,
            state=state.value,
            reason=self._planner.read_bad_reason(rollout.service),
        )
        if item is not None:
            self._take_rollouts([item])

    def _note_unreachable(self) -> None:
        now = clock.read_s()
        others = self._table.list_others()
        present = {member.record.node_id for member in others}
        for node_id in self._unreachable_since.keys() - present:
            del self._unreachable_since[node_id]
        for member in others:
            node_id = member.record.node_id
            if member.reachable:
                self._unreachable_since.pop(node_id, None)
            else:
                self._unreachable_since.setdefault(node_id, now)

    async def _remove_lost(self) -> None:
        now = clock.read_s()
        for name, revision in list(self._record_revisions.items()):
            node_id = ids.NodeId(name)
            # Without a member its address has got another owner.
            lost = self._table.find(node_id) is None
            since = self._unreachable_since.get(node_id, now)
            if not lost and now - since < REMOVE_AFTER_S:
                continue
            # The watch may have told of it during the call before.
            if self._record_revisions.pop(name, None) is None:
                continue
            await self._store.delete(self._kinds.nodes, name, revision)
            self._gossip.remove_member(node_id)
            self._log.write("record removed", peer=name)
