"""Calls that may run only once, through two nodes and the log."""

import uuid
from datetime import timedelta

import trio

from acaciarack.errors import RunOutcome
from acaciarack.execution import StoredAnswer
from acaciarack.keys import KeyIndex
from acaciarack.ledger import LogLedger
from acaciarack.limits import InFlight
from acaciarack.platform import AppendUnknownError
from acaciarack.records import Claim, Outcome, decode_ledger_record
from acaciarack.service_runs import ServiceParts
from acaciarack.services import Services
from acaciarack.transports import (
    ConnectionLostError,
    ConnectionSilentError,
    NotSentError,
)
from acaciarack.web import App
from acaciarack_bench.log import LostAppend, MemoryLog
from tests.fakes import (
    KEY,
    Exchange,
    FakeBudget,
    FakePlacer,
    build_configuration,
)
from tests.matrix.cells import LOG_STEPS, Fault, Step
from tests.matrix.stops import Stop
from tests.matrix.world import Host, World

RETENTION = timedelta(seconds=300)
SKEW = timedelta(seconds=5)
CALLS = 2
PROGRESS_SECONDS = 5
STALLED_SECONDS = 60
EXPIRED_SECONDS = 400
PATIENCE_SECONDS = 8
AT_ONCE_SECONDS = 0.05
NOTICED_SECONDS = 5
TRIES = 8
TARGETS = ("utleie-app-1", "utleie-app-2")


class NodeLog:
    """A node's way to the log; an append goes on when the node gives up."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def append(self, *, stream, bodies):
        kinds = {type(decode_ledger_record(body)) for body in bodies}
        for kind, step in ((Claim, Step.CLAIM), (Outcome, Step.OUTCOME)):
            if kind in kinds:
                await self.world.reach(step, self.host)
        results = []
        done = trio.Event()

        async def append():
            try:
                await self.world.cross_link(self.host)
                results.append(
                    await self.world.log.append(stream=stream, bodies=bodies)
                )
            except Exception as error:
                results.append(error)
            done.set()

        self.world.nursery.start_soon(append)
        await done.wait()
        if Claim in kinds:
            await self.world.reach(Step.READ_BACK, self.host)
        await self.host.gate.wait()
        if isinstance(results[0], Exception):
            raise results[0]
        return results[0]

    async def read(self, **arguments):
        await self.host.gate.wait()
        found = await self.world.log.read(**arguments)
        await self.host.gate.wait()
        return found


class Target:
    def __init__(self, name):
        self.name = name
        self.port = 1
        self.dead = False


class Client:
    """Speaks with the application servers, which count executions."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def send(self, target, call, *, fresh):
        world = self.world
        await trio.sleep(0.001)
        await world.reach(Step.DISPATCH, self.host)
        link = world.take_link_fault(self.host)
        if world.targets[target.name].dead:
            raise NotSentError("refused")
        if link is Fault.CUT:
            raise ConnectionLostError("cut before it arrived")
        if link is Fault.SILENT:
            await trio.sleep(PROGRESS_SECONDS)
            raise ConnectionSilentError("silent")
        if link is Fault.DELAY:
            await world.delay()
        key = call.headers["idempotency-key"]
        world.executions[key] = world.executions.get(key, 0) + 1
        if link is Fault.ANSWER_LOST:
            raise ConnectionLostError("the answer is lost")
        await trio.sleep(0.01)
        await world.reach(Step.EXECUTED, self.host)
        link = world.take_link_fault(self.host)
        if world.targets[target.name].dead or link in (
            Fault.CUT,
            Fault.ANSWER_LOST,
        ):
            raise ConnectionLostError("cut after it ran")
        if link is Fault.SILENT:
            await trio.sleep(PROGRESS_SECONDS)
            raise ConnectionSilentError("silent")
        if link is Fault.DELAY:
            await world.delay()
        return StoredAnswer(status=201, body=key.encode())


