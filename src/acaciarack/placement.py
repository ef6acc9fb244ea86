"""The interface between the caller's path and the routing decision."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from acaciarack.configuration import ModelChoice, Route, Service
from acaciarack.errors import Refusal


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """What a routing decision knows of a request.

    Attributes:
        request_id: unique; names the request in explanations.
        organisation: the caller's organisation.
        service: the service asked for.
        route: the route that applies.
        choice: the model, adapter and version; ``None`` for plain services.
        prompt_tokens: an estimate of the prompt's length, in tokens.
        prefix_hashes: hashes of the prompt's leading blocks, longest last.
        max_output_tokens: the caller's limit on the answer's length.
        arrived: when the node accepted the request.
        deadline: how long after ``arrived`` the first token is useless.
        attempt: 1 for the first dispatch, then 2 and so on.
        excluded: targets that already failed this request.
        tokens_done: tokens already generated and lost, for priority.
    """

    request_id: str
    organisation: str
    service: Service
    route: Route
    choice: ModelChoice | None
    prompt_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    max_output_tokens: int
    arrived: datetime
    deadline: timedelta
    attempt: int = 1
    excluded: frozenset[str] = frozenset()
    tokens_done: int = 0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One target as the decision saw it, for explanations.

    Attributes:
        target: the target's name.
        score: lower is better; meaning depends on the policy.
        free_tokens: key-value memory left by the forecast, in tokens.
        report_age: age of the load report used; ``None`` if there was none.
        rejected: why it was not eligible; empty if it was.
    """

    target: str
    score: float
    free_tokens: float
    report_age: timedelta | None
    rejected: str = ""


@dataclass(frozen=True, kw_only=True)
class Placement:
    """A target chosen for a request.

    Attributes:
        target: the target's name.
        priority: for the engine; a lower number runs first.
        reserved_tokens: memory held for the request until it ends.
        waited: how long the request was queued before the decision.
        candidates: what was weighed.
    """

    target: str
    priority: int
    reserved_tokens: int
    waited: timedelta
    candidates: tuple[Candidate, ...] = ()


class Placer(Protocol):
    """Decides which target runs a request, or refuses it at once."""

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Chooses a target, queueing the request if a target frees in time.

        A placement holds its reservation until ``finish``. Cancelling the
        call takes the request out of the queue.
        """
        ...

    def record_tokens(self, request_id: str, count: int) -> None:
        """Tells that ``count`` more tokens of the answer were received."""
        ...

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        """Releases the reservation; the target did or did not serve it."""
        ...
