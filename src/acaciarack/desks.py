"""What the operators' RPCs ask of other parts of a node.

Each interface may be absent; its RPCs then answer that this node is run
without the part.
"""

import enum
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from acaciarack.change_messages import (
    Edit,
    HistoryEntry,
)
from acaciarack.configuration import Configuration
from acaciarack.errors import Refusal
from acaciarack.observations import RequestObservation
from acaciarack.publication_messages import Invalid, Publication


class Publisher(Protocol):
    """Holds and publishes the configuration."""

    def current(self) -> Configuration:
        """Returns the configuration in force."""
        ...

    def list_history(self) -> tuple[HistoryEntry, ...]:
        """Returns the newest changes, oldest first."""
        ...

    def validate(self, edits: tuple[Edit, ...]) -> Invalid | None:
        """Checks a draft against the configuration in force."""
        ...

    async def publish(
        self, edits: tuple[Edit, ...], base_version: int, author: str
    ) -> Publication:
        """Publishes a change against the version that its author saw."""
        ...


@dataclass(frozen=True, kw_only=True)
class NodeStatus:
    """A node as another one sees it.

    Attributes:
        name: the node's name.
        state: live, suspect, leaving or gone.
        data_centre: where it stands.
        address: where it answers callers, as ``IP:PORT``.
        configuration_version: the version that it has in force.
        drained: whether an operator drained it.
    """

    name: str
    state: str
    data_centre: str
    address: str
    configuration_version: int
    drained: bool = False


class NodeDirectory(Protocol):
    """Knows the nodes."""

    def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Returns all nodes that are known, this one too, by name."""
        ...


class OrderKind(enum.StrEnum):
    """What an order asks of a target."""

    LOAD = "load"
    CHANGE_ROLE = "change_role"


class OrderState(enum.StrEnum):
    """How far an order has come."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, kw_only=True)
class OrderRequest:
    """What an operator orders.

    Attributes:
        target: the target's name.
        kind: load or change role.
        model: for loads, the model.
        adapter: for loads, the adapter; empty for none.
        version: for loads, the version of the weights.
        role: for changes of role, the new one.
    """

    target: str
    kind: OrderKind
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True, kw_only=True)
class Order:
    """An order with its state.

    Attributes:
        id: unique.
        request: what was ordered.
        state: how far it has come.
        fencing: the fencing number that it was sent with; 0 if not sent.
        detail: one sentence on the state.
        author: the operator.
    """

    id: str
    request: OrderRequest
    state: OrderState
    fencing: int = 0
    detail: str = ""
    author: str = ""


class OrderDesk(Protocol):
    """Carries out orders to targets."""

    async def submit(
        self, request: OrderRequest, *, author: str
    ) -> Order | Refusal:
        """Accepts an order; it is carried out later."""
        ...

    async def get(self, order_id: str) -> Order | None:
        """Returns an order, or ``None`` if there is none of this id."""
        ...

    async def list_orders(
        self, *, target: str, limit: int
    ) -> tuple[Order, ...]:
        """Returns the newest orders, newest first; all targets if empty."""
        ...


class ExplanationSource(Protocol):
    """Remembers requests, on this node or on others."""

    async def explain(self, request_id: str) -> RequestObservation | None:
        """Finds a request by its own or its response's id."""
        ...


@dataclass(frozen=True, kw_only=True)
class BurnWindow:
    """The spending of a budget in one window.

    Attributes:
        length: the window's length.
        requests: the requests in it.
        bad: those that missed the objective.
        burn_rate: 1 spends just the budget over the budget's period.
    """

    length: timedelta
    requests: int
    bad: int
    burn_rate: float


@dataclass(frozen=True, kw_only=True)
class BurnCause:
    """A cause of misses.

    Attributes:
        cause: one sentence or a refusal code.
        requests: how many requests it concerned.
        request_ids: some of them.
    """

    cause: str
    requests: int
    request_ids: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Budget:
    """One error budget.

    Attributes:
        service: the service.
        organisation: the organisation.
        objective: stall, ttft, token_gap, preemption or refusal.
        good_fraction: the fraction of requests that must meet it.
        remaining: the fraction that is left; below 0 if overspent.
        burning: whether a fast and a slow window both burn.
        windows: from the shortest to the longest.
        causes: the most frequent first.
    """

    service: str
    organisation: str
    objective: str
    good_fraction: float
    remaining: float
    burning: bool
    windows: tuple[BurnWindow, ...] = ()
    causes: tuple[BurnCause, ...] = ()


@dataclass(frozen=True, kw_only=True)
class BurnReport:
    """How fast the error budgets are spent.

    Attributes:
        time: when it was made.
        budgets: by service, organisation and objective.
        missing: data centres whose counters are missing or old.
    """

    time: datetime
    budgets: tuple[Budget, ...] = ()
    missing: tuple[str, ...] = ()


class BurnReporter(Protocol):
    """Makes the report on error budgets."""

    async def report(self, *, service: str, organisation: str) -> BurnReport:
        """Makes it for one service or organisation, or for all if empty."""
        ...
