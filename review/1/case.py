"""An entry of another writer among the servers ends all nodes, for good."""

import asyncio

from harness.case import TROUBLE, CouldNotRunError, run_case

MAX_OWN_ENDS = 3
"""The rule: three times in the day ..."""
MIN_MACHINES = 2
"""... on a tenth of the machines in use, two at least."""
WATCH_SECONDS = 12
# A number that is no whole number of milliseconds, as the page shows it.
OTHER_TYPE = (
    b'{"service":"utleie-app","address":"127.0.0.1:9","zone":"oslo-a",'
    b'"version":"v1","capacity":6,"state":"draining",'
    b'"warmup_left_ms":1.7976931348623157e308,"sequence":4}'
)
# Bytes that end in the middle of nested lists.
UNREADABLE = b'{"phase":' + b"[" * 2000


async def call_all(deployment):
    """Sends one call to each machine; returns how many were served."""
    results = await asyncio.gather(
        *(deployment.call(node, "/pule252/2f") for node in deployment.nodes)
    )
    return sum(answer.status == 200 for _, answer in results)


async def watch(deployment, name, entry):
    """Adds an entry, and returns on how many machines processes ended."""
    for node in deployment.nodes:
        node.own_ends.clear()
    if TROUBLE:
        deployment.record("another writer", "adds an entry", entry=name)
        await deployment.store.put("keyed.servers", "other-1", entry)
    served = 0
    for _ in range(WATCH_SECONDS):
        served += await call_all(deployment)
        await asyncio.sleep(1)
    ended = [n for n in deployment.nodes if len(n.own_ends) >= MAX_OWN_ENDS]
    deployment.record(
        "script",
        "own ends",
        entry=name,
        ends=[len(n.own_ends) for n in deployment.nodes],
        machines=len(ended),
        served=served,
    )
    await deployment.store.put("keyed.servers", "other-1", None)
    return len(ended)


async def check(deployment):
    if await call_all(deployment) < len(deployment.nodes):
        raise CouldNotRunError("not all machines serve before the entry")
    other_type = await watch(deployment, "a field of another type", OTHER_TYPE)
    await asyncio.sleep(3)
    await deployment.wait_ready()
    unreadable = await watch(deployment, "unreadable bytes", UNREADABLE)
    return max(other_type, unreadable) < MIN_MACHINES


if __name__ == "__main__":
    run_case(check)
