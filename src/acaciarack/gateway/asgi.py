"""Code that all ASGI applications of a gateway node share."""

from acaciarack.web import Receive, Send


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledges the startup and shutdown events of the ASGI server."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
