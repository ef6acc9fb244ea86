"""One node over real sockets, between stand-ins of the platform."""

import os
import pathlib
import signal
import tempfile
import time

import httpcore
import trio
from acaciarack_platform.launch import build_adapters

from acaciarack.clock import SystemClock
from acaciarack.gateway.meters import PrometheusMeters
from acaciarack.gateway.node import GatewayNode
from acaciarack.gateway.settings import load_settings
from acaciarack.settings import SettingsError
from tests import platform_stand_in as stand_in
from tests.support import TestCase

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "call",
            "hostname": "h.example",
            "path_prefix": "/call/",
            "route_type": "non_idempotent",
            "timeout_ms": 1000,
            "service": "app",
        },
        {
            "name": "stream",
            "hostname": "h.example",
            "path_prefix": "/stream/",
            "route_type": "streaming",
            "timeout_ms": 5000,
            "slo_ms": 1800,
            "service": "llm",
        },
    ],
    "services": [
        {"name": "app"},
        {
            "name": "llm",
            "engine": {"capacity": 4, "kv_capacity": 9000, "moves": True},
        },
    ],
    "tenants": [{"name": "o", "api_keys": ["key"]}],
}
SETTINGS = """
[node]
name = "n1"
data_centre = "oslo-a"
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
entries = "127.0.0.1:{entries}"
link_port = {link}
metrics_port = {metrics}

[store]
address = "127.0.0.1:{store}"

[bounds]
stop_seconds = 6.0
"""


