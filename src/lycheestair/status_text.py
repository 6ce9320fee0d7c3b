"""Text formatting of the replies to operators."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import itertools
from typing import Final

from lycheestair import operator_pb2

# Longer lists of nodes are truncated; `--json` prints all received entries.
MAX_SHOWN_ENTRIES: Final = 20


def format_status(reply: operator_pb2.StatusReply) -> Iterator[str]:
    """Yields the lines of a status reply."""
    yield (
        f"node {reply.node_id} in {reply.failure_domain} ({reply.region}),"
        f" generation {reply.generation} in force,"
        f" newest known {reply.newest_generation}"
    )
    yield f"contact: {_format_contact(reply.contact)}"
    yield "notes:"
    yield from (
        f"  {note.note_id}: generation {note.generation},"
        f" {'in force' if note.in_force else 'not yet in force'}"
        f" at {note.nodes_in_force} of {note.node_count} nodes"
        for note in reply.notes
    )
    yield (
        f"nodes: {reply.node_count} known, {reply.alive_count} answer,"
        f" {reply.lagging_count} lag, {reply.unreachable_count} can't be"
        " reached"
    )
    yield from _truncate(
        (f"  lags: {_format_node(node)}" for node in reply.lagging),
        reply.lagging_count,
    )
    yield from _truncate(
        (f"  unreachable: {_format_node(node)}" for node in reply.unreachable),
        reply.unreachable_count,
    )
    yield "endpoints:"
    yield from (
        f"  {entry.service}/{entry.version}: {entry.endpoints} {entry.state},"
        f" {entry.slots} slots"
        for entry in reply.endpoints
    )
    yield "moves:"
    yield from (f"  {format_move(move)}" for move in reply.moves)


def _format_contact(contact: operator_pb2.Contact) -> str:
    parts = ["store answers" if contact.store else "store does not answer"]
    if contact.isolated:
        parts.append("failure domain is cut off from all others")
    elif contact.missing_domains:
        parts.append(f"no node answers in {', '.join(contact.missing_domains)}")
    else:
        parts.append("nodes answer in all failure domains")
    return ", ".join(parts)


def _format_node(node: operator_pb2.NodeStatus) -> str:
    return (
        f"{node.node_id} at {node.control} in {node.failure_domain},"
        f" {node.state}, generation {node.generation}"
    )


def format_move(move: operator_pb2.MoveStatus) -> str:
    """Returns a line that describes a move."""
    scope = f"{move.service}{' route ' + move.route if move.route else ''}"
    summary = (
        f"{move.move_id}: {scope} from {move.from_version} to"
        f" {move.to_version}: {move.state.replace('_', ' ')}"
    )
    return f"{summary}, {', '.join(_describe_move(move))}"


def _describe_move(move: operator_pb2.MoveStatus) -> Iterator[str]:
    if move.state in ("pending", "moving", "watching"):
        yield (f"share {move.share_bps / 100:g}% of {move.target_bps / 100:g}%")
        if move.HasField("next_step"):
            yield (
                f"next step to {move.next_step.share_bps / 100:g}% by"
                f" {format_time(move.next_step.latest)} at the latest"
            )
        if move.waits_for:
            yield f"waits for {move.waits_for}"
        yield f"deadline {format_time(move.deadline)}"
        return
    yield f"at {format_time(move.changed_at)}"
    if move.reason:
        yield f"because {move.reason}"
    if move.state == "taken_back":
        yield f"{move.bad_calls} calls answered by {move.to_version}"


def format_history(reply: operator_pb2.ListNotesReply) -> Iterator[str]:
    """Yields one line for each note, newest first."""
    for note in reply.notes:
        yield (
            f"{note.note_id}: generation {note.generation or 'unknown'},"
            f" accepted {format_time(note.accepted_at)}"
        )
    if reply.more:
        yield "and earlier ones; see --limit"


def format_suspects(reply: operator_pb2.ListSuspectsReply) -> Iterator[str]:
    """Yields one line for each suspect."""
    for suspect in reply.suspects:
        yield (
            f"{suspect.fingerprint}: {suspect.method} on {suspect.route},"
            f" {suspect.crashes} crashes,"
            f" {'refused' if suspect.refused else 'still allowed'}, expires"
            f" {format_time(suspect.expires_at)}"
        )


def format_time(at: float) -> str:
    """Returns a Unix time in ISO 8601 format, in UTC with whole seconds."""
    if not at:
        return "unknown"
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.isoformat(timespec="seconds").replace("+00:00", "Z")


def _truncate(lines: Iterable[str], total: int) -> Iterator[str]:
    yield from itertools.islice(lines, MAX_SHOWN_ENTRIES)
    if total > MAX_SHOWN_ENTRIES:
        yield f"  and {total - MAX_SHOWN_ENTRIES} more"


def format_explanation(reply: operator_pb2.ExplainReply) -> Iterator[str]:
    """Yields the lines that explain where a request would be sent."""
    yield f"node {reply.node_id}, generation {reply.generation} in force"
    if reply.route:
        repeatable = "idempotent" if reply.idempotent else "not idempotent"
        yield (
            f"route {reply.route}: service {reply.service}, {repeatable},"
            f" timeout {reply.timeout_ms} ms, {reply.retry_limit} retries"
        )
    if reply.suspect:
        yield "suspected of crashing backend servers: runs alone"
    for version in reply.versions:
        yield f"version {version.version}: {_format_share(version)}"
        yield from (
            f"  {'->' if endpoint.candidate else '  '} {endpoint.node_id}:"
            f" {endpoint.distance}, {endpoint.availability},"
            f" {endpoint.load:.2f} requests per slot of {endpoint.slots}"
            for endpoint in version.endpoints
        )
        if not version.endpoints:
            yield "     no backend server serves it; other versions are used"
    if reply.refused_status:
        yield f"refused: {reply.refused_status} {reply.refused_reason}"


def _format_share(version: operator_pb2.VersionChoice) -> str:
    share = f"{version.limited_share_bps / 100:g}% of the requests"
    if version.limited_share_bps != version.share_bps:
        share += f" ({version.share_bps / 100:g}% without the node's caps)"
    if version.probe_of:
        share += f", the next one as a probe of move {version.probe_of}"
    return share
