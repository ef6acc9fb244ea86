"""Follows one stream of the log from its earliest record on."""

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

POLL_WAIT = timedelta(seconds=1)
REACHABLE_AGE = timedelta(seconds=3)
READ_TIMEOUT = timedelta(seconds=5)
READ_LIMIT = 1000
_FIRST_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 1.0

_logger = logbook.Logger(__name__)


class LogFollower:
    """Hands each record of a stream to a function, once and in order.

    When records expired before they were read, it starts again at the
    earliest one and says so by calling ``restart``.

    Attributes:
        position: the offset of the next record; the one before it is being
            applied or has been.
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
        """Creates a follower.

        Args:
            log: the log service.
            clock: gives times and waits.
            stream: the stream's name.
            retention: how long the log keeps a record at least.
            apply: is called with each record.
            restart: is called before the first record, with the time from
                which on every record will be applied; ``None`` if no record
                has ever expired.
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
        self._failed = False
        self._contact: timedelta | None = None
        self._backoff = Backoff(
            first=_FIRST_RETRY_SECONDS, limit=_MAX_RETRY_SECONDS
        )

    def is_ready(self) -> bool:
        """Returns whether the whole retained stream has been read."""
        return self._ready

    def is_reachable(self) -> bool:
        """Returns whether the log answered the newest call, and lately."""
        if self._contact is None or self._failed:
            return False
        return self._clock.elapsed() - self._contact <= REACHABLE_AGE

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            asked = self._clock.now()
            try:
                found = await self._read()
            except OffsetExpiredError as error:
                self._start_at(error.earliest, asked)
            except LogUnavailableError:
                self._failed = True
                await self._clock.sleep(self._backoff.next_delay())
            else:
                self._take(found, asked)

    async def _read(self) -> LogSlice:
        wait = POLL_WAIT if self._ready else timedelta()
        limit = (READ_TIMEOUT + wait).total_seconds()
        with trio.move_on_after(limit):
            return await self._log.read(
                stream=self._stream,
                start=self.position,
                limit=READ_LIMIT,
                wait=wait,
            )
        raise LogUnavailableError(f"no answer to a read within {limit} s")

    def _start_at(self, earliest: int, asked: datetime) -> None:
        """Starts at a record; all before it may have expired."""
        _logger.warning("reading {} from {}", self._stream, earliest)
        self.position = earliest
        self._started = True
        self._ready = False
        self._restart(asked - self._retention)

    def _take(self, found: LogSlice, asked: datetime) -> None:
        self._failed = False
        self._backoff.reset()
        self._contact = self._clock.elapsed()
        if found.end < self.position:
            # The log has lost records: nothing of before now is known.
            self._start_at(found.earliest, asked + self._retention)
            return
        if not self._started:
            self._started = True
            self._restart(None)
        for entry in found.entries:
            self.position = entry.offset + 1
            self._apply(entry)
        if self.position >= found.end:
            self._ready = True
