"""Measures the CPU time of a routing decision."""

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
_RUNNING_GENERATIONS = 20
_PROMPT_TOKENS = 500
_PREFIX_COUNT = 20
_BLOCKS_PER_PREFIX = 8
_IN_FLIGHT_REQUESTS = 50
_DECISIONS_PER_SECOND = 6


@dataclass(frozen=True, kw_only=True)
class DecisionCost:
    """The CPU time of decisions, in microseconds.

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
    """Measures decisions at the rate of one node in a large fleet.

    Args:
        targets: the number of candidate targets.
        policy: the name of the routing policy.
        decisions: the number of decisions to measure.
    """
    clock = ManualClock(epoch=datetime(2026, 1, 1, tzinfo=UTC))
    configuration = _build_configuration(targets, policy)
    rng = random.Random(1)
    core = DecisionCore(
        clock=clock,
        get_configuration=lambda: configuration,
        is_available=lambda _: True,
        settings=PlacerSettings(),
        rng=rng,
    )
    durations = []
    for number in range(decisions):
        if number % _DECISIONS_PER_SECOND == 0:
            _record_reports(core, configuration, clock, rng)
        clock.advance(timedelta(seconds=1) / _DECISIONS_PER_SECOND)
        request = _build_request(number, configuration, clock)
        start = time.thread_time()
        core.add_request(request)
        durations.append(1e6 * (time.thread_time() - start))
        core.take_decisions()
        core.record_tokens(f"r{number}", 100)
        core.finish(f"r{number - _IN_FLIGHT_REQUESTS}", succeeded=True)
    durations.sort()
    return DecisionCost(
        targets=targets,
        p50=find_percentile(durations, 0.5),
        p95=find_percentile(durations, 0.95),
        mean=sum(durations) / len(durations),
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


def _record_reports(
    core: DecisionCore,
    configuration: Configuration,
    clock: ManualClock,
    rng: random.Random,
) -> None:
    for name in configuration.targets:
        report = LoadReport(
            target=name,
            time=clock.now(),
            capacity_tokens=_CAPACITY_TOKENS,
            used_tokens=rng.randrange(_CAPACITY_TOKENS // 2),
            running=_RUNNING_GENERATIONS,
            waiting=0,
            step_seconds=0.03,
        )
        core.record_report(report)


def _build_request(
    number: int, configuration: Configuration, clock: ManualClock
) -> PlacementRequest:
    prefix = number % _PREFIX_COUNT * _BLOCKS_PER_PREFIX
    return PlacementRequest(
        request_id=f"r{number}",
        organisation=f"org-{number % 10}",
        service=configuration.services["s"],
        route=configuration.routes["r"],
        choice=configuration.model_choices["c"],
        prompt_tokens=_PROMPT_TOKENS,
        prefix_hashes=tuple(range(prefix, prefix + _BLOCKS_PER_PREFIX)),
        max_output_tokens=2000,
        arrived=clock.now(),
        deadline=timedelta(seconds=30),
    )
