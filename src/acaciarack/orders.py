"""Executes orders to targets, each under a lease with a fencing number.

An order is a record on the log. Rendezvous hashing chooses the node that
executes the orders of a target. If two nodes both consider themselves chosen,
only the holder of the lease sends the order. Orders to one target run one at
a time, in the order of submission.
"""

from collections.abc import Callable
from datetime import timedelta

import logbook
import trio
import uuid6

from acaciarack.clock import Clock
from acaciarack.configuration import Configuration, Target
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.leases import (
    MAX_CLOCK_DRIFT,
    ORDER_LIFETIME,
    Lease,
    LeaseLapsedError,
    LeaseManager,
    LeaseUnavailableError,
)
from acaciarack.operator_interfaces import (
    Order,
    OrderKind,
    OrderRequest,
    OrderState,
)
from acaciarack.order_sender import OrderSender, SendOutcome, SendResult
from acaciarack.order_table import OrderTable, TrackedOrder
from acaciarack.platform import PlatformError, WeightStore
from acaciarack.records import AttemptRecord, SubmittedRecord

POLL_INTERVAL = timedelta(milliseconds=250)
RETRY_DELAY = timedelta(seconds=1)
RENEWAL_MARGIN = timedelta(seconds=6)
"""A lease is renewed before use if less time than this is left."""
_log = logbook.Logger(__name__)


