"""A bounded buffer between an engine's stream and one caller."""

from collections.abc import AsyncIterator, Callable
from datetime import timedelta

import trio

from acaciarack.errors import Refusal
from acaciarack.web import CallerGoneError

MAX_BUFFERED_BYTES = 256 * 1024
SLOW_CALLER_TIMEOUT = timedelta(seconds=30)


class CallerLeftError(CallerGoneError):
    """The caller closed the connection or stopped reading."""


class ResponseBuffer:
    """Buffers the response bytes for one caller.

    ``put`` waits while the buffer is full, so that a slow caller delays only
    its own generation. ``take`` returns all buffered bytes at once.
    """

    def __init__(
        self,
        *,
        max_bytes: int = MAX_BUFFERED_BYTES,
        slow_timeout: timedelta = SLOW_CALLER_TIMEOUT,
    ) -> None:
        self._max_bytes = max_bytes
        self._slow_timeout_seconds = slow_timeout.total_seconds()
        self._chunks: list[bytes] = []
        self._size = 0
        self._ended = False
        self._closed = False
        self._refusal: Refusal | None = None
        self._waiters = trio.lowlevel.ParkingLot()
        self._on_close: Callable[[], None] | None = None

    @property
    def closed(self) -> bool:
        """Whether the caller disconnected or stopped reading before the end."""
        return self._closed

    def set_close_callback(self, on_close: Callable[[], None]) -> None:
        """Sets a function to call when the buffer is closed.

        The function is called at once if the buffer is closed already.
        """
        self._on_close = on_close
        if self._closed:
            on_close()

    async def put(self, data: bytes) -> None:
        """Adds bytes, waiting while the buffer is full.

        Raises:
            CallerLeftError: the caller disconnected, or read nothing within
                the timeout.
        """
        while self._size >= self._max_bytes and not self._closed:
            with trio.move_on_after(self._slow_timeout_seconds) as scope:
                await self._waiters.park()
            if scope.cancelled_caught:
                raise CallerLeftError("the caller has stopped reading")
        if self._closed:
            raise CallerLeftError("the caller closed the connection")
        self._chunks.append(data)
        self._size += len(data)
        self._notify_waiters()

    def end(self, refusal: Refusal | None = None) -> None:
        """Ends the response; ``refusal`` applies only if no bytes were put."""
        self._ended = True
        self._refusal = refusal
        self._notify_waiters()

    def close(self) -> None:
        """Records that the caller disconnected or stopped reading.

        Has no effect after the caller has read the complete response.
        """
        if self._closed or (self._ended and not self._chunks):
            return
        self._closed = True
        self._notify_waiters()
        if self._on_close is not None:
            self._on_close()

    async def wait_for_start(self) -> Refusal | None:
        """Waits for the first bytes or the end.

        Returns:
            The refusal if the response ended without bytes; otherwise
            ``None``.
        """
        while not self._chunks and not self._ended:
            await self._waiters.park()
        return None if self._chunks else self._refusal

    async def take(self) -> bytes:
        """Waits for bytes and returns all of them, or ``b""`` at the end."""
        while not self._chunks and not self._ended:
            await self._waiters.park()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        self._notify_waiters()
        return data

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yields the bytes up to the end; if stopped early, closes the buffer.

        Raises:
            CallerLeftError: the buffer was closed before the end.
        """
        try:
            while data := await self.take():
                yield data
            if self._closed:
                raise CallerLeftError("the caller had stopped reading")
        finally:
            self.close()

    def _notify_waiters(self) -> None:
        if self._waiters:
            self._waiters.unpark_all()
