"""Finds out that this process was paused for a while."""

from collections.abc import Callable
from datetime import timedelta

from acaciarack.clock import Clock

PAUSE_LIMIT = timedelta(seconds=2)
PauseListener = Callable[[], None]


class PauseDetector:
    """Compares the monotonic clock with beats that should be regular."""

    def __init__(self, *, clock: Clock, limit: timedelta = PAUSE_LIMIT) -> None:
        self._clock = clock
        self._limit = limit
        self._last_beat: timedelta | None = None
        self._listeners: list[PauseListener] = []

    def add_listener(self, listener: PauseListener) -> None:
        """Adds what is called, at once, when a pause is found."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Returns whether the process was paused since the last beat.

        A pause is told once; the call itself counts as a beat only then.
        """
        now = self._clock.elapsed()
        if self._last_beat is None or now - self._last_beat <= self._limit:
            return False
        self._last_beat = now
        for listener in self._listeners:
            listener()
        return True

    def beat(self) -> None:
        """Tells that the process runs; to be called every second or so."""
        self.check()
        self._last_beat = self._clock.elapsed()
