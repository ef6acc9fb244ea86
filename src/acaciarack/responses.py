"""Serves the Responses protocol to callers."""

from collections.abc import Awaitable, Callable
from datetime import datetime
from typing import Any

import logbook
import msgspec
import trio
import uuid6

from acaciarack.calls import ResponseCall, parse_call, refuse_invalid
from acaciarack.configuration import (
    Configuration,
    Organisation,
    Service,
    ServiceKind,
    Target,
    find_model_choice,
    find_route,
)
from acaciarack.delivery import DeliveryMode, choose_delivery_mode
from acaciarack.engines import EngineStatusError
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.failures import RETRY_AFTER, describe_error
from acaciarack.generations import GenerationCall, GenerationDependencies
from acaciarack.keys import KeyIndex
from acaciarack.limits import RequestLimiter
from acaciarack.problems import add_jitter
from acaciarack.relay import rewrite_response
from acaciarack.replies import build_response
from acaciarack.response_buffer import MAX_BUFFERED_BYTES, ResponseBuffer
from acaciarack.resumes import ResumeCall, ResumeRun
from acaciarack.runs import GenerationRun
from acaciarack.seals import SealedResponse
from acaciarack.transports import TransportError
from acaciarack.web import (
    Endpoint,
    Reply,
    Request,
    StreamReply,
    attach_request_id,
    build_json_reply,
    refuse_internal,
)

_log = logbook.Logger("acaciarack.responses")

MAX_SEQUENCE_DIGITS = 12


