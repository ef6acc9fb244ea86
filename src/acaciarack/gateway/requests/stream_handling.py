"""What the opening, the relay and the resumption of streams share."""

from datetime import timedelta

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.requests.request_handling import Task
from acaciarack.gateway.spec import Route
from acaciarack.gateway.targets.client import AnswerLostError

MIN_STALL_TIMEOUT = timedelta(seconds=2)
"""Shortest time without an event after which a stream counts as stalled."""
STALL_OBJECTIVES = 4
"""Stall timeout as a multiple of the objective for the first event."""
STALL_GAPS = 8
"""Stall timeout as a multiple of the objective for the pause between events.
Callers leave a stream after the longest of these three times."""
MAX_LOGGED_SEGMENTS = 8
MAX_LOGGED_CHARACTERS = 32
"""Callers choose the number and the ids of segments; log lines stay short."""
DEFAULT_URGENCY = 5
"""The urgency that engines assign to requests without one."""


class StreamBrokenError(AnswerLostError):
    """A stream cannot continue after its response head was forwarded."""


def describe_lengths(task: Task, generation: Generation) -> dict[str, int]:
    """Returns log fields with the priority and lengths of a generation."""
    prompt = generation.prompt
    return {
        "rank": task.priority,
        "prompt_tokens": prompt.tokens,
        "limit_tokens": prompt.max_tokens,
        "hint_tokens": prompt.hint or 0,
        "expected_tokens": generation.estimate_total(),
    }


def list_segments(generation: Generation) -> list[str]:
    """Returns the ids of the prompt's first segments, for log lines."""
    segments = generation.prompt.prefix_segments[:MAX_LOGGED_SEGMENTS]
    return [name[:MAX_LOGGED_CHARACTERS] for name, _ in segments]


def get_stall_timeout(route: Route) -> timedelta:
    """Returns the time without an event after which a stream has stalled."""
    return max(
        MIN_STALL_TIMEOUT,
        route.objective * STALL_OBJECTIVES,
        route.gap_objective * STALL_GAPS,
    )


def get_urgency(task: Task) -> int:
    """Returns the urgency of a generation at its engine, from 0 (first) to 9.

    Generations on routes of the highest priority go just ahead of requests that
    carry no urgency.
    """
    return min(9, DEFAULT_URGENCY - 1 + task.route.priority)
