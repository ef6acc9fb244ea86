"""Builds a gateway node from its settings, runs it and drains it."""

import signal
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

import logbook
import trio
from hypercorn.config import Config

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.evidence.crash_detection import CrashDetector
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.malformed_input import InputKind, MalformedInputLog
from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.migration.migration_order import EvacuatedRuns
from acaciarack.gateway.migration.migrator import Migrator
from acaciarack.gateway.peers.messages import (
    REVISION,
    MalformedMessageError,
    NodeInfo,
    NodeState,
    decode_node,
    encode_node,
)
from acaciarack.gateway.peers.peer_table import PeerTable, list_entry_nodes
from acaciarack.gateway.peers.reader_role import ReaderRole
from acaciarack.gateway.peers.state_sync import (
    StateSync,
    get_link_port,
    get_urgent_port,
)
from acaciarack.gateway.requests.calls import CallServer
from acaciarack.gateway.requests.dispatcher import Dispatcher
from acaciarack.gateway.requests.generations import GenerationServer
from acaciarack.gateway.requests.ingress import Ingress, RequestCodec
from acaciarack.gateway.requests.open_requests import OpenRequests
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.scheduling.call_placement import CallPlacement
from acaciarack.gateway.scheduling.call_placer import FleetCallPlacer
from acaciarack.gateway.scheduling.placement_queue import PlacementQueue
from acaciarack.gateway.scheduling.placer import LocalPlacer
from acaciarack.gateway.scheduling.schedule_channel import (
    ScheduleChannel,
    get_schedule_port,
)
from acaciarack.gateway.scheduling.scheduler import Scheduler, ScheduleRouter
from acaciarack.gateway.settings import GatewaySettings
from acaciarack.gateway.settings_reload import SettingsReloader
from acaciarack.gateway.spec import RouteKind, Service
from acaciarack.gateway.store.replication import (
    ClusterState,
    MovableLog,
    RecordDecoder,
    StoreError,
    Topic,
    list_replicated_topics,
    sweep_forever,
)
from acaciarack.gateway.store.store_reader import StoreReader
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.client import Targets
from acaciarack.gateway.targets.engine_polling import EnginePoller
from acaciarack.gateway.targets.failure_tracker import FailureTracker
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.reachability import Reachability
from acaciarack.gateway.targets.restrictions import (
    Restrictions,
    combine_regions,
)
from acaciarack.gateway.targets.target_connections import HedgedConnector
from acaciarack.gateway.targets.target_table import TargetTable
from acaciarack.gateway.targets.tunnels import TunnelServer, get_tunnel_port
from acaciarack.inflight import InFlight
from acaciarack.listeners import bind_listener
from acaciarack.resource_limits import derive_limits
from acaciarack.resources import ResourceAccount
from acaciarack.servers import serve_connections
from acaciarack.settings import Address
from acaciarack.web import AsgiApp

DRAIN_ACCEPT_TIME = timedelta(seconds=3)
"""How long a draining node accepts connections and plain calls. Callers may use
its cached address for 2 s, and the other nodes stop handing out the address a
fraction of a second after the drain starts."""
DRAIN_ACCEPT_STREAM_TIME = timedelta(seconds=1)
"""How long a draining node accepts generations. A generation takes seconds, so
one that starts later would be aborted at the end of the drain."""
STOP_MARGIN = timedelta(milliseconds=400)
"""How long before the end of ``BoundsTable.stop_seconds`` the drain ends at the
latest, so that the process exits before it is killed."""
LAST_ANSWER_TIME = timedelta(milliseconds=200)
"""How long before the end of the drain the requests that are still open get
their final answer."""
ENTRY_TTL = timedelta(seconds=2)
"""How long callers may cache entry addresses, i.e. the addresses of nodes that
accept requests. At this value, a caller sends 0.1 queries for entry addresses
per second."""
REGISTRATION_RETRY_DELAY = timedelta(seconds=1)
"""The delay between two attempts to register this node in the store or to find
a peer there."""

PEER_CHECK_INTERVAL = timedelta(seconds=5)
"""How often a registered node checks whether any peer is left."""

BIND_RETRY_TIME = timedelta(seconds=5)
"""How long a starting node waits for ports that are in use. The process before
it on this VM may not have ended yet."""
BIND_RETRY_DELAY = timedelta(milliseconds=100)

_log = logbook.Logger("acaciarack.gateway.node")


