"""Counts the requests that a node is serving."""

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
        """How many requests are held."""
        return self._count

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Counts a request until its last byte is written or it is lost."""
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
        """Waits until no request is held."""
        while self._count:
            await self._idle.wait()
