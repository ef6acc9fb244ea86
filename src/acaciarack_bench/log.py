"""An in-memory stand-in for the platform's log service, served over HTTP."""

import base64
import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
import trio

from acaciarack.clock import Clock
from acaciarack.errors import Refusal
from acaciarack.platform import (
    AppendUnknownError,
    LogEntry,
    LogSlice,
    LogUnavailableError,
    OffsetExpiredError,
)
from acaciarack.web import App, Endpoint, Reply, Request, build_json_reply
from acaciarack_bench.reports import refuse_invalid

DEFAULT_RETENTION = timedelta(hours=1)
DEFAULT_APPENDS_PER_SECOND = 400.0
MAX_APPEND_WAIT = timedelta(seconds=1)
MAX_READ_WAIT = timedelta(seconds=30)
MAX_READ_LIMIT = 10_000


class LostAppend(enum.StrEnum):
    """The effect of an append whose response is lost.

    Attributes:
        APPLIED: the records are appended.
        DROPPED: the records are not appended.
    """

    APPLIED = "applied"
    DROPPED = "dropped"


class LogFaults(msgspec.Struct, kw_only=True):
    """The active faults; tests and the control endpoint change them.

    Attributes:
        down: whether the log refuses every call.
        delay_seconds: the delay before each call takes effect.
        answer_delay_seconds: the delay of an append's response after the
            append took effect.
        lost_appends: the effects of the next appends, in order; the log drops
            the responses of these appends.
    """

    down: bool = False
    delay_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    lost_appends: list[LostAppend] = msgspec.field(default_factory=list)


@dataclass(kw_only=True)
class _Stream:
    entries: list[LogEntry] = field(default_factory=list)
    end: int = 1
    appended: trio.Event = field(default_factory=trio.Event)

    @property
    def earliest(self) -> int:
        return self.entries[0].offset if self.entries else self.end


