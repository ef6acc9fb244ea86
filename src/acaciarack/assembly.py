"""Builds what a node serves to callers and to operators."""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.accesslog import AccessLog
from acaciarack.applications import HttpApplicationClient
from acaciarack.budgets import RetryBudgets
from acaciarack.clock import Clock
from acaciarack.cluster import Cluster, Task
from acaciarack.departures import Departures
from acaciarack.desks import OrderDesk
from acaciarack.directory import Directory
from acaciarack.drains import Departure
from acaciarack.engines import target_protocols
from acaciarack.entries import EntryHandler
from acaciarack.errors import Refusal
from acaciarack.explanations import Explanations
from acaciarack.generations import GenerationParts
from acaciarack.handshakes import Identity
from acaciarack.inflight import InFlight
from acaciarack.keys import KeyIndex
from acaciarack.ledger import LogLedger
from acaciarack.limits import InFlight as OrganisationLimits
from acaciarack.metrics import Metrics
from acaciarack.observations import ObservationSink, RequestObservation
from acaciarack.operators import build_operator_mounts
from acaciarack.peering import LinkAnnouncer
from acaciarack.reports import ReportPart, reports
from acaciarack.responses import Responses
from acaciarack.seals import Sealer, SealKey
from acaciarack.service_runs import ServiceParts
from acaciarack.services import Services
from acaciarack.settings import Settings
from acaciarack.streams import Follower, ReconnectLimits
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
    """What a node serves.

    Attributes:
        caller: for callers.
        operator: for operators and for what collects metrics.
        departure: ends when a planned stop has cut nothing.
        tasks: run for as long as the node runs.
    """

    caller: AsgiApp
    operator: AsgiApp
    departure: Departure
    tasks: tuple[Task, ...]


class _Work(InFlight):
    """Connections being served, and what goes on without its caller."""

    def __init__(
        self, *, limits: OrganisationLimits, count_calls: Callable[[], int]
    ) -> None:
        super().__init__()
        self._limits = limits
        self._count_calls = count_calls

    @property
    def count(self) -> int:
        return max(super().count, self._limits.total, self._count_calls())


class _CountedApp:
    """Holds a request in flight until its last byte is written."""

    def __init__(self, *, app: App, work: InFlight) -> None:
        self._app = app
        self._work = work

    async def __call__(
        self, scope: dict[str, object], receive: Receive, send: Send
    ) -> None:
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        with self._work.hold():
            await self._app(scope, receive, send)


@dataclass(frozen=True, kw_only=True)
class _Shared:
    """What the parts for callers share."""

    settings: Settings
    cluster: Cluster
    clock: Clock
    keys: KeyIndex
    limits: OrganisationLimits
    budgets: RetryBudgets
    observe: ObservationSink


def build_applications(
    *,
    settings: Settings,
    identity: Identity,
    cluster: Cluster,
    ledger: LogLedger,
    orders: OrderDesk,
    clock: Clock,
) -> Applications:
    """Builds the applications; their tasks are not started."""
    metrics = Metrics()
    budgets = RetryBudgets()
    explanations = Explanations(links=cluster.links)
    burn = _build_burn_report(cluster)
    limits = OrganisationLimits(max_total=settings.limits.max_requests)
    shared = _Shared(
        settings=settings,
        cluster=cluster,
        clock=clock,
        keys=KeyIndex(configuration=cluster.store.current),
        limits=limits,
        budgets=budgets,
        observe=_join_sinks(
            (metrics.observe, budgets.observe, explanations, burn.observe)
        ),
    )
    work = _Work(limits=limits, count_calls=ledger.count_active)
    departure = Departure(
        leaver=cluster.membership,
        in_flight=work,
        clock=clock,
        lifetime=_get_entry_lifetime(settings),
    )
    responses = _build_responses(shared)
    services = _build_services(shared, ledger)
    caller = _build_caller_app(
        settings,
        cluster,
        departure,
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
        caller=_CountedApp(app=caller, work=work),
        operator=operator,
        departure=departure,
        tasks=(responses.run, burn.run),
    )


def _build_burn_report(cluster: Cluster) -> ReportPart:
    for name in REPORT_MODULES:
        importlib.import_module(name)
    return reports.create(BURN_REPORT, context=cluster.report_context)


def _build_caller_app(
    settings: Settings,
    cluster: Cluster,
    departure: Departure,
    endpoints: list[Endpoint],
) -> App:
    entries = EntryHandler(
        source=cluster.membership,
        data_centre=settings.node.data_centre,
        lifetime=_get_entry_lifetime(settings),
    )
    guarded = [_guard_endpoint(item, departure) for item in endpoints]
    return App(
        endpoints=[entries.build_endpoint(), *guarded],
        max_body_bytes=settings.limits.max_body_bytes,
    )


def _get_entry_lifetime(settings: Settings) -> timedelta:
    return timedelta(seconds=settings.node.entry_lifetime_seconds)


def _build_services(shared: _Shared, ledger: LogLedger) -> Services:
    settings = shared.settings
    parts = ServiceParts(
        clock=shared.clock,
        node=settings.node.name,
        configuration=shared.cluster.store.current,
        placer=shared.cluster.placer,
        client=HttpApplicationClient(
            timeouts=_build_timeouts(settings),
            max_answer_bytes=settings.limits.max_answer_bytes,
        ),
        ledger=ledger,
        budget=shared.budgets,
        observe=shared.observe,
    )
    return Services(parts=parts, keys=shared.keys, in_flight=shared.limits)


def _build_responses(shared: _Shared) -> Responses:
    settings, cluster = shared.settings, shared.cluster
    announcer = LinkAnnouncer(links=cluster.links)
    departures = Departures(node=settings.node.name, announcer=announcer)
    announcer.serve(departures)
    client = target_protocols.create(
        ENGINE_PROTOCOL, timeouts=_build_timeouts(settings)
    )
    parts = GenerationParts(
        clock=shared.clock,
        node=settings.node.name,
        configuration=cluster.store.current,
        placer=cluster.placer,
        client=client,
        follower=Follower(client=client, limits=ReconnectLimits()),
        sealer=_build_sealer(settings),
        budget=shared.budgets,
        departures=departures,
        observe=shared.observe,
    )
    return Responses(
        parts=parts,
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


def _join_sinks(sinks: tuple[ObservationSink, ...]) -> ObservationSink:
    def observe(observation: RequestObservation) -> None:
        for sink in sinks:
            sink(observation)

    return AccessLog(sink=observe)


def _guard_endpoint(endpoint: Endpoint, departure: Departure) -> Endpoint:
    """Refuses new work on a node that has left the entry lists."""
    if endpoint.method == "GET" or endpoint.pattern.endswith("/cancel"):
        return endpoint

    async def check_and_handle(
        request: Request,
    ) -> Reply | StreamReply | Refusal:
        return departure.check() or await endpoint.handler(request)

    return Endpoint(
        method=endpoint.method,
        pattern=endpoint.pattern,
        handler=check_and_handle,
    )
