"""Detects that this process was paused."""

from collections.abc import Callable
from datetime import timedelta

from acaciarack.clock import Clock

PAUSE_THRESHOLD = timedelta(seconds=2)
PauseListener = Callable[[], None]


class PauseDetector:
    """Detects a pause as a gap between regular calls of ``mark_running``."""

    def __init__(
        self, *, clock: Clock, threshold: timedelta = PAUSE_THRESHOLD
    ) -> None:
        self._clock = clock
        self._threshold = threshold
        self._last_running: timedelta | None = None
        self._listeners: list[PauseListener] = []

    def add_listener(self, listener: PauseListener) -> None:
        """Adds a listener that is called when a pause is detected."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Returns whether the process was paused since it was last marked.

        Reports each pause once, because a call that detects a pause marks the
        process as running. A call that detects none does not.
        """
        now = self._clock.elapsed()
        if (
            self._last_running is None
            or now - self._last_running <= self._threshold
        ):
            return False
        self._last_running = now
        for listener in self._listeners:
            listener()
        return True

    def mark_running(self) -> None:
        """Marks the process as running; must be called about every second."""
        self.check()
        self._last_running = self._clock.elapsed()
