"""Chooses the server of a request.

Answers engines whose memory decides: a generation goes where the memory that
all generations are expected to take at their ends leaves most room. The
memory that is kept free is what the next engine that leaves needs for its
generations. Plain calls go where the fewest requests run for each slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from acaciarack.gateway.facts import EngineFacts
from acaciarack.gateway.loads import Load
from acaciarack.gateway.roster import Member

ADMIT_FILL = 0.9
"""The part of an engine's memory that expected ends of new generations may
fill; the rest takes in what other engines move here."""
MOVE_FILL = 1.0
"""The same for generations that move."""
OTHER_DATA_CENTRE_COST = 0.05
"""What another data centre adds to the score of a new generation: a tie is
decided for the own one, a twentieth of an engine's memory is not."""
MOVE_OTHER_DATA_CENTRE_COST = 0.3
"""The same for moves, which take twice as long between data centres."""
PENALTY_COST = 0.3
"""What each recent failure of a server adds to its score."""
WARMUP_COST = 0.3
"""What a server adds to its score while it is slow after its start."""


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A server with what is known of its load.

    Attributes:
        member: the server.
        load: what all nodes are known to have there.
        penalty: recent failures that count against it.
    """

    member: Member
    load: Load
    penalty: float = 0.0


def choose_engine(
    candidates: Iterable[Candidate],
    *,
    facts: EngineFacts,
    needed_tokens: int,
    data_centre: str,
    fill: float = ADMIT_FILL,
    distance_cost: float = OTHER_DATA_CENTRE_COST,
) -> Member | None:
    """Chooses the engine with the most room.

    Args:
        candidates: engines that may be used.
        facts: slots and memory of the service's engines.
        needed_tokens: memory that the generation is expected to take.
        data_centre: where it would best be.
        fill: the part of the memory that may be taken.
        distance_cost: what another data centre adds to the score.

    Returns:
        The engine; ``None`` if it fits nowhere.
    """
    best: Member | None = None
    best_score = float("inf")
    for candidate in candidates:
        load = candidate.load
        tokens = load.tokens + needed_tokens
        if load.requests and tokens > fill * facts.memory_tokens:
            continue
        if load.requests >= facts.slots:
            continue
        score = tokens / facts.memory_tokens + load.requests / facts.slots
        score += _score_server(candidate, data_centre, distance_cost)
        if score < best_score:
            best, best_score = candidate.member, score
    return best


def choose_emptiest(
    candidates: Iterable[Candidate], *, facts: EngineFacts
) -> Member | None:
    """Returns the engine with the least memory taken, however full."""
    ranked = sorted(
        candidates,
        key=lambda c: (
            c.load.tokens / facts.memory_tokens
            + c.load.requests / facts.slots
            + PENALTY_COST * c.penalty
        ),
    )
    return ranked[0].member if ranked else None


def choose_caller(
    candidates: Iterable[Candidate], *, data_centre: str
) -> Member | None:
    """Chooses the server of a plain call: the fewest requests a slot."""
    best: Member | None = None
    best_score = float("inf")
    for candidate in candidates:
        slots = max(1, candidate.member.server.slots)
        score = candidate.load.requests / slots
        score += _score_server(candidate, data_centre, OTHER_DATA_CENTRE_COST)
        if score < best_score:
            best, best_score = candidate.member, score
    return best


def _score_server(
    candidate: Candidate, data_centre: str, distance_cost: float
) -> float:
    server = candidate.member.server
    score = PENALTY_COST * candidate.penalty
    if server.data_centre != data_centre:
        score += distance_cost
    if server.warmup.total_seconds() > 0:
        score += WARMUP_COST
    return score
