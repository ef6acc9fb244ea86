"""Exchange of placement digests between nodes."""

from functools import partial

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.digests import NodeDigest, NodeTargetDigest
from acaciarack.links import LinkManager, PeerAddress, TcpConnector
from acaciarack.placement_exchange import (
    MAX_BYTES_PER_SECOND,
    MAX_PERIOD,
    PlacementExchange,
    encode_digest,
)
from acaciarack.views import ViewSettings
from tests.memory_network import KEY, make_identity
from tests.support import TestCase


def make_digest(number):
    return NodeDigest(
        node=f"node-{number}",
        queued_tokens={"rettleiar": 1000.0 * number},
        targets=(
            NodeTargetDigest(
                target="rettleiar-1",
                running=number,
                context_tokens=5000,
                means=(10.0, 20.0),
                variances=(4.0, 9.0),
                placements_per_second=0.25,
            ),
        ),
    )


class FakeLinks:
    """Counts the bytes sent to a number of peers."""

    def __init__(self, *, peers):
        self.peers = tuple(map(make_identity, range(peers)))
        self.sent = 0

    def register(self, kind, handler):
        pass

    def list_linked_peers(self):
        return self.peers

    def send(self, peer, message):
        self.sent += len(msgspec.msgpack.encode(message))


class TrafficTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 52), st.integers(0, 67))
    def test_traffic_limit_holds_and_oversized_digests_are_not_sent(
        self, peers, targets
    ):
        links = FakeLinks(peers=peers)
        digest = NodeDigest(node="n", targets=make_digest(1).targets * targets)
        exchange = PlacementExchange(
            links=links,
            clock=self.make_clock(),
            build_digest=lambda: digest,
            record_digest=None,
        )
        period = exchange.send()
        self.assertLessEqual(
            links.sent, MAX_BYTES_PER_SECOND * period.total_seconds() + 0.01
        )
        self.assertLessEqual(period, ViewSettings().digest_stale)
        size = len(msgspec.msgpack.encode(encode_digest(digest)))
        fits = size * peers <= MAX_BYTES_PER_SECOND * MAX_PERIOD.total_seconds()
        self.assertEqual(size * peers if fits else 0, links.sent)


class TcpTest(TestCase):
    def test_two_nodes_exchange_digests_over_tcp(self):
        """Uses loopback sockets and the real clock."""
        received = {}
        both = trio.Event()

        def record(digest):
            received[digest.node] = digest
            if len(received) == 2:
                both.set()

        async def listen(nursery, links):
            listeners = await nursery.start(
                partial(trio.serve_tcp, links.serve, 0, host="127.0.0.1")
            )
            return listeners[0].socket.getsockname()[1]

        async def run():
            async with trio.open_nursery() as nursery:
                linked_nodes = []
                for number in (1, 2):
                    links = LinkManager(
                        identity=make_identity(number),
                        keys=(KEY,),
                        connector=TcpConnector(),
                    )
                    exchange = PlacementExchange(
                        links=links,
                        clock=self.make_clock(),
                        build_digest=partial(make_digest, number),
                        record_digest=record,
                    )
                    port = await listen(nursery, links)
                    nursery.start_soon(links.run)
                    nursery.start_soon(exchange.run)
                    linked_nodes.append((links, port))
                (first, _), (_, port) = linked_nodes
                first.set_peers(
                    [PeerAddress(node="node-2", host="127.0.0.1", port=port)]
                )
                with trio.fail_after(10):
                    await both.wait()
                nursery.cancel_scope.cancel()

        self.run_real(run)
        expected = {f"node-{n}": make_digest(n) for n in (1, 2)}
        self.assertEqual(expected, received)
