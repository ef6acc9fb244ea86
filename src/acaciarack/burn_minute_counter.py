"""Counts finished requests against the objectives of their services."""

from collections.abc import Callable
from datetime import datetime, timedelta

from acaciarack.burn_counts import (
    OBJECTIVES,
    CauseRow,
    CountAccumulator,
    Counts,
    Row,
    compute_epoch_minute,
)
from acaciarack.configuration import Configuration, Objectives
from acaciarack.errors import RefusalCode
from acaciarack.observations import RequestObservation

MAX_OPEN_ROWS = 20_000
"""Maximum number of pairs of service and organisation in the open minute.

Requests of further pairs are not counted.
"""
CALLER_ERROR_CODES = frozenset(
    {
        RefusalCode.INVALID_REQUEST,
        RefusalCode.UNAUTHENTICATED,
        RefusalCode.NOT_FOUND,
        RefusalCode.CONFLICT,
        RefusalCode.TOO_LARGE,
        RefusalCode.KEY_EXPIRED,
    }
)
"""Refusals of requests that no node could have served.

They do not spend an error budget.
"""


class MinuteCounter:
    """An ``ObservationSink`` that counts the requests of the current minute."""

    def __init__(
        self,
        *,
        get_objectives: Callable[[str], Objectives],
        get_now: Callable[[], datetime],
        on_minute_closed: Callable[[Counts], None],
    ) -> None:
        """Creates the counter.

        Args:
            get_objectives: returns a service's objectives.
            get_now: returns the wall-clock time.
            on_minute_closed: receives the counts of each elapsed minute that
                had requests.
        """
        self._get_objectives = get_objectives
        self._get_now = get_now
        self._on_minute_closed = on_minute_closed
        self._minute = 0
        self._accumulator = CountAccumulator()

    def __call__(self, observation: RequestObservation) -> None:
        """Counts a finished request."""
        self.close_elapsed_minute()
        key = observation.service, observation.organisation
        rows = self._accumulator.requests
        if key not in rows and len(rows) >= MAX_OPEN_ROWS:
            return
        objectives = self._get_objectives(observation.service)
        missed = evaluate_objectives(observation, objectives)
        if not missed:
            return
        self._accumulator.add_row(
            Row(
                service=observation.service,
                organisation=observation.organisation,
                requests=tuple(int(name in missed) for name in OBJECTIVES),
                bad=tuple(int(missed.get(name, 0)) for name in OBJECTIVES),
            )
        )
        for name in missed:
            if missed[name]:
                self._add_cause(observation, name)

    def close_elapsed_minute(self) -> None:
        """Closes the open minute if it is over."""
        minute = compute_epoch_minute(self._get_now())
        if minute <= self._minute:
            return
        if self._accumulator.requests:
            self._on_minute_closed(self._accumulator.build(self._minute))
        self._accumulator = CountAccumulator()
        self._minute = minute

    def peek(self) -> Counts:
        """Returns the counts of the open minute so far."""
        return self._accumulator.build(self._minute)

    def _add_cause(self, observation: RequestObservation, name: str) -> None:
        self._accumulator.add_cause(
            CauseRow(
                service=observation.service,
                organisation=observation.organisation,
                objective=name,
                cause=describe_cause(observation, name),
                requests=1,
                request_ids=(observation.request_id,),
            )
        )


def get_objectives(configuration: Configuration, service: str) -> Objectives:
    """Returns a service's objectives, or the defaults if it does not exist."""
    settings = configuration.services.get(service)
    return settings.objectives if settings is not None else Objectives()


def evaluate_objectives(
    observation: RequestObservation, objectives: Objectives
) -> dict[str, bool]:
    """Returns, for each applicable objective, whether the request missed it.

    A request misses ``stall`` if its stall time exceeds the objective for the
    time to the first token. It misses ``token_gap`` if the fraction of its gaps
    that meet the objective is below the good fraction. Only these two apply to
    a resumed stream, since the node that started it counts the others.
    """
    missed = {}
    if observation.ttft is not None:
        limit = objectives.ttft_seconds
        missed["stall"] = observation.stall.total_seconds() > limit
        if observation.tokens > 1:
            allowed = (1 - objectives.good_fraction) * (observation.tokens - 1)
            missed["token_gap"] = observation.late_gaps > allowed
    if observation.resumed:
        return missed
    if observation.ttft is not None:
        missed["ttft"] = observation.ttft.total_seconds() > limit
        missed["preemption"] = observation.preemptions > 0
    refusal = observation.refusal
    if refusal is None or refusal.code not in CALLER_ERROR_CODES:
        missed["refusal"] = refusal is not None
    return missed


def describe_cause(observation: RequestObservation, objective: str) -> str:
    """Returns the cause of a request's missed objective, as a short phrase."""
    if objective == "refusal" and observation.refusal is not None:
        return str(observation.refusal.code)
    if observation.resumed:
        return "the stream went on over another connection"
    failure_codes = [
        attempt.refusal.code
        for attempt in observation.attempts[:-1]
        if attempt.refusal is not None
    ]
    if failure_codes and objective != "preemption":
        return f"retried after {failure_codes[-1]}"
    placements = [
        attempt.placement
        for attempt in observation.attempts
        if attempt.placement is not None
    ]
    if not placements:
        return "no target was found"
    last = placements[-1]
    ttft = observation.ttft or timedelta()
    if objective in ("ttft", "stall") and last.waited * 2 > ttft:
        return "waited for a target"
    return f"target {last.target}"
