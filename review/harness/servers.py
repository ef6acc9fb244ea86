"""Application servers and engines, as the users' pages describe them."""

import asyncio
import itertools
import json
import random
import socket

from harness import web

HEARTBEAT_SECONDS = 1.2
"""``heartbeat_ms`` of the settings."""
KV_TOKEN_BYTES = 35136
LINK_MBPS = 5100.0
EVENT_TOKENS = 4
_handles = itertools.count()


class Listener:
    """A listening socket whose queue of new connections can be full."""

    def __init__(self, host, handle):
        self._handle = handle
        self._open = asyncio.Event()
        self._open.set()
        self._tasks = set()
        self._writers = set()
        self.socket = socket.socket()
        self.socket.bind((host, 0))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.host, self.port = self.socket.getsockname()
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self._open.wait()
            connection, _ = await loop.sock_accept(self.socket)
            task = asyncio.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def fill_queue(self):
        """Stops accepting, and fills the queue of new connections."""
        self._open.clear()
        self._accepting.cancel()
        self.socket.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(filler, (self.host, self.port))
        return filler

    def reopen(self):
        """Accepts connections again."""
        self.socket.listen(64)
        self._open.set()
        self._accepting = asyncio.create_task(self._accept())

    def end(self):
        """Ends as a server that is switched off: connections are reset."""
        self._accepting.cancel()
        self.socket.close()
        for writer in list(self._writers):
            web.reset(writer)
        for task in self._tasks:
            task.cancel()


class Server:
    """What all servers share: an entry in the store, and a listener."""

    def __init__(self, name, service, zone, capacity, record, store, host):
        self.name = name
        self.zone = zone
        self.record = record
        self._store = store
        self._entry = {
            "service": service,
            "zone": zone,
            "version": "v1",
            "capacity": capacity,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self.listener = Listener(host, self._handle)
        self.address = f"{self.listener.host}:{self.listener.port}"
        self._entry["address"] = self.address

    async def register(self):
        """Writes the entry now, and again at each heartbeat."""
        await self._write()
        self._beating = asyncio.create_task(self._beat())

    async def _write(self):
        await self._store.put("keyed.servers", self.name, self._entry)
        self._store.answers["given"] += 1
        self._entry["sequence"] += 1

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.9, 1.1))
            await self._write()

    async def drain(self):
        """Reports that it leaves; it goes on serving for a while."""
        self._entry["state"] = "draining"
        await self._write()
        self.record(self.name, "says that it leaves")

    async def end(self):
        """Ends at once; its entry is removed."""
        self._beating.cancel()
        self.record(self.name, "ends")
        self.listener.end()
        await self._store.put("keyed.servers", self.name, None)

    async def _handle(self, reader, writer):
        request = await web.read_request(reader)
        if request is None:
            return
        method, target, headers, body = request
        if target.startswith("/v1/"):
            await self.control(method, target, body, writer)
        elif headers.get("acaciarack-expect-instance") not in (None, self.name):
            writer.write(web.build_response(421))
        else:
            await self.serve(headers, body, reader, writer)
        await writer.drain()

    def _build_proof(self, attempt):
        return [
            ("Acaciarack-Attempt-Id", attempt),
            ("Acaciarack-Server-Signature", f"{self.name}.{attempt}"),
        ]

    async def control(self, method, target, body, writer):
        writer.write(web.build_response(404))

    async def serve(self, headers, body, reader, writer):
        raise NotImplementedError


class Application(Server):
    """Answers each request after some milliseconds of work."""

    async def serve(self, headers, body, reader, writer):
        attempt = headers["acaciarack-attempt-id"]
        self.record(
            self.name,
            "runs",
            attempt=attempt,
            tenant=headers.get("acaciarack-tenant", ""),
        )
        await asyncio.sleep(0.02)
        writer.write(
            web.build_response(200, b"x" * 800, self._build_proof(attempt))
        )


class Run:
    """A generation: where it runs, and how far it is."""

    def __init__(self, attempt, prompt, total, engine):
        self.attempt = attempt
        self.prompt = prompt
        self.total = total
        self.engine = engine
        self.made = 0
        self.is_stopped = False
        self.is_moving = False
        self.handles = {}
        self.copied = {}
        self.writer = None

    @property
    def tokens(self):
        return self.prompt + EVENT_TOKENS * self.made


