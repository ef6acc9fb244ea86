import json
from datetime import timedelta
from functools import partial
from types import SimpleNamespace

import openai
import trio

from acaciarack.clock import SystemClock
from acaciarack.configuration import Delivery
from acaciarack.engines import ResponsesClient
from acaciarack.generations import GenerationDependencies
from acaciarack.keys import KeyIndex
from acaciarack.limits import RequestLimiter
from acaciarack.responses import ResponsesHandler
from acaciarack.resume_tracker import NullAnnouncer, ResumeTracker
from acaciarack.seals import Sealer, SealKey
from acaciarack.streams import GenerationReader
from acaciarack.web import App
from acaciarack_bench.engine_http import build_engine_app
from acaciarack_bench.serving import open_server
from tests.fakes import (
    KEY,
    OTHER_KEY,
    Exchange,
    FakeBudget,
    FakeClient,
    FakeEngine,
    FakePlacer,
    build_configuration,
    crash_at,
    disconnect_at,
    modify_event_at,
    serve_app,
    serve_engine,
    serve_fake_app,
    stall_at,
)
from tests.support import TestCase
from tests.test_engine_stand_in import make_engine

SEALER = Sealer(keys=[SealKey(number=1, secret=bytes(32))])


class Node:
    """A node that serves callers and uses fake engines."""

    def __init__(
        self,
        engines,
        *,
        clock,
        name="n1",
        announcer=None,
        delivery=Delivery.STREAM,
        **options,
    ):
        self.engines = engines
        self.observed = []
        self.in_flight = RequestLimiter()
        self.placer = FakePlacer([engine.name for engine in engines])
        self.configuration = build_configuration(engines, delivery=delivery)
        client = options.pop("client", None) or FakeClient(engines)
        self.resume_tracker = ResumeTracker(
            node=name,
            announcer=announcer or NullAnnouncer(),
            grace_period=timedelta(seconds=20),
        )
        self.responses = ResponsesHandler(
            dependencies=GenerationDependencies(
                clock=clock,
                node=name,
                configuration=lambda: self.configuration,
                placer=self.placer,
                client=client,
                generation_reader=GenerationReader(client=client),
                sealer=SEALER,
                budget=options.pop("budget", FakeBudget()),
                resume_tracker=self.resume_tracker,
                observe=self.observed.append,
            ),
            keys=KeyIndex(configuration=lambda: self.configuration),
            in_flight=self.in_flight,
        )
        self.app = App(endpoints=self.responses.list_endpoints())

    def prepare(self, path="", *, body=None, key=KEY, query=b"", write=None):
        return Exchange(
            method="GET" if body is None else "POST",
            path=f"/v1/responses{path}",
            query=query,
            body=json.dumps(body).encode(),
            headers={"authorization": f"Bearer {key}"},
            write=write,
        )

    async def serve(self, exchange):
        await self.app(exchange.scope, exchange.receive, exchange.send)
        return exchange

    async def call(self, path="", **values):
        return await self.serve(self.prepare(path, **values))

    def prepare_stream(self, **values):
        body = {"model": "chat", "input": "hi", "stream": True}
        return self.prepare(body=body, **values)

    async def stream(self):
        return await self.serve(self.prepare_stream())


