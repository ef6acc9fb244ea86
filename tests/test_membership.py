"""Membership: states of nodes and targets from all sources."""

import itertools
from datetime import timedelta

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from acaciarack.clock import ManualClock
from acaciarack.configuration import (
    Configuration,
    NodeSetting,
    Target,
    TargetKind,
)
from acaciarack.drains import NodeDrain
from acaciarack.inflight import InFlight
from acaciarack.member_states import (
    MemberState,
    ObservationSource,
    ObservationTable,
    StateObservation,
)
from acaciarack.membership import Membership
from acaciarack.membership_messages import Standing
from acaciarack.node_states import NodeStates
from acaciarack.peers import NodeLocation, choose_peers, choose_watchers
from acaciarack.platform import VmState
from acaciarack.target_states import TargetStates
from acaciarack_bench.slope_inputs import StaticConfigurationView
from tests.deployment import Deployment, FakeConfiguration, FakeVmList
from tests.memory_network import MemoryNetwork, make_identity
from tests.support import EPOCH, TestCase

SETTLING_SECONDS = 8
REACTION_BOUND_SECONDS = 3.0
TARGET = "rettleiar-0"


class DeploymentCase(TestCase):
    def run_deployment(self, scenario, *, nodes=6, targets=6, **options):
        """Runs ``scenario(deployment)`` after ``SETTLING_SECONDS``."""

        async def run():
            async with trio.open_nursery() as nursery:
                deployment = Deployment(
                    nursery,
                    self.make_clock(),
                    nodes=nodes,
                    targets=targets,
                    **options,
                )
                await trio.sleep(SETTLING_SECONDS)
                await scenario(deployment)
                nursery.cancel_scope.cancel()

        self.run_trio(run)

    async def measure_until(self, condition, *, limit=60):
        start = trio.current_time()
        while not condition():
            await trio.sleep(0.05)
            if trio.current_time() - start > limit:
                self.fail(f"condition not met after {limit} s")
        return trio.current_time() - start


def make_target(*, drained):
    return Target(
        name="t",
        kind=TargetKind.ENGINE,
        host="127.0.0.1",
        port=1,
        data_centre="oslo-a",
        pool="p",
        drained=drained,
    )


class PeerSelectionTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(1, 9), min_size=1, max_size=5))
    def test_local_full_mesh_and_two_delegates_per_data_centre(self, sizes):
        nodes = [
            NodeLocation(node=f"n{centre}-{n}", data_centre=f"c{centre}")
            for centre, size in enumerate(sizes)
            for n in range(size)
        ]
        peers = {own: set(choose_peers(own, nodes)) for own in nodes}
        for own, other in itertools.permutations(nodes, 2):
            self.assertEqual(other in peers[own], own in peers[other])
            if own.data_centre == other.data_centre:
                self.assertIn(other, peers[own])
        for first, second in itertools.permutations(range(len(sizes)), 2):
            delegates = {
                own
                for own in nodes
                if own.data_centre == f"c{first}"
                and any(p.data_centre == f"c{second}" for p in peers[own])
            }
            self.assertEqual(min(2, sizes[first]), len(delegates))

    def test_removed_node_moves_only_its_own_targets(self):
        names = [f"node-{n}" for n in range(37)]
        for n in range(67):
            before = choose_watchers(f"t{n}", names)
            after = choose_watchers(f"t{n}", names[1:])
            if names[0] not in before:
                self.assertEqual(before, after)

    def test_link_count_of_330_nodes(self):
        nodes = [
            NodeLocation(node=f"node-{n}", data_centre=f"dc-{n % 9}")
            for n in range(330)
        ]
        counts = [len(choose_peers(own, nodes)) for own in nodes]
        self.assertLessEqual(max(counts), 36 + 8 * 2)
        self.assertLess(sum(counts) / len(counts), 37)


class ObservationTableTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [ObservationSource.VM_LIST, ObservationSource.NODE]
                ),
                st.sampled_from(MemberState),
                st.integers(0, 100),
            )
        )
    )
    @example(
        [
            (ObservationSource.VM_LIST, MemberState.LEAVING, 0),
            (ObservationSource.VM_LIST, MemberState.SUSPECT, 2),
        ]
    )
    def test_worst_state_applies_during_hold_down(self, observations):
        table = ObservationTable()
        for source, state, second in observations:
            time = EPOCH + timedelta(seconds=second)
            table.add(
                StateObservation(
                    name="x", source=source, state=state, time=time
                )
            )
            worst = table.find_worst("x")
            if source is ObservationSource.VM_LIST and state > MemberState.LIVE:
                self.assertGreaterEqual(worst.state, state)
            stale = StateObservation(
                name="x",
                source=ObservationSource.VM_LIST,
                state=MemberState.LIVE,
                time=time + timedelta(seconds=29),
            )
            if state > MemberState.LIVE:
                table.add(stale)
                self.assertGreaterEqual(table.find_worst("x").state, state)

    def test_better_state_applies_after_hold_down(self):
        table = ObservationTable()
        for state, second in ((MemberState.GONE, 0), (MemberState.LIVE, 31)):
            time = EPOCH + timedelta(seconds=second)
            changed = table.add(
                StateObservation(
                    name="x",
                    source=ObservationSource.VM_LIST,
                    state=state,
                    time=time,
                )
            )
            self.assertTrue(changed)
        self.assertIs(MemberState.LIVE, table.find_worst("x").state)


class StateLookupTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.sampled_from(MemberState),
        st.integers(0, 40),
        st.booleans(),
        st.booleans(),
        st.lists(
            st.tuples(
                st.sampled_from(ObservationSource), st.sampled_from(MemberState)
            ),
            max_size=3,
        ),
    )
    def test_get_state_agrees_with_worst_observation(
        self, reported_state, age, lost, drained, other_observations
    ):
        clock = ManualClock(epoch=EPOCH)
        configuration = Configuration(
            nodes={"node-1": NodeSetting(name="node-1", drained=drained)},
            targets={"t": make_target(drained=drained)},
        )
        parts = {
            "observations": ObservationTable(),
            "configuration": StaticConfigurationView(
                configuration=configuration
            ),
            "clock": clock,
        }
        for centre in ("oslo-a", "drammen-b"):
            nodes = NodeStates(own_data_centre="oslo-a", **parts)
            targets = TargetStates(**parts)
            nodes.update(
                make_identity(1, data_centre=centre),
                Standing(
                    state=reported_state,
                    sequence=1,
                    configuration_version=1,
                    configuration_digest=b"",
                ),
            )
            targets.record_contact(
                "t", age=timedelta(), fresh_for=timedelta(seconds=3)
            )
            clock.advance(timedelta(seconds=age))
            if lost:
                nodes.mark_link_lost("node-1")
            for name, (source, state) in itertools.product(
                ("node-1", "t"), other_observations
            ):
                parts["observations"].add(
                    StateObservation(
                        name=name, source=source, state=state, time=clock.now()
                    )
                )
            for states, name in itertools.product(
                (nodes, targets), ("node-1", "t", "unknown")
            ):
                expected = states.get_worst_observation(name).state
                self.assertIs(expected, states.get_state(name))


