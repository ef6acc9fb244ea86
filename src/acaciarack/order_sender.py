"""Sends orders to targets by HTTP."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import httpcore
import msgspec
import trio

from acaciarack.configuration import Target
from acaciarack.desks import OrderRequest
from acaciarack.leases import ORDER_LIFETIME
from acaciarack.transports import (
    NotSentError,
    Timeouts,
    TransportError,
    build_single_pool,
    build_url,
    send_request,
)

_ORDERS_PATH = "/v1/orders"
_OLD_FENCING = 409


class SendOutcome(enum.StrEnum):
    """What became of sending an order.

    Attributes:
        OBEYED: the target obeyed.
        REFUSED: the target refused the order itself.
        FENCED: the target has seen a higher fencing number.
        NOT_SENT: nothing reached the target.
        UNCERTAIN: the target may have got it.
    """

    OBEYED = "obeyed"
    REFUSED = "refused"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, kw_only=True)
class Sent:
    """The outcome of sending an order, with one sentence on it."""

    outcome: SendOutcome
    detail: str = ""


class OrderSender(Protocol):
    """Sends one order to a target."""

    async def send(
        self, target: Target, request: OrderRequest, *, fencing: int
    ) -> Sent:
        """Sends it within the lifetime of an order; never raises."""
        ...


class _OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    order: str
    model: str
    adapter: str
    version: str
    role: str
    fencing: int


class HttpOrderSender:
    """Sends orders by HTTP, each on a connection of its own."""

    def __init__(self, *, lifetime: timedelta = ORDER_LIFETIME) -> None:
        self._lifetime = lifetime
        self._timeouts = Timeouts(connect=lifetime, progress=lifetime)

    async def send(
        self, target: Target, request: OrderRequest, *, fencing: int
    ) -> Sent:
        """Sends one order; see ``OrderSender``."""
        body = _OrderBody(
            order=request.kind,
            model=request.model,
            adapter=request.adapter,
            version=request.version,
            role=request.role,
            fencing=fencing,
        )
        with trio.move_on_after(self._lifetime.total_seconds()):
            return await self._post(target, msgspec.json.encode(body))
        return Sent(
            outcome=SendOutcome.UNCERTAIN,
            detail=f"no answer within {self._lifetime.total_seconds()} s",
        )

    async def _post(self, target: Target, body: bytes) -> Sent:
        request = httpcore.Request(
            "POST",
            build_url(target.host, target.port, _ORDERS_PATH),
            headers={
                "host": f"{target.host}:{target.port}",
                "content-type": "application/json",
                "content-length": str(len(body)),
            },
            content=body,
            extensions=dict(self._timeouts.build_extensions()),
        )
        try:
            async with build_single_pool() as pool:
                response = await send_request(pool, request)
                status = int(response.status)
                await response.aclose()
        except NotSentError as error:
            return Sent(outcome=SendOutcome.NOT_SENT, detail=str(error))
        except TransportError as error:
            return Sent(outcome=SendOutcome.UNCERTAIN, detail=str(error))
        return _read_status(status)


def _read_status(status: int) -> Sent:
    detail = f"the target answered {status}"
    if 200 <= status < 300:
        return Sent(outcome=SendOutcome.OBEYED, detail=detail)
    if status == _OLD_FENCING:
        return Sent(outcome=SendOutcome.FENCED, detail=detail)
    if status < 500:
        return Sent(outcome=SendOutcome.REFUSED, detail=detail)
    return Sent(outcome=SendOutcome.UNCERTAIN, detail=detail)
