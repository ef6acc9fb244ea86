"""Fakes for the interfaces that requests of callers pass through."""

import json
from datetime import timedelta
from functools import partial
from itertools import count

import hypercorn.trio
import trio
from hypercorn.config import Config

from acaciarack.configuration import (
    Configuration,
    Delivery,
    ModelChoice,
    Organisation,
    Route,
    Service,
    ServiceKind,
    Target,
    TargetKind,
)
from acaciarack.engines import EngineStatusError, ServerEvent
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.keys import hash_key
from acaciarack.placement import Placement
from acaciarack.transports import (
    ConnectionLostError,
    ConnectionSilentError,
    NotSentError,
)
from acaciarack.web import App, Mount

KEY = "key-of-clinic"
OTHER_KEY = "key-of-household"


def encode(event):
    data = json.dumps(event)
    return f"event: {event['type']}\ndata: {data}\n\n".encode()


def build_events(response_id, tokens):
    """Builds the events of one generation as the Responses API defines them."""
    numbers = count()

    def event(name, **fields):
        return {"type": name, "sequence_number": next(numbers), **fields}

    def response(status):
        item = {"type": "message", "id": f"msg_{response_id}"}
        content = {"type": "output_text", "text": "".join(tokens)}
        content["annotations"] = []
        item |= {"role": "assistant", "status": status, "content": [content]}
        return {
            "id": response_id,
            "object": "response",
            "created_at": 0,
            "model": "llm@1",
            "status": status,
            "output": [item] if status == "completed" else [],
            "parallel_tool_calls": False,
            "tool_choice": "auto",
            "tools": [],
        }

    part = {"item_id": f"msg_{response_id}", "output_index": 0}
    item = {"id": f"msg_{response_id}", "type": "message", "content": []}
    return [
        event("response.created", response=response("in_progress")),
        event("response.output_item.added", output_index=0, item=item),
        *(
            event(
                "response.output_text.delta",
                content_index=0,
                delta=token,
                logprobs=[],
                **part,
            )
            for token in tokens
        ),
        event("response.completed", response=response("completed")),
    ]


class FakeEngine:
    """A fake engine with fault injection.

    Attributes:
        faults: maps the index of a connection to a function that receives each
            event and returns its replacement, returns ``None`` to drop it, or
            raises an error.
        dead: whether the engine refuses all new connections.
        busy: whether the engine responds to all requests with status 503.
    """

    def __init__(self, *, name, tokens=("a", "b", "c"), gap=0.01):
        self.name = name
        self.tokens = tokens
        self.gap = gap
        self.faults = {}
        self.dead = False
        self.busy = False
        self.connections = 0
        self.bodies = []
        self.events = {}
        self.cancelled = []
        self.port = 1

    def start(self, body):
        self.check()
        self.bodies.append(json.loads(body))
        response_id = f"{self.name}-{len(self.events)}"
        self.events[response_id] = build_events(response_id, self.tokens)
        return response_id

    def check(self):
        if self.dead:
            raise NotSentError("refused")
        if self.busy:
            raise EngineStatusError(status=503)

    async def stream(self, response_id, after):
        fault = self.faults.get(self.connections)
        self.connections += 1
        if response_id not in self.events:
            raise EngineStatusError(status=404)
        for event in self.events[response_id][after + 1 :]:
            await trio.sleep(self.gap)
            if fault is not None:
                event = await fault(event)
            if event is not None:
                yield event

    def cancel(self, response_id):
        self.check()
        self.cancelled.append(response_id)
        return self.events[response_id][0]["response"]


def disconnect_at(number):
    async def fault(event):
        if event["sequence_number"] == number:
            raise ConnectionLostError("broken")
        return event

    return fault


def crash_at(engine, number):
    async def fault(event):
        if event["sequence_number"] == number:
            engine.dead = True
            raise ConnectionLostError("dead")
        return event

    return fault


def stall_at(number):
    async def fault(event):
        if event["sequence_number"] == number:
            await trio.sleep(5)
            raise ConnectionSilentError("silent")
        return event

    return fault


def modify_event_at(number, **changes):
    async def fault(event):
        if event["sequence_number"] == number:
            return {**event, **changes}
        return event

    return fault


class FakeStream:
    def __init__(self, events):
        self.events = events

    async def receive(self):
        async for event in self.events:
            data = json.dumps(event).encode()
            return (ServerEvent(raw=encode(event), data=data),)
        return ()

    async def aclose(self):
        await self.events.aclose()


class FakeClient:
    """A client of fake engines that uses no sockets."""

    def __init__(self, engines):
        self.engines = {engine.name: engine for engine in engines}

    async def open(self, target, body):
        engine = self.engines[target.name]
        await trio.sleep(0.001)
        return FakeStream(engine.stream(engine.start(body), -1))

    async def resume(self, target, *, engine_id, starting_after):
        engine = self.engines[target.name]
        await trio.sleep(0.001)
        engine.check()
        if engine_id not in engine.events:
            raise EngineStatusError(status=404)
        after = -1 if starting_after is None else starting_after
        return FakeStream(engine.stream(engine_id, after))

    async def retrieve(self, target, *, engine_id):
        engine = self.engines[target.name]
        engine.check()
        return json.dumps(engine.events[engine_id][-1]["response"]).encode()

    async def cancel(self, target, *, engine_id):
        response = self.engines[target.name].cancel(engine_id)
        return json.dumps(response).encode()


