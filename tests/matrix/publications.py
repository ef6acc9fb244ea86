"""Operators who publish through three nodes that follow one log."""

import random
from datetime import timedelta

import trio

from acaciarack.change_messages import ObjectKind
from acaciarack.errors import Refusal, RunOutcome
from acaciarack.platform import AppendUnknownError, LogUnavailableError
from acaciarack.publication import (
    ConfigurationStore,
    Conflict,
    Invalid,
    Published,
)
from acaciarack_bench.log import MemoryLog
from tests.matrix.cells import Fault, Step
from tests.matrix.world import Host, World
from tests.test_changes import make_edit

NODES = ("node-1", "node-2", "node-3")
RETENTION = timedelta(seconds=300)
IN_FORCE_SECONDS = 3
HEARTBEAT_SECONDS = 1
SAMPLE_SECONDS = 0.1
DENSE_SAMPLE_SECONDS = 0.01
SETTLED_SECONDS = 60
CHANGES_EACH = 2
OBJECT = "a"


class NodeLog:
    """A node's way to the log."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def append(self, *, stream, bodies):
        world = self.world
        await world.reach(Step.PUBLISH, self.host)
        fault = world.take_link_fault(self.host)
        if fault is Fault.CUT:
            raise AppendUnknownError("cut before it arrived")
        if fault is Fault.SILENT and world.random.random() < 0.5:
            await trio.sleep_forever()
        if fault is Fault.DELAY:
            await world.delay()
        first = await world.log.append(stream=stream, bodies=bodies)
        if fault is Fault.SILENT:
            await trio.sleep_forever()
        if fault is Fault.ANSWER_LOST:
            raise AppendUnknownError("the answer is lost")
        await world.reach(Step.VERDICT, self.host)
        match world.take_link_fault(self.host):
            case Fault.CUT | Fault.ANSWER_LOST:
                raise AppendUnknownError("the answer is lost")
            case Fault.SILENT:
                await trio.sleep_forever()
            case Fault.DELAY:
                await world.delay()
        return first

    async def read(self, **arguments):
        world = self.world
        await self.host.gate.wait()
        found = await world.log.read(**arguments)
        if found.entries:
            await world.reach(Step.APPLY, self.host)
            match world.take_link_fault(self.host):
                case Fault.CUT | Fault.ANSWER_LOST:
                    raise LogUnavailableError("the answer is lost")
                case Fault.CROSSED:
                    self.host.late_answers += 1
                    raise LogUnavailableError("the answer is lost")
                case Fault.SILENT:
                    await trio.sleep_forever()
                case Fault.DELAY:
                    await world.delay()
        await self.host.gate.wait()
        return found


class NodePeers:
    """Fetches from the other nodes; a late answer holds an old state."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def fetch(self, minimum_version):
        await trio.sleep(0.002)
        await self.host.gate.wait()
        if self.host.late_answers:
            self.host.late_answers -= 1
            return self.world.old_state
        found = [
            host.store.encode()
            for host in self.world.list_reachable()
            if host is not self.host
        ]
        best = max(found, key=lambda item: item.version, default=None)
        if best is None or best.version < minimum_version:
            return None
        return best


