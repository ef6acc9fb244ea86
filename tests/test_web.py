import json

import trio

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.web import (
    App,
    Endpoint,
    Reply,
    StreamReply,
    build_json_reply,
)
from tests.support import TestCase


class Exchange:
    """Sends one request to an ASGI application and records the response."""

    def __init__(self, *, method="GET", path="/", body=b"", headers=()):
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": b"a=1",
            "headers": list(headers),
        }
        self.events = [{"type": "http.request", "body": body}]
        self.sent = []
        self.disconnect = trio.Event()

    async def receive(self):
        if self.events:
            return self.events.pop(0)
        await self.disconnect.wait()
        return {"type": "http.disconnect"}

    async def send(self, event):
        self.sent.append(event)

    @property
    def status(self):
        return self.sent[0]["status"]

    @property
    def body(self):
        return b"".join(event.get("body", b"") for event in self.sent[1:])


class AppTest(TestCase):
    def exchange(self, handler, *, pattern="/v1/{name}", limit=10, **values):
        async def run():
            app = App(
                endpoints=[
                    Endpoint(method="POST", pattern=pattern, handler=handler)
                ],
                max_body_bytes=limit,
            )
            exchange = Exchange(**values)
            await app(exchange.scope, exchange.receive, exchange.send)
            return exchange

        return self.run_trio(run)

    async def echo(self, request):
        body = await request.read_body()
        return build_json_reply(
            [request.parameters, request.query, body.decode()]
        )

    def test_path_parameters_and_query_reach_the_handler(self):
        exchange = self.exchange(
            self.echo, method="POST", path="/v1/x%20y", body=b"hi"
        )
        self.assertEqual(
            [{"name": "x y"}, {"a": "1"}, "hi"], json.loads(exchange.body)
        )

    def test_handler_exception_becomes_a_problem_with_unknown_outcome(self):
        async def fail(request):
            raise ValueError("secret")

        exchange = self.exchange(fail, method="POST", path="/v1/x")
        problem = json.loads(exchange.body)
        self.assertEqual(500, exchange.status)
        self.assertEqual(
            ("internal", "unknown"), (problem["code"], problem["outcome"])
        )
        self.assertNotIn("secret", exchange.body.decode())

    def test_unknown_path_becomes_a_problem_with_outcome_not_run(self):
        exchange = self.exchange(self.echo, path="/nowhere")
        problem = json.loads(exchange.body)
        self.assertEqual(404, exchange.status)
        self.assertEqual("not_run", problem["outcome"])

    def test_long_body_is_refused(self):
        exchange = self.exchange(
            self.echo, method="POST", path="/v1/x", body=b"x" * 11
        )
        self.assertEqual(413, exchange.status)

    def test_refusal_becomes_a_problem(self):
        async def refuse(request):
            return Refusal(
                code=RefusalCode.OVERLOADED,
                outcome=RunOutcome.NOT_RUN,
                detail="full",
            )

        exchange = self.exchange(refuse, method="POST", path="/v1/x")
        self.assertEqual(503, exchange.status)

    def test_stream_is_closed_when_the_caller_disconnects(self):
        closed = []

        async def run():
            async def write_chunks():
                try:
                    yield b"first"
                    exchange.disconnect.set()
                    await trio.sleep_forever()
                finally:
                    closed.append(True)

            async def stream(request):
                await request.read_body()
                return StreamReply(chunks=write_chunks())

            endpoint = Endpoint(method="POST", pattern="/", handler=stream)
            app = App(endpoints=[endpoint])
            exchange = Exchange(method="POST")
            await app(exchange.scope, exchange.receive, exchange.send)

        self.run_trio(run)
        self.assertEqual([True], closed)

    def test_reply_has_a_content_length(self):
        async def reply(request):
            return Reply(body=b"four")

        exchange = self.exchange(reply, method="POST", path="/v1/x")
        headers = dict(exchange.sent[0]["headers"])
        self.assertEqual(b"4", headers[b"content-length"])
