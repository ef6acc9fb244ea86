"""Follows one generation across the connections to its engine."""

from collections.abc import AsyncGenerator
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import tenacity
import trio

from acaciarack.configuration import Target
from acaciarack.engines import (
    EngineClient,
    EngineStatusError,
    EventStream,
    ServerEvent,
)
from acaciarack.errors import AcaciarackError
from acaciarack.relay import Batch, Relay, RelayError
from acaciarack.transports import (
    ConnectionLostError,
    MalformedAnswerError,
    TransportError,
)

_FINISH_TIMEOUT = timedelta(milliseconds=100)
_GONE = (404, 410)
_ENDED = frozenset({"completed", "failed", "incomplete", "cancelled"})


class ConnectionEndedError(ConnectionLostError):
    """The engine ended a connection before the final event."""


class _Status(msgspec.Struct):
    status: str = ""


class GenerationLostError(AcaciarackError):
    """The engine does not go on with the generation."""


@dataclass(frozen=True, kw_only=True)
class ReconnectLimits:
    """How long a generation is followed without a new event.

    Attributes:
        attempts: connections tried in a row, each refused or broken.
        empty: connections opened in a row that brought no event.
        faulty: connections in a row with an event that may not be passed on.
        first_wait: the wait before the second try; doubled each time.
        longest_wait: the longest wait between tries.
        stall: the longest time without an event.
    """

    attempts: int = 4
    empty: int = 20
    faulty: int = 3
    first_wait: timedelta = timedelta(milliseconds=50)
    longest_wait: timedelta = timedelta(seconds=1)
    stall: timedelta = timedelta(seconds=60)


class Follower:
    """Reads a generation's events to their end, reconnecting as needed."""

    def __init__(
        self, *, client: EngineClient, limits: ReconnectLimits | None = None
    ) -> None:
        self._client = client
        self._limits = limits or ReconnectLimits()

    async def follow(
        self,
        target: Target,
        relay: Relay,
        stream: EventStream,
        *,
        may_be_over: bool = False,
    ) -> AsyncGenerator[Batch, None]:
        """Yields checked batches up to the final event.

        A connection that breaks, is silent or brings an event that may not
        be passed on is given up for a new one that starts after the last
        event passed on.

        Args:
            target: the engine.
            relay: checks the events.
            stream: the first connection.
            may_be_over: whether the final event may already have been passed
                on, so that a first connection without events can be the end.

        Raises:
            GenerationLostError: the engine does not go on with it.
        """
        errors: list[AcaciarackError] = []
        newest = trio.current_time()
        try:
            while True:
                try:
                    batch = relay.check(await _receive(stream))
                except (TransportError, RelayError) as error:
                    ended = isinstance(error, ConnectionEndedError)
                    if (
                        may_be_over
                        and ended
                        and await self._is_over(target, relay)
                    ):
                        return
                    errors.append(error)
                    self._check_limits(errors, newest)
                    await stream.aclose()
                    stream = await self._reconnect(target, relay, error)
                    continue
                errors.clear()
                may_be_over = False
                newest = trio.current_time()
                yield batch
                if batch.ended:
                    await _finish(stream)
                    return
        finally:
            await stream.aclose()

    def _check_limits(
        self, errors: list[AcaciarackError], newest: float
    ) -> None:
        quiet = trio.current_time() - newest
        faulty = [error for error in errors if isinstance(error, RelayError)]
        if (
            len(errors) > self._limits.empty
            or len(faulty) > self._limits.faulty
            or quiet > self._limits.stall.total_seconds()
        ):
            raise GenerationLostError(
                f"{len(errors)} connections in {quiet:.1f} s without a new"
                f" event; the last: {errors[-1]}"
            ) from errors[-1]

    async def _is_over(self, target: Target, relay: Relay) -> bool:
        try:
            data = await self._client.retrieve(
                target, engine_id=relay.engine_id
            )
            return msgspec.json.decode(data, type=_Status).status in _ENDED
        except (TransportError, msgspec.DecodeError):
            return False

    async def _reconnect(
        self, target: Target, relay: Relay, cause: AcaciarackError
    ) -> EventStream:
        if not relay.engine_id:
            raise GenerationLostError(
                f"lost before the engine named it: {cause}"
            ) from cause
        try:
            async for attempt in self._retry():
                with attempt:
                    return await self._client.resume(
                        target,
                        engine_id=relay.engine_id,
                        starting_after=relay.last if relay.last >= 0 else None,
                    )
        except TransportError as error:
            raise GenerationLostError(
                f"it cannot be resumed: {error}"
            ) from error
        raise GenerationLostError("it cannot be resumed")

    def _retry(self) -> tenacity.AsyncRetrying:
        return tenacity.AsyncRetrying(
            sleep=trio.sleep,
            stop=tenacity.stop_after_attempt(self._limits.attempts),
            wait=tenacity.wait_exponential(
                multiplier=self._limits.first_wait.total_seconds(),
                max=self._limits.longest_wait.total_seconds(),
            ),
            retry=tenacity.retry_if_exception(_may_reconnect),
            reraise=True,
        )


def _may_reconnect(error: BaseException) -> bool:
    if isinstance(error, EngineStatusError):
        return error.status not in _GONE
    return isinstance(error, TransportError) and not isinstance(
        error, MalformedAnswerError
    )


async def _finish(stream: EventStream) -> None:
    """Reads the end of the body, so that the connection can be kept."""
    with (
        trio.move_on_after(_FINISH_TIMEOUT.total_seconds()),
        suppress(TransportError),
    ):
        await stream.receive()


async def _receive(stream: EventStream) -> tuple[ServerEvent, ...]:
    events = await stream.receive()
    if not events:
        raise ConnectionEndedError("the engine ended the connection early")
    return events