class World:
    """A store, an application target, an engine and one node."""

    def __init__(self):
        self.store = stand_in.Store()
        self.application = stand_in.Application("i-app")
        self.engine = stand_in.Engine("i-llm")
        self.ports = {}
        self.node = None
        self.stopped = trio.Event()

    async def start(self, nursery):
        store = await stand_in.start(nursery, self.store)
        app = await stand_in.start(nursery, self.application)
        llm = await stand_in.start(nursery, self.engine)
        self.put_target("i-app", "app", app)
        self.put_target("i-llm", "llm", llm)
        self.ports = {name: take_port() for name in PORTS}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(SETTINGS.format(store=store, **self.ports))
            settings = load_settings(path)
        meters = PrometheusMeters()
        self.node = GatewayNode(
            settings=settings,
            adapters=build_adapters(settings),
            clock=SystemClock(),
            meters=meters,
            metrics=meters.build_app(),
        )
        nursery.start_soon(self.run_node)

    async def run_node(self):
        await self.node.run()
        self.stopped.set()

    def put_target(self, name, service, port, *, state="ready", sequence=1):
        self.store.put(
            "keyed.servers",
            name,
            {
                "service": service,
                "address": f"127.0.0.1:{port}",
                "zone": "oslo-a",
                "capacity": 4,
                "state": state,
                "sequence": sequence,
                "born": 1,
            },
        )

    async def ask(self, path, *, port="front", key="key", id="r1", body=b"b"):
        headers = [
            ("Host", "h.example"),
            ("Acaciarack-Attempt-Id", id),
            ("Acaciarack-Deadline-Ms", "5000"),
            ("Acaciarack-Token-Usage", "100,50"),
            ("Acaciarack-Credential", key),
            ("Content-Length", str(len(body))),
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://127.0.0.1:{self.ports[port]}{path}"
            return await pool.request(
                "POST", url, headers=headers, content=body
            )

    async def get(self, path, *, port):
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://127.0.0.1:{self.ports[port]}{path}"
            return await pool.request("GET", url)

    async def wait_for(self, status, path="/v1/readyz", *, port="ready"):
        with trio.fail_after(10):
            while True:
                try:
                    if (await self.get(path, port=port)).status == status:
                        return
                except httpcore.ConnectError:
                    pass
                await trio.sleep(0.02)


PORTS = ("front", "ready", "entries", "link", "metrics")


def take_port():
    """Returns a port that the kernel had free just now."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class NodeTest(TestCase):
    def play(self, function, *, configured=True):
        async def run():
            world = World()
            if configured:
                world.store.put("keyed.op", "config", CONFIGURATION)
            async with trio.open_nursery() as nursery:
                await world.start(nursery)
                with trio.fail_after(20):
                    await function(world)
                nursery.cancel_scope.cancel()

        self.run_real(run)

    def test_call_reaches_its_target_once_with_what_the_node_adds(self):
        async def check(world):
            await world.wait_for(200)
            answer = await world.ask("/call/x?q=1", body=b"book")
            self.assertEqual(200, answer.status)
            self.assertEqual(b"i-app", answer.content)
            [(request_id, body, headers)] = world.application.ran
            self.assertEqual(("r1", b"book"), (request_id, body))
            self.assertEqual(b"o", headers[b"acaciarack-tenant"])
            self.assertNotIn(b"acaciarack-credential", headers)

        self.play(check)

    def test_failure_of_a_target_is_passed_on_unchanged(self):
        async def check(world):
            await world.wait_for(200)
            world.application.status = 500
            answer = await world.ask("/call/x")
            self.assertEqual(500, answer.status)
            self.assertEqual(1, len(world.application.ran))

        self.play(check)

    def test_stream_is_passed_on_whole(self):
        async def check(world):
            await world.wait_for(200)
            answer = await world.ask("/stream/x")
            self.assertEqual(200, answer.status)
            self.assertEqual(10, answer.content.count(b"data: x\n\n"))

        self.play(check)

    def test_cut_stream_never_looks_complete(self):
        async def check(world):
            await world.wait_for(200)
            world.engine.cut_at = 5
            with self.assertRaises(httpcore.RemoteProtocolError):
                await world.ask("/stream/x")

        self.play(check)

    def test_unknown_route_and_key(self):
        async def check(world):
            await world.wait_for(200)
            self.assertEqual(404, (await world.ask("/none/")).status)
            answer = await world.ask("/call/x", key="other")
            self.assertEqual(401, answer.status)
            self.assertEqual([], world.application.ran)

        self.play(check)

    def test_without_a_configuration_nothing_is_called_unknown(self):
        async def check(world):
            await world.wait_for(503)
            answer = await world.ask("/call/x")
            self.assertEqual(503, answer.status)
            self.assertIn(b"retry-after", dict(answer.headers))
            world.store.put("keyed.op", "config", CONFIGURATION)
            await world.wait_for(200)

        self.play(check, configured=False)

    def test_configuration_is_in_force_within_its_bound(self):
        async def check(world):
            await world.wait_for(200)
            route = {**CONFIGURATION["routes"][0], "path_prefix": "/new/"}
            changed = {**CONFIGURATION, "version": 5, "routes": [route]}
            world.store.put("keyed.op", "config", changed)
            began = time.monotonic()
            while (await world.ask("/new/x", id="r2")).status != 200:
                self.assertLess(time.monotonic() - began, 2)
            self.assertEqual(404, (await world.ask("/call/x")).status)

        self.play(check)

    def test_spoilt_and_older_configurations_change_nothing(self):
        async def check(world):
            await world.wait_for(200)
            older = {**CONFIGURATION, "version": 0, "routes": []}
            world.store.put("keyed.op", "config", older)
            world.store.put("keyed.op", "config", b"{spoilt")
            await trio.sleep(0.3)
            self.assertEqual(200, (await world.ask("/call/x")).status)

        self.play(check)

    def test_known_state_serves_while_the_store_refuses(self):
        async def check(world):
            await world.wait_for(200)
            world.store.refuses = True
            world.store.forget("keyed.servers")
            await trio.sleep(0.5)
            self.assertEqual(200, (await world.ask("/call/x")).status)
            world.store.refuses = False
            world.store.forget("keyed.op")
            changed = {**CONFIGURATION, "version": 9, "routes": []}
            world.store.put("keyed.op", "config", changed)
            with trio.fail_after(5):
                status = 200
                while status != 404:
                    status = (await world.ask("/call/x")).status

        self.play(check)

    def test_leaving_target_gets_nothing_new(self):
        async def check(world):
            await world.wait_for(200)
            entry = world.store.records["keyed.servers"][0][1]
            port = int(entry.split(b"127.0.0.1:")[1].split(b'"')[0])
            world.put_target("i-app", "app", port, state="draining", sequence=2)
            await trio.sleep(0.2)
            self.assertEqual(503, (await world.ask("/call/x")).status)
            self.assertEqual([], world.application.ran)

        self.play(check)

    def test_planned_stop_lets_a_stream_end(self):
        async def check(world):
            await world.wait_for(200)
            world.engine.events = 100
            world.engine.step = 0.02
            answers = []

            async def stream():
                answers.append(await world.ask("/stream/x"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await trio.sleep(0.5)
                os.kill(os.getpid(), signal.SIGTERM)
                await world.wait_for(503)
                # Connections are still taken, calls still served.
                answer = await world.ask("/call/x", id="r2")
                self.assertEqual(200, answer.status)
                self.assertIn((b"connection", b"close"), answer.headers)
            [answer] = answers
            self.assertEqual(100, answer.content.count(b"data: x\n\n"))
            with trio.fail_after(10):
                await world.stopped.wait()

        self.play(check)

    def test_entries_and_metrics(self):
        async def check(world):
            await world.wait_for(200)
            answer = await world.get(
                "/v1/resolutions?name=h.example&zone=oslo-a", port="entries"
            )
            front = f"127.0.0.1:{world.ports['front']}"
            self.assertIn(front.encode(), answer.content)
            await world.ask("/call/x")
            answer = await world.get("/metrics", port="metrics")
            self.assertIn(
                b'acaciarack_gateway_requests_total{outcome="answered"} 1',
                answer.content,
            )

        self.play(check)

    def test_any_bytes_leave_the_node_up(self):
        async def check(world):
            await world.wait_for(200)
            for port in ("front", "ready", "entries", "link", "metrics"):
                for data in (b"\xff" * 500, b"GET / HTTP/1.1\r\n\r\n", b"\x92"):
                    stream = await trio.open_tcp_stream(
                        "127.0.0.1", world.ports[port]
                    )
                    async with stream:
                        await stream.send_all(data)
            self.assertEqual(200, (await world.ask("/call/x")).status)

        self.play(check)


class SettingsTest(TestCase):
    def test_all_faults_are_told_at_once(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text('[node]\nname = ""\nfront = "here"\nother = 1\n')
            error = self.assertRaises(SettingsError, load_settings, path)
        found = {fault.key for fault in error.faults}
        self.assertTrue({"node.name", "node.front", "store"} <= found)
