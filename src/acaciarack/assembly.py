"""Builds the ASGI applications for callers and for operators."""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.accesslog import AccessLog
from acaciarack.applications import HttpApplicationClient
from acaciarack.budgets import RetryBudgets
from acaciarack.clock import Clock
from acaciarack.cluster import Cluster, Task
from acaciarack.directory import Directory
from acaciarack.drains import NodeDrain
from acaciarack.engines import target_protocols
from acaciarack.entries import EntryHandler
from acaciarack.errors import Refusal
from acaciarack.explanations import ExplanationStore
from acaciarack.generations import GenerationDependencies
from acaciarack.handshakes import Identity
from acaciarack.inflight import InFlight
from acaciarack.keys import KeyIndex
from acaciarack.ledger import LogLedger
from acaciarack.limits import RequestLimiter
from acaciarack.metrics import Metrics
from acaciarack.observations import ObservationSink, RequestObservation
from acaciarack.operator_interfaces import OrderManager
from acaciarack.operators import build_operator_mounts
from acaciarack.peering import LinkAnnouncer
from acaciarack.reports import ReportComponent, reports
from acaciarack.resources import (
    REQUEST_BYTES,
    TARGET_CONNECTION_BYTES,
    ResourceAccount,
)
from acaciarack.responses import ResponsesHandler
from acaciarack.resume_tracker import ResumeTracker
from acaciarack.seals import Sealer, SealKey
from acaciarack.service_runs import ServiceDependencies
from acaciarack.services import Services
from acaciarack.settings import Settings
from acaciarack.streams import GenerationReader, ReconnectLimits
from acaciarack.transports import Timeouts
from acaciarack.web import (
    App,
    AsgiApp,
    Endpoint,
    Receive,
    Reply,
    Request,
    Send,
    StreamReply,
)

ENGINE_PROTOCOL = "responses"
REPORT_MODULES = ("acaciarack.burn",)
"""Modules that register reports."""
BURN_REPORT = "burn"


@dataclass(frozen=True, kw_only=True)
class Applications:
    """The applications of a node and their background tasks.

    Attributes:
        caller: for callers.
        operator: for operators and metrics collectors.
        node_drain: drains the node before it stops.
        tasks: background tasks that run as long as the node.
    """

    caller: AsgiApp
    operator: AsgiApp
    node_drain: NodeDrain
    tasks: tuple[Task, ...]


class _ActiveWork(InFlight):
    """Counts all work that must end before the node stops.

    This includes generations and service runs that continue after their
    caller has disconnected. The three counts overlap, so ``count`` is the
    largest of them. It is 0 only when no work is left.
    """

    def __init__(
        self, *, limits: RequestLimiter, count_calls: Callable[[], int]
    ) -> None:
        super().__init__()
        self._limits = limits
        self._count_calls = count_calls

    @property
    def count(self) -> int:
        return max(super().count, self._limits.total, self._count_calls())


class _TrackedApp:
    """Counts each HTTP request as in flight until its response is written."""

    def __init__(self, *, app: App, in_flight: InFlight) -> None:
        self._app = app
        self._in_flight = in_flight

    async def __call__(
        self, scope: dict[str, object], receive: Receive, send: Send
    ) -> None:
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        with self._in_flight.track():
            await self._app(scope, receive, send)


@dataclass(frozen=True, kw_only=True)
class _SharedDependencies:
    """Dependencies that the handlers for callers share."""

    settings: Settings
    account: ResourceAccount
    cluster: Cluster
    clock: Clock
    keys: KeyIndex
    limits: RequestLimiter
    budgets: RetryBudgets
    observe: ObservationSink


def build_applications(
    *,
    settings: Settings,
    account: ResourceAccount,
    identity: Identity,
    cluster: Cluster,
    ledger: LogLedger,
    orders: OrderManager,
    clock: Clock,
) -> Applications:
    """Builds the applications without starting their tasks."""
    metrics = Metrics()
    budgets = RetryBudgets()
    explanations = ExplanationStore(links=cluster.links)
    burn = _build_burn_report(cluster)
    limits = RequestLimiter(max_total=_count_requests(settings, account))
    shared = _SharedDependencies(
        settings=settings,
        account=account,
        cluster=cluster,
        clock=clock,
        keys=KeyIndex(configuration=cluster.store.current),
        limits=limits,
        budgets=budgets,
        observe=_combine_sinks(
            (metrics.observe, budgets.observe, explanations, burn.observe)
        ),
    )
    in_flight = _ActiveWork(limits=limits, count_calls=ledger.count_active)
    node_drain = NodeDrain(
        drain_status=cluster.membership,
        in_flight=in_flight,
        clock=clock,
        lifetime=_get_entry_lifetime(settings),
    )
    responses = _build_responses(shared)
    services = _build_services(shared, ledger)
    caller = _build_caller_app(
        settings,
        cluster,
        node_drain,
        [*responses.list_endpoints(), *services.list_endpoints()],
    )
    operator = App(
        endpoints=[metrics.build_endpoint()],
        mounts=build_operator_mounts(
            publisher=cluster.store,
            keys=settings.keys.operators,
            directory=Directory(identity=identity, cluster=cluster),
            orders=orders,
            explanations=explanations,
            burn=burn.reporter,
        ),
    )
    return Applications(
        caller=_TrackedApp(app=caller, in_flight=in_flight),
        operator=operator,
        node_drain=node_drain,
        tasks=(responses.run, burn.run),
    )


