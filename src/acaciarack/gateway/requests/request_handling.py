"""Types and refusals that plain calls and generations share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import cached_property
from typing import Protocol

import logbook

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.gateway.evidence.fingerprints import (
    Fingerprint,
    Fingerprints,
    fingerprint_request,
    fingerprint_segments,
    is_request_fingerprint,
)
from acaciarack.gateway.spec import InboundRequest, Route, Service
from acaciarack.gateway.targets.client import ResponseHead
from acaciarack.problems import add_jitter

RETRY_AFTER = timedelta(milliseconds=250)
"""The default retry delay if no target ran the request. By then, the store has
listed new targets, or the node knows which targets have failed."""
LEAVING_RETRY_AFTER = timedelta(milliseconds=20)
"""The retry delay given by a draining node. It is short because the caller
retries at another node."""

_log = logbook.Logger("acaciarack.gateway.requests")


@dataclass(frozen=True, kw_only=True)
class BufferedResponse:
    """A target's whole response, forwarded unchanged."""

    head: ResponseHead
    body: bytes


class ResponseWriter(Protocol):
    """Writes a streamed response to its caller."""

    async def start(self, head: ResponseHead) -> None:
        """Writes the status and headers."""
        ...

    async def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        ...


@dataclass(frozen=True, kw_only=True)
class Task:
    """An admitted request, with the decisions made at its arrival.

    Attributes:
        request: the request as received.
        route: the matching route.
        service: the service chosen from the route's weighted services.
        organisation: the caller's organisation; ``None`` if it is not known
            and the route needs no key.
        priority: the priority class of the organisation, or else of the route;
            0 is the highest.
        arrived: the elapsed time at arrival.
        deadline: the elapsed time at which the final response is due.
        version: the version of the configuration that contains the route.
        regions: the regions that may process the request, by its route and its
            organisation together; ``None`` for all.
        elapsed: returns the current elapsed time.
    """

    request: InboundRequest
    route: Route
    service: Service
    organisation: str | None
    priority: int
    arrived: timedelta
    deadline: timedelta
    version: int
    elapsed: Callable[[], timedelta] = field(repr=False)
    regions: frozenset[str] | None = None

    @property
    def remaining(self) -> timedelta:
        """The time left until the deadline."""
        return self.deadline - self.elapsed()

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """What all attempts of this request have in common."""
        return fingerprint_request(
            self.service.name, self.organisation, self.request
        )

    @cached_property
    def fingerprints(self) -> Fingerprints:
        """What this request has in common with others."""
        return frozenset({self.fingerprint}) | fingerprint_segments(
            self.service.name, self.request.prompt
        )

    def log(self, event: str, **fields: str | float | int | list[str]) -> None:
        """Logs an event of this request."""
        _log.info(
            event,
            extra={
                "request_id": self.request.id,
                "age_ms": to_ms(self.elapsed() - self.arrived),
                **fields,
            },
        )


def to_ms(duration: timedelta) -> int:
    """Converts a duration to whole milliseconds, for log lines."""
    return round(duration.total_seconds() * 1000)


def refuse_not_run(
    detail: str, *, retry_after: timedelta = RETRY_AFTER
) -> Refusal:
    """Builds the refusal of a request that did not run and will not run."""
    return Refusal(
        code=RefusalCode.NO_TARGET,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
        retry_after=add_jitter(retry_after),
    )


def refuse_leaving() -> Refusal:
    """Builds the refusal of a request that did not run at a draining node."""
    return refuse_not_run(
        "this node is leaving", retry_after=LEAVING_RETRY_AFTER
    )


def refuse_quarantined(
    quarantined: Fingerprints, time_left: timedelta
) -> Refusal:
    """Builds the refusal of a request that crashes targets.

    Args:
        quarantined: its fingerprints that are in quarantine.
        time_left: the time until requests with them are served again.
    """
    is_whole_request = any(map(is_request_fingerprint, quarantined))
    return Refusal(
        code=RefusalCode.REQUEST_QUARANTINED
        if is_whole_request
        else RefusalCode.PROMPT_QUARANTINED,
        outcome=RunOutcome.NOT_RUN,
        detail="targets crashed when they ran this request"
        if is_whole_request
        else "engines crashed when they answered a part of the prompt",
        retry_after=add_jitter(time_left),
    )


def refuse_deadline_exceeded() -> Refusal:
    """Builds the refusal of a request that exceeded its deadline."""
    return Refusal(
        code=RefusalCode.DEADLINE_EXCEEDED,
        outcome=RunOutcome.UNKNOWN,
        detail="the request's time ended before its answer",
    )


def refuse_unknown_outcome(detail: str) -> Refusal:
    """Builds the refusal of a request that a target may have run."""
    return Refusal(
        code=RefusalCode.TARGET_FAILED,
        outcome=RunOutcome.UNKNOWN,
        detail=detail,
    )
