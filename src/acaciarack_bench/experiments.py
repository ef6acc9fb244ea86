"""Experiments that compare routing policies in simulation, read from a file.

An experiment runs each cell once for each policy and seed, in a few worker
processes. Equal seeds give equal results, except for the measured time of
decisions.
"""

import json
import multiprocessing
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from datetime import timedelta
from pathlib import Path

import msgspec

from acaciarack.admission import AdmissionSettings
from acaciarack.configuration import (
    Delivery,
    Objectives,
    Service,
    ServiceKind,
)
from acaciarack.errors import AcaciarackError
from acaciarack.lengths import LengthSettings
from acaciarack.queues import PlacerSettings
from acaciarack_bench.driver import Driver, FleetSettings, RunSettings
from acaciarack_bench.measures import Recorder, Summary, summarise
from acaciarack_bench.model import EngineSettings
from acaciarack_bench.plots import plot_results
from acaciarack_bench.tables import Result, write_tables
from acaciarack_bench.traces import (
    LengthShape,
    Pattern,
    TraceSettings,
    compute_rate,
    generate_trace,
    list_organisations,
)

MAX_WORKERS = 5


class ExperimentError(AcaciarackError):
    """An experiment file is missing or invalid."""


@dataclass(frozen=True, kw_only=True)
class Cell:
    """One combination of conditions under which policies are compared.

    Attributes:
        name: the cell's name, unique in the experiment.
        policies: the names of the routing policies.
        load: the demand for KV cache as a fraction of the fleet's memory.
        pattern: how the arrival rate changes over time.
        large_organisations: the number of organisations that send more
            requests than the others.
        large_factor: the ratio of a large organisation's request rate to that
            of each other organisation.
        nodes: the number of nodes.
        report_lag_seconds: the delay of load reports and cache events.
        digest_interval_seconds: the time between two digests of a node; 0 for
            no digests.
        digest_lag_seconds: the delay of digests.
        kill_at_seconds: when the first engine dies; negative for never.
        quantile: the admission quantile; 0 to use the experiment's.
        affinity_weight: the weight of cached prefixes in routing.
    """

    name: str
    policies: tuple[str, ...]
    load: float
    pattern: Pattern = Pattern.BURSTS
    large_organisations: int = 3
    large_factor: float = 3.0
    nodes: int = 6
    report_lag_seconds: float = 0.1
    digest_interval_seconds: float = 0.08
    digest_lag_seconds: float = 0.02
    kill_at_seconds: float = -1.0
    quantile: float = 0.0
    affinity_weight: float = 0.05


@dataclass(frozen=True, kw_only=True)
class Experiment:
    """The contents of an experiment file.

    Attributes:
        name: the prefix of the result files' names.
        seeds: the number of seeds for each cell and policy.
        measured_from_seconds: the start of the measured part of a run.
        duration_seconds: the time after which no request arrives.
        engines: the number of engines.
        capacity_tokens: size of an engine's KV cache, in tokens.
        max_running: maximum number of generations in an engine's batch.
        prompt: the distribution of prompt lengths.
        output: the distribution of output lengths.
        objectives: the latency objectives.
        deadline_seconds: the longest wait for a first token.
        delivery: how the service delivers tokens; with ``STREAM``, a request
            that has received tokens is not retried after its engine dies.
        max_output_tokens: the limit on a response's length.
        quantile: the admission quantile.
        wait_factor: see ``PlacerSettings``.
        prior_median_tokens: see ``LengthSettings``.
        cells: the cells.
    """

    name: str
    seeds: int
    measured_from_seconds: float
    duration_seconds: float
    engines: int
    capacity_tokens: int
    max_running: int
    prompt: LengthShape
    output: LengthShape
    objectives: Objectives
    deadline_seconds: float
    delivery: Delivery = Delivery.STREAM
    max_output_tokens: int = 32768
    quantile: float = 0.9
    wait_factor: float = 1.0
    prior_median_tokens: float = 300.0
    cells: tuple[Cell, ...] = field(default=())


@dataclass(frozen=True, kw_only=True)
class _Job:
    experiment: Experiment
    cell: Cell
    policy: str
    seed: int


