"""Tells the node that began a stream that its caller went on elsewhere."""

from collections.abc import Callable

from acaciarack.departures import ANNOUNCE_TIMEOUT
from acaciarack.handshakes import Identity
from acaciarack.link import RequestFailedError
from acaciarack.links import Links, NotLinkedError
from acaciarack.messages import Message


class StreamResumed(Message, frozen=True, kw_only=True):
    """A stream that the receiver began goes on at the sender.

    Attributes:
        request_id: names the request.
    """

    request_id: str


class ResumeNoted(Message, frozen=True, kw_only=True):
    """The answer: the receiver will not cancel the generation."""


class LinkAnnouncer:
    """Announces resumed streams over the links.

    Implements ``acaciarack.departures.ResumeAnnouncer``.
    """

    def __init__(self, *, links: Links, keep: Callable[[str], None]) -> None:
        """Creates the announcer.

        Args:
            links: the links to peers.
            keep: called with the request id when a peer announces one.
        """
        self._links = links
        self._keep = keep
        links.register(StreamResumed, self._take)
        links.register_reply(ResumeNoted)

    async def announce(self, *, node: str, request_id: str) -> None:
        """Tells ``node``; see ``ResumeAnnouncer``."""
        try:
            await self._links.request(
                node,
                StreamResumed(request_id=request_id),
                timeout=ANNOUNCE_TIMEOUT,
            )
        except (NotLinkedError, RequestFailedError):
            return

    async def _take(self, peer: Identity, notice: StreamResumed) -> ResumeNoted:
        self._keep(notice.request_id)
        return ResumeNoted()