class Engine(Server):
    """Streams events; its runs can be copied, stopped and resumed.

    Its answers have no length and end with their connections.

    Attributes:
        runs: all runs, by attempt id; shared by all engines.
        engines: all engines, by address.
        on_stop: called with the connection of a call that has stopped a run,
            before its answer.
        interval: the seconds between two events.
    """

    def __init__(self, *args, runs, engines, events, interval=0.03):
        super().__init__(*args)
        self.runs = runs
        self.engines = engines
        self.events = events
        self.interval = interval
        self.on_stop = lambda writer: None
        self._link = asyncio.Lock()
        engines[self.address] = self

    async def control(self, method, target, body, writer):
        if target == "/v1/report":
            writer.write(web.build_response(200, self._report()))
        elif target == "/v1/kv-move":
            await self._move(json.loads(body), writer)
        elif target.startswith("/v1/kv-handle/"):
            writer.write(web.build_response(200))
        else:
            writer.write(web.build_response(404))

    def _report(self):
        own = [r for r in self.runs.values() if self._has(r)]
        document = {
            "queued": 0,
            "active": len(own),
            "kv_used": sum(r.tokens for r in own),
            "kv_total": 34261,
            "state": self._entry["state"],
            "runs": [[r.attempt, r.tokens, r.made, 5] for r in own],
        }
        return json.dumps(document).encode()

    def _has(self, run):
        return run.engine is self and not run.is_stopped

    async def _move(self, command, writer):
        run = self.runs.get(command["id"])
        destination = self.engines.get(command["to"])
        if run is None or run.engine is not self or run.made >= run.total:
            writer.write(web.build_response(404))
            return
        if destination is None:
            writer.write(web.build_response(503))
            return
        if run.is_moving:
            writer.write(web.build_response(409))
            return
        run.is_moving = True
        if command["last"]:
            run.is_stopped = True
            self.record(
                self.name, "stops", attempt=run.attempt, events=run.made
            )
            if run.writer is not None:
                run.writer.close()
            self.on_stop(writer)
        try:
            async with self._link:
                await asyncio.sleep(self._get_copy_time(run, destination))
        finally:
            run.is_moving = False
        run.copied[destination.address] = run.tokens
        handle = f"h{next(_handles)}"
        run.handles[handle] = destination
        if command["last"]:
            self.record(self.name, "last copy made", attempt=run.attempt)
        document = {"handle": handle, "created": run.made}
        writer.write(web.build_response(200, json.dumps(document).encode()))

    def _get_copy_time(self, run, destination):
        """Returns the seconds to copy what the destination lacks."""
        missing = run.tokens - run.copied.get(destination.address, 0)
        seconds = missing * KV_TOKEN_BYTES * 8 / (LINK_MBPS * 1e6)
        return seconds * (1 if destination.zone == self.zone else 2)

    async def serve(self, headers, body, reader, writer):
        attempt = headers["acaciarack-attempt-id"]
        start = 0
        if "kv-from" in headers:
            run = self.runs.get(attempt)
            handle = headers["kv-from"].rpartition("/")[2]
            if run is None or run.handles.pop(handle, None) is not self:
                writer.write(
                    web.build_response(
                        503, b"", [("Acaciarack-Not-Executed", "1")]
                    )
                )
                return
            run.engine, run.is_stopped = self, False
            run.handles, run.copied = {}, {}
            start = int(headers.get("last-event-id", "0"))
            self.record(self.name, "goes on", attempt=attempt, after=start)
        else:
            prompt = int(headers["acaciarack-token-usage"].split(",")[0])
            run = Run(attempt, prompt, self.events, self)
            self.runs[attempt] = run
            self.record(self.name, "runs", attempt=attempt, events=run.total)
        run.writer = writer
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{n}: {v}" for n, v in self._build_proof(attempt)]
        head.append("Connection: close")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        await self._send_events(run, start, writer)

    async def _send_events(self, run, sent, writer):
        while self._has(run) and sent < run.total:
            if sent == run.made:
                await asyncio.sleep(self.interval)
                if not self._has(run) or writer.is_closing():
                    return
                run.made += 1
            sent += 1
            writer.write(f"id: {sent}\ndata: {run.attempt}/{sent}\n\n".encode())
            await writer.drain()
        if sent == run.total:
            self.record(self.name, "run ends", attempt=run.attempt)
