"""Builds deployments of any size in memory for the slope cases."""

import random
from collections.abc import Coroutine
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

import trio

from acaciarack.admission import AdmissionSettings
from acaciarack.clock import ManualClock
from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    Organisation,
    Route,
    Service,
    ServiceKind,
    Target,
    TargetKind,
)
from acaciarack.decisions import DecisionCore
from acaciarack.handshakes import Identity
from acaciarack.keys import hash_key
from acaciarack.links import LinkManager, PeerAddress
from acaciarack.load_exchange import LoadExchange
from acaciarack.load_report_store import LoadReportStore
from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.member_states import MemberState
from acaciarack.membership import Membership
from acaciarack.membership_messages import (
    CONFIGURATION_DIGEST_BYTES,
    NodeNews,
    Standing,
)
from acaciarack.messages import (
    Frame,
    FrameDecoder,
    Message,
    MessageCodec,
    Purpose,
)
from acaciarack.placement import PlacementRequest
from acaciarack.platform import Vm, VmState
from acaciarack.queues import PlacerSettings
from acaciarack.watchers import HttpTargetFeed

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
DATA_CENTRES = 9
MODELS = 6
LOCAL_NODE = "node-0000"
LOADED_MODELS = (LoadedModel(model="model-0", version="2026-01"),)


class FailingConnector:
    """A connector that cannot reach any peer."""

    async def connect(self, address: PeerAddress) -> trio.abc.Stream:
        """Raises ``OSError``."""
        raise OSError(f"{address} cannot be reached")


class EmptyVmList:
    """An empty VM list."""

    async def fetch(self) -> tuple[Vm, ...]:
        """Returns no VMs."""
        return ()


class CountingLinks(LinkManager):
    """Links that encode each message, count its bytes and drop it."""

    def __init__(self, *, identity: Identity) -> None:
        super().__init__(
            identity=identity, keys=(bytes(32),), connector=FailingConnector()
        )
        self.linked: tuple[Identity, ...] = ()
        self.sent_bytes = 0

    def list_linked_peers(self) -> tuple[Identity, ...]:
        """Returns the peers in ``linked``."""
        return self.linked

    def send(self, peer: str, message: Message) -> bool:
        """Encodes a message and counts its bytes."""
        frame = Frame(purpose=Purpose.POST, message=message)
        self.sent_bytes += len(self._codec.encode(frame))
        return True

    def encode(self, message: Message) -> bytes:
        """Returns the encoded frame of a posted message."""
        return self._codec.encode(Frame(purpose=Purpose.POST, message=message))

    def deliver(self, peer: Identity, data: bytes) -> None:
        """Decodes a frame and runs the handler of its message."""
        for decoded in FrameDecoder().decode(data):
            message = self._codec.decode(decoded.value).message
            assert message is not None
            run_synchronously(self._handlers[type(message)](peer, message))


@dataclass(frozen=True, kw_only=True)
class StaticConfigurationView:
    """A configuration that does not change."""

    configuration: Configuration

    def get_configuration(self) -> Configuration:
        """Returns the configuration."""
        return self.configuration

    def get_digest(self) -> bytes:
        """Returns a constant digest."""
        return bytes(8)


@dataclass(frozen=True, kw_only=True)
class BuiltNode:
    """The parts of one node that hold state of other nodes and targets."""

    clock: ManualClock
    links: CountingLinks
    membership: Membership
    report_store: LoadReportStore
    exchange: LoadExchange


def run_synchronously(call: Any) -> None:
    """Runs a coroutine to its end.

    Raises:
        RuntimeError: the coroutine waits.
    """
    assert isinstance(call, Coroutine)
    try:
        call.send(None)
    except StopIteration:
        return
    raise RuntimeError("coroutine yielded; it must finish without waiting")


def measure_frame(message: Message) -> int:
    """Returns the size of a posted message's frame, in bytes."""
    codec = MessageCodec()
    return len(codec.encode(Frame(purpose=Purpose.POST, message=message)))


def make_identity(number: int, *, data_centres: int = DATA_CENTRES) -> Identity:
    """Makes a node identity; nodes alternate between the data centres."""
    return Identity(
        node=f"node-{number:04}",
        data_centre=f"centre-{number % data_centres}",
        incarnation=1_800_000_000_000,
        host=f"10.{number // 250}.{number % 250}.1",
        port=8443,
    )


def make_node_news(
    number: int, *, data_centres: int = DATA_CENTRES
) -> NodeNews:
    """Makes the gossip entry of a live node."""
    return NodeNews(
        identity=make_identity(number, data_centres=data_centres),
        standing=Standing(
            state=MemberState.LIVE,
            sequence=1,
            configuration_version=1_000_000,
            configuration_digest=bytes(CONFIGURATION_DIGEST_BYTES),
        ),
    )


