"""Carries out orders to targets, each under a lease with a fencing number.

An order is a record on the log. The node that rendezvous hashing names for
the target carries it out; if two nodes believe that it is them, the lease
decides. Orders of one target run one after the other, as submitted.
"""

from collections.abc import Callable
from datetime import timedelta

import logbook
import trio
import uuid6

from acaciarack.clock import Clock
from acaciarack.configuration import Configuration, Target
from acaciarack.desks import Order, OrderKind, OrderRequest, OrderState
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.leases import (
    DRIFT,
    ORDER_LIFETIME,
    Lease,
    LeaseLapsedError,
    Leases,
    LeaseUnavailableError,
)
from acaciarack.order_book import BookedOrder, OrderBook
from acaciarack.order_sender import OrderSender, SendOutcome, Sent
from acaciarack.platform import PlatformError, WeightStore
from acaciarack.records import AttemptRecord, SubmittedRecord

POLL_INTERVAL = timedelta(milliseconds=250)
RETRY_DELAY = timedelta(seconds=1)
RENEW_BEFORE = timedelta(seconds=6)
_log = logbook.Logger(__name__)


class LogOrderDesk:
    """An ``OrderDesk`` on the log; ``run`` carries orders out."""

    def __init__(
        self,
        *,
        leases: Leases,
        sender: OrderSender,
        weights: WeightStore,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        is_executor: Callable[[str], bool],
    ) -> None:
        """Creates the desk.

        Args:
            leases: asked for a lease on a target before each order; run by
                the caller.
            sender: sends the orders.
            weights: paces the loads of the fleet.
            clock: gives times and waits.
            get_configuration: returns the configuration in force.
            is_executor: whether this node is to act on a target.
        """
        self._leases = leases
        self._sender = sender
        self._weights = weights
        self._clock = clock
        self._get_configuration = get_configuration
        self._is_executor = is_executor
        self._book = OrderBook()
        self._busy: set[str] = set()
        self._held: dict[str, Lease] = {}
        leases.add_observer(self._book)

    async def submit(
        self, request: OrderRequest, *, author: str
    ) -> Order | Refusal:
        """Puts an order on the log; it is carried out later.

        A refusal's outcome is ``unknown`` if the order may be on the log.
        """
        if not self._leases.is_ready():
            return _refuse_unavailable("the log has not been read yet")
        order_id = str(uuid6.uuid7())
        record = SubmittedRecord(
            order_id=order_id,
            target=request.target,
            kind=request.kind,
            model=request.model,
            adapter=request.adapter,
            version=request.version,
            role=request.role,
            author=author,
        )
        try:
            await self._leases.append(record)
        except LeaseUnavailableError as error:
            return Refusal(
                code=RefusalCode.OUTCOME_UNKNOWN,
                outcome=RunOutcome.UNKNOWN,
                detail=f"order {order_id} may be on the log: {error}",
                retry_after=RETRY_DELAY,
            )
        booked = self._book.find(order_id)
        if booked is None:
            return _refuse_unavailable("the order was not read back")
        return booked.order

    async def get(self, order_id: str) -> Order | None:
        """Returns an order, or ``None`` if there is none of this id."""
        booked = self._book.find(order_id)
        return booked.order if booked is not None else None

    async def list_orders(
        self, *, target: str, limit: int
    ) -> tuple[Order, ...]:
        """Returns the newest orders, newest first; all targets if empty."""
        return self._book.list_newest(target=target, limit=limit)

    async def run(self) -> None:
        """Carries orders out until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for booked in self._list_due():
                    self._busy.add(booked.order.request.target)
                    nursery.start_soon(self._carry_out, booked)
                await self._clock.sleep(POLL_INTERVAL)

    def _list_due(self) -> list[BookedOrder]:
        if not self._leases.is_ready():
            return []
        return [
            booked
            for booked in self._book.list_next()
            if booked.order.request.target not in self._busy
            and self._is_executor(booked.order.request.target)
        ]

    async def _carry_out(self, booked: BookedOrder) -> None:
        order = booked.order
        name = order.request.target
        try:
            attempt = await self._attempt(order)
            if attempt is not None:
                await self._leases.append(attempt)
        except (LeaseUnavailableError, LeaseLapsedError) as error:
            _log.warning("order {} waits: {}", order.id, error)
            await self._clock.sleep(RETRY_DELAY)
        finally:
            self._busy.discard(name)

    async def _attempt(self, order: Order) -> AttemptRecord | None:
        """Makes one attempt; returns what came of it, if anything.

        Raises:
            LeaseUnavailableError: no lease can be had now.
            LeaseLapsedError: the lease ended before the order was sent.
        """
        target = self._get_configuration().targets.get(order.request.target)
        if target is None:
            return AttemptRecord(
                order_id=order.id,
                fencing=0,
                state=OrderState.FAILED,
                detail="the target is no longer in the configuration",
            )
        if not await self._wait_for_weights(order.request):
            return None
        lease = await self._get_lease(target)
        if lease is None:
            await self._clock.sleep(RETRY_DELAY)
            return None
        # Nothing may wait between the check and the sending.
        self._leases.check(lease, checks_fencing=target.checks_fencing)
        sent = await self._sender.send(
            target, order.request, fencing=lease.fencing
        )
        return await self._judge(order, target, lease, sent)

    async def _get_lease(self, target: Target) -> Lease | None:
        """Returns a lease under which this node may act, or ``None``."""
        held = self._held.get(target.name)
        now = self._clock.elapsed()
        if held is None or held.valid_until - now < RENEW_BEFORE:
            held = await self._leases.acquire(target.name)
            if held is None:
                self._held.pop(target.name, None)
                return None
            self._held[target.name] = held
        if not target.checks_fencing:
            wait = held.act_from - self._clock.elapsed()
            if wait > timedelta():
                await self._clock.sleep(wait)
        return held

    async def _wait_for_weights(self, request: OrderRequest) -> bool:
        """Waits for the turn of a load; returns whether it may start."""
        if request.kind is not OrderKind.LOAD:
            return True
        try:
            wait = await self._weights.reserve_pull(
                model=request.model, version=request.version
            )
        except PlatformError as error:
            _log.warning("the weight store cannot be had: {}", error)
            await self._clock.sleep(RETRY_DELAY)
            return False
        await self._clock.sleep(wait)
        return True

    async def _judge(
        self, order: Order, target: Target, lease: Lease, sent: Sent
    ) -> AttemptRecord | None:
        match sent.outcome:
            case SendOutcome.OBEYED:
                state = OrderState.DONE
            case SendOutcome.REFUSED:
                state = OrderState.FAILED
            case SendOutcome.UNCERTAIN:
                await self._outlast(target)
                state = OrderState.UNCERTAIN
            case SendOutcome.FENCED:
                self._held.pop(lease.target, None)
                state = OrderState.PENDING
            case SendOutcome.NOT_SENT:
                await self._clock.sleep(RETRY_DELAY)
                state = OrderState.PENDING
        return AttemptRecord(
            order_id=order.id,
            fencing=lease.fencing,
            state=state,
            detail=sent.detail,
        )

    async def _outlast(self, target: Target) -> None:
        """Makes sure that an order under way cannot follow the next one."""
        self._held.pop(target.name, None)
        if not target.checks_fencing:
            await self._clock.sleep(ORDER_LIFETIME + DRIFT)


def _refuse_unavailable(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
        retry_after=RETRY_DELAY,
    )
