"""Merges the parts of a data centre's nodes into records of the log.

Of each node's incarnation a record holds minutes; the newest minute that
accepted records hold is its mark. A record with a minute at or under a mark
is void as a whole, and so is one with a minute that was over ``MAX_AGE`` old
when it was appended. As the verdict follows from the log alone, every reader
comes to the same one, and nothing is counted twice however many nodes append,
and however often.
"""

import itertools
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta

import logbook
import msgspec
import trio

from acaciarack.burn_counts import (
    BurnRecordError,
    Counts,
    Part,
    Tally,
    decode,
    encode,
    find_minute,
)
from acaciarack.platform import (
    LogEntry,
    LogService,
    LogSlice,
    LogUnavailableError,
    OffsetExpiredError,
)

MAX_AGE = timedelta(hours=2)
"""How old a part may be when it is appended; older ones are dropped."""
MAX_RECORD_CAUSES = 256
READ_LIMIT = 20
READ_TIMEOUT = timedelta(seconds=10)
_logger = logbook.Logger("burn")


class Source(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A part that a record holds.

    Attributes:
        node: the node's name.
        incarnation: the node's incarnation.
        minute: the part's minute.
    """

    node: str
    incarnation: int
    minute: int


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The sum of parts.

    Attributes:
        sources: the parts.
        minutes: their sums, one for each minute, in order.
    """

    sources: tuple[Source, ...] = ()
    minutes: tuple[Counts, ...] = ()


class Marks:
    """The newest accepted minute of each node's incarnation."""

    def __init__(self) -> None:
        self._marks: dict[tuple[str, int], int] = {}

    def get(self, node: str, incarnation: int) -> int:
        """Returns the mark; 0 if there is none."""
        return self._marks.get((node, incarnation), 0)

    def accept(self, record: Record) -> bool:
        """Returns whether a record counts, and moves the marks if it does."""
        if not all(self.is_new(source) for source in record.sources):
            return False
        for source in record.sources:
            key = source.node, source.incarnation
            self._marks[key] = max(self._marks.get(key, 0), source.minute)
        return True

    def is_new(self, source: Source) -> bool:
        """Returns whether no accepted record can hold the part."""
        return source.minute > self.get(source.node, source.incarnation)

    def forget_before(self, minute: int) -> None:
        """Drops the marks that are older than ``minute``."""
        self._marks = {
            key: mark for key, mark in self._marks.items() if mark >= minute
        }


def build_record(parts: Iterable[Part], *, marks: Marks, oldest: int) -> Record:
    """Merges parts.

    Args:
        parts: in any order; repeated ones count once.
        marks: parts at or under them are left out.
        oldest: parts of minutes before it are left out.
    """
    chosen: dict[Source, Counts] = {}
    for part in parts:
        source = Source(
            node=part.node,
            incarnation=part.incarnation,
            minute=part.counts.minute,
        )
        if source.minute >= oldest and marks.is_new(source):
            chosen[source] = part.counts
    ordered = sorted(
        chosen, key=lambda item: (item.minute, item.node, item.incarnation)
    )
    minutes = []
    for minute, group in itertools.groupby(ordered, lambda item: item.minute):
        tally = Tally(max_causes=MAX_RECORD_CAUSES)
        for source in group:
            tally.add(chosen[source])
        minutes.append(tally.build(minute))
    return Record(sources=tuple(ordered), minutes=tuple(minutes))


def encode_record(record: Record) -> bytes:
    """Encodes a record for the log."""
    return encode(record)


def read_accepted(
    entries: Iterable[LogEntry], marks: Marks
) -> Iterator[Counts]:
    """Yields the minutes of the accepted records among ``entries``."""
    for entry in entries:
        try:
            record = decode(entry.body, Record)
        except BurnRecordError as error:
            _logger.warning("record {} is skipped: {}", entry.offset, error)
            continue
        # A writer that was paused may append long after it looked.
        oldest = find_minute(entry.time - MAX_AGE)
        late = any(source.minute < oldest for source in record.sources)
        if not late and marks.accept(record):
            yield from record.minutes


def name_stream(data_centre: str) -> str:
    """Returns the name of a data centre's stream on the log."""
    return f"burn-{data_centre}"


class StreamReader:
    """Reads a stream forward from a time on."""

    def __init__(self, *, log: LogService, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._position = 0
        self.newest: datetime | None = None

    async def seek(self, since: datetime) -> None:
        """Moves to the first record appended at ``since`` or later.

        Raises:
            PlatformError: the log cannot be read.
        """
        found = await self._read(1, limit=1)
        low, high = found.earliest, found.end
        while low < high:
            middle = (low + high) // 2
            found = await self._read(middle, limit=1)
            first = next(iter(found.entries), None)
            if first is None or first.time >= since:
                high = middle
            else:
                low = max(first.offset + 1, found.earliest)
        self._position = low

    async def read(self) -> list[LogEntry]:
        """Returns the next records; none at the end of the stream.

        Raises:
            PlatformError: the log cannot be read.
        """
        found = await self._read(self._position, limit=READ_LIMIT)
        if found.end < self._position:
            # The log has lost records, and gives their offsets anew.
            found = await self._read(found.earliest, limit=READ_LIMIT)
            self._position = found.earliest
        entries = list(found.entries)
        if entries:
            self._position = entries[-1].offset + 1
            self.newest = entries[-1].time
        return entries

    async def _read(self, start: int, *, limit: int) -> LogSlice:
        while True:
            with trio.move_on_after(READ_TIMEOUT.total_seconds()):
                try:
                    return await self._log.read(
                        stream=self._stream,
                        start=start,
                        limit=limit,
                        wait=timedelta(),
                    )
                except OffsetExpiredError as error:
                    start = error.earliest
                    continue
            raise LogUnavailableError(
                f"no answer to a read within {READ_TIMEOUT}"
            )
