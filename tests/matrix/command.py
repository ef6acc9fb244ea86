"""The command that runs the matrix and writes its report."""

import argparse
import concurrent.futures
import functools
import json
import pathlib
import traceback

from tests.matrix.calls import CallWorld
from tests.matrix.cells import (
    STEPS,
    Fault,
    Path,
    draw_pairs,
    explain_not_applicable,
    list_single_cells,
    parse_cell,
)
from tests.matrix.generations import GenerationWorld
from tests.matrix.leavings import LeavingWorld
from tests.matrix.publications import PublicationWorld
from tests.matrix.world import run_cell

OUT = pathlib.Path("out")
WORKERS = 4
RAISED = "raised: "
WORLDS = {
    Path.CALL: CallWorld,
    Path.GENERATION: GenerationWorld,
    Path.PUBLICATION: PublicationWorld,
    Path.LEAVING: LeavingWorld,
}


def judge(cell):
    """Runs a cell in this process.

    Returns:
        Its violations and how many of its faults came about.
    """
    try:
        world = run_cell(WORLDS[cell.path], cell)
    except BaseException as error:
        if isinstance(error, KeyboardInterrupt):
            raise
        text = "".join(traceback.format_exception(error)[-12:])
        return [f"{RAISED}{text}"], 0
    return world.violations, world.injected


def judge_all(cells, workers=WORKERS):
    """Yields each cell with its violations and faults, in order."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=workers) as pool:
        results = pool.map(judge, cells, chunksize=8)
        yield from (
            (cell, *found) for cell, found in zip(cells, results, strict=True)
        )


def draw_cells(*, seeds, pairs, first_seed):
    cells = []
    for seed in range(first_seed, first_seed + seeds):
        cells += list_single_cells(seed)
    cells += draw_pairs(pairs, first_seed)
    return cells


def format_table(results):
    """One row a step, one column a fault: runs, or the failed of them."""
    counts = {}
    for cell, violations, _ in results:
        for item in cell.injections:
            place = (cell.path, item.step, item.fault)
            run, failed = counts.get(place, (0, 0))
            counts[place] = (run + 1, failed + bool(violations))
    lines = []
    for path in WORLDS:
        faults = [
            f
            for f in Fault
            if any(not explain_not_applicable(path, s, f) for s in STEPS[path])
        ]
        lines.append(f"{path!s:24}" + "".join(f"{f!s:>15}" for f in faults))
        for step in STEPS[path]:
            cells = [
                _format_place(path, step, fault, counts) for fault in faults
            ]
            lines.append(f"  {step!s:22}" + "".join(f"{c:>15}" for c in cells))
    return "\n".join(lines)


def _format_place(path, step, fault, counts):
    if explain_not_applicable(path, step, fault):
        return "n/a"
    run, failed = counts.get((path, step, fault), (0, 0))
    return f"RED {failed}/{run}" if failed else f"ok {run}"


def list_not_applicable():
    return [
        {"path": path, "step": step, "fault": fault, "reason": reason}
        for path in WORLDS
        for step in STEPS[path]
        for fault in Fault
        if (reason := explain_not_applicable(path, step, fault))
    ]


def write_report(results, name="matrix"):
    OUT.mkdir(exist_ok=True)
    table = format_table(results)
    failures = format_failures(results)
    summary = summarize(results)
    OUT.joinpath(f"{name}.txt").write_text(
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
    OUT.joinpath(f"{name}.json").write_text(json.dumps(report, indent=1))
    return "\n".join([table, *failures, summary])


def format_failures(results):
    return [
        f"RED {cell.name}\n  {'; '.join(violations)}\n  {cell.command}"
        for cell, violations, _ in results
        if violations
    ]


def summarize(results):
    failed = sum(bool(violations) for _, violations, _ in results)
    reached = sum(injected > 0 for _, _, injected in results)
    return (
        f"{len(results)} runs, {failed} red, {reached} with a fault that"
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
        results = [(cell := parse_cell(options.cell), *judge(cell))]
        print("\n".join([*format_failures(results), summarize(results)]))
    else:
        cells = draw_cells(
            seeds=options.seeds, pairs=options.pairs, first_seed=options.seed
        )
        run = functools.partial(judge_all, workers=options.workers)
        results = list(run(cells))
        print(write_report(results))
    return 1 if any(violations for _, violations, _ in results) else 0
