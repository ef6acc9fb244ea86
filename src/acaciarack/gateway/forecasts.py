"""Forecasts when engines have room, for callers that are told to come back.

Answers a fleet whose memory is taken while more generations wait than it has
room for. A caller that is told to come back at once meets the same fleet and
is refused again; one that comes back when those before it have begun is not.
"""

from datetime import timedelta

FIRST_DURATION = timedelta(seconds=3)
"""A generation's time on its engine before any has ended here: 300 tokens at
10 ms each."""
NEWEST_WEIGHT = 0.1
"""What the newest duration counts in the mean: that of about ten."""
SHORTEST = timedelta(milliseconds=400)
"""The shortest time to come back after: with one generation on each of a few
engines, one ends about as often."""
LONGEST = timedelta(seconds=4)
"""The longest: more than half of the 6 s that the most hurried callers have;
by then lost engines have been replaced."""


class RoomForecast:
    """Learns how long generations stay; forecasts when one ends."""

    def __init__(self) -> None:
        self._mean = FIRST_DURATION

    def record(self, duration: timedelta) -> None:
        """Takes in how long a generation was on its engine."""
        self._mean += (duration - self._mean) * NEWEST_WEIGHT

    def get_wait(self, *, waiting: int, running: int) -> timedelta:
        """Returns after how long one more finds room.

        Args:
            waiting: generations that wait on all nodes.
            running: generations that run on all engines.
        """
        wait = self._mean * (waiting + 1) / max(1, running)
        return min(LONGEST, max(SHORTEST, wait))
