"""Counters and histograms of a gateway node, for Prometheus.

Metric names end in their units. Outcomes are labels. Targets and organisations
are not, because their number is unbounded.
"""

import enum
from datetime import timedelta
from typing import Any, Protocol

from acaciarack.gateway.asgi import serve_lifespan
from acaciarack.web import AsgiApp, Receive, Send

HISTOGRAM_BUCKETS = (
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0, float("inf"),
)  # fmt: skip
"""The upper bounds of the buckets, in seconds. They include the latency
objectives, 0.1 to 1.8 s."""
METRICS_PATH = "/metrics"
_PREFIX = "acaciarack_gateway_"


class Duration(enum.StrEnum):
    """A duration to observe; the value is a part of the metric's name.

    Attributes:
        REQUEST: from a request's arrival until its stream ends, or until its
            response is ready to be written.
        FIRST_EVENT: from a request's arrival to the first event of its stream.
        LONGEST_PAUSE: the longest time between two events of a stream.
        MOVE_PAUSE: from the stop of a run for its migration until it resumes.
        ROOM_WAIT: the time that a generation queues for free capacity on an
            engine, including those that get none.
        CALL_PLACEMENT: the time until the scheduler has placed or refused a
            call, or until its node decides alone.
    """

    REQUEST = "request"
    FIRST_EVENT = "first_event"
    LONGEST_PAUSE = "longest_pause"
    MOVE_PAUSE = "move_pause"
    ROOM_WAIT = "room_wait"
    CALL_PLACEMENT = "call_placement"


class Event(enum.StrEnum):
    """An event to count; the value is a part of the metric's name.

    Attributes:
        REQUESTS: requests that ended, by outcome; those cancelled because the
            caller disconnected are not counted.
        CALLS: sends of plain calls to targets, by outcome.
        CALL_PLACEMENTS: choices of a target for a call to a service whose
            targets report how long work takes there, by who chose.
        COPIES: copies of a run to another engine while the run continues
            (pre-copies), by outcome.
        RUN_CHECKS: questions to engines that leave whether they still have a
            run, by the answer.
        STORE_READS: reads of the store, by outcome.
        EVACUATIONS: evacuations of data centres that begin or end at this node.
        MALFORMED_INPUTS: records, messages, reports and headers that could not
            be decoded, by what they are.
        UNFRAMED_ENDS: closed connections of answers that have neither a length
            nor chunks, by how their end was confirmed or why it was not.
        CONNECTION_FAILURES: connections that an error of this node ended, or
            that were not accepted.
        CALLER_DROPS: callers' connections and requests that were dropped or
            refused for lack of room, by what there was too little of; and those
            whose callers did not read or send in time.
        TASK_FAILURES: unexpected errors of the node's tasks, by task.
    """

    REQUESTS = "requests"
    CALLS = "calls"
    CALL_PLACEMENTS = "call_placements"
    COPIES = "copies"
    RUN_CHECKS = "run_checks"
    STORE_READS = "store_reads"
    EVACUATIONS = "evacuations"
    MALFORMED_INPUTS = "malformed_inputs"
    UNFRAMED_ENDS = "unframed_ends"
    CONNECTION_FAILURES = "connection_failures"
    CALLER_DROPS = "caller_drops"
    TASK_FAILURES = "task_failures"


class Meters(Protocol):
    """Records metrics."""

    def count(self, event: Event, outcome: str) -> None:
        """Counts one event."""
        ...

    def observe(self, kind: Duration, duration: timedelta) -> None:
        """Adds a duration to its histogram."""
        ...


class NullMeters:
    """Discards all metrics; for tests and tools."""

    def count(self, event: Event, outcome: str) -> None:
        """Does nothing."""

    def observe(self, kind: Duration, duration: timedelta) -> None:
        """Does nothing."""


class PrometheusMeters:
    """Records metrics and serves them to Prometheus."""

    def __init__(self) -> None:
        # The late import saves 2 MB of memory in tests and tools that do not
        # need it.
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
                buckets=HISTOGRAM_BUCKETS,
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
        """Builds the application that serves the metrics."""
        from aioprometheus import render

        async def serve(
            scope: dict[str, Any], receive: Receive, send: Send
        ) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            body, headers = b"", {}
            if scope["path"] == METRICS_PATH:
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

        return serve
