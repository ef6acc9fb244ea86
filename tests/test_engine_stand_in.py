"""Tests the simulated engine with the openai client and control requests."""

import json
from datetime import timedelta

import httpcore
import openai
import trio

from acaciarack.clock import SystemClock
from acaciarack_bench.engine import Engine
from acaciarack_bench.engine_http import build_engine_app
from acaciarack_bench.model import EngineModel, EngineSettings
from acaciarack_bench.serving import open_server
from tests.support import TestCase


def make_engine(**arguments):
    model = EngineModel(settings=EngineSettings(), name="e-1", seed=1)
    return Engine(model=model, clock=SystemClock(), **arguments)


def join_words(name, count):
    return "".join(f"{name}-{i} " for i in range(count))


class EngineTest(TestCase):
    def serve(self, engine, function):
        async def run():
            async with (
                open_server(build_engine_app(engine)) as port,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(engine.run)
                await function(f"http://127.0.0.1:{port}")
                nursery.cancel_scope.cancel()

        self.run_real(run)

    def test_openai_client(self):
        self.serve(make_engine(pace=0.01), self.run_in_thread)

    async def run_in_thread(self, url):
        await trio.to_thread.run_sync(self.use_client, url)

    def use_client(self, url):
        client = openai.OpenAI(
            base_url=f"{url}/v1", api_key="none", max_retries=0
        )
        request = {"model": "m@1", "input": "hello"}
        events = list(
            client.responses.create(
                **request, metadata={"output_tokens": "20"}, stream=True
            )
        )
        numbers = [event.sequence_number for event in events]
        self.assertEqual(list(range(28)), numbers)
        self.assertEqual("response.completed", events[-1].type)
        answer = events[-1].response
        text = "".join(
            event.delta
            for event in events
            if event.type == "response.output_text.delta"
        )
        self.assertEqual(join_words("e-1.g1", 20), text)
        self.assertEqual(text, answer.output_text)
        resumed = client.responses.retrieve(
            answer.id, stream=True, starting_after=10
        )
        self.assertEqual(events[11:], list(resumed))
        truncated = client.responses.create(
            **request, metadata={"output_tokens": "9"}, max_output_tokens=5
        )
        self.assertEqual("incomplete", truncated.status)
        self.assertEqual(join_words("e-1.g2", 5), truncated.output_text)
        stream = client.responses.create(
            **request, metadata={"output_tokens": "30000"}, stream=True
        )
        first = next(iter(stream))
        cancelled = client.responses.cancel(first.response.id)
        self.assertEqual("cancelled", cancelled.status)
        self.assertEqual("response.incomplete", list(stream)[-1].type)
        with self.assertRaises(openai.NotFoundError):
            client.responses.retrieve("resp_other")

    def test_faults_orders_and_load_reports(self):
        engine = make_engine(checks_fencing=True, cache_lag=timedelta())

        async def use(url):
            pool = httpcore.AsyncConnectionPool()

            async def call(method, path, **body):
                response = await pool.request(
                    method, url + path, content=json.dumps(body).encode()
                )
                return response.status, response.content

            async def stream_until_fault(fault, model="m"):
                body = json.dumps(
                    {"model": model, "input": "x" * 600, "stream": True}
                )
                async with pool.stream(
                    "POST", f"{url}/v1/responses", content=body.encode()
                ) as response:
                    chunks = response.aiter_stream()
                    await anext(chunks)
                    await call("POST", "/control", fault=fault)
                    async for _ in chunks:
                        pass

            with self.assertRaises(httpcore.RemoteProtocolError):
                await stream_until_fault("cut")
            with trio.move_on_after(0.3) as scope:
                await stream_until_fault("silence")
            self.assertTrue(scope.cancelled_caught)
            for generation in engine.generations:
                status, _ = await call("GET", f"/v1/responses/{generation.id}")
                self.assertEqual(200, status)
            for fencing, expected in ((5, 200), (4, 409), (5, 200)):
                status, _ = await call(
                    "POST",
                    "/v1/orders",
                    order="load_model",
                    model="m2",
                    version="2",
                    fencing=fencing,
                )
                self.assertEqual(expected, status)
            for path, text in (
                ("load", b'"model":"m2"'),
                ("cache-events?after=0", b'"stored":['),
            ):
                async with pool.stream("GET", f"{url}/v1/{path}") as response:
                    async for chunk in response.aiter_stream():
                        if text in chunk:
                            break
            with self.assertRaises(httpcore.RemoteProtocolError):
                await stream_until_fault("die", model="m2")
            self.assertEqual(500, (await call("GET", "/v1/load"))[0])
            await call("POST", "/control", fault="revive")
            status, _ = await call(
                "GET", f"/v1/responses/{engine.generations[0].id}"
            )
            self.assertEqual(404, status)
            await pool.aclose()

        self.serve(engine, use)
