"""Counters and latencies of a gateway node, for Prometheus.

Names end in their units. Labels are outcomes and kinds; servers and
organisations are no labels, since their number is not bounded.
"""

from datetime import timedelta
from typing import Protocol

SECONDS_BUCKETS = (
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0,
)  # fmt: skip
"""Bounds of the histograms; the objectives of 0.1 to 1.8 s are among them."""


class Meters(Protocol):
    """Takes what is counted."""

    def count_request(self, outcome: str, took: timedelta) -> None:
        """Counts a request at its end."""
        ...

    def count_call(self, kind: str, outcome: str) -> None:
        """Counts a call to the platform's store or of a move."""
        ...

    def observe(self, name: str, duration: timedelta) -> None:
        """Adds a duration to the histogram ``name``."""
        ...


class NoMeters:
    """Counts nothing; for tests."""

    def count_request(self, outcome: str, took: timedelta) -> None:
        """Counts nothing."""

    def count_call(self, kind: str, outcome: str) -> None:
        """Counts nothing."""

    def observe(self, name: str, duration: timedelta) -> None:
        """Counts nothing."""
