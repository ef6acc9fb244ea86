"""Resumes a stream that started on another connection or node."""

from contextlib import aclosing
from dataclasses import dataclass
from datetime import datetime

import trio

from acaciarack.configuration import Objectives, Target
from acaciarack.delivery import DeliveryMode, ResponseWriter
from acaciarack.engines import EngineStatusError, EventStream
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.failures import describe_engine_failure, describe_error
from acaciarack.generations import GenerationDependencies
from acaciarack.observations import RequestObservation
from acaciarack.relay import FAILED, FIRST_SEQUENCE_NUMBER, Relay
from acaciarack.response_buffer import CallerLeftError, ResponseBuffer
from acaciarack.seals import SealedResponse
from acaciarack.streams import GenerationLostError
from acaciarack.token_timer import TokenTimer
from acaciarack.transports import TransportError


@dataclass(frozen=True, kw_only=True)
class ResumeCall:
    """A request to resume a stream.

    Attributes:
        response_id: the response id that the caller sent.
        sealed: the data that the response id holds.
        target: the engine.
        starting_after: the last sequence number that the caller received;
            ``None`` for all events.
        arrived: when the node accepted the request.
    """

    response_id: str
    sealed: SealedResponse
    target: Target
    starting_after: int | None
    arrived: datetime


class ResumeRun:
    """Runs one resumed stream.

    It does not cancel the generation if the caller disconnects again. Only the
    node that accepted the request does so, and only before the first resume.
    """

    def __init__(
        self,
        *,
        dependencies: GenerationDependencies,
        call: ResumeCall,
        buffer: ResponseBuffer,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._buffer = buffer
        starting_after = call.starting_after
        self._relay = Relay(
            seal=self._get_response_id,
            model=call.sealed.service,
            engine_id=call.sealed.engine_id,
            last_sequence_number=FIRST_SEQUENCE_NUMBER - 1
            if starting_after is None
            else starting_after,
        )
        self._writer = ResponseWriter(mode=DeliveryMode.STREAM, buffer=buffer)
        self._writer.resume(self._relay)
        services = dependencies.configuration().services
        service = services.get(call.sealed.service)
        objectives = service.objectives if service else Objectives()
        self._token_timer = TokenTimer(
            clock=dependencies.clock, objectives=objectives
        )

    async def run(self) -> None:
        """Relays the rest of the stream to the caller."""
        scope = trio.CancelScope()
        self._buffer.set_close_callback(scope.cancel)
        refusal = None
        try:
            with scope:
                refusal = await self._relay_stream()
        except CallerLeftError:
            self._buffer.close()
        self._buffer.end(refusal)
        self._record_observation(refusal)

    async def _relay_stream(self) -> Refusal | None:
        try:
            stream = await self._open_stream()
        except EngineStatusError as error:
            return _refuse_lost_response(str(error))
        except TransportError as error:
            return describe_error(error, created=True).refusal
        refusal = await self._relay_events(stream)
        if refusal is not None:
            await self._writer.fail(refusal)
        return refusal

    async def _open_stream(self) -> EventStream:
        return await self._dependencies.client.resume(
            self._call.target,
            engine_id=self._call.sealed.engine_id,
            starting_after=self._call.starting_after,
        )

    async def _relay_events(self, stream: EventStream) -> Refusal | None:
        batches = self._dependencies.generation_reader.read_batches(
            self._call.target,
            self._relay,
            stream,
            may_have_ended=self._call.starting_after is not None,
        )
        try:
            async with aclosing(batches):
                async for batch in batches:
                    self._token_timer.record(batch.tokens)
                    await self._writer.write(batch)
                    if batch.final_type == FAILED:
                        return describe_engine_failure(batch.response).refusal
        except GenerationLostError as error:
            return describe_error(error, created=True).refusal
        return None

    def _get_response_id(self, engine_id: str) -> str:
        return self._call.response_id

    def _record_observation(self, refusal: Refusal | None) -> None:
        sealed = self._call.sealed
        self._dependencies.observe(
            RequestObservation(
                request_id=sealed.request_id,
                response_id=self._call.response_id,
                organisation=sealed.organisation,
                service=sealed.service,
                configuration_version=sealed.configuration_version,
                node=self._dependencies.node,
                arrived=self._call.arrived,
                duration=self._token_timer.duration,
                ttft=self._token_timer.ttft,
                stall=self._token_timer.stall,
                longest_gap=self._token_timer.longest_gap,
                late_gaps=self._token_timer.late_gaps,
                tokens=self._token_timer.tokens,
                refusal=refusal,
                caller_left=self._buffer.closed,
                resumed=True,
            )
        )


def _refuse_lost_response(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.STREAM_LOST,
        outcome=RunOutcome.RAN,
        detail=f"the response is lost: {detail}",
    )
