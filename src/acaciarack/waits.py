"""Forecasts of how long a queued request waits for a target."""

import math
from collections.abc import Sequence
from datetime import timedelta

from acaciarack.admission import HORIZONS_TOKENS, list_uses
from acaciarack.policies import Option


def forecast_memory_wait(
    options: Sequence[Option],
    *,
    needed_tokens: float,
    deviations: float,
    step: timedelta,
    now: timedelta,
) -> timedelta | None:
    """Forecasts when running generations will have freed enough memory.

    Args:
        options: the targets that may run the request.
        needed_tokens: memory for the request and for all before it.
        deviations: the admission quantile as standard deviations.
        step: the duration of a step if a target has not reported one.
        now: elapsed time of the views' clock.

    Returns:
        The wait, or ``None`` if it is beyond the last horizon.
    """
    rooms = [0.0] * len(HORIZONS_TOKENS)
    steps = []
    for option in options:
        view = option.view
        usable = view.get_usable_tokens(now)
        uses = list_uses(view.get_forecast(now), deviations)
        for index, use in enumerate(uses):
            rooms[index] += max(0.0, usable - use)
        if view.report is not None and view.report.step_seconds:
            steps.append(view.report.step_seconds)
    if steps:
        step = timedelta(seconds=sum(steps) / len(steps))
    tokens = _find_horizon(rooms, needed_tokens)
    return None if tokens is None else step * tokens


def forecast_call_wait(
    options: Sequence[Option], *, ahead: int, duration: timedelta
) -> timedelta:
    """Forecasts the wait for one of the calls that targets run at once.

    Args:
        options: the targets that may run the call.
        ahead: calls that are served before it.
        duration: how long a call takes.
    """
    limit = max(1, sum(option.limit for option in options))
    running = sum(option.view.count_running() for option in options)
    beyond = max(0, running + ahead + 1 - limit)
    return duration * (beyond / limit)


def get_last_horizon(step: timedelta) -> timedelta:
    """Returns how far the forecast of memory reaches."""
    return step * HORIZONS_TOKENS[-1]


def _find_horizon(rooms: list[float], needed: float) -> float | None:
    """Returns the first horizon with enough room, interpolated."""
    before = -math.inf
    for index, room in enumerate(rooms):
        if room < needed:
            before = room
            continue
        if index == 0:
            return 0.0
        start = HORIZONS_TOKENS[index - 1]
        part = (needed - before) / (room - before)
        return start + part * (HORIZONS_TOKENS[index] - start)
    return None
