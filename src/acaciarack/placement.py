"""The interface between request handling and the placement decision."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from acaciarack.configuration import ModelChoice, Route, Service
from acaciarack.errors import Refusal


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """The input of a placement decision.

    Attributes:
        request_id: unique; identifies the request in explanations.
        organisation: the caller's organisation.
        service: the service that is called.
        route: the route that applies.
        choice: the model, adapter and version; ``None`` for plain services.
        prompt_tokens: the estimated prompt length in tokens.
        prefix_hashes: hashes of the prompt's prefixes in whole blocks, the
            shortest prefix first.
        max_output_tokens: the caller's limit on the output length.
        arrived: when the node accepted the request.
        deadline: the maximum time from ``arrived`` to the first token. A later
            one is useless to the caller.
        attempt: 1 for the first attempt, 2 for the first retry, and so on.
        excluded: targets that have failed this request.
        generated_tokens: the number of output tokens that earlier attempts
            generated and lost. They raise the priority.
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
    generated_tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One target considered in a decision, for explanations.

    Attributes:
        target: the target's name.
        score: lower is better; the meaning depends on the policy.
        free_tokens: the usable KV cache memory minus the peak of the
            forecast, in tokens.
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
        priority: the priority in the engine; a lower number runs first.
        reserved_tokens: KV cache memory reserved until the request ends.
        waited: how long the request waited before the decision.
        candidates: some of the considered targets, the best first.
    """

    target: str
    priority: int
    reserved_tokens: int
    waited: timedelta
    candidates: tuple[Candidate, ...] = ()


class Placer(Protocol):
    """Places, queues or refuses requests."""

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Chooses a target for a request, or refuses it.

        Queues the request if no target has capacity now and one is expected
        to have it in time. A placement holds its reservation until
        ``finish``. Cancelling the call removes the request from the queue.
        """
        ...

    def record_tokens(self, request_id: str, count: int) -> None:
        """Adds ``count`` received tokens to the output of a request."""
        ...

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        """Releases the reservation of a request and records its result."""
        ...
