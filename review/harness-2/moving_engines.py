"""Model servers whose runs can be copied and moved, as PROTOCOL.md says."""

import asyncio
import json
import time

from engines import Engine
from stand_ins import clock, encode_head, encode_response


class Run:
    """One run, wherever it goes on.

    Attributes:
        number: 1 for the first run of its attempt.
        prompt_tokens: the tokens of its prompt.
        made: the events that it has made.
        engine: the server that runs it; ``None`` while it is stopped.
        copied: by destination, the tokens that lie there.
        is_moving: whether a call that copies it is in progress.
    """

    def __init__(self, attempt, prompt_tokens, engine, number=1):
        self.attempt = attempt
        self.number = number
        self.prompt_tokens = prompt_tokens
        self.made = 0
        self.engine = engine
        self.copied = {}
        self.is_moving = False

    def count_tokens(self, stride):
        return self.prompt_tokens + self.made * stride


class Fleet:
    """All model servers of a case, and their runs.

    Attributes:
        engines: by address.
        runs: by attempt.
        handles: by source address and handle: the run and its destination.
    """

    def __init__(self, record, *, token_bytes, link_mbps, stride=4):
        self.record = record
        self.token_bytes = token_bytes
        self.link_mbps = link_mbps
        self.stride = stride
        self.engines = {}
        self.runs = {}
        self.handles = {}
        self.number = 0
        self._moves = []
        self._moved = asyncio.Condition()

    async def move(self, run, source, target):
        """Copies what a server lacks of a run; returns the tokens copied.

        A move waits behind the earlier ones on the links of both servers.
        """
        entry = (source, target)
        self._moves.append(entry)
        try:
            async with self._moved:
                await self._moved.wait_for(lambda: self._is_first(entry))
            tokens = run.count_tokens(self.stride)
            missing = tokens - run.copied.get(target.address, 0)
            seconds = missing * self.token_bytes * 8 / (self.link_mbps * 1e6)
            if source.zone != target.zone:
                seconds *= 2
            await asyncio.sleep(seconds)
            run.copied[target.address] = tokens
            return missing
        finally:
            self._moves = [move for move in self._moves if move is not entry]
            async with self._moved:
                self._moved.notify_all()

    def _is_first(self, entry):
        for move in self._moves:
            if move is entry:
                return True
            if set(move) & set(entry):
                return False
        return True


class MovingEngine(Engine):
    """A model server with a link that carries one move after the other.

    Attributes:
        arrivals: when each request arrived, with its attempt.
    """

    def __init__(
        self,
        name,
        number,
        fleet,
        *,
        count,
        interval,
        zone="oslo-a",
        counts=None,
    ):
        super().__init__(
            name,
            number,
            fleet.record,
            count=count,
            interval=interval,
            counts=counts,
        )
        self.fleet = fleet
        self.zone = zone
        self.headers = {}
        self.arrivals = []

    async def start(self):
        await super().start()
        self.fleet.engines[self.address] = self

    async def respond(self, method, path, headers, body, writer):
        if not path.startswith("/v1/"):
            attempt = headers.get("acaciarack-attempt-id", "")
            self.arrivals.append((clock(), attempt))
        if path == "/v1/kv-move":
            await self._move(json.loads(body), writer)
        elif path.startswith("/v1/kv-handle/"):
            self.fleet.handles.pop(
                (self.address, path.rpartition("/")[2]), None
            )
            writer.write(encode_response(200, b""))
            await writer.drain()
        elif "kv-from" in headers:
            await self._resume(headers, writer)
        else:
            self.headers = headers
            await super().respond(method, path, headers, body, writer)

    async def _move(self, command, writer):
        fleet = self.fleet
        run = fleet.runs.get(command["id"])
        target = fleet.engines.get(command["to"])
        if run is None or run.engine is not self:
            writer.write(encode_response(404, b""))
            return
        if run.is_moving:
            writer.write(encode_response(409, b""))
            return
        last = command.get("last", False)
        kind = "stops and copies" if last else "copies"
        fleet.record.add(
            f"server {self.name} {kind} {run.attempt} to {target.name}"
        )
        if last:
            run.engine = None
        began = time.monotonic()
        run.is_moving = True
        try:
            missing = await fleet.move(run, self, target)
        finally:
            run.is_moving = False
        fleet.number += 1
        handle = f"h{fleet.number}"
        fleet.handles[self.address, handle] = (run, target, last)
        answer = {"handle": handle, "created": run.made}
        seconds = time.monotonic() - began
        fleet.record.add(
            f"server {self.name} has copied {missing} tokens of {run.attempt} "
            f"to {target.name}, {seconds:.2f} s after the call"
        )
        writer.write(encode_response(200, json.dumps(answer).encode()))
        await writer.drain()

    async def _resume(self, headers, writer):
        attempt = headers["acaciarack-attempt-id"]
        echo = ("Acaciarack-Attempt-Id", attempt)
        source, _, handle = headers["kv-from"].partition("/")
        run, target, last = self.fleet.handles.pop(
            (source, handle), (None,) * 3
        )
        if (
            run is None
            or run.attempt != attempt
            or not last
            or self not in (target, self.fleet.engines[source])
        ):
            writer.write(
                encode_response(
                    503, b"", [echo, ("Acaciarack-Not-Executed", "1")]
                )
            )
            return
        run.engine = self
        run.copied = {}
        first = int(headers.get("last-event-id", 0)) + 1
        self.record.add(f"server {self.name} goes on with {attempt} at {first}")
        await self._send_events(run, first, echo, writer)

    async def _stream(self, attempt, echo, writer):
        self.ran.append(attempt)
        self.record.add(f"server {self.name} runs {attempt}")
        prompt = int(self.headers["acaciarack-token-usage"].split(",")[0])
        earlier = self.fleet.runs.get(attempt)
        run = Run(attempt, prompt, self, earlier.number + 1 if earlier else 1)
        self.fleet.runs[attempt] = run
        # A run that goes on at Last-Event-Id has read the events before.
        run.made = int(self.headers.get("last-event-id", 0))
        self.record.add(
            f"run {run.number} of {attempt} begins at event {run.made + 1}"
        )
        await self._send_events(run, run.made + 1, echo, writer)

    async def _send_events(self, run, first, echo, writer):
        head = [
            ("Content-Type", "text/event-stream"),
            echo,
            ("Acaciarack-Server-Signature", f"proof.{self.name}"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(encode_head(200, head))
        self.running[run.attempt] = run.made
        self.idle.clear()
        try:
            count = self.counts.get(run.attempt, self.count)
            for number in range(min(first, run.made + 1), count + 1):
                if number > run.made:
                    await asyncio.sleep(self.interval)
                if run.engine is not self:
                    return  # Stopped: the stream closes without its end.
                run.made = max(run.made, number)
                if number < first:
                    continue
                data = f"id: {number}\ndata: run {run.number} "
                data += "x" * max(0, self.payload - len(data) - 2) + "\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(data), data.encode()))
                await writer.drain()
                self.running[run.attempt] = number
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run.engine = None
            self.finished.add(run.attempt)
            self.record.add(f"server {self.name} has ended {run.attempt}")
        finally:
            self.running.pop(run.attempt, None)
            writer.close()
            if not self.running:
                self.idle.set()
