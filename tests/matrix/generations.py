"""Simulates streamed generations that callers resume on another node."""

import dataclasses
import json

import trio

from acaciarack.generations import GenerationDependencies
from acaciarack.keys import KeyIndex
from acaciarack.limits import RequestLimiter
from acaciarack.responses import ResponsesHandler
from acaciarack.resume_tracker import ResumeTracker
from acaciarack.seals import Sealer, SealKey
from acaciarack.streams import GenerationReader
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
from tests.matrix.simulation import Host, Simulation
from tests.matrix.stops import GracefulStop

TOKEN_COUNT = 5
FIRST_DELTA = 2
"""The sequence number of the first token event."""
STEP_BY_EVENT = {
    FIRST_DELTA: Step.FIRST_TOKEN,
    FIRST_DELTA + TOKEN_COUNT // 2: Step.MIDDLE,
    FIRST_DELTA + TOKEN_COUNT: Step.LAST_TOKEN,
}
PROGRESS_TIMEOUT_SECONDS = 5
CALLER_TIMEOUT_SECONDS = 9
"""Counted from the request or the last event that the caller received."""
SLOW_TOKEN_GAP_SECONDS = 2.5
"""Makes a stream last longer than a draining node accepts new requests."""
MAX_ATTEMPTS = 20
CALLERS = (("caller-0", KEY), ("caller-1", OTHER_KEY))
SEALER = Sealer(keys=[SealKey(number=1, secret=bytes(32))])
# Faults after which a response may end with response.failed.
FAULTS_ALLOWING_FAILURE = frozenset(
    {Fault.RECLAIMED, Fault.STALE_VMS, Fault.RACING}
)


class Engine(FakeEngine):
    """An engine whose tokens contain the request's input and response id."""

    def __init__(self, name, gap):
        super().__init__(name=name, gap=gap)
        self.inputs = {}

    def start(self, body):
        self.check()
        text = json.loads(body)["input"]
        response_id = f"{self.name}-{len(self.events)}"
        tokens = [f"{text}/{response_id}/{n} " for n in range(TOKEN_COUNT)]
        self.events[response_id] = build_events(response_id, tokens)
        self.inputs[response_id] = text
        return response_id


class Client(FakeClient):
    """Injects link faults between a node and the engines."""

    def __init__(self, simulation, host):
        super().__init__(simulation.engines)
        self.simulation = simulation
        self.host = host

    async def open(self, target, body):
        simulation = self.simulation
        engine = self.engines[target.name]
        await trio.sleep(0.001)
        await simulation.enter_step(Step.DISPATCH, self.host)
        fault = simulation.pop_link_fault(self.host)
        if engine.dead:
            raise NotSentError("connection refused")
        if fault is Fault.CUT:
            raise ConnectionLostError(
                "connection lost before the request arrived"
            )
        response_id = engine.start(body)
        if fault is Fault.ANSWER_LOST:
            raise ConnectionLostError("connection lost before the response")
        if fault is Fault.SILENT:
            await trio.sleep(PROGRESS_TIMEOUT_SECONDS)
            raise ConnectionSilentError("no data before the progress timeout")
        if fault is Fault.DELAY:
            await simulation.delay()
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
            step = STEP_BY_EVENT.get(event["sequence_number"])
            if step is not None:
                await self.simulation.enter_step(step, self.host)
            await self.host.gate.wait()
            fault = self.simulation.pop_link_fault(self.host)
            if engine.dead or fault is Fault.CUT:
                raise ConnectionLostError("connection lost during the stream")
            if fault is Fault.SILENT:
                await trio.sleep(PROGRESS_TIMEOUT_SECONDS)
                raise ConnectionSilentError(
                    "no data before the progress timeout"
                )
            if fault is Fault.DELAY:
                await self.simulation.delay()
            if fault is Fault.CROSSED:
                for other in self.simulation.build_wrong_events(engine, event):
                    yield other
                continue
            yield event


class Placer(FakePlacer):
    """Injects the faults of the admission step."""

    def __init__(self, simulation, host):
        super().__init__([engine.name for engine in simulation.engines])
        self.simulation = simulation
        self.host = host

    async def place(self, request):
        await self.simulation.enter_step(Step.ADMISSION, self.host)
        return await super().place(request)


