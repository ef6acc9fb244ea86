"""Keeps the orders on the log with their states."""

from dataclasses import dataclass, replace

from acaciarack.operator_interfaces import (
    Order,
    OrderKind,
    OrderRequest,
    OrderState,
)
from acaciarack.platform import LogEntry
from acaciarack.records import AttemptRecord, OrderRecord, SubmittedRecord

MAX_ENDED_ORDERS = 1000
MAX_ATTEMPTS = 5
_ENDED = frozenset({OrderState.DONE, OrderState.FAILED})


@dataclass(frozen=True, kw_only=True)
class TrackedOrder:
    """An order and the number of its attempts.

    Attributes:
        order: the order.
        attempts: the number of finished attempts.
    """

    order: Order
    attempts: int = 0

    @property
    def pending(self) -> bool:
        """Whether another attempt follows."""
        return self.order.state not in _ENDED and self.attempts < MAX_ATTEMPTS


class OrderTable:
    """Applies order records and keeps the orders, newest last."""

    def __init__(self) -> None:
        self._orders: dict[str, TrackedOrder] = {}

    def restart(self) -> None:
        """Removes all orders."""
        self._orders.clear()

    def apply(self, entry: LogEntry, record: OrderRecord) -> None:
        """Applies the next record."""
        if isinstance(record, SubmittedRecord):
            self._add(record)
        elif isinstance(record, AttemptRecord):
            self._apply_attempt(record)

    def find(self, order_id: str) -> TrackedOrder | None:
        """Returns an order by its id, or ``None`` if the id is unknown."""
        return self._orders.get(order_id)

    def list_newest(self, *, target: str, limit: int) -> tuple[Order, ...]:
        """Returns the newest orders, newest first.

        Args:
            target: the target's name; empty for all targets.
            limit: the maximum number of orders.
        """
        orders = [
            tracked.order
            for tracked in reversed(self._orders.values())
            if target in ("", tracked.order.request.target)
        ]
        return tuple(orders[:limit])

    def list_next_pending(self) -> tuple[TrackedOrder, ...]:
        """Returns the oldest pending order of each target."""
        oldest: dict[str, TrackedOrder] = {}
        for tracked in self._orders.values():
            if tracked.pending:
                oldest.setdefault(tracked.order.request.target, tracked)
        return tuple(oldest.values())

    def _add(self, record: SubmittedRecord) -> None:
        # If the response to an append is lost, the record may be on the log
        # twice.
        if record.order_id in self._orders:
            return
        self._orders[record.order_id] = TrackedOrder(
            order=Order(
                id=record.order_id,
                request=OrderRequest(
                    target=record.target,
                    kind=OrderKind(record.kind),
                    model=record.model,
                    adapter=record.adapter,
                    version=record.version,
                    role=record.role,
                ),
                state=OrderState.PENDING,
                author=record.author,
            )
        )
        self._evict_ended()

    def _apply_attempt(self, record: AttemptRecord) -> None:
        tracked = self._orders.get(record.order_id)
        if tracked is None or tracked.order.state in _ENDED:
            return
        attempts = tracked.attempts + 1
        state = OrderState(record.state)
        if state is OrderState.PENDING and attempts >= MAX_ATTEMPTS:
            state = OrderState.FAILED
        order = replace(
            tracked.order,
            state=state,
            fencing=record.fencing,
            detail=record.detail,
        )
        self._orders[record.order_id] = TrackedOrder(
            order=order, attempts=attempts
        )

    def _evict_ended(self) -> None:
        ended = [
            order_id
            for order_id, tracked in self._orders.items()
            if not tracked.pending
        ]
        for order_id in ended[: max(0, len(ended) - MAX_ENDED_ORDERS)]:
            del self._orders[order_id]
