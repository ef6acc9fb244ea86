"""A TCP proxy on loopback that injects faults between client and engine."""

import enum
import json
from datetime import timedelta

import trio

from acaciarack.configuration import Target, TargetKind
from acaciarack.engines import ResponsesClient
from acaciarack.errors import AcaciarackError
from acaciarack.relay import Relay
from acaciarack.streams import GenerationReader
from acaciarack.transports import Timeouts
from tests.fakes import FakeEngine, serve_engine, serve_fake_app

PROGRESS_TIMEOUT = timedelta(seconds=0.4)
DELAY_SECONDS = 0.1
STREAM_TIMEOUT_SECONDS = 4
TOKENS = ("a", "b", "c", "d", "e")
CHUNKS_BEFORE_FAULT = 3


class Mode(enum.StrEnum):
    """The fault that the proxy injects after ``CHUNKS_BEFORE_FAULT`` chunks.

    Attributes:
        CUT: closes the connection.
        DELAY: delays each further chunk from the engine.
        SILENT: forwards no further data and keeps the connection open.
    """

    CUT = "cut"
    DELAY = "delay"
    SILENT = "silent"


class FaultProxy:
    """Forwards connections to a port; injects the fault into the first one."""

    def __init__(self, *, port, mode):
        self.port = port
        self.mode = mode
        self.connections = 0

    async def serve(self, client_stream):
        connection_index = self.connections
        self.connections += 1
        server_stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        async with server_stream, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._copy_to_server, client_stream, server_stream
            )
            await self._copy_to_client(
                server_stream, client_stream, connection_index
            )
            nursery.cancel_scope.cancel()

    async def _copy_to_server(self, client_stream, server_stream):
        async for chunk in client_stream:
            await server_stream.send_all(chunk)

    async def _copy_to_client(
        self, server_stream, client_stream, connection_index
    ):
        chunk_count = 0
        async for chunk in server_stream:
            chunk_count += 1
            if not connection_index and chunk_count > CHUNKS_BEFORE_FAULT:
                match self.mode:
                    case Mode.CUT:
                        return
                    case Mode.SILENT:
                        await trio.sleep_forever()
                    case Mode.DELAY:
                        await trio.sleep(DELAY_SECONDS)
            await client_stream.send_all(chunk)


async def _read_stream(port, violations):
    target = Target(
        name="e",
        kind=TargetKind.ENGINE,
        host="127.0.0.1",
        port=port,
        data_centre="oslo-a",
        pool="engine",
    )
    client = ResponsesClient(timeouts=Timeouts(progress=PROGRESS_TIMEOUT))
    relay = Relay(seal=str, model="chat")
    data = b""
    try:
        stream = await client.open(target, b'{"input": "hi"}')
        batches = GenerationReader(client=client).read_batches(
            target, relay, stream
        )
        async for batch in batches:
            data += batch.data
    except AcaciarackError as error:
        violations.append(f"lost: {error}")
    await client.aclose()
    events = [
        json.loads(block.partition("data: ")[2])
        for block in data.decode().split("\n\n")[:-1]
    ]
    tokens = tuple(e["delta"] for e in events if "delta" in e)
    if tokens != TOKENS:
        violations.append(f"got {tokens}")


def run_proxy_mode(mode):
    """Streams through the proxy in real time; returns the violations."""

    async def run():
        violations = []
        engine = FakeEngine(name="e", tokens=TOKENS, gap=0.02)

        async def serve(scope, receive, send):
            await serve_engine(engine, scope, receive, send)

        async with trio.open_nursery() as nursery:
            port = await nursery.start(serve_fake_app, serve)
            proxy = FaultProxy(port=port, mode=mode)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
            proxy_port = listeners[0].socket.getsockname()[1]
            with trio.move_on_after(STREAM_TIMEOUT_SECONDS) as scope:
                await _read_stream(proxy_port, violations)
            if scope.cancelled_caught:
                violations.append("no whole answer in time")
            nursery.cancel_scope.cancel()
        return violations

    return trio.run(run)
