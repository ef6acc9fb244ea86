"""Sends orders to targets by HTTP."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import httpcore
import msgspec
import trio

from acaciarack.configuration import Target
from acaciarack.leases import ORDER_LIFETIME
from acaciarack.operator_interfaces import OrderRequest
from acaciarack.transports import (
    NotSentError,
    Timeouts,
    TransportError,
    build_single_use_pool,
    build_url,
    send_request,
)

_ORDERS_PATH = "/v1/orders"
_STALE_FENCING_STATUS = 409


class SendOutcome(enum.StrEnum):
    """The outcome of sending an order.

    Attributes:
        OBEYED: the target executed the order.
        REFUSED: the target refused the order itself.
        FENCED: the target refused the order because it has received a higher
            fencing number.
        NOT_SENT: nothing reached the target.
        UNCERTAIN: the target may have received or executed the order.
    """

    OBEYED = "obeyed"
    REFUSED = "refused"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, kw_only=True)
class SendResult:
    """The outcome of sending an order, with a one-sentence detail."""

    outcome: SendOutcome
    detail: str = ""


class OrderSender(Protocol):
    """Sends one order to a target."""

    async def send(
        self, target: Target, request: OrderRequest, *, fencing: int
    ) -> SendResult:
        """Sends an order within its lifetime; never raises."""
        ...


class _OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    order: str
    model: str
    adapter: str
    version: str
    role: str
    fencing: int


class HttpOrderSender:
    """Sends orders by HTTP, each on a separate connection."""

    def __init__(self, *, lifetime: timedelta = ORDER_LIFETIME) -> None:
        self._lifetime = lifetime
        self._timeouts = Timeouts(connect=lifetime, progress=lifetime)

    async def send(
        self, target: Target, request: OrderRequest, *, fencing: int
    ) -> SendResult:
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
        return SendResult(
            outcome=SendOutcome.UNCERTAIN,
            detail=f"no answer within {self._lifetime.total_seconds()} s",
        )

    async def _post(self, target: Target, body: bytes) -> SendResult:
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
            async with build_single_use_pool() as pool:
                response = await send_request(pool, request)
                status = int(response.status)
                await response.aclose()
        except NotSentError as error:
            return SendResult(outcome=SendOutcome.NOT_SENT, detail=str(error))
        except TransportError as error:
            return SendResult(outcome=SendOutcome.UNCERTAIN, detail=str(error))
        return _classify_status(status)


def _classify_status(status: int) -> SendResult:
    detail = f"the target answered {status}"
    if 200 <= status < 300:
        return SendResult(outcome=SendOutcome.OBEYED, detail=detail)
    if status == _STALE_FENCING_STATUS:
        return SendResult(outcome=SendOutcome.FENCED, detail=detail)
    if status < 500:
        return SendResult(outcome=SendOutcome.REFUSED, detail=detail)
    return SendResult(outcome=SendOutcome.UNCERTAIN, detail=detail)
