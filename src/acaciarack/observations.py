"""What a node observes of each request, for logs, reports, explanations."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from acaciarack.errors import Refusal
from acaciarack.placement import Placement


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One dispatch of a request, or one refusal to dispatch it.

    Attributes:
        placement: where it went; ``None`` if it was refused.
        refusal: why it ended without an answer; ``None`` if it succeeded.
        tokens: tokens received in this attempt.
    """

    placement: Placement | None
    refusal: Refusal | None = None
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class RequestObservation:
    """One request at its end.

    Attributes:
        request_id: unique; also part of the sealed response id.
        response_id: what the caller got; empty for plain services.
        organisation: the caller's organisation.
        service: the service asked for.
        configuration_version: the version that was in force.
        node: the node that served it.
        arrived: when the node accepted it.
        duration: from acceptance to the end.
        attempts: in order; the last one tells how it ended.
        ttft: time to the first token; ``None`` if there was none.
        stall: time that the caller waited beyond the objectives, for the
            first token and between tokens, added up.
        longest_gap: the longest time between two tokens.
        late_gaps: the number of gaps over the objective.
        tokens: tokens delivered to the caller.
        preemptions: how often the engine preempted it, as it reported.
        refusal: the final refusal; ``None`` if the answer was whole.
        caller_left: whether the caller left before the end.
        resumed: whether it went on with a stream begun on another connection.
    """

    request_id: str
    response_id: str = ""
    organisation: str
    service: str
    configuration_version: int
    node: str
    arrived: datetime
    duration: timedelta
    attempts: tuple[Attempt, ...] = ()
    ttft: timedelta | None = None
    stall: timedelta = timedelta()
    longest_gap: timedelta = timedelta()
    late_gaps: int = 0
    tokens: int = 0
    preemptions: int = 0
    refusal: Refusal | None = None
    caller_left: bool = False
    resumed: bool = False


ObservationSink = Callable[[RequestObservation], None]
