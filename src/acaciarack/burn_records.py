"""Merges the parts of a data centre's nodes into log records.

The watermark of a node's incarnation is the newest of its minutes in the
accepted records. Readers reject a whole record if it contains a minute at or
below the watermark, or a minute that was older than ``MAX_AGE`` when the record
was appended. The decision depends on the log only, so all readers make the same
one. No part is counted twice, even if several nodes append it repeatedly.
"""

import itertools
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta

import logbook
import msgspec
import trio

from acaciarack.burn_counts import (
    BurnRecordError,
    CountAccumulator,
    Counts,
    Part,
    compute_epoch_minute,
    decode,
    encode,
)
from acaciarack.platform import (
    LogEntry,
    LogService,
    LogSlice,
    LogUnavailableError,
    OffsetExpiredError,
)

MAX_AGE = timedelta(hours=2)
"""Maximum age of a part when it is appended. Older parts are dropped."""
MAX_RECORD_CAUSES = 256
"""Maximum number of causes for each minute of a record."""
READ_LIMIT = 20
"""Maximum number of records in one read."""
READ_TIMEOUT = timedelta(seconds=10)
_logger = logbook.Logger("burn")


class Source(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identifies a part whose counts a record contains.

    Attributes:
        node: the node's name.
        incarnation: the node's incarnation.
        minute: the part's minute.
    """

    node: str
    incarnation: int
    minute: int


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The sums of several parts.

    Attributes:
        sources: the parts.
        minutes: the sums, one for each minute, oldest first.
    """

    sources: tuple[Source, ...] = ()
    minutes: tuple[Counts, ...] = ()


class Watermarks:
    """The newest accepted minute of each node's incarnation."""

    def __init__(self) -> None:
        self._watermarks: dict[tuple[str, int], int] = {}

    def get(self, node: str, incarnation: int) -> int:
        """Returns the watermark, or 0 if there is none."""
        return self._watermarks.get((node, incarnation), 0)

    def accept(self, record: Record) -> bool:
        """Advances the watermarks if all parts of the record are new.

        Returns:
            Whether the record is accepted.
        """
        if not all(self.is_new(source) for source in record.sources):
            return False
        for source in record.sources:
            key = source.node, source.incarnation
            self._watermarks[key] = max(
                self._watermarks.get(key, 0), source.minute
            )
        return True

    def is_new(self, source: Source) -> bool:
        """Returns whether the part is newer than its node's watermark."""
        return source.minute > self.get(source.node, source.incarnation)

    def drop_before(self, minute: int) -> None:
        """Drops the watermarks that are older than ``minute``."""
        self._watermarks = {
            key: watermark
            for key, watermark in self._watermarks.items()
            if watermark >= minute
        }


def build_record(
    parts: Iterable[Part], *, watermarks: Watermarks, oldest: int
) -> Record:
    """Merges parts into a record.

    Args:
        parts: in any order. Repeated parts count once.
        watermarks: parts at or below their node's watermark are left out.
        oldest: parts of earlier minutes are left out.
    """
    counts_by_source: dict[Source, Counts] = {}
    for part in parts:
        source = Source(
            node=part.node,
            incarnation=part.incarnation,
            minute=part.counts.minute,
        )
        if source.minute >= oldest and watermarks.is_new(source):
            counts_by_source[source] = part.counts
    ordered = sorted(
        counts_by_source,
        key=lambda item: (item.minute, item.node, item.incarnation),
    )
    minutes = []
    for minute, group in itertools.groupby(ordered, lambda item: item.minute):
        accumulator = CountAccumulator(max_causes=MAX_RECORD_CAUSES)
        for source in group:
            accumulator.add(counts_by_source[source])
        minutes.append(accumulator.build(minute))
    return Record(sources=tuple(ordered), minutes=tuple(minutes))


def encode_record(record: Record) -> bytes:
    """Encodes a record for the log."""
    return encode(record)


def iterate_accepted_counts(
    entries: Iterable[LogEntry], watermarks: Watermarks
) -> Iterator[Counts]:
    """Yields the counts of accepted records and advances ``watermarks``."""
    for entry in entries:
        try:
            record = decode(entry.body, Record)
        except BurnRecordError as error:
            _logger.warning(
                "skipping invalid burn record at offset {}: {}",
                entry.offset,
                error,
            )
            continue
        # An aggregator that was paused can append long after it read the log.
        oldest = compute_epoch_minute(entry.time - MAX_AGE)
        is_late = any(source.minute < oldest for source in record.sources)
        if not is_late and watermarks.accept(record):
            yield from record.minutes


def build_stream_name(data_centre: str) -> str:
    """Returns the name of a data centre's log stream."""
    return f"burn-{data_centre}"


class StreamReader:
    """Reads a log stream forward from a given time."""

    def __init__(self, *, log: LogService, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._position = 0
        self.newest_time: datetime | None = None

    async def seek(self, since: datetime) -> None:
        """Moves to the first record that was appended at ``since`` or later.

        Raises:
            PlatformError: the log cannot be read.
        """
        log_slice = await self._read(1, limit=1)
        low, high = log_slice.earliest, log_slice.end
        while low < high:
            midpoint = (low + high) // 2
            log_slice = await self._read(midpoint, limit=1)
            first = next(iter(log_slice.entries), None)
            if first is None or first.time >= since:
                high = midpoint
            else:
                low = max(first.offset + 1, log_slice.earliest)
        self._position = low

    async def read(self) -> list[LogEntry]:
        """Returns the next records, or none at the end of the stream.

        Raises:
            PlatformError: the log cannot be read.
        """
        log_slice = await self._read(self._position, limit=READ_LIMIT)
        if log_slice.end < self._position:
            # The log has lost records and assigns their offsets again.
            log_slice = await self._read(log_slice.earliest, limit=READ_LIMIT)
            self._position = log_slice.earliest
        entries = list(log_slice.entries)
        if entries:
            self._position = entries[-1].offset + 1
            self.newest_time = entries[-1].time
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
                f"the log did not respond to a read within {READ_TIMEOUT}"
            )
