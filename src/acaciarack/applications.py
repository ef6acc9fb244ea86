"""Clients of application servers: one HTTP call and its answer."""

from dataclasses import dataclass, field
from typing import Protocol

import httpcore

from acaciarack.configuration import Target
from acaciarack.execution import StoredAnswer
from acaciarack.registry import Registry
from acaciarack.transports import (
    MAX_ANSWER_BYTES,
    MAX_CONNECTIONS,
    MalformedAnswerError,
    Timeouts,
    build_pool,
    build_single_pool,
    build_url,
    read_answer,
    send_request,
)

REQUEST_ID_HEADER = "acaciarack-request-id"
ORGANISATION_HEADER = "acaciarack-organisation"
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_HEADERS = frozenset(
    {"authorization", REQUEST_ID_HEADER, ORGANISATION_HEADER}
)


@dataclass(frozen=True, kw_only=True)
class ApplicationCall:
    """One call to an application server.

    Attributes:
        request_id: sent along; an answer that names another is not accepted.
        organisation: the caller's organisation, sent along.
        method: in upper case.
        path: encoded, with the query.
        headers: the caller's; names in lower case.
        body: the body.
    """

    request_id: str
    organisation: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class ApplicationClient(Protocol):
    """Speaks one protocol with application servers."""

    async def send(
        self, target: Target, call: ApplicationCall, *, fresh: bool
    ) -> StoredAnswer:
        """Sends a call once.

        Args:
            target: the application server.
            call: what to send.
            fresh: whether to open a connection for it alone.

        Raises:
            TransportError: there is no answer; ``NotSentError`` if nothing
                of the call was sent.
        """
        ...


application_protocols: Registry[ApplicationClient] = Registry(
    kind="application protocol"
)


@application_protocols.register("http")
class HttpApplicationClient:
    """Calls over HTTP/1.1."""

    def __init__(
        self,
        *,
        timeouts: Timeouts | None = None,
        max_connections: int = MAX_CONNECTIONS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._timeouts = timeouts or Timeouts()
        self._max_answer_bytes = max_answer_bytes
        self._pool = build_pool(max_connections=max_connections)

    async def aclose(self) -> None:
        """Closes idle connections."""
        await self._pool.aclose()

    async def send(
        self, target: Target, call: ApplicationCall, *, fresh: bool
    ) -> StoredAnswer:
        """Sends a call once."""
        if not fresh:
            return await self._send(self._pool, target, call)
        async with build_single_pool() as pool:
            return await self._send(pool, target, call)

    async def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        target: Target,
        call: ApplicationCall,
    ) -> StoredAnswer:
        request = httpcore.Request(
            call.method,
            build_url(target.host, target.port, call.path),
            headers=_build_headers(target, call),
            content=call.body,
            extensions=self._timeouts.build_extensions(),
        )
        response = await send_request(pool, request)
        try:
            body = await read_answer(response, max_bytes=self._max_answer_bytes)
        finally:
            await response.aclose()
        return _build_answer(response, body, call.request_id)


def _build_headers(target: Target, call: ApplicationCall) -> dict[str, str]:
    headers = {
        name: value
        for name, value in call.headers.items()
        if name not in _CONNECTION_HEADERS | _OWN_HEADERS
    }
    return headers | {
        "host": f"{target.host}:{target.port}",
        "content-length": str(len(call.body)),
        REQUEST_ID_HEADER: call.request_id,
        ORGANISATION_HEADER: call.organisation,
    }


def _build_answer(
    response: httpcore.Response, body: bytes, request_id: str
) -> StoredAnswer:
    headers = _read_headers(response)
    found = headers.pop(REQUEST_ID_HEADER, request_id)
    if found != request_id:
        raise MalformedAnswerError("the answer is for another request")
    return StoredAnswer(status=response.status, headers=headers, body=body)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in _CONNECTION_HEADERS
    }
