"""Slopes of membership, load digests and decisions."""

import itertools
from collections.abc import Callable

from acaciarack.admission import HORIZONS_TOKENS
from acaciarack.clock import ManualClock
from acaciarack.digests import NodeDigest, TargetDigest
from acaciarack.load_digests import (
    Digests,
    DigestSummary,
    LoadedTable,
    Reservation,
    Reservations,
    encode_report,
)
from acaciarack.load_exchange import LoadExchange
from acaciarack.placement_exchange import encode_news
from acaciarack.statements import Heartbeat, NodeSummary
from acaciarack_bench.slope_inputs import (
    EPOCH,
    LOADED,
    Built,
    build_core,
    build_node,
    make_configuration,
    make_identity,
    make_news,
    make_report,
    make_request,
    measure_frame,
)
from acaciarack_bench.slopes import add_case, measure_cpu, measure_memory

ALL_NODES = (42, 84, 168, 336, 672)
NEAR_NODES = (5, 10, 20, 40, 80)
ALL_TARGETS = (75, 150, 300, 600, 1200)
NEAR_TARGETS = (10, 20, 40, 80, 160)
STREAMS = (50, 100, 200, 400, 800)
CPU = "CPU, us"
BYTES = "frame, bytes"
MEMORY = "memory, bytes"


@add_case("refresh by nodes", size="node", quantity=CPU, sizes=ALL_NODES)
def _refresh_nodes(nodes: int) -> float:
    return measure_cpu(build_node(nodes=nodes, targets=0).membership.refresh)


@add_case("refresh by targets", size="target", quantity=CPU, sizes=ALL_TARGETS)
def _refresh_targets(targets: int) -> float:
    return measure_cpu(build_node(nodes=9, targets=targets).membership.refresh)


@add_case("choose peers", size="node", quantity=CPU, sizes=ALL_NODES)
def _choose_peers(nodes: int) -> float:
    membership = build_node(nodes=nodes, targets=0).membership
    return measure_cpu(membership._choose_peers)


@add_case("list entries", size="node", quantity=CPU, sizes=ALL_NODES)
def _list_entries(nodes: int) -> float:
    membership = build_node(nodes=nodes, targets=0).membership
    return measure_cpu(membership.list_entries)


@add_case("list nodes", size="node", quantity=CPU, sizes=ALL_NODES)
def _list_nodes(nodes: int) -> float:
    membership = build_node(nodes=nodes, targets=0).membership
    return measure_cpu(membership.list_nodes)


@add_case("membership memory", size="node", quantity=MEMORY, sizes=ALL_NODES)
def _keep_nodes(nodes: int) -> float:
    return measure_memory(lambda: build_node(nodes=nodes, targets=0))


def _link(built: Built, nodes: int) -> None:
    built.links.linked = tuple(
        make_identity(number, centres=1) for number in range(1, nodes)
    )


@add_case("send heartbeats", size="near node", quantity=CPU, sizes=NEAR_NODES)
def _send_heartbeats(nodes: int) -> float:
    built = build_node(nodes=nodes, targets=0, centres=1)
    _link(built, nodes)
    return measure_cpu(built.membership.gossip.send_heartbeats)


@add_case("take heartbeats", size="near node", quantity=CPU, sizes=NEAR_NODES)
def _take_heartbeats(nodes: int) -> float:
    built = build_node(nodes=nodes, targets=0, centres=1)
    _link(built, nodes)
    standing = make_news(1).standing
    data = built.links.encode(Heartbeat(standing=standing))

    def take() -> None:
        for peer in built.links.linked:
            built.links.deliver(peer, data)

    return measure_cpu(take)


@add_case("heartbeat bytes", size="near node", quantity=BYTES, sizes=NEAR_NODES)
def _measure_heartbeats(nodes: int) -> float:
    return nodes * measure_frame(Heartbeat(standing=make_news(1).standing))


def _make_node_summary(nodes: int) -> NodeSummary:
    return NodeSummary(
        data_centre="centre-1",
        nodes=tuple(make_news(9 * number + 1) for number in range(nodes)),
    )


@add_case("node summary", size="near node", quantity=BYTES, sizes=NEAR_NODES)
def _measure_summary(nodes: int) -> float:
    return measure_frame(_make_node_summary(nodes))


@add_case("take node summary", size="near node", quantity=CPU, sizes=NEAR_NODES)
def _take_node_summary(nodes: int) -> float:
    built = build_node(nodes=9 * nodes, targets=0)
    data = built.links.encode(_make_node_summary(nodes))
    sender = make_identity(1)
    return measure_cpu(lambda: built.links.deliver(sender, data))


def _make_digests(targets: int) -> Digests:
    clock = ManualClock(epoch=EPOCH)
    table = LoadedTable()
    names = make_configuration(targets=targets, centres=1).targets
    items = tuple(
        encode_report(
            make_report(name, clock),
            age=clock.elapsed(),
            reserved=200_000,
            loaded=table.add(LOADED),
        )
        for name in names
    )
    return Digests(targets=items, models=table.build_models())


