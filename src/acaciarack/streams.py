"""Reads the stream of one generation and reconnects when needed."""

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

_DRAIN_TIMEOUT = timedelta(milliseconds=100)
_GONE_STATUSES = (404, 410)
_TERMINAL_STATUSES = frozenset(
    {"completed", "failed", "incomplete", "cancelled"}
)


class ConnectionEndedError(ConnectionLostError):
    """The engine ended a connection before the final event."""


class _Status(msgspec.Struct):
    status: str = ""


class GenerationLostError(AcaciarackError):
    """The stream of the generation cannot be continued."""


@dataclass(frozen=True, kw_only=True)
class ReconnectLimits:
    """The limits for reconnecting to a generation.

    Each batch of valid events resets the counts of connections.

    Attributes:
        connect_attempts: the number of attempts to open one connection.
        max_connections_without_event: the largest number of consecutive
            connections that end without a new valid event.
        max_invalid_connections: the largest number of these connections that
            end with an invalid event.
        initial_backoff: the wait before the second attempt to connect. It
            doubles with each further attempt.
        max_backoff: the longest wait between two attempts.
        stall_timeout: the longest time without a valid event. It is checked
            each time a connection fails.
    """

    connect_attempts: int = 4
    max_connections_without_event: int = 20
    max_invalid_connections: int = 3
    initial_backoff: timedelta = timedelta(milliseconds=50)
    max_backoff: timedelta = timedelta(seconds=1)
    stall_timeout: timedelta = timedelta(seconds=60)


class GenerationReader:
    """Reads the events of a generation up to the final event."""

    def __init__(
        self, *, client: EngineClient, limits: ReconnectLimits | None = None
    ) -> None:
        self._client = client
        self._limits = limits or ReconnectLimits()

    async def read_batches(
        self,
        target: Target,
        relay: Relay,
        stream: EventStream,
        *,
        may_have_ended: bool = False,
    ) -> AsyncGenerator[Batch, None]:
        """Yields validated batches up to the final event.

        If a connection breaks, times out or sends an invalid event, the
        reader closes it and opens a new one. The new stream starts after the
        last valid event.

        Args:
            target: the engine.
            relay: validates the events.
            stream: the first connection.
            may_have_ended: whether the caller may already have the final
                event. A connection that ends without an event then ends the
                stream, if the engine reports that the generation ended.

        Raises:
            GenerationLostError: the stream cannot be continued.
        """
        errors: list[AcaciarackError] = []
        last_event_time = trio.current_time()
        try:
            while True:
                try:
                    batch = relay.process(await _receive(stream))
                except (TransportError, RelayError) as error:
                    connection_ended = isinstance(error, ConnectionEndedError)
                    if (
                        may_have_ended
                        and connection_ended
                        and await self._has_ended(target, relay)
                    ):
                        return
                    errors.append(error)
                    self._check_limits(errors, last_event_time)
                    await stream.aclose()
                    stream = await self._reconnect(target, relay, error)
                    continue
                errors.clear()
                may_have_ended = False
                last_event_time = trio.current_time()
                yield batch
                if batch.final_type:
                    await _drain_body(stream)
                    return
        finally:
            await stream.aclose()

    def _check_limits(
        self, errors: list[AcaciarackError], last_event_time: float
    ) -> None:
        idle_seconds = trio.current_time() - last_event_time
        invalid = [error for error in errors if isinstance(error, RelayError)]
        if (
            len(errors) > self._limits.max_connections_without_event
            or len(invalid) > self._limits.max_invalid_connections
            or idle_seconds > self._limits.stall_timeout.total_seconds()
        ):
            raise GenerationLostError(
                f"{len(errors)} connections in {idle_seconds:.1f} s without a"
                f" new event; the last: {errors[-1]}"
            ) from errors[-1]

    async def _has_ended(self, target: Target, relay: Relay) -> bool:
        try:
            data = await self._client.retrieve(
                target, engine_id=relay.engine_id
            )
            return (
                msgspec.json.decode(data, type=_Status).status
                in _TERMINAL_STATUSES
            )
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
            async for attempt in self._build_retrying():
                with attempt:
                    return await self._client.resume(
                        target,
                        engine_id=relay.engine_id,
                        starting_after=relay.last_sequence_number
                        if relay.last_sequence_number >= 0
                        else None,
                    )
        except TransportError as error:
            raise GenerationLostError(
                f"it cannot be resumed: {error}"
            ) from error
        raise GenerationLostError("it cannot be resumed")

    def _build_retrying(self) -> tenacity.AsyncRetrying:
        return tenacity.AsyncRetrying(
            sleep=trio.sleep,
            stop=tenacity.stop_after_attempt(self._limits.connect_attempts),
            wait=tenacity.wait_exponential(
                multiplier=self._limits.initial_backoff.total_seconds(),
                max=self._limits.max_backoff.total_seconds(),
            ),
            retry=tenacity.retry_if_exception(_is_retryable),
            reraise=True,
        )


def _is_retryable(error: BaseException) -> bool:
    if isinstance(error, EngineStatusError):
        return error.status not in _GONE_STATUSES
    return isinstance(error, TransportError) and not isinstance(
        error, MalformedAnswerError
    )


async def _drain_body(stream: EventStream) -> None:
    """Reads the end of the body, so that the connection can be reused."""
    with (
        trio.move_on_after(_DRAIN_TIMEOUT.total_seconds()),
        suppress(TransportError),
    ):
        await stream.receive()


async def _receive(stream: EventStream) -> tuple[ServerEvent, ...]:
    events = await stream.receive()
    if not events:
        raise ConnectionEndedError("the engine ended the connection early")
    return events
