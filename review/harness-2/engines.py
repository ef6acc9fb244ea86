"""A model server that streams events, and a requester that reads a stream."""

import asyncio
import json
import socket

from stand_ins import Server, clock, encode_head, encode_response, is_for_other


class Engine(Server):
    """Streams numbered events, in chunks or without a length.

    Attributes:
        count: the number of events of a stream.
        counts: the number of events of single streams, by attempt.
        interval: the seconds between two events.
        payload: the bytes of data in each event.
        is_framed: whether streams are sent in chunks.
        running: the requests that it runs, with the events made so far.
        finished: the requests whose last event it has sent.
        ran: the requests that it has begun.
        idle: set while no request runs.
    """

    def __init__(
        self,
        name,
        number,
        record,
        *,
        count,
        interval,
        payload=320,
        framed=True,
        counts=None,
    ):
        super().__init__(name, number, record)
        self.count = count
        self.counts = counts or {}
        self.interval = interval
        self.payload = payload
        self.is_framed = framed
        self.running = {}
        self.finished = set()
        self.ran = []
        self.idle = asyncio.Event()

    async def respond(self, method, path, headers, body, writer):
        if path == "/v1/report":
            writer.write(encode_response(200, self._report()))
            await writer.drain()
            return
        if path == "/healthz":
            instance = [("Acaciarack-Instance-Id", self.name)]
            writer.write(encode_response(200, b"", instance))
            return
        attempt = headers.get("acaciarack-attempt-id", "")
        if not attempt:
            writer.write(
                encode_response(400, b"", [("Acaciarack-Not-Executed", "1")])
            )
            return
        echo = ("Acaciarack-Attempt-Id", attempt)
        if is_for_other(self, headers):
            writer.write(encode_response(421, b"", [echo]))
            return
        if path.startswith("/v1/"):
            writer.write(encode_response(404, b"", [echo]))
            return
        await self._stream(attempt, echo, writer)

    async def _stream(self, attempt, echo, writer):
        self.ran.append(attempt)
        self.record.add(f"server {self.name} runs {attempt}")
        head = [
            ("Content-Type", "text/event-stream"),
            echo,
            ("Acaciarack-Server-Signature", f"proof.{self.name}"),
        ]
        if self.is_framed:
            head.append(("Transfer-Encoding", "chunked"))
        else:
            head.append(("Connection", "close"))
        writer.write(encode_head(200, head))
        self.running[attempt] = 0
        self.idle.clear()
        try:
            count = self.counts.get(attempt, self.count)
            for number in range(1, count + 1):
                await asyncio.sleep(self.interval)
                data = f"id: {number}\ndata: {attempt} {number} "
                data += "x" * max(0, self.payload - len(data) - 2) + "\n\n"
                encoded = data.encode()
                if self.is_framed:
                    encoded = b"%x\r\n%s\r\n" % (len(encoded), encoded)
                writer.write(encoded)
                await writer.drain()
                self.running[attempt] = number
            if self.is_framed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.finished.add(attempt)
            self.record.add(
                f"server {self.name} has sent all {count} events of "
                f"{attempt} and closes the connection"
            )
        except OSError as error:
            self.record.add(f"server {self.name}: {attempt} broke: {error!r}")
            raise
        finally:
            del self.running[attempt]
            writer.close()
            if not self.running:
                self.idle.set()

    def _report(self):
        document = {
            "phase": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": len(self.running),
            "kv_used": 3000 * len(self.running),
            "kv_total": 34261,
            "handles": 0,
            "born": self.born,
            "runs": [
                [attempt, 3000 + events, events, 5]
                for attempt, events in self.running.items()
            ],
        }
        return json.dumps(document).encode()


def build_stream_configuration(
    version=1,
    *,
    timeout_ms=39000,
    token_bytes=35136,
    link_mbps=5100.0,
    slots=24,
    resumable=False,
):
    """Returns a configuration with one streaming route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "guide",
                "hostname": "h.example",
                "path_prefix": "/guide/",
                "route_type": "streaming",
                "timeout_ms": timeout_ms,
                "slo_ms": 1800,
                "priority": 0,
                "service": "llm",
                "max_attempts": 3 if resumable else 1,
                "public": False,
                "session_affinity": True,
                "resumable": resumable,
                "gap_slo_ms": 180,
            }
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 222,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "capacity": slots,
                    "kv_capacity": 34261,
                    "kv_token_bytes": token_bytes,
                    "link_mbps": link_mbps,
                    "moves": True,
                    "backups": False,
                    "stride": 4,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": ["key-1"], "priority": 1}],
    }


class StreamRequest:
    """A requester's streaming request.

    Attributes:
        status: the status of the answer; ``None`` without one.
        events: the numbers of the events received.
        payloads: the data of the events received.
        end: ``complete``, ``closed`` or ``reset``.
        ended_at: when it ended.
    """

    def __init__(self, attempt, record, *, tokens=1460):
        self.attempt = attempt
        self.tokens = tokens
        self.record = record
        self.status = None
        self.events = []
        self.payloads = []
        self.end = "waiting"
        self.ended_at = 0.0
        self.data = b""
        self.socket = None

    async def send(self, host, port, *, window=None):
        """Connects and sends the request."""
        self.socket = socket.socket()
        if window:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (host, port))
        body = b'{"prompt": "how do I set up the treadmill"}'
        head = (
            "POST /guide/2f HTTP/1.1\r\n"
            "Host: h.example\r\n"
            f"Acaciarack-Attempt-Id: {self.attempt}\r\n"
            "Acaciarack-Model: m\r\n"
            f"Acaciarack-Token-Usage: {self.tokens},1200\r\n"
            "Acaciarack-Prompt-Prefix: 5c1e07a2:800,"
            f"{self.attempt.encode().hex()}:{self.tokens - 800}\r\n"
            "Acaciarack-Deadline-Ms: 39000\r\n"
            "Acaciarack-Credential: key-1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        await loop.sock_sendall(self.socket, head + body)
        self.record.add(f"requester sent {self.attempt}")

    async def read(self, count=65536):
        """Reads once; returns whether the answer goes on."""
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self.socket, count)
        except ConnectionError:
            self._finish("reset")
            return False
        self.data += data
        self._parse()
        if self.end == "complete":
            self.ended_at = clock()
            self.record.add(f"requester: {self.attempt} is complete")
            return False
        if not data:
            self._finish("closed")
            return False
        return True

    async def read_all(self):
        while await self.read():
            pass
        self.socket.close()

    def _finish(self, end):
        self.end = end
        self.ended_at = clock()
        self.record.add(
            f"requester: {self.attempt} {end} after status {self.status} and "
            f"{len(self.events)} events"
        )

    def _parse(self):
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        self.status = int(head.split(b" ")[1])
        lines = head.lower().split(b"\r\n")
        if b"transfer-encoding: chunked" not in lines:
            for line in lines:
                name, _, value = line.partition(b":")
                if name == b"content-length" and len(rest) >= int(value):
                    self.end = "complete"
            return
        content = b""
        while True:
            size, separator, rest = rest.partition(b"\r\n")
            if not separator:
                break
            length = int(size, 16)
            if length == 0:
                self.end = "complete"
                break
            if len(rest) < length + 2:
                break
            content += rest[:length]
            rest = rest[length + 2 :]
        lines = [e.split(b"\n") for e in content.split(b"\n\n") if e]
        self.events = [int(line[0].removeprefix(b"id: ")) for line in lines]
        self.payloads = [line[1].removeprefix(b"data: ") for line in lines]
