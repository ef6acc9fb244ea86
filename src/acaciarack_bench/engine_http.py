"""The HTTP interface of the engine stand-in, with the Responses protocol."""

from collections.abc import AsyncIterator
from typing import Any

import msgspec
import trio

from acaciarack.errors import Refusal
from acaciarack.loads import LoadReport
from acaciarack.web import (
    App,
    Endpoint,
    Reply,
    Request,
    StreamReply,
    build_json_reply,
)
from acaciarack_bench.connections import ConnectionGroup, EngineFault
from acaciarack_bench.engine import HEARTBEAT_SECONDS, Engine
from acaciarack_bench.engine_records import OrderBody
from acaciarack_bench.model import EngineModelError
from acaciarack_bench.reports import (
    EVENT_STREAM_HEADERS,
    build_load_reply,
    encode_event,
    refuse_invalid,
)
from acaciarack_bench.responses import AnswerRequest, Response

_HEARTBEAT = b": heartbeat\n\n"


class _Control(msgspec.Struct, frozen=True, kw_only=True):
    fault: EngineFault


def build_engine_app(engine: Engine) -> App:
    """Builds the ASGI application with the engine and control endpoints."""
    service = _EngineEndpoints(engine=engine)
    routes = (
        ("POST", "/v1/responses", service.create),
        ("GET", "/v1/responses/{id}", service.retrieve),
        ("POST", "/v1/responses/{id}/cancel", service.cancel),
        ("GET", "/v1/load", service.stream_load),
        ("GET", "/v1/cache-events", service.stream_cache_events),
        ("POST", "/v1/orders", service.order),
        ("GET", "/v1/orders", service.list_orders),
        ("GET", "/v1/generations", service.list_generations),
        ("POST", "/control", service.control),
    )
    return App(
        endpoints=[
            Endpoint(method=method, pattern=pattern, handler=handler)
            for method, pattern, handler in routes
        ]
    )


class _EngineEndpoints:
    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine

    async def create(self, request: Request) -> Reply | StreamReply | Refusal:
        self._engine.check_alive()
        body = await request.read_body()
        try:
            message = msgspec.json.decode(body, type=AnswerRequest)
        except msgspec.DecodeError as error:
            return _build_error(400, str(error))
        if self._engine.is_leaving():
            return _build_error(503, f"{self._engine.name} is leaving")
        try:
            response = self._engine.start(message)
        except (EngineModelError, ValueError) as error:
            return _build_error(400, str(error))
        if message.stream:
            return self._build_stream(response, after=-1)
        await self._wait_for_end(response)
        return build_json_reply(response.build_response())

    async def retrieve(self, request: Request) -> Reply | StreamReply:
        self._engine.check_alive()
        response = self._engine.find_response(request.parameters["id"])
        if response is None:
            return _build_error(404, "no such response")
        if request.query.get("stream", "").lower() != "true":
            return build_json_reply(response.build_response())
        try:
            after = int(request.query.get("starting_after", "-1"))
        except ValueError as error:
            return _build_error(400, f"starting_after: {error}")
        return self._build_stream(response, after=after)

    async def cancel(self, request: Request) -> Reply:
        self._engine.check_alive()
        response = self._engine.find_response(request.parameters["id"])
        if response is None:
            return _build_error(404, "no such response")
        self._engine.cancel(response)
        return build_json_reply(response.build_response())

    def _build_stream(self, response: Response, *, after: int) -> StreamReply:
        chunks = _stream_response(response, self._engine.connections, after + 1)
        return StreamReply(headers=EVENT_STREAM_HEADERS, chunks=chunks)

    async def _wait_for_end(self, response: Response) -> None:
        connections = self._engine.connections
        while not response.is_ended():
            await response.changed.wait()
            await connections.apply_fault()

    async def stream_load(self, request: Request) -> StreamReply:
        self._engine.check_alive()
        reports = self._engine.iter_load_reports()
        return build_load_reply(self._forward_reports(reports))

    async def _forward_reports(
        self, reports: AsyncIterator[LoadReport]
    ) -> AsyncIterator[LoadReport]:
        connections = self._engine.connections
        async for report in reports:
            await connections.apply_fault()
            yield report

    async def stream_cache_events(
        self, request: Request
    ) -> StreamReply | Reply:
        self._engine.check_alive()
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as error:
            return _build_error(400, f"after: {error}")
        return StreamReply(
            headers=EVENT_STREAM_HEADERS,
            chunks=self._forward_cache_events(after),
        )

    async def _forward_cache_events(self, after: int) -> AsyncIterator[bytes]:
        connections = self._engine.connections
        yield _HEARTBEAT
        async for event in self._engine.iter_cache_events(after):
            await connections.apply_fault()
            yield _HEARTBEAT if event is None else encode_event("cache", event)

    async def order(self, request: Request) -> Reply | Refusal:
        self._engine.check_alive()
        try:
            order = msgspec.json.decode(
                await request.read_body(), type=OrderBody
            )
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        obeyed = self._engine.handle_order(order)
        return build_json_reply(
            {"fencing": self._engine.fencing}, status=200 if obeyed else 409
        )

    async def list_orders(self, request: Request) -> Reply:
        return build_json_reply(self._engine.orders)

    async def list_generations(self, request: Request) -> Reply:
        return build_json_reply(self._engine.generations)

    async def control(self, request: Request) -> Reply | Refusal:
        try:
            message = msgspec.json.decode(
                await request.read_body(), type=_Control
            )
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        self._engine.inject_fault(message.fault)
        return build_json_reply({})


async def _stream_response(
    response: Response, connections: ConnectionGroup, position: int
) -> AsyncIterator[bytes]:
    """Yields the events from a sequence number on.

    Each chunk contains all events that are available at that time, or a
    heartbeat if no event came for ``HEARTBEAT_SECONDS``.
    """
    while True:
        await connections.apply_fault()
        end = response.count_events()
        if position < end:
            yield b"".join(response.encode(n) for n in range(position, end))
            position = end
            continue
        if response.is_ended():
            return
        with trio.move_on_after(HEARTBEAT_SECONDS) as scope:
            await response.changed.wait()
        if scope.cancelled_caught:
            yield _HEARTBEAT


def _build_error(status: int, message: str) -> Reply:
    error: dict[str, Any] = {"message": message, "type": "engine", "code": None}
    return build_json_reply({"error": error}, status=status)
