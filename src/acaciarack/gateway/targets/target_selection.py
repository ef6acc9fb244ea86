"""Chooses the target of a request.

The KV cache limits how many generations an engine can run. A node admits a
generation to an engine only if the forecast peak memory of all the engine's
generations, including the new one, stays below a limit. Among such engines,
the node prefers those with few pending prompt tokens and low expected memory.
Plain calls go to the target with the fewest requests
per slot. The target with the lowest score is chosen.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from acaciarack.gateway.capacity.loads import Generation, Load
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.targets.engine_costs import estimate_cost
from acaciarack.gateway.targets.pace import UNHEARD_PACE, USUAL_PACE, Pace
from acaciarack.gateway.targets.target_table import TargetInstance

ADMIT_MAX_UTILIZATION = 0.97
"""Fraction of an engine's memory that the forecast peak may use when a new
generation is admitted. It is below 1 because engines allocate memory in blocks
and forecasts are off by a few percent."""
LONG_MAX_UTILIZATION = 0.92
"""The same limit for generations that are not short. The difference is headroom
for migrations and for short generations, which end before others need the
memory. With lower limits (0.8 and 0.88), fewer callers were served."""
PREFILL_TOKENS_PER_SECOND = 7000.0
"""Prefill rate of an engine that also decodes other requests: 112 prompt tokens
in each step of 16 ms."""
MAX_PREFILL_DELAY = timedelta(milliseconds=800)
"""Longest prefill time of an engine's pending prompts and the new one together.
A generation that is queued on the node instead can still go to the first engine
with free capacity, and is not lost if an engine leaves."""
MIGRATION_MAX_UTILIZATION = 0.97
"""Fraction of an engine's memory that may be in use after a generation migrates
to it. It is below 1 because engines allocate memory in blocks and peers report
new generations with a short delay."""
STANDBY_MAX_UTILIZATION = 0.6
"""Fraction of an engine's memory that may be in use after a standby copy is
made there. If the fleet then loses one engine of three, the other two can take
over its memory and still admit generations."""
STANDBY_EVICTION_UTILIZATION = 0.8
"""Fraction of an engine's memory in use above which its standby copies are
evicted."""
OTHER_DATA_CENTRE_COST = 0.05
"""Added to the score of a target in another data centre. Of engines with equal
load, one in the preferred data centre is usually chosen. A difference of more
than a tenth of an engine's memory outweighs the cost."""
MIGRATION_OTHER_DATA_CENTRE_COST = 0.6
"""The same for migrations. They take twice as long between data centres, and
the link of the engine that leaves must carry all its generations within the
notice period."""
SCORE_JITTER = 0.1
"""Upper limit of the random part of a score. It equals the score of a fifth of
an engine's memory, or of 700 pending tokens, a quarter of a typical prompt."""
PENALTY_COST = 0.3
"""Added to a target's score for each recent failure, weighted by age."""
WARMUP_COST = 0.3
"""Added to a target's score during its warm-up."""
LATE_COST = 3.0
"""Added to an engine's score for each stream that is expected to miss an
objective because of the choice. A tenth of a stream outweighs all other parts
of the scores of engines that work equally fast, except failures."""
DELAY_COST = 2.0
"""Added to an engine's score for each second by which a prompt delays the other
streams there. Short generations then go to idle engines also if these are slow,
and the memory of fast ones becomes free sooner."""
MAX_DELAY_COST = 0.6
"""Upper limit of this part. A stream of 100 tokens or more costs more on a slow
engine, so that none goes there while a faster one has room."""


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target with its load and recent failures.

    Attributes:
        instance: the target.
        load: the load that all nodes together have on it.
        penalty: the number of its recent failures, weighted by age.
        pace: how fast it works.
    """

    instance: TargetInstance
    load: Load
    penalty: float = 0.0
    pace: Pace = USUAL_PACE


def choose_engine(
    candidates: Iterable[Candidate],
    *,
    spec: EngineSpec,
    generation: Generation,
    data_centre: str,
    draw: Callable[[], float],
    max_utilization: float = ADMIT_MAX_UTILIZATION,
    gap_objective: timedelta = timedelta(0),
    time_to_objective: timedelta | None = None,
) -> TargetInstance | None:
    """Chooses the engine that is expected to start a generation first.

    If engines report their pace, the expected number of streams that miss an
    objective comes first (see ``engine_costs``). A random part of the score
    prevents nodes that choose at the same time from the same loads from all
    choosing the same one of several similar engines.

    Args:
        candidates: engines that may be used.
        spec: slots and memory of the service's engines.
        generation: the new generation.
        data_centre: the preferred data centre.
        draw: returns a random number in [0, 1).
        max_utilization: the fraction of an engine's memory that the forecast
            peak may use.
        gap_objective: the generation's objective for the pause between events;
            zero if it has none.
        time_to_objective: the time until its first event is due; ``None`` if
            unknown.

    Returns:
        The engine; ``None`` if no engine can admit the generation.
    """
    best: TargetInstance | None = None
    best_score = float("inf")
    new_load = generation.build_load()
    candidates = list(candidates)
    reports_pace = _reports_pace(candidates)
    for candidate in candidates:
        load = candidate.load
        if not may_admit(candidate, spec, new_load, max_utilization):
            continue
        if reports_pace:
            cost = estimate_cost(
                new_load,
                load,
                pace=_get_assumed_pace(candidate),
                spec=spec,
                gap_objective=gap_objective,
                time_to_objective=time_to_objective,
            )
            score = cost.first_event + LATE_COST * cost.late
            score += min(MAX_DELAY_COST, DELAY_COST * cost.delay)
        else:
            score = load.pending / PREFILL_TOKENS_PER_SECOND
        score += (load.expected + load.standby / 2) / spec.memory_tokens / 2
        score += _compute_cost(candidate, data_centre, OTHER_DATA_CENTRE_COST)
        score += SCORE_JITTER * draw()
        if score < best_score:
            best, best_score = candidate.instance, score
    return best


def _reports_pace(candidates: Iterable[Candidate]) -> bool:
    return any(candidate.pace.is_reported for candidate in candidates)


def _get_assumed_pace(candidate: Candidate) -> Pace:
    """Returns the pace of an engine whose service reports paces."""
    return candidate.pace if candidate.pace.is_reported else UNHEARD_PACE


def may_admit(
    candidate: Candidate,
    spec: EngineSpec,
    new_load: Load,
    max_utilization: float,
) -> bool:
    """Returns whether an engine can admit a generation now.

    An engine without requests admits any generation. An engine without pending
    prompts admits a prompt of any length if it has enough memory.
    """
    load = candidate.load
    if load.requests >= spec.slots:
        return False
    if not load.requests:
        return True
    peak = (load + new_load).forecast_peak()
    if peak > max_utilization * spec.memory_tokens:
        return False
    prompt_tokens = load.pending + new_load.pending
    delay = timedelta(
        seconds=prompt_tokens
        / PREFILL_TOKENS_PER_SECOND
        * candidate.pace.time_factor
    )
    return not load.pending or delay <= MAX_PREFILL_DELAY


def choose_destination(
    candidates: Iterable[Candidate],
    *,
    spec: EngineSpec,
    generation: Generation,
    data_centre: str,
    gap_objective: timedelta = timedelta(0),
) -> TargetInstance | None:
    """Chooses the engine that a running generation migrates to.

    Args:
        candidates: engines that may be used.
        spec: slots and memory of the service's engines.
        generation: the running generation.
        data_centre: the data centre of its current engine.
        gap_objective: its objective for the pause between events; zero if it
            has none.

    Returns:
        The engine; ``None`` if no engine has a free slot and enough memory.
    """
    used_tokens = generation.used_tokens
    fitting = [
        candidate
        for candidate in candidates
        if candidate.load.requests < spec.slots
        and count_used_tokens(candidate.load) + used_tokens
        <= MIGRATION_MAX_UTILIZATION * spec.memory_tokens
    ]
    return _choose_copy_target(
        fitting,
        spec,
        generation,
        data_centre,
        gap_objective,
        is_urgent=True,
    )


def choose_standby(
    candidates: Iterable[Candidate],
    *,
    spec: EngineSpec,
    generation: Generation,
    data_centre: str,
    gap_objective: timedelta = timedelta(0),
) -> TargetInstance | None:
    """Chooses the engine that keeps a standby copy of a running generation.

    Args:
        candidates: engines that may be used.
        spec: slots and memory of the service's engines.
        generation: the running generation.
        data_centre: the data centre of its current engine.
        gap_objective: its objective for the pause between events; zero if it
            has none.

    Returns:
        The engine; ``None`` if no engine has enough free memory.
    """
    limit = STANDBY_MAX_UTILIZATION * spec.memory_tokens
    fitting = [
        candidate
        for candidate in candidates
        if count_used_tokens(candidate.load) + generation.used_tokens <= limit
    ]
    return _choose_copy_target(
        fitting,
        spec,
        generation,
        data_centre,
        gap_objective,
        is_urgent=False,
    )


def count_used_tokens(load: Load) -> int:
    """Returns the memory of generations and standby copies, in tokens."""
    return load.used + load.standby


def _choose_copy_target(
    candidates: list[Candidate],
    spec: EngineSpec,
    generation: Generation,
    data_centre: str,
    gap_objective: timedelta,
    *,
    is_urgent: bool,
) -> TargetInstance | None:
    """Chooses the engine with the lowest score for a copy of a generation.

    If engines report their pace, the risk of long pauses comes first, as for a
    new generation. An urgent copy does not go to another data centre for this
    reason: it takes twice as long there, and may not end in time.
    """
    best: TargetInstance | None = None
    best_score = float("inf")
    risks = _estimate_risks(candidates, spec, generation, gap_objective)
    near_risk = min(
        (
            risks[candidate.instance.target.id]
            for candidate in candidates
            if candidate.instance.target.data_centre == data_centre
        ),
        default=0.0,
    )
    for candidate in candidates:
        load = candidate.load
        target = candidate.instance.target
        score = (load.expected + load.standby / 2) / spec.memory_tokens
        score += load.requests / spec.slots
        score += _compute_cost(
            candidate, data_centre, MIGRATION_OTHER_DATA_CENTRE_COST
        )
        risk = risks[target.id]
        if is_urgent and target.data_centre != data_centre:
            risk = max(risk, near_risk)
        score += LATE_COST * risk
        if score < best_score:
            best, best_score = candidate.instance, score
    return best


def _estimate_risks(
    candidates: list[Candidate],
    spec: EngineSpec,
    generation: Generation,
    gap_objective: timedelta,
) -> dict[str, float]:
    """Returns the risk of long pauses of a running generation by engine.

    It is zero everywhere if no engine reports its pace.
    """
    if not _reports_pace(candidates):
        return {c.instance.target.id: 0.0 for c in candidates}
    # A copy brings no prompt that the engine has to read.
    new_load = replace(generation.build_load(), pending=0)
    return {
        candidate.instance.target.id: estimate_cost(
            new_load,
            candidate.load,
            pace=_get_assumed_pace(candidate),
            spec=spec,
            gap_objective=gap_objective,
        ).late
        for candidate in candidates
    }


def choose_call_target(
    candidates: Iterable[Candidate],
    *,
    data_centre: str,
    time_factors: Mapping[str, float] | None = None,
) -> TargetInstance | None:
    """Chooses the target with the fewest requests per slot for a plain call.

    Args:
        candidates: targets that may be used.
        data_centre: the preferred data centre.
        time_factors: how long work takes on targets that report it, by id.
    """
    time_factors = time_factors or {}
    best: TargetInstance | None = None
    best_score = float("inf")
    for candidate in candidates:
        slots = max(1, candidate.instance.target.slots)
        score = candidate.load.requests / slots
        if time_factors:
            # In proportion to the time that the new call takes and waits.
            score = (score + 1) * time_factors.get(
                candidate.instance.target.id, 1.0
            )
        score += _compute_cost(candidate, data_centre, OTHER_DATA_CENTRE_COST)
        if score < best_score:
            best, best_score = candidate.instance, score
    return best


def _compute_cost(
    candidate: Candidate, data_centre: str, distance_cost: float
) -> float:
    """Returns the part of a target's score that does not depend on its load."""
    target = candidate.instance.target
    cost = PENALTY_COST * candidate.penalty
    if target.data_centre != data_centre:
        cost += distance_cost
    if target.warmup.total_seconds() > 0:
        cost += WARMUP_COST
    return cost
