"""Simulates the drain of a target in a deployment of six nodes."""

import trio

from acaciarack.platform import VmState
from tests.deployment import Deployment
from tests.matrix.cells import Fault, Step
from tests.matrix.simulation import Host, Simulation

NODE_COUNT = 6
TARGET_COUNT = 6
SETTLING_SECONDS = 8
MAX_PROPAGATION_SECONDS = 3
CHECK_DURATION_SECONDS = 10
TARGET = "rettleiar-0"
OTHER_TARGET = "rettleiar-1"
# With these faults, the VM list does not report the drain in time. The
# configuration or the target's load report must do so.
VM_LIST_FAULTS = frozenset(
    {Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW, Fault.STALE_VMS}
)


class DrainSimulation(Simulation):
    """Checks that all nodes stop using a draining target in time.

    The nodes must also keep using another target, and stop listing nodes that
    drain.

    The nodes learn of the drain from the configuration, the target's load
    report or the VM list.
    """

    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        self.deployment = Deployment(
            nursery, self.clock, nodes=NODE_COUNT, targets=TARGET_COUNT
        )
        self.draining_nodes = []
        self.links_silenced = False

    async def inject(self, fault, step, host):
        deployment = self.deployment
        node = self.random.choice(deployment.nodes)
        match fault:
            case Fault.KILL:
                node.scope.cancel()
                deployment.nodes.remove(node)
            case Fault.CUT:
                deployment.network.break_connections()
            case Fault.SILENT:
                self.links_silenced = True
                hosts = [item.identity.host for item in deployment.nodes]
                deployment.network.silenced.update(hosts)
            case Fault.PLATFORM_DOWN:
                deployment.vm_list.is_down = True
            case Fault.PLATFORM_SLOW:
                self.delay_vm_list()
            case Fault.RECLAIMED:
                deployment.feed.dead.add(TARGET)
            case Fault.PLANNED_STOP:
                node.membership.mark_leaving()
                self.draining_nodes.append(node)

    def delay_vm_list(self):
        vm_list = self.deployment.vm_list
        fetch = vm_list.fetch

        async def fetch_slowly():
            vms = await fetch()
            await trio.sleep(20)
            return vms

        vm_list.fetch = fetch_slowly

    def start_target_drain(self):
        """Starts the target's drain through one randomly chosen source."""
        deployment = self.deployment
        faults = {item.fault for item in self.cell.injections}
        sources = ["configuration"]
        if Fault.RECLAIMED not in faults:
            sources.append("report")
        if not faults & VM_LIST_FAULTS and not self.links_silenced:
            sources.append("vm_list")
        match self.random.choice(sources):
            case "configuration":
                deployment.configuration.drain_target(TARGET)
            case "report":
                deployment.feed.leaving.add(TARGET)
            case "vm_list":
                deployment.vm_list.set_state(TARGET, VmState.LEAVING)

    async def run(self):
        await trio.sleep(SETTLING_SECONDS + self.random.random())
        for node in self.deployment.nodes:
            self.expect(
                node.sees_available_target(TARGET), "not available before"
            )
        for _ in self.cell.injections:
            await self.enter_step(Step.DRAIN, Host(self, "all"))
        self.start_target_drain()
        await trio.sleep(MAX_PROPAGATION_SECONDS)
        end = trio.current_time() + CHECK_DURATION_SECONDS
        while trio.current_time() < end:
            self.check()
            await trio.sleep(0.25)

    def check(self):
        hosts = {node.identity.host for node in self.draining_nodes}
        for node in self.deployment.nodes:
            name = node.identity.node
            self.expect(
                not node.sees_available_target(TARGET), f"{name} uses {TARGET}"
            )
            self.expect(
                self.links_silenced or node.sees_available_target(OTHER_TARGET),
                f"{name} does not use {OTHER_TARGET}",
            )
            entries = {e.host for e in node.membership.list_entries()}
            self.expect(
                self.links_silenced or not entries & hosts,
                f"{name} lists a node that stops",
            )
