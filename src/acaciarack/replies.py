"""Builds the HTTP response from a generation's response buffer."""

import trio

from acaciarack.delivery import DeliveryMode
from acaciarack.errors import Refusal
from acaciarack.response_buffer import ResponseBuffer
from acaciarack.web import CallerGoneError, Reply, Request, StreamReply

_STREAM_HEADERS = {
    "content-type": "text/event-stream; charset=utf-8",
    "cache-control": "no-store",
}


async def build_response(
    request: Request, buffer: ResponseBuffer, mode: DeliveryMode
) -> Reply | StreamReply | Refusal:
    """Waits until the response starts and builds it, or returns the refusal.

    Raises:
        CallerGoneError: the caller disconnected first.
    """
    refusal = await _wait_for_start(request, buffer)
    if refusal is not None:
        return refusal
    if mode is not DeliveryMode.RESPONSE_OBJECT:
        return StreamReply(headers=_STREAM_HEADERS, chunks=buffer.iter_chunks())
    body = b"".join([chunk async for chunk in buffer.iter_chunks()])
    return Reply(headers={"content-type": "application/json"}, body=body)


async def _wait_for_start(
    request: Request, buffer: ResponseBuffer
) -> Refusal | None:
    """Waits for the first bytes; closes the buffer if the caller disconnects.

    Raises:
        CallerGoneError: the caller disconnected first.
    """
    refusal: Refusal | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_close_on_disconnect, request, buffer)
        refusal = await buffer.wait_for_start()
        nursery.cancel_scope.cancel()
    if buffer.closed:
        raise CallerGoneError("the caller closed the connection")
    return refusal


async def _close_on_disconnect(
    request: Request, buffer: ResponseBuffer
) -> None:
    while True:
        event = await request.receive()
        if event["type"] == "http.disconnect":
            buffer.close()
            return
