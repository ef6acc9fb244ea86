"""Engines and application servers of the soak, all in one process.

Their runs are kept in one place, so that a run moves between engines by a
change of its place, and the checks see what ran where, and how often.
"""

import json
from dataclasses import dataclass, field

import trio

from acaciarack.gateway.asgi import serve_lifespan
from tests.platform_stand_in import answer, read_body

FIRST_COPY = 0.15
"""Seconds of a run's first copy."""
LATER_COPY = 0.005
"""Seconds of each later copy."""
STEP = 0.03
"""Seconds between two events of a run."""
LOST_ANSWERS = 30
"""One call in so many runs and gets no answer of its own."""
SLOTS = 24
"""Runs of one engine at a time."""


@dataclass(kw_only=True, eq=False)
class Run:
    """One generation: where it is, and how far."""

    id: str
    total: int
    place: "MovingEngine"
    made: int = 0
    is_stopped: bool = False
    handles: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class Ledger:
    """What ran: attempts by id, runs, and sends to leaving engines."""

    attempts: dict = field(default_factory=dict)
    runs: dict = field(default_factory=dict)
    late_sends: list = field(default_factory=list)

    def note(self, attempt):
        self.attempts[attempt] = self.attempts.get(attempt, 0) + 1


def read_headers(scope):
    return {
        name.decode(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


class EchoApplication:
    """Answers with the attempt's id and body."""

    def __init__(self, name, ledger, *, delay=0.02):
        self.name = name
        self.ledger = ledger
        self.delay = delay

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_body(receive)
        headers = read_headers(scope)
        attempt = headers["acaciarack-attempt-id"]
        if headers["acaciarack-expect-instance"] != self.name:
            await answer(send, 421)
            return
        self.ledger.note(attempt)
        await trio.sleep(self.delay)
        if int(attempt.rpartition("-")[2]) % LOST_ANSWERS == 7:
            await answer(send, 500)
            return
        signed = [
            (b"acaciarack-attempt-id", attempt.encode()),
            (b"acaciarack-server-signature", b"proof"),
        ]
        await answer(send, 200, attempt.encode() + b"|" + body, signed)


class MovingEngine:
    """Streams events, and lets its runs be copied and stopped."""

    def __init__(self, name, ledger):
        self.name = name
        self.ledger = ledger
        self.address = ""
        self.others = {}
        self.leaving_since = None
        self.is_told = False
        self.is_dead = False

    def list_runs(self):
        return [
            run
            for run in self.ledger.runs.values()
            if run.place is self and not run.is_stopped and run.made < run.total
        ]

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_body(receive)
        if scope["path"] == "/v1/report":
            await answer(send, 200, self._report())
        elif scope["path"] == "/v1/kv-move":
            await self._move(json.loads(body), send)
        elif scope["path"].startswith("/v1/kv-handle/"):
            await answer(send, 200)
        else:
            await self._stream(read_headers(scope), send)

    def _report(self):
        runs = self.list_runs()
        document = {
            "active": len(runs),
            "kv_total": 100_000,
            "state": "draining" if self.leaving_since else "ready",
            "runs": [[run.id, 100 + run.made, run.made, 5] for run in runs],
        }
        return json.dumps(document).encode()

    async def _move(self, order, send):
        run = self.ledger.runs.get(order["id"])
        destination = self.others.get(order["to"])
        if run is None or run.place is not self:
            await answer(send, 404)
            return
        is_known = order["to"] in run.handles
        await trio.sleep(LATER_COPY if is_known else FIRST_COPY)
        if destination is None or destination.is_dead:
            await answer(send, 502)
            return
        handle = run.handles.setdefault(order["to"], f"h{len(run.handles)}")
        if order["last"]:
            run.is_stopped = True
        document = {"handle": handle, "created": run.made}
        await answer(send, 200, json.dumps(document).encode())

    async def _stream(self, headers, send):
        attempt = headers["acaciarack-attempt-id"]
        if headers["acaciarack-expect-instance"] != self.name:
            await answer(send, 421)
            return
        start = 0
        if "kv-from" in headers:
            run = self.ledger.runs.get(attempt)
            if run is None or not run.is_stopped:
                await answer(send, 409)
                return
            run.place, run.is_stopped, run.handles = self, False, {}
            start = int(headers.get("last-event-id", 0))
        else:
            if len(self.list_runs()) >= SLOTS:
                await answer(
                    send, 503, b"", [(b"acaciarack-not-executed", b"1")]
                )
                return
            self.ledger.note(attempt)
            if self.leaving_since is not None:
                age = trio.current_time() - self.leaving_since
                self.ledger.late_sends.append((attempt, self.name, age))
            # The caller asks for a length by the number in its attempt's id.
            total = 20 + int(attempt.rpartition("-")[2]) * 37 % 80
            run = Run(id=attempt, total=total, place=self)
            self.ledger.runs[attempt] = run
        await self._send_events(run, start, send)

    async def _send_events(self, run, sent, send):
        head = [
            (b"content-type", b"text/event-stream"),
            (b"acaciarack-attempt-id", run.id.encode()),
            (b"acaciarack-server-signature", b"proof"),
        ]
        await send(
            {"type": "http.response.start", "status": 200, "headers": head}
        )
        while run.place is self and not run.is_stopped:
            if sent == run.made:
                if run.made == run.total:
                    break
                await trio.sleep(STEP)
                if run.place is not self or run.is_stopped:
                    break
                run.made = max(run.made, sent + 1)
            sent += 1
            data = f"id: {sent}\ndata: {run.id}/{sent}/{run.total}\n\n"
            await send(
                {
                    "type": "http.response.body",
                    "body": data.encode(),
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})
