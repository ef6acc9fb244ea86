"""A copy of one keyed topic of the platform's store.

Records of a key are ordered by their offset in the topic, so copies that were
read from the store and copies that a peer sent merge in any order: of each
key the record with the highest offset stays. A copy therefore never goes back,
whatever a stale answer of the store says.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MAX_TOMBSTONES = 2000
"""Dropped keys that are remembered, so that peers hear of them too; more than
a deployment of 600 targets drops in the lifetime of a node's knowledge."""


@dataclass(frozen=True, kw_only=True)
class Record:
    """The newest record of a key; ``value`` is ``None`` if it was dropped."""

    key: str
    offset: int
    value: bytes | None


class Replica:
    """The newest record of each key.

    Attributes:
        end: the offset after the last record that is known.
        complete: whether all keys were read at least once.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self.end = 0
        self.complete = False

    @property
    def records(self) -> Mapping[str, Record]:
        """The newest records by key, dropped keys included."""
        return self._records

    def apply(self, records: Iterable[Record], *, end: int) -> list[Record]:
        """Merges records and returns those that were news.

        Args:
            records: in any order.
            end: the offset up to which the sender knows all records.
        """
        news = []
        for record in records:
            known = self._records.get(record.key)
            if known is None or known.offset < record.offset:
                self._records[record.key] = record
                news.append(record)
        self.end = max(self.end, end)
        self._forget_tombstones()
        return news

    def replace(self, records: Iterable[Record], *, end: int) -> list[Record]:
        """Merges a complete listing: keys that it lacks were dropped.

        A listing older than what is known only adds to it.

        Args:
            records: the newest record of every key.
            end: the end of the topic when the listing began.
        """
        listed = {record.key: record for record in records}
        is_newer = end >= self.end
        news = self.apply(listed.values(), end=end)
        if is_newer:
            # A missing key was dropped by a record after its own; the last
            # offset of the listing is one that its next record will exceed.
            dropped = [
                Record(key=known.key, offset=end - 1, value=None)
                for known in self._records.values()
                if known.value is not None
                and known.key not in listed
                and known.offset < end - 1
            ]
            news += self.apply(dropped, end=end)
        self.complete = True
        return news

    def list_since(self, offset: int) -> list[Record]:
        """Returns the records at or after ``offset``, in order."""
        found = [r for r in self._records.values() if r.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    def _forget_tombstones(self) -> None:
        if len(self._records) <= MAX_TOMBSTONES:
            return
        dropped = sorted(
            (r for r in self._records.values() if r.value is None),
            key=lambda record: record.offset,
        )
        for record in dropped[: len(dropped) // 2]:
            del self._records[record.key]
