"""A server leaves with its last stream, 20 ms after the last event of it."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from standins import (  # noqa: E402
    ENGINE,
    GENERATION,
    Engine,
    configuration,
    main,
    route,
    service,
)

NOTICE_S = 5.5
"""From the announcement to the end of the last stream."""
EVENTS = 60
CLOSE_S = 0.02
"""From the last event to the end of the process."""


class LeavingEngine(Engine):
    """Ends its process with the end of its last run once it is leaving."""

    async def finish(self):
        if self.state == "draining" and not self.active:
            await asyncio.sleep(CLOSE_S)
            self.server.close()
            self.record(f"{self.name} ends, with its connections")
            self.lab.remove_server(self)


async def case(lab):
    engines = {}
    servers = [
        LeavingEngine(f"i-llm{n}", lab.record, engines) for n in range(4)
    ]
    for server in servers:
        server.lab, server.framed = lab, False
        server.events, server.interval_s = EVENTS, 0.1
        server.has_room = False
    document = configuration(
        1,
        [
            route(
                "gen",
                "/gen/",
                "streaming",
                "llm",
                timeout_ms=20000,
                slo_ms=1800,
                gap_slo_ms=180,
            )
        ],
        [service("llm", engine=ENGINE)],
    )
    await lab.start(document, servers, nodes=2)
    node = lab.nodes[0]
    caller = asyncio.create_task(
        lab.call(
            node,
            "POST",
            "/gen/x",
            b"prompt",
            deadline_ms=20000,
            more=GENERATION,
        )
    )
    await asyncio.sleep(EVENTS * 0.1 - NOTICE_S)
    leaving = next(server for server in servers if server.active)
    if lab.disturbs:
        leaving.state = "draining"
        lab.record(f"{leaving.name} announces that it leaves")
        lab.put_entry(leaving)
    await asyncio.sleep(NOTICE_S - 1)
    node.signal(signal.SIGTERM)
    id, answer = await caller
    await asyncio.sleep(0.2)
    _, how, made = leaving.ends[id]
    if answer.whole or how != "to its end":
        return []
    return [
        f"LOST: {id} was run {how}, {made} events, and its caller got {answer}"
    ]


main(FOLDER, case)
