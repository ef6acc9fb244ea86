"""Records caller sessions as readable text; compares them with golden files.

``python -m tests.sessions`` rewrites the golden files.
"""

import difflib
import json
import pathlib
import re
from functools import partial

import trio
import trio.testing

from tests.fakes import KEY, OTHER_KEY, FakeEngine
from tests.matrix.calls import CallSimulation
from tests.matrix.cells import Cell, Path
from tests.support import TestCase
from tests.test_responses import Node

GOLDEN = pathlib.Path(__file__).parent / "golden"
_SECRETS = ((KEY, "KEY-OF-CLINIC"), (OTHER_KEY, "KEY-OF-HOUSEHOLD"))
_UUID = r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}"
_PATTERNS = (
    (re.compile(r"resp_[A-Za-z0-9_-]+"), "RESPONSE"),
    (re.compile(_UUID), "KEY"),
    (re.compile(r"(?<=\"request_id\":\")[0-9a-f]{32}"), "REQUEST"),
    (re.compile(r'"(created_at|retry_after_seconds)":[0-9.]+'), r'"\1":TIME'),
    (re.compile(r"retry-after: \d+"), "retry-after: TIME"),
)


class IdNormaliser:
    """Replaces keys, ids and times, which may differ between runs.

    The names that replace ids are numbered in order of appearance.
    """

    def __init__(self):
        self.names = {}

    def normalise(self, text):
        for secret, name in _SECRETS:
            text = text.replace(secret, name)
        for pattern, name in _PATTERNS:
            if "\\" in name or ":" in name:
                text = pattern.sub(name, text)
            else:
                text = pattern.sub(partial(self._replace_id, name), text)
        return text

    def _replace_id(self, name, match):
        numbers = self.names.setdefault(name, {})
        number = numbers.setdefault(match.group(), len(numbers) + 1)
        return f"{name}-{number}"


def format_exchange(exchange, body=b""):
    """Formats a request and its response as text, line by line."""
    scope = exchange.scope
    query = scope["query_string"].decode()
    path = scope["path"] + (f"?{query}" if query else "")
    sent = [f"{scope['method']} {path}"]
    sent += [f"{n.decode()}: {v.decode()}" for n, v in scope["headers"]]
    sent += ["", *body.decode().splitlines()]
    response = [str(exchange.status)]
    response += [f"{n.decode()}: {v.decode()}" for n, v in exchange.headers]
    response += ["", *exchange.body.decode().splitlines()]
    lines = [f"> {line}".rstrip() for line in sent]
    lines += [f"< {line}".rstrip() for line in response]
    return "\n".join(lines) + "\n"


async def _send_request(node, path="", **values):
    exchange = node.prepare(path, **values)
    body = exchange.requests[0]["body"] if values.get("body") else b""
    await node.serve(exchange)
    return exchange, format_exchange(exchange, body)


def _read_id(exchange):
    if exchange.body.startswith(b"{"):
        return json.loads(exchange.body)["id"]
    return exchange.events[0]["response"]["id"]


async def _create_response(node, *, streamed, **extra):
    body = {"model": "chat", "input": "hi", "stream": streamed, **extra}
    return await _send_request(node, body=body)


async def record_stream(node):
    return [(await _create_response(node, streamed=True))[1]]


async def record_whole_response(node):
    return [(await _create_response(node, streamed=False))[1]]


async def record_refusals(node):
    engine = node.engines[0]
    engine.dead = True
    texts = [(await _create_response(node, streamed=True))[1]]
    body = {"model": "unknown", "input": "hi"}
    texts.append((await _send_request(node, body=body))[1])
    texts.append((await _send_request(node, body=body, key="wrong"))[1])
    return texts


async def record_resume(node):
    exchange, text = await _create_response(node, streamed=True)
    path = f"/{_read_id(exchange)}"
    query = b"stream=true&starting_after=2"
    _, rest = await _send_request(node, path, query=query)
    _, foreign = await _send_request(node, path, query=query, key=OTHER_KEY)
    return [text, rest, foreign]


async def record_cancel(node):
    exchange, text = await _create_response(node, streamed=True)
    path = f"/{_read_id(exchange)}/cancel"
    return [text, (await _send_request(node, path, body={}))[1]]


def record_generation(scenario):
    case = TestCase("run_trio")

    async def run():
        engine = FakeEngine(name="rettleiar-1")
        node = Node((engine,), clock=case.make_clock())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.responses.run)
            await trio.testing.wait_all_tasks_blocked()
            texts = await scenario(node)
            nursery.cancel_scope.cancel()
        return texts

    return case.run_trio(run)


class BookingWorld(CallSimulation):
    """Sends one booking, a duplicate to another node, and another body.

    All three requests have the same idempotency key.
    """

    async def run(self):
        self.texts = []
        for name in ("node-1", "node-2"):
            await self.start(name)
        await trio.sleep(30)
        self.keys = ["019b76db-1d30-7000-8000-000000000001"]
        for number, name in ((0, "node-1"), (0, "node-2"), (1, "node-1")):
            self.keys = self.keys[:1] * 2
            exchange = await self.call(number, name)
            body = f"van {number}".encode()
            self.texts.append(format_exchange(exchange, body))


def record_booking():
    async def run():
        async with trio.open_nursery() as nursery:
            cell = Cell(path=Path.CALL, injections=(), seed=1)
            world = BookingWorld(cell, nursery)
            await world.run()
            nursery.cancel_scope.cancel()
        return world.texts

    return TestCase("run_trio").run_trio(run)


SESSIONS = {
    "caller-streamed": partial(record_generation, record_stream),
    "caller-whole": partial(record_generation, record_whole_response),
    "caller-refused": partial(record_generation, record_refusals),
    "caller-resumed": partial(record_generation, record_resume),
    "caller-cancelled": partial(record_generation, record_cancel),
    "caller-booking-twice": record_booking,
}


def record(name):
    names = IdNormaliser()
    return "\n".join(names.normalise(text) for text in SESSIONS[name]())


def diff(name):
    """Returns the diff from the golden file of a session; empty if equal."""
    golden = GOLDEN / f"{name}.txt"
    before = golden.read_text() if golden.exists() else ""
    lines = difflib.unified_diff(
        before.splitlines(),
        record(name).splitlines(),
        golden.name,
        "now",
        lineterm="",
    )
    return "\n".join(lines)


if __name__ == "__main__":
    for session in SESSIONS:
        GOLDEN.joinpath(f"{session}.txt").write_text(record(session))
