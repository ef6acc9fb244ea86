"""Runs one generation request, including its attempts and retries."""

from collections.abc import Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass, replace
from datetime import timedelta

import logbook
import trio

from acaciarack.configuration import Target
from acaciarack.delivery import AnswerTooLongError, ResponseWriter
from acaciarack.engines import CANCEL_TIMEOUT
from acaciarack.errors import AcaciarackError, Refusal, RunOutcome
from acaciarack.failures import (
    AttemptFailure,
    combine_outcomes,
    describe_engine_failure,
    describe_error,
    refuse_deadline_exceeded,
)
from acaciarack.generations import (
    GenerationCall,
    GenerationDependencies,
    build_engine_body,
)
from acaciarack.observations import Attempt, RequestObservation
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.relay import FAILED, Batch, Relay, get_preemptions
from acaciarack.response_buffer import CallerLeftError, ResponseBuffer
from acaciarack.seals import SealedResponse
from acaciarack.streams import GenerationLostError
from acaciarack.token_timer import TokenTimer
from acaciarack.transports import TransportError
from acaciarack.web import refuse_internal

MAX_ATTEMPTS = 4

_log = logbook.Logger("acaciarack.runs")


class TargetRemovedError(AcaciarackError):
    """The selected target is no longer in the configuration."""


@dataclass
class _RunningAttempt:
    """The current attempt and the placement that it holds."""

    placement: Placement
    target: Target | None
    relay: Relay
    tokens: int = 0


