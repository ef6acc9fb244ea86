"""Runs one node and drains it before it stops."""

import importlib
import random
import signal
from collections.abc import AsyncIterator
from datetime import timedelta
from functools import partial

import logbook
import trio
import trio.lowlevel

from acaciarack.assembly import Applications, build_applications
from acaciarack.certificates import CertificateReloader
from acaciarack.clock import Clock, SystemClock
from acaciarack.cluster import Cluster, Task, build_cluster
from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import Identity
from acaciarack.leases import LeaseManager
from acaciarack.ledger import LogLedger
from acaciarack.listeners import Listener, bind_listener, serve_listener
from acaciarack.logs import start_logs
from acaciarack.order_sender import HttpOrderSender
from acaciarack.orders import LogOrderManager
from acaciarack.peers import rank_names
from acaciarack.platform import PlatformClients, platform_clients
from acaciarack.resource_limits import derive_limits
from acaciarack.resources import ResourceAccount
from acaciarack.settings import Settings, TlsFiles
from acaciarack.tls import build_server_context

CLIENT_MODULES = ("acaciarack.platform_http",)
"""Modules that register platform clients."""
EXIT_FAILURE = 1
"""The exit code of a node that could not start."""
SHUTDOWN_GRACE_PERIOD = timedelta(seconds=5)
"""The maximum time that a listener waits for open connections at shutdown.
``Node.run`` cancels the listeners as soon as the drain has ended."""
_LOG = logbook.Logger(__name__)


