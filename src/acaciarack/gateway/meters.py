"""Counters and latencies of a gateway node, for Prometheus.

Names end in their units. Labels are outcomes and kinds; targets and
organisations are no labels, since their number is not bounded.
"""

import enum
from datetime import timedelta
from typing import Any, Protocol

from acaciarack.gateway.asgi import serve_lifespan
from acaciarack.web import AsgiApp, Receive, Send

SECONDS_BUCKETS = (
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0, float("inf"),
)  # fmt: skip
"""Bounds of the histograms; the objectives of 0.1 to 1.8 s are among them."""
PATH = "/metrics"
_PREFIX = "acaciarack_gateway_"


class Duration(enum.StrEnum):
    """What is timed; the value is a part of the metric's name.

    Attributes:
        REQUEST: from a request's arrival to the end of its answer.
        FIRST_EVENT: from arrival to a stream's first event.
        LONGEST_PAUSE: the longest time between two events of a stream.
        MOVE_PAUSE: from a run's stop to its going on elsewhere.
        ROOM_WAIT: the wait for room in an engine.
    """

    REQUEST = "request"
    FIRST_EVENT = "first_event"
    LONGEST_PAUSE = "longest_pause"
    MOVE_PAUSE = "move_pause"
    ROOM_WAIT = "room_wait"


class Event(enum.StrEnum):
    """What is counted; the value is a part of the metric's name.

    Attributes:
        REQUESTS: requests that ended, by outcome.
        CALLS: sends of plain calls, by outcome.
        COPIES: copies of runs, by outcome.
        STORE_READS: reads of the store, by outcome.
    """

    REQUESTS = "requests"
    CALLS = "calls"
    COPIES = "copies"
    STORE_READS = "store_reads"


class Meters(Protocol):
    """Takes what is counted and timed."""

    def count(self, event: Event, outcome: str) -> None:
        """Counts one event."""
        ...

    def observe(self, kind: Duration, duration: timedelta) -> None:
        """Adds a duration to its histogram."""
        ...


class NoMeters:
    """Counts nothing; for parts that are used by themselves."""

    def count(self, event: Event, outcome: str) -> None:
        """Counts nothing."""

    def observe(self, kind: Duration, duration: timedelta) -> None:
        """Times nothing."""


class PrometheusMeters:
    """Counts for Prometheus, and serves what it has counted."""

    def __init__(self) -> None:
        # Imported here, since it takes 2 MB that tests and tools need not.
        from aioprometheus import Counter, Histogram, Registry

        self._registry = Registry()
        self._counters = {
            event: Counter(
                f"{_PREFIX}{event}_total",
                f"{event.replace('_', ' ')}, by outcome",
                registry=self._registry,
            )
            for event in Event
        }
        self._histograms = {
            kind: Histogram(
                f"{_PREFIX}{kind}_seconds",
                kind.replace("_", " "),
                registry=self._registry,
                buckets=SECONDS_BUCKETS,
            )
            for kind in Duration
        }

    def count(self, event: Event, outcome: str) -> None:
        """Counts one event."""
        self._counters[event].inc({"outcome": outcome})

    def observe(self, kind: Duration, duration: timedelta) -> None:
        """Adds a duration to its histogram."""
        self._histograms[kind].observe({}, duration.total_seconds())

    def build_app(self) -> AsgiApp:
        """Returns the application that serves the metrics."""
        from aioprometheus import render

        async def answer(
            scope: dict[str, Any], receive: Receive, send: Send
        ) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            body, headers = b"", {}
            if scope["path"] == PATH:
                body, headers = render(self._registry, [])
            await send(
                {
                    "type": "http.response.start",
                    "status": 200 if body else 404,
                    "headers": [
                        (name.lower().encode(), value.encode())
                        for name, value in headers.items()
                    ]
                    + [(b"content-length", str(len(body)).encode())],
                }
            )
            await send({"type": "http.response.body", "body": body})

        return answer