@add_case("digest bytes", size="target", quantity=BYTES, sizes=NEAR_TARGETS)
def _measure_digests(targets: int) -> float:
    return measure_frame(_make_digests(targets))


@add_case("encode digests", size="target", quantity=CPU, sizes=NEAR_TARGETS)
def _encode_digests(targets: int) -> float:
    return measure_cpu(lambda: measure_frame(_make_digests(targets)))


@add_case("take digests", size="target", quantity=CPU, sizes=NEAR_TARGETS)
def _take_digests(targets: int) -> float:
    built = build_node(nodes=10, targets=targets, centres=1)
    built.exchange._choose_watchers()
    data = built.links.encode(_make_digests(targets))
    sender = make_identity(1, centres=1)
    return measure_cpu(lambda: built.links.deliver(sender, data))


@add_case("summary bytes", size="target", quantity=BYTES, sizes=NEAR_TARGETS)
def _measure_target_summary(targets: int) -> float:
    digests = _make_digests(targets)
    return measure_frame(
        DigestSummary(
            data_centre="centre-0",
            targets=digests.targets,
            models=digests.models,
        )
    )


@add_case(
    "reservation bytes", size="target", quantity=BYTES, sizes=NEAR_TARGETS
)
def _measure_reservations(targets: int) -> float:
    item = Reservation(key=2**32 - 1, tokens=300_000)
    return measure_frame(Reservations(items=(item,) * targets))


@add_case("check watchers", size="node", quantity=CPU, sizes=ALL_NODES)
def _check_watchers(nodes: int) -> float:
    exchange = build_node(nodes=nodes, targets=600).exchange
    return measure_cpu(exchange._choose_watchers)


@add_case("choose watchers", size="target", quantity=CPU, sizes=ALL_TARGETS)
def _choose_watchers(targets: int) -> float:
    exchange = build_node(nodes=330, targets=targets).exchange
    return measure_cpu(lambda: _choose_anew(exchange))


def _choose_anew(exchange: LoadExchange) -> None:
    exchange._chosen_for = None
    exchange._choose_watchers()


@add_case("board memory", size="target", quantity=MEMORY, sizes=ALL_TARGETS)
def _keep_reports(targets: int) -> float:
    return measure_memory(lambda: build_node(nodes=9, targets=targets))


def _make_placements(targets: int) -> NodeDigest:
    return NodeDigest(
        node="node-0001",
        targets=tuple(
            TargetDigest(
                target=name,
                running=20,
                context_tokens=30_000,
                means=(30_000.0,) * len(HORIZONS_TOKENS),
                variances=(9e8,) * len(HORIZONS_TOKENS),
                placements_per_second=1.5,
            )
            for name in make_configuration(targets=targets, centres=1).targets
        ),
    )


@add_case("placement bytes", size="target", quantity=BYTES, sizes=NEAR_TARGETS)
def _measure_placements(targets: int) -> float:
    return measure_frame(encode_news(_make_placements(targets)))


@add_case("take placements", size="target", quantity=CPU, sizes=NEAR_TARGETS)
def _take_placements(targets: int) -> float:
    configuration = make_configuration(targets=targets, centres=1)
    clock = ManualClock(epoch=EPOCH)
    core = build_core(configuration, clock)
    digest = _make_placements(targets)
    return measure_cpu(lambda: core.record_digest(digest))


@add_case("decision", size="candidate", quantity=CPU, sizes=NEAR_TARGETS)
def _decide(targets: int) -> float:
    return measure_cpu(_build_decision(targets))


def _build_decision(targets: int) -> Callable[[], None]:
    configuration = make_configuration(targets=targets, organisations=10)
    clock = ManualClock(epoch=EPOCH)
    core = build_core(configuration, clock)
    numbers = itertools.count()

    def decide() -> None:
        request = make_request(next(numbers), configuration, clock)
        core.offer(request)
        (decision,) = core.take_decisions()
        core.finish(decision.request_id, succeeded=True)

    return decide


@add_case("placer memory", size="target", quantity=MEMORY, sizes=ALL_TARGETS)
def _keep_views(targets: int) -> float:
    configuration = make_configuration(targets=targets, centres=1)
    clock = ManualClock(epoch=EPOCH)
    return measure_memory(lambda: build_core(configuration, clock))


@add_case("stream memory", size="stream", quantity=MEMORY, sizes=STREAMS)
def _keep_streams(streams: int) -> float:
    return measure_memory(lambda: _place(streams))


@add_case("build placements", size="stream", quantity=CPU, sizes=STREAMS)
def _build_placements(streams: int) -> float:
    return measure_cpu(_place(streams))


def _place(streams: int) -> Callable[[], NodeDigest]:
    configuration = make_configuration(targets=67, organisations=10, centres=1)
    clock = ManualClock(epoch=EPOCH)
    core = build_core(configuration, clock)
    for number in range(streams):
        core.offer(make_request(number, configuration, clock))
    return core.build_digest
