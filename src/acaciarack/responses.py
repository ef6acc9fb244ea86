"""The Responses protocol for callers."""

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
    find_choice,
    find_route,
)
from acaciarack.delivery import Mode, choose_mode
from acaciarack.engines import EngineStatusError
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.failures import RETRY_AFTER, describe_error
from acaciarack.generations import GenerationCall, GenerationParts
from acaciarack.keys import KeyIndex
from acaciarack.limits import InFlight
from acaciarack.outbox import MAX_WAITING_BYTES, Outbox
from acaciarack.problems import spread_delay
from acaciarack.relay import rewrite_response
from acaciarack.replies import build_answer
from acaciarack.resumes import ResumeCall, ResumeRun
from acaciarack.runs import GenerationRun
from acaciarack.seals import SealedResponse
from acaciarack.transports import TransportError
from acaciarack.web import (
    Endpoint,
    Reply,
    Request,
    StreamReply,
    build_json_reply,
    identify_refusal,
    refuse_internal,
)

_log = logbook.Logger("acaciarack.responses")

MAX_SEQUENCE_DIGITS = 12


class Responses:
    """Serves ``/v1/responses``; ``run`` hosts the generations."""

    def __init__(
        self,
        *,
        parts: GenerationParts,
        keys: KeyIndex,
        in_flight: InFlight,
        buffer_bytes: int = MAX_WAITING_BYTES,
    ) -> None:
        self._parts = parts
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
        """Runs the generations until cancelled."""
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
        arrived = self._parts.clock.now()
        call = parse_call(await request.read_body())
        if isinstance(call, Refusal):
            return call
        generation = self._prepare(organisation, call, arrived)
        if isinstance(generation, Refusal):
            return generation
        outbox = Outbox(max_bytes=self._buffer_bytes)
        run = GenerationRun(parts=self._parts, call=generation, outbox=outbox)
        refusal = self._start(organisation, outbox, run.run)
        if refusal is not None:
            return refusal
        answer = await build_answer(request, outbox, generation.mode)
        return identify_refusal(answer, generation.request_id)

    async def retrieve(self, request: Request) -> Reply | StreamReply | Refusal:
        """Serves ``GET /v1/responses/{id}``, whole or streamed."""
        found = self._find_response(request)
        if isinstance(found, Refusal):
            return found
        organisation, sealed, target = found
        await self._parts.departures.announce(
            node=sealed.node, request_id=sealed.request_id
        )
        if request.query.get("stream", "false") != "true":
            return await self._fetch(request, sealed, target)
        starting_after = _parse_number(request.query.get("starting_after"))
        if isinstance(starting_after, Refusal):
            return starting_after
        outbox = Outbox(max_bytes=self._buffer_bytes)
        run = ResumeRun(
            parts=self._parts,
            call=ResumeCall(
                response_id=request.parameters["id"],
                sealed=sealed,
                target=target,
                starting_after=starting_after,
                arrived=self._parts.clock.now(),
            ),
            outbox=outbox,
        )
        refusal = self._start(organisation, outbox, run.run)
        if refusal is not None:
            return refusal
        return await build_answer(request, outbox, Mode.STREAM)

    async def cancel(self, request: Request) -> Reply | Refusal:
        """Serves ``POST /v1/responses/{id}/cancel``."""
        found = self._find_response(request)
        if isinstance(found, Refusal):
            return found
        _, sealed, target = found
        return await self._fetch(request, sealed, target, cancel=True)

    def _prepare(
        self, organisation: Organisation, call: ResponseCall, arrived: datetime
    ) -> GenerationCall | Refusal:
        configuration = self._parts.configuration()
        service = configuration.services.get(call.service)
        if service is None or service.kind is not ServiceKind.GENERATION:
            return _refuse_service(call.service)
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
        choice = find_choice(configuration, **names)
        if route is None or choice is None:
            return _refuse_service(call.service)
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
            mode=choose_mode(service.delivery, streamed=call.streamed),
            arrived=arrived,
        )

    def _start(
        self,
        organisation: Organisation,
        outbox: Outbox,
        run: Callable[[], Awaitable[None]],
    ) -> Refusal | None:
        if self._tasks is None:
            return _refuse(RefusalCode.NOT_READY, "the node is not ready yet")
        refusal = self._in_flight.acquire(organisation)
        if refusal is not None:
            return refusal
        self._tasks.start_soon(self._host, organisation.name, outbox, run)
        return None

    async def _host(
        self,
        organisation: str,
        outbox: Outbox,
        run: Callable[[], Awaitable[None]],
    ) -> None:
        """Runs one request; a fault in it does not touch the others."""
        try:
            await run()
        except Exception:
            _log.exception("a request of {} failed", organisation)
            outbox.end(refuse_internal())
        finally:
            self._in_flight.release(organisation)

    def _find_response(
        self, request: Request
    ) -> tuple[Organisation, SealedResponse, Target] | Refusal:
        organisation = self._keys.authenticate(request.headers)
        if isinstance(organisation, Refusal):
            return organisation
        sealed = self._parts.sealer.unseal(
            request.parameters["id"], organisation=organisation.name
        )
        if sealed is None:
            return Refusal(
                code=RefusalCode.NOT_FOUND,
                outcome=RunOutcome.NOT_RUN,
                detail="no response has this id",
            )
        target = self._parts.configuration().targets.get(sealed.target)
        if target is None:
            return _refuse_lost("its engine is no longer configured")
        return organisation, sealed, target

    async def _fetch(
        self,
        request: Request,
        sealed: SealedResponse,
        target: Target,
        *,
        cancel: bool = False,
    ) -> Reply | Refusal:
        client = self._parts.client
        fetch = client.cancel if cancel else client.retrieve
        try:
            data = await fetch(target, engine_id=sealed.engine_id)
            response = msgspec.json.decode(data, type=dict[str, Any])
        except EngineStatusError as error:
            return _refuse_lost(str(error))
        except TransportError as error:
            return describe_error(error, created=True).refusal
        except msgspec.DecodeError as error:
            return _refuse_lost(f"the engine's answer is malformed: {error}")
        if response.get("id") != sealed.engine_id:
            return _refuse_lost("the engine answered for another response")
        rewrite_response(
            response,
            response_id=request.parameters["id"],
            model=sealed.service,
        )
        return build_json_reply(response)


def _parse_number(text: str | None) -> int | Refusal | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        return refuse_invalid(f"starting_after is {text!r}, not a number")
    if len(text) > MAX_SEQUENCE_DIGITS:
        return refuse_invalid("starting_after is too large")
    return int(text)


def _refuse_service(name: str) -> Refusal:
    return Refusal(
        code=RefusalCode.NOT_FOUND,
        outcome=RunOutcome.NOT_RUN,
        detail=f"no service named {name!r} is open to this organisation",
    )


def _refuse_lost(detail: str) -> Refusal:
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
        retry_after=spread_delay(RETRY_AFTER),
    )
