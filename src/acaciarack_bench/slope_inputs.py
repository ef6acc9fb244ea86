"""Deployments of any size, built in memory for slopes."""

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
from acaciarack.facts import MemberState
from acaciarack.handshakes import Identity
from acaciarack.keys import hash_key
from acaciarack.links import Links, PeerAddress
from acaciarack.load_board import LoadBoard
from acaciarack.load_exchange import LoadExchange
from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.membership import Membership
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
from acaciarack.statements import DIGEST_BYTES, NodeNews, Standing
from acaciarack.watchers import HttpTargetFeed

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
DATA_CENTRES = 9
MODELS = 6
OWN = "node-0000"
LOADED = (LoadedModel(model="model-0", version="2026-01"),)


class NoConnector:
    """Opens nothing."""

    async def connect(self, address: PeerAddress) -> trio.abc.Stream:
        """Raises ``OSError``."""
        raise OSError(f"{address} cannot be reached")


class NoVms:
    """An empty VM list."""

    async def fetch(self) -> tuple[Vm, ...]:
        """Returns no VMs."""
        return ()


class CountingLinks(Links):
    """Links whose messages are encoded for each peer and then dropped."""

    def __init__(self, *, identity: Identity) -> None:
        super().__init__(
            identity=identity, keys=(bytes(32),), connector=NoConnector()
        )
        self.linked: tuple[Identity, ...] = ()
        self.sent_bytes = 0

    def list_linked(self) -> tuple[Identity, ...]:
        """Returns the peers that were set."""
        return self.linked

    def send(self, peer: str, message: Message) -> bool:
        """Encodes and counts a message."""
        frame = Frame(purpose=Purpose.POST, message=message)
        self.sent_bytes += len(self._codec.encode(frame))
        return True

    def encode(self, message: Message) -> bytes:
        """Returns the frame of a post."""
        return self._codec.encode(Frame(purpose=Purpose.POST, message=message))

    def deliver(self, peer: Identity, data: bytes) -> None:
        """Decodes a frame and runs its handler."""
        for decoded in FrameDecoder().decode(data):
            message = self._codec.decode(decoded.value).message
            assert message is not None
            run_at_once(self._handlers[type(message)](peer, message))


@dataclass(frozen=True, kw_only=True)
class FixedView:
    """A configuration that does not change."""

    configuration: Configuration

    def get_configuration(self) -> Configuration:
        """Returns it."""
        return self.configuration

    def get_digest(self) -> bytes:
        """Returns zeros."""
        return bytes(8)


@dataclass(frozen=True, kw_only=True)
class Built:
    """The parts of one node that know of others."""

    clock: ManualClock
    links: CountingLinks
    membership: Membership
    board: LoadBoard
    exchange: LoadExchange


def run_at_once(call: Any) -> None:
    """Runs a coroutine that does not wait."""
    assert isinstance(call, Coroutine)
    try:
        call.send(None)
    except StopIteration:
        return
    raise RuntimeError("the call waits")


def measure_frame(message: Message) -> int:
    """Returns the bytes of a post's frame."""
    codec = MessageCodec()
    return len(codec.encode(Frame(purpose=Purpose.POST, message=message)))


def make_identity(number: int, *, centres: int = DATA_CENTRES) -> Identity:
    """Makes a node; numbers are spread over the data centres."""
    return Identity(
        node=f"node-{number:04}",
        data_centre=f"centre-{number % centres}",
        incarnation=1_800_000_000_000,
        host=f"10.{number // 250}.{number % 250}.1",
        port=8443,
    )


def make_news(number: int, *, centres: int = DATA_CENTRES) -> NodeNews:
    """Makes what a live node says."""
    return NodeNews(
        identity=make_identity(number, centres=centres),
        standing=Standing(
            state=MemberState.LIVE,
            sequence=1,
            configuration_version=1_000_000,
            configuration_digest=bytes(DIGEST_BYTES),
        ),
    )


def make_configuration(
    *, targets: int = 0, organisations: int = 1, centres: int = DATA_CENTRES
) -> Configuration:
    """Makes a configuration; each organisation has a key and a choice."""
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
    built = Configuration(
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
            for each in (make_target(n, centres) for n in range(targets))
        },
    )
    built.modified.update(
        {f"organisation/{name}": n + 1 for n, name in enumerate(names)}
    )
    return built


def make_target(number: int, centres: int) -> Target:
    """Makes an engine; numbers are spread over the data centres."""
    return Target(
        name=f"engine-{number:04}",
        kind=TargetKind.ENGINE,
        host=f"10.99.{number // 250}.{number % 250}",
        port=8000,
        data_centre=f"centre-{number % centres}",
        pool="pool",
    )


def make_report(name: str, clock: ManualClock) -> LoadReport:
    """Makes a report of a busy engine."""
    return LoadReport(
        target=name,
        time=clock.now(),
        capacity_tokens=450_000,
        used_tokens=200_000,
        running=100,
        waiting=0,
        preemptions=100,
        step_seconds=0.045,
        loaded=LOADED,
    )


def build_node(
    *, nodes: int, targets: int, centres: int = DATA_CENTRES
) -> Built:
    """Builds a node that has heard of all nodes and targets."""
    clock = ManualClock(epoch=EPOCH)
    identity = make_identity(0, centres=centres)
    links = CountingLinks(identity=identity)
    view = FixedView(
        configuration=make_configuration(targets=targets, centres=centres)
    )
    membership = Membership(
        identity=identity,
        links=links,
        link_port=8444,
        vm_list=NoVms(),
        configuration=view,
        clock=clock,
    )
    board = LoadBoard(clock=clock)
    exchange = LoadExchange(
        identity=identity,
        links=links,
        membership=membership,
        configuration=view,
        feed=HttpTargetFeed(),
        board=board,
        clock=clock,
        reservations=dict,
        cache_sink=lambda event: None,
    )
    membership.pauses.beat()
    membership.observe_vms(_make_vms(nodes, centres))
    for number in range(1, nodes):
        membership.observe_node(make_news(number, centres=centres))
    for name in view.configuration.targets:
        membership.observe_report(name, leaving=False)
    return Built(
        clock=clock,
        links=links,
        membership=membership,
        board=board,
        exchange=exchange,
    )


def _make_vms(nodes: int, centres: int) -> list[Vm]:
    identities = [make_identity(n, centres=centres) for n in range(nodes)]
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
    """Builds a placer whose targets have all reported."""
    core = DecisionCore(
        clock=clock,
        get_configuration=lambda: configuration,
        is_available=lambda name: True,
        settings=PlacerSettings(
            node=OWN, admission=AdmissionSettings(quantile=0.9)
        ),
        source=random.Random(1),
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
