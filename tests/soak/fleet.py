"""The soak's node processes, engines, application servers and store."""

import os
import pathlib
import signal
import sys
from datetime import timedelta

import trio

from acaciarack.gateway.node import build_config
from acaciarack.listeners import bind_listener
from acaciarack.servers import serve_connections
from tests.platform_stand_in import Store, start
from tests.soak.engines import EchoApplication, Ledger, MovingEngine
from tests.test_gateway_node import PORTS, SETTINGS, take_port

ROOT = pathlib.Path(__file__).resolve().parents[2]
DATA_CENTRES = ("oslo-a", "drammen-b")
NOTICES = (2.0, 4.0)
"""Seconds between an engine's notice and its end: reclaimed, and planned."""


def make_configuration(version):
    """Returns a configuration; calls have one path for each version."""
    route = {"hostname": "h.example", "timeout_ms": 20_000, "slo_ms": 1800}
    return {
        "version": version,
        "routes": [
            {
                **route,
                "name": f"call-{number}",
                "path_prefix": f"/v{number}/",
                "route_type": "non_idempotent",
                "service": "app",
            }
            for number in range(max(1, version - 30), version + 1)
        ]
        + [
            {
                **route,
                "name": "stream",
                "path_prefix": "/stream/",
                "route_type": "streaming",
                "service": "llm",
            }
        ],
        "services": [
            {"name": "app"},
            {
                "name": "llm",
                "engine": {
                    "capacity": 24,
                    "kv_capacity": 100_000,
                    "kv_token_bytes": 1000.0,
                    "link_mbps": 5000.0,
                    "moves": True,
                },
            },
        ],
        "tenants": [{"name": "o", "api_keys": ["key"]}],
    }


class NodeProcess:
    """One node: its settings, its process, and what was done to it.

    Attributes:
        disturbances: when it was killed, stopped, frozen or started.
        is_starting: whether its process is being started.
        stopping: whether it was told to stop and is still to end by itself.
    """

    def __init__(self, name, data_centre, store_port, folder):
        self.name = name
        self.ports = {port: take_port() for port in PORTS}
        self.path = folder / f"{name}.toml"
        text = SETTINGS.replace('"n1"', f'"{name}"')
        text = text.replace('"oslo-a"', f'"{data_centre}"')
        self.path.write_text(text.format(store=store_port, **self.ports))
        self.log = folder / f"{name}.log"
        self.process = None
        self.is_starting = False
        self.disturbances = [0.0]
        self.stopping = False

    @property
    def disturbed(self):
        """When it was last disturbed."""
        return self.disturbances[-1]

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def start(self):
        """Starts the process, unless another fault has done so already."""
        if self.is_starting or self.is_running:
            return
        self.is_starting = True
        # The process keeps its own copy of the file that its lines go to.
        with self.log.open("ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, str(ROOT / "platform" / "start.py")],
                env={**os.environ, "ACACIARACK_BOOT": str(self.path)},
                stdout=log,
                stderr=log,
            )
        self.is_starting = False
        self.stopping = False
        self.disturbances.append(trio.current_time())

    def signal(self, number):
        self.disturbances.append(trio.current_time())
        if self.is_running:
            self.process.send_signal(number)

    async def wait(self):
        """Waits for the end of the process; returns its exit code."""
        return await self.process.wait()


class Fleet:
    """Everything that the soak's callers meet."""

    def __init__(self, *, nodes, engines, folder):
        self.ledger = Ledger()
        self.store = Store()
        self.nodes = []
        self.engines = {}
        self.folder = folder
        self.version = 0
        self._counts = (nodes, engines)
        self._born = 0
        self._scopes = {}

    async def start(self, nursery):
        """Starts the store, the targets and the node processes."""
        self._nursery = nursery
        nodes, engines = self._counts
        self._store_port = await start(nursery, self.store)
        self.publish()
        for number in range(3):
            app = EchoApplication(f"app-{number}", self.ledger)
            self._list(app.name, "app", await start(nursery, app))
        for _ in range(engines):
            await self.add_engine()
        for number in range(nodes):
            node = NodeProcess(
                f"n{number:02}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                self._store_port,
                self.folder,
            )
            await node.start()
            self.nodes.append(node)

    def publish(self):
        """Publishes the next configuration."""
        self.version += 1
        document = make_configuration(self.version)
        self.store.put("keyed.op", "config", document)

    async def add_engine(self):
        self._born += 1
        engine = MovingEngine(f"llm-{self._born}", self.ledger)
        listener = bind_listener("127.0.0.1", 0)
        engine.address = f"127.0.0.1:{listener.port}"
        self._nursery.start_soon(self._serve, engine, listener)
        self.engines[engine.address] = engine
        engine.others = self.engines
        self._list(engine.name, "llm", listener.port)

    async def reclaim_engine(self, engine, *, notice):
        """Takes an engine away; another comes.

        Args:
            engine: which one.
            notice: in seconds; 0 for a crash.
        """
        port = int(engine.address.rpartition(":")[2])
        engine.leaving_since = trio.current_time()
        if notice:
            engine.is_told = True
            self._list(engine.name, "llm", port, state="draining")
            await trio.sleep(notice)
        engine.is_dead = True
        self._scopes[engine.name].cancel()
        self.engines.pop(engine.address)
        await trio.sleep(0.3)
        self.store.put("keyed.servers", engine.name, None)
        await trio.sleep(1.0)
        await self.add_engine()

    async def stop(self):
        """Ends every node process; returns the exit codes by name."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGTERM)
        codes = {}
        with trio.move_on_after(10):
            for node in self.nodes:
                codes[node.name] = await node.wait()
        for node in self.nodes:
            if node.is_running:
                node.process.kill()
                await node.process.wait()
        return codes

    async def _serve(self, engine, listener):
        with trio.CancelScope() as scope:
            self._scopes[engine.name] = scope
            config = build_config(timedelta(seconds=5))
            await serve_connections(
                engine, config, listener.socket, shutdown=trio.sleep_forever
            )
        listener.socket.close()

    def _list(self, name, service, port, *, state="ready"):
        record = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": DATA_CENTRES[self._born % len(DATA_CENTRES)],
            "capacity": 24,
            "state": state,
            "sequence": 2 if state == "draining" else 1,
            "born": 1,
        }
        self.store.put("keyed.servers", name, record)
