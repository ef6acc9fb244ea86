"""Placements and resume notices between nodes, also over TCP."""

from functools import partial

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.digests import NodeDigest, TargetDigest
from acaciarack.links import Links, PeerAddress, TcpConnector
from acaciarack.placement_exchange import (
    PlacementExchange,
    decode_placements,
    encode_placements,
)
from acaciarack.resume_notices import LinkAnnouncer
from tests.memory_network import KEY, make_identity
from tests.support import TestCase

WHOLE = st.integers(0, 10**9).map(float)
DIGESTS = st.builds(
    NodeDigest,
    node=st.just("node-1"),
    queued_tokens=st.dictionaries(st.text(max_size=5), WHOLE, max_size=2),
    targets=st.lists(
        st.builds(
            TargetDigest,
            target=st.text(max_size=9),
            running=st.integers(0, 999),
            context_tokens=st.integers(0, 10**9),
            means=st.tuples(WHOLE, WHOLE),
            variances=st.tuples(WHOLE, WHOLE),
            placements_per_second=st.integers(0, 10**4).map(
                lambda rate: rate / 1000
            ),
        ),
        max_size=3,
    ).map(tuple),
)


class PlacementsTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(DIGESTS)
    def test_placements_survive_the_encoding(self, digest):
        placements = encode_placements(digest)
        self.assertEqual(digest, decode_placements(placements, node="node-1"))


class TcpTest(TestCase):
    def test_two_nodes_over_tcp(self):
        """Loopback sockets; the clock is the real one."""
        received, kept = {}, []
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
                ends = []
                for number in (1, 2):
                    links = Links(
                        identity=make_identity(number),
                        keys=(KEY,),
                        connector=TcpConnector(),
                    )
                    announcer = LinkAnnouncer(links=links, keep=kept.append)
                    exchange = PlacementExchange(
                        links=links,
                        clock=self.make_clock(),
                        build_digest=partial(NodeDigest, node=str(number)),
                        record_digest=record,
                    )
                    port = await listen(nursery, links)
                    nursery.start_soon(links.run)
                    nursery.start_soon(exchange.run)
                    ends.append((links, announcer, port))
                (first, announcer, _), (_, _, port) = ends
                first.set_peers(
                    [PeerAddress(node="node-2", host="127.0.0.1", port=port)]
                )
                with trio.fail_after(10):
                    await both.wait()
                await announcer.announce(node="node-2", request_id="r-1")
                await announcer.announce(node="node-9", request_id="r-2")
                nursery.cancel_scope.cancel()

        self.run_real(run)
        self.assertEqual(["r-1"], kept)
        self.assertEqual({"node-1", "node-2"}, set(received))
