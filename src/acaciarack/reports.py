"""The registry of reports, and the interface between a node and its reports."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.configuration import Configuration
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.node_states import NodeView
from acaciarack.observations import ObservationSink
from acaciarack.operator_interfaces import BurnReporter
from acaciarack.platform import LogService
from acaciarack.registry import Registry


class Members(Protocol):
    """Lists the nodes of the deployment."""

    def list_local_nodes(self) -> tuple[str, ...]:
        """Returns the names of the live nodes in this node's data centre."""
        ...

    def list_nodes(self) -> tuple[NodeView, ...]:
        """Returns the states of all known nodes."""
        ...


@dataclass(frozen=True, kw_only=True)
class ReportContext:
    """The components of a node that a report can use.

    Attributes:
        identity: the node's identity.
        links: the links to the peers.
        members: lists the nodes.
        log: the log service.
        clock: provides times and sleeps.
        get_configuration: returns the current configuration.
        retention: how long the log keeps a record.
    """

    identity: Identity
    links: LinkManager
    members: Members
    log: LogService
    clock: Clock
    get_configuration: Callable[[], Configuration]
    retention: timedelta


@dataclass(frozen=True, kw_only=True)
class ReportComponent:
    """A node's component of a report.

    Attributes:
        observe: receives the observation of each finished request.
        run: the background task, which runs until the node stops.
        reporter: makes the report.
    """

    observe: ObservationSink
    run: Callable[[], Awaitable[None]]
    reporter: BurnReporter


reports: Registry[ReportComponent] = Registry(kind="report")
