"""Targets that leave, as six nodes with links, VM list and reports see it."""

import trio

from acaciarack.platform import VmState
from tests.deployment import Deployment
from tests.matrix.cells import Fault, Step
from tests.matrix.world import Host, World

NODES = 6
TARGETS = 6
SETTLED_SECONDS = 8
BOUND_SECONDS = 3
WATCHED_SECONDS = 10
TARGET = "rettleiar-0"
OTHER = "rettleiar-1"
# These hide the VM list's word, so that the target has to say it itself.
HIDES_LIST = frozenset(
    {Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW, Fault.STALE_VMS}
)


class LeavingWorld(World):
    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        self.deployment = Deployment(
            nursery, self.clock, nodes=NODES, targets=TARGETS
        )
        self.stopped = []
        self.silenced = False

    async def inject(self, fault, step, host):
        deployment = self.deployment
        node = self.random.choice(deployment.nodes)
        match fault:
            case Fault.KILL:
                node.scope.cancel()
                deployment.nodes.remove(node)
            case Fault.CUT:
                deployment.network.cut()
            case Fault.SILENT:
                self.silenced = True
                hosts = [item.identity.host for item in deployment.nodes]
                deployment.network.silenced.update(hosts)
            case Fault.PLATFORM_DOWN:
                deployment.vm_list.is_down = True
            case Fault.PLATFORM_SLOW:
                self.slow_list()
            case Fault.RECLAIMED:
                deployment.feed.dead.add(TARGET)
            case Fault.PLANNED_STOP:
                node.membership.mark_leaving()
                self.stopped.append(node)

    def slow_list(self):
        vm_list = self.deployment.vm_list
        fetch = vm_list.fetch

        async def fetch_slowly():
            found = await fetch()
            await trio.sleep(20)
            return found

        vm_list.fetch = fetch_slowly

    def leave(self):
        """One source says it first, which one is drawn."""
        deployment = self.deployment
        faults = {item.fault for item in self.cell.injections}
        ways = ["configuration"]
        if Fault.RECLAIMED not in faults:
            ways.append("report")
        if not faults & HIDES_LIST and not self.silenced:
            ways.append("vm_list")
        match self.random.choice(ways):
            case "configuration":
                deployment.configuration.drain_target(TARGET)
            case "report":
                deployment.feed.leaving.add(TARGET)
            case "vm_list":
                deployment.vm_list.set_state(TARGET, VmState.LEAVING)

    async def run(self):
        await trio.sleep(SETTLED_SECONDS + self.random.random())
        for node in self.deployment.nodes:
            self.expect(node.hears_available(TARGET), "not available before")
        for _ in self.cell.injections:
            await self.reach(Step.DRAIN, Host(self, "all"))
        self.leave()
        await trio.sleep(BOUND_SECONDS)
        end = trio.current_time() + WATCHED_SECONDS
        while trio.current_time() < end:
            self.check()
            await trio.sleep(0.25)

    def check(self):
        hosts = {node.identity.host for node in self.stopped}
        for node in self.deployment.nodes:
            name = node.identity.node
            self.expect(
                not node.hears_available(TARGET), f"{name} uses {TARGET}"
            )
            self.expect(
                self.silenced or node.hears_available(OTHER),
                f"{name} does not use {OTHER}",
            )
            entries = {e.host for e in node.membership.list_entries()}
            self.expect(
                self.silenced or not entries & hosts,
                f"{name} lists a node that stops",
            )
