"""Tests publication while the log is down, hangs or loses replies."""

import itertools
import random
from datetime import timedelta

import trio

from acaciarack.change_messages import ObjectKind
from acaciarack.configuration_peers import LinkedPeers
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.links import PeerAddress
from acaciarack.publication import (
    STREAM,
    ConfigurationDigest,
    ConfigurationStore,
    EncodedConfiguration,
    Published,
)
from tests.memory_network import MemoryNetwork, make_identity
from tests.support import TestCase
from tests.test_changes import LossyLog, NoPeers, Peers, make_edit

EDITS = (make_edit(ObjectKind.ORGANISATION, "a", 1),)
MAX_IN_FORCE_SECONDS = 3
"""The time limit for a published configuration to be in force on a node."""


class SilentLog(LossyLog):
    """A log whose calls hang while ``silent`` is set; appends take effect."""

    silent = False

    async def append(self, **arguments):
        first = await super().append(**arguments)
        if self.silent:
            await trio.sleep_forever()
        return first

    async def read(self, **arguments):
        if self.silent:
            await trio.sleep_forever()
        return await super().read(**arguments)


class PublicationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()

    def start(self, nursery, log, *, peers=None):
        store = ConfigurationStore(
            log=log,
            clock=log.clock,
            peers=peers or NoPeers(),
            policies=["predicted_memory"],
            randomness=random.Random(next(self.numbers)),
        )
        nursery.start_soon(store.run)
        return store

    def run_scenario(self, scenario):
        async def run():
            log = SilentLog(clock=self.make_clock())
            async with trio.open_nursery() as nursery:
                first = self.start(nursery, log)
                await trio.sleep(1)
                published = await first.publish(EDITS, 0, "ann")
                self.assertEqual(Published(version=1), published)
                await scenario(nursery, log, first)
                nursery.cancel_scope.cancel()

        self.run_trio(run)

    def test_new_node_gets_the_configuration_from_peers(self):
        for fault in ("down", "silent"):

            async def scenario(nursery, log, first, fault=fault):
                setattr(log, fault, True)
                peers = Peers(stores=[first])
                store = self.start(nursery, log, peers=peers)
                with trio.fail_after(MAX_IN_FORCE_SECONDS):
                    await store.wait_until_ready()
                self.assertEqual(first.digest(), store.digest())
                setattr(log, fault, False)
                await trio.sleep(20)
                published = await store.publish(
                    (make_edit(ObjectKind.ORGANISATION, "b", 2),), 1, "bo"
                )
                self.assertEqual(Published(version=2), published)
                await trio.sleep(0.1)
                self.assertEqual(2, first.current().version)

            self.run_scenario(scenario)

    def test_node_that_cannot_read_the_log_catches_up_from_peers(self):
        async def scenario(nursery, log, first):
            second_log = SilentLog(clock=log.clock)
            store = self.start(nursery, second_log, peers=Peers(stores=[first]))
            await trio.sleep(1)
            second_log.silent = True
            await first.publish(
                (make_edit(ObjectKind.ORGANISATION, "b", 2),), 1, "ann"
            )
            store.record_peer_digest(first.digest())
            with trio.fail_after(MAX_IN_FORCE_SECONDS):
                await store.wait_for_version(2)
            self.assertEqual(first.current(), store.current())

        self.run_scenario(scenario)

    def test_nodes_exchange_the_configuration_over_links(self):
        async def scenario(nursery, log, first):
            network = MemoryNetwork(nursery)
            identities = [make_identity(number) for number in (1, 2, 3)]
            peers = []
            for identity in identities:
                links = network.make_links(identity)
                links.set_peers(
                    PeerAddress(node=item.node, host=item.host, port=1)
                    for item in identities
                )
                peers.append(LinkedPeers(links=links))
                nursery.start_soon(links.run)
            peers[0].serve(first)
            log.silent = True
            # The second node has no configuration and replies without one.
            peers[1].serve(self.start(nursery, log))
            store = self.start(nursery, log, peers=peers[2])
            with trio.fail_after(MAX_IN_FORCE_SECONDS):
                await store.wait_until_ready()
            self.assertEqual(first.digest(), store.digest())
            self.assertIsNone(await peers[2].fetch(2))
            network.silenced = {item.host for item in identities}
            self.assertIsNone(await peers[2].fetch(1))

        self.run_scenario(scenario)

    def test_invalid_states_of_peers_are_rejected(self):
        class BadPeers:
            async def fetch(self, minimum_version):
                await trio.lowlevel.checkpoint()
                return EncodedConfiguration(version=9, body=b"\xc1")

        async def scenario(nursery, log, first):
            log.down = True
            store = self.start(nursery, log, peers=BadPeers())
            store.record_peer_digest(ConfigurationDigest(version=9, checksum=1))
            await trio.sleep(10)
            self.assertFalse(store.ready)
            refused = await store.publish(EDITS, 0, "ann")
            self.assertEqual(RefusalCode.NOT_READY, refused.code)
            log.down = False
            await trio.sleep(5)
            self.assertEqual(1, store.current().version)

        self.run_scenario(scenario)

    def test_outcome_tells_whether_the_change_may_be_accepted(self):
        edits = (make_edit(ObjectKind.ORGANISATION, "b", 2),)

        async def scenario(nursery, log, first):
            log.down = True
            refused = await first.publish(edits, 1, "ann")
            self.assertIsInstance(refused, Refusal)
            self.assertEqual(RunOutcome.NOT_RUN, refused.outcome)
            log.down = False
            log.silent = True
            # Waits until a read that started earlier has ended.
            await trio.sleep(20)
            refused = await first.publish(edits, 1, "ann")
            self.assertEqual(RunOutcome.UNKNOWN, refused.outcome)
            log.silent = False
            await trio.sleep(20)
            entry = first.list_history()[-1]
            self.assertIn(entry.change_id, refused.detail)
            self.assertEqual((2, ""), (entry.offset, entry.reason))

        self.run_scenario(scenario)

    def test_unknown_policy_is_rejected_before_the_append(self):
        edits = (
            make_edit(ObjectKind.SERVICE, "a", 1),
            make_edit(ObjectKind.ROUTE, "a", 1),
        )

        async def scenario(nursery, log, first):
            first._policies = ["other"]
            result = await first.publish(edits, 1, "ann")
            self.assertEqual("policy", result.faults[0].field)
            self.assertEqual(1, len(log.entries))
            self.assertEqual(result, first.validate(edits))

        self.run_scenario(scenario)

    def test_records_that_cannot_be_decoded_are_skipped_and_counted(self):
        async def scenario(nursery, log, first):
            await log.append(stream=STREAM, bodies=[b"", b"\xc1", b"\x80"])
            edits = (make_edit(ObjectKind.ORGANISATION, "b", 2),)
            published = await first.publish(edits, 1, "ann")
            self.assertEqual(Published(version=5), published)
            self.assertEqual(3, first.undecodable_count)

        self.run_scenario(scenario)

    def test_many_nodes_append_one_snapshot(self):
        async def run():
            log = LossyLog(clock=self.make_clock())
            async with trio.open_nursery() as nursery:
                stores = [self.start(nursery, log) for _ in range(6)]
                await trio.sleep(1)
                await stores[0].publish(EDITS, 0, "ann")
                await trio.sleep(timedelta(hours=14).total_seconds())
                self.assertEqual(2, len(log.entries))
                nursery.cancel_scope.cancel()

        self.run_trio(run)
