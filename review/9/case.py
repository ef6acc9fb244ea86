"""A planned stop cuts a whole stream whose server has left."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from engines import Engine, StreamRequest, build_stream_configuration  # noqa: E402
from stand_ins import Node, Store, run_case  # noqa: E402

SERVERS = 4
"""One of them leaves: a share of 0.25."""
EVENTS = {"a-0": 120, "a-1": 180, "a-2": 180, "a-3": 180}
INTERVAL = 0.04
"""Seconds between two events; the stream a-0 takes 4.8 s."""
GRACE_SECONDS = 8.0


async def case(record, trouble, folder):
    store = Store()
    await store.start()
    servers = [
        Engine(
            f"i-{number}",
            number,
            record,
            count=0,
            interval=INTERVAL,
            framed=False,
            counts=EVENTS,
        )
        for number in range(1, SERVERS + 1)
    ]

    def write_entry(server, state="ready"):
        entry = server.build_entry("llm", "oslo-a", 1, state)
        store.put("keyed.servers", server.name, entry)
        record.add(f"store accepts the entry of {server.name}: {state}")

    store.put("keyed.op", "config", build_stream_configuration(slots=1))
    for server in servers:
        await server.start()
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
        for attempt in EVENTS:
            request = StreamRequest(attempt, record)
            requests.append(request)
            await request.send(node.host, node.front)
            readers.append(asyncio.create_task(request.read_all()))
            await asyncio.sleep(0.1)
        stopped_at = None
        if trouble:
            # Planned work: a server leaves, and a node is stopped. The other
            # servers are full, so the run goes on where it is.
            (leaving,) = [s for s in servers if "a-0" in s.ran]
            write_entry(leaving, "draining")
            await asyncio.sleep(0.5)
            stopped_at = node.signal(signal.SIGTERM)
            # Over drain_ms after its notice was accepted, the server has no
            # request left, and its process ends.
            await leaving.idle.wait()
            leaving.exit()
            store.put("keyed.servers", leaving.name, None)
        await asyncio.gather(*readers)
        return judge(record, requests, servers, stopped_at)
    finally:
        for node in nodes:
            await node.end()


def judge(record, requests, servers, stopped_at):
    """Returns whether LOST held for all streams."""
    held = True
    for request in requests:
        count = EVENTS[request.attempt]
        is_whole = request.end == "complete" and request.events == list(
            range(1, count + 1)
        )
        was_sent = any(request.attempt in s.finished for s in servers)
        # A server at work in the last sixth of grace_s excuses.
        is_excused = (
            not was_sent
            and stopped_at is not None
            and request.ended_at >= stopped_at + GRACE_SECONDS * 5 / 6
        )
        record.add(
            f"{request.attempt}: {len(request.events)} of {count} events "
            f"received, answer {request.end}; sent whole by its server: "
            f"{was_sent}; excused: {is_excused}"
        )
        held = held and (is_whole or is_excused)
    return held


run_case(case, FOLDER)
