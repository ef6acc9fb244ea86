"""The placer of a node: the decision core on the event loop."""

import random
from collections.abc import Callable
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.configuration import Configuration
from acaciarack.decisions import DecisionCore
from acaciarack.digests import NodeDigest
from acaciarack.errors import AcaciarackError, Refusal
from acaciarack.loads import CacheEvent, LoadReport
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.queues import PlacerSettings

_RECONSIDER = timedelta(milliseconds=50)


class PlacementError(AcaciarackError):
    """A request with this id is being placed already."""


class QueueingPlacer:
    """Decides which target runs a request, or refuses it at once.

    Implements ``acaciarack.placement.Placer``. Whatever may free a target,
    such as a finished request or a load report, wakes the queue.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        is_available: Callable[[str], bool],
        settings: PlacerSettings | None = None,
        source: random.Random | None = None,
    ) -> None:
        self._core = DecisionCore(
            clock=clock,
            get_configuration=get_configuration,
            is_available=is_available,
            settings=settings or PlacerSettings(),
            source=source or random.Random(),
        )
        self._waiting: dict[str, trio.Event] = {}
        self._outcomes: dict[str, Placement | Refusal] = {}

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Chooses a target, queueing the request if one frees in time.

        A refusal that can be decided at once returns without a wait. A
        placement holds its reservation until ``finish``. Cancelling the
        call takes the request out of the queue.

        Raises:
            PlacementError: a request with this id is being placed.
        """
        request_id = request.request_id
        if request_id in self._waiting:
            raise PlacementError(f"{request_id!r} is being placed already")
        decided = trio.Event()
        self._waiting[request_id] = decided
        kept = False
        try:
            self._core.offer(request)
            self._deliver()
            while not decided.is_set():
                await self._wait(request_id, decided)
            kept = True
            return self._outcomes[request_id]
        finally:
            del self._waiting[request_id]
            self._outcomes.pop(request_id, None)
            if not kept:
                self._core.withdraw(request_id)

    def record_tokens(self, request_id: str, count: int) -> None:
        """Tells that ``count`` more tokens of the answer were received."""
        self._core.record_tokens(request_id, count)

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        """Releases the reservation; the target did or did not serve it."""
        self._core.finish(request_id, succeeded=succeeded)
        self._advance()

    def record_report(self, report: LoadReport) -> None:
        """Takes a load report of a target."""
        self._core.record_report(report)
        self._advance()

    def record_cache_event(self, event: CacheEvent) -> None:
        """Takes a cache event of an engine."""
        self._core.record_cache_event(event)

    def record_digest(self, digest: NodeDigest) -> None:
        """Takes what a peer has placed and queued."""
        self._core.record_digest(digest)
        self._advance()

    def count_reserved(self) -> dict[str, int]:
        """Returns the tokens that own requests use now, by target."""
        return self._core.count_reserved()

    def build_digest(self) -> NodeDigest:
        """Builds what peers should know; each digest goes to all peers.

        The lengths of finished answers are in one digest only.
        """
        return self._core.build_digest()

    async def _wait(self, request_id: str, decided: trio.Event) -> None:
        """Waits for the decision, or until it is time to look again."""
        left = self._core.get_time_left(request_id)
        pause = min(_RECONSIDER, left or timedelta())
        with trio.move_on_after(max(0.0, pause.total_seconds())):
            await decided.wait()
            return
        self._advance()

    def _advance(self) -> None:
        self._core.advance()
        self._deliver()

    def _deliver(self) -> None:
        for decision in self._core.take_decisions():
            self._outcomes[decision.request_id] = decision.outcome
            self._waiting[decision.request_id].set()
