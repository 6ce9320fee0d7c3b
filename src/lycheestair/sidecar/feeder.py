"""Distributes store content to the nodes and writes rollout states back."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import math
import random
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import exposure
from lycheestair.sidecar import gossip as gossip_lib
from lycheestair.sidecar import members
from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import store as store_lib
from lycheestair.sidecar import store_search
from lycheestair.sidecar import suspect_records as suspect_records_lib
from lycheestair.sidecar import versions as versions_lib
from lycheestair.sidecar.places import evacuations as evacuations_lib

# Durations of watches. A store that has fallen silent is only detected when a watch
# isn't answered, which must leave time for a new configuration to reach the nodes.
CONFIGURATION_WATCH_S: Final = 1.0
ROLLOUTS_WATCH_S: Final = 1.5
NODES_WATCH_S: Final = 4.0
# A watch that is lost with its connection is renewed after this time, within the
# 5 s in which an evacuation must take effect.
EVACUATIONS_WATCH_S: Final = 4.0
# The store counts as unavailable when the answer to a watch is late by this, or by
# LATENESS_FACTOR times what the previous one was late. The client waits longer.
MIN_LATENESS_S: Final = 0.3
MAX_LATENESS_S: Final = 0.9
LATENESS_FACTOR: Final = 2.0
# A feeder delays sending a change by this time multiplied by its rank, and
# skips nodes that have acknowledged it meanwhile. Longer than a round trip
# between regions, so that acknowledgements arrive in time.
PUBLISH_STAGGER_S: Final = 0.12
# A starting node waits this long for a configuration from its peers before it
# may read the store.
PEER_CONFIGURATION_TIMEOUT_S: Final = 0.4
MIN_RETRY_DELAY_S: Final = 0.2
MAX_RETRY_DELAY_S: Final = 1.5
# A node becomes a feeder after it has ranked as one for this long. Otherwise,
# all nodes would take over in quick succession while the store is unavailable.
TAKEOVER_DELAY_S: Final = 1.0
# Intervals at which a node probes an unavailable store. The shorter one applies
# if the store is unavailable to all nodes and this node ranks among the first.
STORE_PROBE_INTERVAL_S: Final = 1.0
SLOW_STORE_PROBE_INTERVAL_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.1
# A status that the store has refused without its current object is written again
# after this delay: a restored store may lack the rollout.
STATUS_RETRY_DELAY_S: Final = 0.5
# The first feeder removes the record of a node that has been unreachable for
# this long.
REMOVE_UNREACHABLE_AFTER_S: Final = 20.0


class Feeder:
    """Watches the store while this node ranks among the feeders.

    Feeders are the nodes that watch the store on behalf of all nodes.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        kinds: store_lib.ObjectKinds,
        store: store_lib.MetadataStore,
        codec: store_lib.DocumentCodec,
        table: members.MemberTable,
        gossip: gossip_lib.Gossip,
        planner: versions_lib.VersionPlanner,
        suspect_records: suspect_records_lib.SuspectRecords,
        log: event_log.EventLog,
    ):
        self._settings = settings
        self._kinds = kinds
        self._store = store
        self._codec = codec
        self._table = table
        self._gossip = gossip
        self._planner = planner
        self._suspect_records = suspect_records
        self._log = log
        self._record_revisions: dict[str, revisions.Revision] = {}
        # Reachable nodes whose records the store lacks.
        self._unrecorded: set[ids.NodeId] = set()
        # Times before which no status of a service's rollout is written again.
        self._status_retry_at: dict[ids.ServiceName, float] = {}
        self._unreachable_since: dict[ids.NodeId, float] = {}
        self._stored_evacuations = evacuations_lib.StoredEvacuations()
        # Done when the store is lost; replaced then.
        self._store_lost: asyncio.Future[Any] | None = None
        # Revision up to which each kind has been read.
        self._read_revisions: dict[str, revisions.Revision] = {}
        self._active = False
        # Set while this node acts as a feeder.
        self._activated = asyncio.Event()
        self._eligible_since = math.inf
        self._store_probed_at = 0.0
        self._search = store_search.StoreSearch(random.Random())
        self._probe: asyncio.Task[None] | None = None
        # Whether to find out at once if this node can become a feeder.
        self._probe_requested = False
        # How late the store answered the latest watch.
        self._lateness_s = 0.0
        gossip.on_feeder_lost_store = self._search.request

    async def run(self) -> None:
        """Registers this node, then runs the feeder tasks until cancelled."""
        await self._retry_until_available(self._register)
        kinds = self._kinds
        async with asyncio.TaskGroup() as group:
            for work in (
                lambda: self._watch(
                    kinds.configuration,
                    CONFIGURATION_WATCH_S,
                    self._apply_catalogs,
                    self._apply_catalogs,
                ),
                lambda: self._watch(
                    kinds.rollouts,
                    ROLLOUTS_WATCH_S,
                    self._apply_rollouts,
                    self._apply_rollouts,
                ),
                lambda: self._watch(
                    kinds.nodes,
                    NODES_WATCH_S,
                    self._apply_node_records,
                    self._apply_node_listing,
                ),
                *self._list_optional_watches(),
                self._run_role,
                self._run_first_feeder_tasks,
            ):
                group.create_task(self._run_with_restarts(work))

    def _list_optional_watches(self) -> list[Callable[[], Awaitable[None]]]:
        if not self._settings.honours_places:
            return []
        return [
            lambda: self._watch(
                self._kinds.evacuations,
                EVACUATIONS_WATCH_S,
                self._apply_evacuation_changes,
                self._apply_evacuation_listing,
            )
        ]

    async def _run_with_restarts(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Restarts work that has failed; the node serves requests meanwhile."""
        while True:
            try:
                await work()
            except Exception as error:
                self._log.write("feeder task failed", error=repr(error))
            await asyncio.sleep(MAX_RETRY_DELAY_S)

    # Role.

    def _find_feeder_rank(self) -> int | None:
        """Returns the index of this node among the feeders, if any."""
        feeders = self._gossip.list_feeders()
        own = self._table.own
        return feeders.index(own) if own in feeders else None

    def _update_active(self) -> bool:
        """Updates and returns whether this node acts as a feeder."""
        if self._gossip.leaving:
            self._activated.clear()
            return False
        now = clock.read_s()
        active = self._find_feeder_rank() is not None
        if not active:
            self._eligible_since = math.inf
        elif not self._active:
            if self._eligible_since == math.inf:
                self._eligible_since = now
                self._probe_requested = True
            if self._gossip.catalog.generation:
                active = now - self._eligible_since >= TAKEOVER_DELAY_S
        if active != self._active:
            self._active = active
            self._log.write(
                "feeder role acquired" if active else "feeder role released"
            )
        if active:
            self._activated.set()
        else:
            self._activated.clear()
        return active

    async def _run_role(self) -> None:
        """Updates the role of this node, and probes the store for the others.

        The other tasks wait for the role, so that they cost nothing at the
        nodes that are no feeders.
        """
        while True:
            await self._gossip.wait_for_tick()
            active = self._update_active()
            self._begin_search_if_requested()
            if self._probe is not None:
                if not self._probe.done():
                    continue
                probe, self._probe = self._probe, None
                probe.result()
            if self._should_probe_store(active, clock.read_s()):
                # A silent store must not delay the role.
                self._probe = asyncio.get_running_loop().create_task(
                    self._probe_store()
                )

    def _should_probe_store(self, active: bool, now: float) -> bool:
        should_try = self._search.should_try(now, len(self._table))
        if self._search.active and self._gossip.is_store_reached():
            self._search.end()
        if active or self._gossip.leaving:
            return False
        if should_try or self._probe_requested:
            self._probe_requested = False
            return True
        if self._gossip.store_available is not False:
            return False
        interval_s = (
            STORE_PROBE_INTERVAL_S
            if self._gossip.should_probe_store()
            else SLOW_STORE_PROBE_INTERVAL_S
        )
        return (
            now - self._store_probed_at > random.uniform(0.5, 1.0) * interval_s
        )

    def _begin_search_if_requested(self) -> None:
        """Begins a search for nodes that the store serves.

        What other nodes have told of the store is outdated. The feeders notice a
        loss themselves.
        """
        if not self._search.begin_if_requested(clock.read_s()):
            return
        self._gossip.forget_store_reports()
        if not self._active and self._gossip.store_available:
            self._gossip.store_available = None
        if self._probe is not None:
            # The store may not answer it, although it serves this node now.
            self._probe.cancel()
            self._probe = None
        self._log.write("store search begun")

    def _set_store_available(self, answered: bool, error: str = "") -> None:
        if self._gossip.store_available == answered:
            return
        self._gossip.store_available = answered
        if not answered and self._store_lost is not None:
            self._store_lost.set_result(None)
            self._store_lost = None
        self._log.write(
            "store available" if answered else "store unavailable", error=error
        )
        self._gossip.publish_status()

    async def _retry_until_available(
        self, action: Callable[[], Awaitable[None]]
    ) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await action()
                return
            except store_lib.StoreUnavailableError as error:
                self._set_store_available(False, str(error))
            await asyncio.sleep(random.uniform(0.5, 1.0) * delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    # Start.

    async def _register(self) -> None:
        """Writes the record of this node and reads the initial state.

        The configuration comes from peers if they have one, otherwise from the
        store.
        """
        started_at = clock.read_s()
        own = self._table.own.record
        result = await self._store.put(
            self._kinds.nodes, own.node_id, own.encode(), None
        )
        self._gossip.store_latency_ms = int(
            (clock.read_s() - started_at) * 1000
        )
        if isinstance(result, store_lib.Conflict) and result.current:
            current = result.current
            if current.value != own.encode():
                result = await self._store.put(
                    self._kinds.nodes,
                    own.node_id,
                    own.encode(),
                    current.revision,
                )
        self._set_store_available(True)
        # Before a configuration, with which this node serves requests.
        await self._suspect_records.restore()
        listing = await self._store.list(self._kinds.nodes)
        self._apply_node_listing(listing.items)
        if len(self._table) > 1:
            deadline = clock.read_s() + PEER_CONFIGURATION_TIMEOUT_S
            while not self._gossip.catalog.generation:
                if (
                    clock.read_s() > deadline
                    or self._peers_lack_configuration()
                ):
                    break
                await asyncio.sleep(POLL_INTERVAL_S / 4)
        if not self._gossip.catalog.generation and self._update_active():
            # A node with a configuration serves requests. Without the rollout, it
            # would give a new version an even share.
            await self._read_evacuations()
            listing = await self._store.list(self._kinds.rollouts)
            self._apply_rollouts(listing.items)
            listing = await self._store.list(self._kinds.configuration)
            self._apply_catalogs(listing.items)

    def _peers_lack_configuration(self) -> bool:
        """Whether no peer has a configuration, so that waiting is useless.

        Always false far from the store, because there the nodes wait until
        nodes near the store have read the configuration.
        """
        reporting = [
            member
            for member in self._table.list_others()
            if member.reachable and member.status_number >= 0
        ]
        return (
            self._gossip.store_latency_ms <= gossip_lib.REMOTE_STORE_LATENCY_MS
            and bool(reporting)
            and not any(member.generation for member in reporting)
        )

    # Watches.

    async def _watch(
        self,
        kind: str,
        wait_s: float,
        apply_changes: Callable[[list[store_lib.StoredItem]], None],
        apply_listing: Callable[[list[store_lib.StoredItem]], None],
    ) -> None:
        revision: revisions.Revision | None = None
        while True:
            if not self._update_active():
                revision = None
                await self._activated.wait()
                continue
            try:
                if revision is None:
                    listing = await self._await_answer(
                        self._store.list(kind), MAX_LATENESS_S
                    )
                    apply_items = apply_listing
                else:
                    listing = await self._call_watch(kind, revision, wait_s)
                    apply_items = apply_changes
                self._set_store_available(True)
                revision = self._read_revisions[kind] = listing.revision
                apply_items(listing.items)
            except store_lib.HistoryDiscardedError:
                self._log.write("store history discarded", kind=kind)
                revision = None
            except store_lib.StoreUnavailableError as error:
                self._set_store_available(False, str(error))
                revision = None
                await asyncio.sleep(
                    random.uniform(0.5, 1.0) * MIN_RETRY_DELAY_S
                )

    async def _call_watch(
        self, kind: str, revision: revisions.Revision, wait_s: float
    ) -> store_lib.Listing:
        allowed_s = min(
            MAX_LATENESS_S,
            max(MIN_LATENESS_S, LATENESS_FACTOR * self._lateness_s),
        )
        began_at = clock.read_s()
        call = self._store.watch(kind, revision, wait_s)
        if kind == self._kinds.evacuations:
            return await self._await_unless_lost(call)
        listing = await self._await_answer(call, wait_s + allowed_s)
        self._lateness_s = max(0.0, clock.read_s() - began_at - wait_s)
        return listing

    async def _await_unless_lost(
        self, call: Coroutine[Any, Any, store_lib.Listing]
    ) -> store_lib.Listing:
        """Returns the answer to a long watch, which ends when the store is lost.

        The shorter watches notice a silent store. This one would wait on its dead
        connection when the store is back.
        """
        if self._store_lost is None:
            self._store_lost = asyncio.get_running_loop().create_future()
        lost = self._store_lost
        task = asyncio.get_running_loop().create_task(call)
        try:
            await asyncio.wait(
                {task, lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                raise store_lib.StoreUnavailableError("lost during a watch")
            return await task
        finally:
            task.cancel()

    async def _await_answer(
        self,
        call: Coroutine[Any, Any, store_lib.Listing],
        expected_s: float,
    ) -> store_lib.Listing:
        """Returns the answer to a call; the store is unavailable while it is late.

        A silent store is known sooner than the call times out, and a slow one is
        available again when it answers.
        """
        task = asyncio.get_running_loop().create_task(call)
        try:
            await asyncio.wait({task}, timeout=expected_s)
            if not task.done():
                self._set_store_available(False, "answer is late")
            return await task
        finally:
            task.cancel()

    async def _probe_store(self) -> None:
        """Checks whether this node can use the store."""
        self._store_probed_at = clock.read_s()
        try:
            if not self._gossip.catalog.generation:
                await self._read_evacuations()
            listing = await self._await_answer(
                self._store.list(self._kinds.configuration), MAX_LATENESS_S
            )
        except store_lib.StoreUnavailableError as error:
            self._set_store_available(False, str(error))
            return
        self._set_store_available(True)
        self._apply_catalogs(listing.items)

    def _apply_catalogs(self, items: list[store_lib.StoredItem]) -> None:
        for item in items:
            if item.deleted:
                continue
            try:
                catalog = self._codec.decode_catalog(item)
            except store_lib.DocumentError as error:
                self._log.write(
                    "invalid configuration document ignored", error=str(error)
                )
                continue
            if self._gossip.replica.activate(catalog):
                for rejection in catalog.rejections:
                    self._log.write("client account left out", reason=rejection)
                asyncio.get_running_loop().call_later(
                    PUBLISH_STAGGER_S * (self._find_feeder_rank() or 0),
                    self._gossip.replica.publish,
                )

    def _apply_rollouts(self, items: list[store_lib.StoredItem]) -> None:
        changed = False
        for item in items:
            if item.deleted:
                continue
            try:
                rollout = self._codec.decode_rollout(item)
            except store_lib.DocumentError as error:
                self._log.write(
                    "invalid rollout document ignored", error=str(error)
                )
                continue
            changed |= self._gossip.apply_rollout(
                rollout_lib.RolloutReport(rollout, 0.0)
            )
        if changed:
            self._gossip.publish_rollouts()

    async def _read_evacuations(self) -> None:
        if not self._settings.honours_places:
            return
        kind = self._kinds.evacuations
        listing = await self._store.list(kind)
        self._read_revisions[kind] = listing.revision
        self._apply_evacuation_listing(listing.items)

    def _apply_evacuation_changes(
        self, items: list[store_lib.StoredItem]
    ) -> None:
        self._gossip.evacuations.apply_from_store(
            self._stored_evacuations.apply(
                items, self._read_revisions[self._kinds.evacuations]
            )
        )

    def _apply_evacuation_listing(
        self, items: list[store_lib.StoredItem]
    ) -> None:
        self._gossip.evacuations.apply_from_store(
            self._stored_evacuations.replace(
                items, self._read_revisions[self._kinds.evacuations]
            )
        )

    def _apply_node_listing(self, items: list[store_lib.StoredItem]) -> None:
        """Applies all records; a restored store may lack those of some nodes."""
        self._record_revisions.clear()
        self._suspect_records.forget_written()
        self._apply_node_records(items)
        self._unrecorded = {
            member.record.node_id
            for member in self._table
            if member.reachable
            and member.record.node_id not in self._record_revisions
        }

    def _apply_node_records(self, items: list[store_lib.StoredItem]) -> None:
        records = []
        for item in items:
            if item.deleted:
                self._record_revisions.pop(item.name, None)
                continue
            try:
                records.append(members.decode_record(item.value))
            except ValueError as error:
                self._log.write(
                    "invalid node record ignored",
                    name=item.name,
                    error=str(error),
                )
                continue
            self._record_revisions[item.name] = item.revision
        self._gossip.add_records(records)

    # Tasks of the first feeder.

    async def _run_first_feeder_tasks(self) -> None:
        while True:
            await self._activated.wait()
            await asyncio.sleep(POLL_INTERVAL_S)
            self._track_unreachable()
            if self._gossip.leaving or self._gossip.store_available is not True:
                continue
            if self._find_feeder_rank() != 0:
                continue
            try:
                for report in self._planner.list_rollouts():
                    await self._update_rollout_status(report)
                await self._write_missing_records()
                await self._suspect_records.write_changes()
                await self._remove_stale_records()
            except store_lib.StoreUnavailableError as error:
                self._set_store_available(False, str(error))

    async def _update_rollout_status(
        self, report: rollout_lib.RolloutReport
    ) -> None:
        rollout = report.rollout
        if rollout.state in rollout_lib.FINAL_STATES:
            return
        state = rollout_lib.RolloutState.RUNNING
        if report.decided is not None:
            state = report.decided
        elif report.bad_reason:
            state = rollout_lib.RolloutState.ROLLED_BACK
        elif report.age_s > exposure.compute_completion_s(
            rollout.duration_s
        ) and rollout.target in self._table.list_versions(rollout.service):
            state = rollout_lib.RolloutState.COMPLETED
        now = clock.read_s()
        if state is rollout.state or now < self._status_retry_at.get(
            rollout.service, 0.0
        ):
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
            else "rollout status not written because of a conflict",
            service=rollout.service,
            target=rollout.target,
            state=state.value,
            reason=report.bad_reason,
        )
        if item is None:
            self._status_retry_at[rollout.service] = now + STATUS_RETRY_DELAY_S
        else:
            self._apply_rollouts([item])

    async def _write_missing_records(self) -> None:
        """Writes records that were lost when the store was restored."""
        while self._unrecorded:
            node_id = self._unrecorded.pop()
            member = self._table.find(node_id)
            if member is None or member.leaving or not member.reachable:
                continue
            record = member.record
            result = await self._store.put(
                self._kinds.nodes, node_id, record.encode(), None
            )
            self._log.write(
                "missing node record written",
                peer=node_id,
                conflict=isinstance(result, store_lib.Conflict),
            )

    def _track_unreachable(self) -> None:
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

    async def _remove_stale_records(self) -> None:
        now = clock.read_s()
        for name, revision in list(self._record_revisions.items()):
            node_id = ids.NodeId(name)
            # Members are removed when another node takes over their address.
            address_reassigned = self._table.find(node_id) is None
            unreachable_since = self._unreachable_since.get(node_id, now)
            if (
                not address_reassigned
                and now - unreachable_since < REMOVE_UNREACHABLE_AFTER_S
            ):
                continue
            # A watch may have reported that the record was deleted while this
            # task was waiting for an earlier delete call.
            if self._record_revisions.pop(name, None) is None:
                continue
            await self._store.delete(self._kinds.nodes, name, revision)
            departures = await self._store.get(self._kinds.departures, name)
            if departures is not None:
                await self._store.delete(
                    self._kinds.departures, name, departures.revision
                )
            self._gossip.remove_member(node_id)
            self._log.write("stale node record removed", peer=name)