class Caller:
    """Records the inputs that a caller sent and the events it received."""

    def __init__(self, name, key):
        self.name = name
        self.key = key
        self.events = []
        self.inputs = []
        self.exchanges = 0

    def add_events(self, events):
        self.events += events

    @property
    def response_id(self):
        return next(e["response"]["id"] for e in self.events)

    @property
    def is_complete(self):
        last_type = self.events[-1]["type"] if self.events else ""
        return last_type in ("response.completed", "response.failed")


class GenerationSimulation(Simulation):
    """Checks that each caller gets all tokens of one generation in order."""

    def __init__(self, cell, nursery):
        super().__init__(cell, nursery)
        faults = {item.fault for item in cell.injections}
        is_slow = Fault.PLANNED_STOP in faults
        gap = SLOW_TOKEN_GAP_SECONDS if is_slow else 0.01
        self.engines = [Engine(f"rettleiar-{n}", gap) for n in range(3)]
        self.configuration = build_configuration(self.engines)
        self.hosts = {}
        self.callers = []
        self.not_run_inputs = []
        self.must_complete = not faults & FAULTS_ALLOWING_FAILURE
        self.must_not_reconnect = faults == {Fault.PLANNED_STOP}

    async def start(self, name):
        host = Host(self, name)
        self.hosts[name] = host
        in_flight = RequestLimiter()
        host.stop = GracefulStop(self, host, lambda: in_flight.total)
        host.resume_tracker = ResumeTracker(node=name, announcer=self)
        client = Client(self, host)
        responses = ResponsesHandler(
            dependencies=GenerationDependencies(
                clock=self.clock,
                node=name,
                configuration=lambda: self.configuration,
                placer=Placer(self, host),
                client=client,
                generation_reader=GenerationReader(client=client),
                sealer=SEALER,
                budget=FakeBudget(),
                resume_tracker=host.resume_tracker,
                observe=lambda observation: None,
            ),
            keys=KeyIndex(configuration=lambda: self.configuration),
            in_flight=in_flight,
        )
        host.app = host.stop.wrap_app(App(endpoints=responses.list_endpoints()))

        async def start(nursery):
            nursery.start_soon(responses.run)
            await trio.sleep(0.001)

        await self.nursery.start(host.run, start)

    async def announce(self, *, node, request_id):
        """Tells the node that started a stream that the caller resumed it."""
        host = self.hosts[node]
        await host.gate.wait()
        if not host.dead.is_set():
            host.resume_tracker.mark_resumed(request_id)

    async def inject_path_fault(self, fault, step, host):
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
                host.stop.start_drain()
            case Fault.CUT if step in (Step.ACCEPT, Step.ADMISSION):
                for exchange in host.stop.exchanges:
                    exchange.cut = True
                    exchange.disconnected.set()
            case _:
                host.link_faults.append(fault)

    def build_wrong_events(self, engine, event):
        """Returns events that repeat, skip one or are of another generation."""
        number = event["sequence_number"]
        other_id = engine.start(json.dumps({"input": "stranger"}).encode())
        foreign_event = engine.events[other_id][number]
        generation_events = next(
            events
            for events in engine.events.values()
            if event in events and events[number] is event
        )
        alternatives = (
            [generation_events[number - 1], event],
            [generation_events[number + 1]]
            if number + 1 < len(generation_events)
            else [foreign_event],
            [foreign_event],
            [event, event],
        )
        return self.random.choice(alternatives)

    async def run(self):
        for name in ("node-1", "node-2"):
            await self.start(name)
        self.callers = [Caller(*pair) for pair in CALLERS]
        async with trio.open_nursery() as nursery:
            for caller in self.callers:
                nursery.start_soon(self.send_until_complete, caller)
        await trio.sleep(60)
        await self.check_isolation()
        for caller in self.callers:
            self.check(caller)
        for text in self.not_run_inputs:
            ran = any(text in engine.inputs.values() for engine in self.engines)
            self.expect(not ran, f"{text} ran though told not_run")

    async def check_isolation(self):
        """Checks that no caller can read another organisation's response."""
        hosts = [h for h in self.hosts.values() if not h.dead.is_set()]
        for host in hosts:
            for caller, other in (
                self.callers,
                reversed(self.callers),
            ):
                if not other.events:
                    continue
                exchange = Exchange(
                    method="GET",
                    path=f"/v1/responses/{other.response_id}",
                    headers={"authorization": f"Bearer {caller.key}"},
                )
                exchange.cut = False
                await host.stop.serve(exchange)
                self.expect(
                    exchange.status in (0, 404),
                    f"{caller.name} reached the response of {other.name}",
                )

    async def send_until_complete(self, caller):
        """Sends a request and resumes it on alternating nodes until it ends."""
        for attempt in range(MAX_ATTEMPTS):
            name = f"node-{1 + attempt % 2}"
            host = self.hosts[name]
            if not host.dead.is_set():
                await self.send_request(caller, host)
            if caller.is_complete:
                return
            await trio.sleep(0.5)

    def build_exchange(self, caller):
        """Builds a new request, or a resume request after the first event."""
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

    async def send_request(self, caller, host):
        exchange = self.build_exchange(caller)
        exchange.cut = False
        caller.exchanges += 1
        with trio.CancelScope() as scope:
            scope.deadline = trio.current_time() + CALLER_TIMEOUT_SECONDS

            async def write(event):
                await host.gate.wait()
                scope.deadline = trio.current_time() + CALLER_TIMEOUT_SECONDS

            exchange.write = write
            if await self.deliver_request(host):
                await host.stop.serve(exchange)
        body = exchange.body
        if exchange.status == 200:
            caller.add_events(exchange.events)
        elif exchange.is_complete:
            self.record_refusal(caller, exchange, json.loads(body))

    def record_refusal(self, caller, exchange, problem):
        if problem["outcome"] == "not_run" and exchange.scope["method"] == (
            "POST"
        ):
            self.not_run_inputs.append(caller.inputs[-1])
        if exchange.status in (429, 503):
            self.expect(
                b"retry-after" in dict(exchange.headers),
                f"no Retry-After: {problem}",
            )

    def check(self, caller):
        """Compares a caller's events with the engines' own records."""
        sequence_numbers = [event["sequence_number"] for event in caller.events]
        self.expect(
            sequence_numbers == list(range(len(sequence_numbers))),
            f"{caller.name} got the numbers {sequence_numbers}",
        )
        ids = {e["response"]["id"] for e in caller.events if "response" in e}
        self.expect(len(ids) <= 1, f"{caller.name} got several ids")
        tokens = [e["delta"] for e in caller.events if "delta" in e]
        response_ids = {token.split("/")[1] for token in tokens}
        inputs = {token.split("/")[0] for token in tokens}
        self.expect(
            len(response_ids) <= 1, f"{caller.name} got {response_ids} together"
        )
        self.expect(inputs <= set(caller.inputs), f"{caller.name} got {inputs}")
        self.check_tokens(caller, tokens, response_ids)

    def check_tokens(self, caller, tokens, response_ids):
        expected_tokens = [
            event["delta"]
            for engine in self.engines
            for response_id, events in engine.events.items()
            for event in events
            if response_id in response_ids and "delta" in event
        ]
        self.expect(
            tokens == expected_tokens[: len(tokens)],
            f"{caller.name} got {tokens}",
        )
        last_event = caller.events[-1] if caller.events else {"type": ""}
        is_completed = last_event["type"] == "response.completed"
        if is_completed:
            (item,) = last_event["response"]["output"]
            text = item["content"][0]["text"]
            self.expect(tokens == expected_tokens, f"{caller.name} lost tokens")
            self.expect(
                text == "".join(expected_tokens), f"{caller.name} got {text}"
            )
        self.expect(
            is_completed or not self.must_complete,
            f"{caller.name} got no whole answer: {len(tokens)} tokens",
        )
        if self.must_not_reconnect:
            self.expect(
                caller.exchanges == 1, f"{caller.name} had to reconnect"
            )