class MemoryLog:
    """An in-memory log service with retention, a rate limit and faults."""

    def __init__(
        self,
        *,
        clock: Clock,
        retention: timedelta = DEFAULT_RETENTION,
        appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
    ) -> None:
        """Creates an empty log.

        Args:
            clock: the clock.
            retention: how long the log keeps a record.
            appends_per_second: the maximum number of appends per second over
                all streams; an append of many records counts once.
        """
        self.faults = LogFaults()
        self.append_count = 0
        self._clock = clock
        self._retention = retention
        self._interval = timedelta(seconds=1 / appends_per_second)
        self._next_append = clock.elapsed()
        self._streams: dict[str, _Stream] = {}

    async def append(self, *, stream: str, bodies: Sequence[bytes]) -> int:
        """Appends records in order in a single append.

        Returns:
            The offset of the first record.

        Raises:
            AppendUnknownError: a fault drops the response.
            LogUnavailableError: the log is down, or the append would wait too
                long for the rate limit.
        """
        await self._wait_for_append_slot()
        await self._check_reachable()
        lost = (
            self.faults.lost_appends.pop(0)
            if self._has_lost_appends()
            else None
        )
        if lost is LostAppend.DROPPED:
            raise AppendUnknownError("the connection was lost")
        first = self._store(self._get_stream(stream), bodies)
        await self._sleep(self.faults.answer_delay_seconds)
        if lost is LostAppend.APPLIED:
            raise AppendUnknownError("the connection was lost")
        return first

    async def read(
        self, *, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogSlice:
        """Reads from ``start`` on; waits up to ``wait`` if there is no record.

        Raises:
            LogUnavailableError: the log is down.
            OffsetExpiredError: the record at ``start`` is no longer retained.
        """
        await self._check_reachable()
        log = self._get_stream(stream)
        deadline = self._clock.elapsed() + wait
        while start >= log.end and self._clock.elapsed() < deadline:
            remaining = deadline - self._clock.elapsed()
            with trio.move_on_after(remaining.total_seconds()):
                await log.appended.wait()
            await self._check_reachable()
        self._expire(log)
        if start < log.earliest:
            raise OffsetExpiredError(earliest=log.earliest)
        index = start - log.earliest
        return LogSlice(
            entries=tuple(log.entries[index : index + limit]),
            earliest=log.earliest,
            end=log.end,
        )

    def list_entries(self, stream: str) -> tuple[LogEntry, ...]:
        """Returns the retained records of a stream regardless of faults."""
        log = self._get_stream(stream)
        self._expire(log)
        return tuple(log.entries)

    async def _wait_for_append_slot(self) -> None:
        now = self._clock.elapsed()
        start_time = max(now, self._next_append)
        if start_time - now > MAX_APPEND_WAIT:
            raise LogUnavailableError("the log's append rate is exceeded")
        self._next_append = start_time + self._interval
        await self._clock.sleep(start_time - now)

    async def _check_reachable(self) -> None:
        await self._sleep(self.faults.delay_seconds)
        if self.faults.down:
            raise LogUnavailableError("the log is down")

    async def _sleep(self, seconds: float) -> None:
        await self._clock.sleep(timedelta(seconds=seconds))

    def _has_lost_appends(self) -> bool:
        return bool(self.faults.lost_appends)

    def _get_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _store(self, log: _Stream, bodies: Sequence[bytes]) -> int:
        first = log.end
        now = self._clock.now()
        for offset, body in enumerate(bodies, start=first):
            log.entries.append(LogEntry(offset=offset, time=now, body=body))
        log.end = first + len(bodies)
        self.append_count += 1
        self._expire(log)
        log.appended.set()
        log.appended = trio.Event()
        return first

    def _expire(self, log: _Stream) -> None:
        oldest = self._clock.now() - self._retention
        expired = 0
        for entry in log.entries:
            if entry.time >= oldest:
                break
            expired += 1
        del log.entries[:expired]


class _AppendBody(msgspec.Struct, frozen=True, kw_only=True):
    bodies: list[bytes]


def build_log_app(log: MemoryLog) -> App:
    """Builds the log's ASGI application, with a control endpoint for faults."""
    service = _LogEndpoints(log=log)
    path = "/streams/{stream}/records"
    return App(
        endpoints=(
            Endpoint(method="POST", pattern=path, handler=service.append),
            Endpoint(method="GET", pattern=path, handler=service.read),
            Endpoint(
                method="PUT",
                pattern="/control/faults",
                handler=service.set_faults,
            ),
        ),
        max_body_bytes=64 * 1024 * 1024,
    )


class _LogEndpoints:
    def __init__(self, *, log: MemoryLog) -> None:
        self._log = log

    async def append(self, request: Request) -> Reply | Refusal:
        body = await request.read_body()
        try:
            message = msgspec.json.decode(body, type=_AppendBody)
            first = await self._log.append(
                stream=request.parameters["stream"], bodies=message.bodies
            )
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        except LogUnavailableError as error:
            return _build_error(503, str(error))
        except AppendUnknownError as error:
            return _build_error(504, str(error))
        return build_json_reply({"first": first})

    async def read(self, request: Request) -> Reply | Refusal:
        try:
            start = int(request.query.get("start", "1"))
            limit = int(request.query.get("limit", "1000"))
            wait = timedelta(milliseconds=int(request.query.get("wait_ms", 0)))
        except ValueError as error:
            return refuse_invalid(f"the query is not of numbers: {error}")
        try:
            log_slice = await self._log.read(
                stream=request.parameters["stream"],
                start=start,
                limit=min(limit, MAX_READ_LIMIT),
                wait=min(wait, MAX_READ_WAIT),
            )
        except LogUnavailableError as error:
            return _build_error(503, str(error))
        except OffsetExpiredError as error:
            return build_json_reply({"earliest": error.earliest}, status=410)
        return _build_slice_reply(log_slice)

    async def set_faults(self, request: Request) -> Reply | Refusal:
        body = await request.read_body()
        try:
            self._log.faults = msgspec.json.decode(body, type=LogFaults)
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        return build_json_reply(self._log.faults)


def _build_slice_reply(log_slice: LogSlice) -> Reply:
    entries = [
        {
            "offset": entry.offset,
            "time": entry.time,
            "body": base64.b64encode(entry.body).decode("ascii"),
        }
        for entry in log_slice.entries
    ]
    return build_json_reply(
        {
            "entries": entries,
            "earliest": log_slice.earliest,
            "end": log_slice.end,
        }
    )


def _build_error(status: int, detail: str) -> Reply:
    return build_json_reply({"detail": detail}, status=status)