class Placer(FakePlacer):
    def __init__(self, world, host, names):
        super().__init__(names)
        self.world = world
        self.host = host

    async def place(self, request):
        await self.world.reach(Step.ADMISSION, self.host)
        return await super().place(request)


class CallWorld(World):
    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        self.log = MemoryLog(clock=self.clock, retention=RETENTION)
        self.targets = {name: Target(name) for name in TARGETS}
        self.configuration = build_configuration(
            apps=list(self.targets.values())
        )
        self.hosts = {}
        self.executions = {}
        self.answers = []

    async def start(self, name):
        host = Host(self, name)
        self.hosts[name] = host
        ledger = LogLedger(
            log=NodeLog(self, host),
            clock=self.clock,
            node=name,
            retention=RETENTION,
            skew=SKEW,
            partitions=1,
        )
        host.stop = Stop(self, host, ledger.count_active)
        services = Services(
            parts=ServiceParts(
                clock=self.clock,
                node=name,
                configuration=lambda: self.configuration,
                placer=Placer(self, host, list(TARGETS)),
                client=Client(self, host),
                ledger=ledger,
                budget=FakeBudget(),
                observe=lambda observation: None,
            ),
            keys=KeyIndex(configuration=lambda: self.configuration),
            in_flight=InFlight(),
        )
        host.app = host.stop.guard(App(endpoints=services.list_endpoints()))

        async def start(nursery):
            nursery.start_soon(ledger.run)

        await self.nursery.start(host.run, start)

    async def inject_here(self, fault, step, host):
        log = self.log.faults
        seconds = self.random.choice((1, 4, 9))
        on_log = step in LOG_STEPS
        match fault:
            case Fault.PLATFORM_DOWN:
                log.down = True
                self.nursery.start_soon(self.heal_later, seconds)
            case Fault.PLATFORM_SLOW:
                log.delay_seconds = self.random.choice((0.5, 2, 4))
                self.nursery.start_soon(self.heal_later, seconds)
            case Fault.ANSWER_LOST if on_log:
                log.lost_appends.append(LostAppend.APPLIED)
            case Fault.CUT if on_log:
                log.lost_appends.append(LostAppend.DROPPED)
            case Fault.RACING:
                self.nursery.start_soon(self.call, 0, self.pick_other(host))
                await trio.sleep(self.random.choice((0, 0.001, 0.01)))
            case Fault.STALE_VMS | Fault.RECLAIMED:
                self.targets[TARGETS[0]].dead = True
            case Fault.PLANNED_STOP:
                host.stop.begin()
            case Fault.CUT if step in (Step.ACCEPT, Step.ADMISSION):
                self.cut_callers(host)
            case _:
                host.link_faults.append(fault)

    async def cross_link(self, host):
        """A silent link to the log may or may not carry the append."""
        fault = self.take_link_fault(host)
        if fault is Fault.SILENT:
            await trio.sleep(self.random.choice((1, 10, 40)))
            if self.random.random() < 0.5:
                raise AppendUnknownError("never arrived")
        if fault is Fault.DELAY:
            await trio.sleep(self.random.choice((0.5, 2, 5)))

    async def heal_later(self, seconds):
        await trio.sleep(seconds)
        self.log.faults.down = False
        self.log.faults.delay_seconds = 0

    def cut_callers(self, host):
        for exchange in host.stop.exchanges:
            exchange.cut = True
            exchange.leave.set()

    def pick_other(self, host):
        return next(n for n in self.hosts if n != host.name)

    async def call(self, number, name):
        """One try of a caller; ``None`` if its connection was lost."""
        host = self.hosts[name]
        exchange = Exchange(
            method="POST",
            path="/v1/services/booking/van",
            body=f"van {number}".encode(),
            headers={
                "authorization": f"Bearer {KEY}",
                "idempotency-key": self.keys[number],
            },
        )
        exchange.cut = False
        with trio.move_on_after(PATIENCE_SECONDS) as scope:
            if await self.accept(host):
                await host.stop.serve(exchange)
        if scope.cancelled_caught or exchange.cut or not exchange.whole:
            return None
        self.record(number, exchange)
        return exchange

    def record(self, number, exchange):
        headers = dict(exchange.headers)
        key = self.keys[number]
        if exchange.status == 201:
            self.expect(
                exchange.body.decode() == key, "another call's answer came"
            )
            self.answers.append((key, RunOutcome.RAN))
            return
        body = exchange.body.decode()
        outcome = next(o for o in RunOutcome if f'"outcome":"{o}"' in body)
        self.answers.append((key, outcome))
        if exchange.status in (429, 503):
            self.expect(b"retry-after" in headers, f"no Retry-After: {body}")

    async def insist(self, number, name):
        """A caller that repeats its call at the other node in turn."""
        names = [name, *(n for n in self.hosts if n != name)]
        for attempt in range(TRIES):
            await self.call(number, names[attempt % len(names)])
            if any(
                key == self.keys[number] and outcome is RunOutcome.RAN
                for key, outcome in self.answers
            ):
                return
            await trio.sleep(2)

    async def run(self):
        for name in ("node-1", "node-2"):
            await self.start(name)
        await trio.sleep(30)
        milliseconds = round(self.clock.now().timestamp() * 1000)
        self.keys = [
            str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | n))
            for n in range(CALLS)
        ]
        async with trio.open_nursery() as callers:
            callers.start_soon(self.insist, 0, "node-1")
            callers.start_soon(self.insist, 1, "node-1")
        await trio.sleep(45)
        await self.repeat_everywhere()
        await self.check_refusal_at_once()
        await self.repeat_late()
        self.check()

    async def repeat_everywhere(self):
        self.log.faults.down = False
        self.log.faults.delay_seconds = 0
        await trio.sleep(10)
        for name in self.hosts:
            for number in range(CALLS):
                await self.call(number, name)

    async def repeat_late(self):
        """Repeats the keys once their records have expired on the log."""
        if all(i.fault is not Fault.LAPSED for i in self.cell.injections):
            return
        self.log.faults.down = False
        self.log.faults.delay_seconds = 0
        await trio.sleep(EXPIRED_SECONDS)
        for name in self.hosts:
            milliseconds = round(self.clock.now().timestamp() * 1000)
            fresh = milliseconds << 80 | 7 << 76 | 2 << 62
            self.keys.append(str(uuid.UUID(int=fresh)))
            await self.call(len(self.keys) - 1, name)
        for name in self.hosts:
            for number in range(CALLS):
                await self.call(number, name)

    async def check_refusal_at_once(self):
        """With the log down for a while, a new call is refused at once."""
        live = [
            host
            for host in self.hosts.values()
            if host.stop.is_open() and not host.gate.is_frozen
        ]
        if not live or self.clock.elapsed() > timedelta(seconds=250):
            return
        if self.random.random() < 0.5:
            self.log.faults.down = True
        else:
            self.log.faults.delay_seconds = STALLED_SECONDS
        await trio.sleep(NOTICED_SECONDS)
        self.keys.append(str(uuid.UUID(int=uuid.UUID(self.keys[0]).int + 99)))
        start = trio.current_time()
        exchange = await self.call(CALLS, live[0].name)
        seconds = trio.current_time() - start
        refused = exchange is not None and exchange.status == 503
        self.expect(refused, "not refused while the log is down")
        self.expect(
            seconds <= AT_ONCE_SECONDS, f"refused after {seconds:.2f} s"
        )

    def check(self):
        for key, count in self.executions.items():
            self.expect(count <= 1, f"{key} ran {count} times")
        for key, outcome in self.answers:
            count = self.executions.get(key, 0)
            if outcome is RunOutcome.NOT_RUN:
                self.expect(count == 0, f"{key} ran though told not_run")
            if outcome is RunOutcome.RAN:
                self.expect(count == 1, f"{key} answered, ran {count} times")
