"""Builds the replies to operators' queries about the fleet."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Final

import pydantic

from lycheestair import acceptance
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import note_records
from lycheestair import operator_pb2
from lycheestair import planner
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib

FINISHED_MOVE_KIND: Final = "moves"
# Limits each list of a reply, which must fit into a gRPC message.
MAX_LIST_ENTRIES: Final = 500
# 200 notes of ordinary size stay under the gRPC message limit of 4 MB.
MAX_NOTES: Final = 200

_MOVE_ADAPTER: Final = pydantic.TypeAdapter(resources.Move)


@dataclasses.dataclass(frozen=True)
class FleetView:
    """State of the fleet as seen by one node.

    Attributes:
      snapshot: Active snapshot of the node.
      head: Head in the store, None if it could not be read.
    """

    settings: settings_lib.Settings
    snapshot: snapshot_lib.Snapshot
    members: Mapping[ids.NodeId, members_lib.Member]
    head: acceptance.Head | None

    @property
    def newest_generation(self) -> int:
        """Newest generation in the store, at this node or at another member."""
        return max(
            self.snapshot.generation,
            self.head.generation if self.head else 0,
            *(member.generation for member in self.members.values()),
            0,
        )


def build_status(view: FleetView, limit: int) -> operator_pb2.StatusReply:
    """Builds the reply to a status request.

    Args:
      view: State of the fleet.
      limit: Maximum entries of each list, 0 for MAX_LIST_ENTRIES.
    """
    limit = min(limit or MAX_LIST_ENTRIES, MAX_LIST_ENTRIES)
    members = [
        member
        for _, member in sorted(view.members.items())
        if member.state is not members_lib.MemberState.LEFT
    ]
    alive = [m for m in members if m.state is members_lib.MemberState.ALIVE]
    lagging = [m for m in alive if m.generation < view.newest_generation]
    unreachable = [
        m for m in members if m.state is not members_lib.MemberState.ALIVE
    ]
    return operator_pb2.StatusReply(
        node_id=view.settings.node.id,
        region=view.settings.node.region,
        failure_domain=view.settings.node.failure_domain,
        generation=view.snapshot.generation,
        newest_generation=view.newest_generation,
        contact=_build_contact(view, alive),
        notes=[
            _build_note(note_id, generation, members)
            for note_id, generation in reversed(list_recent_notes(view))
        ],
        node_count=len(members),
        alive_count=len(alive),
        lagging_count=len(lagging),
        unreachable_count=len(unreachable),
        lagging=[_build_node(member) for member in lagging[:limit]],
        unreachable=[_build_node(member) for member in unreachable[:limit]],
        nodes=[_build_node(member) for member in members[:limit]],
        endpoints=list(_build_endpoint_counts(alive)),
        moves=[
            build_move(move, view.settings.moves)
            for move in itertools.islice(
                view.snapshot.select(resources.Move), limit
            )
        ],
    )


def list_recent_notes(
    view: FleetView,
) -> list[tuple[ids.NoteId, ids.Generation]]:
    """Returns the notes in the head's tail, oldest first.

    If the tail does not contain the node's active note, this note is listed
    first with the node's current generation.
    """
    tail = view.head.tail if view.head else ()
    generations_by_note = {
        note_id: generation
        for note_id in dict.fromkeys(delta.note_id for delta in tail)
        if view.head
        and (
            generation := acceptance.find_accepted_generation(
                view.head, note_id
            )
        )
    }
    current = view.snapshot
    if current.note_id and current.note_id not in generations_by_note:
        return [
            (current.note_id, current.generation),
            *generations_by_note.items(),
        ]
    return list(generations_by_note.items())


def _build_note(
    note_id: ids.NoteId,
    generation: ids.Generation,
    members: Sequence[members_lib.Member],
) -> operator_pb2.NoteStatus:
    return operator_pb2.NoteStatus(
        note_id=note_id,
        generation=generation,
        nodes_in_force=sum(m.generation >= generation for m in members),
        node_count=len(members),
        in_force=all(
            m.generation >= generation
            for m in members
            if m.state is members_lib.MemberState.ALIVE
        ),
    )


def _build_contact(
    view: FleetView, alive: Sequence[members_lib.Member]
) -> operator_pb2.Contact:
    """Builds the reachability of the store and of all failure domains."""
    own_domain = view.settings.node.failure_domain
    reached = {str(member.failure_domain) for member in alive} | {own_domain}
    domains = view.settings.topology.keys()
    return operator_pb2.Contact(
        store=view.head is not None,
        missing_domains=sorted(domains - reached),
        isolated=len(domains) > 1 and not reached & (domains - {own_domain}),
    )


def _build_node(member: members_lib.Member) -> operator_pb2.NodeStatus:
    status = operator_pb2.NodeStatus(
        node_id=member.node_id,
        region=member.region,
        failure_domain=member.failure_domain,
        control=member.control,
        state=member.state.value,
        generation=member.generation,
    )
    if member.endpoint is not None:
        status.service = member.endpoint.service
        status.version = member.endpoint.version
        status.endpoint_state = member.endpoint.state.value
        status.slots = member.endpoint.slots
    return status


def _build_endpoint_counts(
    alive: Iterable[members_lib.Member],
) -> Iterable[operator_pb2.EndpointCount]:
    endpoints = sorted(
        (e.service, e.version, e.state.value, e.slots)
        for e in (member.endpoint for member in alive)
        if e is not None
    )
    for key, group in itertools.groupby(endpoints, key=lambda item: item[:3]):
        slots = [item[3] for item in group]
        yield operator_pb2.EndpointCount(
            service=key[0],
            version=key[1],
            state=key[2],
            endpoints=len(slots),
            slots=sum(slots),
        )


def find_next_step(
    move: resources.Move, settings: settings_lib.MoveSettings
) -> operator_pb2.NextStep | None:
    """Returns the next planned step of a move, None if there is none."""
    if move.state not in resources.RUNNING_MOVE_STATES:
        return None
    plan = planner.plan_move(move, settings)
    for share, latest in zip(plan.shares, plan.latest, strict=True):
        if share > move.share_bps:
            return operator_pb2.NextStep(share_bps=share, latest=latest)
    return None


def build_move(
    move: resources.Move, settings: settings_lib.MoveSettings
) -> operator_pb2.MoveStatus:
    """Builds the status of a move."""
    return operator_pb2.MoveStatus(
        move_id=move.id,
        note_id=move.note_id,
        service=move.service,
        route=move.route,
        from_version=move.from_version,
        to_version=move.to_version,
        state=move.state.value,
        share_bps=move.share_bps,
        target_bps=move.target_bps,
        deadline=move.deadline,
        created_at=move.created_at,
        changed_at=move.changed_at,
        next_step=find_next_step(move, settings),
        waits_for=move.waits_for,
        reason=move.reason,
        bad_calls=move.bad_calls,
    )


def find_move(
    snapshot: snapshot_lib.Snapshot,
    store: store_lib.Store,
    move_id: ids.MoveId,
) -> resources.Move | None:
    """Finds a move in the snapshot, or a finished move in the store.

    Raises:
      StoreUnavailableError: The move is not in the snapshot, and the store
        did not respond.
      StoredConfigurationError: The stored move can't be decoded.
    """
    move = snapshot.move(move_id)
    if move is not None:
        return move
    stored = store.get(FINISHED_MOVE_KIND, move_id)
    if stored is None:
        return None
    try:
        return _MOVE_ADAPTER.validate_python(stored.value)
    except pydantic.ValidationError as error:
        raise acceptance.StoredConfigurationError(
            f"move {move_id} can't be decoded"
        ) from error


def list_notes(
    store: store_lib.Store, limit: int
) -> operator_pb2.ListNotesReply:
    """Reads the newest notes from the store, with one read per note.

    Args:
      store: Store that holds the notes.
      limit: Maximum number of notes, 0 for MAX_NOTES.

    Raises:
      StoreUnavailableError: The store did not respond.
      StoredConfigurationError: The stored configuration can't be decoded.
    """
    head = acceptance.read_head(store)
    records = note_records.NoteRecords(store)
    note_id = head.tail[-1].note_id if head.tail else head.base_note_id
    reply = operator_pb2.ListNotesReply()
    listed: set[ids.NoteId] = set()
    while note_id and note_id not in listed:
        if len(listed) == min(limit or MAX_NOTES, MAX_NOTES):
            reply.more = True
            break
        listed.add(note_id)
        record = records.find(note_id)
        if record is None:
            break
        # A record has no generation if the node that accepted the note stopped
        # before it completed the record.
        generation, note_id = acceptance.find_note_in_tail(head, note_id) or (
            record.generation,
            record.previous,
        )
        reply.notes.add(
            note_id=record.note_id,
            generation=generation,
            accepted_at=record.accepted_at or record.reserved_at,
            text=record.text,
        )
    return reply
