"""Interfaces between the operators' RPCs and other components of a node.

Each component except the ``ConfigurationPublisher`` is optional. Its RPCs fail
with ``UNIMPLEMENTED`` if the node runs without it.
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


class ConfigurationPublisher(Protocol):
    """Stores and publishes the configuration."""

    def current(self) -> Configuration:
        """Returns the current configuration."""
        ...

    def list_history(self) -> tuple[HistoryEntry, ...]:
        """Returns recent changes, accepted and rejected, oldest first."""
        ...

    def validate(self, edits: tuple[Edit, ...]) -> Invalid | None:
        """Validates edits against the current configuration.

        Returns:
            The faults, or ``None`` if the edits are valid.
        """
        ...

    async def publish(
        self, edits: tuple[Edit, ...], base_version: int, author: str
    ) -> Publication:
        """Publishes edits of the configuration.

        Args:
            edits: the edits, which are published together or not at all.
            base_version: the configuration version that the author read.
            author: the operator who made the edits.
        """
        ...


@dataclass(frozen=True, kw_only=True)
class NodeStatus:
    """The state of a node as another node sees it.

    Attributes:
        name: the node's name.
        state: live, suspect, leaving or gone.
        data_centre: the node's data centre.
        address: the address for callers, as ``IP:PORT``.
        configuration_version: the version of the node's configuration.
        drained: whether an operator drained the node.
    """

    name: str
    state: str
    data_centre: str
    address: str
    configuration_version: int
    drained: bool = False


class NodeDirectory(Protocol):
    """Lists the nodes of the deployment."""

    def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Returns all known nodes, including this one, sorted by name."""
        ...


class OrderKind(enum.StrEnum):
    """The action that an order requests from a target."""

    LOAD = "load"
    CHANGE_ROLE = "change_role"


class OrderState(enum.StrEnum):
    """The progress of an order.

    Attributes:
        PENDING: the order is not executed yet.
        DONE: the target executed the order.
        FAILED: the target refused the order, or it could not be sent.
        UNCERTAIN: the target may have received the order. The order is sent
            again while attempts remain.
    """

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, kw_only=True)
class OrderRequest:
    """An operator's request that a target performs an action.

    Attributes:
        target: the target's name.
        kind: the action.
        model: the model to load.
        adapter: the adapter to load, or empty for none.
        version: the version of the weights to load.
        role: the new role, for ``CHANGE_ROLE``.
    """

    target: str
    kind: OrderKind
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True, kw_only=True)
class Order:
    """An order and its state.

    Attributes:
        id: the unique id.
        request: the requested action.
        state: the progress.
        fencing: the fencing number of the latest attempt to send the order; 0
            if there was none.
        detail: a sentence about the state.
        author: the operator who submitted the order.
    """

    id: str
    request: OrderRequest
    state: OrderState
    fencing: int = 0
    detail: str = ""
    author: str = ""


class OrderManager(Protocol):
    """Executes orders to targets."""

    async def submit(
        self, request: OrderRequest, *, author: str
    ) -> Order | Refusal:
        """Accepts an order for later execution, or refuses it."""
        ...

    async def get(self, order_id: str) -> Order | None:
        """Returns an order, or ``None`` if the id is unknown."""
        ...

    async def list_orders(
        self, *, target: str, limit: int
    ) -> tuple[Order, ...]:
        """Returns the newest orders, newest first.

        Args:
            target: the target's name, or empty for all targets.
            limit: the maximum number of orders.
        """
        ...


class ExplanationSource(Protocol):
    """Finds finished requests of this node and of its peers."""

    async def explain(self, request_id: str) -> RequestObservation | None:
        """Finds a request by its id or by its response id."""
        ...


@dataclass(frozen=True, kw_only=True)
class BurnWindow:
    """The burn rate of an error budget in one window.

    Attributes:
        length: the window's length.
        requests: the number of requests to which the objective applies.
        bad: the number of requests that missed the objective.
        burn_rate: the burn rate. A rate of 1 sustained for the budget's period
            spends exactly the budget.
    """

    length: timedelta
    requests: int
    bad: int
    burn_rate: float


@dataclass(frozen=True, kw_only=True)
class BurnCause:
    """A cause of requests that missed an objective.

    Attributes:
        cause: a short phrase or a refusal code.
        requests: the number of requests with this cause.
        request_ids: the ids of some of these requests.
    """

    cause: str
    requests: int
    request_ids: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Budget:
    """The error budget of an objective for one service and organisation.

    Attributes:
        service: the service.
        organisation: the organisation.
        objective: stall, ttft, token_gap, preemption or refusal.
        good_fraction: the fraction of requests that must meet the objective.
        remaining: the unspent fraction of the budget; below 0 if overspent.
        burning: whether any pair of a short and a long window exceeds the
            pair's burn rate threshold in both windows.
        windows: from the shortest to the longest, which is the budget's
            period.
        causes: the most frequent causes of misses, the most frequent first.
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
    """The burn rates of the error budgets.

    Attributes:
        time: when the report was made.
        budgets: sorted by service, organisation and objective.
        missing: the data centres whose counts are missing or stale.
    """

    time: datetime
    budgets: tuple[Budget, ...] = ()
    missing: tuple[str, ...] = ()


class BurnReporter(Protocol):
    """Makes the burn report of the error budgets."""

    async def report(self, *, service: str, organisation: str) -> BurnReport:
        """Makes the report.

        Args:
            service: the service to include, or empty for all.
            organisation: the organisation to include, or empty for all.
        """
        ...
