"""Tracks whether a caller who disconnected resumes its stream."""

from datetime import timedelta
from typing import Protocol

import trio

RESUME_GRACE_PERIOD = timedelta(seconds=20)
ANNOUNCE_TIMEOUT = timedelta(milliseconds=500)


class ResumeAnnouncer(Protocol):
    """Notifies the node that started a stream when another node resumes it."""

    async def announce(self, *, node: str, request_id: str) -> None:
        """Asks ``node`` to call ``ResumeTracker.mark_resumed``.

        This is best effort: it never raises, and an unreachable node gets no
        notice.
        """
        ...


class NullAnnouncer:
    """The announcer of a deployment with one node; sends nothing."""

    async def announce(self, *, node: str, request_id: str) -> None:
        """Does nothing."""


class ResumeTracker:
    """Tracks the generation requests that this node accepted.

    If a caller disconnects, the node cancels the generation at the end of the
    grace period, unless the caller has resumed the stream through any node.
    A request for the response object also counts as a resume.
    """

    def __init__(
        self,
        *,
        node: str,
        announcer: ResumeAnnouncer,
        grace_period: timedelta = RESUME_GRACE_PERIOD,
    ) -> None:
        self._node = node
        self._announcer = announcer
        self._grace_period = grace_period
        self._resume_events: dict[str, trio.Event] = {}

    def add(self, request_id: str) -> None:
        """Adds a request; called at its start."""
        self._resume_events[request_id] = trio.Event()

    def remove(self, request_id: str) -> None:
        """Removes a request; called at its end."""
        self._resume_events.pop(request_id, None)

    def mark_resumed(self, request_id: str) -> None:
        """Records that the caller resumed the stream of a request."""
        event = self._resume_events.get(request_id)
        if event is not None:
            event.set()

    async def wait_for_resume(self, request_id: str) -> bool:
        """Waits until the stream is resumed, at most for the grace period.

        Returns:
            Whether the stream was resumed, during the wait or before it.
        """
        event = self._resume_events[request_id]
        with trio.move_on_after(self._grace_period.total_seconds()):
            await event.wait()
        return event.is_set()

    async def announce(self, *, node: str, request_id: str) -> None:
        """Notifies the node that started a stream that it is resumed here."""
        if node == self._node:
            self.mark_resumed(request_id)
            return
        with trio.move_on_after(ANNOUNCE_TIMEOUT.total_seconds()):
            await self._announcer.announce(node=node, request_id=request_id)
