"""Renders the burn report as text or as a self-contained HTML page."""

import html
import math
from collections.abc import Iterable, Iterator
from datetime import timedelta
from string import Template
from typing import Any

from acaciarack.burn_windows import FAST, SLOW

MAX_SHOWN_BUDGETS = 200
"""Maximum number of budgets in a rendered report. The worst come first."""
_BAR_WIDTH = 34
"""Pixels, including the space between bars."""
_PLOT_HEIGHT = 60
"""Pixels, without the labels below the bars."""
_MAX_PLOTTED_RATE = 20.0
"""The burn rate at the upper edge of the plot. Higher rates are clipped."""
_RATE_LINES = ((FAST.rate, "fast"), (SLOW.rate, "slow"))
"""The burn rates that the plot marks with dashed lines, and their names."""

_PAGE = Template("""\
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>acaciarack: service-level burn</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: .4em .8em; text-align: left; vertical-align: top;
  border-bottom: 1px solid #ddd; }
.burning { background: #fde8e4; }
.note { color: #666; }
rect { fill: #4878a8; }
.burning rect { fill: #c0392b; }
line { stroke: #999; stroke-dasharray: 3 2; }
svg text { font: 9px sans-serif; fill: #444; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Made at $time. $summary</p>
$missing
<table>
<thead><tr><th>Service</th><th>Organisation</th><th>Objective</th>
<th>Budget left</th><th>Burn rate by window</th><th>Top causes</th></tr></thead>
<tbody>
$rows
</tbody>
</table>
<p class="note">A burn rate of 1 spends just the budget over its period, the
longest window. A budget burns if both 5 min and 1 h are over $fast, or both
30 min and 6 h over $slow. Look at a request with
<code>acaciarack explain ID</code>.</p>
</body>
</html>""")
_ROW = Template("""\
<tr class="$state"><td>$service</td><td>$organisation</td>
<td>$objective<br><span class="note">$good</span></td>
<td>$remaining</td><td>$plot</td><td>$causes</td></tr>""")


def render_page(report: Any) -> str:
    """Renders a report as an HTML page without external references.

    Args:
        report: a ``BurnReport`` of the schema.
    """
    shown = rank_budgets(report.budgets)[:MAX_SHOWN_BUDGETS]
    return _PAGE.substitute(
        time=html.escape(_format_time(report)),
        summary=_summarise(report),
        missing=_build_missing_notice(report.missing),
        rows="\n".join(_build_row(budget) for budget in shown),
        fast=FAST.rate,
        slow=SLOW.rate,
    )


def render_burn_text(report: Any) -> str:
    """Renders a report as text.

    Args:
        report: a ``BurnReport`` of the schema.
    """
    return "\n".join(_iterate_lines(report))


def rank_budgets(budgets: Iterable[Any]) -> list[Any]:
    """Sorts budgets: burning ones first, then by the remaining fraction."""
    return sorted(
        budgets,
        key=lambda budget: (
            not budget.burning,
            budget.remaining,
            budget.service,
            budget.organisation,
            budget.objective,
        ),
    )


def format_length(seconds: float) -> str:
    """Formats a window's length, such as ``5 min`` or ``6 h``."""
    minutes = timedelta(seconds=seconds) / timedelta(minutes=1)
    if minutes < 60:
        return f"{minutes:g} min"
    return f"{minutes / 60:g} h"


def _format_time(report: Any) -> str:
    if report.time is None:
        return "an unknown time"
    moment = report.time.to_datetime()
    return str(moment.strftime("%Y-%m-%d %H:%M:%S UTC"))


def _summarise(report: Any) -> str:
    total = len(report.budgets)
    burning = sum(budget.burning for budget in report.budgets)
    shown = min(total, MAX_SHOWN_BUDGETS)
    return f"{total} budgets, {burning} burning; {shown} shown, worst first."


def _build_missing_notice(missing: Iterable[str]) -> str:
    names = ", ".join(html.escape(name) for name in missing)
    if not names:
        return ""
    return (
        "<p><strong>Counters missing or old from these data centres:"
        f" {names}.</strong></p>"
    )


def _build_row(budget: Any) -> str:
    causes = "<br>".join(_build_cause(cause) for cause in budget.causes)
    return _ROW.substitute(
        state="burning" if budget.burning else "calm",
        service=html.escape(budget.service),
        organisation=html.escape(budget.organisation),
        objective=html.escape(budget.objective),
        good=f"{budget.good_fraction:.2%} good",
        remaining=f"{budget.remaining:.1%}",
        plot=_build_plot(budget.windows),
        causes=causes,
    )


def _build_cause(cause: Any) -> str:
    ids = ", ".join(html.escape(item) for item in cause.request_ids)
    return (
        f"{html.escape(cause.cause)}: {cause.requests}"
        f' <span class="note">{ids}</span>'
    )


def _build_plot(windows: Iterable[Any]) -> str:
    bars = [_build_bar(index, window) for index, window in enumerate(windows)]
    width = _BAR_WIDTH * len(bars)
    lines = "".join(
        f'<line x1="0" x2="{width}" y1="{y:.1f}" y2="{y:.1f}">'
        f"<title>{name}: {rate}</title></line>"
        for rate, name in _RATE_LINES
        for y in [_compute_y(rate)]
    )
    return (
        f'<svg width="{width}" height="{_PLOT_HEIGHT + 24}" role="img"'
        f' aria-label="burn rates">{lines}{"".join(bars)}</svg>'
    )


def _build_bar(index: int, window: Any) -> str:
    x = index * _BAR_WIDTH
    top = _compute_y(window.burn_rate)
    length = format_length(window.length_seconds)
    return (
        f'<rect x="{x + 5}" y="{top:.1f}" width="{_BAR_WIDTH - 10}"'
        f' height="{_PLOT_HEIGHT - top:.1f}">'
        f"<title>{window.bad} of {window.requests} in {length}</title></rect>"
        f'<text x="{x + 3}" y="{_PLOT_HEIGHT + 10}">{length}</text>'
        f'<text x="{x + 3}" y="{_PLOT_HEIGHT + 21}">'
        f"{window.burn_rate:.3g}</text>"
    )


def _compute_y(rate: float) -> float:
    """Returns the y coordinate of a burn rate, on a log scale from 0."""
    fraction = math.log1p(max(0.0, rate)) / math.log1p(_MAX_PLOTTED_RATE)
    return _PLOT_HEIGHT * (1 - min(1.0, fraction))


def _iterate_lines(report: Any) -> Iterator[str]:
    yield f"made at {_format_time(report)}"
    yield _summarise(report)
    if report.missing:
        names = ", ".join(report.missing)
        yield f"counters missing or old from these data centres: {names}"
    for budget in rank_budgets(report.budgets)[:MAX_SHOWN_BUDGETS]:
        yield ""
        yield from _iterate_budget_lines(budget)


def _iterate_budget_lines(budget: Any) -> Iterator[str]:
    state = "BURNING" if budget.burning else "ok"
    yield (
        f"{budget.service} / {budget.organisation} / {budget.objective}:"
        f" {state}, {budget.remaining:.1%} of the budget left"
    )
    for window in budget.windows:
        yield (
            f"  {format_length(window.length_seconds):>7}: burn rate"
            f" {window.burn_rate:.3g}, {window.bad} of {window.requests} bad"
        )
    for cause in budget.causes:
        ids = ", ".join(cause.request_ids)
        yield f"  cause: {cause.cause}, {cause.requests} requests: {ids}"
