"""Nodes with burn counters, a log and links that lose messages."""

from collections import deque
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import trio

from acaciarack.burn import build_burn_report
from acaciarack.burn_exchange import BurnExchange
from acaciarack.configuration import Configuration
from acaciarack.reports import ReportContext
from acaciarack_bench.log import LogFaults, MemoryLog
from tests.memory_network import make_identity
from tests.operator_server import EXPLAINED

RETENTION = timedelta(days=1)
MINUTE = timedelta(minutes=1)


def make_observation(request_id, **fields):
    fields = {"ttft": timedelta(seconds=1), "tokens": 100} | fields
    return replace(EXPLAINED, request_id=request_id, **fields)


class LossyLinks:
    """Keeps what is sent until it is delivered or lost."""

    def __init__(self, *, network, identity):
        self.network = network
        self.identity = identity
        self.handlers = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, peer, message):
        self.network.sent.append((self.identity, peer, message))
        return True


class Members:
    def __init__(self, *, identity, near):
        self.identity = identity
        self.near = near

    def list_near(self):
        return tuple(sorted(self.near))

    def list_nodes(self):
        return (SimpleNamespace(data_centre=self.identity.data_centre),)


class BurnNode:
    def __init__(self, *, nodes, identity, links=None):
        links = links or LossyLinks(network=nodes, identity=identity)
        self.identity = identity
        self.links = links
        self.members = Members(identity=identity, near={identity.node})
        self.context = ReportContext(
            identity=identity,
            links=links,
            members=self.members,
            log=nodes.log,
            clock=nodes.clock,
            get_configuration=Configuration,
            retention=RETENTION,
        )
        self.part = build_burn_report(context=self.context)
        self.exchange: BurnExchange = self.part.run.__self__

    async def count(self, **filters):
        """Returns the requests of the longest window, by organisation."""
        report = await self.part.reporter.report(service="", organisation="")
        return {
            budget.organisation: budget.windows[-1].requests
            for budget in report.budgets
            if budget.objective == "refusal"
        }


class BurnNodes:
    """``number`` nodes of one data centre."""

    def __init__(self, *, clock, number):
        self.clock = clock
        self.log = MemoryLog(clock=clock, retention=RETENTION)
        self.sent = deque()
        self.nodes = [
            BurnNode(nodes=self, identity=make_identity(index + 1))
            for index in range(number)
        ]

    def restart(self, index):
        identity = self.nodes[index].identity
        later = make_identity(index + 1, incarnation=identity.incarnation + 1)
        self.nodes[index] = BurnNode(nodes=self, identity=later)

    async def deliver(self, *, lost=False):
        while self.sent:
            sender, peer, message = self.sent.popleft()
            for node in self.nodes:
                if node.identity.node == peer and not lost:
                    await node.links.handlers[type(message)](sender, message)

    async def append(self, index, *, lost=None, down=False):
        faults = LogFaults(down=down, lost_appends=[lost] if lost else [])
        self.log.faults = faults
        await self.nodes[index].exchange.append()
        self.log.faults = LogFaults()

    async def settle(self):
        """Lets the first node append what all have, without faults."""
        for _ in range(3):
            await trio.sleep(60)
            await self.pass_minute()

    async def pass_minute(self):
        chosen = self.nodes[0].identity.node
        for node in self.nodes:
            node.members.near = {chosen}
            node.exchange.send()
        await self.deliver()
        await self.append(0)
        await self.deliver()