def _count_requests(settings: Settings, account: ResourceAccount) -> int:
    """Returns how many requests may run at the same time.

    A run goes on when its caller has left, and keeps its buffer until it ends.
    """
    run_bytes = (
        REQUEST_BYTES
        + TARGET_CONNECTION_BYTES
        + settings.limits.max_stream_buffer_bytes
    )
    return min(
        settings.limits.max_requests,
        max(1, account.limits.memory_bytes // run_bytes),
        max(1, account.limits.descriptors // 2),
    )


def _build_burn_report(cluster: Cluster) -> ReportComponent:
    for name in REPORT_MODULES:
        importlib.import_module(name)
    return reports.create(BURN_REPORT, context=cluster.report_context)


def _build_caller_app(
    settings: Settings,
    cluster: Cluster,
    node_drain: NodeDrain,
    endpoints: list[Endpoint],
) -> App:
    entries = EntryHandler(
        source=cluster.membership,
        data_centre=settings.node.data_centre,
        lifetime=_get_entry_lifetime(settings),
    )
    checked = [_add_drain_check(item, node_drain) for item in endpoints]
    return App(
        endpoints=[entries.build_endpoint(), *checked],
        max_body_bytes=settings.limits.max_body_bytes,
        body_timeout=timedelta(seconds=settings.timeouts.body_seconds),
    )


def _get_entry_lifetime(settings: Settings) -> timedelta:
    return timedelta(seconds=settings.node.entry_lifetime_seconds)


def _build_services(shared: _SharedDependencies, ledger: LogLedger) -> Services:
    settings = shared.settings
    service_dependencies = ServiceDependencies(
        clock=shared.clock,
        node=settings.node.name,
        configuration=shared.cluster.store.current,
        placer=shared.cluster.placer,
        client=HttpApplicationClient(
            timeouts=_build_timeouts(settings),
            max_answer_bytes=settings.limits.max_answer_bytes,
            account=shared.account,
        ),
        ledger=ledger,
        budget=shared.budgets,
        observe=shared.observe,
    )
    return Services(
        service_dependencies=service_dependencies,
        keys=shared.keys,
        in_flight=shared.limits,
    )


def _build_responses(shared: _SharedDependencies) -> ResponsesHandler:
    settings, cluster = shared.settings, shared.cluster
    announcer = LinkAnnouncer(links=cluster.links)
    resume_tracker = ResumeTracker(node=settings.node.name, announcer=announcer)
    announcer.serve(resume_tracker)
    client = target_protocols.create(
        ENGINE_PROTOCOL,
        timeouts=_build_timeouts(settings),
        account=shared.account,
    )
    dependencies = GenerationDependencies(
        clock=shared.clock,
        node=settings.node.name,
        configuration=cluster.store.current,
        placer=cluster.placer,
        client=client,
        generation_reader=GenerationReader(
            client=client, limits=ReconnectLimits()
        ),
        sealer=_build_sealer(settings),
        budget=shared.budgets,
        resume_tracker=resume_tracker,
        observe=shared.observe,
    )
    return ResponsesHandler(
        dependencies=dependencies,
        keys=shared.keys,
        in_flight=shared.limits,
        buffer_bytes=settings.limits.max_stream_buffer_bytes,
    )


def _build_sealer(settings: Settings) -> Sealer:
    return Sealer(
        keys=[
            SealKey(number=secret.number, secret=secret.read_bytes())
            for secret in settings.keys.sealing
        ]
    )


def _build_timeouts(settings: Settings) -> Timeouts:
    return Timeouts(
        connect=timedelta(seconds=settings.timeouts.connect_seconds),
        progress=timedelta(seconds=settings.timeouts.progress_seconds),
    )


def _combine_sinks(sinks: tuple[ObservationSink, ...]) -> ObservationSink:
    """Returns a sink that writes the access log, then calls all sinks."""

    def observe(observation: RequestObservation) -> None:
        for sink in sinks:
            sink(observation)

    return AccessLog(sink=observe)


def _add_drain_check(endpoint: Endpoint, node_drain: NodeDrain) -> Endpoint:
    """Wraps an endpoint so that a drained node refuses new requests.

    GET and cancel requests concern existing work and are always accepted.
    """
    if endpoint.method == "GET" or endpoint.pattern.endswith("/cancel"):
        return endpoint

    async def check_and_handle(
        request: Request,
    ) -> Reply | StreamReply | Refusal:
        return node_drain.check() or await endpoint.handler(request)

    return Endpoint(
        method=endpoint.method,
        pattern=endpoint.pattern,
        handler=check_and_handle,
    )
