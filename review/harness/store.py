"""The platform's store: keyed topics of its log."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from harness import web

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class Store:
    """A store that loses nothing that it has acknowledged.

    Attributes:
        loses: returns whether the answer to a call is lost. The connection of
            a lost answer returns nothing further.
        answers: the number of answers given and of answers lost.
    """

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = asyncio.Condition()
        self._server = None
        self.address = ""
        self.loses = lambda path, topic: False
        self.answers = {"given": 0, "lost": 0}

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def put(self, topic, key, value):
        """Appends a record; returning is the store's confirmation."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        async with self._changed:
            self._topics.setdefault(topic, []).append((key, value))
            self._changed.notify_all()

    def list_keys(self, topic):
        return {key for key, value in self._topics.get(topic, []) if value}

    async def _serve(self, reader, writer):
        is_lost = False
        try:
            while (request := await web.read_request(reader)) is not None:
                _, target, _, body = request
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                path = url.path.rpartition("/")[2]
                data = await self._answer(path, query, body)
                if is_lost or self.loses(path, query.get("topic", "")):
                    is_lost = True
                    self.answers["lost"] += 1
                    self._record(
                        "store", "answer lost", call=path, **_brief(query)
                    )
                    continue
                self.answers["given"] += 1
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        topic = query["topic"]
        if path == "log-newest":
            return self._list_newest(topic)
        if path == "log-read":
            return await self._read(topic, query)
        if path != "log-append":
            return web.build_response(404)
        if topic in ("keyed.op", "keyed.servers"):
            return web.build_response(403)
        size = body[4]
        await self.put(topic, body[5 : 5 + size].decode(), body[5 + size :])
        end = len(self._topics[topic])
        document = {"offset": end - 1, "end_offset": end}
        return web.build_response(200, json.dumps(document).encode())

    def _list_newest(self, topic):
        records = self._topics.get(topic, [])
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
            if value
        ]
        page = {"items": items, "has_more": False, "end_offset": len(records)}
        return web.build_response(200, json.dumps(page).encode())

    async def _read(self, topic, query):
        start = int(query["source"])
        wait = int(query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: len(self._topics.get(topic, ())) > start
                )
        except TimeoutError:
            pass
        records = self._topics.get(topic, [])
        body = _OFFSETS.pack(len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += _LENGTH.pack(len(content)) + content
        return web.build_response(200, body)


def _brief(query):
    return {k: query[k] for k in ("topic", "source", "wait_ms") if k in query}
