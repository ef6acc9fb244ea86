"""A replica of one keyed topic of the platform's store.

Records of a key are ordered by their offset in the topic, and the record with
the highest offset wins. Records from the store and from peers can therefore be
merged in any order, and a stale response of the store cannot revert a replica.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

TOMBSTONE_PRUNING_THRESHOLD = 2000
"""Above this number of records, a replica discards the older half of its
tombstones. Tombstones tell peers which keys were deleted. A deployment of 600
targets deletes fewer keys while a node runs."""


@dataclass(frozen=True, kw_only=True)
class Record:
    """A record of a key; ``value`` is ``None`` if it deletes the key."""

    key: str
    offset: int
    value: bytes | None


class Replica:
    """The newest record of each key.

    Attributes:
        end: the offset after the last known record.
        complete: whether a snapshot of all keys was applied at least once.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self.end = 0
        self.complete = False

    @property
    def records(self) -> Mapping[str, Record]:
        """The newest records by key, including tombstones."""
        return self._records

    def apply(self, records: Iterable[Record], *, end: int) -> list[Record]:
        """Merges records and returns the new ones.

        Args:
            records: the records, in any order.
            end: the offset up to which the sender knows all records.
        """
        new_records = []
        for record in records:
            known = self._records.get(record.key)
            if known is None or known.offset < record.offset:
                self._records[record.key] = record
                new_records.append(record)
        self.end = max(self.end, end)
        self._prune_tombstones()
        return new_records

    def apply_snapshot(
        self, records: Iterable[Record], *, end: int
    ) -> list[Record]:
        """Merges a snapshot of the topic and returns the new records.

        Deletes the keys that the snapshot lacks, unless the replica is ahead
        of the snapshot.

        Args:
            records: the newest record of every key.
            end: the end of the topic when the read of the snapshot began.
        """
        listed = {record.key: record for record in records}
        is_current = end >= self.end
        new_records = self.apply(listed.values(), end=end)
        if is_current:
            # A missing key was deleted after its last known record. The
            # tombstone takes the last offset before the snapshot's end, because
            # any later record of the key has a higher offset.
            tombstones = [
                Record(key=known.key, offset=end - 1, value=None)
                for known in self._records.values()
                if known.value is not None
                and known.key not in listed
                and known.offset < end - 1
            ]
            new_records += self.apply(tombstones, end=end)
        self.complete = True
        return new_records

    def list_from(self, offset: int) -> list[Record]:
        """Returns the records at or after ``offset``, ordered by offset."""
        found = [r for r in self._records.values() if r.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    def _prune_tombstones(self) -> None:
        if len(self._records) <= TOMBSTONE_PRUNING_THRESHOLD:
            return
        tombstones = sorted(
            (r for r in self._records.values() if r.value is None),
            key=lambda record: record.offset,
        )
        for record in tombstones[: len(tombstones) // 2]:
            del self._records[record.key]
