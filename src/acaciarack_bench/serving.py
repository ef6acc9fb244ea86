"""Serves the stand-ins' ASGI applications with Hypercorn on Trio."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from urllib.parse import urlsplit

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from acaciarack.web import AsgiApp

_KEEP_ALIVE_TIMEOUT_SECONDS = 75.0
_SHUTDOWN_TIMEOUT_SECONDS = 1.0
_BACKLOG = 1024


def _build_config(host: str, port: int) -> Config:
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.backlog = _BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_SECONDS
    config.graceful_timeout = _SHUTDOWN_TIMEOUT_SECONDS
    return config


async def serve_app(
    app: AsgiApp,
    *,
    host: str,
    port: int = 0,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application until cancelled.

    Args:
        app: the ASGI application.
        host: the IP number to listen on.
        port: the TCP port; 0 lets the kernel choose.
        task_status: receives the bound port when the server listens.
    """
    config = _build_config(host, port)
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(
            partial(serve, app, config, shutdown_trigger=trio.sleep_forever)
        )
        bound_port = urlsplit(urls[0]).port
        assert bound_port is not None
        task_status.started(bound_port)


@asynccontextmanager
async def open_server(
    app: AsgiApp, *, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Serves an application for the duration of the block.

    Yields:
        The bound port.
    """
    async with trio.open_nursery() as nursery:
        yield await nursery.start(partial(serve_app, app, host=host, port=port))
        nursery.cancel_scope.cancel()
