import json
from datetime import timedelta
from functools import partial

import openai
import trio

from acaciarack.configuration import Delivery
from acaciarack.departures import Departures, NoAnnouncer
from acaciarack.engines import ResponsesClient
from acaciarack.generations import GenerationParts
from acaciarack.keys import KeyIndex
from acaciarack.responses import Responses
from acaciarack.seals import Sealer, SealKey
from acaciarack.streams import Follower
from acaciarack.web import App
from tests.fakes import (
    KEY,
    FakeBudget,
    FakeClient,
    FakeEngine,
    FakePlacer,
    build_configuration,
    serve_app,
    serve_engine,
    serve_stand_in,
)
from tests.support import TestCase

SEALER = Sealer(keys=[SealKey(number=1, secret=bytes(32))])


def parse(body):
    blocks = body.decode().split("\n\n")
    return [json.loads(block.partition("data: ")[2]) for block in blocks[:-1]]


class Answer:
    """What one caller got."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.leave = trio.Event()

    @property
    def events(self):
        return parse(self.body)

    @property
    def tokens(self):
        return [event["delta"] for event in self.events if "delta" in event]

    @property
    def types(self):
        return [event["type"] for event in self.events]


class Node:
    """A node's callers' path over fake engines."""

    def __init__(self, engines, *, clock, delivery=Delivery.STREAM, **parts):
        self.engines = engines
        self.observed = []
        self.placer = FakePlacer([engine.name for engine in engines])
        self.configuration = build_configuration(engines, delivery=delivery)
        client = parts.pop("client", None) or FakeClient(engines)
        departures = Departures(
            node="n1", announcer=NoAnnouncer(), grace=timedelta(seconds=20)
        )
        self.responses = Responses(
            parts=GenerationParts(
                clock=clock,
                node="n1",
                configuration=lambda: self.configuration,
                placer=self.placer,
                client=client,
                follower=Follower(client=client),
                sealer=SEALER,
                budget=parts.pop("budget", FakeBudget()),
                departures=departures,
                observe=self.observed.append,
            ),
            keys=KeyIndex(configuration=lambda: self.configuration),
        )
        self.app = App(endpoints=self.responses.list_endpoints())

    async def call(
        self, path="", *, body=None, key=KEY, answer=None, query=b""
    ):
        answer = answer or Answer()
        events = [{"type": "http.request", "body": json.dumps(body).encode()}]

        async def receive():
            if events:
                return events.pop(0)
            await answer.leave.wait()
            return {"type": "http.disconnect"}

        async def send(event):
            if event["type"] == "http.response.start":
                answer.status = event["status"]
                answer.headers = dict(event["headers"])
            answer.body += event.get("body", b"")

        scope = {
            "type": "http",
            "method": "POST" if body is not None else "GET",
            "path": f"/v1/responses{path}",
            "query_string": query,
            "headers": [(b"authorization", f"Bearer {key}".encode())],
        }
        await self.app(scope, receive, send)
        return answer

    async def stream(self, **values):
        body = {"model": "chat", "input": "hi", "stream": True}
        return await self.call(body=body, **values)


class ResponsesTest(TestCase):
    def run_node(self, scenario, *engines, **parts):
        engines = engines or (FakeEngine(name="e1"), FakeEngine(name="e2"))

        async def run():
            node = Node(engines, clock=self.make_clock(), **parts)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.responses.run)
                await trio.testing.wait_all_tasks_blocked()
                result = await scenario(node)
                await trio.sleep(60)
                self.assertEqual(0, node.responses.in_flight)
                self.assertEqual({}, node.placer.held)
                nursery.cancel_scope.cancel()
            return node, result

        return self.run_trio(run)

    def assert_one_generation(self, events, *, after=-1):
        numbers = [event["sequence_number"] for event in events]
        expected = list(range(after + 1, after + 1 + len(numbers)))
        self.assertEqual(expected, numbers)
        ids = {
            event["response"]["id"] for event in events if "response" in event
        }
        self.assertEqual(1, len(ids))
        return ids.pop()

    def test_streamed_answer_is_whole_and_from_one_generation(self):
        node, answer = self.run_node(Node.stream)
        self.assertEqual(200, answer.status)
        self.assertEqual(["a", "b", "c"], answer.tokens)
        response_id = self.assert_one_generation(answer.events)
        self.assertEqual("response.completed", answer.types[-1])
        sealed = SEALER.unseal(response_id, organisation="clinic")
        self.assertEqual(("e1", "e1-0"), (sealed.target, sealed.engine_id))
        sent = node.engines[0].bodies[0]
        self.assertEqual(("llm@1", 7), (sent["model"], sent["priority"]))
        observed = node.observed[0]
        self.assertEqual((3, None), (observed.tokens, observed.refusal))


class OpenaiTest(TestCase):
    def test_stock_client_streams(self):
        async def run():
            engine = FakeEngine(name="e1")
            serve = partial(serve_engine, engine)
            async with trio.open_nursery() as nursery:
                engine.port = await nursery.start(serve_stand_in, serve)
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
        deltas = [event.delta for event in events if hasattr(event, "delta")]
        self.assertEqual(["a", "b", "c"], deltas)