class TargetLifetimeTest(DeploymentCase):
    """Every node stops using a leaving target within the time bound."""

    def check_all_stop_using(self, leave, *, inject_fault=None, **options):
        async def scenario(deployment):
            members = [node.membership for node in deployment.nodes]
            for member in members:
                self.assertTrue(member.is_target_available(TARGET))
            if inject_fault is not None:
                inject_fault(deployment)
            leave(deployment)
            await trio.sleep(REACTION_BOUND_SECONDS)
            for _ in range(40):
                for member in members:
                    self.assertFalse(member.is_target_available(TARGET))
                    self.assertTrue(
                        inject_fault
                        or member.is_target_available("rettleiar-1")
                    )
                await trio.sleep(0.25)

        self.run_deployment(scenario, **options)

    def leave_by_vm_list(self, deployment):
        deployment.vm_list.set_state(TARGET, VmState.LEAVING)

    def leave_by_report(self, deployment):
        deployment.feed.leaving.add(TARGET)

    def test_vm_list_reports_first(self):
        self.check_all_stop_using(self.leave_by_vm_list)

    def test_vm_list_reports_first_in_a_large_data_centre(self):
        # Each of the nine nodes polls the VM list only every nine seconds.
        self.check_all_stop_using(
            self.leave_by_vm_list, nodes=9, data_centres=("oslo-a",)
        )

    def test_vm_list_reports_first_with_a_dead_node(self):
        def kill(deployment):
            deployment.nodes[0].scope.cancel()
            del deployment.nodes[0]

        self.check_all_stop_using(self.leave_by_vm_list, inject_fault=kill)

    def test_target_reports_first_with_a_stale_vm_list(self):
        self.check_all_stop_using(self.leave_by_report)

    def test_target_reports_first_with_the_vm_list_down(self):
        def stop(deployment):
            deployment.vm_list.is_down = True

        self.check_all_stop_using(self.leave_by_report, inject_fault=stop)

    def test_configuration_drains_target(self):
        self.check_all_stop_using(
            lambda d: d.configuration.drain_target(TARGET)
        )

    def test_target_reports_first_with_silent_links(self):
        def silence(deployment):
            hosts = [node.identity.host for node in deployment.nodes]
            deployment.network.silenced.update(hosts)

        self.check_all_stop_using(self.leave_by_report, inject_fault=silence)

    def test_target_removed_from_the_vm_list(self):
        self.check_all_stop_using(
            lambda deployment: deployment.vm_list.vms.pop(TARGET)
        )

    def test_killed_target_is_suspect_until_it_reports_again(self):
        async def scenario(deployment):
            deployment.feed.dead.add(TARGET)
            await trio.sleep(REACTION_BOUND_SECONDS + 0.5)
            for node in deployment.nodes:
                state = node.membership.get_target_observation(TARGET).state
                self.assertIs(MemberState.SUSPECT, state)
            deployment.feed.dead.clear()
            await self.measure_until(
                lambda: all(
                    n.sees_available_target(TARGET) for n in deployment.nodes
                )
            )

        self.run_deployment(scenario)


class NodeStateTest(DeploymentCase):
    def list_hosts(self, node):
        return {entry.host for entry in node.membership.list_entries()}

    def test_entries_contain_every_live_node(self):
        async def scenario(deployment):
            hosts = {node.identity.host for node in deployment.nodes}
            for node in deployment.nodes:
                self.assertEqual(hosts, self.list_hosts(node))
                self.assertEqual((), node.membership.list_lagging_nodes())
            fetches = deployment.vm_list.fetches
            await trio.sleep(30)
            self.assertLessEqual(deployment.vm_list.fetches - fetches, 93)

        self.run_deployment(scenario, nodes=7)

    def test_leaving_node_is_removed_from_all_entry_lists(self):
        leave_methods = (
            lambda d, node: node.membership.mark_leaving(),
            lambda d, node: d.configuration.drain_node(node.identity.node),
            lambda d, node: d.vm_list.set_state(
                node.identity.node, VmState.LEAVING
            ),
        )
        for leave in leave_methods:

            async def scenario(deployment, leave=leave):
                first = deployment.nodes[0]
                leave(deployment, first)
                await trio.sleep(REACTION_BOUND_SECONDS)
                for node in deployment.nodes:
                    self.assertNotIn(first.identity.host, self.list_hosts(node))
                    self.assertEqual(5, len(self.list_hosts(node)))
                self.assertTrue(first.membership.is_leaving())

            self.run_deployment(scenario)

    def test_stop_is_announced_at_once(self):
        async def scenario(deployment):
            first, *others = deployment.nodes
            await trio.sleep(0.4)
            first.membership.mark_leaving()
            await trio.sleep(0.01)
            for node in others:
                self.assertNotIn(first.identity.host, self.list_hosts(node))

        self.run_deployment(scenario)

    def test_silent_node_is_suspect_until_heard_again(self):
        async def scenario(deployment):
            first, *others = deployment.nodes
            deployment.network.silenced.add(first.identity.host)
            await trio.sleep(7)
            for node in others:
                self.assertNotIn(first.identity.host, self.list_hosts(node))
                self.assertEqual(5, len(self.list_hosts(node)))
            deployment.network.silenced.clear()
            await self.measure_until(
                lambda: all(len(self.list_hosts(n)) == 6 for n in others)
            )

        self.run_deployment(scenario)

    def test_restarted_node_is_live_within_ten_seconds(self):
        async def scenario(deployment):
            first, *others = deployment.nodes
            first.membership.mark_leaving()
            await trio.sleep(1)
            first.scope.cancel()
            await trio.sleep(1)
            deployment.add_node(0, incarnation=2)
            recovery_seconds = await self.measure_until(
                lambda: all(len(self.list_hosts(n)) == 6 for n in others)
            )
            self.assertLess(recovery_seconds, 10)

        self.run_deployment(scenario)

    def test_node_with_an_old_configuration_is_listed_as_lagging(self):
        async def scenario(deployment):
            first, *others = deployment.nodes
            first.configuration = first.membership._configuration = (
                FakeConfiguration()
            )
            await trio.sleep(2)
            for node in others:
                lagging = node.membership.list_lagging_nodes()
                self.assertEqual(
                    [first.identity.node], [view.name for view in lagging]
                )

        self.run_deployment(scenario, nodes=3)


