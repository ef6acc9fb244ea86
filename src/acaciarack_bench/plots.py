"""Plots results of experiments as PNG files."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from acaciarack_bench.tables import Result, compute_measure, group_results

_PLOTTED_MEASURES = (
    "stall_p99",
    "preemptions",
    "goodput",
    "ttft_p95",
    "fairness",
)
_UNITS = {
    "stall_p99": "seconds",
    "preemptions": "per thousand requests",
    "goodput": "fraction",
    "ttft_p95": "seconds",
    "fairness": "Jain's index",
}


def plot_results(results: Sequence[Result], *, out: Path, name: str) -> None:
    """Writes one bar chart per measure as ``NAME-MEASURE.png``.

    Each cell has one bar per policy.
    """
    mpl.use("agg")
    groups = group_results(results)
    cells = list(dict.fromkeys(cell for cell, _ in groups))
    policies = list(dict.fromkeys(policy for _, policy in groups))
    width = 0.8 / len(policies)
    for measure in _PLOTTED_MEASURES:
        figure, axes = plt.subplots(figsize=(1.5 + 2 * len(cells), 4))
        for index, policy in enumerate(policies):
            intervals = {
                at + index * width: compute_measure(
                    groups[(cell, policy)], measure
                )
                for at, cell in enumerate(cells)
                if (cell, policy) in groups
            }
            axes.bar(
                list(intervals),
                [each.mean for each in intervals.values()],
                width,
                yerr=[each.margin for each in intervals.values()],
                label=policy,
            )
        axes.set_xticks(range(len(cells)), cells, rotation=20)
        axes.set_title(f"{name}: {measure}")
        axes.set_ylabel(_UNITS[measure])
        axes.legend()
        figure.tight_layout()
        figure.savefig(out / f"{name}-{measure}.png")
        plt.close(figure)
