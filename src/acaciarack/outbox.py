"""A bounded buffer between the reader of an engine and one caller."""

from collections.abc import AsyncIterator, Callable
from datetime import timedelta

import trio

from acaciarack.errors import Refusal
from acaciarack.web import CallerGoneError

MAX_WAITING_BYTES = 256 * 1024
SLOW_CALLER_LIMIT = timedelta(seconds=30)


class CallerLeftError(CallerGoneError):
    """The caller closed its connection or has stopped reading."""


class Outbox:
    """Bytes that wait for one caller.

    ``put`` waits while the buffer is full, so a slow caller slows only the
    reader of its own generation. ``take`` returns all that waits at once.
    """

    def __init__(
        self,
        *,
        max_bytes: int = MAX_WAITING_BYTES,
        slow_limit: timedelta = SLOW_CALLER_LIMIT,
    ) -> None:
        self._max_bytes = max_bytes
        self._slow_seconds = slow_limit.total_seconds()
        self._parts: list[bytes] = []
        self._size = 0
        self._ended = False
        self._closed = False
        self._refusal: Refusal | None = None
        self._changed = trio.lowlevel.ParkingLot()
        self._on_close: Callable[[], None] | None = None

    @property
    def closed(self) -> bool:
        """Whether the caller left before the end."""
        return self._closed

    def notify_close(self, on_close: Callable[[], None]) -> None:
        """Sets what is called when the caller leaves."""
        self._on_close = on_close
        if self._closed:
            on_close()

    async def put(self, data: bytes) -> None:
        """Adds bytes, waiting while the buffer is full.

        Raises:
            CallerLeftError: the caller left, or took nothing for too long.
        """
        while self._size >= self._max_bytes and not self._closed:
            with trio.move_on_after(self._slow_seconds) as scope:
                await self._changed.park()
            if scope.cancelled_caught:
                raise CallerLeftError("the caller has stopped reading")
        if self._closed:
            raise CallerLeftError("the caller closed the connection")
        self._parts.append(data)
        self._size += len(data)
        self._signal()

    def end(self, refusal: Refusal | None = None) -> None:
        """Marks the end; a refusal counts only if nothing was put."""
        self._ended = True
        self._refusal = refusal
        self._signal()

    def close(self) -> None:
        """Tells that the caller takes nothing more."""
        if self._closed or (self._ended and not self._parts):
            return
        self._closed = True
        self._signal()
        if self._on_close is not None:
            self._on_close()

    async def wait_start(self) -> Refusal | None:
        """Waits for the first bytes or the end.

        Returns:
            The refusal if there is no answer, else ``None``.
        """
        while not self._parts and not self._ended:
            await self._changed.park()
        return None if self._parts else self._refusal

    async def take(self) -> bytes:
        """Returns all that waits, or no bytes at the end."""
        while not self._parts and not self._ended:
            await self._changed.park()
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._signal()
        return data

    async def read(self) -> AsyncIterator[bytes]:
        """Yields what comes until the end, and closes when abandoned.

        Raises:
            CallerLeftError: the writer left off because nothing was taken.
        """
        try:
            while data := await self.take():
                yield data
            if self._closed:
                raise CallerLeftError("the caller had stopped reading")
        finally:
            self.close()

    def _signal(self) -> None:
        if self._changed:
            self._changed.unpark_all()
