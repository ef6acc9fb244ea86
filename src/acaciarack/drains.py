"""Drains a node, so that it can stop without aborting requests."""

from datetime import timedelta
from typing import Protocol

import logbook

from acaciarack.clock import Clock
from acaciarack.entries import DEFAULT_LIFETIME
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.inflight import InFlight
from acaciarack.problems import add_jitter

DRAIN_PROPAGATION_TIME = timedelta(seconds=3)
"""How long other nodes may still include a draining node in entry lists."""
_CHECK_INTERVAL = timedelta(seconds=0.25)
_RETRY_DELAY = timedelta(seconds=1)
_LOG = logbook.Logger(__name__)


class DrainStatus(Protocol):
    """Tells whether this node is being drained."""

    def is_leaving(self) -> bool:
        """Returns whether this node is being drained."""
        ...


class NodeDrain:
    """Drains a node.

    Nodes omit a draining node from new entry lists as soon as they learn of
    the drain. The draining node accepts new requests until all entry lists that
    callers hold have expired. Then it refuses new requests, and ``run`` returns
    when no request is in flight. If an operator undrains the node before that,
    it resumes normal operation.
    """

    def __init__(
        self,
        *,
        drain_status: DrainStatus,
        in_flight: InFlight,
        clock: Clock,
        lifetime: timedelta = DEFAULT_LIFETIME,
    ) -> None:
        """Creates the drain; ``run`` performs it.

        Args:
            drain_status: tells whether this node is being drained.
            in_flight: counts the requests in flight.
            clock: the clock for delays.
            lifetime: how long callers may use an entry list.
        """
        self._drain_status = drain_status
        self._in_flight = in_flight
        self._clock = clock
        self._accept_duration = lifetime + DRAIN_PROPAGATION_TIME
        self._drain_start: timedelta | None = None

    def check(self) -> Refusal | None:
        """Returns a refusal if the node no longer accepts new requests."""
        if not self._is_refusing():
            return None
        return Refusal(
            code=RefusalCode.LEAVING,
            outcome=RunOutcome.NOT_RUN,
            detail="this node is leaving; ask for entries and use another one",
            retry_after=add_jitter(_RETRY_DELAY),
        )

    async def run(self) -> None:
        """Waits until the node refuses new requests and none is in flight."""
        while True:
            self._update_drain_start()
            if self._is_refusing() and self._in_flight.count == 0:
                _LOG.info("node drained; no requests in flight")
                return
            await self._clock.sleep(_CHECK_INTERVAL)

    def _update_drain_start(self) -> None:
        if not self._drain_status.is_leaving():
            self._drain_start = None
        elif self._drain_start is None:
            self._drain_start = self._clock.elapsed()
            _LOG.info(
                "node drain started; {} requests in flight",
                self._in_flight.count,
            )

    def _is_refusing(self) -> bool:
        if self._drain_start is None or not self._drain_status.is_leaving():
            return False
        return (
            self._clock.elapsed() - self._drain_start >= self._accept_duration
        )
