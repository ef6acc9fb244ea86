"""Turns what a generation writes into the reply to its caller."""

import trio

from acaciarack.delivery import Mode
from acaciarack.errors import Refusal
from acaciarack.outbox import Outbox
from acaciarack.web import CallerGoneError, Reply, Request, StreamReply

_STREAM_HEADERS = {
    "content-type": "text/event-stream; charset=utf-8",
    "cache-control": "no-store",
}


async def build_answer(
    request: Request, outbox: Outbox, mode: Mode
) -> Reply | StreamReply | Refusal:
    """Builds the answer once it begins, or the refusal in its place.

    Raises:
        CallerGoneError: the caller left before.
    """
    refusal = await _wait_start(request, outbox)
    if refusal is not None:
        return refusal
    if mode is not Mode.WHOLE_OBJECT:
        return StreamReply(headers=_STREAM_HEADERS, chunks=outbox.read())
    body = b"".join([chunk async for chunk in outbox.read()])
    return Reply(headers={"content-type": "application/json"}, body=body)


async def _wait_start(request: Request, outbox: Outbox) -> Refusal | None:
    """Waits for the first bytes, and closes the outbox if the caller leaves.

    Raises:
        CallerGoneError: the caller left first.
    """
    refusal: Refusal | None = None
    async with trio.open_nursery() as watch:
        watch.start_soon(_close_on_disconnect, request, outbox)
        refusal = await outbox.wait_start()
        watch.cancel_scope.cancel()
    if outbox.closed:
        raise CallerGoneError("the caller closed the connection")
    return refusal


async def _close_on_disconnect(request: Request, outbox: Outbox) -> None:
    while True:
        event = await request.receive()
        if event["type"] == "http.disconnect":
            outbox.close()
            return
