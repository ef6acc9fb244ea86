"""Goes on with a stream that began on another connection or node."""

from contextlib import aclosing
from dataclasses import dataclass
from datetime import datetime

import trio

from acaciarack.configuration import Objectives, Target
from acaciarack.delivery import AnswerWriter, Mode
from acaciarack.engines import EngineStatusError, EventStream
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.failures import describe_engine_failure, describe_error
from acaciarack.generations import GenerationParts
from acaciarack.observations import RequestObservation
from acaciarack.outbox import CallerLeftError, Outbox
from acaciarack.pace import Pace
from acaciarack.relay import FAILED, FIRST_SEQUENCE_NUMBER, Relay
from acaciarack.seals import SealedResponse
from acaciarack.streams import GenerationLostError
from acaciarack.transports import TransportError


@dataclass(frozen=True, kw_only=True)
class ResumeCall:
    """A request to go on with a stream.

    Attributes:
        response_id: the id as the caller gave it.
        sealed: what the id carries.
        target: the engine.
        starting_after: the last sequence number that the caller has; ``None``
            for all events.
        arrived: when the node accepted the request.
    """

    response_id: str
    sealed: SealedResponse
    target: Target
    starting_after: int | None
    arrived: datetime


class ResumeRun:
    """One resumed stream.

    It is never cancelled when the caller leaves again: only the node that
    accepted the request does that, and only before the first resumption.
    """

    def __init__(
        self, *, parts: GenerationParts, call: ResumeCall, outbox: Outbox
    ) -> None:
        self._parts = parts
        self._call = call
        self._outbox = outbox
        last = call.starting_after
        self._relay = Relay(
            seal=self._get_id,
            model=call.sealed.service,
            engine_id=call.sealed.engine_id,
            last=FIRST_SEQUENCE_NUMBER - 1 if last is None else last,
        )
        self._writer = AnswerWriter(mode=Mode.STREAM, outbox=outbox)
        self._writer.resume(self._relay)
        services = parts.configuration().services
        service = services.get(call.sealed.service)
        objectives = service.objectives if service else Objectives()
        self._pace = Pace(clock=parts.clock, objectives=objectives)

    async def run(self) -> None:
        """Passes on the rest of the stream."""
        scope = trio.CancelScope()
        self._outbox.notify_close(scope.cancel)
        refusal = None
        try:
            with scope:
                refusal = await self._follow()
        except CallerLeftError:
            self._outbox.close()
        self._outbox.end(refusal)
        self._observe(refusal)

    async def _follow(self) -> Refusal | None:
        try:
            stream = await self._open()
        except EngineStatusError as error:
            return _refuse_lost(str(error))
        except TransportError as error:
            return describe_error(error, created=True).refusal
        refusal = await self._pass_on(stream)
        if refusal is not None:
            await self._writer.fail(refusal)
        return refusal

    async def _open(self) -> EventStream:
        return await self._parts.client.resume(
            self._call.target,
            engine_id=self._call.sealed.engine_id,
            starting_after=self._call.starting_after,
        )

    async def _pass_on(self, stream: EventStream) -> Refusal | None:
        batches = self._parts.follower.follow(
            self._call.target,
            self._relay,
            stream,
            may_be_over=self._call.starting_after is not None,
        )
        try:
            async with aclosing(batches):
                async for batch in batches:
                    self._pace.record(batch.tokens)
                    await self._writer.write(batch)
                    if batch.ended == FAILED:
                        return describe_engine_failure(batch.response).refusal
        except GenerationLostError as error:
            return describe_error(error, created=True).refusal
        return None

    def _get_id(self, engine_id: str) -> str:
        return self._call.response_id

    def _observe(self, refusal: Refusal | None) -> None:
        sealed = self._call.sealed
        self._parts.observe(
            RequestObservation(
                request_id=sealed.request_id,
                response_id=self._call.response_id,
                organisation=sealed.organisation,
                service=sealed.service,
                configuration_version=sealed.configuration_version,
                node=self._parts.node,
                arrived=self._call.arrived,
                duration=self._pace.duration,
                ttft=self._pace.ttft,
                stall=self._pace.stall,
                longest_gap=self._pace.longest_gap,
                late_gaps=self._pace.late_gaps,
                tokens=self._pace.tokens,
                refusal=refusal,
                caller_left=self._outbox.closed,
                resumed=True,
            )
        )


def _refuse_lost(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.STREAM_LOST,
        outcome=RunOutcome.RAN,
        detail=f"the response is lost: {detail}",
    )
