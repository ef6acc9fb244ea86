"""A replica of one keyed topic of the platform's store.

Records of a key are ordered by their position in the topic, and the record with
the highest position wins. Records from the store and from peers can therefore
be merged in any order, and a stale response of the store cannot revert a
replica.

If the store is restored from a copy, it has lost its newest records and
assigns their offsets again. Its *era* then rises, so a position is an era and
an offset. The copy may lack keys that exist, and may list keys that were
deleted. A replica therefore keeps what it knows until the operator and the
targets have had time to write their records again.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

TOMBSTONE_PRUNING_THRESHOLD = 2000
"""Above this number of records, a replica discards the older half of its
tombstones. Tombstones tell peers which keys were deleted. A deployment of 600
targets deletes fewer keys while a node runs."""


@dataclass(frozen=True, kw_only=True, order=True)
class Position:
    """A place in a topic.

    Attributes:
        era: how often the store was restored from a copy, as the store counts.
        offset: the number of records before it.
    """

    era: int = 0
    offset: int = 0


TOPIC_START = Position()


@dataclass(frozen=True, kw_only=True)
class Record:
    """A record of a key; ``value`` is ``None`` if it deletes the key."""

    key: str
    offset: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> Position:
        """Where the record is in its topic."""
        return Position(era=self.era, offset=self.offset)


class Replica:
    """The newest record of each key.

    Attributes:
        end: the position after the last known record.
        complete: whether a snapshot of all keys was applied at least once.
    """

    def __init__(
        self, *, is_always_listed: Callable[[str], bool] = lambda key: False
    ) -> None:
        """Creates an empty replica.

        Args:
            is_always_listed: returns whether a key that was deleted exists
                again as soon as any snapshot lists it.
        """
        self._is_always_listed = is_always_listed
        self._records: dict[str, Record] = {}
        self.end = TOPIC_START
        self.complete = False

    @property
    def records(self) -> Mapping[str, Record]:
        """The newest records by key, including tombstones."""
        return self._records

    def apply(
        self, records: Iterable[Record], *, end: Position
    ) -> list[Record]:
        """Merges records and returns the new ones.

        Args:
            records: the records, in any order.
            end: the position up to which the sender knows all records.
        """
        new_records = []
        for record in records:
            known = self._records.get(record.key)
            if known is None or known.position < record.position:
                self._records[record.key] = record
                new_records.append(record)
        self.end = max(self.end, end)
        self._prune_tombstones()
        return new_records

    def apply_snapshot(
        self,
        records: Iterable[Record],
        *,
        end: Position,
        keep_deleted: bool = False,
    ) -> list[Record]:
        """Merges a snapshot of the topic and returns the new records.

        Deletes the keys that the snapshot lacks, unless the replica is ahead
        of the snapshot. The first snapshot of an era deletes nothing, and
        restores no deleted keys.

        Args:
            records: the newest record of every key.
            end: the end of the topic when the read of the snapshot began.
            keep_deleted: whether deleted keys stay deleted although the
                snapshot lists them.
        """
        if end.era < self.end.era:
            return []
        is_first_of_era = self.complete and end.era > self.end.era
        if is_first_of_era or keep_deleted:
            records = [r for r in records if not self._is_deleted(r.key)]
        listed = {record.key: record for record in records}
        is_current = end >= self.end and not is_first_of_era
        new_records = self.apply(listed.values(), end=end)
        if is_current:
            # A missing key was deleted after its last known record. The
            # tombstone takes the last offset before the snapshot's end, because
            # any later record of the key has a higher offset.
            last = Position(era=end.era, offset=end.offset - 1)
            tombstones = [
                Record(
                    key=known.key, offset=last.offset, value=None, era=last.era
                )
                for known in self._records.values()
                if known.value is not None
                and known.key not in listed
                and known.position < last
            ]
            new_records += self.apply(tombstones, end=end)
        self.complete = True
        return new_records

    def list_from(self, start: Position) -> list[Record]:
        """Returns the records at or after a position, in their order."""
        found = [r for r in self._records.values() if r.position >= start]
        return sorted(found, key=lambda record: record.position)

    def _is_deleted(self, key: str) -> bool:
        known = self._records.get(key)
        return (
            known is not None
            and known.value is None
            and not self._is_always_listed(key)
        )

    def _prune_tombstones(self) -> None:
        if len(self._records) <= TOMBSTONE_PRUNING_THRESHOLD:
            return
        tombstones = sorted(
            (r for r in self._records.values() if r.value is None),
            key=lambda record: record.position,
        )
        for record in tombstones[: len(tombstones) // 2]:
            del self._records[record.key]
