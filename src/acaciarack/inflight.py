"""Counts the requests in flight on a node."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class InFlight:
    """Counts the requests that this node is serving."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = trio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """The number of requests in flight."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request as in flight until the context ends.

        The context must end only when the last byte of the response has been
        written or the connection is lost.
        """
        if self._count == 0:
            self._idle = trio.Event()
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        while self._count:
            await self._idle.wait()