class Node:
    """One node, built from its settings."""

    def __init__(
        self,
        *,
        settings: Settings,
        clients: PlatformClients,
        clock: Clock,
        randomness: random.Random | None = None,
    ) -> None:
        """Binds the listeners and builds the components.

        Raises:
            ListenError: a listener cannot bind to its address.
            TlsError: a certificate cannot be used.
        """
        self._settings = settings
        self._clock = clock
        node_settings = settings.node
        self._caller_listener = self._bind_listener(
            node_settings.caller_port, settings.tls.caller
        )
        self._operator_listener = self._bind_listener(
            node_settings.operator_port, settings.tls.operator
        )
        self._link_listener = bind_listener(
            node_settings.host, node_settings.link_port
        )
        self.identity = Identity(
            node=node_settings.name,
            data_centre=node_settings.data_centre,
            incarnation=round(clock.now().timestamp() * 1000),
            host=node_settings.host,
            port=self._caller_listener.port,
        )
        self._ledger = LogLedger(
            log=clients.log,
            clock=clock,
            node=node_settings.name,
            retention=timedelta(seconds=settings.platform.retention_seconds),
        )
        self.cluster: Cluster = build_cluster(
            settings=settings,
            identity=self.identity,
            link_port=self._link_listener.port,
            clients=clients,
            clock=clock,
            randomness=randomness or random.Random(),
        )
        self._leases = LeaseManager(
            log=clients.log,
            clock=clock,
            node=node_settings.name,
            retention=timedelta(seconds=settings.platform.retention_seconds),
        )
        self._order_manager = self._build_order_manager(clients)
        self._resources = ResourceAccount(
            limits=derive_limits(
                memory_megabytes=settings.limits.memory_megabytes,
                max_descriptors=settings.limits.max_descriptors,
            ),
            clock=clock,
        )
        self._applications: Applications = build_applications(
            settings=settings,
            account=self._resources,
            identity=self.identity,
            cluster=self.cluster,
            ledger=self._ledger,
            orders=self._order_manager,
            clock=clock,
        )

    @property
    def caller_port(self) -> int:
        """The TCP port for callers."""
        return self._caller_listener.port

    @property
    def operator_port(self) -> int:
        """The TCP port for operators."""
        return self._operator_listener.port

    @property
    def link_port(self) -> int:
        """The TCP port for links from other nodes."""
        return self._link_listener.port

    def stop(self) -> None:
        """Starts the drain; ``run`` returns when no request is in flight."""
        self.cluster.membership.mark_leaving()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until the node has been drained or the task is cancelled."""
        async with trio.open_nursery() as nursery:
            for task in self._list_tasks():
                nursery.start_soon(task)
            self._start_reloaders(nursery)
            links = [
                trio.SocketListener(
                    self._create_trio_socket(self._link_listener)
                )
            ]
            nursery.start_soon(
                partial(trio.serve_listeners, self.cluster.links.serve, links)
            )
            drained = trio.Event()
            await nursery.start(self._serve_operators)
            await nursery.start(self._serve_callers, drained)
            _LOG.info("node {} accepts requests", self.identity.node)
            task_status.started()
            await self._applications.node_drain.run()
            drained.set()
            await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()

    def _list_tasks(self) -> tuple[Task, ...]:
        return (
            *self.cluster.tasks,
            *self._applications.tasks,
            self._ledger.run,
            self._leases.run,
            self._order_manager.run,
        )

    def _is_executor(self, target: str) -> bool:
        """Returns whether this node executes the orders to a target.

        The executor is the node that ranks first for the target, among the
        live nodes in the target's data centre if there are any.
        """
        targets = self.cluster.store.current().targets
        live = self.cluster.membership.group_live()
        local_nodes = (
            live.get(targets[target].data_centre) if target in targets else ()
        )
        candidates = local_nodes or [
            name for group in live.values() for name in group
        ]
        return rank_names(f"order|{target}", candidates)[:1] == [
            self.identity.node
        ]

    def _build_order_manager(self, clients: PlatformClients) -> LogOrderManager:
        return LogOrderManager(
            leases=self._leases,
            sender=HttpOrderSender(),
            weights=clients.weights,
            clock=self._clock,
            get_configuration=self.cluster.store.current,
            is_executor=self._is_executor,
        )

    def _bind_listener(self, port: int, files: TlsFiles | None) -> Listener:
        return bind_listener(
            self._settings.node.host, port, context=build_server_context(files)
        )

    def _create_trio_socket(self, listener: Listener) -> trio.socket.SocketType:
        return trio.socket.from_stdlib_socket(listener.socket)

    def _start_reloaders(self, nursery: trio.Nursery) -> None:
        tls = self._settings.tls
        pairs = (
            (self._caller_listener, tls.caller),
            (self._operator_listener, tls.operator),
        )
        for listener, files in pairs:
            if listener.context is None or files is None:
                continue
            reloader = CertificateReloader(
                context=listener.context, files=files, clock=self._clock
            )
            nursery.start_soon(reloader.run)

    async def _serve_callers(
        self,
        drained: trio.Event,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve_listener(
            self._applications.caller,
            self._caller_listener,
            shutdown=drained.wait,
            grace=SHUTDOWN_GRACE_PERIOD,
            account=self._resources,
            request_descriptors=1,
            task_status=task_status,
        )

    async def _serve_operators(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await serve_listener(
            self._applications.operator,
            self._operator_listener,
            shutdown=trio.sleep_forever,
            grace=SHUTDOWN_GRACE_PERIOD,
            account=self._resources,
            task_status=task_status,
        )


def run_node(settings: Settings) -> int:
    """Runs a node until it has been drained.

    SIGTERM or SIGINT starts the drain, and a second SIGINT stops the node at
    once. SIGHUP, and SIGTERM during the drain, change nothing. A drain by an
    operator or through the VM list ends the node too.

    Returns:
        The exit code.
    """
    clock = SystemClock()
    start_logs(level=settings.logs.level, clock=clock, node=settings.node.name)
    try:
        trio.run(_run_until_signal, settings, clock)
    except AcaciarackError as error:
        _LOG.critical("node could not start: {}", error)
        return EXIT_FAILURE
    except (Exception, BaseExceptionGroup):
        _LOG.critical("node ended by an error", exc_info=True)
        return EXIT_FAILURE
    return 0


async def _run_until_signal(settings: Settings, clock: Clock) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        node = Node(
            settings=settings, clients=build_clients(settings), clock=clock
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, node, nursery)
            await node.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[int], node: Node, nursery: trio.Nursery
) -> None:
    interrupts = 0
    is_stopping = False
    async for number in signals:
        interrupts += number == signal.SIGINT
        outcome = "no change"
        if interrupts > 1:
            outcome = "exit"
            nursery.cancel_scope.cancel()
        elif number != signal.SIGHUP and not is_stopping:
            outcome = "drain"
            is_stopping = True
            node.stop()
        _LOG.info(
            "signal received",
            extra={"signal": signal.Signals(number).name, "outcome": outcome},
        )


def build_clients(settings: Settings) -> PlatformClients:
    """Builds the platform clients that the settings select."""
    for name in CLIENT_MODULES:
        importlib.import_module(name)
    platform = settings.platform
    return platform_clients.create(
        platform.client,
        log_url=platform.build_url(platform.log),
        vms_url=platform.build_url(platform.vm_list),
        weights_url=platform.build_url(platform.weight_store),
        timeout=timedelta(seconds=settings.timeouts.platform_seconds),
    )