class GenerationRun:
    """Runs one accepted request to its end."""

    def __init__(
        self,
        *,
        dependencies: GenerationDependencies,
        call: GenerationCall,
        buffer: ResponseBuffer,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._buffer = buffer
        self._writer = ResponseWriter(mode=call.mode, buffer=buffer)
        self._token_timer = TokenTimer(
            clock=dependencies.clock, objectives=call.service.objectives
        )
        self._cancel_scope = trio.CancelScope()
        self._tasks: trio.Nursery | None = None
        self._attempts: list[Attempt] = []
        self._running: _RunningAttempt | None = None
        self._preemptions = 0

    async def run(self) -> None:
        """Runs the request and writes the response to the buffer.

        If the caller disconnects after it received a response id, the
        generation continues for a grace period. The generation is cancelled at
        the end of this period, unless the caller has resumed the stream through
        any node.
        """
        call = self._call
        self._dependencies.resume_tracker.add(call.request_id)
        self._buffer.set_close_callback(self._cancel_scope.cancel)
        self._cancel_scope.deadline = (
            trio.current_time() + call.service.deadline_seconds
        )
        try:
            async with trio.open_nursery() as self._tasks:
                await self._run_and_report()
        finally:
            self._dependencies.resume_tracker.remove(call.request_id)
            self._release_placement()

    async def _run_and_report(self) -> None:
        refusal = None
        try:
            with self._cancel_scope:
                refusal = await self._run_attempts()
            if self._cancel_scope.cancelled_caught and not self._buffer.closed:
                refusal = self._end_after_deadline()
            if refusal is not None and self._writer.started:
                await self._writer.fail(refusal)
        except CallerLeftError:
            self._buffer.close()
        except Exception:
            _log.exception("request {} failed", self._call.request_id)
            refusal = await self._end_after_internal_error()
        self._buffer.end(refusal)
        caller_left = self._buffer.closed
        self._record_observation(refusal, caller_left=caller_left)
        if self._running is not None:
            await self._end_after_disconnect()

    async def _run_attempts(self) -> Refusal | None:
        for number in range(1, MAX_ATTEMPTS + 1):
            placement = await self._place(number)
            if isinstance(placement, Refusal):
                self._attempts.append(
                    Attempt(placement=None, refusal=placement)
                )
                break
            failure = await self._run_attempt(placement)
            self._end_attempt(failure)
            if failure is None:
                return None
            if failure.is_permanent or not self._writer.can_retry:
                break
            if number == MAX_ATTEMPTS or not self._allow_retry():
                break
            await self._writer.discard(failure.refusal)
        return self._combine_outcome(self._attempts[-1].refusal)

    def _allow_retry(self) -> bool:
        return self._dependencies.budget.allow(self._call.organisation)

    async def _place(self, number: int) -> Placement | Refusal:
        call = self._call
        return await self._dependencies.placer.place(
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
                generated_tokens=sum(
                    attempt.tokens for attempt in self._attempts
                ),
            )
        )

    async def _run_attempt(self, placement: Placement) -> AttemptFailure | None:
        target = self._dependencies.configuration().targets.get(
            placement.target
        )
        relay = Relay(
            seal=self._build_seal_function(placement.target),
            model=self._call.service.name,
        )
        self._running = _RunningAttempt(
            placement=placement, target=target, relay=relay
        )
        self._writer.begin(relay)
        try:
            if target is None:
                raise TargetRemovedError(f"{placement.target} was removed")
            stream = await self._dependencies.client.open(
                target, build_engine_body(self._call, placement)
            )
            batches = self._dependencies.generation_reader.read_batches(
                target, relay, stream
            )
            async with aclosing(batches):
                async for batch in batches:
                    self._record_batch(batch)
                    await self._writer.write(batch)
                    if batch.final_type == FAILED:
                        return describe_engine_failure(batch.response)
        except (
            TransportError,
            GenerationLostError,
            TargetRemovedError,
            AnswerTooLongError,
        ) as error:
            return describe_error(error, created=bool(relay.engine_id))
        return None

    def _record_batch(self, batch: Batch) -> None:
        if batch.response is not None:
            self._preemptions += get_preemptions(batch.response)
        if not batch.tokens or self._running is None:
            return
        if not self._token_timer.tokens:
            # The service's deadline applies to the first token only.
            self._cancel_scope.deadline = float("inf")
        self._token_timer.record(batch.tokens)
        self._running.tokens += batch.tokens
        self._dependencies.placer.record_tokens(
            self._call.request_id, batch.tokens
        )

    def _build_seal_function(self, target: str) -> Callable[[str], str]:
        generation = len(self._attempts) + 1

        def seal(engine_id: str) -> str:
            return self._dependencies.sealer.seal(
                SealedResponse(
                    target=target,
                    engine_id=engine_id,
                    configuration_version=self._call.configuration_version,
                    organisation=self._call.organisation,
                    service=self._call.service.name,
                    request_id=self._call.request_id,
                    created=self._dependencies.clock.now(),
                    generation=generation,
                    node=self._dependencies.node,
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
        self._dependencies.placer.finish(
            self._call.request_id,
            succeeded=failure is None or failure.is_permanent,
        )
        if failure is not None and self._tasks is not None:
            self._tasks.start_soon(self._cancel_on_engine, running)

    async def _end_after_internal_error(self) -> Refusal:
        """Ends a request after an internal error of the node."""
        refusal = refuse_internal()
        self._end_attempt(AttemptFailure(refusal=refusal, is_permanent=True))
        if self._writer.started:
            with suppress(CallerLeftError):
                await self._writer.fail(refusal)
        return refusal

    def _end_after_deadline(self) -> Refusal:
        refusal = refuse_deadline_exceeded(self._call.service.deadline_seconds)
        if self._running is not None:
            created = bool(self._running.relay.engine_id)
            outcome = RunOutcome.RAN if created else RunOutcome.UNKNOWN
            refusal = replace(refusal, outcome=outcome)
        self._end_attempt(AttemptFailure(refusal=refusal))
        return self._combine_outcome(refusal) or refusal

    async def _end_after_disconnect(self) -> None:
        """Cancels the generation unless the caller resumes its stream."""
        running = self._running
        if running is None:
            return
        resumed = False
        if self._writer.started:
            resumed = await self._dependencies.resume_tracker.wait_for_resume(
                self._call.request_id
            )
        if not resumed:
            await self._cancel_on_engine(running)
        self._release_placement()

    def _release_placement(self) -> None:
        if self._running is not None:
            self._running = None
            self._dependencies.placer.finish(
                self._call.request_id, succeeded=True
            )

    async def _cancel_on_engine(self, running: _RunningAttempt) -> None:
        """Cancels the generation on the engine; ignores errors and timeouts."""
        if running.target is None or not running.relay.engine_id:
            return
        with (
            trio.move_on_after(CANCEL_TIMEOUT.total_seconds()),
            suppress(TransportError),
        ):
            await self._dependencies.client.cancel(
                running.target, engine_id=running.relay.engine_id
            )

    def _combine_outcome(self, refusal: Refusal | None) -> Refusal | None:
        """Returns the refusal with the combined outcome of all attempts."""
        if refusal is None:
            return None
        outcomes = [
            attempt.refusal.outcome
            for attempt in self._attempts
            if attempt.refusal is not None
        ]
        outcome = combine_outcomes([refusal.outcome, *outcomes])
        return replace(refusal, outcome=outcome)

    def _record_observation(
        self, refusal: Refusal | None, *, caller_left: bool
    ) -> None:
        call = self._call
        attempts = tuple(self._attempts)
        if self._running is not None:
            attempts += (
                Attempt(
                    placement=self._running.placement,
                    tokens=self._running.tokens,
                ),
            )
        self._dependencies.observe(
            RequestObservation(
                request_id=call.request_id,
                response_id=self._writer.response_id,
                organisation=call.organisation,
                service=call.service.name,
                configuration_version=call.configuration_version,
                node=self._dependencies.node,
                arrived=call.arrived,
                duration=self._token_timer.duration,
                attempts=attempts,
                ttft=self._token_timer.ttft,
                stall=self._token_timer.stall,
                longest_gap=self._token_timer.longest_gap,
                late_gaps=self._token_timer.late_gaps,
                tokens=self._token_timer.tokens,
                preemptions=self._preemptions,
                refusal=refusal,
                caller_left=caller_left,
            )
        )
