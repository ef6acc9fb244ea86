"""A stream goes on in a second run, and then in the first one again."""

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from engines import StreamRequest, build_stream_configuration  # noqa: E402
from moving_engines import Fleet, MovingEngine  # noqa: E402
from stand_ins import Node, Store, run_case  # noqa: E402

SERVERS, SLOTS = 7, 2
"""Three more are added; two of the ten leave, a share of 0.2."""
STREAMS = SERVERS * SLOTS
"""All servers are full until the first one is added."""
EVENTS, INTERVAL = 300, 0.04
"""A stream takes 12 s."""
TOKEN_BYTES, LINK_MBPS = 35136, 1000.0
PROMPT_TOKENS = 12000
"""The first copy of a run takes 3.4 s on the link."""


async def case(record, trouble, folder):
    store = Store()
    await store.start()
    fleet = Fleet(record, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS)
    servers = [
        MovingEngine(f"i-{n}", n, fleet, count=EVENTS, interval=INTERVAL)
        for n in range(1, SERVERS + 4)
    ]
    first, added = servers[:SERVERS], servers[SERVERS:]

    def write_entries(servers, state="ready"):
        for server in servers:
            entry = server.build_entry("llm", "oslo-a", SLOTS, state)
            store.put("keyed.servers", server.name, entry)
            record.add(f"store accepts the entry of {server.name}: {state}")

    configuration = build_stream_configuration(
        token_bytes=TOKEN_BYTES,
        link_mbps=LINK_MBPS,
        slots=SLOTS,
        resumable=True,
    )
    store.put("keyed.op", "config", configuration)
    for server in servers:
        await server.start()
    write_entries(first)
    nodes = [
        Node(f"edge-oslo-a-{n}", n, "oslo-a", store, folder, record)
        for n in (1, 2)
    ]
    try:
        await start_nodes(nodes)
        requests, readers = await send_requests(nodes[0], record)
        await asyncio.sleep(1.0)
        write_entries(added[:1])
        if trouble:
            # Planned work: two servers leave.
            write_entries(first[:2], "draining")
        await asyncio.sleep(1.0)
        write_entries(added[1:])
        await asyncio.gather(*readers)
        return judge(record, requests)
    finally:
        for node in nodes:
            await node.end()


async def start_nodes(nodes):
    """Starts nodes; returns when they are ready and know each other."""
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(1.0)


async def send_requests(node, record):
    """Returns the requests, and the tasks that read their answers."""
    requests = []
    readers = []
    for number in range(STREAMS):
        request = StreamRequest(f"a-{number}", record, tokens=PROMPT_TOKENS)
        requests.append(request)
        await request.send(node.host, node.front)
        readers.append(asyncio.create_task(request.read_all()))
        await asyncio.sleep(0.05)
    return requests, readers


def judge(record, requests):
    """Returns whether ORDER held: a new run may follow, no earlier one."""
    held = True
    for request in requests:
        runs = [int(payload.split()[1]) for payload in request.payloads]
        parts = [
            f"run {run}: {len(list(events))}"
            for run, events in itertools.groupby(runs)
        ]
        is_joined = runs != sorted(runs)
        record.add(
            f"{request.attempt}: status {request.status}, answer "
            f"{request.end}, events of {', '.join(parts)}; an earlier run "
            f"follows: {is_joined}"
        )
        in_order = request.events == list(range(1, len(request.events) + 1))
        held = held and in_order and not is_joined
    return held


run_case(case, FOLDER)
