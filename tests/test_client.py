import json
import random
from datetime import timedelta
from functools import partial

import trio

from acaciarack.addresses import EntryAddress
from acaciarack.client import Client
from acaciarack.clock import ManualClock
from acaciarack.configuration import Delivery
from acaciarack.engines import ResponsesClient
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.relay import Relay
from acaciarack.retries import RefusedError, UnreachableError
from acaciarack.stream_items import Completed, Discarded, Started, Text
from acaciarack.streams import GenerationReader
from acaciarack.transports import Timeouts
from acaciarack.web import App, Endpoint, Reply, build_json_reply
from tests.fakes import (
    KEY,
    FakeEngine,
    build_configuration,
    crash_at,
    serve_app,
    serve_engine,
    serve_fake_app,
)
from tests.support import EPOCH, TestCase
from tests.test_responses import Node


class EntryServer:
    """Serves an application and the list of entries; can break connections.

    Attributes:
        write_limits: by path, the number of writes after which the connection
            breaks. Each limit applies to one request.
        requested_paths: the paths of all requests, without the query.
    """

    def __init__(self, app):
        self.app = app
        self.write_limits = {}
        self.requested_paths = []
        self.entries = []

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        self.requested_paths.append(scope["path"])
        if scope["path"] == "/v1/entries":
            body = {"entries": self.entries, "max_age_seconds": 10}
            await App(
                endpoints=[
                    Endpoint(
                        method="GET",
                        pattern=scope["path"],
                        handler=partial(return_reply, build_json_reply(body)),
                    )
                ]
            )(scope, receive, send)
            return
        left = self.write_limits.pop(scope["path"], None)

        async def send_limited(event):
            nonlocal left
            if left is not None:
                left -= 1
                if left < 0:
                    truncated_body = {
                        "body": event["body"][:1],
                        "more_body": True,
                    }
                    await send({**event, **truncated_body})
                    raise ConnectionError("broken on purpose")
            await send(event)

        await self.app(scope, receive, send_limited)


async def return_reply(reply, request):
    return reply


class ClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(epoch=EPOCH)

    def run_client(self, scenario, *apps, background=()):
        entries = [EntryServer(app) for app in apps]

        async def run():
            async with trio.open_nursery() as nursery:
                for task in background:
                    nursery.start_soon(task)
                await trio.testing.wait_all_tasks_blocked()
                ports = [
                    await nursery.start(serve_app, entry) for entry in entries
                ]
                addresses = [
                    {"host": "127.0.0.1", "port": port} for port in ports
                ]
                for entry in entries:
                    entry.entries = addresses
                client = Client(
                    seeds=[EntryAddress(**addresses[0])],
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
            entry.write_limits = {"/v1/responses": 4}
        stream = client.stream(service="chat", prompt="hi")
        return [item async for item in stream]

    def test_stream_resumes_through_another_entry(self):
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
        observed = [entry for node in nodes for entry in node.observed]
        self.assertTrue(any(entry.resumed for entry in observed))

    def test_discarded_text_is_followed_by_another_generation(self):
        dying = FakeEngine(name="e1", tokens=["x", "y"])
        dying.faults = {0: crash_at(dying, 3)}
        engines = [dying, FakeEngine(name="e2")]
        nodes, tasks = self.build_nodes(engines, delivery=Delivery.RESTART)

        async def scenario(client, entries):
            stream = client.stream(service="chat", prompt="hi")
            return [item async for item in stream]

        items = self.run_client(
            scenario, *[node.app for node in nodes], background=tasks
        )
        kinds = [type(item) for item in items]
        discarded_index = kinds.index(Discarded)
        self.assertEqual(
            [Started, Text, Discarded, Started], kinds[: discarded_index + 2]
        )
        text = [
            item.text
            for item in items[discarded_index:]
            if isinstance(item, Text)
        ]
        self.assertEqual(["a", "b", "c"], text)

    def build_booking_app(self, *refusals):
        """Builds an application that counts calls by idempotency key.

        It answers its first calls with ``refusals``, which it does not count.
        """
        pending_refusals = list(refusals)
        calls = {}

        async def book(request):
            if pending_refusals:
                return pending_refusals.pop(0)
            key = request.headers["idempotency-key"]
            calls.setdefault(key, 0)
            calls[key] += 1
            return Reply(status=201, body=b"done")

        pattern = "/v1/services/booking/{path*}"
        app = App(
            endpoints=[Endpoint(method="POST", pattern=pattern, handler=book)]
        )
        return app, calls

    def test_lost_response_is_requested_again_with_the_same_key(self):
        app, calls = self.build_booking_app()

        async def scenario(client, entries):
            entries[0].write_limits = {"/v1/services/booking/van": 1}
            entries[1].write_limits = {"/v1/services/booking/van": 1}
            answer = await client.call(
                service="booking", method="POST", path="van", body=b"{}"
            )
            return answer, [entry.requested_paths for entry in entries]

        answer, requested_paths = self.run_client(scenario, app, app)
        self.assertEqual((201, b"done"), (answer.status, answer.body))
        self.assertEqual([3], list(calls.values()))
        paths = [path for paths in requested_paths for path in paths]
        self.assertEqual(1, paths.count("/v1/entries"))
        self.assertTrue(
            all("/v1/services/booking/van" in p for p in requested_paths)
        )

    def test_retry_after_is_honoured_and_other_refusals_are_final(self):
        overloaded = Refusal(
            code=RefusalCode.OVERLOADED,
            outcome=RunOutcome.NOT_RUN,
            detail="full",
            retry_after=timedelta(seconds=7),
        )
        unknown_outcome = Refusal(
            code=RefusalCode.OUTCOME_UNKNOWN,
            outcome=RunOutcome.UNKNOWN,
            detail="it may have run",
        )
        app, calls = self.build_booking_app(overloaded, unknown_outcome)

        async def scenario(client, entries):
            try:
                await client.call(service="booking", method="POST", path="x")
            except RefusedError as error:
                return error.problem

        problem = self.run_client(scenario, app)
        self.assertEqual("unknown", problem.outcome)
        self.assertEqual(timedelta(seconds=7), self.clock.elapsed())
        self.assertEqual({}, calls)

    def test_unreachable_entries_report_that_nothing_ran(self):
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
                    serve_fake_app, partial(serve_engine, engine)
                )
                target = build_configuration([engine]).targets["e1"]
                client = ResponsesClient(
                    timeouts=Timeouts(progress=timedelta(seconds=0.2))
                )
                relay = Relay(seal=str, model="chat")
                stream = await client.open(target, json.dumps({}).encode())
                batches = GenerationReader(client=client).read_batches(
                    target, relay, stream
                )
                found = [batch async for batch in batches]
                nursery.cancel_scope.cancel()
            return found

        batches = self.run_real(run)
        self.assertEqual(4, sum(batch.tokens for batch in batches))
        self.assertEqual("response.completed", batches[-1].final_type)
        self.assertTrue(engine.connections >= 2)
