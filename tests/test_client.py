import json
import random
from datetime import timedelta
from functools import partial

import trio

from acaciarack.addresses import EntryAddress
from acaciarack.answers import Completed, Discarded, Started, Text
from acaciarack.client import Client
from acaciarack.clock import ManualClock
from acaciarack.configuration import Delivery
from acaciarack.engines import ResponsesClient
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.relay import Relay
from acaciarack.retries import RefusedError, UnreachableError
from acaciarack.streams import Follower
from acaciarack.transports import Timeouts
from acaciarack.web import App, Endpoint, Reply, build_json_reply
from tests.fakes import (
    KEY,
    FakeEngine,
    build_configuration,
    die_at,
    serve_app,
    serve_engine,
    serve_stand_in,
)
from tests.support import EPOCH, TestCase
from tests.test_responses import Node


class Entry:
    """Serves an application, breaks some answers and names all entries.

    Attributes:
        broken: by path, the writes after which the connection breaks; each
            is used once.
        asked: the paths requested, without the query.
    """

    def __init__(self, app):
        self.app = app
        self.broken = {}
        self.asked = []
        self.entries = []

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        self.asked.append(scope["path"])
        if scope["path"] == "/v1/entries":
            body = {"entries": self.entries, "max_age_seconds": 10}
            await App(
                endpoints=[
                    Endpoint(
                        method="GET",
                        pattern=scope["path"],
                        handler=partial(answer_with, build_json_reply(body)),
                    )
                ]
            )(scope, receive, send)
            return
        left = self.broken.pop(scope["path"], None)

        async def send_some(event):
            nonlocal left
            if left is not None:
                left -= 1
                if left < 0:
                    part = {"body": event["body"][:1], "more_body": True}
                    await send({**event, **part})
                    raise ConnectionError("broken on purpose")
            await send(event)

        await self.app(scope, receive, send_some)


async def answer_with(reply, request):
    return reply


class ClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(epoch=EPOCH)

    def run_client(self, scenario, *apps, background=()):
        entries = [Entry(app) for app in apps]

        async def run():
            async with trio.open_nursery() as nursery:
                for task in background:
                    nursery.start_soon(task)
                await trio.testing.wait_all_tasks_blocked()
                ports = [
                    await nursery.start(serve_app, entry) for entry in entries
                ]
                names = [{"host": "127.0.0.1", "port": port} for port in ports]
                for entry in entries:
                    entry.entries = names
                client = Client(
                    seeds=[EntryAddress(**names[0])],
                    key=KEY,
                    clock=self.clock,
                    chance=random.Random(1),
                )
                result = await scenario(client, entries)
                nursery.cancel_scope.cancel()
            return result

        return self.run_real(run)

    def build_nodes(self, engines, **values):
        clock = self.make_clock()
        nodes = [Node(engines, clock=clock, **values) for _ in range(2)]
        return nodes, [node.responses.run for node in nodes]

    async def collect(self, client, entries):
        for entry in entries:
            entry.broken = {"/v1/responses": 4}
        stream = client.stream(service="chat", prompt="hi")
        return [item async for item in stream]

    def test_stream_goes_on_through_another_entry(self):
        engine = FakeEngine(name="e1", tokens=list("abcdefgh"))
        nodes, tasks = self.build_nodes([engine])
        items = self.run_client(
            self.collect, *[node.app for node in nodes], background=tasks
        )
        text = [item.text for item in items if isinstance(item, Text)]
        self.assertEqual(list("abcdefgh"), text)
        self.assertIsInstance(items[0], Started)
        self.assertIsInstance(items[-1], Completed)
        self.assertEqual(items[0].response_id, items[-1].response["id"])
        self.assertEqual(1, len(engine.bodies))
        observed = [found for node in nodes for found in node.observed]
        self.assertTrue(any(found.resumed for found in observed))

    def test_discarded_text_is_followed_by_another_generation(self):
        dying = FakeEngine(name="e1", tokens=["x", "y"])
        dying.faults = {0: die_at(dying, 3)}
        engines = [dying, FakeEngine(name="e2")]
        nodes, tasks = self.build_nodes(engines, delivery=Delivery.RESTART)

        async def scenario(client, entries):
            stream = client.stream(service="chat", prompt="hi")
            return [item async for item in stream]

        items = self.run_client(
            scenario, *[node.app for node in nodes], background=tasks
        )
        kinds = [type(item) for item in items]
        at = kinds.index(Discarded)
        self.assertEqual([Started, Text, Discarded, Started], kinds[: at + 2])
        text = [item.text for item in items[at:] if isinstance(item, Text)]
        self.assertEqual(["a", "b", "c"], text)

    def build_booking(self, *refusals):
        """An application that counts calls by key and refuses first."""
        waiting = list(refusals)
        calls = {}

        async def book(request):
            if waiting:
                return waiting.pop(0)
            key = request.headers["idempotency-key"]
            calls.setdefault(key, 0)
            calls[key] += 1
            return Reply(status=201, body=b"done")

        pattern = "/v1/services/booking/{path*}"
        app = App(
            endpoints=[Endpoint(method="POST", pattern=pattern, handler=book)]
        )
        return app, calls

    def test_lost_answer_is_asked_for_with_the_same_key(self):
        app, calls = self.build_booking()

        async def scenario(client, entries):
            entries[0].broken = {"/v1/services/booking/van": 1}
            entries[1].broken = {"/v1/services/booking/van": 1}
            answer = await client.call(
                service="booking", method="POST", path="van", body=b"{}"
            )
            return answer, [entry.asked for entry in entries]

        answer, asked = self.run_client(scenario, app, app)
        self.assertEqual((201, b"done"), (answer.status, answer.body))
        self.assertEqual([3], list(calls.values()))
        paths = [path for paths in asked for path in paths]
        self.assertEqual(1, paths.count("/v1/entries"))
        self.assertTrue(all("/v1/services/booking/van" in p for p in asked))

    def test_retry_after_is_honoured_and_other_refusals_are_final(self):
        later = Refusal(
            code=RefusalCode.OVERLOADED,
            outcome=RunOutcome.NOT_RUN,
            detail="full",
            retry_after=timedelta(seconds=7),
        )
        final = Refusal(
            code=RefusalCode.OUTCOME_UNKNOWN,
            outcome=RunOutcome.UNKNOWN,
            detail="it may have run",
        )
        app, calls = self.build_booking(later, final)

        async def scenario(client, entries):
            try:
                await client.call(service="booking", method="POST", path="x")
            except RefusedError as error:
                return error.problem

        problem = self.run_client(scenario, app)
        self.assertEqual("unknown", problem.outcome)
        self.assertEqual(timedelta(seconds=7), self.clock.elapsed())
        self.assertEqual({}, calls)

    def test_unreachable_entries_tell_that_nothing_ran(self):
        async def scenario():
            client = Client(
                seeds=[EntryAddress(host="127.0.0.1", port=1)],
                key=KEY,
                clock=self.clock,
            )
            try:
                await client.call(service="booking", method="POST", path="x")
            except UnreachableError as error:
                return error.outcome

        self.assertEqual(RunOutcome.NOT_RUN, self.run_real(scenario))


class SilentEngineTest(TestCase):
    def test_silent_connection_is_replaced_by_a_new_one(self):
        engine = FakeEngine(name="e1", tokens=list("abcd"), gap=0)

        async def hang(event):
            if event["sequence_number"] == 3:
                await trio.sleep_forever()
            return event

        async def run():
            engine.faults = {0: hang}
            async with trio.open_nursery() as nursery:
                engine.port = await nursery.start(
                    serve_stand_in, partial(serve_engine, engine)
                )
                target = build_configuration([engine]).targets["e1"]
                client = ResponsesClient(
                    timeouts=Timeouts(progress=timedelta(seconds=0.2))
                )
                relay = Relay(seal=str, model="chat")
                stream = await client.open(target, json.dumps({}).encode())
                batches = Follower(client=client).follow(target, relay, stream)
                found = [batch async for batch in batches]
                nursery.cancel_scope.cancel()
            return found

        batches = self.run_real(run)
        self.assertEqual(4, sum(batch.tokens for batch in batches))
        self.assertEqual("response.completed", batches[-1].ended)
        self.assertTrue(engine.connections >= 2)
