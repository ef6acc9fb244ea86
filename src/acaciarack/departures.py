"""Keeps the generation of a caller who left until it may have come back."""

from datetime import timedelta
from typing import Protocol

import trio

DEPARTURE_GRACE = timedelta(seconds=20)
ANNOUNCE_TIMEOUT = timedelta(milliseconds=500)


class ResumeAnnouncer(Protocol):
    """Tells the node that began a stream that it goes on elsewhere."""

    async def announce(self, *, node: str, request_id: str) -> None:
        """Tells ``node`` to call ``Departures.keep``, as well as it can.

        Never raises; a node that cannot be reached is left untold.
        """
        ...


class NoAnnouncer:
    """Stands for the announcer in a deployment of one node."""

    async def announce(self, *, node: str, request_id: str) -> None:
        """Does nothing."""


class Departures:
    """The requests of this node whose generations it would cancel.

    A generation is cancelled when its caller left this node, did so without
    resuming on any node, and the grace is over.
    """

    def __init__(
        self,
        *,
        node: str,
        announcer: ResumeAnnouncer,
        grace: timedelta = DEPARTURE_GRACE,
    ) -> None:
        self._node = node
        self._announcer = announcer
        self._grace = grace
        self._resumed: dict[str, trio.Event] = {}

    def add(self, request_id: str) -> None:
        """Adds a request at its start."""
        self._resumed[request_id] = trio.Event()

    def remove(self, request_id: str) -> None:
        """Removes a request at its end."""
        self._resumed.pop(request_id, None)

    def keep(self, request_id: str) -> None:
        """Records that the stream of a request was resumed."""
        event = self._resumed.get(request_id)
        if event is not None:
            event.set()

    async def wait(self, request_id: str) -> bool:
        """Waits out the grace.

        Returns:
            Whether the stream was resumed meanwhile or before.
        """
        event = self._resumed[request_id]
        with trio.move_on_after(self._grace.total_seconds()):
            await event.wait()
        return event.is_set()

    async def announce(self, *, node: str, request_id: str) -> None:
        """Tells the node that began a stream that it is resumed here."""
        if node == self._node:
            self.keep(request_id)
            return
        with trio.move_on_after(ANNOUNCE_TIMEOUT.total_seconds()):
            await self._announcer.announce(node=node, request_id=request_id)
