"""Carries messages between schedulers and the nodes that ask them.

The messages have a UDP port of their own. Heartbeats of a large fleet are
received in batches, which would delay the answers of schedulers.
"""

import heapq
from collections.abc import Iterable, Iterator, Mapping
from contextlib import closing
from datetime import timedelta
from typing import Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import Load, LoadTracker
from acaciarack.gateway.malformed_input import InputKind, MalformedInputLog
from acaciarack.gateway.peers.datagrams import DatagramSocket
from acaciarack.gateway.peers.messages import MalformedMessageError, NodeInfo
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.scheduling.placer import SCHEDULER_RANKS
from acaciarack.gateway.scheduling.schedule_codec import (
    decode_message,
    encode_message,
)
from acaciarack.gateway.scheduling.schedule_messages import (
    LoadReport,
    OrganisationUsage,
    ScheduleMessage,
)
from acaciarack.gateway.store.replication import ClusterState
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.failure_tracker import FailureTracker
from acaciarack.gateway.targets.lifetimes import TargetLifetime

REPORT_GAP = timedelta(milliseconds=30)
"""The minimum time between two load reports. It limits the CPU time for sending
while loads change constantly."""
REPORT_INTERVAL = timedelta(seconds=1)
"""The longest time between two load reports of a node with generations. Half of
the time for which schedulers use a report."""
MAX_REPORTED = 64
"""Maximum number of organisations in a report. It bounds the size of reports;
those with the highest costs are named."""

_log = logbook.Logger("acaciarack.gateway.channel")


class MessageHandler(Protocol):
    """Handles messages of schedulers and of nodes that ask them."""

    def handle(self, message: ScheduleMessage) -> None:
        """Handles a message of another node."""
        ...

    def list_recent_grants(self) -> Iterable[int]:
        """Returns the numbers of the grants that this node's loads include."""
        ...


def get_schedule_port(node: NodeInfo) -> int:
    """Returns the UDP port of a node for schedule messages."""
    return node.link_port + 1


class ScheduleChannel:
    """Sends and receives schedule messages, and reports loads to schedulers."""

    def __init__(
        self,
        *,
        clock: Clock,
        own_node: NodeInfo,
        peers: PeerTable,
        cluster_state: ClusterState,
        loads: LoadTracker,
        failure_tracker: FailureTracker,
        malformed_inputs: MalformedInputLog | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(clock=clock)
        self._malformed_inputs = malformed_inputs or MalformedInputLog()
        self._clock = clock
        self._own_node = own_node
        self._peers = peers
        self._cluster_state = cluster_state
        self._loads = loads
        self._failure_tracker = failure_tracker
        self._handler: MessageHandler | None = None
        self._datagrams: DatagramSocket | None = None
        self._changed = trio.Event()
        self._usage_sent_at = -REPORT_INTERVAL
        loads.subscribe(self._trigger_report)
        self._paces = cluster_state.target_table.paces
        self._paces.subscribe(self._handle_sample)

    def set_handler(self, handler: MessageHandler) -> None:
        """Sets what handles received messages."""
        self._handler = handler

    def send(self, message: ScheduleMessage, node: NodeInfo) -> None:
        """Sends a message to a node without blocking."""
        if self._datagrams is None:
            return
        with self._supervisor.guard("schedule message"):
            self._datagrams.send(
                encode_message(message, revision=node.revision),
                [(node.host, get_schedule_port(node))],
            )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receives messages and reports loads until cancelled."""
        self._datagrams = DatagramSocket(
            clock=self._clock,
            host=self._own_node.host,
            port=get_schedule_port(self._own_node),
        )
        with closing(self._datagrams):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._supervisor.keep_running,
                    "schedule messages",
                    self._receive,
                    self._datagrams,
                )
                nursery.start_soon(
                    self._supervisor.keep_running,
                    "load reports",
                    self._report_loads,
                )
                task_status.started()

    async def _receive(self, datagrams: DatagramSocket) -> None:
        while True:
            for data in await datagrams.receive():
                with self._supervisor.guard("schedule message"):
                    self._handle(data)

    def _handle(self, data: bytes) -> None:
        try:
            message = decode_message(data)
        except MalformedMessageError as error:
            self._malformed_inputs.record(
                InputKind.MESSAGE, error, source="peer", key="schedule"
            )
            return
        if self._handler is not None:
            self._handler.handle(message)

    def _trigger_report(self) -> None:
        self._changed.set()

    def _handle_sample(self, target: TargetLifetime) -> None:
        if self._is_engine(target):
            self._trigger_report()

    def _is_engine(self, target: TargetLifetime) -> bool:
        """Returns whether schedulers place generations on a target."""
        instance = self._cluster_state.target_table.get(target.id)
        configuration = self._cluster_state.configuration
        if instance is None or configuration is None:
            return False
        service = configuration.services.get(instance.target.service)
        return service is not None and service.engine is not None

    async def _report_loads(self) -> None:
        """Reports loads to the schedulers after changes, and periodically."""
        reported: Mapping[str, Load] = {}
        while True:
            self._changed = trio.Event()
            loads = self._loads.list_local()
            if loads or reported:
                self._send_report(loads)
            reported = loads
            await self._clock.sleep(REPORT_GAP)
            timeout = REPORT_INTERVAL.total_seconds() if loads else float("inf")
            with trio.move_on_after(timeout):
                await self._changed.wait()

    def _send_report(self, loads: Mapping[str, Load]) -> None:
        handler = self._handler
        report = LoadReport(
            node=self._own_node,
            loads=loads,
            failures=self._failure_tracker.list_for_broadcast(),
            grants=tuple(handler.list_recent_grants()) if handler else (),
            samples=self._paces.list_samples(self._is_engine),
            usage=tuple(self._list_usage()),
        )
        for scheduler in self._list_schedulers():
            self.send(report, scheduler)

    def _list_usage(self) -> Iterator[OrganisationUsage]:
        """Yields the costs of organisations, where there are any.

        Reports name the organisations whose costs changed, and all of them once
        per ``REPORT_INTERVAL``, for new schedulers and lost reports.
        """
        configuration = self._cluster_state.configuration
        if configuration is None or configuration.organisations is None:
            return
        usage = self._loads.usage
        costs = usage.take_changed()
        now = self._clock.elapsed()
        if now - self._usage_sent_at >= REPORT_INTERVAL:
            self._usage_sent_at = now
            costs = dict(costs) | usage.list_costs()
        largest = heapq.nlargest(MAX_REPORTED, costs, key=costs.__getitem__)
        for organisation in largest:
            yield OrganisationUsage(
                organisation=organisation, cost=costs[organisation]
            )

    def _list_schedulers(self) -> Iterator[NodeInfo]:
        """Yields the other nodes that may schedule a service with engines."""
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                for node in self._peers.rank_schedulers(
                    service.name, SCHEDULER_RANKS
                ):
                    if node.name != self._own_node.name:
                        yield node
