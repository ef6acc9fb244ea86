"""HTTP clients that send calls to application servers."""

from dataclasses import dataclass, field
from typing import Protocol

import httpcore

from acaciarack.configuration import Target
from acaciarack.execution import StoredResponse
from acaciarack.registry import Registry
from acaciarack.resources import ResourceAccount
from acaciarack.transports import (
    MAX_CONNECTIONS,
    MAX_RESPONSE_BYTES,
    MalformedAnswerError,
    Timeouts,
    build_pool,
    build_url,
    open_response_share,
    read_response_body,
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
"""Headers that describe one connection or message; they are not forwarded."""
_RESERVED_HEADERS = frozenset(
    {"authorization", REQUEST_ID_HEADER, ORGANISATION_HEADER}
)
"""Headers that are dropped from the caller's request.

``authorization`` contains the caller's key. The node sets the others itself.
"""


@dataclass(frozen=True, kw_only=True)
class ApplicationCall:
    """One call to an application server.

    Attributes:
        request_id: sent as a header. A response with a different request ID is
            rejected.
        organisation: the caller's organisation, sent as a header.
        method: in upper case.
        path: percent-encoded, with the query.
        headers: the caller's headers, by name in lower case.
        body: the body.
    """

    request_id: str
    organisation: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class ApplicationClient(Protocol):
    """Sends calls to application servers over one protocol."""

    async def send(
        self, target: Target, call: ApplicationCall
    ) -> StoredResponse:
        """Sends a call once.

        Args:
            target: the application server.
            call: the call to send.

        Raises:
            TransportError: no valid response was received; ``NotSentError`` if
                no part of the call was sent.
        """
        ...


application_protocols: Registry[ApplicationClient] = Registry(
    kind="application protocol"
)


@application_protocols.register("http")
class HttpApplicationClient:
    """Sends calls over HTTP/1.1."""

    def __init__(
        self,
        *,
        timeouts: Timeouts | None = None,
        max_connections: int = MAX_CONNECTIONS,
        max_answer_bytes: int = MAX_RESPONSE_BYTES,
        account: ResourceAccount | None = None,
    ) -> None:
        self._account = account
        self._timeouts = timeouts or Timeouts()
        self._max_answer_bytes = max_answer_bytes
        self._pool = build_pool(max_connections=max_connections)

    async def aclose(self) -> None:
        """Closes all connections of the pool."""
        await self._pool.aclose()

    async def send(
        self, target: Target, call: ApplicationCall
    ) -> StoredResponse:
        """Sends a call once."""
        request = httpcore.Request(
            call.method,
            build_url(target.host, target.port, call.path),
            headers=_build_headers(target, call),
            content=call.body,
            extensions=self._timeouts.build_extensions(),
        )
        response = await send_request(self._pool, request)
        share = open_response_share(self._account)
        try:
            body = await read_response_body(
                response, max_bytes=self._max_answer_bytes, share=share
            )
        finally:
            if share is not None:
                share.close()
            await response.aclose()
        return _build_response(response, body, call.request_id)


def _build_headers(target: Target, call: ApplicationCall) -> dict[str, str]:
    headers = {
        name: value
        for name, value in call.headers.items()
        if name not in _CONNECTION_HEADERS | _RESERVED_HEADERS
    }
    return headers | {
        "host": f"{target.host}:{target.port}",
        "content-length": str(len(call.body)),
        REQUEST_ID_HEADER: call.request_id,
        ORGANISATION_HEADER: call.organisation,
    }


def _build_response(
    response: httpcore.Response, body: bytes, request_id: str
) -> StoredResponse:
    headers = _read_headers(response)
    response_request_id = headers.pop(REQUEST_ID_HEADER, request_id)
    if response_request_id != request_id:
        raise MalformedAnswerError("the answer is for another request")
    return StoredResponse(status=response.status, headers=headers, body=body)


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