class ResponsesTest(TestCase):
    def run_node(self, scenario, *engines, **options):
        engines = engines or (FakeEngine(name="e1"), FakeEngine(name="e2"))

        async def run():
            node = Node(engines, clock=self.make_clock(), **options)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.responses.run)
                await trio.testing.wait_all_tasks_blocked()
                result = await scenario(node)
                await trio.sleep(60)
                self.assertEqual(0, node.in_flight.total)
                self.assertEqual({}, node.placer.placements)
                nursery.cancel_scope.cancel()
            return node, result

        return self.run_trio(run)

    def assert_single_generation(self, events, *, after=-1):
        numbers = [event["sequence_number"] for event in events]
        expected = list(range(after + 1, after + 1 + len(numbers)))
        self.assertEqual(expected, numbers)
        ids = {
            event["response"]["id"] for event in events if "response" in event
        }
        self.assertEqual(1, len(ids))
        return ids.pop()

    def test_streamed_response_is_complete_and_from_one_generation(self):
        node, exchange = self.run_node(Node.stream)
        self.assertEqual(200, exchange.status)
        self.assertEqual(["a", "b", "c"], exchange.tokens)
        response_id = self.assert_single_generation(exchange.events)
        self.assertEqual("response.completed", exchange.types[-1])
        sealed = SEALER.unseal(response_id, organisation="clinic")
        self.assertEqual(("e1", "e1-0"), (sealed.target, sealed.engine_id))
        sent = node.engines[0].bodies[0]
        self.assertEqual(("llm@1", 7), (sent["model"], sent["priority"]))
        observed = node.observed[0]
        self.assertEqual((3, None), (observed.tokens, observed.refusal))

    def test_failed_streams_are_resumed_on_new_connections(self):
        engine = FakeEngine(name="e1", tokens=list("abcdefgh"))
        engine.faults = {
            0: disconnect_at(3),
            1: stall_at(4),
            2: modify_event_at(6, sequence_number=5),
            3: modify_event_at(7, sequence_number=9),
            4: modify_event_at(8, item_id="msg_of_another"),
        }
        node, exchange = self.run_node(Node.stream, engine)
        self.assertEqual(list("abcdefgh"), exchange.tokens)
        self.assert_single_generation(exchange.events)
        self.assertEqual((1, 6), (len(engine.bodies), engine.connections))
        self.assertEqual([("e1", True)], node.placer.finished)
        longest = node.observed[0].longest_gap
        self.assertTrue(timedelta(seconds=5) < longest < timedelta(seconds=6))

    def test_repeated_invalid_events_end_response_with_an_error(self):
        engine = FakeEngine(name="e1")
        engine.faults = {
            n: modify_event_at(3, sequence_number=2) for n in range(99)
        }
        _, exchange = self.run_node(Node.stream, engine)
        self.assertEqual(["a"], exchange.tokens)
        self.assert_single_generation(exchange.events)
        error = exchange.events[-1]["response"]["error"]
        self.assertEqual("response.failed", exchange.types[-1])
        self.assertEqual(
            ("target_failed", "ran"), (error["code"], error["outcome"])
        )
        self.assertEqual(["e1-0"], engine.cancelled)

    def test_engine_failure_before_first_token_is_hidden_in_all_modes(self):
        for delivery in Delivery:
            for number in range(3):
                engine = FakeEngine(name="e1")
                engine.faults = {0: crash_at(engine, number)}
                node, exchange = self.run_node(
                    Node.stream,
                    engine,
                    FakeEngine(name="e2"),
                    delivery=delivery,
                )
                self.assertEqual(["a", "b", "c"], exchange.tokens)
                self.assert_single_generation(exchange.events)
                self.assertEqual(
                    [("e1", False), ("e2", True)], node.placer.finished
                )

    def run_engine_failure(self, delivery, *, streamed=True, **options):
        engine = FakeEngine(name="e1", tokens=["x", "y", "z"])
        engine.faults = {0: crash_at(engine, 4)}
        body = {"model": "chat", "input": "hi", "stream": streamed}
        return self.run_node(
            partial(Node.call, body=body),
            engine,
            FakeEngine(name="e2"),
            delivery=delivery,
            **options,
        )

    def test_engine_failure_after_tokens_is_reported_in_stream_mode(self):
        node, exchange = self.run_engine_failure(Delivery.STREAM)
        self.assertEqual(["x", "y"], exchange.tokens)
        self.assert_single_generation(exchange.events)
        self.assertEqual("response.failed", exchange.types[-1])
        error = exchange.events[-1]["response"]["error"]
        self.assertEqual("ran", error["outcome"])
        self.assertEqual([], node.engines[1].bodies)

    def test_engine_failure_after_tokens_is_hidden_in_buffered_modes(self):
        _, exchange = self.run_engine_failure(Delivery.WHOLE)
        self.assertEqual(["a", "b", "c"], exchange.tokens)
        self.assert_single_generation(exchange.events)
        _, exchange = self.run_engine_failure(Delivery.STREAM, streamed=False)
        response = json.loads(exchange.body)
        text = response["output"][0]["content"][0]["text"]
        self.assertEqual(("chat", "abc"), (response["model"], text))

    def test_engine_failure_after_tokens_discards_in_restart_mode(self):
        node, exchange = self.run_engine_failure(Delivery.RESTART)
        at = exchange.types.index("response.discarded")
        first, second = exchange.events[: at + 1], exchange.events[at + 1 :]
        old_id = self.assert_single_generation(first)
        new_id = self.assert_single_generation(second)
        self.assertEqual(old_id, first[-1]["response_id"])
        self.assertNotEqual(old_id, new_id)
        tokens = [event["delta"] for event in second if "delta" in event]
        self.assertEqual(["a", "b", "c"], tokens)
        self.assertEqual(2, node.placer.requests[1].generated_tokens)

    def test_retries_are_limited_and_outcome_is_correct(self):
        _, exchange = self.run_engine_failure(
            Delivery.WHOLE, budget=FakeBudget(0)
        )
        problem = json.loads(exchange.body)
        self.assertEqual((502, "ran"), (exchange.status, problem["outcome"]))
        self.assertRegex(problem["request_id"], "^[0-9a-f]{32}$")
        engines = [FakeEngine(name=name) for name in ("e1", "e2")]
        engines[0].dead = engines[1].busy = True
        _, exchange = self.run_node(Node.stream, *engines)
        problem = json.loads(exchange.body)
        self.assertEqual("not_run", problem["outcome"])
        engines[1].busy = False
        engines[1].faults = {0: crash_at(engines[1], 1)}
        _, exchange = self.run_node(Node.stream, *engines)
        self.assertEqual("ran", json.loads(exchange.body)["outcome"])

    def test_request_without_token_at_deadline_is_cancelled(self):
        engine = FakeEngine(name="e1", gap=29)
        _, exchange = self.run_node(Node.stream, engine)
        problem = json.loads(exchange.body)
        self.assertEqual(504, exchange.status)
        self.assertEqual("ran", problem["outcome"])
        self.assertEqual(["e1-0"], engine.cancelled)

    async def disconnect_early(self, node, *, after, resume):
        """Disconnects after some seconds; resumes the stream if asked to."""
        exchange = node.prepare_stream()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.serve, exchange)
            await trio.sleep(after)
            exchange.disconnected.set()
        if not resume:
            return exchange, None
        await trio.sleep(1)
        events = exchange.events
        query = f"stream=true&starting_after={events[-1]['sequence_number']}"
        rest = await node.call(
            f"/{events[0]['response']['id']}", query=query.encode()
        )
        return exchange, rest

    def test_disconnected_caller_can_resume_in_grace_period(self):
        tokens = [str(number) for number in range(50)]
        engine = FakeEngine(name="e1", tokens=tokens, gap=0.1)
        node, (first, rest) = self.run_node(
            partial(self.disconnect_early, after=2, resume=True), engine
        )
        self.assert_single_generation(first.events + rest.events)
        self.assertEqual(tokens, first.tokens + rest.tokens)
        self.assertEqual([], engine.cancelled)
        original, resumed = node.observed
        self.assertEqual((True, True), (original.caller_left, resumed.resumed))
        self.assertEqual(original.request_id, resumed.request_id)

    def test_resume_through_another_node_keeps_the_generation(self):
        engine = FakeEngine(name="e1", tokens=["x"] * 50, gap=1)
        notified_nodes = []

        async def scenario(first):
            async def announce(*, node, request_id):
                notified_nodes.append(node)
                first.resume_tracker.mark_resumed(request_id)

            announcer = SimpleNamespace(announce=announce)
            second = Node(
                [engine],
                clock=self.make_clock(),
                name="n2",
                announcer=announcer,
            )
            original, _ = await self.disconnect_early(
                first, after=5.5, resume=False
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.responses.run)
                await trio.sleep(10)
                response_id = original.events[0]["response"]["id"]
                last = original.events[-1]["sequence_number"]
                query = f"stream=true&starting_after={last}".encode()
                rest = await second.call(f"/{response_id}", query=query)
                nursery.cancel_scope.cancel()
            return original, rest

        _, (original, rest) = self.run_node(scenario, engine)
        self.assertEqual(["x"] * 50, original.tokens + rest.tokens)
        self.assert_single_generation(original.events + rest.events)
        self.assertEqual((["n1"], []), (notified_nodes, engine.cancelled))

    def test_generation_is_cancelled_if_caller_does_not_resume(self):
        for after in (0.5, 2):
            engine = FakeEngine(name="e1", tokens=["x"] * 50, gap=0.3)
            node, _ = self.run_node(
                partial(self.disconnect_early, after=after, resume=False),
                engine,
            )
            self.assertEqual(["e1-0"], engine.cancelled)
            self.assertTrue(node.observed[0].caller_left)

    def test_response_ids_are_rejected_for_other_organisations(self):
        async def scenario(node):
            exchange = await node.stream()
            response_id = exchange.events[0]["response"]["id"]
            forged = response_id[:-4] + "AAAA"
            refused = []
            for path in ("", "/cancel"):
                body = {} if path else None
                for name, key in (
                    (response_id, OTHER_KEY),
                    (forged, KEY),
                    ("resp_unknown", KEY),
                ):
                    found = await node.call(
                        f"/{name}{path}", key=key, body=body
                    )
                    refused.append((found.status, found.body))
            whole = await node.call(f"/{response_id}")
            past_end = await node.call(
                f"/{response_id}", query=b"stream=true&starting_after=5"
            )
            return refused, json.loads(whole.body), past_end

        node, (refused, whole, past_end) = self.run_node(scenario)
        self.assertEqual(1, len(set(refused)))
        self.assertEqual(404, refused[0][0])
        self.assertEqual([], node.engines[0].cancelled)
        self.assertEqual("completed", whole["status"])
        self.assertEqual((200, b""), (past_end.status, past_end.body))

    def test_invalid_requests_are_refused_before_placement(self):
        good = {"model": "chat", "input": "hi"}
        cases = {
            401: [(good, "wrong")],
            404: [({**good, "model": "booking"}, KEY)],
            400: [
                ([], KEY),
                ({"model": "chat"}, KEY),
                ({**good, "max_output_tokens": 10**6}, KEY),
                ({**good, "previous_response_id": "resp_1"}, KEY),
                ({**good, "background": True}, KEY),
            ],
        }

        async def scenario(node):
            for status, requests in cases.items():
                for body, key in requests:
                    exchange = await node.call(body=body, key=key)
                    problem = json.loads(exchange.body)
                    self.assertEqual(status, exchange.status)
                    self.assertEqual("not_run", problem["outcome"])

        node, _ = self.run_node(scenario)
        self.assertEqual([], node.placer.requests)

    def test_response_to_stalled_caller_is_left_unterminated(self):
        engine = FakeEngine(name="e1", tokens=["x" * 1000] * 900, gap=0.001)

        async def scenario(node):
            async def block(event):
                await trio.sleep(100)

            return await node.serve(node.prepare_stream(write=block))

        node, exchange = self.run_node(scenario, engine)
        self.assertFalse(exchange.is_complete)
        self.assertTrue(node.observed[0].caller_left)
        self.assertEqual(["e1-0"], engine.cancelled)
        self.assertTrue(self.run_node(Node.stream)[1].is_complete)

    def test_slow_caller_uses_bounded_memory_and_delays_no_other(self):
        engine = FakeEngine(name="e1", tokens=["x" * 1000] * 2000, gap=0.001)

        async def scenario(node):
            reads = []

            async def read_slowly(event):
                reads.append(len(event.get("body", b"")))
                await trio.sleep(1)

            async with trio.open_nursery() as nursery:
                exchange = node.prepare_stream(write=read_slowly)
                nursery.start_soon(node.serve, exchange)
                other = await node.stream()
            # The last write contains the final event with the complete text.
            return max(reads[:-2]), other

        node, (largest, other) = self.run_node(scenario, engine)
        self.assertTrue(largest < 300_000)
        self.assertEqual(2000, len(other.tokens))
        fast = min(node.observed, key=lambda found: found.duration)
        self.assertTrue(fast.duration < timedelta(seconds=5))


