"""Event rates with exponential decay."""

import math
from datetime import timedelta


class Rate:
    """An event rate per second, as an exponentially decaying average."""

    def __init__(self, *, half_life: timedelta) -> None:
        self._half_life = half_life
        self._increment = math.log(2) / half_life.total_seconds()
        self._value = 0.0
        self._updated_at = timedelta()

    def record(self, now: timedelta) -> None:
        """Counts an event at elapsed time ``now``."""
        self._value = self.get(now) + self._increment
        self._updated_at = now

    def get(self, now: timedelta) -> float:
        """Returns the rate in events per second at elapsed time ``now``."""
        return float(
            self._value * 0.5 ** ((now - self._updated_at) / self._half_life)
        )
