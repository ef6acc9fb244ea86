"""All orders that the log still shows, and how far each has come."""

from dataclasses import dataclass, replace

from acaciarack.desks import Order, OrderKind, OrderRequest, OrderState
from acaciarack.platform import LogEntry
from acaciarack.records import AttemptRecord, OrderRecord, SubmittedRecord

MAX_ENDED = 1000
MAX_ATTEMPTS = 5
_ENDED = frozenset({OrderState.DONE, OrderState.FAILED})


@dataclass(frozen=True, kw_only=True)
class BookedOrder:
    """An order with the attempts that were made.

    Attributes:
        order: the order.
        attempts: how many attempts have ended.
    """

    order: Order
    attempts: int = 0

    @property
    def pending(self) -> bool:
        """Whether another attempt is to be made."""
        return self.order.state not in _ENDED and self.attempts < MAX_ATTEMPTS


class OrderBook:
    """Folds the records of orders; the newest last."""

    def __init__(self) -> None:
        self._orders: dict[str, BookedOrder] = {}

    def restart(self) -> None:
        """Forgets all orders."""
        self._orders.clear()

    def apply(self, entry: LogEntry, record: OrderRecord) -> None:
        """Takes the next record."""
        if isinstance(record, SubmittedRecord):
            self._add(record)
        elif isinstance(record, AttemptRecord):
            self._end_attempt(record)

    def find(self, order_id: str) -> BookedOrder | None:
        """Returns an order by its id."""
        return self._orders.get(order_id)

    def list_newest(self, *, target: str, limit: int) -> tuple[Order, ...]:
        """Returns orders, newest first; those of all targets if empty."""
        orders = [
            booked.order
            for booked in reversed(self._orders.values())
            if target in ("", booked.order.request.target)
        ]
        return tuple(orders[:limit])

    def list_next(self) -> tuple[BookedOrder, ...]:
        """Returns the oldest pending order of each target."""
        found: dict[str, BookedOrder] = {}
        for booked in self._orders.values():
            if booked.pending:
                found.setdefault(booked.order.request.target, booked)
        return tuple(found.values())

    def _add(self, record: SubmittedRecord) -> None:
        # A submission whose answer was lost may be on the log twice.
        if record.order_id in self._orders:
            return
        self._orders[record.order_id] = BookedOrder(
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
        self._drop_oldest()

    def _end_attempt(self, record: AttemptRecord) -> None:
        booked = self._orders.get(record.order_id)
        if booked is None or booked.order.state in _ENDED:
            return
        attempts = booked.attempts + 1
        state = OrderState(record.state)
        if state is OrderState.PENDING and attempts >= MAX_ATTEMPTS:
            state = OrderState.FAILED
        order = replace(
            booked.order,
            state=state,
            fencing=record.fencing,
            detail=record.detail,
        )
        self._orders[record.order_id] = BookedOrder(
            order=order, attempts=attempts
        )

    def _drop_oldest(self) -> None:
        ended = [
            order_id
            for order_id, booked in self._orders.items()
            if not booked.pending
        ]
        for order_id in ended[: max(0, len(ended) - MAX_ENDED)]:
            del self._orders[order_id]