@dataclass(frozen=True, kw_only=True)
class Adapters:
    """The components that a platform's plug-in provides.

    Attributes:
        store: the client of the platform's store.
        decoder: decodes the store's records.
        targets: the client that sends requests to targets.
        codec: decodes callers' requests and encodes refusals.
        build_ready: builds the application for the platform's readiness checks.
        build_entries: builds the application that lists entry addresses.
    """

    store: MovableLog
    decoder: RecordDecoder
    targets: Targets
    codec: RequestCodec
    build_ready: Callable[[Callable[[], bool]], AsgiApp]
    build_entries: Callable[
        [Callable[[str, str], list[NodeInfo]], timedelta], AsgiApp
    ]


class GatewayNode:
    """A gateway node with all its components.

    Attributes:
        cluster_state: the configuration and the targets.
        peers: the other nodes.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        adapters: Adapters,
        clock: Clock,
        meters: Meters,
        metrics: AsgiApp | None = None,
        load_settings: Callable[[], GatewaySettings] | None = None,
    ) -> None:
        """Creates a node; ``run`` starts it.

        Args:
            settings: the settings.
            adapters: the components of the platform.
            clock: the clock.
            meters: records metrics.
            metrics: serves the metrics; ``None`` for none.
            load_settings: reads the settings again, which may have changed;
                ``None`` if they cannot.
        """
        self._settings = settings
        self._reloader = SettingsReloader(
            clock=clock,
            settings=settings,
            load=load_settings or (lambda: settings),
            move_store=self._move_store,
        )
        self._adapters = adapters
        self._clock = clock
        self._metrics = metrics
        self._drain_start: timedelta | None = None
        self._stop_requested = trio.Event()
        self._bind_scope = trio.CancelScope()
        self._in_flight = InFlight()
        self._open_requests = OpenRequests()
        self._own_node = self._build_node_info()
        self._meters = meters
        self._resources = ResourceAccount(
            limits=derive_limits(
                memory_megabytes=settings.limits.memory_megabytes,
                max_descriptors=settings.limits.max_descriptors,
            ),
            clock=clock,
            count_drop=partial(meters.count, Event.CALLER_DROPS),
        )
        self._malformed_inputs = MalformedInputLog(meters=meters)
        self._supervisor = Supervisor(clock=clock, meters=meters)
        target_table = TargetTable(
            clock=clock, restrictions=Restrictions(regions=settings.regions)
        )
        target_table.restrictions.subscribe(self._record_evacuation)
        loads = LoadTracker(clock=clock)
        evacuated_runs = EvacuatedRuns(clock=clock)
        failure_tracker = FailureTracker(clock=clock)
        quarantine = RequestQuarantine(clock=clock)
        self._crash_detector = CrashDetector(
            clock=clock,
            targets=adapters.targets,
            target_table=target_table,
            quarantine=quarantine,
            supervisor=self._supervisor,
        )
        self.cluster_state = ClusterState(
            clock=clock,
            target_table=target_table,
            decoder=adapters.decoder,
            malformed_inputs=self._malformed_inputs,
            supervisor=self._supervisor,
        )
        adapters.targets.set_observer(target_table)
        self.peers = PeerTable(clock=clock, own_node=self._own_node)
        target_table.cold_budgets.configure(
            find_service=self._find_service,
            overage=settings.bounds.cold_overage,
            tolerance=settings.bounds.cold_tolerance,
            has_quorum=self.peers.hears_majority,
        )
        self._reachability = reachability = Reachability(clock=clock)
        adapters.targets.set_connector(
            HedgedConnector(
                connect=adapters.targets.connect_directly,
                peers=self.peers,
                target_table=target_table,
                reachability=reachability,
            )
        )
        self._tunnel_server = TunnelServer(
            own_node=self._own_node,
            target_table=target_table,
            reachability=reachability,
            connect=adapters.targets.connect_directly,
            in_flight=self._in_flight,
            supervisor=self._supervisor,
            account=self._resources,
            # A tunnel may carry a stream.
            accepts_new=lambda: self._accepts_new(RouteKind.STREAMING),
        )
        self._readers = [
            StoreReader(
                clock=clock,
                store=adapters.store,
                cluster_state=self.cluster_state,
                topic=topic,
                meters=meters,
                contact_time=settings.bounds.contact_time,
                # Peers that wait for a reader then need not read themselves.
                on_reachable=lambda: self._state_sync.trigger_send(),
            )
            for topic in list_replicated_topics()
        ]
        self._reader_role = ReaderRole(
            clock=clock,
            peers=self.peers,
            readers=self._readers,
            cluster_state=self.cluster_state,
            supervisor=self._supervisor,
        )
        self._pool = pool = TargetPool(
            clock=clock,
            target_table=target_table,
            loads=loads,
            failure_tracker=failure_tracker,
            data_centre=settings.node.data_centre,
        )
        self._state_sync = StateSync(
            clock=clock,
            own_node=self._own_node,
            peers=self.peers,
            cluster_state=self.cluster_state,
            loads=loads,
            evacuated_runs=evacuated_runs,
            failure_tracker=failure_tracker,
            quarantine=quarantine,
            reachability=reachability,
            readers=self._readers,
            get_state=self.get_state,
            is_reading_store=self._is_reading_store,
            malformed_inputs=self._malformed_inputs,
            supervisor=self._supervisor,
        )
        self._schedule_channel = ScheduleChannel(
            clock=clock,
            own_node=self._own_node,
            peers=self.peers,
            cluster_state=self.cluster_state,
            loads=loads,
            failure_tracker=failure_tracker,
            malformed_inputs=self._malformed_inputs,
            supervisor=self._supervisor,
        )
        queue = PlacementQueue(clock=clock, pool=pool)
        call_placement = CallPlacement(clock=clock, pool=pool)
        placer = FleetCallPlacer(
            call_placement=call_placement,
            clock=clock,
            own_node=self._own_node,
            peers=self.peers,
            pool=pool,
            local=LocalPlacer(queue=queue, pool=pool),
            quarantine=quarantine,
            send=self._schedule_channel.send,
        )
        self._scheduler = Scheduler(
            call_placement=call_placement,
            clock=clock,
            cluster_state=self.cluster_state,
            queue=queue,
            pool=pool,
            quarantine=quarantine,
            send=self._schedule_channel.send,
            supervisor=self._supervisor,
        )
        self._schedule_channel.set_handler(
            ScheduleRouter(scheduler=self._scheduler, placer=placer)
        )
        self._engine_poller = EnginePoller(
            clock=clock,
            cluster_state=self.cluster_state,
            targets=adapters.targets,
            peers=self.peers,
            loads=loads,
            supervisor=self._supervisor,
            is_reading_store=lambda: (
                self._is_reading_store()
                and not self._state_sync.is_store_overdue()
            ),
        )
        budgets = RetryBudgets(
            clock=clock, bounds=settings.bounds.build_retry_bounds()
        )
        self._calls = CallServer(
            pool=pool,
            targets=adapters.targets,
            budgets=budgets,
            placer=placer,
            quarantine=quarantine,
            crash_detector=self._crash_detector,
            meters=meters,
            open_requests=self._open_requests,
        )
        self._generations = GenerationServer(
            shares_engines=settings.scheduling.fair_shares,
            pool=pool,
            targets=adapters.targets,
            budgets=budgets,
            meters=meters,
            placer=placer,
            authority=placer,
            supervisor=self._supervisor,
            quarantine=quarantine,
            crash_detector=self._crash_detector,
            open_requests=self._open_requests,
            migrator=Migrator(
                pool=pool,
                placer=placer,
                targets=adapters.targets,
                evacuated_runs=evacuated_runs,
                meters=meters,
                is_node_leaving=self.peers.is_leaving,
            ),
        )
        self._front_app = Ingress(
            clock=clock,
            dispatcher=Dispatcher(
                clock=clock,
                cluster_state=self.cluster_state,
                calls=self._calls,
                generations=self._generations,
                accepts_new=self._accepts_new,
            ),
            codec=adapters.codec,
            in_flight=self._in_flight,
            meters=meters,
            open_requests=self._open_requests,
        )
        self._front_config = build_config(timedelta(seconds=15))

    def get_state(self) -> NodeState:
        """Returns whether this node is starting, ready or leaving."""
        if self._drain_start is not None:
            return NodeState.LEAVING
        if self.cluster_state.is_ready:
            return NodeState.READY
        return NodeState.STARTING

    @property
    def is_cut_off(self) -> bool:
        """Whether this node needs peers to reach targets."""
        return self._reachability.is_cut_off

    async def run(self) -> None:
        """Serves until a stop signal arrives and the drain ends.

        Signals are handled until all tasks have ended.

        Raises:
            ListenError: a listener cannot bind to its address.
        """
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._handle_signals, signals)
                await self._serve_until_drained()
                nursery.cancel_scope.cancel()
            _log.info("node stopped", extra={"node": self._own_node.name})

    async def _serve_until_drained(self) -> None:
        settings = self._settings.node
        adapters = self._adapters
        with self._bind_scope:
            await self._wait_for_ports()
        if self._bind_scope.cancelled_caught:
            return
        ready = bind_listener(settings.ready.host, settings.ready.port)
        entries = bind_listener(settings.entries.host, settings.entries.port)
        front = bind_listener(settings.front.host, settings.front.port)
        stop_accepting, closed = trio.Event(), trio.Event()
        internal_config = build_config(timedelta(seconds=75))
        ready_app = adapters.build_ready(
            lambda: self.get_state() is NodeState.READY
        )
        lifetime = min(
            ENTRY_TTL,
            timedelta(seconds=self._settings.bounds.entry_lifetime_seconds),
        )
        entries_app = adapters.build_entries(self._list_entries, lifetime)

        async def serve_front() -> None:
            await serve_connections(
                self._front_app,
                self._front_config,
                front.socket,
                shutdown=stop_accepting.wait,
                account=self._resources,
                request_descriptors=1,
                count_failure=self._count_connection_failure,
            )
            closed.set()

        async with trio.open_nursery() as nursery:
            await self._start_tasks(nursery)
            for listener, app in ((ready, ready_app), (entries, entries_app)):
                nursery.start_soon(
                    self._serve_internal, app, internal_config, listener.socket
                )
            if self._metrics is not None:
                metrics = bind_listener(
                    settings.front.host, settings.metrics_port
                )
                nursery.start_soon(
                    self._serve_internal,
                    self._metrics,
                    internal_config,
                    metrics.socket,
                )
            nursery.start_soon(serve_front)
            _log.info("node started", extra={"node": self._own_node.name})
            await self._stop_requested.wait()
            await self._drain(stop_accepting, closed)
            nursery.cancel_scope.cancel()

    async def _wait_for_ports(self) -> None:
        """Waits until the ports are free, at most ``BIND_RETRY_TIME``.

        Nothing is bound here. The task that needs a port reports it if it is
        still in use.
        """
        end = self._clock.elapsed() + BIND_RETRY_TIME
        for kind, host, port in self._list_ports():
            error = _find_bind_error(kind, host, port)
            if error is not None:
                _log.warning("waiting for a port: {}", error)
            while error is not None:
                if self._clock.elapsed() >= end:
                    return
                await self._clock.sleep(BIND_RETRY_DELAY)
                error = _find_bind_error(kind, host, port)

    def _list_ports(self) -> Iterator[tuple[socket.SocketKind, str, int]]:
        """Yields all ports of this node, that for callers last."""
        settings = self._settings.node
        node = self._own_node
        for port in (get_link_port(node), get_tunnel_port(node)):
            yield socket.SOCK_STREAM, node.host, port
        for port in (
            get_link_port(node),
            get_schedule_port(node),
            get_urgent_port(node),
        ):
            yield socket.SOCK_DGRAM, node.host, port
        if self._metrics is not None:
            yield socket.SOCK_STREAM, node.host, settings.metrics_port
        for address in (settings.ready, settings.entries, settings.front):
            yield socket.SOCK_STREAM, address.host, address.port

    async def _serve_internal(
        self, app: AsgiApp, config: Config, listening_socket: socket.socket
    ) -> None:
        await serve_connections(
            app,
            config,
            listening_socket,
            shutdown=trio.sleep_forever,
            account=self._resources,
            count_failure=self._count_connection_failure,
        )

    def _count_connection_failure(self, kind: str) -> None:
        self._meters.count(Event.CONNECTION_FAILURES, kind)

    async def _start_tasks(self, nursery: trio.Nursery) -> None:
        """Starts the tasks that run until the node stops.

        Each of them is started again if it fails. The node cannot run without
        the first ones, so it ends if one of them does not start.
        """
        supervisor = self._supervisor
        for name, task in (
            ("peers", self._state_sync.run),
            ("schedule channel", self._schedule_channel.run),
            ("scheduler", self._scheduler.run),
            ("tunnels", self._tunnel_server.run),
        ):
            await nursery.start(supervisor.run_started, name, task)
        sweep = partial(sweep_forever, self._clock, self.cluster_state)
        for name, function in (
            ("store reader", self._reader_role.run),
            ("registration", self._register),
            ("engine poller", self._engine_poller.run),
            ("crash detector", self._crash_detector.run),
            ("sweep", sweep),
            ("components", self._update_components),
            ("settings", self._reloader.run),
        ):
            nursery.start_soon(supervisor.keep_running, name, function)

    def _build_node_info(self) -> NodeInfo:
        node = self._settings.node
        return NodeInfo(
            name=node.name,
            started=int(self._clock.now().timestamp() * 1000),
            host=node.front.host,
            front_port=node.front.port,
            link_port=node.link_port,
            data_centre=node.data_centre,
            speed=node.cpu_share * node.cpu_cores,
            revision=REVISION,
        )

    def _accepts_new(self, kind: RouteKind) -> bool:
        """Returns whether this node accepts new requests of a route kind."""
        if self._drain_start is None:
            return True
        if kind is RouteKind.STREAMING:
            return (
                self._clock.elapsed() - self._drain_start
                < DRAIN_ACCEPT_STREAM_TIME
            )
        return self._clock.elapsed() - self._drain_start < DRAIN_ACCEPT_TIME

    def _find_service(self, name: str) -> Service | None:
        configuration = self.cluster_state.configuration
        return configuration.services.get(name) if configuration else None

    def _list_entries(self, data_centre: str, host: str) -> list[NodeInfo]:
        """Returns the nodes for callers in a data centre.

        If routes of the host have home regions, these are nodes that may get
        the requests of all of them. Who asks is not known, so the home regions
        of organisations do not apply.
        """
        configuration = self.cluster_state.configuration
        routes = configuration.routes.get(host, ()) if configuration else ()
        regions = combine_regions(*(route.regions for route in routes))
        restrictions = self.cluster_state.target_table.restrictions
        own_node = (
            self._own_node if self.get_state() is NodeState.READY else None
        )
        return list_entry_nodes(
            own_node,
            self.peers.list_live(),
            data_centre=data_centre,
            allows=lambda node: restrictions.allows_node(
                node.data_centre, regions, caller_data_centre=data_centre
            ),
        )

    def _record_evacuation(self, data_centre: str, begins: bool) -> None:
        """Counts a change, and has all peers told at once by a reader.

        Peers of other data centres may be cut off from the store. The usual
        heartbeats to them are up to 10 s apart, and an evacuation must be in
        force within 5 s.
        """
        self._meters.count(Event.EVACUATIONS, "begun" if begins else "ended")
        if self._is_reading_store():
            self._state_sync.trigger_repeated_send()

    def _is_reading_store(self) -> bool:
        """Returns whether this node reads the store and the store responds."""
        return all(reader.is_reachable for reader in self._readers)

    async def _register(self) -> None:
        """Registers this node in the store and discovers its peers.

        Reads the list of nodes until it contains a peer. Nodes that register
        later are added when their first heartbeat arrives. Registers again if
        the store is restored from a copy, which may lack this node's record,
        and if no peer is left.
        """
        registered_era: int | None = None
        while True:
            if registered_era is None:
                registered_era = await self._write_registration()
            # The record may be in the store although the write failed.
            await self._discover_peers()
            if registered_era is not None and len(self.peers):
                await self._wait_to_register(registered_era)
                registered_era = None
            await self._clock.sleep(REGISTRATION_RETRY_DELAY)

    async def _write_registration(self) -> int | None:
        """Writes this node's record; returns the store's era.

        Returns ``None`` if the write failed.
        """
        try:
            return await self._adapters.store.write(
                Topic.NODES, self._own_node.name, encode_node(self._own_node)
            )
        except StoreError as error:
            _log.warning("node registration failed: {}", error)
            return None

    async def _discover_peers(self) -> None:
        """Adds the nodes that the store lists, and sends them a heartbeat."""
        try:
            batch = await self._adapters.store.read_newest(Topic.NODES)
        except StoreError as error:
            _log.warning("node discovery failed: {}", error)
            return
        for record in batch.records:
            self._add_peer(record.key, record.value)
        self._state_sync.trigger_send()

    async def _wait_to_register(self, era: int) -> None:
        """Waits until the store is in a later era, or no peer is known."""
        while len(self.peers) and self.cluster_state.era <= era:
            with trio.move_on_after(PEER_CHECK_INTERVAL.total_seconds()):
                await self.cluster_state.wait_for_era_after(era)

    def _add_peer(self, key: str, value: bytes | None) -> None:
        if value is None:
            return
        try:
            self.peers.add(decode_node(value))
        except MalformedMessageError as error:
            self._malformed_inputs.record(
                InputKind.RECORD, error, source="store", key=key
            )

    async def _update_components(self) -> None:
        """Updates the timeouts and the number of nodes every 0.5 s."""
        while True:
            configuration = self.cluster_state.configuration
            if configuration is not None:
                idle = configuration.limits.idle_timeout.total_seconds()
                self._front_config.keep_alive_timeout = idle
                head = configuration.limits.header_timeout.total_seconds()
                self._front_config.read_timeout = head
            nodes = self.peers.count_nodes()
            self._calls.nodes = self._generations.nodes = nodes
            await self._clock.sleep(timedelta(seconds=0.5))

    def _move_store(self, address: Address) -> None:
        """Has the store called at another address, also by waiting reads."""
        self._adapters.store.move_to(address)
        for reader in self._readers:
            reader.cancel_waiting_read()

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Starts the drain at the first SIGTERM or SIGINT; logs all signals.

        SIGHUP takes over the settings that can change while the process runs.
        """
        async for number in signals:
            state = self.get_state()
            if number == signal.SIGHUP:
                outcome = self._reloader.reload()
            elif self._stop_requested.is_set():
                outcome = "no change"
            else:
                outcome = "drain"
                self._stop_requested.set()
                self._bind_scope.cancel()
            _log.info(
                "signal received",
                extra={
                    "signal": signal.Signals(number).name,
                    "state": str(state),
                    "outcome": outcome,
                    "requests": self._in_flight.count,
                },
            )

    async def _drain(
        self, stop_accepting: trio.Event, closed: trio.Event
    ) -> None:
        """Announces the drain, stops accepting, and waits for open requests.

        A node that was not ready yet is in no entry answer, so it stops
        accepting at once. The wait ends ``STOP_MARGIN`` before the end of the
        stop time.

        Args:
            stop_accepting: set here when no more connections are accepted.
            closed: set when all callers' connections have ended.
        """
        was_ready = self.get_state() is NodeState.READY
        drain_start = self._clock.elapsed()
        end = drain_start + timedelta(
            seconds=self._settings.bounds.stop_seconds
        )
        self._drain_start = drain_start
        self.peers.is_own_node_leaving = True
        self._front_app.is_closing = True
        self._state_sync.trigger_send()
        _log.info(
            "drain started",
            extra={
                "node": self._own_node.name,
                "requests": self._in_flight.count,
            },
        )
        if was_ready:
            await self._clock.sleep(DRAIN_ACCEPT_TIME)
        stop_accepting.set()
        end -= STOP_MARGIN
        if not await self._wait_closed(closed, end - LAST_ANSWER_TIME):
            count = self._open_requests.end_all()
            _log.warning(
                "requests ended by the drain", extra={"requests": count}
            )
            await self._wait_closed(closed, end)
        _log.info(
            "drain ended",
            extra={
                "node": self._own_node.name,
                "requests": self._in_flight.count,
            },
        )

    async def _wait_closed(self, closed: trio.Event, end: timedelta) -> bool:
        """Waits for open requests; returns whether none is left at the end."""
        remaining = (end - self._clock.elapsed()).total_seconds()
        with trio.move_on_after(max(0.0, remaining)) as scope:
            await closed.wait()
            # Tunnels of peers are not connections of callers.
            await self._in_flight.wait_idle()
        return not scope.cancelled_caught


def _find_bind_error(
    kind: socket.SocketKind, host: str, port: int
) -> str | None:
    """Returns why a port cannot be bound; ``None`` if it can."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, kind) as trial:
        if kind is socket.SOCK_STREAM:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            trial.bind((host, port))
        except OSError as error:
            name = "TCP" if kind is socket.SOCK_STREAM else "UDP"
            return f"{name} {host}:{port}: {error}"
    return None


def build_config(keep_alive: timedelta) -> Config:
    """Builds hypercorn's settings for one listener.

    Args:
        keep_alive: how long a connection may be idle.
    """
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = keep_alive.total_seconds()
    config.keep_alive_max_requests = 1_000_000_000
    config.graceful_timeout = 60.0
    config.h11_max_incomplete_size = 65536
    return config
