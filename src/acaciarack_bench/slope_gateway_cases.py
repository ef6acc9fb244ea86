"""Cases that measure how the cost of heartbeats and peer state grows.

The sizes are the number of targets in a heartbeat and the number of peers.
"""

from acaciarack.clock import ManualClock
from acaciarack.gateway.capacity.loads import Load, LoadTracker
from acaciarack.gateway.capacity.memory_profile import build_profile
from acaciarack.gateway.peers.messages import (
    Heartbeat,
    NodeInfo,
    NodeState,
    decode_heartbeat,
    encode_heartbeat,
)
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.store.replica import Position
from acaciarack.gateway.store.replication import Topic
from acaciarack_bench.slope_inputs import EPOCH
from acaciarack_bench.slopes import add_case, measure_cpu

PEER_COUNTS = (42, 84, 168, 336, 672)
TARGET_COUNTS = (2, 4, 8, 16, 32)
TARGETS_PER_HEARTBEAT = 4
"""The number of targets whose load a heartbeat reports: the targets on which a
node has runs or calls at the same time."""
CPU_QUANTITY = "CPU, us"


def _make_node(number: int) -> NodeInfo:
    return NodeInfo(
        name=f"edge-centre-{number}",
        started=1_700_000_000_000,
        host="10.0.0.1",
        front_port=8740,
        link_port=7200,
        data_centre="centre",
    )


def _make_heartbeat(number: int, targets: int) -> Heartbeat:
    return Heartbeat(
        node=_make_node(number),
        state=NodeState.READY,
        reads_store=False,
        loads={
            f"i-{target:010x}": Load(
                requests=2,
                used=5000,
                expected=6000,
                pending=2000,
                memory_profile=build_profile([(2500, 960), (2500, 40)]),
            )
            for target in range(targets)
        },
        ends={
            Topic.CONFIGURATION: Position(offset=123),
            Topic.TARGETS: Position(offset=4567),
        },
    )


def _make_peer_table(peers: int) -> PeerTable:
    table = PeerTable(clock=ManualClock(epoch=EPOCH), own_node=_make_node(0))
    for number in range(1, peers + 1):
        table.apply(_make_heartbeat(number, TARGETS_PER_HEARTBEAT))
    return table


def _make_load_tracker(peers: int) -> LoadTracker:
    load_tracker = LoadTracker(clock=ManualClock(epoch=EPOCH))
    for number in range(1, peers + 1):
        heartbeat = _make_heartbeat(number, TARGETS_PER_HEARTBEAT)
        load_tracker.update_peer(heartbeat.node.name, heartbeat.loads)
    return load_tracker


@add_case(
    "gateway datagram bytes",
    size="target",
    quantity="bytes",
    sizes=TARGET_COUNTS,
)
def _measure_heartbeat_size(targets: int) -> float:
    return len(encode_heartbeat(_make_heartbeat(1, targets)))


@add_case(
    "encode gateway datagram",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=TARGET_COUNTS,
)
def _measure_encode(targets: int) -> float:
    heartbeat = _make_heartbeat(1, targets)
    return measure_cpu(lambda: encode_heartbeat(heartbeat))


@add_case(
    "decode gateway datagram",
    size="target",
    quantity=CPU_QUANTITY,
    sizes=TARGET_COUNTS,
)
def _measure_decode(targets: int) -> float:
    data = encode_heartbeat(_make_heartbeat(1, targets))
    return measure_cpu(lambda: decode_heartbeat(data))


@add_case(
    "look at a target's load",
    size="peer",
    quantity=CPU_QUANTITY,
    sizes=PEER_COUNTS,
)
def _measure_get_total(peers: int) -> float:
    load_tracker = _make_load_tracker(peers)
    return measure_cpu(lambda: load_tracker.get_total("i-0000000001"))


@add_case(
    "take a peer's load", size="peer", quantity=CPU_QUANTITY, sizes=PEER_COUNTS
)
def _measure_update_peer(peers: int) -> float:
    load_tracker = _make_load_tracker(peers)
    heartbeat = _make_heartbeat(1, TARGETS_PER_HEARTBEAT)
    changed = _make_heartbeat(1, TARGETS_PER_HEARTBEAT + 1)

    # An unchanged report costs almost nothing, so two reports alternate.
    def update() -> None:
        load_tracker.update_peer(heartbeat.node.name, heartbeat.loads)
        load_tracker.update_peer(heartbeat.node.name, changed.loads)

    return measure_cpu(update)


@add_case(
    "list live peers", size="peer", quantity=CPU_QUANTITY, sizes=PEER_COUNTS
)
def _measure_list_live(peers: int) -> float:
    return measure_cpu(_make_peer_table(peers).list_live)


@add_case(
    "rank schedulers", size="peer", quantity=CPU_QUANTITY, sizes=PEER_COUNTS
)
def _measure_rank_schedulers(peers: int) -> float:
    table = _make_peer_table(peers)
    return measure_cpu(lambda: table.rank_schedulers("engines", 2))
