"""Reads the load reports and cache events that targets publish."""

from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
)
from contextlib import aclosing, asynccontextmanager
from datetime import timedelta
from typing import Protocol, TypeVar

import httpcore
import logbook
import msgspec
import trio

from acaciarack.backoff import Backoff
from acaciarack.clock import Clock
from acaciarack.configuration import Target, TargetKind
from acaciarack.errors import AcaciarackError
from acaciarack.loads import CacheEvent, LoadReport

MAX_EVENT_BYTES = 256 * 1024
DEFAULT_TIMEOUT = timedelta(seconds=3)
"""Timeout of one connect, read or write."""
_LOG = logbook.Logger(__name__)

T = TypeVar("T")
LoadSink = Callable[[LoadReport], None]
CacheSink = Callable[[CacheEvent], None]
SuspicionSink = Callable[[str], None]


class WatchError(AcaciarackError):
    """A target's stream could not be opened, failed or timed out."""


class TargetFeed(Protocol):
    """Opens the streams that targets publish."""

    def open_load_reports(
        self, target: Target
    ) -> AsyncGenerator[LoadReport, None]:
        """Yields load reports until the stream ends.

        Raises:
            WatchError: the stream cannot be opened, or failed.
        """
        ...

    def open_cache_events(
        self, target: Target, *, after: int
    ) -> AsyncGenerator[CacheEvent, None]:
        """Yields cache events with a sequence number above ``after``.

        Raises:
            WatchError: the stream cannot be opened, or failed.
        """
        ...


class EventParser:
    """Parses the data of server-sent events from a byte stream."""

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._pending = b""
        self._data: list[bytes] = []

    def parse(self, chunk: bytes) -> Iterator[bytes]:
        """Yields the data of each event that ``chunk`` completes.

        Raises:
            WatchError: an event exceeds the size limit.
        """
        *lines, self._pending = (self._pending + chunk).split(b"\n")
        for line in lines:
            line = line.rstrip(b"\r")
            if line.startswith(b"data:"):
                self._data.append(line.removeprefix(b"data:").strip())
            elif not line and self._data:
                yield b"\n".join(self._data)
                self._data.clear()
            self._check_size()
        self._check_size()

    def _check_size(self) -> None:
        size = len(self._pending) + sum(map(len, self._data))
        if size > self._max_event_bytes:
            raise WatchError(
                f"server-sent event is over {self._max_event_bytes} bytes"
            )


class HttpTargetFeed:
    """Reads the streams over HTTP, each on a separate connection."""

    def __init__(
        self,
        *,
        io_timeout: timedelta = DEFAULT_TIMEOUT,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        """Creates the feed.

        Args:
            io_timeout: the timeout of a connect, a read and a write. A stream
                fails if it delivers no bytes for this time.
            backend: opens connections; httpcore's default if ``None``.
        """
        self._io_timeout = io_timeout.total_seconds()
        self._backend = backend

    async def open_load_reports(
        self, target: Target
    ) -> AsyncGenerator[LoadReport, None]:
        """Yields the load reports of ``target``; see ``TargetFeed``."""
        events = self._read_events(target, "/v1/load", LoadReport)
        async with aclosing(events):
            async for event in events:
                yield event

    async def open_cache_events(
        self, target: Target, *, after: int
    ) -> AsyncGenerator[CacheEvent, None]:
        """Yields the cache events of ``target``; see ``TargetFeed``."""
        path = f"/v1/cache-events?after={after}"
        events = self._read_events(target, path, CacheEvent)
        async with aclosing(events):
            async for event in events:
                yield event

    async def _read_events(
        self, target: Target, path: str, event_type: type[T]
    ) -> AsyncGenerator[T, None]:
        parser = EventParser()
        try:
            async with self._open(target, path) as response:
                _check_status(target, path, response.status)
                async for chunk in response.aiter_stream():
                    for data in parser.parse(chunk):
                        yield msgspec.json.decode(data, type=event_type)
        except msgspec.DecodeError as error:
            raise WatchError(f"{target.name}{path}: {error}") from error
        except (httpcore.TimeoutException, httpcore.NetworkError) as error:
            raise WatchError(f"{target.name}{path}: {error!r}") from error
        except httpcore.ProtocolError as error:
            raise WatchError(f"{target.name}{path}: {error!r}") from error

    @asynccontextmanager
    async def _open(
        self, target: Target, path: str
    ) -> AsyncIterator[httpcore.Response]:
        timeout = {
            "connect": self._io_timeout,
            "read": self._io_timeout,
            "write": self._io_timeout,
        }
        url = httpcore.URL(
            scheme=b"http",
            host=target.host.encode("ascii"),
            port=target.port,
            target=path.encode("ascii"),
        )
        async with (
            httpcore.AsyncConnectionPool(
                network_backend=self._backend
            ) as connections,
            connections.stream(
                "GET", url, extensions={"timeout": timeout}
            ) as response,
        ):
            yield response


def _check_status(target: Target, path: str, status: int) -> None:
    if status != 200:
        raise WatchError(f"{target.name}{path}: HTTP status {status}, not 200")


class TargetWatcher:
    """Reads the load reports and cache events of one target."""

    def __init__(
        self,
        *,
        target: Target,
        feed: TargetFeed,
        clock: Clock,
        load_sink: LoadSink,
        cache_sink: CacheSink,
        suspicion_sink: SuspicionSink,
    ) -> None:
        """Creates the watcher.

        Args:
            target: the target.
            feed: opens its streams.
            clock: the clock for reconnect delays.
            load_sink: called with each load report; reports with the name of
                another target are ignored.
            cache_sink: called with each cache event.
            suspicion_sink: called with the target's name whenever its load
                stream cannot be opened, fails, times out or ends.
        """
        self._target = target
        self._feed = feed
        self._clock = clock
        self._load_sink = load_sink
        self._cache_sink = cache_sink
        self._suspicion_sink = suspicion_sink
        self._last_sequence = 0

    async def run(self) -> None:
        """Reads the streams and reconnects until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_with_backoff, self._read_load_reports)
            if self._target.kind is TargetKind.ENGINE:
                nursery.start_soon(
                    self._run_with_backoff, self._read_cache_events
                )

    async def _run_with_backoff(self, read_stream: "StreamReader") -> None:
        """Reopens a stream after each end, with a growing delay."""
        backoff = Backoff()
        while True:
            await read_stream(backoff)
            await self._clock.sleep(backoff.next_delay())

    async def _read_load_reports(self, backoff: Backoff) -> None:
        reports = self._feed.open_load_reports(self._target)
        try:
            async with aclosing(reports):
                async for report in reports:
                    backoff.reset()
                    await trio.lowlevel.checkpoint_if_cancelled()
                    if report.target == self._target.name:
                        self._load_sink(report)
        except WatchError as error:
            _LOG.warning("load stream of a target failed: {}", error)
        self._suspicion_sink(self._target.name)

    async def _read_cache_events(self, backoff: Backoff) -> None:
        events = self._feed.open_cache_events(
            self._target, after=self._last_sequence
        )
        try:
            async with aclosing(events):
                async for event in events:
                    backoff.reset()
                    await trio.lowlevel.checkpoint_if_cancelled()
                    self._last_sequence = event.sequence
                    self._cache_sink(event)
        except WatchError as error:
            _LOG.warning("cache event stream of a target failed: {}", error)


StreamReader = Callable[[Backoff], Awaitable[None]]
