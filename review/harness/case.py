"""What all scripts share: the record, a small deployment, the exit code."""

import asyncio
import itertools
import os
import pathlib
import sys
import tempfile
import time

from harness import web
from harness.fleet import MACHINES, Node, pick_network
from harness.servers import Application, Engine
from harness.store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
OTHER_KEY = "wsjnbanfqasnmgkcuyj8"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT = 30.0
"""Seconds that the nodes may take to become ready."""


class CouldNotRunError(Exception):
    """The deployment did not come up, or the disruption did not happen."""


def make_configuration(version, *, keys=(KEY, OTHER_KEY)):
    route = {
        "hostname": HOST,
        "priority": 0,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
    }
    return {
        "version": version,
        "routes": [
            {
                **route,
                "name": "setup-guide",
                "path_prefix": "/lohu930/",
                "route_type": "streaming",
                "timeout_ms": 39000,
                "slo_ms": 1800,
                "gap_slo_ms": 180,
                "service": "rettleiar",
                "session_affinity": True,
            },
            {
                **route,
                "name": "booking-charge",
                "path_prefix": "/pule252/",
                "route_type": "non_idempotent",
                "timeout_ms": 1000,
                "slo_ms": 125,
                "service": "utleie-app",
            },
        ],
        "services": [
            {
                "name": "rettleiar",
                "health_path": "/healthz",
                "max_connections": 222,
                "engine": {
                    "capacity": 24,
                    "kv_capacity": 34261,
                    "kv_token_bytes": 35136,
                    "link_mbps": 5100.0,
                    "moves": True,
                    "backups": True,
                    "stride": 4,
                },
            },
            {
                "name": "utleie-app",
                "health_path": "/healthz",
                "max_connections": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": list(keys), "priority": 1}],
    }


class Deployment:
    """A store, servers and node processes like those of the Haugland sheet."""

    def __init__(self, folder, record, *, events=200):
        self.record = record
        self.network = pick_network()
        self.store = Store(record)
        self.nodes = []
        self.engines = []
        self.applications = []
        self._folder = folder
        self._events = events
        self._numbers = itertools.count(1)

    async def start(self):
        await self.store.start(f"{self.network}.2")
        await self.store.put("keyed.op", "config", make_configuration(7))
        runs, engines = {}, {}
        for number in range(6):
            self.engines.append(
                Engine(
                    f"i-engine{number}",
                    "rettleiar",
                    list(dict.fromkeys(MACHINES))[number % 3],
                    24,
                    self.record,
                    self.store,
                    f"{self.network}.{100 + number}",
                    runs=runs,
                    engines=engines,
                    events=self._events,
                )
            )
        for number, zone in enumerate(dict.fromkeys(MACHINES)):
            self.applications.append(
                Application(
                    f"i-app{number}",
                    "utleie-app",
                    zone,
                    6,
                    self.record,
                    self.store,
                    f"{self.network}.{120 + number}",
                )
            )
        for server in (*self.engines, *self.applications):
            await server.register()
        for number, zone in enumerate(MACHINES):
            node = Node(
                number,
                zone,
                self.network,
                self.store.address,
                self._folder,
                self.record,
            )
            self.nodes.append(node)
            await node.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Waits until each node says that it is ready."""
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                for node in self.nodes:
                    while not await self.is_ready(node):
                        await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise CouldNotRunError("the nodes did not become ready") from error

    async def is_ready(self, node):
        answer = await web.send_request(
            node.host, 8749, "GET", "/v1/readyz", [("Host", "x")], timeout=1.0
        )
        return answer.status == 200

    async def call(
        self,
        node,
        path,
        *,
        key=KEY,
        wait_ms=1000,
        usage="1460,800",
        on_data=None,
    ):
        """Sends a request as a client; returns its id and the answer."""
        attempt = f"{next(self._numbers):016x}"
        self.record("client", "sends", attempt=attempt, to=node.name, path=path)
        headers = [
            ("Host", HOST),
            ("Acaciarack-Attempt-Id", attempt),
            ("Acaciarack-Deadline-Ms", wait_ms),
            ("Acaciarack-Credential", key),
        ]
        if path.startswith("/lohu930/"):
            headers += [
                ("Acaciarack-Model", "m"),
                ("Acaciarack-Token-Usage", usage),
                ("Acaciarack-Prompt-Prefix", f"5c1e07a2:800,{attempt}:1400"),
            ]
        answer = await web.send_request(
            node.host,
            8740,
            "POST",
            path,
            headers,
            b"{}",
            timeout=wait_ms / 1000 + 1,
            on_data=on_data,
        )
        self.record(
            "client",
            "gets",
            attempt=attempt,
            status=answer.status,
            whole=answer.is_whole,
            proof=answer.headers.get("acaciarack-server-signature", ""),
            events=len(answer.event_ids),
        )
        return attempt, answer

    async def stop(self):
        for node in self.nodes:
            await node.stop()


def run_case(check, *, seconds=110, **options):
    """Runs a case on a new deployment and exits with its result.

    Args:
        check: an async function that receives the deployment and returns
            whether the rule held.
        seconds: the longest time that the case may take.
        options: options of ``Deployment``.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    began = time.monotonic()
    with (folder / "record.txt").open("w", encoding="utf-8") as file:

        def record(who, what, **fields):
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            time_text = f"{time.monotonic() - began:8.3f}"
            print(time_text, who, what, text, file=file, flush=True)

        async def run(logs):
            deployment = Deployment(logs, record, **options)
            try:
                async with asyncio.timeout(seconds):
                    await deployment.start()
                    return HELD if await check(deployment) else BROKEN
            except (CouldNotRunError, TimeoutError, OSError) as error:
                record("script", "could not run", error=repr(error))
                return COULD_NOT_RUN
            finally:
                await deployment.stop()

        with tempfile.TemporaryDirectory() as name:
            logs = pathlib.Path(name)
            code = asyncio.run(run(logs))
            if os.environ.get("LOGS"):
                for path in sorted(logs.glob("*.log")):
                    print(path.name, path.read_text(errors="replace"))
        result = {HELD: "rule held", BROKEN: "rule broken"}
        record("script", result.get(code, "could not run"), code=code)
    print((folder / "record.txt").read_text(), end="")
    sys.exit(code)