class PublicationWorld(World):
    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        self.log = MemoryLog(clock=self.clock, retention=RETENTION)
        self.hosts = {}
        self.armed = False
        self.old_state = None
        self.results = []
        self.seen = set()
        self.numbers = iter(range(1, 1000))
        self.all_hosts = []

    async def start(self, name):
        host = Host(self, name)
        host.late_answers = 0
        host.since = trio.current_time()
        host.newest = 0
        host.store = ConfigurationStore(
            log=NodeLog(self, host),
            clock=self.clock,
            peers=NodePeers(self, host),
            retention=RETENTION,
            randomness=random.Random(f"{self.cell.seed}/{name}"),
        )
        self.hosts[name] = host

        async def start(nursery):
            nursery.start_soon(host.store.run)
            nursery.start_soon(self.send_heartbeats, host)

        await self.nursery.start(host.run, start)

    async def reach(self, step, host):
        if self.armed:
            await super().reach(step, host)
        await host.gate.wait()

    async def inject_here(self, fault, step, host):
        match fault:
            case Fault.PLATFORM_DOWN:
                self.log.faults.down = True
                self.nursery.start_soon(self.heal_later)
            case Fault.PLATFORM_SLOW:
                self.log.faults.delay_seconds = self.random.choice((0.5, 2))
                self.nursery.start_soon(self.heal_later)
            case Fault.RACING:
                other = next(name for name in NODES if name != host.name)
                self.nursery.start_soon(self.publish, other)
                await trio.sleep(self.random.choice((0, 0.001, 0.02)))
            case _:
                host.link_faults.append(fault)

    async def heal_later(self):
        await trio.sleep(self.random.choice((2, 8, 30)))
        self.log.faults.down = False
        self.log.faults.delay_seconds = 0

    async def thaw_later(self, host, seconds):
        await super().thaw_later(host, seconds)
        host.since = trio.current_time()

    def list_reachable(self):
        return [
            host
            for host in self.hosts.values()
            if not host.dead.is_set() and not host.gate.is_frozen
        ]

    async def send_heartbeats(self, host):
        while True:
            await host.gate.wait()
            for other in self.list_reachable():
                if other is not host:
                    other.store.notice_digest(host.store.digest())
            await trio.sleep(HEARTBEAT_SECONDS)

    async def watch(self):
        """Looks at what each node has in force; it may never go back."""
        faults = {item.fault for item in self.cell.injections}
        late = Fault.CROSSED in faults
        interval = DENSE_SAMPLE_SECONDS if late else SAMPLE_SECONDS
        while True:
            for host in self.list_reachable():
                current = host.store.current()
                self.expect(
                    current.version >= host.newest,
                    f"{host.name} went from {host.newest} to {current.version}",
                )
                host.newest = current.version
                found = current.organisations.get(OBJECT)
                self.seen.add(found and round(found.share) - 1)
            await trio.sleep(interval)

    async def publish(self, name):
        """One change by an operator; its value is like no other's."""
        host = self.hosts[name]
        if host.dead.is_set():
            return
        value = next(self.numbers)
        base = host.store.current().version
        edits = (make_edit(ObjectKind.ORGANISATION, OBJECT, value),)
        done = trio.Event()

        async def publish():
            result = await host.store.publish(edits, base, f"op-{value}")
            self.results.append((value, base, result))
            if isinstance(result, Published):
                self.nursery.start_soon(self.check_in_force, result.version)
            done.set()

        host.nursery.start_soon(publish)
        with trio.move_on_after(40):
            await done.wait()

    async def check_in_force(self, version):
        await trio.sleep(IN_FORCE_SECONDS)
        oldest = trio.current_time() - IN_FORCE_SECONDS
        for host in self.list_reachable():
            found = host.store.current().version
            self.expect(
                found >= version or host.since > oldest,
                f"{host.name} has {found} 3 s after {version} was accepted",
            )

    async def operate(self, name):
        for _ in range(CHANGES_EACH):
            await self.publish(name)
            await trio.sleep(self.random.choice((0.01, 1, 4)))

    async def run(self):
        for name in NODES:
            await self.start(name)
        await trio.sleep(1)
        self.old_state = self.hosts[NODES[0]].store.encode()
        await self.publish(NODES[0])
        await trio.sleep(1)
        self.armed = True
        self.nursery.start_soon(self.watch)
        async with trio.open_nursery() as nursery:
            for name in NODES[:2]:
                nursery.start_soon(self.operate, name)
                await trio.sleep(0.3)
        await trio.sleep(SETTLED_SECONDS)
        # A renewal may have reached a step long after the operators.
        self.armed = False
        for name in NODES:
            await self.hosts[name].gate.wait()
        await trio.sleep(SETTLED_SECONDS)
        self.check()

    def check(self):
        digests = {h.store.digest() for h in self.list_reachable()}
        self.expect(len(digests) == 1, f"nodes differ: {digests}")
        self.expect(len(self.list_reachable()) == len(NODES), "a node is out")
        accepted = []
        for value, base, result in self.results:
            if isinstance(result, Published):
                accepted.append((result.version, base, value))
            elif isinstance(result, Conflict | Invalid) or (
                isinstance(result, Refusal)
                and result.outcome is RunOutcome.NOT_RUN
            ):
                self.expect(
                    value not in self.seen, f"refused {value} was in force"
                )
        self.check_accepted(sorted(accepted))

    def check_accepted(self, accepted):
        """Each was published by someone who saw the one before it."""
        store = self.list_reachable()[0].store
        history = {entry.offset: entry for entry in store.list_history()}
        for version, _, value in accepted:
            entry = history.get(version)
            told = entry is not None and not entry.reason
            self.expect(told, f"{value} was accepted and is not in force")
        versions = [offset for offset in history if not history[offset].reason]
        for version, base, value in accepted:
            between = [v for v in versions if base < v < version]
            self.expect(
                not between, f"{value} undid {between} that it had not seen"
            )
