"""Runs one call to a plain service, repeatable or at most once."""

import hashlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

import trio

from acaciarack.applications import ApplicationCall, ApplicationClient
from acaciarack.calls import refuse_invalid
from acaciarack.clock import Clock
from acaciarack.configuration import (
    Configuration,
    Route,
    Service,
)
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.execution import ExecutionKey, Ledger, StoredAnswer
from acaciarack.failures import (
    combine_outcomes,
    describe_error,
    refuse_failed,
)
from acaciarack.generations import RetryBudget
from acaciarack.observations import (
    Attempt,
    ObservationSink,
    RequestObservation,
)
from acaciarack.placement import Placement, PlacementRequest, Placer
from acaciarack.transports import TransportError
from acaciarack.web import Reply

MAX_ATTEMPTS = 4
KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = "idempotent-replayed"
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_KEY_VERSIONS = (6, 7)
_UNAVAILABLE = 503


@dataclass(frozen=True, kw_only=True)
class ServiceParts:
    """What every call uses.

    Attributes:
        clock: measures durations.
        node: this node's name.
        configuration: returns the configuration in force.
        placer: decides which target runs a call.
        client: speaks with the application servers.
        ledger: runs non-idempotent calls at most once.
        budget: limits retries.
        observe: takes one observation for each call at its end.
    """

    clock: Clock
    node: str
    configuration: Callable[[], Configuration]
    placer: Placer
    client: ApplicationClient
    ledger: Ledger
    budget: RetryBudget
    observe: ObservationSink


