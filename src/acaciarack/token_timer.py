"""Measures the times between the tokens of a stream."""

from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configuration import Objectives


class TokenTimer:
    """Compares the token times of a stream with a service's objectives.

    Attributes:
        tokens: the number of recorded tokens.
        ttft: the time to first token; ``None`` before it.
        stall: the total time by which the first token and the gaps exceeded
            their objectives.
        longest_gap: the longest time between two recorded arrivals of tokens.
        late_gaps: the number of gaps longer than the objective.
    """

    def __init__(self, *, clock: Clock, objectives: Objectives) -> None:
        self._clock = clock
        self._ttft_limit = timedelta(seconds=objectives.ttft_seconds)
        self._gap_limit = timedelta(seconds=objectives.token_gap_seconds)
        self._start = clock.elapsed()
        self._last_token_at = self._start
        self.tokens = 0
        self.ttft: timedelta | None = None
        self.stall = timedelta()
        self.longest_gap = timedelta()
        self.late_gaps = 0

    @property
    def duration(self) -> timedelta:
        """The time since the timer was created."""
        return self._clock.elapsed() - self._start

    def record(self, tokens: int) -> None:
        """Records tokens that arrived together at the current time."""
        if not tokens:
            return
        now = self._clock.elapsed()
        gap = now - self._last_token_at
        self._last_token_at = now
        self.tokens += tokens
        if self.ttft is None:
            self.ttft = gap
            self.stall += max(timedelta(), gap - self._ttft_limit)
            return
        self.longest_gap = max(self.longest_gap, gap)
        self.late_gaps += gap > self._gap_limit
        self.stall += max(timedelta(), gap - self._gap_limit)
