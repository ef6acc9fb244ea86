"""Streamed generations through two nodes, resumed on the other one."""

import dataclasses
import json

import trio

from acaciarack.departures import Departures
from acaciarack.generations import GenerationParts
from acaciarack.keys import KeyIndex
from acaciarack.limits import InFlight
from acaciarack.responses import Responses
from acaciarack.seals import Sealer, SealKey
from acaciarack.streams import Follower
from acaciarack.transports import (
    ConnectionLostError,
    ConnectionSilentError,
    NotSentError,
)
from acaciarack.web import App
from tests.fakes import (
    KEY,
    OTHER_KEY,
    Exchange,
    FakeBudget,
    FakeClient,
    FakeEngine,
    FakePlacer,
    FakeStream,
    build_configuration,
    build_events,
)
from tests.matrix.cells import Fault, Step
from tests.matrix.stops import Stop
from tests.matrix.world import Host, World

TOKENS = 5
FIRST_DELTA = 2
STEP_OF_EVENT = {
    FIRST_DELTA: Step.FIRST_TOKEN,
    FIRST_DELTA + TOKENS // 2: Step.MIDDLE,
    FIRST_DELTA + TOKENS: Step.LAST_TOKEN,
}
PROGRESS_SECONDS = 5
PATIENCE_SECONDS = 9
SLOW_GAP_SECONDS = 2.5
TRIES = 20
CALLERS = (("caller-0", KEY), ("caller-1", OTHER_KEY))
SEALER = Sealer(keys=[SealKey(number=1, secret=bytes(32))])
# After these the answer may end in a truthful failure.
MAY_FAIL = frozenset({Fault.RECLAIMED, Fault.STALE_VMS, Fault.RACING})


class Engine(FakeEngine):
    """Its tokens name the request and the generation that they are of."""

    def __init__(self, name, gap):
        super().__init__(name=name, gap=gap)
        self.inputs = {}

    def start(self, body):
        self.check()
        text = json.loads(body)["input"]
        response_id = f"{self.name}-{len(self.events)}"
        tokens = [f"{text}/{response_id}/{n} " for n in range(TOKENS)]
        self.events[response_id] = build_events(response_id, tokens)
        self.inputs[response_id] = text
        return response_id


class Client(FakeClient):
    def __init__(self, world, host):
        super().__init__(world.engines)
        self.world = world
        self.host = host

    async def open(self, target, body):
        world = self.world
        engine = self.engines[target.name]
        await trio.sleep(0.001)
        await world.reach(Step.DISPATCH, self.host)
        fault = world.take_link_fault(self.host)
        if engine.dead:
            raise NotSentError("refused")
        if fault is Fault.CUT:
            raise ConnectionLostError("cut before it arrived")
        response_id = engine.start(body)
        if fault is Fault.ANSWER_LOST:
            raise ConnectionLostError("the answer is lost")
        if fault is Fault.SILENT:
            await trio.sleep(PROGRESS_SECONDS)
            raise ConnectionSilentError("silent")
        if fault is Fault.DELAY:
            await world.delay()
        return FakeStream(self.stream(engine, response_id, -1))

    async def resume(self, target, *, engine_id, starting_after):
        await self.host.gate.wait()
        await super().resume(
            target, engine_id=engine_id, starting_after=starting_after
        )
        after = -1 if starting_after is None else starting_after
        engine = self.engines[target.name]
        return FakeStream(self.stream(engine, engine_id, after))

    async def stream(self, engine, response_id, after):
        async for event in engine.stream(response_id, after):
            step = STEP_OF_EVENT.get(event["sequence_number"])
            if step is not None:
                await self.world.reach(step, self.host)
            await self.host.gate.wait()
            fault = self.world.take_link_fault(self.host)
            if engine.dead or fault is Fault.CUT:
                raise ConnectionLostError("broken")
            if fault is Fault.SILENT:
                await trio.sleep(PROGRESS_SECONDS)
                raise ConnectionSilentError("silent")
            if fault is Fault.DELAY:
                await self.world.delay()
            if fault is Fault.CROSSED:
                for other in self.world.cross(engine, event):
                    yield other
                continue
            yield event


