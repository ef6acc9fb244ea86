"""Simulated nodes with burn counts, a shared log and lossy links."""

from collections import deque
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import trio

from acaciarack.burn import build_burn_report
from acaciarack.burn_collector import BurnCollector
from acaciarack.configuration import Configuration
from acaciarack.reports import ReportContext
from acaciarack_bench.log import LogFaults, MemoryLog
from tests.memory_network import make_identity
from tests.operator_server import OBSERVATION

RETENTION = timedelta(days=1)
MINUTE = timedelta(minutes=1)


def make_observation(request_id, **fields):
    fields = {"ttft": timedelta(seconds=1), "tokens": 100} | fields
    return replace(OBSERVATION, request_id=request_id, **fields)


class LossyLinks:
    """Queues messages until ``BurnNodes.deliver`` delivers or drops them."""

    def __init__(self, *, deployment, identity):
        self.deployment = deployment
        self.identity = identity
        self.handlers = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, peer, message):
        self.deployment.sent.append((self.identity, peer, message))
        return True


class Members:
    def __init__(self, *, identity, local_nodes):
        self.identity = identity
        self.local_nodes = local_nodes

    def list_local_nodes(self):
        return tuple(sorted(self.local_nodes))

    def list_nodes(self):
        return (SimpleNamespace(data_centre=self.identity.data_centre),)


class BurnNode:
    def __init__(self, *, deployment, identity, links=None):
        links = links or LossyLinks(deployment=deployment, identity=identity)
        self.identity = identity
        self.links = links
        self.members = Members(identity=identity, local_nodes={identity.node})
        self.context = ReportContext(
            identity=identity,
            links=links,
            members=self.members,
            log=deployment.log,
            clock=deployment.clock,
            get_configuration=Configuration,
            retention=RETENTION,
        )
        self.component = build_burn_report(context=self.context)
        self.collector: BurnCollector = self.component.run.__self__

    async def count(self, **filters):
        """Returns the request counts of the longest window, by organisation."""
        report = await self.component.reporter.report(
            service="", organisation=""
        )
        return {
            budget.organisation: budget.windows[-1].requests
            for budget in report.budgets
            if budget.objective == "refusal"
        }


class BurnNodes:
    """``number`` nodes of one data centre with one log and one clock."""

    def __init__(self, *, clock, number):
        self.clock = clock
        self.log = MemoryLog(clock=clock, retention=RETENTION)
        self.sent = deque()
        self.nodes = [
            BurnNode(deployment=self, identity=make_identity(index + 1))
            for index in range(number)
        ]

    def restart(self, index):
        identity = self.nodes[index].identity
        restarted = make_identity(
            index + 1, incarnation=identity.incarnation + 1
        )
        self.nodes[index] = BurnNode(deployment=self, identity=restarted)

    async def deliver(self, *, lost=False):
        while self.sent:
            sender, peer, message = self.sent.popleft()
            for node in self.nodes:
                if node.identity.node == peer and not lost:
                    await node.links.handlers[type(message)](sender, message)

    async def append(self, index, *, lost=None, down=False):
        faults = LogFaults(down=down, lost_appends=[lost] if lost else [])
        self.log.faults = faults
        await self.nodes[index].collector.append()
        self.log.faults = LogFaults()

    async def append_all_pending(self):
        """Makes the first node append all pending minutes, without faults."""
        for _ in range(3):
            await trio.sleep(60)
            await self.run_minute()

    async def run_minute(self):
        aggregator = self.nodes[0].identity.node
        for node in self.nodes:
            node.members.local_nodes = {aggregator}
            node.collector.send()
        await self.deliver()
        await self.append(0)
        await self.deliver()
