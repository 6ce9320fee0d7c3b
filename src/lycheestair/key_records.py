"""Records of idempotency keys, bounded in memory and in time."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from lycheestair import keys_pb2

# Longest time that a request with a key may take, as a share of the retention.
MAX_RUN_RETENTION_RATIO: Final = 0.25
# A record with its place in the table: 293 to 298 bytes by measure_keys.
RECORD_BYTES: Final = 320
# Claim id of a record that stands for several claims; none can release it.
SHARED_CLAIM: Final = b""
# An answer given right before the deadline is recorded a little after it.
OVERDUE_AFTER_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class Record:
    """What a voter knows about a key.

    Attributes:
      claim_id: Claim that the key was granted to, or SHARED_CLAIM.
      granted_at: Time of the grant in seconds, on the voter's clock.
      run_s: Time from the grant until the request had to end, in seconds.
      state: RUNNING, DONE or UNKNOWN.
      answer: Encoded keys_pb2.Answer, empty when not kept.
    """

    claim_id: bytes
    fingerprint: bytes
    granted_at: float
    run_s: float
    state: keys_pb2.Verdict = keys_pb2.RUNNING
    answer: bytes = b""

    def judge(self, now: float) -> keys_pb2.Verdict:
        """Returns the state as another claim sees it."""
        if self.state == keys_pb2.RUNNING and (
            now > self.granted_at + self.run_s + OVERDUE_AFTER_S
        ):
            return keys_pb2.OVERDUE
        return self.state


def merge(first: Record, second: Record) -> Record:
    """Returns one record that refuses whatever either of them refuses."""
    settled = [r for r in (first, second) if r.state != keys_pb2.RUNNING]
    kept = settled[0] if settled else first
    same = first.claim_id == second.claim_id
    return dataclasses.replace(
        kept,
        # Either claim may be the one that ran. If the other one were allowed
        # to release the record, the key would be granted again.
        claim_id=kept.claim_id if settled or same else SHARED_CLAIM,
        granted_at=max(first.granted_at, second.granted_at),
        run_s=max(first.run_s, second.run_s),
        answer=first.answer or second.answer,
    )


class RecordTable:
    """Records by shard and key. Not thread-safe.

    A record is kept for the retention time after its request had to end, so
    that the time counts from the run even if the run started late.

    At the bound, recorded answers are dropped, oldest first; records are kept
    until they expire and further ones are refused.
    """

    def __init__(self, max_bytes: int, retention_s: float):
        self._max_bytes = max_bytes
        self._retention_s = retention_s
        # Ordered by time of grant, so that expiry looks at the front only; a
        # request with a longer deadline may delay it for those behind.
        self._shards: dict[int, dict[bytes, Record]] = {}
        self._answers: collections.OrderedDict[tuple[int, bytes], int] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0
        self._count = 0

    @property
    def count(self) -> int:
        """Number of records."""
        return self._count

    @property
    def size(self) -> int:
        """Bytes in use, by estimate."""
        return self._count * RECORD_BYTES + self._answer_bytes

    def find(self, shard: int, key: bytes, now: float) -> Record | None:
        """Returns the record of a key unless it has expired."""
        record = self._shards.get(shard, {}).get(key)
        if record is None or self._has_expired(record, now):
            return None
        return record

    def insert(self, shard: int, key: bytes, record: Record) -> bool:
        """Adds a record; returns False when there is no room for it."""
        self.expire(record.granted_at)
        self.remove(shard, key)
        if not self._make_room(RECORD_BYTES):
            return False
        self._shards.setdefault(shard, {})[key] = record
        self._count += 1
        return True

    def remove(self, shard: int, key: bytes) -> None:
        """Removes a record if there is one."""
        if self._shards.get(shard, {}).pop(key, None) is None:
            return
        self._count -= 1
        self._answer_bytes -= self._answers.pop((shard, key), 0)

    def keep_answer(self, shard: int, key: bytes, answer: bytes) -> None:
        """Keeps the answer of an existing record if there is room."""
        record = self._shards[shard][key]
        if record.answer or not self._make_room(len(answer)):
            return
        record.answer = answer
        self._answers[shard, key] = len(answer)
        self._answer_bytes += len(answer)

    def list(self, shard: int, now: float) -> list[tuple[bytes, Record]]:
        """Returns copies of the records of a shard, without answers."""
        return [
            (key, dataclasses.replace(record, answer=b""))
            for key, record in self._shards.get(shard, {}).items()
            if not self._has_expired(record, now)
        ]

    def replace(
        self, shard: int, items: Iterable[tuple[bytes, Record]]
    ) -> bool:
        """Replaces the records of a shard by those of several voters.

        Returns:
          False when there is no room for all of them; nothing is changed.
        """
        merged: dict[bytes, Record] = {}
        for key, record in items:
            known = merged.get(key)
            merged[key] = merge(known, record) if known else record
        growth = len(merged) - len(self._shards.get(shard, {}))
        if not self._make_room(growth * RECORD_BYTES):
            return False
        for key in tuple(self._shards.get(shard, {})):
            self.remove(shard, key)
        self._shards[shard] = dict(
            sorted(merged.items(), key=lambda item: item[1].granted_at)
        )
        self._count += len(merged)
        return True

    def expire(self, now: float) -> None:
        """Removes expired records."""
        for shard, records in self._shards.items():
            while records:
                key = next(iter(records))
                if not self._has_expired(records[key], now):
                    break
                self.remove(shard, key)

    def _has_expired(self, record: Record, now: float) -> bool:
        return now - record.granted_at > record.run_s + self._retention_s

    def _make_room(self, needed: int) -> bool:
        while self.size + needed > self._max_bytes and self._answers:
            shard, key = next(iter(self._answers))
            self._shards[shard][key].answer = b""
            self._answer_bytes -= self._answers.pop((shard, key))
        return self.size + needed <= self._max_bytes
