"""Chooses the target of a request.

The KV cache limits how many generations an engine can run. A node admits a
generation to an engine only if the forecast peak memory of all the engine's
generations, including the new one, stays below a limit. Among such engines,
the node prefers those with few pending prompt tokens and low expected memory.
Plain calls go to the target with the fewest requests
per slot. The target with the lowest score is chosen.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.gateway.capacity.loads import Generation, Load
from acaciarack.gateway.spec import EngineSpec
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


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target with its load and recent failures.

    Attributes:
        instance: the target.
        load: the load that all nodes together have on it.
        penalty: the number of its recent failures, weighted by age.
    """

    instance: TargetInstance
    load: Load
    penalty: float = 0.0


def choose_engine(
    candidates: Iterable[Candidate],
    *,
    spec: EngineSpec,
    generation: Generation,
    data_centre: str,
    draw: Callable[[], float],
    max_utilization: float = ADMIT_MAX_UTILIZATION,
) -> TargetInstance | None:
    """Chooses the engine that is expected to start a generation first.

    A random part of the score prevents nodes that choose at the same time from
    the same loads from all choosing the same one of several similar engines.

    Args:
        candidates: engines that may be used.
        spec: slots and memory of the service's engines.
        generation: the new generation.
        data_centre: the preferred data centre.
        draw: returns a random number in [0, 1).
        max_utilization: the fraction of an engine's memory that the forecast
            peak may use.

    Returns:
        The engine; ``None`` if no engine can admit the generation.
    """
    best: TargetInstance | None = None
    best_score = float("inf")
    new_load = generation.build_load()
    for candidate in candidates:
        load = candidate.load
        if not _may_admit(load, spec, new_load, max_utilization):
            continue
        score = load.pending / PREFILL_TOKENS_PER_SECOND
        score += (load.expected + load.standby / 2) / spec.memory_tokens / 2
        score += _compute_cost(candidate, data_centre, OTHER_DATA_CENTRE_COST)
        score += SCORE_JITTER * draw()
        if score < best_score:
            best, best_score = candidate.instance, score
    return best


def _may_admit(
    load: Load, spec: EngineSpec, new_load: Load, max_utilization: float
) -> bool:
    """Returns whether an engine can admit a generation now.

    An engine without requests admits any generation. An engine without pending
    prompts admits a prompt of any length if it has enough memory.
    """
    if load.requests >= spec.slots:
        return False
    if not load.requests:
        return True
    peak = (load + new_load).forecast_peak()
    if peak > max_utilization * spec.memory_tokens:
        return False
    prompt_tokens = load.pending + new_load.pending
    delay = timedelta(seconds=prompt_tokens / PREFILL_TOKENS_PER_SECOND)
    return not load.pending or delay <= MAX_PREFILL_DELAY


def choose_destination(
    candidates: Iterable[Candidate],
    *,
    spec: EngineSpec,
    used_tokens: int,
    data_centre: str,
) -> TargetInstance | None:
    """Chooses the engine that a running generation migrates to.

    Args:
        candidates: engines that may be used.
        spec: slots and memory of the service's engines.
        used_tokens: memory that the generation uses now, in tokens.
        data_centre: the data centre of its current engine.

    Returns:
        The engine; ``None`` if no engine has a free slot and enough memory.
    """
    fitting = (
        candidate
        for candidate in candidates
        if candidate.load.requests < spec.slots
        and count_used_tokens(candidate.load) + used_tokens
        <= MIGRATION_MAX_UTILIZATION * spec.memory_tokens
    )
    return _choose_lowest_score(
        fitting, spec, data_centre, MIGRATION_OTHER_DATA_CENTRE_COST
    )


def choose_standby(
    candidates: Iterable[Candidate],
    *,
    spec: EngineSpec,
    used_tokens: int,
    data_centre: str,
) -> TargetInstance | None:
    """Chooses the engine that keeps a standby copy of a running generation.

    Args:
        candidates: engines that may be used.
        spec: slots and memory of the service's engines.
        used_tokens: memory that the generation uses now, in tokens.
        data_centre: the data centre of its current engine.

    Returns:
        The engine; ``None`` if no engine has enough free memory.
    """
    limit = STANDBY_MAX_UTILIZATION * spec.memory_tokens
    fitting = (
        candidate
        for candidate in candidates
        if count_used_tokens(candidate.load) + used_tokens <= limit
    )
    return _choose_lowest_score(
        fitting, spec, data_centre, MIGRATION_OTHER_DATA_CENTRE_COST
    )


def count_used_tokens(load: Load) -> int:
    """Returns the memory of generations and standby copies, in tokens."""
    return load.used + load.standby


def _choose_lowest_score(
    candidates: Iterable[Candidate],
    spec: EngineSpec,
    data_centre: str,
    distance_cost: float,
) -> TargetInstance | None:
    best: TargetInstance | None = None
    best_score = float("inf")
    for candidate in candidates:
        load = candidate.load
        score = (load.expected + load.standby / 2) / spec.memory_tokens
        score += load.requests / spec.slots
        score += _compute_cost(candidate, data_centre, distance_cost)
        if score < best_score:
            best, best_score = candidate.instance, score
    return best


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
