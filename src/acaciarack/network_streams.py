"""Connections whose breaks are seen by each task that uses them."""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

BREAK = "the connection broke while a request was written"


class BreakAwareStream(httpcore.AsyncNetworkStream):  # type: ignore[misc]
    """A connection that has broken for its reader once a write has failed.

    The operating system reports the reset of a connection once. If a write
    takes the error, a read finds what had arrived and then an ordinary end. The
    HTTP library goes on to read after a write that has failed, so an answer
    that ends with its connection would look complete.
    """

    def __init__(self, *, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._has_broken = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads data.

        Raises:
            httpcore.ReadError: the connection has broken.
        """
        data: bytes = await self._stream.read(max_bytes, timeout)
        if not data and self._has_broken:
            raise httpcore.ReadError(BREAK)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes data.

        Raises:
            httpcore.WriteError: the connection has broken.
        """
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._has_broken = True
            raise

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Starts TLS on the connection."""
        return BreakAwareStream(
            stream=await self._stream.start_tls(
                ssl_context, server_hostname, timeout
            )
        )

    def get_extra_info(self, info: str) -> Any:
        """Returns a property of the connection."""
        return self._stream.get_extra_info(info)


class BreakAwareBackend(httpcore.AsyncNetworkBackend):  # type: ignore[misc]
    """Opens connections whose breaks are seen by their readers."""

    def __init__(self, *, backend: httpcore.AsyncNetworkBackend) -> None:
        self._backend = backend

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a TCP connection."""
        return BreakAwareStream(
            stream=await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Sleeps on the backend's loop."""
        await self._backend.sleep(seconds)