def read_experiment(path: Path) -> Experiment:
    """Reads an experiment file.

    Raises:
        ExperimentError: the file is unreadable, or a field is invalid.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (OSError, msgspec.MsgspecError) as error:
        raise ExperimentError(f"{path}: {error}") from error


def run_experiment(path: Path, out: Path, *, seeds: int | None = None) -> None:
    """Runs an experiment and writes results as JSON, CSV, Markdown and plots.

    Args:
        path: the experiment file.
        out: the directory for the results; created if it does not exist.
        seeds: the number of seeds; ``None`` to use the file's.

    Raises:
        ExperimentError: the file is unreadable, or a field is invalid.
    """
    experiment = read_experiment(path)
    jobs = list(_list_jobs(experiment, seeds or experiment.seeds))
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(MAX_WORKERS, len(jobs))) as pool:
        results = pool.map(_run_job, jobs, chunksize=1)
    out.mkdir(parents=True, exist_ok=True)
    document = [asdict(result) for result in results]
    text = json.dumps(document, indent=1)
    (out / f"{experiment.name}.json").write_text(text + "\n")
    write_tables(results, out=out, name=experiment.name)
    plot_results(results, out=out, name=experiment.name)


def run_cell(
    experiment: Experiment, cell: Cell, *, policy: str, seed: int
) -> Result:
    """Simulates one cell with one policy and one seed."""
    settings = build_run(experiment, cell, policy=policy, seed=seed)
    recorder = Recorder(objectives=experiment.objectives)
    driver = Driver(settings=settings, recorder=recorder)
    trace = build_trace(experiment, cell)
    engine = settings.fleet.engine
    rate = compute_rate(
        trace, engine, engines=experiment.engines, load=cell.load
    )
    arrivals = generate_trace(
        trace,
        rate=rate,
        duration=settings.duration,
        block_tokens=engine.block_tokens,
        seed=seed,
    )
    driver.run(arrivals)
    summary: Summary = summarise(recorder, experiment.objectives)
    return Result(
        cell=cell.name,
        policy=policy,
        seed=seed,
        summary=summary,
        decision_microseconds=1e6
        * driver.decision_seconds
        / max(1, driver.decisions),
    )


def build_run(
    experiment: Experiment, cell: Cell, *, policy: str, seed: int
) -> RunSettings:
    """Builds the settings of one run."""
    service = Service(
        name="service",
        kind=ServiceKind.GENERATION,
        delivery=experiment.delivery,
        deadline_seconds=experiment.deadline_seconds,
        max_output_tokens=experiment.max_output_tokens,
        objectives=experiment.objectives,
    )
    fleet = FleetSettings(
        engine=EngineSettings(
            capacity_tokens=experiment.capacity_tokens,
            max_running=experiment.max_running,
        ),
        engines=experiment.engines,
        nodes=cell.nodes,
        service=service,
        report_lag=timedelta(seconds=cell.report_lag_seconds),
        digest_interval=timedelta(seconds=cell.digest_interval_seconds),
        digest_lag=timedelta(seconds=cell.digest_lag_seconds),
    )
    placer = PlacerSettings(
        admission=AdmissionSettings(
            quantile=cell.quantile or experiment.quantile
        ),
        lengths=LengthSettings(
            prior_median_tokens=experiment.prior_median_tokens
        ),
        affinity_weight=cell.affinity_weight,
        wait_factor=experiment.wait_factor,
    )
    kill_at = None
    if cell.kill_at_seconds >= 0:
        kill_at = timedelta(seconds=cell.kill_at_seconds)
    return RunSettings(
        fleet=fleet,
        placer=placer,
        policy=policy,
        organisations=list_organisations(build_trace(experiment, cell)),
        measured_from=timedelta(seconds=experiment.measured_from_seconds),
        duration=timedelta(seconds=experiment.duration_seconds),
        kill_at=kill_at,
        seed=seed,
    )


def build_trace(experiment: Experiment, cell: Cell) -> TraceSettings:
    """Builds the settings of a cell's trace."""
    return TraceSettings(
        prompt=experiment.prompt,
        output=experiment.output,
        pattern=cell.pattern,
        large_organisations=cell.large_organisations,
        large_factor=cell.large_factor,
    )


def _list_jobs(experiment: Experiment, seeds: int) -> Iterator[_Job]:
    for cell in experiment.cells:
        for policy in cell.policies:
            for seed in range(1, seeds + 1):
                yield _Job(
                    experiment=experiment, cell=cell, policy=policy, seed=seed
                )


def _run_job(job: _Job) -> Result:
    return run_cell(job.experiment, job.cell, policy=job.policy, seed=job.seed)
