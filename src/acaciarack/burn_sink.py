"""Counts each request at its end against its service's objectives."""

from collections.abc import Callable
from datetime import datetime, timedelta

from acaciarack.burn_counts import (
    OBJECTIVES,
    CauseRow,
    Counts,
    Row,
    Tally,
    find_minute,
)
from acaciarack.configuration import Configuration, Objectives
from acaciarack.errors import RefusalCode
from acaciarack.observations import RequestObservation

MAX_OPEN_ROWS = 20_000
CALLER_CODES = frozenset(
    {
        RefusalCode.INVALID_REQUEST,
        RefusalCode.UNAUTHENTICATED,
        RefusalCode.NOT_FOUND,
        RefusalCode.CONFLICT,
        RefusalCode.TOO_LARGE,
        RefusalCode.KEY_EXPIRED,
    }
)
"""Refusals of requests that no node could have served; they spend nothing."""


class MinuteCounter:
    """An ``ObservationSink`` that counts the current minute."""

    def __init__(
        self,
        *,
        get_objectives: Callable[[str], Objectives],
        get_now: Callable[[], datetime],
        close: Callable[[Counts], None],
    ) -> None:
        """Creates the counter.

        Args:
            get_objectives: gives a service's objectives.
            get_now: gives the wall time.
            close: takes each minute that is over and had requests.
        """
        self._get_objectives = get_objectives
        self._get_now = get_now
        self._close = close
        self._minute = 0
        self._tally = Tally()

    def __call__(self, observation: RequestObservation) -> None:
        """Counts a request at its end."""
        self.roll()
        key = observation.service, observation.organisation
        known = self._tally.requests
        if key not in known and len(known) >= MAX_OPEN_ROWS:
            return
        objectives = self._get_objectives(observation.service)
        misses = judge(observation, objectives)
        if not misses:
            return
        self._tally.add_row(
            Row(
                service=observation.service,
                organisation=observation.organisation,
                requests=tuple(int(name in misses) for name in OBJECTIVES),
                bad=tuple(int(misses.get(name, 0)) for name in OBJECTIVES),
            )
        )
        for name in misses:
            if misses[name]:
                self._add_cause(observation, name)

    def roll(self) -> None:
        """Closes the minute that was counted if it is over."""
        minute = find_minute(self._get_now())
        if minute <= self._minute:
            return
        if self._tally.requests:
            self._close(self._tally.build(self._minute))
        self._tally = Tally()
        self._minute = minute

    def peek(self) -> Counts:
        """Returns what the current minute has so far."""
        return self._tally.build(self._minute)

    def _add_cause(self, observation: RequestObservation, name: str) -> None:
        self._tally.add_cause(
            CauseRow(
                service=observation.service,
                organisation=observation.organisation,
                objective=name,
                cause=find_cause(observation, name),
                requests=1,
                request_ids=(observation.request_id,),
            )
        )


def get_objectives(configuration: Configuration, service: str) -> Objectives:
    """Returns a service's objectives; the defaults if it is gone."""
    found = configuration.services.get(service)
    return found.objectives if found is not None else Objectives()


def judge(
    observation: RequestObservation, objectives: Objectives
) -> dict[str, bool]:
    """Returns, for each objective that applies, whether it was missed.

    A request stalls if its waiting beyond the objectives comes to more than
    the accepted time to the first token. It misses the time between tokens
    if the fraction of its gaps that meet it is under the good fraction. A
    stream that went on here counts for these two only, since the node that
    began it counts the rest.
    """
    misses = {}
    if observation.ttft is not None:
        limit = objectives.ttft_seconds
        misses["stall"] = observation.stall.total_seconds() > limit
        if observation.tokens > 1:
            allowed = (1 - objectives.good_fraction) * (observation.tokens - 1)
            misses["token_gap"] = observation.late_gaps > allowed
    if observation.resumed:
        return misses
    if observation.ttft is not None:
        misses["ttft"] = observation.ttft.total_seconds() > limit
        misses["preemption"] = observation.preemptions > 0
    refusal = observation.refusal
    if refusal is None or refusal.code not in CALLER_CODES:
        misses["refusal"] = refusal is not None
    return misses


def find_cause(observation: RequestObservation, objective: str) -> str:
    """Names why a request missed an objective."""
    if objective == "refusal" and observation.refusal is not None:
        return str(observation.refusal.code)
    if observation.resumed:
        return "the stream went on over another connection"
    failed = [
        attempt.refusal.code
        for attempt in observation.attempts[:-1]
        if attempt.refusal is not None
    ]
    if failed and objective != "preemption":
        return f"retried after {failed[-1]}"
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
