"""A loopback relay that cuts, delays or silences, before a real client."""

import enum
import json
from datetime import timedelta

import trio

from acaciarack.configuration import Target, TargetKind
from acaciarack.engines import ResponsesClient
from acaciarack.errors import AcaciarackError
from acaciarack.relay import Relay
from acaciarack.streams import Follower
from acaciarack.transports import Timeouts
from tests.fakes import FakeEngine, serve_engine, serve_stand_in

PROGRESS = timedelta(seconds=0.4)
DELAY_SECONDS = 0.1
LIMIT_SECONDS = 4
TOKENS = ("a", "b", "c", "d", "e")
CHUNKS_BEFORE = 3


class Mode(enum.StrEnum):
    CUT = "cut"
    DELAY = "delay"
    SILENT = "silent"


class LoopbackRelay:
    """Forwards to a port; the first connection meets the fault."""

    def __init__(self, *, port, mode):
        self.port = port
        self.mode = mode
        self.connections = 0

    async def serve(self, near):
        number = self.connections
        self.connections += 1
        far = await trio.open_tcp_stream("127.0.0.1", self.port)
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy_up, near, far)
            await self._copy_down(far, near, number)
            nursery.cancel_scope.cancel()

    async def _copy_up(self, near, far):
        async for chunk in near:
            await far.send_all(chunk)

    async def _copy_down(self, far, near, number):
        count = 0
        async for chunk in far:
            count += 1
            if not number and count > CHUNKS_BEFORE:
                match self.mode:
                    case Mode.CUT:
                        return
                    case Mode.SILENT:
                        await trio.sleep_forever()
                    case Mode.DELAY:
                        await trio.sleep(DELAY_SECONDS)
            await near.send_all(chunk)


async def _follow(port, violations):
    target = Target(
        name="e",
        kind=TargetKind.ENGINE,
        host="127.0.0.1",
        port=port,
        data_centre="oslo-a",
        pool="engine",
    )
    client = ResponsesClient(timeouts=Timeouts(progress=PROGRESS))
    relay = Relay(seal=str, model="chat")
    data = b""
    try:
        stream = await client.open(target, b'{"input": "hi"}')
        batches = Follower(client=client).follow(target, relay, stream)
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


def run_link(mode):
    """Streams through the relay, in real time; returns violations."""

    async def run():
        violations = []
        engine = FakeEngine(name="e", tokens=TOKENS, gap=0.02)

        async def serve(scope, receive, send):
            await serve_engine(engine, scope, receive, send)

        async with trio.open_nursery() as nursery:
            port = await nursery.start(serve_stand_in, serve)
            relay = LoopbackRelay(port=port, mode=mode)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, relay.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            with trio.move_on_after(LIMIT_SECONDS) as scope:
                await _follow(port, violations)
            if scope.cancelled_caught:
                violations.append("no whole answer in time")
            nursery.cancel_scope.cancel()
        return violations

    return trio.run(run)
