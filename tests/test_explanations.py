"""Observations are stored within limits and found on peers."""

from dataclasses import replace

import trio

from acaciarack.explanations import ExplanationStore
from acaciarack.links import PeerAddress
from tests.memory_network import MemoryNetwork, make_identity
from tests.operator_server import OBSERVATION
from tests.support import TestCase


def make_observation(number, **fields):
    return replace(
        OBSERVATION,
        request_id=f"q{number}",
        response_id=f"s{number}",
        **fields,
    )


class ExplanationsTest(TestCase):
    def find(self, store, name):
        return self.run_trio(store.explain, name)

    def test_a_request_is_found_by_either_id(self):
        store = ExplanationStore()
        store(make_observation(1))
        store(replace(OBSERVATION, request_id="plain", response_id=""))
        for name in ("q1", "s1"):
            self.assertEqual(make_observation(1), self.find(store, name))
        self.assertEqual("plain", self.find(store, "plain").request_id)
        for name in ("q2", ""):
            self.assertIsNone(self.find(store, name))

    def test_the_dispatching_node_outranks_resuming_ones(self):
        store = ExplanationStore()
        for observation in (
            make_observation(1, resumed=True),
            make_observation(1),
            make_observation(1, resumed=True, attempts=()),
        ):
            store(observation)
        self.assertEqual(make_observation(1), self.find(store, "s1"))

    def test_the_oldest_are_evicted_above_the_limit(self):
        store = ExplanationStore(max_bytes=3000)
        for number in range(40):
            store(make_observation(number))
        kept = [n for n in range(40) if self.find(store, f"q{n}")]
        self.assertEqual(list(range(kept[0], 40)), kept)
        self.assertTrue(3 < len(kept) < 20, kept)
        store(make_observation(99, attempts=OBSERVATION.attempts * 99))
        self.assertIsNone(self.find(store, "q99"))

    def test_peers_are_queried(self):
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
                    stores.append(ExplanationStore(links=links))
                    nursery.start_soon(links.run)
                await trio.sleep(3)
                stores[0](make_observation(1))
                stores[1](make_observation(1, resumed=True))
                for store in stores:
                    self.assertEqual(
                        make_observation(1), await store.explain("s1")
                    )
                network.silenced = {identities[0].host}
                found = await stores[2].explain("s1")
                self.assertTrue(found.resumed)
                self.assertIsNone(await stores[2].explain("s2"))
                nursery.cancel_scope.cancel()

        self.run_trio(run)
