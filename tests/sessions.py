"""Records whole sessions of callers as text that reads, and compares it.

``python -m tests.sessions`` writes the golden files anew.
"""

import difflib
import json
import pathlib
import re
from functools import partial

import trio
import trio.testing

from tests.fakes import KEY, OTHER_KEY, FakeEngine
from tests.matrix.calls import CallWorld
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


class Names:
    """Gives ids names by the order in which they appear."""

    def __init__(self):
        self.names = {}

    def normalise(self, text):
        for secret, name in _SECRETS:
            text = text.replace(secret, name)
        for pattern, name in _PATTERNS:
            if "\\" in name or ":" in name:
                text = pattern.sub(name, text)
            else:
                text = pattern.sub(partial(self._number, name), text)
        return text

    def _number(self, name, match):
        numbers = self.names.setdefault(name, {})
        number = numbers.setdefault(match.group(), len(numbers) + 1)
        return f"{name}-{number}"


def format_exchange(exchange, body=b""):
    """The bytes of a request and its answer, line by line."""
    scope = exchange.scope
    query = scope["query_string"].decode()
    path = scope["path"] + (f"?{query}" if query else "")
    sent = [f"{scope['method']} {path}"]
    sent += [f"{n.decode()}: {v.decode()}" for n, v in scope["headers"]]
    sent += ["", *body.decode().splitlines()]
    answer = [str(exchange.status)]
    answer += [f"{n.decode()}: {v.decode()}" for n, v in exchange.headers]
    answer += ["", *exchange.body.decode().splitlines()]
    lines = [f"> {line}".rstrip() for line in sent]
    lines += [f"< {line}".rstrip() for line in answer]
    return "\n".join(lines) + "\n"


async def _exchange(node, path="", **values):
    exchange = node.prepare(path, **values)
    body = exchange.requests[0]["body"] if values.get("body") else b""
    await node.serve(exchange)
    return exchange, format_exchange(exchange, body)


def _read_id(exchange):
    if exchange.body.startswith(b"{"):
        return json.loads(exchange.body)["id"]
    return exchange.events[0]["response"]["id"]


async def _ask(node, *, streamed, **extra):
    body = {"model": "chat", "input": "hi", "stream": streamed, **extra}
    return await _exchange(node, body=body)


async def stream(node):
    return [(await _ask(node, streamed=True))[1]]


async def whole(node):
    return [(await _ask(node, streamed=False))[1]]


async def refuse(node):
    engine = node.engines[0]
    engine.dead = True
    texts = [(await _ask(node, streamed=True))[1]]
    body = {"model": "unknown", "input": "hi"}
    texts.append((await _exchange(node, body=body))[1])
    texts.append((await _exchange(node, body=body, key="wrong"))[1])
    return texts


async def resume(node):
    exchange, text = await _ask(node, streamed=True)
    path = f"/{_read_id(exchange)}"
    query = b"stream=true&starting_after=2"
    _, rest = await _exchange(node, path, query=query)
    _, foreign = await _exchange(node, path, query=query, key=OTHER_KEY)
    return [text, rest, foreign]


async def cancel(node):
    exchange, text = await _ask(node, streamed=True)
    path = f"/{_read_id(exchange)}/cancel"
    return [text, (await _exchange(node, path, body={}))[1]]


def run_generation(scenario):
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


class BookingWorld(CallWorld):
    """One booking, the same again at another node, and another body."""

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


def run_booking():
    async def run():
        async with trio.open_nursery() as nursery:
            cell = Cell(path=Path.CALL, injections=(), seed=1)
            world = BookingWorld(cell, nursery)
            await world.run()
            nursery.cancel_scope.cancel()
        return world.texts

    return TestCase("run_trio").run_trio(run)


SESSIONS = {
    "caller-streamed": partial(run_generation, stream),
    "caller-whole": partial(run_generation, whole),
    "caller-refused": partial(run_generation, refuse),
    "caller-resumed": partial(run_generation, resume),
    "caller-cancelled": partial(run_generation, cancel),
    "caller-booking-twice": run_booking,
}


def record(name):
    names = Names()
    return "\n".join(names.normalise(text) for text in SESSIONS[name]())


def diff(name):
    """How a session differs from its golden file; empty if it does not."""
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
