"""Runs one request for a generation: attempts, retries and its end."""

from collections.abc import Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass, replace
from datetime import timedelta

import logbook
import trio

from acaciarack.configuration import Target
from acaciarack.delivery import AnswerTooLongError, AnswerWriter
from acaciarack.engines import CANCEL_TIMEOUT
from acaciarack.errors import AcaciarackError, Refusal, RunOutcome
from acaciarack.failures import (
    AttemptFailure,
    combine_outcomes,
    describe_engine_failure,
    describe_error,
    refuse_late,
)
from acaciarack.generations import (
    GenerationCall,
    GenerationParts,
    build_engine_body,
)
from acaciarack.observations import Attempt, RequestObservation
from acaciarack.outbox import CallerLeftError, Outbox
from acaciarack.pace import Pace
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.relay import FAILED, Batch, Relay, get_preemptions
from acaciarack.seals import SealedResponse
from acaciarack.streams import GenerationLostError
from acaciarack.transports import TransportError
from acaciarack.web import refuse_internal

MAX_ATTEMPTS = 4

_log = logbook.Logger("acaciarack.runs")


class TargetRemovedError(AcaciarackError):
    """The target chosen is no longer in the configuration."""


@dataclass
class _Running:
    """The attempt that holds a placement."""

    placement: Placement
    target: Target | None
    relay: Relay
    tokens: int = 0