class ServiceRun:
    """One call from its acceptance to its end."""

    def __init__(
        self,
        *,
        parts: ServiceParts,
        service: Service,
        route: Route,
        call: ApplicationCall,
    ) -> None:
        self._parts = parts
        self._service = service
        self._route = route
        self._call = call
        self._version = parts.configuration().version
        self._arrived: datetime = parts.clock.now()
        self._start = parts.clock.elapsed()
        self._attempts: list[Attempt] = []

    async def run(self) -> Reply | Refusal:
        """Runs the call and records how it ended."""
        repeatable = (
            self._service.repeatable or self._call.method in _SAFE_METHODS
        )
        if repeatable:
            reply = await self._run_repeatable()
        else:
            reply = await self._run_once()
        self._observe(reply if isinstance(reply, Refusal) else None)
        return reply

    async def _run_repeatable(self) -> Reply | Refusal:
        answer = await self._dispatch(fresh=False)
        while isinstance(answer, Refusal) and self._may_retry():
            # A kept connection may have been the cause, so it is not used.
            following = await self._dispatch(fresh=True)
            answer = self._combine(following)
        return answer if isinstance(answer, Refusal) else _build_reply(answer)

    def _may_retry(self) -> bool:
        if self._attempts[-1].placement is None:
            return False
        if len(self._attempts) >= MAX_ATTEMPTS:
            return False
        return self._parts.budget.allow(self._call.organisation)

    async def _run_once(self) -> Reply | Refusal:
        key = _read_key(self._call.headers.get(KEY_HEADER, ""))
        if isinstance(key, Refusal):
            return key
        result = await self._parts.ledger.run_once(
            ExecutionKey(
                organisation=self._call.organisation,
                service=self._service.name,
                key=key,
                digest=_digest_call(self._call),
            ),
            self._dispatch_once,
        )
        if isinstance(result, Refusal):
            return result
        return _build_reply(result.answer, replayed=result.replayed)

    async def _dispatch_once(self) -> StoredAnswer | Refusal:
        """Dispatches once; an answer of any status counts as having run."""
        return await self._dispatch(fresh=True, accept_unavailable=True)

    async def _dispatch(
        self, *, fresh: bool, accept_unavailable: bool = False
    ) -> StoredAnswer | Refusal:
        placement = await self._place()
        if isinstance(placement, Refusal):
            self._attempts.append(Attempt(placement=None, refusal=placement))
            return placement
        answer: StoredAnswer | Refusal | None = None
        try:
            answer = await self._send(placement, fresh=fresh)
            if not accept_unavailable:
                answer = _refuse_unavailable(answer)
        finally:
            refusal = answer if isinstance(answer, Refusal) else None
            self._attempts.append(Attempt(placement=placement, refusal=refusal))
            self._parts.placer.finish(
                self._call.request_id,
                succeeded=isinstance(answer, StoredAnswer),
            )
        return answer

    async def _place(self) -> Placement | Refusal:
        return await self._parts.placer.place(
            PlacementRequest(
                request_id=self._call.request_id,
                organisation=self._call.organisation,
                service=self._service,
                route=self._route,
                choice=None,
                prompt_tokens=0,
                max_output_tokens=0,
                arrived=self._arrived,
                deadline=timedelta(seconds=self._service.deadline_seconds),
                attempt=len(self._attempts) + 1,
                excluded=frozenset(
                    attempt.placement.target
                    for attempt in self._attempts
                    if attempt.placement is not None
                ),
            )
        )

    async def _send(
        self, placement: Placement, *, fresh: bool
    ) -> StoredAnswer | Refusal:
        targets = self._parts.configuration().targets
        target = targets.get(placement.target)
        if target is None:
            return refuse_failed(
                f"{placement.target} was removed", RunOutcome.NOT_RUN
            )
        elapsed = self._parts.clock.elapsed() - self._start
        remaining = self._service.deadline_seconds - elapsed.total_seconds()
        with trio.move_on_after(max(0.0, remaining)):
            try:
                return await self._parts.client.send(
                    target, self._call, fresh=fresh
                )
            except TransportError as error:
                return describe_error(error).refusal
        return Refusal(
            code=RefusalCode.DEADLINE_EXCEEDED,
            outcome=RunOutcome.UNKNOWN,
            detail=(
                "no answer came within the service's"
                f" {self._service.deadline_seconds:g} s"
            ),
        )

    def _combine(
        self, answer: StoredAnswer | Refusal
    ) -> StoredAnswer | Refusal:
        if isinstance(answer, StoredAnswer):
            return answer
        outcome = combine_outcomes(
            attempt.refusal.outcome
            for attempt in self._attempts
            if attempt.refusal is not None
        )
        return replace(answer, outcome=outcome)

    def _observe(self, refusal: Refusal | None) -> None:
        self._parts.observe(
            RequestObservation(
                request_id=self._call.request_id,
                organisation=self._call.organisation,
                service=self._service.name,
                configuration_version=self._version,
                node=self._parts.node,
                arrived=self._arrived,
                duration=self._parts.clock.elapsed() - self._start,
                attempts=tuple(self._attempts),
                refusal=refusal,
            )
        )


def _build_reply(answer: StoredAnswer, *, replayed: bool = False) -> Reply:
    headers = dict(answer.headers)
    if replayed:
        headers[REPLAYED_HEADER] = "true"
    return Reply(status=answer.status, headers=headers, body=answer.body)


def _refuse_unavailable(
    answer: StoredAnswer | Refusal,
) -> StoredAnswer | Refusal:
    if isinstance(answer, StoredAnswer) and answer.status == _UNAVAILABLE:
        return refuse_failed(
            f"the target answered with status {answer.status}",
            RunOutcome.UNKNOWN,
        )
    return answer


def _read_key(text: str) -> str | Refusal:
    """Returns the key in its one canonical form."""
    try:
        key = uuid.UUID(text)
    except ValueError:
        return refuse_invalid(
            "the call may run only once and needs an Idempotency-Key: a UUID"
            f" of version 6 or 7; found {text[:64]!r}"
        )
    if key.version not in _KEY_VERSIONS:
        return refuse_invalid(
            "the Idempotency-Key must be a UUID of version 6 or 7, which"
            f" carry their time; found version {key.version}"
        )
    return str(key)


def _digest_call(call: ApplicationCall) -> bytes:
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