class LogOrderManager:
    """Implements ``OrderManager`` on the log; ``run`` executes the orders."""

    def __init__(
        self,
        *,
        leases: LeaseManager,
        sender: OrderSender,
        weights: WeightStore,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        is_executor: Callable[[str], bool],
    ) -> None:
        """Creates the order manager.

        Args:
            leases: the lease manager, which provides a lease for each order.
                The caller must run it.
            sender: sends the orders.
            weights: the weight store, which limits the rate of loads in the
                fleet.
            clock: provides the time and sleeps.
            get_configuration: returns the current configuration.
            is_executor: returns whether this node executes the orders of a
                target.
        """
        self._leases = leases
        self._sender = sender
        self._weights = weights
        self._clock = clock
        self._get_configuration = get_configuration
        self._is_executor = is_executor
        self._table = OrderTable()
        self._active_targets: set[str] = set()
        self._leases_by_target: dict[str, Lease] = {}
        leases.add_observer(self._table)

    async def submit(
        self, request: OrderRequest, *, author: str
    ) -> Order | Refusal:
        """Appends an order to the log, to be executed later.

        A refusal has the outcome ``unknown`` if the order may be on the log.
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
        tracked = self._table.find(order_id)
        if tracked is None:
            return _refuse_unavailable("the order was not read back")
        return tracked.order

    async def get(self, order_id: str) -> Order | None:
        """Returns an order, or ``None`` if the id is unknown."""
        tracked = self._table.find(order_id)
        return tracked.order if tracked is not None else None

    async def list_orders(
        self, *, target: str, limit: int
    ) -> tuple[Order, ...]:
        """Returns the newest orders, newest first.

        Args:
            target: the target's name; empty for all targets.
            limit: the maximum number of orders.
        """
        return self._table.list_newest(target=target, limit=limit)

    async def run(self) -> None:
        """Executes orders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for tracked in self._list_executable():
                    self._active_targets.add(tracked.order.request.target)
                    nursery.start_soon(self._execute, tracked)
                await self._clock.sleep(POLL_INTERVAL)

    def _list_executable(self) -> list[TrackedOrder]:
        if not self._leases.is_ready():
            return []
        return [
            tracked
            for tracked in self._table.list_next_pending()
            if tracked.order.request.target not in self._active_targets
            and self._is_executor(tracked.order.request.target)
        ]

    async def _execute(self, tracked: TrackedOrder) -> None:
        order = tracked.order
        target_name = order.request.target
        try:
            attempt = await self._attempt(order)
            if attempt is not None:
                await self._leases.append(attempt)
        except (LeaseUnavailableError, LeaseLapsedError) as error:
            _log.warning("postponed order {}: {}", order.id, error)
            await self._clock.sleep(RETRY_DELAY)
        finally:
            self._active_targets.discard(target_name)

    async def _attempt(self, order: Order) -> AttemptRecord | None:
        """Makes one attempt to execute an order.

        Returns:
            The record of the attempt. ``None`` if no attempt was made, because
            the weight store is unavailable or another process holds the lease.

        Raises:
            LeaseUnavailableError: no lease can be acquired at present.
            LeaseLapsedError: the order may not be sent under the lease.
        """
        target = self._get_configuration().targets.get(order.request.target)
        if target is None:
            return AttemptRecord(
                order_id=order.id,
                fencing=0,
                state=OrderState.FAILED,
                detail="the target is no longer in the configuration",
            )
        if not await self._wait_for_pull_slot(order.request):
            return None
        lease = await self._get_lease(target)
        if lease is None:
            await self._clock.sleep(RETRY_DELAY)
            return None
        # No wait is allowed between the check and the send, because the lease
        # could expire meanwhile.
        self._leases.check(lease, checks_fencing=target.checks_fencing)
        result = await self._sender.send(
            target, order.request, fencing=lease.fencing
        )
        return await self._handle_result(order, target, lease, result)

    async def _get_lease(self, target: Target) -> Lease | None:
        """Returns a lease under which this node may send orders.

        If the target checks no fencing number, waits until orders of an
        earlier holder can no longer arrive.

        Returns:
            The lease, or ``None`` if another process holds it.
        """
        lease = self._leases_by_target.get(target.name)
        now = self._clock.elapsed()
        if lease is None or lease.valid_until - now < RENEWAL_MARGIN:
            lease = await self._leases.acquire(target.name)
            if lease is None:
                self._leases_by_target.pop(target.name, None)
                return None
            self._leases_by_target[target.name] = lease
        if not target.checks_fencing:
            delay = lease.act_from - self._clock.elapsed()
            if delay > timedelta():
                await self._clock.sleep(delay)
        return lease

    async def _wait_for_pull_slot(self, request: OrderRequest) -> bool:
        """Waits until the weight store allows a load.

        Returns:
            Whether the order may be sent; false if the weight store is
            unavailable. Orders other than loads may always be sent.
        """
        if request.kind is not OrderKind.LOAD:
            return True
        try:
            delay = await self._weights.reserve_pull(
                model=request.model, version=request.version
            )
        except PlatformError as error:
            _log.warning("cannot reserve a pull at the weight store: {}", error)
            await self._clock.sleep(RETRY_DELAY)
            return False
        await self._clock.sleep(delay)
        return True

    async def _handle_result(
        self, order: Order, target: Target, lease: Lease, result: SendResult
    ) -> AttemptRecord | None:
        """Builds the record of an attempt; delays the next one if needed."""
        match result.outcome:
            case SendOutcome.OBEYED:
                state = OrderState.DONE
            case SendOutcome.REFUSED:
                state = OrderState.FAILED
            case SendOutcome.UNCERTAIN:
                await self._wait_out_uncertain_order(target)
                state = OrderState.UNCERTAIN
            case SendOutcome.FENCED:
                self._leases_by_target.pop(lease.target, None)
                state = OrderState.PENDING
            case SendOutcome.NOT_SENT:
                await self._clock.sleep(RETRY_DELAY)
                state = OrderState.PENDING
        return AttemptRecord(
            order_id=order.id,
            fencing=lease.fencing,
            state=state,
            detail=result.detail,
        )

    async def _wait_out_uncertain_order(self, target: Target) -> None:
        """Waits until an order in flight cannot arrive after the next one.

        A target that checks fencing numbers refuses the old order itself.
        """
        self._leases_by_target.pop(target.name, None)
        if not target.checks_fencing:
            await self._clock.sleep(ORDER_LIFETIME + MAX_CLOCK_DRIFT)


def _refuse_unavailable(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
        retry_after=RETRY_DELAY,
    )
