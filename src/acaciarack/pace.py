"""Measures when the tokens of an answer come."""

from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configuration import Objectives


class Pace:
    """The times between tokens, against a service's objectives.

    Attributes:
        tokens: the tokens seen.
        ttft: time from the start to the first token; ``None`` before it.
        stall: waiting beyond the objectives, added up.
        longest_gap: the longest time between two tokens.
        late_gaps: the number of gaps over the objective.
    """

    def __init__(self, *, clock: Clock, objectives: Objectives) -> None:
        self._clock = clock
        self._ttft_limit = timedelta(seconds=objectives.ttft_seconds)
        self._gap_limit = timedelta(seconds=objectives.token_gap_seconds)
        self._start = clock.elapsed()
        self._newest = self._start
        self.tokens = 0
        self.ttft: timedelta | None = None
        self.stall = timedelta()
        self.longest_gap = timedelta()
        self.late_gaps = 0

    @property
    def duration(self) -> timedelta:
        """Time since the start."""
        return self._clock.elapsed() - self._start

    def record(self, tokens: int) -> None:
        """Records tokens that came together now."""
        if not tokens:
            return
        now = self._clock.elapsed()
        gap = now - self._newest
        self._newest = now
        self.tokens += tokens
        if self.ttft is None:
            self.ttft = gap
            self.stall += max(timedelta(), gap - self._ttft_limit)
            return
        self.longest_gap = max(self.longest_gap, gap)
        self.late_gaps += gap > self._gap_limit
        self.stall += max(timedelta(), gap - self._gap_limit)