class Placer(FakePlacer):
    def __init__(self, world, host):
        super().__init__([engine.name for engine in world.engines])
        self.world = world
        self.host = host

    async def place(self, request):
        await self.world.reach(Step.ADMISSION, self.host)
        return await super().place(request)


class Caller:
    """What one caller sent and got."""

    def __init__(self, name, key):
        self.name = name
        self.key = key
        self.events = []
        self.inputs = []
        self.exchanges = 0

    def take(self, events):
        self.events += events

    @property
    def response_id(self):
        return next(e["response"]["id"] for e in self.events)

    @property
    def ended(self):
        last = self.events[-1]["type"] if self.events else ""
        return last in ("response.completed", "response.failed")


class GenerationWorld(World):
    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        faults = {item.fault for item in cell.injections}
        slow = Fault.PLANNED_STOP in faults
        gap = SLOW_GAP_SECONDS if slow else 0.01
        self.engines = [Engine(f"rettleiar-{n}", gap) for n in range(3)]
        self.configuration = build_configuration(self.engines)
        self.hosts = {}
        self.callers = []
        self.not_run = []
        self.must_complete = not faults & MAY_FAIL
        self.must_not_cut = faults == {Fault.PLANNED_STOP}

    async def start(self, name):
        host = Host(self, name)
        self.hosts[name] = host
        in_flight = InFlight()
        host.stop = Stop(self, host, lambda: in_flight.total)
        host.departures = Departures(node=name, announcer=self)
        client = Client(self, host)
        responses = Responses(
            parts=GenerationParts(
                clock=self.clock,
                node=name,
                configuration=lambda: self.configuration,
                placer=Placer(self, host),
                client=client,
                follower=Follower(client=client),
                sealer=SEALER,
                budget=FakeBudget(),
                departures=host.departures,
                observe=lambda observation: None,
            ),
            keys=KeyIndex(configuration=lambda: self.configuration),
            in_flight=in_flight,
        )
        host.app = host.stop.guard(App(endpoints=responses.list_endpoints()))

        async def start(nursery):
            nursery.start_soon(responses.run)
            await trio.sleep(0.001)

        await self.nursery.start(host.run, start)

    async def announce(self, *, node, request_id):
        host = self.hosts[node]
        await host.gate.wait()
        if not host.dead.is_set():
            host.departures.keep(request_id)

    async def inject_here(self, fault, step, host):
        match fault:
            case Fault.STALE_VMS | Fault.RECLAIMED:
                self.engines[0].dead = True
            case Fault.RACING:
                targets = dict(self.configuration.targets)
                targets.pop(self.engines[0].name, None)
                self.configuration = dataclasses.replace(
                    self.configuration, targets=targets
                )
            case Fault.PLANNED_STOP:
                host.stop.begin()
            case Fault.CUT if step in (Step.ACCEPT, Step.ADMISSION):
                for exchange in host.stop.exchanges:
                    exchange.cut = True
                    exchange.leave.set()
            case _:
                host.link_faults.append(fault)

    def cross(self, engine, event):
        """A repeat, a gap, or an event of another generation."""
        number = event["sequence_number"]
        other_id = engine.start(json.dumps({"input": "stranger"}).encode())
        foreign = engine.events[other_id][number]
        own = next(
            events
            for events in engine.events.values()
            if event in events and events[number] is event
        )
        ways = (
            [own[number - 1], event],
            [own[number + 1]] if number + 1 < len(own) else [foreign],
            [foreign],
            [event, event],
        )
        return self.random.choice(ways)

    async def run(self):
        for name in ("node-1", "node-2"):
            await self.start(name)
        self.callers = [Caller(*pair) for pair in CALLERS]
        async with trio.open_nursery() as nursery:
            for caller in self.callers:
                nursery.start_soon(self.insist, caller)
        await trio.sleep(60)
        await self.ask_for_each_other()
        for caller in self.callers:
            self.check(caller)
        for text in self.not_run:
            ran = any(text in engine.inputs.values() for engine in self.engines)
            self.expect(not ran, f"{text} ran though told not_run")

    async def ask_for_each_other(self):
        """No organisation reaches another one's response by its id."""
        hosts = [h for h in self.hosts.values() if not h.dead.is_set()]
        for host in hosts:
            for own, other in (self.callers, reversed(self.callers)):
                if not other.events:
                    continue
                exchange = Exchange(
                    method="GET",
                    path=f"/v1/responses/{other.response_id}",
                    headers={"authorization": f"Bearer {own.key}"},
                )
                exchange.cut = False
                await host.stop.serve(exchange)
                self.expect(
                    exchange.status in (0, 404),
                    f"{own.name} reached the response of {other.name}",
                )

    async def insist(self, caller):
        """Sends, and resumes through the other node until the end."""
        for attempt in range(TRIES):
            name = f"node-{1 + attempt % 2}"
            host = self.hosts[name]
            if not host.dead.is_set():
                await self.ask(caller, host)
            if caller.ended:
                return
            await trio.sleep(0.5)

    def prepare(self, caller):
        headers = {"authorization": f"Bearer {caller.key}"}
        if caller.events:
            after = caller.events[-1]["sequence_number"]
            return Exchange(
                method="GET",
                path=f"/v1/responses/{caller.response_id}",
                query=f"stream=true&starting_after={after}".encode(),
                headers=headers,
            )
        caller.inputs.append(f"{caller.name}-{len(caller.inputs)}")
        body = {"model": "chat", "input": caller.inputs[-1], "stream": True}
        return Exchange(
            method="POST",
            path="/v1/responses",
            body=json.dumps(body).encode(),
            headers=headers,
        )

    async def ask(self, caller, host):
        exchange = self.prepare(caller)
        exchange.cut = False
        caller.exchanges += 1
        with trio.CancelScope() as scope:
            scope.deadline = trio.current_time() + PATIENCE_SECONDS

            async def write(event):
                await host.gate.wait()
                scope.deadline = trio.current_time() + PATIENCE_SECONDS

            exchange.write = write
            if await self.accept(host):
                await host.stop.serve(exchange)
        body = exchange.body
        if exchange.status == 200:
            caller.take(exchange.events)
        elif exchange.whole:
            self.take_refusal(caller, exchange, json.loads(body))

    def take_refusal(self, caller, exchange, problem):
        if problem["outcome"] == "not_run" and exchange.scope["method"] == (
            "POST"
        ):
            self.not_run.append(caller.inputs[-1])
        if exchange.status in (429, 503):
            self.expect(
                b"retry-after" in dict(exchange.headers),
                f"no Retry-After: {problem}",
            )

    def check(self, caller):
        """Compares what a caller got with the engines' own record."""
        numbers = [event["sequence_number"] for event in caller.events]
        self.expect(
            numbers == list(range(len(numbers))),
            f"{caller.name} got the numbers {numbers}",
        )
        ids = {e["response"]["id"] for e in caller.events if "response" in e}
        self.expect(len(ids) <= 1, f"{caller.name} got several ids")
        tokens = [e["delta"] for e in caller.events if "delta" in e]
        generations = {token.split("/")[1] for token in tokens}
        texts = {token.split("/")[0] for token in tokens}
        self.expect(
            len(generations) <= 1, f"{caller.name} got {generations} together"
        )
        self.expect(texts <= set(caller.inputs), f"{caller.name} got {texts}")
        self.check_tokens(caller, tokens, generations)

    def check_tokens(self, caller, tokens, generations):
        record = [
            event["delta"]
            for engine in self.engines
            for response_id, events in engine.events.items()
            for event in events
            if response_id in generations and "delta" in event
        ]
        self.expect(
            tokens == record[: len(tokens)], f"{caller.name} got {tokens}"
        )
        ended = caller.events[-1] if caller.events else {"type": ""}
        completed = ended["type"] == "response.completed"
        if completed:
            (item,) = ended["response"]["output"]
            text = item["content"][0]["text"]
            self.expect(tokens == record, f"{caller.name} lost tokens")
            self.expect(text == "".join(record), f"{caller.name} got {text}")
        self.expect(
            completed or not self.must_complete,
            f"{caller.name} got no whole answer: {len(tokens)} tokens",
        )
        if self.must_not_cut:
            self.expect(
                caller.exchanges == 1, f"{caller.name} had to reconnect"
            )
