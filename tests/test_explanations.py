"""Requests are remembered within limits and found on peers."""

from dataclasses import replace

import trio

from acaciarack.explanations import Explanations
from acaciarack.links import PeerAddress
from tests.memory_network import MemoryNetwork, make_identity
from tests.operator_server import EXPLAINED
from tests.support import TestCase


def make(number, **fields):
    return replace(
        EXPLAINED,
        request_id=f"q{number}",
        response_id=f"s{number}",
        **fields,
    )


class ExplanationsTest(TestCase):
    def find(self, store, name):
        return self.run_trio(store.explain, name)

    def test_a_request_is_found_by_either_id(self):
        store = Explanations()
        store(make(1))
        store(replace(EXPLAINED, request_id="plain", response_id=""))
        for name in ("q1", "s1"):
            self.assertEqual(make(1), self.find(store, name))
        self.assertEqual("plain", self.find(store, "plain").request_id)
        for name in ("q2", ""):
            self.assertIsNone(self.find(store, name))

    def test_the_dispatching_part_outranks_resumed_ones(self):
        store = Explanations()
        for part in (
            make(1, resumed=True),
            make(1),
            make(1, resumed=True, attempts=()),
        ):
            store(part)
        self.assertEqual(make(1), self.find(store, "s1"))

    def test_the_oldest_go_first_within_the_limit(self):
        store = Explanations(max_bytes=3000)
        for number in range(40):
            store(make(number))
        kept = [n for n in range(40) if self.find(store, f"q{n}")]
        self.assertEqual(list(range(kept[0], 40)), kept)
        self.assertTrue(3 < len(kept) < 20, kept)
        store(make(99, attempts=EXPLAINED.attempts * 99))
        self.assertIsNone(self.find(store, "q99"))

    def test_peers_are_asked(self):
        async def run():
            async with trio.open_nursery() as nursery:
                network = MemoryNetwork(nursery)
                identities = [make_identity(number) for number in (1, 2, 3)]
                stores = []
                for identity in identities:
                    links = network.make_links(identity)
                    links.set_peers(
                        PeerAddress(node=item.node, host=item.host, port=1)
                        for item in identities
                    )
                    stores.append(Explanations(links=links))
                    nursery.start_soon(links.run)
                await trio.sleep(3)
                stores[0](make(1))
                stores[1](make(1, resumed=True))
                for store in stores:
                    self.assertEqual(make(1), await store.explain("s1"))
                network.silenced = {identities[0].host}
                found = await stores[2].explain("s1")
                self.assertTrue(found.resumed)
                self.assertIsNone(await stores[2].explain("s2"))
                nursery.cancel_scope.cancel()

        self.run_trio(run)
