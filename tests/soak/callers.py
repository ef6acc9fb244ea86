"""Callers of the soak: what they ask for, what they got, and the checks."""

import json
from collections import Counter
from dataclasses import dataclass, field

import httpcore
import trio

PATIENCE = 12.0
"""Seconds that a caller waits; the longest stream takes 3 s."""
STREAMS = 0.4
"""The part of all requests that are streams."""
BODY = "caller's own text "


@dataclass(kw_only=True)
class Attempt:
    """One request and what became of it.

    Attributes:
        id: its attempt's id.
        node: which node it was sent to.
        status: the answer's status; ``None`` if none came.
        body: what came of the body.
        is_whole: whether the body came to its own end.
        began: when it was sent.
        ended: when its outcome was known.
        version: the configuration that the caller knew to be in force.
    """

    id: str
    kind: str
    node: str
    began: float
    version: int
    ended: float = 0.0
    status: int | None = None
    body: bytes = b""
    is_whole: bool = False


@dataclass(kw_only=True)
class Callers:
    """Sends requests at a rate; keeps every attempt.

    Attributes:
        confirmed: the newest version that all nodes have shown in force.
        sending: cancelled when nothing new is to be sent.
    """

    fleet: object
    chance: object
    rate: float
    confirmed: int = 1
    sending: trio.CancelScope = field(default_factory=trio.CancelScope)
    attempts: list = field(default_factory=list)
    entries: list = field(default_factory=list)
    number: int = 0

    async def run(self, nursery):
        """Sends until the end; what is in flight then ends in the nursery."""
        with self.sending:
            async with trio.open_nursery() as background:
                background.start_soon(self._follow_entries)
                while True:
                    await trio.sleep(self.chance.expovariate(self.rate))
                    if self.entries:
                        is_stream = self.chance.random() < STREAMS
                        nursery.start_soon(self._send, is_stream)

    async def ask(self, port, method, path, *, id="", body=b""):
        """Sends one request; yields nothing back until the whole answer."""
        attempt = Attempt(
            id=id, kind="", node="", began=0, version=self.confirmed
        )
        await self._exchange(attempt, port, method, path, body)
        return attempt

    async def _follow_entries(self):
        while True:
            node = self.chance.choice(self.fleet.nodes)
            path = "/v1/resolutions?name=h.example&zone=oslo-a"
            with trio.move_on_after(0.5):
                found = await self.ask(node.ports["entries"], "GET", path)
                if found.status == 200 and found.is_whole:
                    self.entries = [
                        int(address.rpartition(":")[2])
                        for address in json.loads(found.body)["addresses"]
                    ]
            await trio.sleep(0.5)

    async def _send(self, is_stream):
        self.number += 1
        port = self.chance.choice(self.entries)
        nodes = [n for n in self.fleet.nodes if n.ports["front"] == port]
        attempt = Attempt(
            id=f"a-{self.number}",
            kind="stream" if is_stream else "call",
            node=nodes[0].name,
            began=trio.current_time(),
            version=self.confirmed,
        )
        self.attempts.append(attempt)
        path = "/stream/x" if is_stream else f"/v{self.confirmed}/x"
        body = (BODY + attempt.id).encode()
        with trio.move_on_after(PATIENCE):
            await self._exchange(attempt, port, "POST", path, body)
        attempt.ended = trio.current_time()

    async def _exchange(self, attempt, port, method, path, body):
        headers = [
            ("Host", "h.example"),
            ("Acaciarack-Attempt-Id", attempt.id),
            ("Acaciarack-Deadline-Ms", str(int(PATIENCE * 1000))),
            ("Acaciarack-Token-Usage", "100,400"),
            ("Acaciarack-Credential", "key"),
            ("Content-Length", str(len(body))),
        ]
        url = f"http://127.0.0.1:{port}{path}"
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    method, url, headers=headers, content=body
                ) as response,
            ):
                attempt.status = response.status
                async for chunk in response.aiter_stream():
                    attempt.body += chunk
                attempt.is_whole = True
        except (httpcore.NetworkError, httpcore.ProtocolError):
            # What came until then is what the checks look at.
            attempt.is_whole = False


def find_violations(attempts, ledger, *, seconds):
    """Returns what breaks a rule, one line each.

    Args:
        attempts: every attempt of the callers.
        ledger: what ran.
        seconds: after which a leaving engine gets nothing new.
    """
    for attempt in attempts:
        runs = ledger.attempts.get(attempt.id, 0)
        if runs > 1:
            yield f"{attempt.id}: ran {runs} times"
        if attempt.status in (400, 404, 503) and runs:
            yield f"{attempt.id}: said {attempt.status}, but it ran"
        if attempt.status == 404:
            yield f"{attempt.id}: version {attempt.version} was in force"
        if attempt.status == 200:
            check = _check_stream if attempt.kind == "stream" else _check_call
            yield from check(attempt, ledger)
    for attempt_id, name, age in ledger.late_sends:
        if age > seconds:
            yield f"{attempt_id}: sent to {name} {age:.2f} s after its notice"


def _check_call(attempt, ledger):
    expected = f"{attempt.id}|{BODY}{attempt.id}".encode()
    if attempt.is_whole and attempt.body != expected:
        yield f"{attempt.id}: not its own whole answer: {attempt.body[:80]!r}"


def _check_stream(attempt, ledger):
    *events, rest = attempt.body.split(b"\n\n")
    total = ledger.runs[attempt.id].total
    for number, event in enumerate(events, start=1):
        expected = f"id: {number}\ndata: {attempt.id}/{number}/{total}"
        if event != expected.encode():
            yield f"{attempt.id}: event {number} is {event[:80]!r}"
            return
    if attempt.is_whole and (rest or len(events) != total):
        yield f"{attempt.id}: ended as whole with {len(events)} of {total}"


def count_cuts(attempts, fleet):
    """Returns how many begun streams were cut, by what had happened."""
    disturbances = {node.name: node.disturbances for node in fleet.nodes}
    cuts = Counter()
    for attempt in attempts:
        if attempt.status != 200 or attempt.is_whole:
            continue
        run = fleet.ledger.runs.get(attempt.id)
        if any(
            attempt.began <= moment <= attempt.ended
            for moment in disturbances[attempt.node]
        ):
            cuts["node"] += 1
        elif run is not None and run.place.is_dead:
            told = run.place.is_told
            cuts["engine with notice" if told else "engine"] += 1
        else:
            cuts["not known"] += 1
    return cuts


def count_outcomes(attempts):
    """Returns how many attempts ended how."""
    return Counter(
        f"{attempt.kind} {attempt.status or 'unanswered'}"
        + ("" if attempt.is_whole else " broken off")
        for attempt in attempts
    )
