"""One partition of the ledger: reads a log stream and appends to it."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import logbook
import trio

from acaciarack._ledger_index import (
    KeyState,
    LedgerIndex,
    ValidityWindow,
    Verdict,
)
from acaciarack._log_reader import LogReader
from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError
from acaciarack.platform import (
    AppendUnknownError,
    LogEntry,
    LogService,
    LogUnavailableError,
    OffsetExpiredError,
)
from acaciarack.records import (
    Claim,
    LedgerRecord,
    Outcome,
    RecordError,
    Void,
    decode_ledger_record,
    encode_record,
)

GROUP_COMMIT_DELAY = timedelta(milliseconds=2)
"""How long a queued record waits for others to join its append."""
APPEND_TIMEOUT = timedelta(seconds=3)
READ_TIMEOUT = timedelta(seconds=3)
MAX_RECORDS_PER_APPEND = 500
MAX_QUEUED_RECORDS = 5000

_logger = logbook.Logger(__name__)


class OutcomeUnavailableError(AcaciarackError):
    """A recorded outcome cannot be read at present."""


class PendingRecord:
    """A claim or void of this node that waits for its verdict.

    Attributes:
        record: the claim or void.
        verdict: the verdict; ``None`` until the record is read back.
    """

    def __init__(self, record: Claim | Void) -> None:
        self.record = record
        self.verdict: Verdict | None = None
        self._read_back = trio.Event()

    def set_verdict(self, verdict: Verdict) -> None:
        """Stores the verdict and wakes all waiting tasks."""
        self.verdict = verdict
        self._read_back.set()

    async def wait(self) -> None:
        """Waits for the verdict."""
        await self._read_back.wait()


class _Append:
    """One record queued for an append."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.error: LogUnavailableError | AppendUnknownError | None = None
        self.done = trio.Event()


class Partition:
    """Reads one stream into an index and appends records in groups."""

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        stream: str,
        window: ValidityWindow,
    ) -> None:
        self._log = log
        self._clock = clock
        self._stream = stream
        self._window = window
        self._index = LedgerIndex(window=window)
        self._complete_since: datetime | None = None
        self._pending: dict[bytes, PendingRecord] = {}
        self._outcome_read = trio.Event()
        self._queue: list[_Append] = []
        self._queued = trio.Event()
        self._reader = LogReader(
            log=log,
            clock=clock,
            stream=stream,
            retention=window.retention,
            apply=self._apply,
            restart=self._restart,
        )

    async def run(self) -> None:
        """Reads the stream and appends queued records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self._append_groups)

    def is_ready(self) -> bool:
        """Returns whether the whole retained stream has been read."""
        return self._reader.is_ready()

    def is_reachable(self) -> bool:
        """Returns whether the last read of the log succeeded, and recently."""
        return self._reader.is_reachable()

    def has_read_all(self, created: datetime) -> bool:
        """Returns whether this node has read every valid record of a key.

        The result is false if records of the key may have expired before this
        node read them.

        Args:
            created: when the key was made.
        """
        if self._complete_since is None:
            return True
        # A valid record may be one skew older than its key by the log's clock,
        # which may differ from this node's clock by another.
        return created - 2 * self._window.skew >= self._complete_since

    def find(self, key_id: bytes) -> KeyState | None:
        """Returns the state of a key; ``None`` if it has no record."""
        return self._index.find(key_id)

    def track(self, record: Claim | Void) -> PendingRecord:
        """Registers a record; its verdict is stored once it is read back."""
        pending = PendingRecord(record)
        self._pending[record.claimant] = pending
        return pending

    def untrack(self, pending: PendingRecord) -> None:
        """Stops waiting for the verdict on a record."""
        self._pending.pop(pending.record.claimant, None)

    async def append(self, record: LedgerRecord) -> None:
        """Appends a record together with other queued records.

        Raises:
            LogUnavailableError: the record was not appended.
            AppendUnknownError: the record may have been appended.
        """
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            raise LogUnavailableError("append queue of the ledger is full")
        item = _Append(encode_record(record))
        self._queue.append(item)
        self._queued.set()
        await item.done.wait()
        if item.error is not None:
            raise item.error

    async def wait_for_outcome(
        self, key_id: bytes, timeout: timedelta
    ) -> KeyState | None:
        """Waits until a key has an outcome or the timeout ends.

        Returns:
            The key's state after the wait; ``None`` if the key has no record.
        """
        state = self._index.find(key_id)
        with trio.move_on_after(timeout.total_seconds()):
            while state is not None and not state.outcome_offset:
                await self._outcome_read.wait()
                state = self._index.find(key_id)
        return state

    async def read_outcome(self, offset: int) -> Outcome:
        """Reads a recorded outcome.

        Raises:
            OutcomeUnavailableError: the log cannot be reached in time, or the
                record has expired.
        """
        with trio.move_on_after(READ_TIMEOUT.total_seconds()):
            try:
                log_slice = await self._log.read(
                    stream=self._stream,
                    start=offset,
                    limit=1,
                    wait=timedelta(),
                )
            except (LogUnavailableError, OffsetExpiredError) as error:
                raise OutcomeUnavailableError(str(error)) from error
            for entry in log_slice.entries:
                record = decode_ledger_record(entry.body)
                if entry.offset == offset and isinstance(record, Outcome):
                    return record
        raise OutcomeUnavailableError(f"no outcome read at offset {offset}")

    def _restart(self, complete_since: datetime | None) -> None:
        self._index = LedgerIndex(window=self._window)
        self._complete_since = complete_since

    def _apply(self, entry: LogEntry) -> None:
        try:
            record = decode_ledger_record(entry.body)
        except RecordError as error:
            _logger.error(
                "skipped undecodable record in {} at offset {}: {}",
                self._stream,
                entry.offset,
                error,
            )
            return
        verdict = self._index.apply(entry, record)
        if verdict is None:
            self._outcome_read.set()
            self._outcome_read = trio.Event()
            return
        pending = self._pending.pop(record.claimant, None)
        if pending is not None:
            pending.set_verdict(verdict)

    async def _append_groups(self) -> None:
        while True:
            await self._queued.wait()
            await self._clock.sleep(GROUP_COMMIT_DELAY)
            group = self._queue[:MAX_RECORDS_PER_APPEND]
            del self._queue[:MAX_RECORDS_PER_APPEND]
            if not self._queue:
                self._queued = trio.Event()
            await self._append_group(group)

    async def _append_group(self, group: Sequence[_Append]) -> None:
        error: LogUnavailableError | AppendUnknownError | None
        error = AppendUnknownError("no answer to an append in time")
        with trio.move_on_after(APPEND_TIMEOUT.total_seconds()):
            try:
                await self._log.append(
                    stream=self._stream, bodies=[item.body for item in group]
                )
                error = None
            except (LogUnavailableError, AppendUnknownError) as caught:
                error = caught
        for item in group:
            item.error = error
            item.done.set()
