"""A stream that the node itself has stopped for a move is given up."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from engines import StreamRequest, build_stream_configuration  # noqa: E402
from moving_engines import Fleet, MovingEngine  # noqa: E402
from stand_ins import Node, Store, run_case  # noqa: E402

SERVERS, SLOTS = 7, 2
"""An eighth one is added; then two of the eight leave, a share of 0.25."""
STREAMS = SERVERS * SLOTS
"""All servers are full until the empty one is added."""
EVENTS, INTERVAL = 215, 0.04
"""A stream takes 8.7 s."""
TOKEN_BYTES, LINK_MBPS = 35136, 1000.0
PROMPT_TOKENS = 12000
"""The first copy of a run takes 3.4 s on the link."""
GRACE_SECONDS = 8.0


async def case(record, trouble, folder):
    store = Store()
    await store.start()
    fleet = Fleet(record, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS)
    servers = [
        MovingEngine(f"i-{n}", n, fleet, count=EVENTS, interval=INTERVAL)
        for n in range(1, SERVERS + 2)
    ]
    *first, added = servers

    def write_entry(server, state="ready"):
        entry = server.build_entry("llm", "oslo-a", SLOTS, state)
        store.put("keyed.servers", server.name, entry)
        record.add(f"store accepts the entry of {server.name}: {state}")

    configuration = build_stream_configuration(
        token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, slots=SLOTS
    )
    store.put("keyed.op", "config", configuration)
    for server in servers:
        await server.start()
    for server in first:
        write_entry(server)
    nodes = [
        Node(f"edge-oslo-a-{n}", n, "oslo-a", store, folder, record)
        for n in (1, 2)
    ]
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(1.0)
        node = nodes[0]
        requests = []
        readers = []
        for number in range(STREAMS):
            request = StreamRequest(f"a-{number}", record, tokens=PROMPT_TOKENS)
            requests.append(request)
            await request.send(node.host, node.front)
            readers.append(asyncio.create_task(request.read_all()))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        stopped_at = None
        write_entry(added)
        if trouble:
            # Planned work: two servers leave, and a node is stopped.
            for server in first[:2]:
                write_entry(server, "draining")
            await asyncio.sleep(0.5)
            stopped_at = node.signal(signal.SIGTERM)
        await asyncio.gather(*readers)
        return judge(record, requests, stopped_at)
    finally:
        for node in nodes:
            await node.end()


def judge(record, requests, stopped_at):
    """Returns whether LOST held for all streams."""
    held = True
    for request in requests:
        is_whole = request.end == "complete" and request.events == list(
            range(1, EVENTS + 1)
        )
        # A server at work in the last sixth of grace_s excuses.
        is_excused = (
            stopped_at is not None
            and request.ended_at >= stopped_at + GRACE_SECONDS * 5 / 6
        )
        after = (
            f" {request.ended_at - stopped_at:.2f} s after SIGTERM"
            if stopped_at
            else ""
        )
        record.add(
            f"{request.attempt}: status {request.status}, "
            f"{len(request.events)} of {EVENTS} events received, answer "
            f"{request.end}{after}; excused: {is_excused}"
        )
        held = held and (is_whole or is_excused)
    return held


run_case(case, FOLDER)
