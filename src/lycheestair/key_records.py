"""Records of idempotency keys, limited in memory use and retention time."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from lycheestair import keys_pb2

# Longest timeout of a request with a key, relative to the retention time.
MAX_TIMEOUT_RETENTION_RATIO: Final = 0.25
# A record with its table entry takes 293 to 298 bytes (see measure_keys).
ESTIMATED_RECORD_BYTES: Final = 320
# Claim id of a record merged from several claims; none of them can release it.
MERGED_CLAIM_ID: Final = b""
# Covers the delay with which the outcome of a request that ends right before
# its deadline is recorded.
OVERDUE_GRACE_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class Record:
    """State of an idempotency key at a voter.

    Attributes:
      claim_id: Claim that the key was granted to, or MERGED_CLAIM_ID.
      granted_at: Time of the grant in seconds, on the voter's clock.
      request_timeout_s: Time from the grant to the deadline of the request, in
        seconds.
      state: RUNNING, DONE or UNKNOWN.
      answer: Encoded keys_pb2.Answer, empty if not stored.
    """

    claim_id: bytes
    fingerprint: bytes
    granted_at: float
    request_timeout_s: float
    state: keys_pb2.Verdict = keys_pb2.RUNNING
    answer: bytes = b""

    def get_verdict(self, now: float) -> keys_pb2.Verdict:
        """Returns the verdict for another claim of the key."""
        if self.state == keys_pb2.RUNNING and (
            now > self.granted_at + self.request_timeout_s + OVERDUE_GRACE_S
        ):
            return keys_pb2.OVERDUE
        return self.state


def merge(first: Record, second: Record) -> Record:
    """Returns a record that refuses every claim that either record refuses."""
    settled = [r for r in (first, second) if r.state != keys_pb2.RUNNING]
    base = settled[0] if settled else first
    same_claim = first.claim_id == second.claim_id
    return dataclasses.replace(
        base,
        # Either claim may be the one whose request ran. If the other one could
        # release the record, the key would be granted again.
        claim_id=base.claim_id if settled or same_claim else MERGED_CLAIM_ID,
        granted_at=max(first.granted_at, second.granted_at),
        request_timeout_s=max(
            first.request_timeout_s, second.request_timeout_s
        ),
        answer=first.answer or second.answer,
    )


class RecordTable:
    """Records by shard and key. Not thread-safe.

    A record is kept for the retention time after the deadline of its request,
    so that it is retained long enough even if the request started late.

    At the memory limit, recorded responses are evicted, oldest first. Records
    are never evicted; new ones are rejected until others expire.
    """

    def __init__(self, max_bytes: int, retention_s: float):
        self._max_bytes = max_bytes
        self._retention_s = retention_s
        # Ordered by grant time, so that only the first records are checked for
        # expiry. A request with a long timeout may delay the removal of expired
        # records that follow it.
        self._records_by_shard: dict[int, dict[bytes, Record]] = {}
        self._answer_sizes: collections.OrderedDict[tuple[int, bytes], int] = (
            collections.OrderedDict()
        )
        self._total_answer_bytes = 0
        self._count = 0

    @property
    def count(self) -> int:
        """Number of records."""
        return self._count

    @property
    def size_bytes(self) -> int:
        """Estimated memory use in bytes."""
        return self._count * ESTIMATED_RECORD_BYTES + self._total_answer_bytes

    def find(self, shard: int, key: bytes, now: float) -> Record | None:
        """Returns the record of a key unless it has expired."""
        record = self._records_by_shard.get(shard, {}).get(key)
        if record is None or self._is_expired(record, now):
            return None
        return record

    def insert(self, shard: int, key: bytes, record: Record) -> bool:
        """Adds a record; returns False if it exceeds the memory limit."""
        self.remove_expired(record.granted_at)
        self.remove(shard, key)
        if not self._free_memory(ESTIMATED_RECORD_BYTES):
            return False
        self._records_by_shard.setdefault(shard, {})[key] = record
        self._count += 1
        return True

    def remove(self, shard: int, key: bytes) -> None:
        """Removes the record of a key if it exists."""
        if self._records_by_shard.get(shard, {}).pop(key, None) is None:
            return
        self._count -= 1
        self._total_answer_bytes -= self._answer_sizes.pop((shard, key), 0)

    def store_answer(self, shard: int, key: bytes, answer: bytes) -> None:
        """Stores the response of an existing record if memory permits."""
        record = self._records_by_shard[shard][key]
        if record.answer or not self._free_memory(len(answer)):
            return
        record.answer = answer
        self._answer_sizes[shard, key] = len(answer)
        self._total_answer_bytes += len(answer)

    def list_records(
        self, shard: int, now: float
    ) -> list[tuple[bytes, Record]]:
        """Returns copies of the records of a shard, without responses."""
        return [
            (key, dataclasses.replace(record, answer=b""))
            for key, record in self._records_by_shard.get(shard, {}).items()
            if not self._is_expired(record, now)
        ]

    def replace_records(
        self, shard: int, items: Iterable[tuple[bytes, Record]]
    ) -> bool:
        """Replaces the records of a shard by the merged ones of several voters.

        Returns:
          False if they exceed the memory limit; no record is changed then.
        """
        merged: dict[bytes, Record] = {}
        for key, record in items:
            existing = merged.get(key)
            merged[key] = merge(existing, record) if existing else record
        added_count = len(merged) - len(self._records_by_shard.get(shard, {}))
        if not self._free_memory(added_count * ESTIMATED_RECORD_BYTES):
            return False
        for key in tuple(self._records_by_shard.get(shard, {})):
            self.remove(shard, key)
        self._records_by_shard[shard] = dict(
            sorted(merged.items(), key=lambda item: item[1].granted_at)
        )
        self._count += len(merged)
        return True

    def remove_expired(self, now: float) -> None:
        """Removes expired records."""
        for shard, records in self._records_by_shard.items():
            while records:
                key = next(iter(records))
                if not self._is_expired(records[key], now):
                    break
                self.remove(shard, key)

    def _is_expired(self, record: Record, now: float) -> bool:
        return (
            now - record.granted_at
            > record.request_timeout_s + self._retention_s
        )

    def _free_memory(self, needed_bytes: int) -> bool:
        while (
            self.size_bytes + needed_bytes > self._max_bytes
            and self._answer_sizes
        ):
            shard, key = next(iter(self._answer_sizes))
            self._records_by_shard[shard][key].answer = b""
            self._total_answer_bytes -= self._answer_sizes.pop((shard, key))
        return self.size_bytes + needed_bytes <= self._max_bytes
