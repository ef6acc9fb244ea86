"""Reads one stream of the log continuously from its earliest record on."""

from collections.abc import Callable
from datetime import datetime, timedelta

import logbook
import trio

from acaciarack.backoff import Backoff
from acaciarack.clock import Clock
from acaciarack.platform import (
    LogEntry,
    LogService,
    LogSlice,
    LogUnavailableError,
    OffsetExpiredError,
)

LONG_POLL_WAIT = timedelta(seconds=1)
MAX_CONTACT_AGE = timedelta(seconds=3)
"""The log counts as unreachable if the last successful read is older."""
READ_TIMEOUT = timedelta(seconds=5)
MAX_ENTRIES_PER_READ = 1000
_INITIAL_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 1.0

_logger = logbook.Logger("acaciarack._log_follower")


class LogReader:
    """Passes each record of a stream to a function, once and in order.

    If records expired before they were read, or if the log has lost records,
    the reader calls ``restart`` and continues at the earliest retained record.

    Attributes:
        position: the offset of the next record to read. It increases right
            before ``apply`` is called.
    """

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        stream: str,
        retention: timedelta,
        apply: Callable[[LogEntry], None],
        restart: Callable[[datetime | None], None],
    ) -> None:
        """Creates a reader.

        Args:
            log: the log service.
            clock: provides the time and sleeps.
            stream: the stream's name.
            retention: the minimum time that the log keeps a record.
            apply: called with each record.
            restart: called before each pass from the earliest retained
                record. It receives a time; every record appended since then
                will be applied. ``None`` means that no record has expired.
        """
        self._log = log
        self._clock = clock
        self._stream = stream
        self._retention = retention
        self._apply = apply
        self._restart = restart
        self.position = 1
        self._started = False
        self._ready = False
        self._last_read_failed = False
        self._last_contact: timedelta | None = None
        self._backoff = Backoff(
            initial_delay=_INITIAL_RETRY_SECONDS, limit=_MAX_RETRY_SECONDS
        )

    def is_ready(self) -> bool:
        """Returns whether the whole retained stream has been read."""
        return self._ready

    def is_reachable(self) -> bool:
        """Returns whether the last read succeeded, and recently."""
        if self._last_contact is None or self._last_read_failed:
            return False
        return self._clock.elapsed() - self._last_contact <= MAX_CONTACT_AGE

    async def run(self) -> None:
        """Reads the stream until cancelled."""
        while True:
            sent_at = self._clock.now()
            try:
                log_slice = await self._read()
            except OffsetExpiredError as error:
                self._restart_at(error.earliest, sent_at)
            except LogUnavailableError:
                self._last_read_failed = True
                await self._clock.sleep(self._backoff.next_delay())
            else:
                self._apply_slice(log_slice, sent_at)

    async def _read(self) -> LogSlice:
        wait = LONG_POLL_WAIT if self._ready else timedelta()
        timeout_seconds = (READ_TIMEOUT + wait).total_seconds()
        with trio.move_on_after(timeout_seconds):
            return await self._log.read(
                stream=self._stream,
                start=self.position,
                limit=MAX_ENTRIES_PER_READ,
                wait=wait,
            )
        raise LogUnavailableError(
            f"no response to a read within {timeout_seconds} s"
        )

    def _restart_at(self, earliest: int, sent_at: datetime) -> None:
        """Restarts at an offset; all earlier records may be gone.

        Every record appended later than ``sent_at`` minus the retention will
        be applied.
        """
        _logger.warning(
            "reading stream {} from its earliest retained offset {}, because "
            "records have expired or were lost",
            self._stream,
            earliest,
        )
        self.position = earliest
        self._started = True
        self._ready = False
        self._restart(sent_at - self._retention)

    def _apply_slice(self, log_slice: LogSlice, sent_at: datetime) -> None:
        self._last_read_failed = False
        self._backoff.reset()
        self._last_contact = self._clock.elapsed()
        if log_slice.end < self.position:
            # The log has lost records. Only records appended since this read
            # was sent are known to be complete. The added retention cancels
            # the one that ``_restart_at`` subtracts.
            self._restart_at(log_slice.earliest, sent_at + self._retention)
            return
        if not self._started:
            self._started = True
            self._restart(None)
        for entry in log_slice.entries:
            self.position = entry.offset + 1
            self._apply(entry)
        if self.position >= log_slice.end:
            self._ready = True
