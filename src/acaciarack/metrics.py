"""Collects a node's metrics for Prometheus.

Metric names end with their units. Labels are services, targets and codes.
There is no organisation label: with thousands of organisations, the time
series would not fit in a node's memory. The burn report has figures per
organisation.
"""

import resource
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from acaciarack.observations import Attempt, RequestObservation
from acaciarack.web import Endpoint, Reply, Request

TTFT_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 60.0)
GAP_BUCKETS_SECONDS = (0.01, 0.02, 0.047, 0.1, 0.2, 0.5, 1.0, 3.0, 10.0)
STALL_BUCKETS_SECONDS = (0.0, 0.1, 0.5, 1.0, 3.0, 10.0, 30.0, 120.0)
_INFINITY_BUCKET = (float("inf"),)
_PATH = "/metrics"
_NO_LABELS: dict[str, str] = {}


@dataclass(frozen=True, kw_only=True)
class _GaugeReader:
    gauge: Gauge
    read: Callable[[], float]


class Metrics:
    """The metrics of one node."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._gauge_readers: list[_GaugeReader] = []
        self._requests = self._add_counter(
            "requests_total", "Requests that ended, by service and code."
        )
        self._attempts = self._add_counter(
            "attempts_total", "Dispatches to targets, by target and code."
        )
        self._tokens = self._add_counter(
            "tokens_total", "Tokens delivered to callers, by service."
        )
        self._preemptions = self._add_counter(
            "preemptions_total", "Preemptions that engines reported."
        )
        self._late_gaps = self._add_counter(
            "late_gaps_total", "Gaps between tokens over the objective."
        )
        self._ttft = self._add_histogram(
            "ttft_seconds", "Time to the first token.", TTFT_BUCKETS_SECONDS
        )
        self._longest_gap = self._add_histogram(
            "longest_gap_seconds",
            "Longest time between two tokens of an answer.",
            GAP_BUCKETS_SECONDS,
        )
        self._stall = self._add_histogram(
            "stall_seconds",
            "Time that a caller waited beyond the objectives.",
            STALL_BUCKETS_SECONDS,
        )
        self.add_gauge(
            "cpu_seconds", "Processor time of the process.", _read_cpu_seconds
        )
        self.add_gauge(
            "resident_bytes", "Memory of the process.", _read_resident_bytes
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read at each scrape.

        Args:
            name: ends with its unit; without the prefix ``acaciarack_``.
            description: one sentence.
            read: returns the current value.
        """
        gauge = Gauge(
            f"acaciarack_{name}", description, registry=self._registry
        )
        self._gauge_readers.append(_GaugeReader(gauge=gauge, read=read))

    def observe(self, observation: RequestObservation) -> None:
        """Records a finished request; implements ``ObservationSink``."""
        service = {"service": observation.service}
        refusal = observation.refusal
        code = str(refusal.code) if refusal is not None else "ok"
        self._requests.inc({**service, "code": code})
        self._tokens.add(service, observation.tokens)
        self._preemptions.add(service, observation.preemptions)
        self._late_gaps.add(service, observation.late_gaps)
        self._stall.observe(service, observation.stall.total_seconds())
        if observation.ttft is not None:
            self._ttft.observe(service, observation.ttft.total_seconds())
        if observation.longest_gap > timedelta():
            gap = observation.longest_gap.total_seconds()
            self._longest_gap.observe(service, gap)
        for attempt in observation.attempts:
            self._count_attempt(attempt)

    def _count_attempt(self, attempt: Attempt) -> None:
        if attempt.placement is None:
            return
        refusal = attempt.refusal
        code = str(refusal.code) if refusal is not None else "ok"
        self._attempts.inc({"target": attempt.placement.target, "code": code})

    def build_endpoint(self) -> Endpoint:
        """Returns the endpoint that serves the metrics."""
        return Endpoint(
            method="GET", pattern=_PATH, handler=self._serve_metrics
        )

    def render(self, accept: str = "") -> Reply:
        """Returns all metrics in the format that an Accept header requests."""
        for reader in self._gauge_readers:
            reader.gauge.set(_NO_LABELS, reader.read())
        body, headers = render(self._registry, [accept])
        return Reply(
            headers={name.lower(): value for name, value in headers.items()},
            body=body,
        )

    async def _serve_metrics(self, request: Request) -> Reply:
        return self.render(request.headers.get("accept", ""))

    def _add_counter(self, name: str, description: str) -> Counter:
        return Counter(
            f"acaciarack_{name}", description, registry=self._registry
        )

    def _add_histogram(
        self, name: str, description: str, buckets: tuple[float, ...]
    ) -> Histogram:
        return Histogram(
            f"acaciarack_{name}",
            description,
            registry=self._registry,
            buckets=buckets + _INFINITY_BUCKET,
        )


def _read_cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _read_resident_bytes() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return float(pages * resource.getpagesize())
