"""Estimates how long refused callers should wait before they retry.

Callers are refused while the engines' memory is full and more generations are
queued than can start. A caller that retries at once is refused again. A caller
that retries after the queued generations have started is admitted.
"""

from datetime import timedelta

INITIAL_DURATION = timedelta(seconds=3)
"""Initial value of the average duration of a generation: 300 tokens at 10 ms
per token."""
SMOOTHING_FACTOR = 0.1
"""Weight of the newest duration in the moving average, which covers about ten
durations."""
MIN_RETRY_AFTER = timedelta(milliseconds=400)
"""Shortest wait. If each of a few engines runs one generation, one of them ends
about this often."""
MAX_RETRY_AFTER = timedelta(seconds=4)
"""Longest wait. It already takes more than half of the shortest deadline of
callers (6 s), and lost engines have been replaced by then."""


class WaitEstimator:
    """Estimates waits from a moving average of the generations' durations.

    Attributes:
        mean: the average.
    """

    def __init__(self) -> None:
        self.mean = INITIAL_DURATION

    def record(self, duration: timedelta) -> None:
        """Adds the duration of a completed generation to the average."""
        self.mean += (duration - self.mean) * SMOOTHING_FACTOR

    def estimate(self, *, waiting: int, running: float) -> timedelta:
        """Returns the time until engines can start one more generation.

        Args:
            waiting: the number of generations queued on all nodes.
            running: the number of generations running on all engines. One
                on an engine that works more slowly than usual counts less.
        """
        wait = self.forecast(waiting=waiting, running=running)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))

    def forecast(self, *, waiting: int, running: float) -> timedelta:
        """Returns the same time without limits; see ``estimate``."""
        return self.mean * (waiting + 1) / max(1, running)
