"""Stand-ins of the platform, of servers and of requesters, and node processes.

Standard library only. All sockets are on loopback addresses. Each run uses a
loopback network of its own, derived from its process id, and free ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
NETWORK = f"127.{64 + (os.getpid() >> 8) % 128}.{os.getpid() % 250 + 1}"
"""The first three bytes of all addresses of this run."""

_started_at = time.monotonic()


def clock():
    """Returns the seconds since the start of the run."""
    return time.monotonic() - _started_at


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")

    def add(self, text):
        self._file.write(f"{clock():8.3f}  {text}\n")
        self._file.flush()


async def read_head(reader):
    """Returns the start line and the headers, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader, headers):
    """Returns the whole body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(status, body, headers=()):
    length = ("Content-Length", str(len(body)))
    return encode_head(status, [*headers, length]) + body


def listen(host):
    """Returns a listening socket on a free port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, 0))
    listener.listen(512)
    return listener


def find_ports(host, count):
    """Returns free TCP ports."""
    listeners = [listen(host) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def find_link_port(host):
    """Returns the first of three ports in a row that are free."""
    for port in range(7200, 20000, 16):
        if all(
            _is_free(host, port + offset, kind)
            for offset in range(3)
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            return port
    raise CannotRunError("no free ports")


def _is_free(host, port, kind):
    with socket.socket(socket.AF_INET, kind) as trial:
        try:
            trial.bind((host, port))
        except OSError:
            return False
    return True


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self):
        self.records = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        listener = listen(f"{NETWORK}.250")
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        await asyncio.start_server(self._serve, sock=listener)

    def put(self, topic, key, value):
        """Appends a record; a value of ``None`` removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, key, data)

    def _append(self, topic, key, data):
        self.records.setdefault(topic, []).append((key, data))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                target = start.split(" ")[1]
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&"))
                writer.write(await self._respond(path, query, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, path, query, body):
        topic = query["topic"]
        if path == "/v1/log-append":
            content = body[4:]
            length = content[0]
            key = content[1 : 1 + length].decode()
            self._append(topic, key, content[1 + length :])
            end = len(self.records[topic])
            answer = {"offset": end - 1, "end_offset": end}
            return encode_response(200, json.dumps(answer).encode())
        if path == "/v1/log-newest":
            newest = {}
            for offset, (key, data) in enumerate(self.records.get(topic, ())):
                newest[key] = (offset, data)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(data).decode(),
                    "offset": offset,
                }
                for key, (offset, data) in sorted(newest.items())
                if data
            ]
            answer = {
                "items": items,
                "has_more": False,
                "end_offset": len(self.records.get(topic, ())),
            }
            return encode_response(200, json.dumps(answer).encode())
        start = int(query["source"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self.records.get(topic, ())) <= start:
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        records = self.records.get(topic, [])
        answer = struct.pack(">QQ", len(records), 0)
        for key, data in records[start:]:
            content = bytes([len(key)]) + key.encode() + data
            answer += struct.pack(">I", len(content)) + content
        return encode_response(200, answer)


class Server:
    """Serves HTTP on an address of its own; subclasses answer requests."""

    def __init__(self, name, number, record):
        self.name = name
        self.record = record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._host = f"{NETWORK}.{100 + number}"
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self):
        listener = listen(self._host)
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def build_entry(self, service, zone, capacity, state):
        self.sequence += 1
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "capacity": capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def exit(self):
        """Ends the server as the end of its process does."""
        self.record.add(f"server {self.name} exits")
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            start, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, path, _ = start.split(" ")
            await self.respond(method, path, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(self, method, path, headers, body, writer):
        raise NotImplementedError


def is_for_other(server, headers):
    """Returns whether a request expects another server."""
    expected = headers.get("acaciarack-expect-instance")
    return expected is not None and expected != server.name


SETTINGS = """
[node]
name = "{name}"
data_centre = "{zone}"
front = "{host}:{front}"
ready = "{host}:{ready}"
entries = "{host}:{entries}"
link_port = {link}
cpu_share = 0.537
cpu_cores = 2

[store]
address = "{store}"

[bounds]
stop_seconds = 8
retry_ratio = 0.2
retry_window_seconds = 10
retry_extra = 54
entry_lifetime_seconds = 5
contact_milliseconds = 3000

[limits]
memory_megabytes = 150
max_descriptors = 4100

[regions]
"oslo-a" = "ostlandet"
"drammen-b" = "ostlandet"
"hamar-c" = "ostlandet"
"""
"""``platform/settings.toml`` filled as DEPLOY.md describes."""


class Node:
    """One process of the deploy file's role."""

    def __init__(self, name, number, zone, store, folder, record):
        self.name = name
        self.host = f"{NETWORK}.{number + 1}"
        self.front, self.ready, self.entries = find_ports(self.host, 3)
        self.record = record
        self._folder = pathlib.Path(folder)
        self._settings = self._folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=self.host,
                front=self.front,
                ready=self.ready,
                entries=self.entries,
                link=find_link_port(self.host),
                store=store.address,
            )
        )
        self.process = None

    async def start(self):
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "platform/start.py",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "ACACIARACK_BOOT": str(self._settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.add(f"node {self.name} started")

    def signal(self, number):
        """Sends a signal; returns when."""
        self.record.add(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        return clock()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            start, _ = await read_head(reader)
            return start.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds=15):
        """Waits until the node is ready; ends the run with 2 if it is not."""
        for _ in range(int(seconds * 10)):
            if await self.is_ready():
                self.record.add(f"node {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready after {seconds} s")

    async def end(self):
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRunError(Exception):
    """The case could not be run."""


def run_case(case, folder):
    """Runs a case, and exits with 0, 1 or 2 as the issue says.

    Args:
        case: gets the record, whether there is trouble, and a folder for the
            settings and the logs of the nodes; returns whether the rule held.
        folder: the folder of the case, for ``record.txt``.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add(f"trouble: {'on' if trouble else 'off'}")

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                held = await asyncio.wait_for(
                    case(record, trouble, pathlib.Path(temporary)), 110
                )
            except Exception as error:
                # An error of the case itself shows nothing of the rule.
                record.add(f"could not run: {error!r}")
                return 2
            finally:
                keep_logs(temporary, record)
        return 0 if held else 1

    code = asyncio.run(run())
    record.add(f"exit code {code}")
    sys.exit(code)


def keep_logs(folder, record):
    """Adds what the nodes logged of moves, cut streams and signals."""
    events = (
        "stop-and-copy",
        "pre-copy",
        "stream broken",
        "stream closed early",
        "resumed",
        "generation ended",
        '"signal"',
    )
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text().splitlines():
            if any(event in line for event in events):
                record.add(f"log of {path.stem}: {line}")