class GenerationRun:
    """One request from its acceptance to its end."""

    def __init__(
        self, *, parts: GenerationParts, call: GenerationCall, outbox: Outbox
    ) -> None:
        self._parts = parts
        self._call = call
        self._outbox = outbox
        self._writer = AnswerWriter(mode=call.mode, outbox=outbox)
        self._pace = Pace(clock=parts.clock, objectives=call.service.objectives)
        self._scope = trio.CancelScope()
        self._tasks: trio.Nursery | None = None
        self._attempts: list[Attempt] = []
        self._running: _Running | None = None
        self._preemptions = 0

    async def run(self) -> None:
        """Runs to the end; what comes of it goes to the outbox.

        When the caller leaves after it got a response id, the generation is
        kept for a grace in which it may be resumed through any node.
        """
        call = self._call
        self._parts.departures.add(call.request_id)
        self._outbox.notify_close(self._scope.cancel)
        self._scope.deadline = (
            trio.current_time() + call.service.deadline_seconds
        )
        try:
            async with trio.open_nursery() as self._tasks:
                await self._run_and_tell()
        finally:
            self._parts.departures.remove(call.request_id)
            self._release_placement()

    async def _run_and_tell(self) -> None:
        refusal = None
        try:
            with self._scope:
                refusal = await self._run_attempts()
            if self._scope.cancelled_caught and not self._outbox.closed:
                refusal = self._end_late()
            if refusal is not None and self._writer.started:
                await self._writer.fail(refusal)
        except CallerLeftError:
            self._outbox.close()
        except Exception:
            _log.exception("request {} failed", self._call.request_id)
            refusal = await self._end_broken()
        self._outbox.end(refusal)
        left = self._outbox.closed
        self._observe(refusal, left=left)
        if self._running is not None:
            await self._end_abandoned()

    async def _run_attempts(self) -> Refusal | None:
        for number in range(1, MAX_ATTEMPTS + 1):
            placement = await self._place(number)
            if isinstance(placement, Refusal):
                self._attempts.append(
                    Attempt(placement=None, refusal=placement)
                )
                break
            failure = await self._attempt(placement)
            self._end_attempt(failure)
            if failure is None:
                return None
            if failure.final or not self._writer.may_rerun:
                break
            if number == MAX_ATTEMPTS or not self._allow_retry():
                break
            await self._writer.discard(failure.refusal)
        return self._combine(self._attempts[-1].refusal)

    def _allow_retry(self) -> bool:
        return self._parts.budget.allow(self._call.organisation)

    async def _place(self, number: int) -> Placement | Refusal:
        call = self._call
        return await self._parts.placer.place(
            PlacementRequest(
                request_id=call.request_id,
                organisation=call.organisation,
                service=call.service,
                route=call.route,
                choice=call.choice,
                prompt_tokens=call.prompt_tokens,
                prefix_hashes=call.prefix_hashes,
                max_output_tokens=call.max_output_tokens,
                arrived=call.arrived,
                deadline=timedelta(seconds=call.service.deadline_seconds),
                attempt=number,
                excluded=frozenset(
                    attempt.placement.target
                    for attempt in self._attempts
                    if attempt.placement is not None
                ),
                tokens_done=sum(attempt.tokens for attempt in self._attempts),
            )
        )

    async def _attempt(self, placement: Placement) -> AttemptFailure | None:
        target = self._parts.configuration().targets.get(placement.target)
        relay = Relay(
            seal=self._seal_for(placement.target),
            model=self._call.service.name,
        )
        self._running = _Running(
            placement=placement, target=target, relay=relay
        )
        self._writer.begin(relay)
        try:
            if target is None:
                raise TargetRemovedError(f"{placement.target} was removed")
            stream = await self._parts.client.open(
                target, build_engine_body(self._call, placement)
            )
            batches = self._parts.follower.follow(target, relay, stream)
            async with aclosing(batches):
                async for batch in batches:
                    self._record(batch)
                    await self._writer.write(batch)
                    if batch.ended == FAILED:
                        return describe_engine_failure(batch.response)
        except (
            TransportError,
            GenerationLostError,
            TargetRemovedError,
            AnswerTooLongError,
        ) as error:
            return describe_error(error, created=bool(relay.engine_id))
        return None

    def _record(self, batch: Batch) -> None:
        if batch.response is not None:
            self._preemptions += get_preemptions(batch.response)
        if not batch.tokens or self._running is None:
            return
        if not self._pace.tokens:
            self._scope.deadline = float("inf")
        self._pace.record(batch.tokens)
        self._running.tokens += batch.tokens
        self._parts.placer.record_tokens(self._call.request_id, batch.tokens)

    def _seal_for(self, target: str) -> Callable[[str], str]:
        generation = len(self._attempts) + 1

        def seal(engine_id: str) -> str:
            return self._parts.sealer.seal(
                SealedResponse(
                    target=target,
                    engine_id=engine_id,
                    configuration_version=self._call.configuration_version,
                    organisation=self._call.organisation,
                    service=self._call.service.name,
                    request_id=self._call.request_id,
                    created=self._parts.clock.now(),
                    generation=generation,
                    node=self._parts.node,
                )
            )

        return seal

    def _end_attempt(self, failure: AttemptFailure | None) -> None:
        running = self._running
        self._running = None
        if running is None:
            return
        self._attempts.append(
            Attempt(
                placement=running.placement,
                refusal=failure.refusal if failure else None,
                tokens=running.tokens,
            )
        )
        self._parts.placer.finish(
            self._call.request_id, succeeded=failure is None or failure.final
        )
        if failure is not None and self._tasks is not None:
            self._tasks.start_soon(self._cancel, running)

    async def _end_broken(self) -> Refusal:
        """Ends a request that a fault of the node stopped."""
        refusal = refuse_internal()
        self._end_attempt(AttemptFailure(refusal=refusal, final=True))
        if self._writer.started:
            with suppress(CallerLeftError):
                await self._writer.fail(refusal)
        return refusal

    def _end_late(self) -> Refusal:
        refusal = refuse_late(self._call.service.deadline_seconds)
        if self._running is not None:
            created = bool(self._running.relay.engine_id)
            outcome = RunOutcome.RAN if created else RunOutcome.UNKNOWN
            refusal = replace(refusal, outcome=outcome)
        self._end_attempt(AttemptFailure(refusal=refusal))
        return self._combine(refusal) or refusal

    async def _end_abandoned(self) -> None:
        """Ends the generation of a caller who left, unless it is resumed."""
        running = self._running
        if running is None:
            return
        resumed = False
        if self._writer.started:
            resumed = await self._parts.departures.wait(self._call.request_id)
        if not resumed:
            await self._cancel(running)
        self._release_placement()

    def _release_placement(self) -> None:
        if self._running is not None:
            self._running = None
            self._parts.placer.finish(self._call.request_id, succeeded=True)

    async def _cancel(self, running: _Running) -> None:
        """Cancels on the engine, as well as it can be done."""
        if running.target is None or not running.relay.engine_id:
            return
        with (
            trio.move_on_after(CANCEL_TIMEOUT.total_seconds()),
            suppress(TransportError),
        ):
            await self._parts.client.cancel(
                running.target, engine_id=running.relay.engine_id
            )

    def _combine(self, refusal: Refusal | None) -> Refusal | None:
        """Returns the refusal with the outcome of all attempts together."""
        if refusal is None:
            return None
        outcomes = [
            attempt.refusal.outcome
            for attempt in self._attempts
            if attempt.refusal is not None
        ]
        outcome = combine_outcomes([refusal.outcome, *outcomes])
        return replace(refusal, outcome=outcome)

    def _observe(self, refusal: Refusal | None, *, left: bool) -> None:
        call = self._call
        attempts = tuple(self._attempts)
        if self._running is not None:
            attempts += (
                Attempt(
                    placement=self._running.placement,
                    tokens=self._running.tokens,
                ),
            )
        self._parts.observe(
            RequestObservation(
                request_id=call.request_id,
                response_id=self._writer.response_id,
                organisation=call.organisation,
                service=call.service.name,
                configuration_version=call.configuration_version,
                node=self._parts.node,
                arrived=call.arrived,
                duration=self._pace.duration,
                attempts=attempts,
                ttft=self._pace.ttft,
                stall=self._pace.stall,
                longest_gap=self._pace.longest_gap,
                late_gaps=self._pace.late_gaps,
                tokens=self._pace.tokens,
                preemptions=self._preemptions,
                refusal=refusal,
                caller_left=left,
            )
        )
