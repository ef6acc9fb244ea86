"""Small stand-ins for clients, servers and the platform's store.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("regina-a", "saskatoon-b", "brandon-c")
HOST = "h.example"
KEY = "key-1"
PROMISES = (408, 421, 429, 503)
HEARTBEAT_S = 1.2


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.path = pathlib.Path(folder) / "record.txt"
        self.path.write_text("")

    def __call__(self, text):
        with self.path.open("a") as file:
            file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.path, _, self.query = target.partition("?")
        self.headers, self.body = headers, body

    @property
    def id(self):
        return self.headers.get("acaciarack-attempt-id", "")


async def read_request(reader):
    """Reads one request; ``None`` if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        return Request(method, target, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(status, body=b"", headers=()):
    return encode_head(status, [*headers, ("Content-Length", len(body))]) + body


class HttpServer:
    """Serves requests with ``self.respond(request, reader, writer)``."""

    def __init__(self, host="127.0.0.1", port=0):
        self.host, self.port = host, port
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**20, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while (request := await read_request(reader)) is not None:
                if await self.respond(request, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Closes the listener and resets all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: a log of keyed topics."""

    def __init__(self, **options):
        super().__init__(**options)
        self.records = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        records = self.records.setdefault(topic, [])
        records.append((key, value or b""))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    async def respond(self, request, reader, writer):
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        topic = query.get("topic", "")
        if request.path == "/v1/log-newest":
            writer.write(self._newest(topic))
        elif request.path == "/v1/log-read":
            writer.write(await self._read(topic, query))
        elif request.path == "/v1/log-append":
            offset = len(self.records.get(topic, ()))
            data, position = request.body, 0
            while position < len(data):
                (length,) = struct.unpack_from(">I", data, position)
                content = data[position + 4 : position + 4 + length]
                position += 4 + length
                key = content[1 : 1 + content[0]].decode()
                self.put(topic, key, content[1 + content[0] :])
            answer = {"offset": offset, "end_offset": len(self.records[topic])}
            writer.write(encode_response(200, json.dumps(answer).encode()))
        else:
            writer.write(encode_response(404))
        await writer.drain()

    def _newest(self, topic):
        records = self.records.get(topic, [])
        newest = {key: (value, n) for n, (key, value) in enumerate(records)}
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
        return encode_response(200, json.dumps(page).encode())

    async def _read(self, topic, query):
        start = int(query["source"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self.records.get(topic, ())) <= start:
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        records = self.records.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_response(200, body)


class Server(HttpServer):
    """A server of an application: runs requests and echoes their bodies."""

    def __init__(self, name, record, *, service="app", zone=ZONES[0], **opts):
        super().__init__(**opts)
        self.name, self.record, self.service = name, record, service
        self.zone = zone
        self.capacity = 6
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.arrivals = []
        self.work_s = 0.02

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left_ms": 0,
            "phase": "combined",
            "models": [],
            "sequence": self.sequence,
            "born": self.born,
        }

    def signed(self, request):
        return [
            ("Acaciarack-Attempt-Id", request.id),
            ("Acaciarack-Server-Signature", f"s.{self.name}.{request.id}"),
        ]

    async def respond(self, request, reader, writer):
        self.arrivals.append((time.monotonic(), request))
        if request.path.startswith("/healthz"):
            writer.write(
                encode_response(
                    200, b"", [("Acaciarack-Instance-Id", self.name)]
                )
            )
            await writer.drain()
            return None
        expected = request.headers.get("acaciarack-expect-instance", self.name)
        if expected != self.name:
            self.record(f"{self.name} answers 421 to {request.id}")
            writer.write(
                encode_response(
                    421,
                    b"",
                    [
                        ("Acaciarack-Attempt-Id", request.id),
                        ("Acaciarack-Instance-Id", self.name),
                    ],
                )
            )
            await writer.drain()
            return None
        return await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        self.runs.append((time.monotonic(), request))
        self.record(
            f"{self.name} runs {request.id}: {request.method} {request.target}"
        )
        await asyncio.sleep(self.work_s)
        body = f"{request.id}|".encode() + request.body
        writer.write(encode_response(200, body, self.signed(request)))
        await writer.drain()


class Engine(Server):
    """A model server: streams events, and copies and resumes its runs.

    Attributes:
        engines: all engines, by address.
        active: its runs, by the id of their request.
        copies: the copies that it holds, by source and handle.
        id_step: by how much the ids of two events differ.
        framed: whether its streams are sent in chunks.
        has_room: whether it has room for copies of other engines.
    """

    handle_count = 0

    def __init__(self, name, record, engines, **options):
        super().__init__(name, record, service="llm", **options)
        self.engines = engines
        self.capacity = 64
        self.active, self.copies = {}, {}
        self.id_step = 1
        self.framed = True
        self.has_room = True
        self.events = 12
        self.interval_s = 0.03
        self.ends = {}

    async def start(self):
        await super().start()
        self.engines[self.address] = self

    async def respond(self, request, reader, writer):
        if request.path == "/v1/report":
            answer = {
                "phase": "combined",
                "models": [{"name": "m", "version": 1}],
                "busy": False,
                "sequence": self.sequence,
                "queued": 0,
                "active": len(self.active),
                "kv_used": 100 * len(self.active),
                "kv_total": 34474,
                "handles": len(self.copies),
                "next": 0,
                "state": self.state,
                "born": self.born,
                "runs": [
                    [id, 100, run["made"], 5] for id, run in self.active.items()
                ],
            }
            writer.write(encode_response(200, json.dumps(answer).encode()))
        elif request.path == "/v1/kv-move":
            writer.write(await self.move(json.loads(request.body)))
        elif request.path.startswith("/v1/kv-handle/"):
            handle = request.path.rpartition("/")[2]
            for engine in self.engines.values():
                engine.copies.pop((self.address, handle), None)
            writer.write(encode_response(200, b"{}"))
        else:
            return await super().respond(request, reader, writer)
        await writer.drain()
        return None

    async def after_event(self, run):
        """Does what comes between two events."""

    async def finish(self):
        """Does what comes after a run, before its connection is closed."""

    async def move(self, order):
        """Copies a run to another engine; stops it first if asked to."""
        run = self.active.get(order["id"])
        self.record(f"{self.name} is asked to move {order}: {bool(run)}")
        if run is None:
            return encode_response(404, b"{}")
        if order.get("last"):
            run["stopped"] = True
            del self.active[order["id"]]
        await asyncio.sleep(0.01)
        if not run["handle"]:
            Engine.handle_count += 1
            run["handle"] = f"h{Engine.handle_count}"
        answer = {"handle": run["handle"], "created": run["made"]}
        copy = {"id": order["id"], "made": run["made"]}
        self.copies[self.address, run["handle"]] = copy
        destination = self.engines.get(order["to"])
        status = 503
        if destination is not None and destination.has_room:
            destination.copies[self.address, run["handle"]] = copy
            status = 200
        return encode_response(status, json.dumps(answer).encode())

    async def run(self, request, reader, writer):
        first = 1
        if "kv-from" in request.headers:
            source, _, handle = request.headers["kv-from"].partition("/")
            copy = self.copies.pop((source, handle), None)
            if copy is None or copy["id"] != request.id:
                self.record(f"{self.name} holds no such copy for {request.id}")
                writer.write(
                    encode_response(
                        503,
                        b"",
                        [
                            ("Acaciarack-Attempt-Id", request.id),
                            ("Acaciarack-Not-Executed", "1"),
                        ],
                    )
                )
                await writer.drain()
                return None
            last = int(request.headers.get("last-event-id", 0))
            first = last // self.id_step + 1
        run = {"made": first - 1, "handle": ""}
        run["stopped"] = run["exited"] = False
        self.active[request.id] = run
        self.runs.append((time.monotonic(), request))
        self.record(f"{self.name} runs {request.id} from event {first}")
        head = [*self.signed(request), ("Content-Type", "text/event-stream")]
        if self.framed:
            head.append(("Transfer-Encoding", "chunked"))
        writer.write(encode_head(200, head))
        how = "to its end"
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.interval_s)
            if run["stopped"]:
                how = "until it was stopped"
                break
            if reader.at_eof() or writer.is_closing():
                how = "until its caller closed the connection"
                break
            run["made"] = number
            text = f"id: {number * self.id_step}\ndata: {request.id}/{number}"
            data = f"{text}/{self.events}\n\n".encode()
            if self.framed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            await self.after_event(run)
            if run["exited"]:
                how = "until it exited"
                break
        self.active.pop(request.id, None)
        self.ends[request.id] = (time.monotonic(), how, run["made"])
        self.record(f"{self.name} has run {request.id} {how}: {run['made']}")
        if how == "to its end" and self.framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        await self.finish()
        return None if self.framed and how == "to its end" else False


GENERATION = (
    ("Acaciarack-Model", "m"),
    ("Acaciarack-Token-Usage", "250,80"),
    ("Acaciarack-Prompt-Prefix", "5c1e07a2:79,91bd3f06:40,e4402b7d:131"),
)


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.whole, self.error, self.end_s = False, "", 0.0

    def __str__(self):
        how = "whole" if self.whole else f"not whole ({self.error})"
        return f"{self.status}, {len(self.body)} bytes, {how}"


class Client:
    """A connection of a client to a node."""

    def __init__(self, record):
        self.record = record

    async def open(self, host, port):
        self.reader, self.writer = await asyncio.open_connection(host, port)

    def send(self, method, target, headers, body=b"", *, length=True):
        head = [f"{method} {target} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in headers]
        if body and length:
            head.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body
        self.writer.write(data)

    async def receive(self, *, is_head=False):
        """Reads an answer; one that is broken off is not whole."""
        answer = Answer()
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                name, colon, value = line.partition(":")
                if colon:
                    answer.headers[name.strip().lower()] = value.strip()
            if not is_head and answer.status not in (204, 304):
                await self._receive_body(answer)
            answer.whole = True
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            ValueError,
            IndexError,
        ) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.end_s = time.monotonic()
        return answer

    async def _receive_body(self, answer):
        if "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                data = await self.reader.read(min(left, 65536))
                if not data:
                    raise ConnectionError("closed in the body")
                answer.body += data
                left -= len(data)
        elif "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    raise ConnectionError("closed in the body")
                size = int(line, 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return
                answer.body += data[:-2]
        else:
            answer.body = await self.reader.read(-1)

    def close(self, *, reset=False):
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()


SETTINGS = """[node]
name = "{name}"
data_centre = "{zone}"
front = "{host}:8740"
ready = "{host}:8749"
entries = "{host}:8746"
link_port = 7200
cpu_share = 0.537
cpu_cores = 2

[store]
address = "{store}"

[bounds]
stop_seconds = 8
retry_ratio = 0.2
retry_window_seconds = 10
retry_extra = 52
entry_lifetime_seconds = 5
contact_milliseconds = 3000

[limits]
memory_megabytes = {memory_mb}
max_descriptors = 4100

[regions]
"regina-a" = "prairie"
"saskatoon-b" = "prairie"
"brandon-c" = "prairie"
"""


class Node:
    """A process of the system: ``python3 platform/start.py``."""

    count = 0

    def __init__(self, lab, zone=None, memory_mb=300):
        Node.count += 1
        number = Node.count
        pid = os.getpid()
        self.host = f"127.{10 + pid % 200}.{pid // 200 % 250}.{number}"
        self.name = f"edge-{zone or ZONES[(number - 1) % 3]}-{number}"
        self.zone = zone or ZONES[(number - 1) % 3]
        self.lab = lab
        self.memory_mb = memory_mb
        self.process = None
        self.store = lab.store.address

    def write_settings(self):
        path = self.lab.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                host=self.host,
                store=self.store,
                memory_mb=self.memory_mb,
            )
        )
        return path

    async def start(self):
        path = self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["ACACIARACK_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.lab.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/start.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.lab.record(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.lab.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                client = Client(self.lab.record)
                await client.open(self.host, 8749)
                client.send("GET", "/v1/readyz", [("Host", "x")])
                answer = await client.receive()
                client.close()
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")


def route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "slo_ms": 500,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "session_affinity": False,
        "resumable": False,
        **more,
    }


ENGINE = {
    "capacity": 64,
    "kv_capacity": 34474,
    "kv_token_bytes": 35136,
    "link_mbps": 5100.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": "m"}],
}


def configuration(version=1, routes=(), services=(), tenants=None, **limits):
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": tenants
        or [{"name": "huka270", "api_keys": [KEY], "priority": 1}],
    }


def service(name, **more):
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 100,
        "protocol": "h1",
        "tls": False,
        **more,
    }


class Lab:
    """The store, the servers and the node processes of one case."""

    def __init__(self, folder):
        self.out = pathlib.Path(folder)
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.nodes, self.servers, self.tasks = [], [], []
        self.disturbs = os.environ.get("TROUBLE", "1") != "0"
        self.sent = 0

    async def start(
        self, document, servers, nodes=2, beats=True, **node_options
    ):
        await self.store.start()
        self.store.put("keyed.op", "config", document)
        for server in servers:
            await self.add_server(server)
        if beats:
            self.start_beats()
        for _ in range(nodes):
            node = Node(self, **node_options)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def add_server(self, server):
        if not server.port:
            await server.start()
        self.servers.append(server)
        self.store.put("keyed.servers", server.name, server.entry())

    def now(self):
        """Returns the time in seconds."""
        return time.monotonic()

    def remove_server(self, server):
        """Removes the entry of a server that has left."""
        self.servers.remove(server)
        self.store.put("keyed.servers", server.name, None)

    def put_entry(self, server):
        """Writes the entry of one server at once."""
        self.store.put("keyed.servers", server.name, server.entry())

    def start_beats(self):
        """Has all servers write their entries every heartbeat."""
        self.tasks.append(asyncio.create_task(self._beat()))

    def beat(self):
        """Writes the entries of all servers."""
        for server in self.servers:
            self.store.put("keyed.servers", server.name, server.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def new_id(self):
        self.sent += 1
        return f"{os.getpid():08x}{self.sent:08x}"

    def headers(self, id, *, deadline_ms=3000, more=(), key=KEY):
        return [
            ("Host", HOST),
            ("Acaciarack-Attempt-Id", id),
            ("Acaciarack-Deadline-Ms", deadline_ms),
            ("Acaciarack-Credential", key),
            *more,
        ]

    async def call(
        self,
        node,
        method,
        target,
        body=b"",
        *,
        id=None,
        deadline_ms=3000,
        more=(),
        key=KEY,
    ):
        """Sends one request on a connection of its own."""
        id = id or self.new_id()
        client = Client(self.record)
        self.record(f"client sends {id} to {node.name}: {method} {target}")
        try:
            await client.open(node.host, 8740)
        except OSError as error:
            answer = Answer()
            answer.error = f"not connected: {error}"
            return id, answer
        client.send(
            method,
            target,
            self.headers(id, deadline_ms=deadline_ms, more=more, key=key),
            body,
        )
        answer = await client.receive(is_head=method == "HEAD")
        client.close()
        self.record(f"client gets for {id}: {answer}")
        return id, answer

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case, timeout=110):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held."""
    lab = Lab(folder)

    async def run():
        try:
            async with asyncio.timeout(timeout):
                return await case(lab)
        finally:
            await lab.stop()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # The case could not run.
        import traceback

        traceback.print_exc()
        lab.record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        lab.record(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    lab.record("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
