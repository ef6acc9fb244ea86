"""One partition of the ledger: a stream that is followed and appended to."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import logbook
import trio

from acaciarack._ledger_index import KeyState, LedgerIndex, Verdict, Window
from acaciarack._log_follower import LogFollower
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

COMMIT_DELAY = timedelta(milliseconds=2)
APPEND_TIMEOUT = timedelta(seconds=3)
READ_TIMEOUT = timedelta(seconds=3)
MAX_BATCH = 500
MAX_QUEUE = 5000

_logger = logbook.Logger(__name__)


class OutcomeUnavailableError(AcaciarackError):
    """A recorded outcome cannot be read now."""


class Watched:
    """A claim or void of this node whose verdict is awaited.

    Attributes:
        record: the claim or void.
        verdict: what the log says; ``None`` until the record was read.
    """

    def __init__(self, record: Claim | Void) -> None:
        self.record = record
        self.verdict: Verdict | None = None
        self._read = trio.Event()

    def settle(self, verdict: Verdict) -> None:
        """Stores the verdict and wakes who waits."""
        self.verdict = verdict
        self._read.set()

    async def wait(self) -> None:
        """Waits for the verdict."""
        await self._read.wait()


class _Append:
    """One record on its way to the log."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.error: LogUnavailableError | AppendUnknownError | None = None
        self.done = trio.Event()


class Partition:
    """Follows one stream, folds it into an index and appends in groups."""

    def __init__(
        self, *, log: LogService, clock: Clock, stream: str, window: Window
    ) -> None:
        self._log = log
        self._clock = clock
        self._stream = stream
        self._window = window
        self._index = LedgerIndex(window=window)
        self._complete_since: datetime | None = None
        self._watched: dict[bytes, Watched] = {}
        self._outcome_read = trio.Event()
        self._queue: list[_Append] = []
        self._queued = trio.Event()
        self._follower = LogFollower(
            log=log,
            clock=clock,
            stream=stream,
            retention=window.retention,
            apply=self._apply,
            restart=self._restart,
        )

    async def run(self) -> None:
        """Follows the stream and appends until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._append_groups)

    def is_ready(self) -> bool:
        """Returns whether the whole retained stream has been read."""
        return self._follower.is_ready()

    def is_reachable(self) -> bool:
        """Returns whether the log answered lately."""
        return self._follower.is_reachable()

    def knows_all(self, created: datetime) -> bool:
        """Returns whether every record that counts for a key was read."""
        if self._complete_since is None:
            return True
        return created - 2 * self._window.skew >= self._complete_since

    def find(self, key_id: bytes) -> KeyState | None:
        """Returns the state of a key; ``None`` if it has no record."""
        return self._index.find(key_id)

    def watch(self, record: Claim | Void) -> Watched:
        """Registers a record; its verdict is stored once it is read."""
        watched = Watched(record)
        self._watched[record.claimant] = watched
        return watched

    def unwatch(self, watched: Watched) -> None:
        """Forgets a record."""
        self._watched.pop(watched.record.claimant, None)

    async def append(self, record: LedgerRecord) -> None:
        """Appends a record together with others that are ready.

        Raises:
            LogUnavailableError: it was not appended.
            AppendUnknownError: it may have been.
        """
        if len(self._queue) >= MAX_QUEUE:
            raise LogUnavailableError("too many records wait for the log")
        item = _Append(encode_record(record))
        self._queue.append(item)
        self._queued.set()
        await item.done.wait()
        if item.error is not None:
            raise item.error

    async def wait_for_outcome(
        self, key_id: bytes, timeout: timedelta
    ) -> KeyState | None:
        """Waits until a key has an outcome and returns its state then."""
        state = self._index.find(key_id)
        with trio.move_on_after(timeout.total_seconds()):
            while state is not None and not state.outcome_offset:
                await self._outcome_read.wait()
                state = self._index.find(key_id)
        return state

    async def read_outcome(self, offset: int) -> Outcome:
        """Reads a recorded outcome.

        Raises:
            OutcomeUnavailableError: the log cannot be reached, or it no
                longer holds the record.
        """
        with trio.move_on_after(READ_TIMEOUT.total_seconds()):
            try:
                found = await self._log.read(
                    stream=self._stream,
                    start=offset,
                    limit=1,
                    wait=timedelta(),
                )
            except (LogUnavailableError, OffsetExpiredError) as error:
                raise OutcomeUnavailableError(str(error)) from error
            for entry in found.entries:
                record = decode_ledger_record(entry.body)
                if entry.offset == offset and isinstance(record, Outcome):
                    return record
        raise OutcomeUnavailableError(f"no outcome was read at {offset}")

    def _restart(self, complete_since: datetime | None) -> None:
        self._index = LedgerIndex(window=self._window)
        self._complete_since = complete_since

    def _apply(self, entry: LogEntry) -> None:
        try:
            record = decode_ledger_record(entry.body)
        except RecordError as error:
            _logger.error("{} {}: {}", self._stream, entry.offset, error)
            return
        verdict = self._index.apply(entry, record)
        if verdict is None:
            self._outcome_read.set()
            self._outcome_read = trio.Event()
            return
        watched = self._watched.pop(record.claimant, None)
        if watched is not None:
            watched.settle(verdict)

    async def _append_groups(self) -> None:
        while True:
            await self._queued.wait()
            await self._clock.sleep(COMMIT_DELAY)
            group = self._queue[:MAX_BATCH]
            del self._queue[:MAX_BATCH]
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
