"""A server that leaves exits in the middle of its only stream."""

import asyncio
import pathlib
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

NOTICE_S = 5.0
"""From the announcement to the end of the process."""
EVENTS = 200
INTERVAL_S = 0.05


class LeavingEngine(Engine):
    """Exits between two events once its time is over."""

    exits_at = None

    async def after_event(self, run):
        if self.exits_at is None or self.lab.now() < self.exits_at:
            return
        self.server.close()
        run["exited"] = True
        self.record(f"{self.name} exits, with its connections")
        self.lab.remove_server(self)


async def case(lab):
    engines = {}
    servers = [
        LeavingEngine(f"i-llm{n}", lab.record, engines) for n in range(4)
    ]
    for server in servers:
        server.lab, server.framed = lab, False
        server.events, server.interval_s = EVENTS, INTERVAL_S
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
    caller = asyncio.create_task(
        lab.call(
            lab.nodes[0],
            "POST",
            "/gen/x",
            b"prompt",
            deadline_ms=20000,
            more=GENERATION,
        )
    )
    await asyncio.sleep(1)
    leaving = next(server for server in servers if server.active)
    if lab.disturbs:
        leaving.state = "draining"
        leaving.exits_at = lab.now() + NOTICE_S
        lab.record(f"{leaving.name} announces that it leaves")
        lab.put_entry(leaving)
    id, answer = await caller
    pieces = answer.body.count(b"\n\n")
    if not answer.whole or pieces == EVENTS:
        return []
    return [f"ORDER: {id} ended as complete after {pieces} of {EVENTS} events"]


main(FOLDER, case)