def make_configuration(
    *,
    targets: int = 0,
    organisations: int = 1,
    data_centres: int = DATA_CENTRES,
) -> Configuration:
    """Makes a configuration; each organisation has a key and a model choice."""
    names = [f"organisation-{number:05}" for number in range(organisations)]
    choices = [
        ModelChoice(
            name=f"choice-{name}",
            service="narratives",
            organisation=name,
            model=f"model-{number % MODELS}",
            version="2026-01",
        )
        for number, name in enumerate(names)
    ]
    configuration = Configuration(
        version=1_000_000,
        organisations={
            name: Organisation(name=name, key_hashes=(hash_key(name),))
            for name in names
        },
        services={
            "narratives": Service(
                name="narratives", kind=ServiceKind.GENERATION
            )
        },
        model_choices={choice.name: choice for choice in choices},
        routes={"r": Route(name="r", service="narratives", pool="pool")},
        targets={
            each.name: each
            for each in (make_target(n, data_centres) for n in range(targets))
        },
    )
    configuration.modified.update(
        {f"organisation/{name}": n + 1 for n, name in enumerate(names)}
    )
    return configuration


def make_target(number: int, data_centres: int) -> Target:
    """Makes an engine; engines alternate between the data centres."""
    return Target(
        name=f"engine-{number:04}",
        kind=TargetKind.ENGINE,
        host=f"10.99.{number // 250}.{number % 250}",
        port=8000,
        data_centre=f"centre-{number % data_centres}",
        pool="pool",
    )


def make_report(name: str, clock: ManualClock) -> LoadReport:
    """Makes the load report of a busy engine."""
    return LoadReport(
        target=name,
        time=clock.now(),
        capacity_tokens=450_000,
        used_tokens=200_000,
        running=100,
        waiting=0,
        preemptions=100,
        step_seconds=0.045,
        loaded=LOADED_MODELS,
    )


def build_node(
    *, nodes: int, targets: int, data_centres: int = DATA_CENTRES
) -> BuiltNode:
    """Builds a node that knows all nodes and targets."""
    clock = ManualClock(epoch=EPOCH)
    identity = make_identity(0, data_centres=data_centres)
    links = CountingLinks(identity=identity)
    view = StaticConfigurationView(
        configuration=make_configuration(
            targets=targets, data_centres=data_centres
        )
    )
    membership = Membership(
        identity=identity,
        links=links,
        link_port=8444,
        vm_list=EmptyVmList(),
        configuration=view,
        clock=clock,
    )
    report_store = LoadReportStore(clock=clock)
    exchange = LoadExchange(
        identity=identity,
        links=links,
        membership=membership,
        configuration=view,
        feed=HttpTargetFeed(),
        report_store=report_store,
        clock=clock,
        reservations=dict,
        cache_sink=lambda event: None,
    )
    membership.pause_detector.mark_running()
    membership.apply_vm_list(_make_vms(nodes, data_centres))
    for number in range(1, nodes):
        membership.record_node(
            make_node_news(number, data_centres=data_centres)
        )
    for name in view.configuration.targets:
        membership.record_target_report(name, leaving=False)
    return BuiltNode(
        clock=clock,
        links=links,
        membership=membership,
        report_store=report_store,
        exchange=exchange,
    )


def _make_vms(nodes: int, data_centres: int) -> list[Vm]:
    identities = [
        make_identity(n, data_centres=data_centres) for n in range(nodes)
    ]
    return [
        Vm(
            name=identity.node,
            role="node",
            host=identity.host,
            data_centre=identity.data_centre,
            state=VmState.LIVE,
        )
        for identity in identities
    ]


def build_core(
    configuration: Configuration, clock: ManualClock
) -> DecisionCore:
    """Builds a decision core that has a load report of every target."""
    core = DecisionCore(
        clock=clock,
        get_configuration=lambda: configuration,
        is_available=lambda name: True,
        settings=PlacerSettings(
            node=LOCAL_NODE, admission=AdmissionSettings(quantile=0.9)
        ),
        rng=random.Random(1),
    )
    for name in configuration.targets:
        core.record_report(make_report(name, clock))
    return core


def make_request(
    number: int, configuration: Configuration, clock: ManualClock
) -> PlacementRequest:
    """Makes a request for a generation."""
    organisations = tuple(configuration.organisations)
    organisation = organisations[number % len(organisations)]
    return PlacementRequest(
        request_id=f"request-{number}",
        organisation=organisation,
        service=configuration.services["narratives"],
        route=configuration.routes["r"],
        choice=ModelChoice(
            name="c", service="narratives", model="model-0", version="2026-01"
        ),
        prompt_tokens=400,
        max_output_tokens=4000,
        arrived=clock.now(),
        deadline=timedelta(seconds=30),
    )
