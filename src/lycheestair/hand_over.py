"""Encoding of key records for the hand-over from one voter to another."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
from typing import Final

from lycheestair import key_records
from lycheestair import keys_pb2

RECORDS_PER_CHUNK: Final = 2_000


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Reply of a voter to a seal request.

    Attributes:
      sealed: Whether claims of earlier epochs are refused from now on.
      active_epoch: Latest epoch in which the voter held all records.
      records: Keys and records; once decoded, grant times are on the receiver's
        clock.
    """

    sealed: bool
    active_epoch: int
    records: tuple[tuple[bytes, key_records.Record], ...]


def encode(reply: HandOver, now: float) -> Iterator[keys_pb2.SealChunk]:
    """Encodes a hand-over in chunks, with ages instead of grant times."""
    header = keys_pb2.SealChunk(
        sealed=reply.sealed, active_epoch=reply.active_epoch
    )
    yield header
    records = iter(reply.records)
    while batch := tuple(itertools.islice(records, RECORDS_PER_CHUNK)):
        yield keys_pb2.SealChunk(
            records=[
                keys_pb2.Record(
                    key=key,
                    claim_id=record.claim_id,
                    fingerprint=record.fingerprint,
                    state=record.state,
                    age_ms=max(0, int((now - record.granted_at) * 1000)),
                    run_ms=round(record.request_timeout_s * 1000),
                )
                for key, record in batch
            ]
        )


def decode(
    chunks: Iterable[keys_pb2.SealChunk], clock: Callable[[], float]
) -> HandOver:
    """Decodes a hand-over.

    Decoded grant times are late rather than early: the duration of the transfer
    is not subtracted, and ages are rounded down.
    """
    sealed, active_epoch = False, 0
    records: list[tuple[bytes, key_records.Record]] = []
    for chunk in chunks:
        now = clock()
        sealed = sealed or chunk.sealed
        active_epoch = max(active_epoch, chunk.active_epoch)
        records.extend(
            (
                encoded.key,
                key_records.Record(
                    encoded.claim_id,
                    encoded.fingerprint,
                    now - encoded.age_ms / 1000,
                    encoded.run_ms / 1000,
                    encoded.state,
                ),
            )
            for encoded in chunk.records
        )
    return HandOver(sealed, active_epoch, tuple(records))
