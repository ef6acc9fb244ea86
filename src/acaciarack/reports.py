"""The kernel's registry of reports, and what a report is built from."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.configuration import Configuration
from acaciarack.desks import BurnReporter
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.node_states import NodeView
from acaciarack.observations import ObservationSink
from acaciarack.platform import LogService
from acaciarack.registry import Registry


class Members(Protocol):
    """Knows the other nodes."""

    def list_near(self) -> tuple[str, ...]:
        """Returns the live nodes of this node's data centre."""
        ...

    def list_nodes(self) -> tuple[NodeView, ...]:
        """Returns all nodes that are known."""
        ...


@dataclass(frozen=True, kw_only=True)
class ReportContext:
    """What a report may use.

    Attributes:
        identity: this node.
        links: to the other nodes.
        members: knows the other nodes.
        log: the log service.
        clock: gives times and waits.
        get_configuration: returns the configuration in force.
        retention: how long the log keeps a record.
    """

    identity: Identity
    links: Links
    members: Members
    log: LogService
    clock: Clock
    get_configuration: Callable[[], Configuration]
    retention: timedelta


@dataclass(frozen=True, kw_only=True)
class ReportPart:
    """A report's part of a node.

    Attributes:
        observe: is told of each request at its end.
        run: runs for as long as the node runs.
        reporter: makes the report.
    """

    observe: ObservationSink
    run: Callable[[], Awaitable[None]]
    reporter: BurnReporter


reports: Registry[ReportPart] = Registry(kind="report")
