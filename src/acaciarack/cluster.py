"""Builds the links, configuration store, membership and placer of a node."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.admission import AdmissionSettings
from acaciarack.clock import Clock
from acaciarack.configuration_peers import LinkedPeers
from acaciarack.handshakes import Identity
from acaciarack.lengths import LengthSettings
from acaciarack.links import LinkManager, TcpConnector
from acaciarack.load_exchange import LoadExchange
from acaciarack.load_report_store import AgedReport, LoadReportStore
from acaciarack.membership import Membership
from acaciarack.peering import StoreView, VersionMonitor
from acaciarack.placement_exchange import PlacementExchange
from acaciarack.placer import QueueingPlacer
from acaciarack.platform import PlatformClients
from acaciarack.policies import routing_policies
from acaciarack.publication import ConfigurationStore
from acaciarack.queues import PlacerSettings
from acaciarack.reports import ReportContext
from acaciarack.settings import Settings, TlsFiles
from acaciarack.tls import build_client_context, build_server_context
from acaciarack.watchers import HttpTargetFeed

Task = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Cluster:
    """The components of a node that interact with other nodes and targets.

    Attributes:
        links: the links to other nodes.
        store: the store of the configuration in force.
        membership: the states of nodes and targets.
        placer: decides which target runs a request.
        report_context: the components from which reports are built.
        tasks: background tasks that run as long as the node.
    """

    links: LinkManager
    store: ConfigurationStore
    membership: Membership
    placer: QueueingPlacer
    report_context: ReportContext
    tasks: tuple[Task, ...]


def build_cluster(
    *,
    settings: Settings,
    identity: Identity,
    link_port: int,
    clients: PlatformClients,
    clock: Clock,
    randomness: random.Random,
) -> Cluster:
    """Builds the components; the caller starts their tasks."""
    links = _build_links(settings, identity)
    store = _build_store(settings, links, clients, clock, randomness)
    membership = Membership(
        identity=identity,
        links=links,
        link_port=link_port,
        vm_list=clients.vms,
        configuration=StoreView(store=store),
        clock=clock,
    )
    placer = QueueingPlacer(
        clock=clock,
        get_configuration=store.current,
        is_available=membership.is_target_available,
        settings=_build_placer_settings(settings),
        rng=randomness,
    )
    version_monitor = VersionMonitor(store=store, nodes=membership, clock=clock)
    placement_exchange = PlacementExchange(
        links=links,
        clock=clock,
        build_digest=placer.build_digest,
        record_digest=placer.record_digest,
    )
    load_exchange = _build_load_exchange(
        identity=identity,
        links=links,
        membership=membership,
        store=store,
        placer=placer,
        clock=clock,
    )
    return Cluster(
        links=links,
        store=store,
        membership=membership,
        placer=placer,
        report_context=ReportContext(
            identity=identity,
            links=links,
            members=membership,
            log=clients.log,
            clock=clock,
            get_configuration=store.current,
            retention=timedelta(seconds=settings.platform.retention_seconds),
        ),
        tasks=(
            links.run,
            store.run,
            membership.run,
            version_monitor.run,
            placement_exchange.run,
            load_exchange.run,
        ),
    )


def _build_links(settings: Settings, identity: Identity) -> LinkManager:
    files: TlsFiles | None = settings.tls.link
    return LinkManager(
        identity=identity,
        keys=[secret.read_bytes() for secret in settings.keys.link],
        connector=TcpConnector(context=build_client_context(files)),
        server_context=build_server_context(files),
    )


def _build_store(
    settings: Settings,
    links: LinkManager,
    clients: PlatformClients,
    clock: Clock,
    randomness: random.Random,
) -> ConfigurationStore:
    platform, timeouts = settings.platform, settings.timeouts
    peers = LinkedPeers(links=links, randomness=randomness)
    store = ConfigurationStore(
        log=clients.log,
        clock=clock,
        peers=peers,
        policies=routing_policies.list_names(),
        retention=timedelta(seconds=platform.retention_seconds),
        read_wait=timedelta(seconds=timeouts.log_wait_seconds),
        platform_timeout=timedelta(seconds=timeouts.platform_seconds),
        randomness=randomness,
    )
    peers.serve(store)
    return store


def _build_placer_settings(settings: Settings) -> PlacerSettings:
    placement = settings.placement
    return PlacerSettings(
        node=settings.node.name,
        data_centre=settings.node.data_centre,
        admission=AdmissionSettings(
            quantile=placement.quantile,
            stale=timedelta(seconds=placement.report_limit_seconds),
        ),
        lengths=LengthSettings(
            prior_median_tokens=placement.prior_median_tokens
        ),
        max_queued=placement.max_queue,
        wait_factor=placement.wait_factor,
    )


def _build_load_exchange(
    *,
    identity: Identity,
    links: LinkManager,
    membership: Membership,
    store: ConfigurationStore,
    placer: QueueingPlacer,
    clock: Clock,
) -> LoadExchange:
    report_store = LoadReportStore(clock=clock)

    def record_report(aged: AgedReport) -> None:
        placer.record_report(aged.report)

    report_store.add_listener(record_report)
    return LoadExchange(
        identity=identity,
        links=links,
        membership=membership,
        configuration=StoreView(store=store),
        feed=HttpTargetFeed(),
        report_store=report_store,
        clock=clock,
        reservations=placer.count_reserved,
        cache_sink=placer.record_cache_event,
    )
