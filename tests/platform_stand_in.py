"""A small stand-in of the users' platform: its store, and servers.

It speaks what ``platform/`` speaks, over HTTP on loopback addresses, and can
be told to misbehave: refuse calls, lose history, answer late.
"""

import base64
import json
import struct
from urllib.parse import parse_qs

import trio

from acaciarack.gateway.asgi import serve_lifespan
from acaciarack.gateway.node import build_config
from acaciarack.listeners import bind_listener
from acaciarack.servers import serve_connections


async def start(nursery, app):
    """Serves an ASGI application; returns its port."""
    from datetime import timedelta

    listener = bind_listener("127.0.0.1", 0)
    nursery.start_soon(serve, app, build_config(timedelta(seconds=5)), listener)
    return listener.port


async def serve(app, config, listener):
    await serve_connections(
        app, config, listener.socket, shutdown=trio.sleep_forever
    )


async def read_body(receive):
    body = b""
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body"):
            return body


async def answer(send, status, body=b"", headers=()):
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                *headers,
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


class Store:
    """Keyed topics. ``refuses`` answers 503; ``forgets`` loses history."""

    def __init__(self):
        self.records = {}
        self.first = {}
        self.refuses = False
        self.calls = 0
        self._changed = trio.lowlevel.ParkingLot()

    def put(self, topic, key, value):
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.records.setdefault(topic, []).append((key, value))
        self._changed.unpark_all()

    def forget(self, topic):
        """Drops the history; the newest of each key is kept."""
        self.first[topic] = len(self.records.get(topic, ()))
        self._changed.unpark_all()

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_body(receive)
        self.calls += 1
        if self.refuses:
            await answer(send, 503)
            return
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        path = scope["path"].rpartition("/")[2]
        if path == "log-newest":
            await self._newest(query, send)
        elif path == "log-read":
            await self._read(query, send)
        else:
            self._append(query["topic"], body)
            await answer(send, 200, b"{}")

    def _append(self, topic, body):
        content = body[4:]
        length = content[0]
        key = content[1 : 1 + length].decode()
        self.put(topic, key, content[1 + length :])

    async def _newest(self, query, send):
        records = self.records.get(query["topic"], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (value, offset)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(newest.items())
            if value is not None
        ]
        page = {"items": items, "has_more": False, "end_offset": len(records)}
        await answer(send, 200, json.dumps(page).encode())

    async def _read(self, query, send):
        topic, start = query["topic"], int(query["source"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while (
                len(self.records.get(topic, ())) <= start
                and self.first.get(topic, 0) <= start
            ):
                await self._changed.park()
        if self.first.get(topic, 0) > start:
            await answer(send, 410, b'{"first_offset":0}')
            return
        records = self.records.get(topic, [])
        body = struct.pack(">QQ", len(records), self.first.get(topic, 0))
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        await answer(send, 200, body)


class Application:
    """A plain server that answers with its name and what it received."""

    def __init__(self, name):
        self.name = name
        self.ran = []
        self.status = 200

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_body(receive)
        headers = dict(scope["headers"])
        request_id = headers[b"acaciarack-attempt-id"]
        if headers[b"acaciarack-expect-instance"].decode() != self.name:
            await answer(send, 421)
            return
        self.ran.append((request_id.decode(), body, headers))
        await answer(
            send,
            self.status,
            self.name.encode(),
            [
                (b"acaciarack-attempt-id", request_id),
                (b"acaciarack-server-signature", b"proof"),
            ],
        )


class Engine(Application):
    """A server that streams ``events`` events, one each ``step`` seconds."""

    def __init__(self, name, *, events=10, step=0.01):
        super().__init__(name)
        self.events = events
        self.step = step
        self.cut_at = None

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        await read_body(receive)
        headers = dict(scope["headers"])
        if scope["path"] == "/v1/report":
            await answer(send, 200, b"{}")
            return
        if scope["path"] == "/v1/kv-move":
            await answer(send, 404)
            return
        self.ran.append(headers[b"acaciarack-attempt-id"].decode())
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    (
                        b"acaciarack-attempt-id",
                        headers[b"acaciarack-attempt-id"],
                    ),
                    (b"acaciarack-server-signature", b"proof"),
                ],
            }
        )
        for number in range(1, self.events + 1):
            await trio.sleep(self.step)
            if number == self.cut_at:
                return
            data = b"id: %d\ndata: x\n\n" % number
            await send(
                {
                    "type": "http.response.body",
                    "body": data,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})
