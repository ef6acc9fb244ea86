"""Experiments: policies, loads, lags and faults over seeds, from a file.

Each cell of an experiment is run once for each of its policies and seeds.
Runs are spread over a few worker processes; a run is exact for its seed,
but for the processor time of decisions.
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
    """An experiment file is missing or wrong."""


@dataclass(frozen=True, kw_only=True)
class Cell:
    """One setting in which policies are compared.

    Attributes:
        name: unique in the experiment.
        policies: names of routing policies.
        load: the fraction of the fleet's memory that is asked for.
        pattern: how the rate of arrivals moves.
        large_organisations: how many organisations send more than others.
        large_factor: how much more.
        nodes: the number of nodes.
        report_lag_seconds: the lag of load reports and cache events.
        digest_interval_seconds: how often nodes tell each other; 0: never.
        digest_lag_seconds: the lag of digests.
        kill_at_seconds: when an engine dies; negative for never.
        quantile: the admission quantile, in place of the experiment's.
        affinity_weight: the weight of cached prefixes.
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
    """An experiment file.

    Attributes:
        name: names the results.
        seeds: how many seeds each cell is run with.
        measured_from_seconds: the start of the measured part of a run.
        duration_seconds: the end of the arrivals.
        engines: the number of engines.
        capacity_tokens: key-value memory of an engine, in tokens.
        max_running: the most generations in an engine's batch.
        prompt: lengths of prompts.
        output: lengths of answers.
        objectives: what callers accept.
        deadline_seconds: the longest wait for a first token.
        delivery: what happens to an answer whose engine dies.
        max_output_tokens: the limit on an answer's length.
        quantile: the admission quantile.
        wait_factor: see ``PlacerSettings``.
        prior_median_tokens: see ``LengthSettings``.
        cells: what is compared.
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
        ExperimentError: it cannot be read, or a field is wrong.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (OSError, msgspec.MsgspecError) as error:
        raise ExperimentError(f"{path}: {error}") from error


def run_experiment(path: Path, out: Path, *, seeds: int | None = None) -> None:
    """Runs an experiment and writes JSON, CSV, a table and plots.

    Args:
        path: the experiment file.
        out: the directory for the results; made if it is not there.
        seeds: the number of seeds, in place of the file's.

    Raises:
        ExperimentError: the file cannot be read, or a field is wrong.
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
    """Runs one cell with one policy and one seed."""
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
