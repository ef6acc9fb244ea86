"""Writes results of experiments as CSV and as Markdown tables."""

import csv
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean, stdev

from acaciarack_bench.measures import Summary

# Student's t for a two-sided 95% interval, by degrees of freedom.
_T_VALUES = (0.0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
# Approximation for 10 or more degrees of freedom.
_T_LARGE_SAMPLE = 2.1
MEASURES = (
    "stall_p99",
    "preemptions",
    "goodput",
    "refused",
    "refused_late",
    "lost",
    "ttft_p95",
    "ttft_p99",
    "gap_p95",
    "gap_p99",
    "fairness",
)


@dataclass(frozen=True, kw_only=True)
class Result:
    """The measures of one run.

    Attributes:
        cell: the name of the experiment's cell.
        policy: the name of the routing policy.
        seed: the seed.
        summary: the measures.
        decision_microseconds: the mean time that a node spends on the
            decision for one request, including all processing of its queue.
    """

    cell: str
    policy: str
    seed: int
    summary: Summary
    decision_microseconds: float


@dataclass(frozen=True, kw_only=True)
class Interval:
    """A mean over seeds with its 95% confidence interval.

    Attributes:
        mean: the mean.
        margin: half the width of the interval; infinite for a single value.
    """

    mean: float
    margin: float


def compute_interval(values: Sequence[float]) -> Interval:
    """Computes the mean of ``values`` and its confidence interval."""
    if len(values) < 2:
        return Interval(mean=fmean(values), margin=math.inf)
    degrees_of_freedom = len(values) - 1
    t_value = (
        _T_VALUES[degrees_of_freedom]
        if degrees_of_freedom < len(_T_VALUES)
        else _T_LARGE_SAMPLE
    )
    margin = t_value * stdev(values) / math.sqrt(len(values))
    return Interval(mean=fmean(values), margin=margin)


def group_results(
    results: Sequence[Result],
) -> dict[tuple[str, str], list[Result]]:
    """Groups results by cell and policy, in order."""
    groups: dict[tuple[str, str], list[Result]] = {}
    for result in results:
        groups.setdefault((result.cell, result.policy), []).append(result)
    return groups


def compute_measure(results: Sequence[Result], measure: str) -> Interval:
    """Computes the interval of one measure over the seeds of a group."""
    return compute_interval(
        [getattr(result.summary, measure) for result in results]
    )


def write_tables(results: Sequence[Result], *, out: Path, name: str) -> None:
    """Writes ``NAME.csv`` and ``NAME.md``.

    The CSV file has one row per run. The Markdown table has one row per cell
    and policy.
    """
    with (out / f"{name}.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        columns = [
            each
            for each in asdict(results[0].summary)
            if each != "goodput_by_second"
        ]
        head = ["cell", "policy", "seed", *columns, "decision_microseconds"]
        writer.writerow(head)
        for result in results:
            values = [getattr(result.summary, column) for column in columns]
            cost = result.decision_microseconds
            row = [result.cell, result.policy, result.seed, *values, cost]
            writer.writerow(row)
    (out / f"{name}.md").write_text(format_table(results))


def format_table(results: Sequence[Result]) -> str:
    """Formats the means over seeds with their intervals as Markdown."""
    head = ("cell", "policy", "seeds", *MEASURES, "decision_us")
    lines = [_format_row(head), _format_row(["---"] * len(head))]
    for (cell, policy), group in group_results(results).items():
        cost = fmean(result.decision_microseconds for result in group)
        cells = [_format_interval(compute_measure(group, m)) for m in MEASURES]
        row = (cell, policy, str(len(group)), *cells, f"{cost:.0f}")
        lines.append(_format_row(row))
    return "\n".join(lines) + "\n"


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _format_interval(interval: Interval) -> str:
    return f"{interval.mean:.3g} ± {interval.margin:.2g}"
