"""Runs the fault matrix from the command line and writes its report."""

import argparse
import concurrent.futures
import functools
import json
import pathlib
import traceback

from tests.matrix.calls import CallSimulation
from tests.matrix.cells import (
    STEPS,
    Fault,
    Path,
    draw_pairs,
    explain_not_applicable,
    list_single_cells,
    parse_cell,
)
from tests.matrix.drains import DrainSimulation
from tests.matrix.generations import GenerationSimulation
from tests.matrix.publications import PublicationSimulation
from tests.matrix.simulation import run_cell

OUTPUT_DIRECTORY = pathlib.Path("out")
WORKERS = 4
EXCEPTION_PREFIX = "raised: "
SIMULATION_TYPES = {
    Path.CALL: CallSimulation,
    Path.GENERATION: GenerationSimulation,
    Path.PUBLICATION: PublicationSimulation,
    Path.LEAVING: DrainSimulation,
}


def evaluate_cell(cell):
    """Runs a cell in this process.

    Returns:
        The violations and the number of faults that were injected.
    """
    try:
        simulation = run_cell(SIMULATION_TYPES[cell.path], cell)
    except BaseException as error:
        if isinstance(error, KeyboardInterrupt):
            raise
        text = "".join(traceback.format_exception(error)[-12:])
        return [f"{EXCEPTION_PREFIX}{text}"], 0
    return simulation.violations, simulation.injected


def evaluate_cells(cells, workers=WORKERS):
    """Runs cells in worker processes.

    Yields:
        Each cell, in order, with its violations and its number of injected
        faults.
    """
    with concurrent.futures.ProcessPoolExecutor(max_workers=workers) as pool:
        results = pool.map(evaluate_cell, cells, chunksize=8)
        yield from (
            (cell, *result) for cell, result in zip(cells, results, strict=True)
        )


def draw_cells(*, seeds, pairs, first_seed):
    cells = []
    for seed in range(first_seed, first_seed + seeds):
        cells += list_single_cells(seed)
    cells += draw_pairs(pairs, first_seed)
    return cells


def format_table(results):
    """Formats the run and failure counts by step (row) and fault (column)."""
    counts = {}
    for cell, violations, _ in results:
        for item in cell.injections:
            key = (cell.path, item.step, item.fault)
            runs, failed = counts.get(key, (0, 0))
            counts[key] = (runs + 1, failed + bool(violations))
    lines = []
    for path in SIMULATION_TYPES:
        faults = [
            f
            for f in Fault
            if any(not explain_not_applicable(path, s, f) for s in STEPS[path])
        ]
        lines.append(f"{path!s:24}" + "".join(f"{f!s:>15}" for f in faults))
        for step in STEPS[path]:
            cells = [
                _format_entry(path, step, fault, counts) for fault in faults
            ]
            lines.append(f"  {step!s:22}" + "".join(f"{c:>15}" for c in cells))
    return "\n".join(lines)


def _format_entry(path, step, fault, counts):
    if explain_not_applicable(path, step, fault):
        return "n/a"
    runs, failed = counts.get((path, step, fault), (0, 0))
    return f"RED {failed}/{runs}" if failed else f"ok {runs}"


def list_not_applicable():
    return [
        {"path": path, "step": step, "fault": fault, "reason": reason}
        for path in SIMULATION_TYPES
        for step in STEPS[path]
        for fault in Fault
        if (reason := explain_not_applicable(path, step, fault))
    ]


def write_report(results, name="matrix"):
    """Writes the report as text and as JSON; returns the text to print."""
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    table = format_table(results)
    failures = format_failures(results)
    summary = summarize(results)
    OUTPUT_DIRECTORY.joinpath(f"{name}.txt").write_text(
        "\n".join([table, "", *failures, summary, ""])
    )
    report = {
        "cells": [
            {
                "cell": cell.name,
                "seed": cell.seed,
                "command": cell.command,
                "injected": injected,
                "violations": violations,
            }
            for cell, violations, injected in results
        ],
        "not_applicable": list_not_applicable(),
    }
    OUTPUT_DIRECTORY.joinpath(f"{name}.json").write_text(
        json.dumps(report, indent=1)
    )
    return "\n".join([table, *failures, summary])


def format_failures(results):
    return [
        f"RED {cell.name}\n  {'; '.join(violations)}\n  {cell.command}"
        for cell, violations, _ in results
        if violations
    ]


def summarize(results):
    failed = sum(bool(violations) for _, violations, _ in results)
    injected_runs = sum(injected > 0 for _, _, injected in results)
    return (
        f"{len(results)} runs, {failed} red, {injected_runs} with a fault that"
        " came about"
    )


def main(arguments):
    parser = argparse.ArgumentParser(prog="python -m tests.matrix")
    parser.add_argument("--cell", help="run only this cell, by its name")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=5, help="runs a cell")
    parser.add_argument("--pairs", type=int, default=1500)
    parser.add_argument("--workers", type=int, default=WORKERS)
    options = parser.parse_args(arguments)
    if options.cell:
        results = [(cell := parse_cell(options.cell), *evaluate_cell(cell))]
        print("\n".join([*format_failures(results), summarize(results)]))
    else:
        cells = draw_cells(
            seeds=options.seeds, pairs=options.pairs, first_seed=options.seed
        )
        run_cells = functools.partial(evaluate_cells, workers=options.workers)
        results = list(run_cells(cells))
        print(write_report(results))
    return 1 if any(violations for _, violations, _ in results) else 0
