"""A stream that was stopped for a move is cut, and passed on as whole."""

import asyncio

from harness import web
from harness.case import TROUBLE, CouldNotRunError, run_case

EVENTS = 200
EVENTS_BEFORE_NOTICE = 30
STREAM_MS = 39000


async def check(deployment):
    record = deployment.record
    enough = asyncio.Event()
    is_reset = False

    def follow(answer):
        if len(answer.event_ids) >= EVENTS_BEFORE_NOTICE:
            enough.set()

    def reset_connection(writer):
        nonlocal is_reset
        if TROUBLE and not is_reset:
            is_reset = True
            record("network", "resets the connection of the stop call")
            web.reset(writer)

    call = asyncio.create_task(
        deployment.call(
            deployment.nodes[0],
            "/lohu930/2f",
            wait_ms=STREAM_MS,
            on_data=follow,
        )
    )
    async with asyncio.timeout(20):
        await enough.wait()
    [run] = deployment.engines[0].runs.values()
    run.engine.on_stop = reset_connection
    # One of six engines leaves, as the plan of a day may say.
    await run.engine.drain()
    _, answer = await call
    ids = answer.event_ids
    if TROUBLE and not is_reset:
        raise CouldNotRunError("the engine was not asked to stop the run")
    looks_whole = answer.status == 200 and answer.is_whole
    record("script", "stream", whole=looks_whole, events=len(ids), of=EVENTS)
    if looks_whole and ids != list(range(1, EVENTS + 1)):
        return False
    return TROUBLE or looks_whole


if __name__ == "__main__":
    run_case(check, events=EVENTS)