async def serve_engine(engine, scope, receive, send):
    """Serves a fake engine as an ASGI application."""
    body = (await receive()).get("body", b"")
    parts = scope["path"].split("/")[3:]
    query = scope["query_string"].decode()
    if parts and parts[-1] == "cancel":
        await reply(send, json.dumps(engine.cancel(parts[0])).encode())
    elif parts and "stream=true" not in query:
        events = engine.events[parts[0]]
        await reply(send, json.dumps(events[-1]["response"]).encode())
    else:
        after = -1
        if "starting_after=" in query:
            after = int(query.rpartition("=")[2])
        response_id = parts[0] if parts else engine.start(body)
        await start_reply(send)
        async for event in engine.stream(response_id, after):
            await send_chunk(send, encode(event), more=True)
        await send_chunk(send, b"")


async def start_reply(send, status=200):
    await send({"type": "http.response.start", "status": status, "headers": []})


async def send_chunk(send, body, *, more=False):
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def reply(send, body, status=200):
    await start_reply(send, status)
    await send_chunk(send, body)


async def serve_fake_app(serve, *, task_status=trio.TASK_STATUS_IGNORED):
    """Serves all paths with one ASGI function."""
    app = App(mounts=[Mount(prefix="/", app=serve)])
    await serve_app(app, task_status=task_status)


async def serve_app(app, *, task_status=trio.TASK_STATUS_IGNORED):
    """Serves an ASGI application on a port that the kernel chooses."""
    config = Config()
    config.bind = ["127.0.0.1:0"]
    config.graceful_timeout = 0.1
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(partial(hypercorn.trio.serve, app, config))
        task_status.started(int(urls[0].rpartition(":")[2]))


class FakePlacer:
    """Chooses the first engine that the request does not exclude."""

    def __init__(self, names):
        self.names = names
        self.requests = []
        self.tokens = 0
        self.placements = {}
        self.finished = []

    async def place(self, request):
        await trio.lowlevel.checkpoint()
        assert request.request_id not in self.placements
        self.requests.append(request)
        for name in self.names:
            if name not in request.excluded:
                self.placements[request.request_id] = name
                return Placement(
                    target=name,
                    priority=7,
                    reserved_tokens=1,
                    waited=request.deadline * 0,
                )
        return Refusal(
            code=RefusalCode.NO_TARGET,
            outcome=RunOutcome.NOT_RUN,
            detail="no target is left",
            retry_after=timedelta(seconds=1),
        )

    def record_tokens(self, request_id, count):
        self.tokens += count

    def finish(self, request_id, *, succeeded):
        self.finished.append((self.placements.pop(request_id), succeeded))


class FakeBudget:
    def __init__(self, retries=10):
        self.retries = retries

    def allow(self, organisation):
        self.retries -= 1
        return self.retries >= 0


def build_configuration(engines=(), apps=(), *, delivery=Delivery.STREAM):
    def target(stand_in, kind):
        return Target(
            name=stand_in.name,
            kind=kind,
            host="127.0.0.1",
            port=stand_in.port,
            data_centre="oslo-a",
            pool=str(kind),
        )

    targets = [target(engine, TargetKind.ENGINE) for engine in engines]
    targets += [target(app, TargetKind.APPLICATION) for app in apps]
    services = [
        Service(name="chat", kind=ServiceKind.GENERATION, delivery=delivery),
        Service(name="booking", kind=ServiceKind.PLAIN),
        Service(name="lookup", kind=ServiceKind.PLAIN, repeatable=True),
    ]
    routes = [
        Route(name="chat", service="chat", pool="engine"),
        Route(name="booking", service="booking", pool="application"),
        Route(name="lookup", service="lookup", pool="application"),
    ]
    return Configuration(
        version=3,
        organisations={
            "clinic": Organisation(name="clinic", key_hashes=(hash_key(KEY),)),
            "household": Organisation(
                name="household", key_hashes=(hash_key(OTHER_KEY),)
            ),
        },
        services={service.name: service for service in services},
        model_choices={
            "chat": ModelChoice(
                name="chat", service="chat", model="llm", version="1"
            )
        },
        routes={route.name: route for route in routes},
        targets={target.name: target for target in targets},
    )


class Exchange:
    """One request to an ASGI application and its response.

    Attributes:
        is_complete: whether the response was sent to its end.
        disconnected: set by a test when the caller disconnects.
    """

    def __init__(
        self, *, method, path, headers, query=b"", body=b"", write=None
    ):
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query,
            "headers": [
                (name.encode(), value.encode())
                for name, value in headers.items()
            ],
        }
        self.requests = [{"type": "http.request", "body": body}]
        self.write = write
        self.status = 0
        self.headers = []
        self.body = b""
        self.is_complete = False
        self.disconnected = trio.Event()

    async def receive(self):
        if self.requests:
            return self.requests.pop(0)
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, event):
        if event["type"] == "http.response.start":
            self.status = event["status"]
            self.headers = event["headers"]
            return
        self.body += event.get("body", b"")
        self.is_complete = not event.get("more_body", False)
        if self.write is not None:
            await self.write(event)

    @property
    def events(self):
        blocks = self.body.decode().split("\n\n")[:-1]
        return [json.loads(block.partition("data: ")[2]) for block in blocks]

    @property
    def tokens(self):
        return [event["delta"] for event in self.events if "delta" in event]

    @property
    def types(self):
        return [event["type"] for event in self.events]
