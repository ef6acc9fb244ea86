"""Observations of finished requests, for logs, reports and explanations."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from acaciarack.errors import Refusal
from acaciarack.placement import Placement


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One dispatch of a request, or one refusal to dispatch it.

    Attributes:
        placement: the placement decision; ``None`` if dispatch was refused.
        refusal: why the attempt failed; ``None`` if it succeeded.
        tokens: the number of tokens received in this attempt.
    """

    placement: Placement | None
    refusal: Refusal | None = None
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class RequestObservation:
    """The observation of a finished request.

    Attributes:
        request_id: the unique id. The encrypted response id contains it.
        response_id: the response id sent to the caller; empty for plain
            services.
        organisation: the caller's organisation.
        service: the requested service.
        configuration_version: the configuration version in force when the
            request arrived.
        node: the node that served the request.
        arrived: when the node accepted the request.
        duration: the time from acceptance to the end.
        attempts: all attempts in order; the last one has the final outcome.
        ttft: the time to the first token; ``None`` if no token arrived.
        stall: the total time that the caller waited beyond the objectives for
            the first token and between tokens.
        longest_gap: the longest time between two tokens.
        late_gaps: the number of gaps longer than the objective.
        tokens: the number of tokens delivered to the caller.
        preemptions: the number of preemptions that the engine reported.
        refusal: the final refusal; ``None`` if the response was complete.
        caller_left: whether the caller disconnected before the end.
        resumed: whether the request resumed a stream that started on another
            connection.
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
"""Receives the observation of each finished request."""
