"""Runs calls to plain services, either with retries or at most once.

Calls with a safe method and calls to a service that is configured as
repeatable are retried. All other calls run at most once.
"""

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
from acaciarack.execution import ExecutionKey, Ledger, StoredResponse
from acaciarack.failures import (
    combine_outcomes,
    describe_error,
    refuse_target_failed,
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
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = "idempotent-replayed"
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_KEY_UUID_VERSIONS = (6, 7)
_STATUS_UNAVAILABLE = 503


@dataclass(frozen=True, kw_only=True)
class ServiceDependencies:
    """The objects that all calls share.

    Attributes:
        clock: measures durations.
        node: this node's name.
        configuration: returns the current configuration.
        placer: chooses the target of a call.
        client: sends calls to application servers.
        ledger: runs non-idempotent calls at most once.
        budget: limits retries.
        observe: receives one observation at the end of each call.
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
    """Runs one call, from its acceptance to its end."""

    def __init__(
        self,
        *,
        service_dependencies: ServiceDependencies,
        service: Service,
        route: Route,
        call: ApplicationCall,
    ) -> None:
        self._dependencies = service_dependencies
        self._service = service
        self._route = route
        self._call = call
        self._configuration_version = (
            service_dependencies.configuration().version
        )
        self._arrived: datetime = service_dependencies.clock.now()
        self._start = service_dependencies.clock.elapsed()
        self._attempts: list[Attempt] = []

    async def run(self) -> Reply | Refusal:
        """Runs the call and reports its observation."""
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
        answer = await self._dispatch()
        while isinstance(answer, Refusal) and self._can_retry():
            retry_answer = await self._dispatch()
            answer = self._combine_outcome(retry_answer)
        return answer if isinstance(answer, Refusal) else _build_reply(answer)

    def _can_retry(self) -> bool:
        if self._attempts[-1].placement is None:
            return False
        if len(self._attempts) >= MAX_ATTEMPTS:
            return False
        return self._dependencies.budget.allow(self._call.organisation)

    async def _run_once(self) -> Reply | Refusal:
        key = _parse_key(self._call.headers.get(IDEMPOTENCY_KEY_HEADER, ""))
        if isinstance(key, Refusal):
            return key
        result = await self._dependencies.ledger.run_once(
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

    async def _dispatch_once(self) -> StoredResponse | Refusal:
        """Dispatches once. A response with any status counts as a run."""
        return await self._dispatch(accept_unavailable=True)

    async def _dispatch(
        self, *, accept_unavailable: bool = False
    ) -> StoredResponse | Refusal:
        placement = await self._place()
        if isinstance(placement, Refusal):
            self._attempts.append(Attempt(placement=None, refusal=placement))
            return placement
        answer: StoredResponse | Refusal | None = None
        try:
            answer = await self._send(placement)
            if not accept_unavailable:
                answer = _refuse_unavailable(answer)
        finally:
            refusal = answer if isinstance(answer, Refusal) else None
            self._attempts.append(Attempt(placement=placement, refusal=refusal))
            self._dependencies.placer.finish(
                self._call.request_id,
                succeeded=isinstance(answer, StoredResponse),
            )
        return answer

    async def _place(self) -> Placement | Refusal:
        return await self._dependencies.placer.place(
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

    async def _send(self, placement: Placement) -> StoredResponse | Refusal:
        targets = self._dependencies.configuration().targets
        target = targets.get(placement.target)
        if target is None:
            return refuse_target_failed(
                f"{placement.target} was removed", RunOutcome.NOT_RUN
            )
        elapsed = self._dependencies.clock.elapsed() - self._start
        remaining = self._service.deadline_seconds - elapsed.total_seconds()
        with trio.move_on_after(max(0.0, remaining)):
            try:
                return await self._dependencies.client.send(target, self._call)
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

    def _combine_outcome(
        self, answer: StoredResponse | Refusal
    ) -> StoredResponse | Refusal:
        """Sets a refusal's outcome to the combined outcome of all attempts."""
        if isinstance(answer, StoredResponse):
            return answer
        outcome = combine_outcomes(
            attempt.refusal.outcome
            for attempt in self._attempts
            if attempt.refusal is not None
        )
        return replace(answer, outcome=outcome)

    def _observe(self, refusal: Refusal | None) -> None:
        self._dependencies.observe(
            RequestObservation(
                request_id=self._call.request_id,
                organisation=self._call.organisation,
                service=self._service.name,
                configuration_version=self._configuration_version,
                node=self._dependencies.node,
                arrived=self._arrived,
                duration=self._dependencies.clock.elapsed() - self._start,
                attempts=tuple(self._attempts),
                refusal=refusal,
            )
        )


def _build_reply(answer: StoredResponse, *, replayed: bool = False) -> Reply:
    headers = dict(answer.headers)
    if replayed:
        headers[REPLAYED_HEADER] = "true"
    return Reply(status=answer.status, headers=headers, body=answer.body)


def _refuse_unavailable(
    answer: StoredResponse | Refusal,
) -> StoredResponse | Refusal:
    """Converts a response with status 503 into a refusal."""
    if (
        isinstance(answer, StoredResponse)
        and answer.status == _STATUS_UNAVAILABLE
    ):
        return refuse_target_failed(
            f"the target answered with status {answer.status}",
            RunOutcome.UNKNOWN,
        )
    return answer


def _parse_key(text: str) -> str | Refusal:
    """Returns the key in canonical form, or a refusal if it is invalid."""
    try:
        key = uuid.UUID(text)
    except ValueError:
        return refuse_invalid(
            "the call may run only once and needs an Idempotency-Key: a UUID"
            f" of version 6 or 7; found {text[:64]!r}"
        )
    if key.version not in _KEY_UUID_VERSIONS:
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
