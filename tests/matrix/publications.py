"""Simulates operators who publish changes through three nodes and a log."""

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
from tests.matrix.simulation import Host, Simulation
from tests.test_changes import make_edit

NODES = ("node-1", "node-2", "node-3")
RETENTION = timedelta(seconds=300)
MAX_PROPAGATION_SECONDS = 3
HEARTBEAT_SECONDS = 1
SAMPLE_INTERVAL_SECONDS = 0.1
SHORT_SAMPLE_INTERVAL_SECONDS = 0.01
SETTLING_SECONDS = 60
CHANGES_PER_OPERATOR = 2
ORGANISATION_NAME = "a"


class NodeLog:
    """Injects faults between a node and the log."""

    def __init__(self, simulation, host):
        self.simulation = simulation
        self.host = host

    async def append(self, *, stream, bodies):
        simulation = self.simulation
        await simulation.enter_step(Step.PUBLISH, self.host)
        fault = simulation.pop_link_fault(self.host)
        if fault is Fault.CUT:
            raise AppendUnknownError(
                "connection lost before the append arrived"
            )
        if fault is Fault.SILENT and simulation.random.random() < 0.5:
            await trio.sleep_forever()
        if fault is Fault.DELAY:
            await simulation.delay()
        offset = await simulation.log.append(stream=stream, bodies=bodies)
        if fault is Fault.SILENT:
            await trio.sleep_forever()
        if fault is Fault.ANSWER_LOST:
            raise AppendUnknownError("connection lost before the response")
        await simulation.enter_step(Step.VERDICT, self.host)
        match simulation.pop_link_fault(self.host):
            case Fault.CUT | Fault.ANSWER_LOST:
                raise AppendUnknownError("connection lost before the response")
            case Fault.SILENT:
                await trio.sleep_forever()
            case Fault.DELAY:
                await simulation.delay()
        return offset

    async def read(self, **arguments):
        simulation = self.simulation
        await self.host.gate.wait()
        log_slice = await simulation.log.read(**arguments)
        if log_slice.entries:
            await simulation.enter_step(Step.APPLY, self.host)
            match simulation.pop_link_fault(self.host):
                case Fault.CUT | Fault.ANSWER_LOST:
                    raise LogUnavailableError(
                        "connection lost before the response"
                    )
                case Fault.CROSSED:
                    self.host.stale_responses += 1
                    raise LogUnavailableError(
                        "connection lost before the response"
                    )
                case Fault.SILENT:
                    await trio.sleep_forever()
                case Fault.DELAY:
                    await simulation.delay()
        await self.host.gate.wait()
        return log_slice


class NodePeers:
    """Fetches the newest state from the other nodes.

    A stale response contains an old state instead.
    """

    def __init__(self, simulation, host):
        self.simulation = simulation
        self.host = host

    async def fetch(self, minimum_version):
        await trio.sleep(0.002)
        await self.host.gate.wait()
        if self.host.stale_responses:
            self.host.stale_responses -= 1
            return self.simulation.old_state
        states = [
            host.store.encode()
            for host in self.simulation.list_reachable()
            if host is not self.host
        ]
        newest = max(states, key=lambda item: item.version, default=None)
        if newest is None or newest.version < minimum_version:
            return None
        return newest


