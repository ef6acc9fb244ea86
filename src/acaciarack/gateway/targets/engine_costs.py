"""Estimates what a generation costs on an engine.

Answers the load of engines of unequal speed on shared VMs. An engine decodes
all its generations in each step, and reads one prompt meanwhile. In a slowdown
period, the steps of a slow engine that reads a prompt take so long that the
pauses in all its streams exceed what callers accept. Long streams are there
long enough to meet such a period; short ones rarely are.

The times are those of an engine of factor 1 (see ``pace``).
"""

from dataclasses import dataclass
from datetime import timedelta
from math import exp

from acaciarack.gateway.capacity.loads import Load
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.targets.pace import Pace

STEP_SECONDS = 0.007
"""Time of a step, in seconds."""
STEP_SECONDS_PER_RUN = 0.00012
"""What each running generation adds to it, in seconds."""
PROMPT_STEP_SECONDS = 0.008
"""What it takes longer if the engine also reads a prompt, in seconds."""
PROMPT_TOKENS_PER_STEP = 112
"""Prompt tokens that are read in such a step."""
SLOWDOWN_FACTOR = 2.5
"""How long work takes in a slowdown period, as a multiple of the usual time."""
SLOWDOWN_SECONDS = 0.6
"""Length of a slowdown period, in seconds."""
SLOWDOWN_SHARE = 0.15
"""Fraction of the time that slowdown periods fill."""
SLOWDOWN_INTERVAL_SECONDS = SLOWDOWN_SECONDS / SLOWDOWN_SHARE
"""Time from the start of a slowdown period to the next one's, in seconds."""
MEAN_SLOWDOWN = 1 + SLOWDOWN_SHARE * (SLOWDOWN_FACTOR - 1)
"""How long work takes on average, as a multiple of the usual time."""
READING_SHARE = 0.5
"""Fraction of the time that an engine is expected to read prompts in the
future. With 10.8 long and 12 short prompts per second on 22 engines, it is
0.4 to 0.5."""
FIRST_EVENT_MARGIN = 0.7
"""Fraction of the time left to the first event above which it may be late. A
slowdown period of 600 ms delays it by 360 ms, a fifth of the objective."""


@dataclass(frozen=True, kw_only=True)
class EngineCost:
    """What a generation is expected to cost on an engine.

    Attributes:
        first_event: the time to its first event, in seconds.
        pause: the pause between two of its events while the engine reads a
            prompt in a slowdown period, in seconds.
        held: for how long it uses memory, in seconds.
        late: the expected number of streams that miss an objective because of
            the placement: this one, and others on the engine whose pauses are
            too long while it reads this one's prompt.
        delay: by how much the engine's other streams end later because it reads
            this one's prompt, in seconds, added up over all of them.
    """

    first_event: float
    pause: float
    held: float
    late: float
    delay: float


def estimate_cost(
    new_load: Load,
    load: Load,
    *,
    pace: Pace,
    spec: EngineSpec,
    gap_objective: timedelta = timedelta(0),
    time_to_objective: timedelta | None = None,
) -> EngineCost:
    """Estimates what a generation costs on an engine.

    Args:
        new_load: the load that the generation adds.
        load: the load on the engine without it.
        pace: the pace of the engine.
        spec: properties of the engine.
        gap_objective: the objective for pauses; zero if there is none.
        time_to_objective: the time until the first event is due; ``None`` if
            unknown.
    """
    usual = pace.usual_factor
    plain_step = STEP_SECONDS + STEP_SECONDS_PER_RUN * (load.requests + 1)
    reading_step = plain_step + PROMPT_STEP_SECONDS
    read_seconds = reading_step / PROMPT_TOKENS_PER_STEP
    event_tokens = spec.max_event_tokens
    first_event = (
        load.pending + new_load.pending
    ) * read_seconds * pace.time_factor + event_tokens * plain_step * usual
    remaining = max(0, new_load.expected - new_load.used)
    mean_step = plain_step + READING_SHARE * PROMPT_STEP_SECONDS
    stream_seconds = remaining * mean_step * usual * MEAN_SLOWDOWN
    pause = event_tokens * reading_step * usual * SLOWDOWN_FACTOR
    streams = sum(load.memory_profile.counts)
    delay = (
        streams
        * (new_load.pending / PROMPT_TOKENS_PER_STEP)
        * PROMPT_STEP_SECONDS
        * usual
        * MEAN_SLOWDOWN
    )
    late = _estimate_first_event_risk(first_event, time_to_objective)
    gap = gap_objective.total_seconds()
    if gap and pause > gap:
        plain_pause = event_tokens * plain_step * usual * SLOWDOWN_FACTOR
        is_harmless_alone = plain_pause <= gap
        if remaining > event_tokens:
            exposure = READING_SHARE if is_harmless_alone else 1.0
            late += (1 - late) * _estimate_slowdown_risk(
                stream_seconds, exposure
            )
        if is_harmless_alone and new_load.pending:
            reading = new_load.pending * read_seconds * usual * MEAN_SLOWDOWN
            risk = max(
                _estimate_slowdown_risk(reading),
                min(1.0, (pace.slowdown - 1) / (SLOWDOWN_FACTOR - 1)),
            )
            late += streams * risk
    return EngineCost(
        first_event=first_event,
        pause=pause,
        held=first_event + stream_seconds,
        late=late,
        delay=delay,
    )


def _estimate_slowdown_risk(seconds: float, exposure: float = 1.0) -> float:
    """Returns the probability that a slowdown period overlaps a time.

    Args:
        seconds: the length of the time, in seconds.
        exposure: the probability that an overlap matters.
    """
    periods = (seconds + SLOWDOWN_SECONDS) / SLOWDOWN_INTERVAL_SECONDS
    return 1 - exp(-exposure * periods)


def _estimate_first_event_risk(
    first_event: float, time_to_objective: timedelta | None
) -> float:
    """Returns the probability that the first event is late."""
    if time_to_objective is None:
        return 0.0
    time_left = max(0.001, time_to_objective.total_seconds())
    risk = (first_event / time_left - FIRST_EVENT_MARGIN) / (
        1 - FIRST_EVENT_MARGIN
    )
    return min(1.0, max(0.0, risk))
