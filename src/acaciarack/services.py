"""Serves calls to plain services."""

from urllib.parse import quote

import uuid6

from acaciarack.applications import ApplicationCall
from acaciarack.configuration import (
    Organisation,
    ServiceKind,
    find_route,
)
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.keys import KeyIndex
from acaciarack.limits import RequestLimiter
from acaciarack.service_runs import ServiceDependencies, ServiceRun
from acaciarack.web import (
    Endpoint,
    Reply,
    Request,
    StreamReply,
    attach_request_id,
)

_PATH_SAFE_CHARACTERS = "/:@!$&'()*+,;=-._~"


class Services:
    """Serves ``/v1/services/{service}/{path}`` for any method."""

    def __init__(
        self,
        *,
        service_dependencies: ServiceDependencies,
        keys: KeyIndex,
        in_flight: RequestLimiter,
    ) -> None:
        self._dependencies = service_dependencies
        self._keys = keys
        self._in_flight = in_flight

    def list_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints for the web application."""
        pattern = "/v1/services/{service}/{path*}"
        return [Endpoint(method="*", pattern=pattern, handler=self.call)]

    async def call(self, request: Request) -> Reply | StreamReply | Refusal:
        """Serves one call."""
        organisation = self._keys.authenticate(request.headers)
        if isinstance(organisation, Refusal):
            return organisation
        configuration = self._dependencies.configuration()
        service = configuration.services.get(request.parameters["service"])
        route = find_route(
            configuration,
            service=request.parameters["service"],
            organisation=organisation.name,
        )
        if (
            service is None
            or service.kind is not ServiceKind.PLAIN
            or route is None
        ):
            return _refuse_unknown_service(request.parameters["service"])
        call = await _build_call(request, organisation)
        refusal = self._in_flight.acquire(organisation)
        if refusal is not None:
            return refusal
        try:
            run = ServiceRun(
                service_dependencies=self._dependencies,
                service=service,
                route=route,
                call=call,
            )
            return attach_request_id(await run.run(), call.request_id)
        finally:
            self._in_flight.release(organisation.name)


async def _build_call(
    request: Request, organisation: Organisation
) -> ApplicationCall:
    path = "/" + quote(request.parameters["path"], safe=_PATH_SAFE_CHARACTERS)
    if request.query_string:
        path += f"?{request.query_string}"
    return ApplicationCall(
        request_id=uuid6.uuid7().hex,
        organisation=organisation.name,
        method=request.method,
        path=path,
        headers=request.headers,
        body=await request.read_body(),
    )


def _refuse_unknown_service(name: str) -> Refusal:
    return Refusal(
        code=RefusalCode.NOT_FOUND,
        outcome=RunOutcome.NOT_RUN,
        detail=f"no service named {name!r} is open to this organisation",
    )