class PauseTest(TestCase):
    def test_resumed_process_ignores_reports_from_before_the_pause(self):
        clock = ManualClock(epoch=EPOCH)
        configuration = FakeConfiguration()
        deployment = Deployment.__new__(Deployment)
        deployment.data_centres = ("oslo-a",)
        deployment.configuration = configuration
        deployment.vm_list = FakeVmList()
        deployment.add_target(0)

        async def run():
            identity = make_identity(1)
            membership = Membership(
                identity=identity,
                links=MemoryNetwork(None).make_links(identity),
                link_port=1,
                vm_list=deployment.vm_list,
                configuration=configuration,
                clock=clock,
            )
            membership.pause_detector.mark_running()
            membership.record_target_report(TARGET, leaving=False)
            self.assertTrue(membership.is_target_available(TARGET))
            clock.advance(timedelta(seconds=2.5))
            self.assertFalse(membership.is_target_available(TARGET))
            clock.advance(timedelta(seconds=60))
            # A report that was buffered during the pause must be ignored.
            membership.record_target_report(TARGET, leaving=False)
            self.assertFalse(membership.is_target_available(TARGET))
            membership.record_target_report(TARGET, leaving=False)
            self.assertTrue(membership.is_target_available(TARGET))

        self.run_trio(run)


class FakeLeaver:
    leaving = False

    def is_leaving(self):
        return self.leaving


class NodeDrainTest(TestCase):
    def test_drain_ends_after_the_last_stream_without_truncation(self):
        drain_status, in_flight = FakeLeaver(), InFlight()
        node_drain = NodeDrain(
            drain_status=drain_status,
            in_flight=in_flight,
            clock=self.make_clock(),
        )
        ends = []

        async def stream(seconds):
            with in_flight.track():
                await trio.sleep(seconds)
            ends.append(trio.current_time())

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream, 50)
                nursery.start_soon(stream, 20)
                await trio.sleep(1)
                self.assertIsNone(node_drain.check())
                drain_status.leaving = True
                nursery.start_soon(node_drain.run)
                await trio.sleep(12.5)
                self.assertIsNone(node_drain.check())
                nursery.start_soon(stream, 60)
                await trio.sleep(1)
                refusal = node_drain.check()
                self.assertEqual("leaving", refusal.code)
                self.assertEqual("not_run", refusal.outcome)
                self.assertGreater(refusal.retry_after, timedelta())
            self.assertEqual(0, in_flight.count)
            self.assertEqual([20, 50, 73.5], ends)
            self.assertLess(trio.current_time() - 73.5, 0.3)

        self.run_trio(run)

    def test_undrained_node_accepts_requests_again(self):
        drain_status = FakeLeaver()
        drain_status.leaving = True
        node_drain = NodeDrain(
            drain_status=drain_status,
            in_flight=InFlight(),
            clock=self.make_clock(),
        )

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node_drain.run)
                await trio.sleep(5)
                drain_status.leaving = False
                await trio.sleep(60)
                self.assertIsNone(node_drain.check())
                nursery.cancel_scope.cancel()

        self.run_trio(run)
