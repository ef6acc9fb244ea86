"""Runs nodes with a VM list and targets in memory, on a simulated clock."""

import dataclasses

import trio

from acaciarack.configuration import (
    Configuration,
    NodeSetting,
    Target,
    TargetKind,
)
from acaciarack.load_exchange import LoadExchange
from acaciarack.load_report_store import LoadReportStore
from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.membership import Membership
from acaciarack.platform import PlatformError, Vm, VmState
from acaciarack.watchers import WatchError
from tests.memory_network import MemoryNetwork, make_identity

DATA_CENTRES = ("oslo-a", "drammen-b", "hamar-c")
MODELS = (LoadedModel(model="rettleiar", version="1"),)


class FakeVmList:
    def __init__(self):
        self.vms = {}
        self.is_down = False
        self.fetches = 0

    async def fetch(self):
        self.fetches += 1
        if self.is_down:
            raise PlatformError("down")
        return tuple(self.vms.values())

    def set_state(self, name, state):
        self.vms[name] = dataclasses.replace(self.vms[name], state=state)


class FakeConfiguration:
    def __init__(self):
        self.configuration = Configuration(version=1)

    def get_configuration(self):
        return self.configuration

    def get_digest(self):
        return self.configuration.version.to_bytes(32, "big")

    def change(self, **changes):
        self.configuration = dataclasses.replace(
            self.configuration,
            version=self.configuration.version + 1,
            **changes,
        )

    def drain_node(self, name):
        self.change(nodes={name: NodeSetting(name=name, drained=True)})

    def drain_target(self, name):
        targets = dict(self.configuration.targets)
        targets[name] = dataclasses.replace(targets[name], drained=True)
        self.change(targets=targets)


class FakeTargetFeed:
    """Delivers a load report from each target every 0.5 s."""

    def __init__(self, clock):
        self.clock = clock
        self.leaving = set()
        self.dead = set()
        self.opened = []

    async def open_load_reports(self, target):
        self.opened.append(target.name)
        while target.name not in self.dead:
            yield LoadReport(
                target=target.name,
                time=self.clock.now(),
                capacity_tokens=100_000,
                used_tokens=50_000,
                running=16,
                waiting=2,
                preemptions=300,
                step_seconds=0.04,
                loaded=MODELS,
                leaving=target.name in self.leaving,
            )
            await trio.sleep(0.5)
        raise WatchError(f"{target.name} is dead")

    async def open_cache_events(self, target, *, after):
        await trio.sleep_forever()
        yield


class Node:
    def __init__(self, deployment, identity, **options):
        self.identity = identity
        self.configuration = deployment.configuration
        self.links = deployment.network.make_links(identity, **options)
        self.membership = Membership(
            identity=identity,
            links=self.links,
            link_port=1,
            vm_list=deployment.vm_list,
            configuration=self.configuration,
            clock=deployment.clock,
        )
        self.report_store = LoadReportStore(clock=deployment.clock)
        self.reserved = {}
        self.exchange = LoadExchange(
            identity=identity,
            links=self.links,
            membership=self.membership,
            configuration=self.configuration,
            feed=deployment.feed,
            report_store=self.report_store,
            clock=deployment.clock,
            reservations=lambda: self.reserved,
            cache_sink=print,
        )
        self.scope = trio.CancelScope()

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.links.run)
                nursery.start_soon(self.membership.run)
                nursery.start_soon(self.exchange.run)

    def sees_available_target(self, target):
        return self.membership.is_target_available(target)


class Deployment:
    """Nodes and targets, distributed over the data centres."""

    def __init__(
        self, nursery, clock, *, nodes, targets, data_centres=DATA_CENTRES
    ):
        self.nursery = nursery
        self.clock = clock
        self.network = MemoryNetwork(nursery)
        self.vm_list = FakeVmList()
        self.configuration = FakeConfiguration()
        self.feed = FakeTargetFeed(clock)
        self.nodes = []
        self.data_centres = data_centres
        for number in range(targets):
            self.add_target(number)
        for number in range(nodes):
            self.add_node(number)

    def pick_data_centre(self, number):
        return self.data_centres[number % len(self.data_centres)]

    def add_target(self, number):
        name = f"rettleiar-{number}"
        target = Target(
            name=name,
            kind=TargetKind.ENGINE,
            host="127.0.1.1",
            port=9000 + number,
            data_centre=self.pick_data_centre(number),
            pool="rettleiar",
        )
        targets = self.configuration.configuration.targets | {name: target}
        self.configuration.change(targets=targets)
        self.register_vm(name, "engine", target.host, target.data_centre)

    def add_node(self, number, *, incarnation=1):
        identity = make_identity(
            number + 1,
            data_centre=self.pick_data_centre(number),
            incarnation=incarnation,
        )
        node = Node(self, identity)
        self.nodes.append(node)
        self.register_vm(
            identity.node, "node", identity.host, identity.data_centre
        )
        self.nursery.start_soon(node.run)
        return node

    def register_vm(self, name, role, host, data_centre):
        self.vm_list.vms[name] = Vm(
            name=name,
            role=role,
            host=host,
            data_centre=data_centre,
            state=VmState.LIVE,
        )
