"""The node: starts its parts and stops them without cutting a request."""

import importlib
import random
import signal
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
from acaciarack.leases import Leases
from acaciarack.ledger import LogLedger
from acaciarack.listeners import Listener, bind_listener, serve_listener
from acaciarack.logs import start_logs
from acaciarack.order_sender import HttpOrderSender
from acaciarack.orders import LogOrderDesk
from acaciarack.peers import rank_names
from acaciarack.platform import PlatformClients, platform_clients
from acaciarack.settings import Settings, TlsFiles
from acaciarack.tls import build_server_context

PLUGINS = ("acaciarack.platform_http",)
"""Modules that register platform clients."""
FAILED = 1
"""The exit code of a node that could not start."""
STOP_GRACE = timedelta(seconds=5)
_LOG = logbook.Logger(__name__)


class Node:
    """One node, from its settings."""

    def __init__(
        self,
        *,
        settings: Settings,
        clients: PlatformClients,
        clock: Clock,
        randomness: random.Random | None = None,
    ) -> None:
        """Binds the listeners and builds the parts.

        Raises:
            ListenError: an address cannot be listened on.
            TlsError: a certificate cannot be used.
        """
        self._settings = settings
        self._clock = clock
        table = settings.node
        self._caller = self._bind(table.caller_port, settings.tls.caller)
        self._operator = self._bind(table.operator_port, settings.tls.operator)
        self._link = bind_listener(table.host, table.link_port)
        self.identity = Identity(
            node=table.name,
            data_centre=table.data_centre,
            incarnation=round(clock.now().timestamp() * 1000),
            host=table.host,
            port=self._caller.port,
        )
        self._ledger = LogLedger(
            log=clients.log,
            clock=clock,
            node=table.name,
            retention=timedelta(seconds=settings.platform.retention_seconds),
        )
        self.cluster: Cluster = build_cluster(
            settings=settings,
            identity=self.identity,
            link_port=self._link.port,
            clients=clients,
            clock=clock,
            randomness=randomness or random.Random(),
        )
        self._leases = Leases(
            log=clients.log,
            clock=clock,
            node=table.name,
            retention=timedelta(seconds=settings.platform.retention_seconds),
        )
        self._desk = self._build_desk(clients)
        self._applications: Applications = build_applications(
            settings=settings,
            identity=self.identity,
            cluster=self.cluster,
            ledger=self._ledger,
            orders=self._desk,
            clock=clock,
        )

    @property
    def caller_port(self) -> int:
        """The TCP port for callers."""
        return self._caller.port

    @property
    def operator_port(self) -> int:
        """The TCP port for operators."""
        return self._operator.port

    @property
    def link_port(self) -> int:
        """The TCP port for links from other nodes."""
        return self._link.port

    def stop(self) -> None:
        """Begins a planned stop; ``run`` returns when nothing is in flight."""
        self.cluster.membership.mark_leaving()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until a planned stop has ended or the task is cancelled."""
        async with trio.open_nursery() as nursery:
            for task in self._list_tasks():
                nursery.start_soon(task)
            self._start_reloaders(nursery)
            links = [trio.SocketListener(self._wrap(self._link))]
            nursery.start_soon(
                partial(trio.serve_listeners, self.cluster.links.serve, links)
            )
            left = trio.Event()
            await nursery.start(self._serve_operators)
            await nursery.start(self._serve_callers, left)
            _LOG.info("{} serves callers", self.identity.node)
            task_status.started()
            await self._applications.departure.run()
            left.set()
            await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()

    def _list_tasks(self) -> tuple[Task, ...]:
        return (
            *self.cluster.tasks,
            *self._applications.tasks,
            self._ledger.run,
            self._leases.run,
            self._desk.run,
        )

    def _is_executor(self, target: str) -> bool:
        """Whether this node comes first for orders to a target."""
        targets = self.cluster.store.current().targets
        live = self.cluster.membership.group_live()
        near = (
            live.get(targets[target].data_centre) if target in targets else ()
        )
        names = near or [name for group in live.values() for name in group]
        return rank_names(f"order|{target}", names)[:1] == [self.identity.node]

    def _build_desk(self, clients: PlatformClients) -> LogOrderDesk:
        return LogOrderDesk(
            leases=self._leases,
            sender=HttpOrderSender(),
            weights=clients.weights,
            clock=self._clock,
            get_configuration=self.cluster.store.current,
            is_executor=self._is_executor,
        )

    def _bind(self, port: int, files: TlsFiles | None) -> Listener:
        return bind_listener(
            self._settings.node.host, port, context=build_server_context(files)
        )

    def _wrap(self, listener: Listener) -> trio.socket.SocketType:
        return trio.socket.from_stdlib_socket(listener.socket)

    def _start_reloaders(self, nursery: trio.Nursery) -> None:
        tls = self._settings.tls
        pairs = ((self._caller, tls.caller), (self._operator, tls.operator))
        for listener, files in pairs:
            if listener.context is None or files is None:
                continue
            reloader = CertificateReloader(
                context=listener.context, files=files, clock=self._clock
            )
            nursery.start_soon(reloader.run)

    async def _serve_callers(
        self,
        left: trio.Event,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve_listener(
            self._applications.caller,
            self._caller,
            shutdown=left.wait,
            grace=STOP_GRACE,
            task_status=task_status,
        )

    async def _serve_operators(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await serve_listener(
            self._applications.operator,
            self._operator,
            shutdown=trio.sleep_forever,
            grace=STOP_GRACE,
            task_status=task_status,
        )


def run_node(settings: Settings) -> int:
    """Runs a node until SIGTERM or SIGINT has drained it.

    A second signal stops it at once.

    Returns:
        The exit code.
    """
    clock = SystemClock()
    start_logs(level=settings.logs.level, clock=clock, node=settings.node.name)
    try:
        trio.run(_run_until_signal, settings, clock)
    except AcaciarackError as error:
        _LOG.critical("the node cannot run: {}", error)
        return FAILED
    return 0


async def _run_until_signal(settings: Settings, clock: Clock) -> None:
    node = Node(settings=settings, clients=build_clients(settings), clock=clock)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_and_cancel, node, nursery.cancel_scope)
            await anext(signals)
            node.stop()
            await anext(signals)
            nursery.cancel_scope.cancel()


async def _run_and_cancel(node: Node, scope: trio.CancelScope) -> None:
    await node.run()
    scope.cancel()


def build_clients(settings: Settings) -> PlatformClients:
    """Builds the clients of the platform that the settings name."""
    for name in PLUGINS:
        importlib.import_module(name)
    platform = settings.platform
    return platform_clients.create(
        platform.client,
        log_url=platform.build_url(platform.log),
        vms_url=platform.build_url(platform.vm_list),
        weights_url=platform.build_url(platform.weight_store),
        timeout=timedelta(seconds=settings.timeouts.platform_seconds),
    )
