"""Cases that measure how membership, load digests and decisions scale.

``LOCAL`` sizes count the nodes or targets of one data centre. ``CLUSTER`` sizes
count the nodes or targets of all data centres.
"""

import itertools
from collections.abc import Callable

from acaciarack.admission import HORIZONS_TOKENS
from acaciarack.clock import ManualClock
from acaciarack.digests import NodeDigest, NodeTargetDigest
from acaciarack.load_digests import (
    Digests,
    DigestSummary,
    LoadedModelTable,
    Reservation,
    Reservations,
    encode_report,
)
from acaciarack.load_exchange import LoadExchange
from acaciarack.membership_messages import Heartbeat, NodeSummary
from acaciarack.placement_exchange import encode_digest
from acaciarack_bench.slope_inputs import (
    EPOCH,
    LOADED_MODELS,
    BuiltNode,
    build_core,
    build_node,
    make_configuration,
    make_identity,
    make_node_news,
    make_report,
    make_request,
    measure_frame,
)
from acaciarack_bench.slopes import add_case, measure_cpu, measure_memory

CLUSTER_NODE_COUNTS = (42, 84, 168, 336, 672)
LOCAL_NODE_COUNTS = (5, 10, 20, 40, 80)
CLUSTER_TARGET_COUNTS = (75, 150, 300, 600, 1200)
LOCAL_TARGET_COUNTS = (10, 20, 40, 80, 160)
STREAM_COUNTS = (50, 100, 200, 400, 800)
CPU_QUANTITY = "CPU, us"
FRAME_BYTES_QUANTITY = "frame, bytes"
MEMORY_QUANTITY = "memory, bytes"


@add_case(
    "refresh by nodes",
    size="node",
    quantity=CPU_QUANTITY,
    sizes=CLUSTER_NODE_COUNTS,
)
def _refresh_nodes(nodes: int) -> float:
    return measure_cpu(build_node(nodes=nodes, targets=0).membership.refresh)


@add_case(
    "refresh by targets",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=CLUSTER_TARGET_COUNTS,
)
def _refresh_targets(targets: int) -> float:
    return measure_cpu(build_node(nodes=9, targets=targets).membership.refresh)


@add_case(
    "choose peers",
    size="node",
    quantity=CPU_QUANTITY,
    sizes=CLUSTER_NODE_COUNTS,
)
def _choose_peers(nodes: int) -> float:
    membership = build_node(nodes=nodes, targets=0).membership
    return measure_cpu(membership._choose_peers)


@add_case(
    "list entries",
    size="node",
    quantity=CPU_QUANTITY,
    sizes=CLUSTER_NODE_COUNTS,
)
def _list_entries(nodes: int) -> float:
    membership = build_node(nodes=nodes, targets=0).membership
    return measure_cpu(membership.list_entries)


@add_case(
    "list nodes", size="node", quantity=CPU_QUANTITY, sizes=CLUSTER_NODE_COUNTS
)
def _list_nodes(nodes: int) -> float:
    membership = build_node(nodes=nodes, targets=0).membership
    return measure_cpu(membership.list_nodes)


@add_case(
    "membership memory",
    size="node",
    quantity=MEMORY_QUANTITY,
    sizes=CLUSTER_NODE_COUNTS,
)
def _measure_node_memory(nodes: int) -> float:
    return measure_memory(lambda: build_node(nodes=nodes, targets=0))


def _set_linked_peers(built_node: BuiltNode, nodes: int) -> None:
    built_node.links.linked = tuple(
        make_identity(number, data_centres=1) for number in range(1, nodes)
    )


@add_case(
    "send heartbeats",
    size="near node",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_NODE_COUNTS,
)
def _send_heartbeats(nodes: int) -> float:
    built_node = build_node(nodes=nodes, targets=0, data_centres=1)
    _set_linked_peers(built_node, nodes)
    return measure_cpu(built_node.membership.gossip.send_heartbeats)


@add_case(
    "take heartbeats",
    size="near node",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_NODE_COUNTS,
)
def _measure_handle_heartbeats(nodes: int) -> float:
    built_node = build_node(nodes=nodes, targets=0, data_centres=1)
    _set_linked_peers(built_node, nodes)
    standing = make_node_news(1).standing
    data = built_node.links.encode(Heartbeat(standing=standing))

    def handle() -> None:
        for peer in built_node.links.linked:
            built_node.links.deliver(peer, data)

    return measure_cpu(handle)


@add_case(
    "heartbeat bytes",
    size="near node",
    quantity=FRAME_BYTES_QUANTITY,
    sizes=LOCAL_NODE_COUNTS,
)
def _measure_heartbeats(nodes: int) -> float:
    return nodes * measure_frame(Heartbeat(standing=make_node_news(1).standing))


def _make_node_summary(nodes: int) -> NodeSummary:
    return NodeSummary(
        data_centre="centre-1",
        nodes=tuple(make_node_news(9 * number + 1) for number in range(nodes)),
    )


@add_case(
    "node summary",
    size="near node",
    quantity=FRAME_BYTES_QUANTITY,
    sizes=LOCAL_NODE_COUNTS,
)
def _measure_summary(nodes: int) -> float:
    return measure_frame(_make_node_summary(nodes))


@add_case(
    "take node summary",
    size="near node",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_NODE_COUNTS,
)
def _measure_handle_node_summary(nodes: int) -> float:
    built_node = build_node(nodes=9 * nodes, targets=0)
    data = built_node.links.encode(_make_node_summary(nodes))
    sender = make_identity(1)
    return measure_cpu(lambda: built_node.links.deliver(sender, data))


