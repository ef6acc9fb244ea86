"""Measures what one more node, target, organisation and so on costs.

Each case calls the product's own functions on built inputs of doubled sizes
and fits a line by least squares.
"""

import argparse
import importlib
import os
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from acaciarack.registry import Registry

MIN_CPU_SECONDS = 0.04
"""The minimum CPU time of one measurement."""
ROUNDS = 3
"""The number of measurements of one point; the lowest counts."""
CASE_MODULES = (
    "acaciarack_bench.slope_burn_cases",
    "acaciarack_bench.slope_gateway_cases",
    "acaciarack_bench.slope_cases",
    "acaciarack_bench.slope_state_cases",
)
"""Modules that register cases."""
DEFAULT_OUT = "out/slopes.json"
_MICROSECONDS = 1e6


@dataclass(frozen=True, kw_only=True)
class Case:
    """A quantity to measure as a function of one size.

    Attributes:
        size: the unit of the size, such as ``node``.
        quantity: the name of the quantity, with its unit.
        sizes: the values of the size; each is about twice the one before.
        measure: returns the quantity at a given size.
    """

    size: str
    quantity: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


@dataclass(frozen=True, kw_only=True)
class Slope:
    """The line fitted to the measurements of a case.

    Attributes:
        name: the case's name.
        size: the unit of the size, such as ``node``.
        quantity: the name of the quantity, with its unit.
        slope: the increase of the quantity per unit of size.
        intercept: the quantity at size 0.
        residual: the root mean square distance from the line, as a fraction
            of the mean quantity.
        points: the sizes and the quantities measured at them.
    """

    name: str
    size: str
    quantity: str
    slope: float
    intercept: float
    residual: float
    points: tuple[tuple[int, float], ...]


@dataclass(frozen=True, kw_only=True)
class SlopeReport:
    """All slopes of a run.

    Attributes:
        load_before: the machine's one-minute load average at the start.
        load_after: the machine's one-minute load average at the end.
        processors: the number of the machine's processors.
        slopes: the slope of each case.
    """

    load_before: float
    load_after: float
    processors: int
    slopes: tuple[Slope, ...]


cases: Registry[Case] = Registry(kind="slope case")


def add_case(
    name: str, *, size: str, quantity: str, sizes: Sequence[int]
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    """Returns a decorator that registers a measurement function as a case."""

    def register(measure: Callable[[int], float]) -> Callable[[int], float]:
        case = Case(
            size=size, quantity=quantity, sizes=tuple(sizes), measure=measure
        )
        cases.register(name)(lambda: case)
        return measure

    return register


def measure_cpu(function: Callable[[], Any]) -> float:
    """Returns the CPU time of one call of ``function``, in microseconds."""
    function()
    return min(_measure_once(function) for _ in range(ROUNDS))


def measure_memory(build: Callable[[], Any]) -> float:
    """Returns the bytes allocated for the result of ``build``."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return float(after - before)


def fit_slope(name: str, case: Case) -> Slope:
    """Measures a case at all its sizes and fits a line."""
    points = tuple((size, case.measure(size)) for size in case.sizes)
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    errors = [
        value - line.slope * size - line.intercept for size, value in points
    ]
    distance = statistics.fmean(error * error for error in errors) ** 0.5
    return Slope(
        name=name,
        size=case.size,
        quantity=case.quantity,
        slope=line.slope,
        intercept=line.intercept,
        residual=distance / (statistics.fmean(values) or 1.0),
        points=points,
    )


def measure_slopes(names: Sequence[str]) -> SlopeReport:
    """Measures the named cases in order."""
    before = os.getloadavg()[0]
    slopes = tuple(fit_slope(name, cases.create(name)) for name in names)
    return SlopeReport(
        load_before=before,
        load_after=os.getloadavg()[0],
        processors=os.cpu_count() or 1,
        slopes=slopes,
    )


def format_table(report: SlopeReport) -> str:
    """Returns the slopes as a Markdown table."""
    lines = [
        "| case | per | quantity | slope | at 0 | residual | at largest |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {each.name} | {each.size} | {each.quantity} | {each.slope:.4g} |"
        f" {each.intercept:.4g} | {each.residual:.1%} |"
        f" {each.points[-1][1]:.4g} at {each.points[-1][0]} |"
        for each in report.slopes
    ]
    lines.append(
        f"\nLoad average {report.load_before:.1f} before and"
        f" {report.load_after:.1f} after, {report.processors} processors."
    )
    return "\n".join(lines)


def _measure_once(function: Callable[[], Any]) -> float:
    calls = 0
    start = time.process_time()
    spent = 0.0
    while spent < MIN_CPU_SECONDS:
        function()
        calls += 1
        spent = time.process_time() - start
    return spent / calls * _MICROSECONDS


def main(arguments: Sequence[str] | None = None) -> int:
    """Measures the cases, prints a table and writes the report as JSON."""
    for module in CASE_MODULES:
        importlib.import_module(module)
    # The cases register in the imported module. When this module runs as
    # __main__, its own registry is a different object and stays empty.
    from acaciarack_bench import slopes

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=Path(DEFAULT_OUT))
    parser.add_argument("--case", action="append", help="only this case")
    chosen = parser.parse_args(arguments)
    names = chosen.case or slopes.cases.list_names()
    report = slopes.measure_slopes(names)
    chosen.out.parent.mkdir(parents=True, exist_ok=True)
    chosen.out.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    print(slopes.format_table(report))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