class EngineStandInTest(TestCase):
    """Tests a node that uses the engine stand-in over HTTP."""

    def test_client_resumes_after_disconnect(self):
        async def run():
            engine = make_engine(pace=0.02)
            app = build_engine_app(engine)
            async with (
                open_server(app) as engine_port,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(engine.run)
                target = SimpleNamespace(name="e-1", port=engine_port)
                node = Node(
                    [target], clock=SystemClock(), client=ResponsesClient()
                )
                nursery.start_soon(node.responses.run)
                port = await nursery.start(serve_app, node.app)
                await trio.to_thread.run_sync(self.use_client, port)
                nursery.cancel_scope.cancel()

        self.run_real(run)

    def use_client(self, port):
        client = openai.OpenAI(
            base_url=f"http://127.0.0.1:{port}/v1", api_key=KEY, max_retries=0
        )
        stream = client.responses.create(
            model="chat",
            input="hi",
            stream=True,
            metadata={"output_tokens": "300"},
        )
        events = [event for event, _ in zip(stream, range(20), strict=False)]
        stream.close()
        rest = client.responses.retrieve(
            events[0].response.id,
            stream=True,
            starting_after=events[-1].sequence_number,
        )
        events += rest
        numbers = [event.sequence_number for event in events]
        self.assertEqual(list(range(308)), numbers)
        deltas = list_deltas(events)
        self.assertEqual("".join(deltas), events[-1].response.output_text)
        self.assertEqual(300, len(deltas))


class OpenaiClientTest(TestCase):
    def test_client_streams_resumes_and_cancels(self):
        async def run():
            engine = FakeEngine(name="e1")
            serve = partial(serve_engine, engine)
            async with trio.open_nursery() as nursery:
                engine.port = await nursery.start(serve_fake_app, serve)
                node = Node(
                    [engine], clock=self.make_clock(), client=ResponsesClient()
                )
                nursery.start_soon(node.responses.run)
                port = await nursery.start(serve_app, node.app)
                await trio.to_thread.run_sync(self.use_client, port)
                nursery.cancel_scope.cancel()

        self.run_real(run)

    def use_client(self, port):
        client = openai.OpenAI(
            base_url=f"http://127.0.0.1:{port}/v1", api_key=KEY, max_retries=0
        )
        events = list(
            client.responses.create(model="chat", input="hi", stream=True)
        )
        self.assertEqual(["a", "b", "c"], list_deltas(events))
        response_id = events[0].response.id
        rest = client.responses.retrieve(
            response_id, stream=True, starting_after=2
        )
        self.assertEqual(["b", "c"], list_deltas(rest))
        whole = client.responses.create(model="chat", input="hi")
        self.assertEqual("abc", whole.output_text)
        self.assertEqual(
            whole.output_text, client.responses.retrieve(whole.id).output_text
        )
        cancelled = client.responses.cancel(response_id)
        self.assertEqual(response_id, cancelled.id)
        error = self.assertRaises(
            openai.NotFoundError, client.responses.cancel, "resp_unknown"
        )
        self.assertEqual("not_run", error.body["outcome"])


def list_deltas(events):
    return [event.delta for event in events if hasattr(event, "delta")]