class ResponsesHandler:
    """Serves ``/v1/responses``; generations run as tasks of ``run``."""

    def __init__(
        self,
        *,
        dependencies: GenerationDependencies,
        keys: KeyIndex,
        in_flight: RequestLimiter,
        buffer_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self._dependencies = dependencies
        self._buffer_bytes = buffer_bytes
        self._keys = keys
        self._tasks: trio.Nursery | None = None
        self._in_flight = in_flight

    def list_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints for the web application."""
        path = "/v1/responses"
        return [
            Endpoint(method="POST", pattern=path, handler=self.create),
            Endpoint(
                method="GET", pattern=f"{path}/{{id}}", handler=self.retrieve
            ),
            Endpoint(
                method="POST",
                pattern=f"{path}/{{id}}/cancel",
                handler=self.cancel,
            ),
        ]

    async def run(self) -> None:
        """Runs generations and resumed streams until cancelled."""
        async with trio.open_nursery() as tasks:
            self._tasks = tasks
            try:
                await trio.sleep_forever()
            finally:
                self._tasks = None

    async def create(self, request: Request) -> Reply | StreamReply | Refusal:
        """Serves ``POST /v1/responses``."""
        organisation = self._keys.authenticate(request.headers)
        if isinstance(organisation, Refusal):
            return organisation
        arrived = self._dependencies.clock.now()
        call = parse_call(await request.read_body())
        if isinstance(call, Refusal):
            return call
        generation_call = self._resolve_call(organisation, call, arrived)
        if isinstance(generation_call, Refusal):
            return generation_call
        buffer = ResponseBuffer(max_bytes=self._buffer_bytes)
        run = GenerationRun(
            dependencies=self._dependencies, call=generation_call, buffer=buffer
        )
        refusal = self._start_run(organisation, buffer, run.run)
        if refusal is not None:
            return refusal
        response = await build_response(request, buffer, generation_call.mode)
        return attach_request_id(response, generation_call.request_id)

    async def retrieve(self, request: Request) -> Reply | StreamReply | Refusal:
        """Serves ``GET /v1/responses/{id}``, as one object or as a stream."""
        found = self._find_response(request)
        if isinstance(found, Refusal):
            return found
        organisation, sealed, target = found
        await self._dependencies.resume_tracker.announce(
            node=sealed.node, request_id=sealed.request_id
        )
        if request.query.get("stream", "false") != "true":
            return await self._fetch_response(request, sealed, target)
        starting_after = _parse_sequence_number(
            request.query.get("starting_after")
        )
        if isinstance(starting_after, Refusal):
            return starting_after
        buffer = ResponseBuffer(max_bytes=self._buffer_bytes)
        run = ResumeRun(
            dependencies=self._dependencies,
            call=ResumeCall(
                response_id=request.parameters["id"],
                sealed=sealed,
                target=target,
                starting_after=starting_after,
                arrived=self._dependencies.clock.now(),
            ),
            buffer=buffer,
        )
        refusal = self._start_run(organisation, buffer, run.run)
        if refusal is not None:
            return refusal
        return await build_response(request, buffer, DeliveryMode.STREAM)

    async def cancel(self, request: Request) -> Reply | Refusal:
        """Serves ``POST /v1/responses/{id}/cancel``."""
        found = self._find_response(request)
        if isinstance(found, Refusal):
            return found
        _, sealed, target = found
        return await self._fetch_response(request, sealed, target, cancel=True)

    def _resolve_call(
        self, organisation: Organisation, call: ResponseCall, arrived: datetime
    ) -> GenerationCall | Refusal:
        configuration = self._dependencies.configuration()
        service = configuration.services.get(call.service)
        if service is None or service.kind is not ServiceKind.GENERATION:
            return _refuse_unknown_service(call.service)
        limit = call.max_output_tokens or service.max_output_tokens
        if limit > service.max_output_tokens:
            return refuse_invalid(
                f"max_output_tokens is {limit}; {service.name} allows"
                f" {service.max_output_tokens}"
            )
        return self._build_call(
            configuration, organisation, call, service, limit, arrived
        )

    def _build_call(
        self,
        configuration: Configuration,
        organisation: Organisation,
        call: ResponseCall,
        service: Service,
        limit: int,
        arrived: datetime,
    ) -> GenerationCall | Refusal:
        names = {"service": service.name, "organisation": organisation.name}
        route = find_route(configuration, **names)
        choice = find_model_choice(configuration, **names)
        if route is None or choice is None:
            return _refuse_unknown_service(call.service)
        return GenerationCall(
            request_id=uuid6.uuid7().hex,
            organisation=organisation.name,
            service=service,
            route=route,
            choice=choice,
            configuration_version=configuration.version,
            body=call.body,
            prompt_tokens=call.prompt_tokens,
            prefix_hashes=call.prefix_hashes,
            max_output_tokens=limit,
            mode=choose_delivery_mode(service.delivery, streamed=call.streamed),
            arrived=arrived,
        )

    def _start_run(
        self,
        organisation: Organisation,
        buffer: ResponseBuffer,
        run: Callable[[], Awaitable[None]],
    ) -> Refusal | None:
        if self._tasks is None:
            return _refuse(RefusalCode.NOT_READY, "the node is not ready yet")
        refusal = self._in_flight.acquire(organisation)
        if refusal is not None:
            return refusal
        self._tasks.start_soon(
            self._run_guarded, organisation.name, buffer, run
        )
        return None

    async def _run_guarded(
        self,
        organisation: str,
        buffer: ResponseBuffer,
        run: Callable[[], Awaitable[None]],
    ) -> None:
        """Runs one request; its errors do not affect other requests."""
        try:
            await run()
        except Exception:
            _log.exception("a request of organisation {} failed", organisation)
            buffer.end(refuse_internal())
        finally:
            self._in_flight.release(organisation)

    def _find_response(
        self, request: Request
    ) -> tuple[Organisation, SealedResponse, Target] | Refusal:
        organisation = self._keys.authenticate(request.headers)
        if isinstance(organisation, Refusal):
            return organisation
        sealed = self._dependencies.sealer.unseal(
            request.parameters["id"], organisation=organisation.name
        )
        if sealed is None:
            return Refusal(
                code=RefusalCode.NOT_FOUND,
                outcome=RunOutcome.NOT_RUN,
                detail="no response has this id",
            )
        target = self._dependencies.configuration().targets.get(sealed.target)
        if target is None:
            return _refuse_lost_response("its engine is no longer configured")
        return organisation, sealed, target

    async def _fetch_response(
        self,
        request: Request,
        sealed: SealedResponse,
        target: Target,
        *,
        cancel: bool = False,
    ) -> Reply | Refusal:
        client = self._dependencies.client
        fetch = client.cancel if cancel else client.retrieve
        try:
            data = await fetch(target, engine_id=sealed.engine_id)
            response = msgspec.json.decode(data, type=dict[str, Any])
        except EngineStatusError as error:
            return _refuse_lost_response(str(error))
        except TransportError as error:
            return describe_error(error, created=True).refusal
        except msgspec.DecodeError as error:
            return _refuse_lost_response(
                f"the engine's answer is malformed: {error}"
            )
        if response.get("id") != sealed.engine_id:
            return _refuse_lost_response(
                "the engine answered for another response"
            )
        rewrite_response(
            response,
            response_id=request.parameters["id"],
            model=sealed.service,
        )
        return build_json_reply(response)


def _parse_sequence_number(text: str | None) -> int | Refusal | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        return refuse_invalid(f"starting_after is {text!r}, not a number")
    if len(text) > MAX_SEQUENCE_DIGITS:
        return refuse_invalid("starting_after is too large")
    return int(text)


def _refuse_unknown_service(name: str) -> Refusal:
    return Refusal(
        code=RefusalCode.NOT_FOUND,
        outcome=RunOutcome.NOT_RUN,
        detail=f"no service named {name!r} is open to this organisation",
    )


def _refuse_lost_response(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.STREAM_LOST,
        outcome=RunOutcome.RAN,
        detail=f"the response is lost: {detail}",
    )


def _refuse(code: RefusalCode, detail: str) -> Refusal:
    return Refusal(
        code=code,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
        retry_after=add_jitter(RETRY_AFTER),
    )