def _make_digests(targets: int) -> Digests:
    clock = ManualClock(epoch=EPOCH)
    table = LoadedModelTable()
    names = make_configuration(targets=targets, data_centres=1).targets
    items = tuple(
        encode_report(
            make_report(name, clock),
            age=clock.elapsed(),
            reserved=200_000,
            loaded=table.add(LOADED_MODELS),
        )
        for name in names
    )
    return Digests(targets=items, models=table.build_models())


@add_case(
    "digest bytes",
    size="target",
    quantity=FRAME_BYTES_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _measure_digests(targets: int) -> float:
    return measure_frame(_make_digests(targets))


@add_case(
    "encode digests",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _encode_digests(targets: int) -> float:
    return measure_cpu(lambda: measure_frame(_make_digests(targets)))


@add_case(
    "take digests",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _measure_handle_digests(targets: int) -> float:
    built_node = build_node(nodes=10, targets=targets, data_centres=1)
    built_node.exchange._choose_watchers()
    data = built_node.links.encode(_make_digests(targets))
    sender = make_identity(1, data_centres=1)
    return measure_cpu(lambda: built_node.links.deliver(sender, data))


@add_case(
    "summary bytes",
    size="target",
    quantity=FRAME_BYTES_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
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
    "reservation bytes",
    size="target",
    quantity=FRAME_BYTES_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _measure_reservations(targets: int) -> float:
    item = Reservation(key=2**32 - 1, tokens=300_000)
    return measure_frame(Reservations(items=(item,) * targets))


@add_case(
    "check watchers",
    size="node",
    quantity=CPU_QUANTITY,
    sizes=CLUSTER_NODE_COUNTS,
)
def _check_watchers(nodes: int) -> float:
    exchange = build_node(nodes=nodes, targets=600).exchange
    return measure_cpu(exchange._choose_watchers)


@add_case(
    "choose watchers",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=CLUSTER_TARGET_COUNTS,
)
def _choose_watchers(targets: int) -> float:
    exchange = build_node(nodes=330, targets=targets).exchange
    return measure_cpu(lambda: _recompute_watchers(exchange))


def _recompute_watchers(exchange: LoadExchange) -> None:
    exchange._watcher_inputs = None
    exchange._choose_watchers()


@add_case(
    "board memory",
    size="target",
    quantity=MEMORY_QUANTITY,
    sizes=CLUSTER_TARGET_COUNTS,
)
def _measure_report_memory(targets: int) -> float:
    return measure_memory(lambda: build_node(nodes=9, targets=targets))


def _make_placements(targets: int) -> NodeDigest:
    return NodeDigest(
        node="node-0001",
        targets=tuple(
            NodeTargetDigest(
                target=name,
                running=20,
                context_tokens=30_000,
                means=(30_000.0,) * len(HORIZONS_TOKENS),
                variances=(9e8,) * len(HORIZONS_TOKENS),
                placements_per_second=1.5,
            )
            for name in make_configuration(
                targets=targets, data_centres=1
            ).targets
        ),
    )


@add_case(
    "placement bytes",
    size="target",
    quantity=FRAME_BYTES_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _measure_placements(targets: int) -> float:
    return measure_frame(encode_digest(_make_placements(targets)))


@add_case(
    "take placements",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _measure_record_placements(targets: int) -> float:
    configuration = make_configuration(targets=targets, data_centres=1)
    clock = ManualClock(epoch=EPOCH)
    core = build_core(configuration, clock)
    digest = _make_placements(targets)
    return measure_cpu(lambda: core.record_digest(digest))


@add_case(
    "decision",
    size="candidate",
    quantity=CPU_QUANTITY,
    sizes=LOCAL_TARGET_COUNTS,
)
def _measure_decision(targets: int) -> float:
    return measure_cpu(_build_decision(targets))


def _build_decision(targets: int) -> Callable[[], None]:
    configuration = make_configuration(targets=targets, organisations=10)
    clock = ManualClock(epoch=EPOCH)
    core = build_core(configuration, clock)
    numbers = itertools.count()

    def decide() -> None:
        request = make_request(next(numbers), configuration, clock)
        core.add_request(request)
        (decision,) = core.take_decisions()
        core.finish(decision.request_id, succeeded=True)

    return decide


@add_case(
    "placer memory",
    size="target",
    quantity=MEMORY_QUANTITY,
    sizes=CLUSTER_TARGET_COUNTS,
)
def _measure_placer_memory(targets: int) -> float:
    configuration = make_configuration(targets=targets, data_centres=1)
    clock = ManualClock(epoch=EPOCH)
    return measure_memory(lambda: build_core(configuration, clock))


@add_case(
    "stream memory",
    size="stream",
    quantity=MEMORY_QUANTITY,
    sizes=STREAM_COUNTS,
)
def _measure_stream_memory(streams: int) -> float:
    return measure_memory(lambda: _place_requests(streams))


@add_case(
    "build placements",
    size="stream",
    quantity=CPU_QUANTITY,
    sizes=STREAM_COUNTS,
)
def _build_placements(streams: int) -> float:
    return measure_cpu(_place_requests(streams))


def _place_requests(streams: int) -> Callable[[], NodeDigest]:
    configuration = make_configuration(
        targets=67, organisations=10, data_centres=1
    )
    clock = ManualClock(epoch=EPOCH)
    core = build_core(configuration, clock)
    for number in range(streams):
        core.add_request(make_request(number, configuration, clock))
    return core.build_digest
