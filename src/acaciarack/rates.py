"""Rates of events with weights that halve with age."""

import math
from datetime import timedelta


class Rate:
    """Events per second, the newer ones weighing more."""

    def __init__(self, *, half_life: timedelta) -> None:
        self._half_life = half_life
        self._weight = math.log(2) / half_life.total_seconds()
        self._value = 0.0
        self._time = timedelta()

    def record(self, now: timedelta) -> None:
        """Counts an event at elapsed time ``now``."""
        self._value = self.get(now) + self._weight
        self._time = now

    def get(self, now: timedelta) -> float:
        """Returns events per second at elapsed time ``now``."""
        return float(
            self._value * 0.5 ** ((now - self._time) / self._half_life)
        )
