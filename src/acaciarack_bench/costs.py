"""Measures the processor time of a routing decision."""

import random
import time
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from acaciarack.clock import ManualClock
from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    Route,
    Service,
    ServiceKind,
    Target,
    TargetKind,
)
from acaciarack.decisions import DecisionCore
from acaciarack.loads import LoadReport
from acaciarack.placement import PlacementRequest
from acaciarack.queues import PlacerSettings
from acaciarack_bench.measures import find_percentile

_CAPACITY_TOKENS = 60_000
_RUNNING = 20
_PROMPT_TOKENS = 500
_PREFIXES = 20
_BLOCKS = 8
_OWN_IN_FLIGHT = 50
_DECISIONS_PER_SECOND = 6


@dataclass(frozen=True, kw_only=True)
class DecisionCost:
    """Processor time of decisions, in microseconds.

    Attributes:
        targets: the number of candidate targets.
        p50: the median.
        p95: the 95th percentile.
        mean: the mean.
    """

    targets: int
    p50: float
    p95: float
    mean: float


def measure_decisions(
    *, targets: int, policy: str = "predicted_memory", decisions: int = 2000
) -> DecisionCost:
    """Measures decisions at the pace of one node of a large fleet.

    Args:
        targets: the number of candidate targets.
        policy: the name of the routing policy.
        decisions: how many decisions are measured.
    """
    clock = ManualClock(epoch=datetime(2026, 1, 1, tzinfo=UTC))
    configuration = _build_configuration(targets, policy)
    source = random.Random(1)
    core = DecisionCore(
        clock=clock,
        get_configuration=lambda: configuration,
        is_available=lambda _: True,
        settings=PlacerSettings(),
        source=source,
    )
    spent = []
    for number in range(decisions):
        if number % _DECISIONS_PER_SECOND == 0:
            _report_all(core, configuration, clock, source)
        clock.advance(timedelta(seconds=1) / _DECISIONS_PER_SECOND)
        request = _build_request(number, configuration, clock)
        start = time.thread_time()
        core.offer(request)
        spent.append(1e6 * (time.thread_time() - start))
        core.take_decisions()
        core.record_tokens(f"r{number}", 100)
        core.finish(f"r{number - _OWN_IN_FLIGHT}", succeeded=True)
    spent.sort()
    return DecisionCost(
        targets=targets,
        p50=find_percentile(spent, 0.5),
        p95=find_percentile(spent, 0.95),
        mean=sum(spent) / len(spent),
    )


def _build_configuration(targets: int, policy: str) -> Configuration:
    names = [f"engine-{number}" for number in range(targets)]
    return Configuration(
        version=1,
        services={"s": Service(name="s", kind=ServiceKind.GENERATION)},
        model_choices={
            "c": ModelChoice(name="c", service="s", model="m", version="1")
        },
        routes={"r": Route(name="r", service="s", pool="p", policy=policy)},
        targets={
            name: Target(
                name=name,
                kind=TargetKind.ENGINE,
                host="127.0.0.1",
                port=1,
                data_centre="",
                pool="p",
            )
            for name in names
        },
    )


def _report_all(
    core: DecisionCore,
    configuration: Configuration,
    clock: ManualClock,
    source: random.Random,
) -> None:
    for name in configuration.targets:
        report = LoadReport(
            target=name,
            time=clock.now(),
            capacity_tokens=_CAPACITY_TOKENS,
            used_tokens=source.randrange(_CAPACITY_TOKENS // 2),
            running=_RUNNING,
            waiting=0,
            step_seconds=0.03,
        )
        core.record_report(report)


def _build_request(
    number: int, configuration: Configuration, clock: ManualClock
) -> PlacementRequest:
    prefix = number % _PREFIXES * _BLOCKS
    return PlacementRequest(
        request_id=f"r{number}",
        organisation=f"org-{number % 10}",
        service=configuration.services["s"],
        route=configuration.routes["r"],
        choice=configuration.model_choices["c"],
        prompt_tokens=_PROMPT_TOKENS,
        prefix_hashes=tuple(range(prefix, prefix + _BLOCKS)),
        max_output_tokens=2000,
        arrived=clock.now(),
        deadline=timedelta(seconds=30),
    )