class PublicationSimulation(Simulation):
    """Checks that nodes converge, and that accepted changes take effect."""

    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        self.log = MemoryLog(clock=self.clock, retention=RETENTION)
        self.hosts = {}
        self.is_injecting = False
        self.old_state = None
        self.results = []
        self.observed_values = set()
        self.new_values = iter(range(1, 1000))
        self.all_hosts = []

    async def start(self, name):
        host = Host(self, name)
        host.stale_responses = 0
        host.running_since = trio.current_time()
        host.newest_version = 0
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

    async def enter_step(self, step, host):
        if self.is_injecting:
            await super().enter_step(step, host)
        await host.gate.wait()

    async def inject_path_fault(self, fault, step, host):
        match fault:
            case Fault.PLATFORM_DOWN:
                self.log.faults.down = True
                self.nursery.start_soon(self.restore_log_later)
            case Fault.PLATFORM_SLOW:
                self.log.faults.delay_seconds = self.random.choice((0.5, 2))
                self.nursery.start_soon(self.restore_log_later)
            case Fault.RACING:
                other = next(name for name in NODES if name != host.name)
                self.nursery.start_soon(self.publish, other)
                await trio.sleep(self.random.choice((0, 0.001, 0.02)))
            case _:
                host.link_faults.append(fault)

    async def restore_log_later(self):
        await trio.sleep(self.random.choice((2, 8, 30)))
        self.log.faults.down = False
        self.log.faults.delay_seconds = 0

    async def thaw_later(self, host, seconds):
        await super().thaw_later(host, seconds)
        host.running_since = trio.current_time()

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
                    other.store.record_peer_digest(host.store.digest())
            await trio.sleep(HEARTBEAT_SECONDS)

    async def watch_versions(self):
        """Checks that the version in effect on a node never decreases.

        Also records the values in effect. Samples at short intervals if a node
        can receive a stale response.
        """
        faults = {item.fault for item in self.cell.injections}
        has_stale_responses = Fault.CROSSED in faults
        interval = (
            SHORT_SAMPLE_INTERVAL_SECONDS
            if has_stale_responses
            else SAMPLE_INTERVAL_SECONDS
        )
        while True:
            for host in self.list_reachable():
                current = host.store.current()
                self.expect(
                    current.version >= host.newest_version,
                    f"{host.name} went from {host.newest_version}"
                    f" to {current.version}",
                )
                host.newest_version = current.version
                organisation = current.organisations.get(ORGANISATION_NAME)
                # make_edit sets the share to the value plus 1.
                self.observed_values.add(
                    organisation and round(organisation.share) - 1
                )
            await trio.sleep(interval)

    async def publish(self, name):
        """Publishes one change with a unique value through the named node."""
        host = self.hosts[name]
        if host.dead.is_set():
            return
        value = next(self.new_values)
        base_version = host.store.current().version
        edits = (make_edit(ObjectKind.ORGANISATION, ORGANISATION_NAME, value),)
        done = trio.Event()

        async def publish():
            result = await host.store.publish(
                edits, base_version, f"op-{value}"
            )
            self.results.append((value, base_version, result))
            if isinstance(result, Published):
                self.nursery.start_soon(self.check_propagation, result.version)
            done.set()

        host.nursery.start_soon(publish)
        with trio.move_on_after(40):
            await done.wait()

    async def check_propagation(self, version):
        """Checks that nodes have a version after MAX_PROPAGATION_SECONDS.

        Skips nodes that started or thawed during that time.
        """
        await trio.sleep(MAX_PROPAGATION_SECONDS)
        earliest_start = trio.current_time() - MAX_PROPAGATION_SECONDS
        for host in self.list_reachable():
            current_version = host.store.current().version
            self.expect(
                current_version >= version
                or host.running_since > earliest_start,
                f"{host.name} has {current_version} 3 s after {version}"
                " was accepted",
            )

    async def publish_changes(self, name):
        for _ in range(CHANGES_PER_OPERATOR):
            await self.publish(name)
            await trio.sleep(self.random.choice((0.01, 1, 4)))

    async def run(self):
        for name in NODES:
            await self.start(name)
        await trio.sleep(1)
        self.old_state = self.hosts[NODES[0]].store.encode()
        await self.publish(NODES[0])
        await trio.sleep(1)
        self.is_injecting = True
        self.nursery.start_soon(self.watch_versions)
        async with trio.open_nursery() as nursery:
            for name in NODES[:2]:
                nursery.start_soon(self.publish_changes, name)
                await trio.sleep(0.3)
        await trio.sleep(SETTLING_SECONDS)
        # Appending a snapshot also visits steps, long after the last change.
        self.is_injecting = False
        for name in NODES:
            await self.hosts[name].gate.wait()
        await trio.sleep(SETTLING_SECONDS)
        self.check()

    def check(self):
        digests = {h.store.digest() for h in self.list_reachable()}
        self.expect(len(digests) == 1, f"nodes differ: {digests}")
        self.expect(len(self.list_reachable()) == len(NODES), "a node is out")
        accepted = []
        for value, base_version, result in self.results:
            if isinstance(result, Published):
                accepted.append((result.version, base_version, value))
            elif isinstance(result, Conflict | Invalid) or (
                isinstance(result, Refusal)
                and result.outcome is RunOutcome.NOT_RUN
            ):
                self.expect(
                    value not in self.observed_values,
                    f"refused {value} was in force",
                )
        self.check_accepted(sorted(accepted))

    def check_accepted(self, accepted):
        """Checks that each accepted change took effect and missed no other.

        A change must be based on the last accepted version before it.
        """
        store = self.list_reachable()[0].store
        history = {entry.offset: entry for entry in store.list_history()}
        for version, _, value in accepted:
            entry = history.get(version)
            is_in_force = entry is not None and not entry.reason
            self.expect(
                is_in_force, f"{value} was accepted and is not in force"
            )
        versions = [offset for offset in history if not history[offset].reason]
        for version, base_version, value in accepted:
            unseen_versions = [
                v for v in versions if base_version < v < version
            ]
            self.expect(
                not unseen_versions,
                f"{value} undid {unseen_versions} that it had not seen",
            )
