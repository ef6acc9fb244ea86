"""The placer of a node, which runs ``DecisionCore`` on the event loop."""

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

# While a request is queued, the core checks the queues at this interval.
_ADVANCE_INTERVAL = timedelta(milliseconds=50)


class PlacementError(AcaciarackError):
    """The request is being placed already."""


class QueueingPlacer:
    """Places, queues or refuses requests.

    Implements ``acaciarack.placement.Placer``. Each event that may free
    capacity, such as a finished request or a load report, makes the core
    check the queues.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        is_available: Callable[[str], bool],
        settings: PlacerSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._core = DecisionCore(
            clock=clock,
            get_configuration=get_configuration,
            is_available=is_available,
            settings=settings or PlacerSettings(),
            rng=rng or random.Random(),
        )
        self._waiting: dict[str, trio.Event] = {}
        self._outcomes: dict[str, Placement | Refusal] = {}

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Chooses a target for a request, or refuses it.

        Queues the request if no target has capacity now and one is expected
        to have it in time. Otherwise refuses it without waiting. A queued
        request is refused later if it cannot start in time after all. A
        placement holds its reservation until ``finish``. Cancelling the call
        removes the request from the queue.

        Raises:
            PlacementError: a request with this id is being placed already.
        """
        request_id = request.request_id
        if request_id in self._waiting:
            raise PlacementError(
                f"request {request_id!r} is being placed already"
            )
        decided = trio.Event()
        self._waiting[request_id] = decided
        has_outcome = False
        try:
            self._core.add_request(request)
            self._deliver()
            while not decided.is_set():
                await self._wait(request_id, decided)
            has_outcome = True
            return self._outcomes[request_id]
        finally:
            del self._waiting[request_id]
            self._outcomes.pop(request_id, None)
            if not has_outcome:
                self._core.cancel(request_id)

    def record_tokens(self, request_id: str, count: int) -> None:
        """Adds ``count`` received tokens to the output of a request."""
        self._core.record_tokens(request_id, count)

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        """Releases the reservation of a request and records its result."""
        self._core.finish(request_id, succeeded=succeeded)
        self._advance()

    def record_report(self, report: LoadReport) -> None:
        """Applies a load report of a target."""
        self._core.record_report(report)
        self._advance()

    def record_cache_event(self, event: CacheEvent) -> None:
        """Applies a prefix cache event of an engine."""
        self._core.record_cache_event(event)

    def record_digest(self, digest: NodeDigest) -> None:
        """Stores the newest digest of a peer; it replaces the previous one."""
        self._core.record_digest(digest)
        self._advance()

    def count_reserved(self) -> dict[str, int]:
        """Returns the KV cache tokens that local requests use, by target."""
        return self._core.count_reserved()

    def build_digest(self) -> NodeDigest:
        """Builds the digest of this node's placed and queued requests.

        The caller must send each digest to all peers, because each finished
        output length appears in one digest only.
        """
        return self._core.build_digest()

    async def _wait(self, request_id: str, decided: trio.Event) -> None:
        """Waits for the decision; checks the queues if a timeout passes."""
        remaining = self._core.get_remaining_wait(request_id)
        timeout = min(_ADVANCE_INTERVAL, remaining or timedelta())
        with trio.move_on_after(max(0.0, timeout.total_seconds())):
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
