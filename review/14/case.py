"""Events with increasing ids that are not consecutive, around a SIGTERM."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from standins import (  # noqa: E402
    ENGINE,
    GENERATION,
    Client,
    Engine,
    configuration,
    main,
    route,
    service,
)

CALLERS = 6
ROUNDS = 3


async def keep_generating(lab, node, results):
    """Sends generations one after the other on one kept connection."""
    client = None
    for _ in range(ROUNDS):
        if client is None:
            client = Client(lab.record)
            await client.open(node.host, 8740)
        id = lab.new_id()
        lab.record(f"client sends generation {id} to {node.name}")
        headers = lab.headers(id, deadline_ms=10000, more=GENERATION)
        client.send("POST", "/gen/x", headers, b"prompt")
        answer = await client.receive()
        lab.record(f"client gets for {id}: {answer}")
        results.append((id, answer))
        if not answer.whole or answer.headers.get("connection") == "close":
            client.close()
            client = None


async def case(lab):
    engines = {}
    servers = [Engine(f"i-llm{n}", lab.record, engines) for n in range(3)]
    for engine in servers:
        engine.id_step = 4 if lab.disturbs else 1
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
    await lab.start(document, servers, nodes=3)
    node, results = lab.nodes[0], []
    callers = [
        asyncio.create_task(keep_generating(lab, node, results))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(0.15)
    node.signal(signal.SIGTERM)
    await asyncio.gather(*callers, return_exceptions=True)
    ends = {}
    for engine in servers:
        ends.update(engine.ends)
    await asyncio.sleep(0.2)
    return [
        f"LOST: {id} had been passed on, its engine did not break off, and "
        f"its caller got {answer}; the engine ran it {ends[id][1]}"
        for id, answer in results
        if answer.status == 200 and not answer.whole and id in ends
    ]


main(FOLDER, case)
