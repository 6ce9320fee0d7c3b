"""Caps on the shares of versions, set by guards and passed on by nodes."""

import dataclasses

from lycheestair import evidence_pb2
from lycheestair import ids
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib


@dataclasses.dataclass(frozen=True)
class Cap:
    """Maximum share of a version, set by the guard of one node.

    Attributes:
      cap_bps: Maximum share in basis points. 0 stops the version, higher values
        leave the old version traffic for a comparison.
      review: Value of Move.review when the cap was set. The controller
        increments it at the end of each comparison.
      origin: Node that set the cap.
    """

    move_id: ids.MoveId
    service: ids.ServiceName
    version: ids.VersionName
    cap_bps: int
    review: int
    origin: ids.NodeId
    reason: str


def is_superseded(cap: Cap, snapshot: snapshot_lib.Snapshot) -> bool:
    """Whether a decision of the controller on the move supersedes the cap.

    A cap is superseded by the end of the move or by a later review. A move that
    is missing in the snapshot counts as ended; the caller has to rule out that
    the move is newer than the snapshot.
    """
    move = snapshot.move(cap.move_id)
    if move is None:
        return True
    return (
        move.state not in resources.RUNNING_MOVE_STATES
        or move.review > cap.review
    )


def encode_cap(cap: Cap) -> evidence_pb2.CapNotice:
    """Encodes a cap as a message."""
    return evidence_pb2.CapNotice(**dataclasses.asdict(cap))


def decode_cap(message: evidence_pb2.CapNotice) -> Cap:
    """Decodes a cap."""
    return Cap(
        ids.MoveId(message.move_id),
        ids.ServiceName(message.service),
        ids.VersionName(message.version),
        message.cap_bps,
        message.review,
        ids.NodeId(message.origin),
        message.reason,
    )
