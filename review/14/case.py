"""An odd entry names the address of an engine whose streams have no length."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from standins import (  # noqa: E402
    ENGINE,
    GENERATION,
    HEARTBEAT_S,
    Engine,
    configuration,
    main,
    route,
    service,
)

CALLERS = 8


async def write_entries(lab):
    """The servers write their entries; so does another program, 0.1 s later."""
    while True:
        lab.beat()
        await asyncio.sleep(0.1)
        for server in lab.servers if lab.disturbs else ():
            entry = {**server.entry(), "service": "billing-worker"}
            lab.store.put("keyed.servers", f"w-{server.name}", entry)
        await asyncio.sleep(HEARTBEAT_S - 0.1)


async def case(lab):
    engines = {}
    servers = [Engine(f"i-llm{n}", lab.record, engines) for n in range(3)]
    for engine in servers:
        engine.framed = False
        engine.events = 20
    document = configuration(
        1,
        [
            route(
                "gen",
                "/gen/",
                "streaming",
                "llm",
                timeout_ms=10000,
                slo_ms=1800,
                gap_slo_ms=180,
            )
        ],
        [service("llm", engine=ENGINE)],
    )
    await lab.start(document, servers, nodes=3, beats=False)
    if lab.disturbs:
        lab.record("another program writes entries of service billing-worker")
    lab.tasks.append(asyncio.create_task(write_entries(lab)))
    await asyncio.sleep(2 * HEARTBEAT_S + 0.2)
    node = lab.nodes[0]

    async def generate():
        return await lab.call(
            node,
            "POST",
            "/gen/x",
            b"prompt",
            deadline_ms=10000,
            more=GENERATION,
        )

    callers = [asyncio.create_task(generate()) for _ in range(CALLERS)]
    await asyncio.sleep(0.2)
    node.signal(signal.SIGTERM)
    results = await asyncio.gather(*callers)
    await asyncio.sleep(0.2)
    ends = {}
    for engine in servers:
        ends.update(engine.ends)
    return [
        f"LOST: {id} was run {ends[id][1]}, and its caller got {answer}"
        for id, answer in results
        if not answer.whole and id in ends and ends[id][1] == "to its end"
    ]


main(FOLDER, case)
