"""A stream through another machine is passed on as whole when that one ends."""

import asyncio
import os
import pathlib
import signal

from harness.case import TROUBLE, CouldNotRunError, run_case

SIGNAL = signal.SIGTERM if os.environ.get("STOP") != "kill" else signal.SIGKILL
EVENTS = 200 if SIGNAL is signal.SIGKILL else 450
EVENTS_BEFORE_KILL = 40
STREAM_MS = 39000
SYN_SENT, ESTABLISHED = "02", "01"


def list_connections():
    """Yields the state, both ports and the inode of each TCP connection."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local, remote = (int(f.split(":")[1], 16) for f in fields[1:3])
        yield fields[3], local, remote, fields[9]


def find_owner(nodes, port):
    """Returns the machine with a connection to a port."""
    inodes = {
        f"socket:[{inode}]"
        for state, _, remote, inode in list_connections()
        if state == ESTABLISHED and remote == port
    }
    for node in nodes:
        folder = pathlib.Path(f"/proc/{node.process.pid}/fd")
        for path in folder.iterdir():
            try:
                if os.readlink(path) in inodes:
                    return node
            except FileNotFoundError:
                continue
    raise CouldNotRunError("no machine has a connection to the engine")


async def hold_up_first_packet(engines):
    """Has the queues of new connections full until a machine connects."""
    fillers = [await e.listener.fill_queue() for e in engines]
    ports = {e.listener.port for e in engines}
    try:
        async with asyncio.timeout(5):
            while not any(
                state == SYN_SENT and remote in ports
                for state, _, remote, _ in list_connections()
            ):
                await asyncio.sleep(0.002)
    finally:
        for engine in engines:
            engine.listener.reopen()
        for filler in fillers:
            filler.close()


async def check(deployment):
    record = deployment.record
    first = deployment.nodes[0]
    enough = asyncio.Event()

    def follow(answer):
        if len(answer.event_ids) >= EVENTS_BEFORE_KILL:
            enough.set()

    holding = asyncio.create_task(hold_up_first_packet(deployment.engines))
    await asyncio.sleep(0.1)
    call = asyncio.create_task(
        deployment.call(first, "/lohu930/2f", wait_ms=STREAM_MS, on_data=follow)
    )
    await holding
    record("engines", "take connections again")
    async with asyncio.timeout(20):
        await enough.wait()
    [run] = deployment.engines[0].runs.values()
    carrier = find_owner(deployment.nodes, run.engine.listener.port)
    record("script", "the stream goes through", machine=carrier.name)
    if carrier is first:
        raise CouldNotRunError("the stream goes through no other machine")
    if TROUBLE:
        # One of seven processes is killed, or stopped as planned work.
        carrier.kill(SIGNAL)
    _, answer = await call
    ids = answer.event_ids
    looks_whole = answer.status == 200 and answer.is_whole
    record("script", "stream", whole=looks_whole, events=len(ids), of=EVENTS)
    if looks_whole and ids != list(range(1, EVENTS + 1)):
        return False
    return TROUBLE or looks_whole


if __name__ == "__main__":
    run_case(check, events=EVENTS)
