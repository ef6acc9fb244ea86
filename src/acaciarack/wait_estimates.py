"""Estimates of how long a queued request waits for a target."""

import math
from collections.abc import Sequence
from datetime import timedelta

from acaciarack.admission import HORIZONS_TOKENS, compute_quantile_usage
from acaciarack.policies import EligibleTarget


def estimate_memory_wait(
    targets: Sequence[EligibleTarget],
    *,
    needed_tokens: float,
    z_score: float,
    step: timedelta,
    now: timedelta,
) -> timedelta | None:
    """Estimates when the targets together will have enough free memory.

    Args:
        targets: the targets that may run the request.
        needed_tokens: memory for the request and for all before it.
        z_score: the quantile of memory usage to plan with, as standard
            deviations above the mean.
        step: the duration of a decode step if no target has reported one.
        now: elapsed time of the views' clock.

    Returns:
        The wait, or ``None`` if it extends beyond the last horizon.
    """
    free_tokens = [0.0] * len(HORIZONS_TOKENS)
    steps = []
    for target in targets:
        view = target.view
        usable = view.get_usable_tokens(now)
        usages = compute_quantile_usage(view.get_forecast(now), z_score)
        for index, usage in enumerate(usages):
            free_tokens[index] += max(0.0, usable - usage)
        if view.report is not None and view.report.step_seconds:
            steps.append(view.report.step_seconds)
    if steps:
        step = timedelta(seconds=sum(steps) / len(steps))
    tokens = _find_horizon(free_tokens, needed_tokens)
    return None if tokens is None else step * tokens


def estimate_call_wait(
    targets: Sequence[EligibleTarget], *, ahead: int, duration: timedelta
) -> timedelta:
    """Estimates the wait of a plain call from the targets' request limits.

    Args:
        targets: the targets that may run the call.
        ahead: the number of calls that are served before it.
        duration: the mean duration of a call.
    """
    limit = max(1, sum(target.limit for target in targets))
    running = sum(target.view.count_running() for target in targets)
    excess = max(0, running + ahead + 1 - limit)
    return duration * (excess / limit)


def get_last_horizon(step: timedelta) -> timedelta:
    """Returns the time that memory forecasts cover."""
    return step * HORIZONS_TOKENS[-1]


def _find_horizon(free_tokens: list[float], needed: float) -> float | None:
    """Returns after how many tokens per generation enough memory is free.

    Interpolates between horizons. Returns ``None`` if memory is insufficient
    at all horizons.
    """
    previous = -math.inf
    for index, free in enumerate(free_tokens):
        if free < needed:
            previous = free
            continue
        if index == 0:
            return 0.0
        start = HORIZONS_TOKENS[index - 1]
        fraction = (needed - previous) / (free - previous)
        return start + fraction * (HORIZONS_TOKENS[index] - start)
    return None
