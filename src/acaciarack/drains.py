"""The planned stop of a node, which cuts nothing that is in flight."""

from datetime import timedelta
from typing import Protocol

import logbook

from acaciarack.clock import Clock
from acaciarack.entries import DEFAULT_LIFETIME
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.inflight import InFlight
from acaciarack.problems import spread_delay

NOTICE = timedelta(seconds=3)
"""How long other nodes may still list a leaving node as an entry."""
_CHECK_INTERVAL = timedelta(seconds=0.25)
_RETRY_DELAY = timedelta(seconds=1)
_LOG = logbook.Logger(__name__)


class Leaver(Protocol):
    """Knows whether this node is to leave."""

    def is_leaving(self) -> bool:
        """Returns whether this node is to take nothing new."""
        ...


class Departure:
    """Takes a node out of use.

    A leaving node is off the entry lists at once. It goes on taking requests
    for as long as callers may use lists that they already have, then refuses
    new ones, and ends when none is in flight. If its operators undrain it
    before that, it goes back to normal.
    """

    def __init__(
        self,
        *,
        leaver: Leaver,
        in_flight: InFlight,
        clock: Clock,
        lifetime: timedelta = DEFAULT_LIFETIME,
    ) -> None:
        """Creates the departure; ``run`` carries it out.

        Args:
            leaver: knows whether this node is to leave.
            in_flight: the requests being served.
            clock: gives the times.
            lifetime: how long callers may use an entry list.
        """
        self._leaver = leaver
        self._in_flight = in_flight
        self._clock = clock
        self._open_for = lifetime + NOTICE
        self._since: timedelta | None = None

    def check(self) -> Refusal | None:
        """Returns a refusal if new requests are no longer taken."""
        if not self._is_closed():
            return None
        return Refusal(
            code=RefusalCode.LEAVING,
            outcome=RunOutcome.NOT_RUN,
            detail="this node is leaving; ask for entries and use another one",
            retry_after=spread_delay(_RETRY_DELAY),
        )

    async def run(self) -> None:
        """Returns when this node has left: no request is in flight any more."""
        while True:
            self._follow()
            if self._is_closed() and self._in_flight.count == 0:
                _LOG.info("the last request has ended; this node stops")
                return
            await self._clock.sleep(_CHECK_INTERVAL)

    def _follow(self) -> None:
        if not self._leaver.is_leaving():
            self._since = None
        elif self._since is None:
            self._since = self._clock.elapsed()
            _LOG.info(
                "this node leaves; {} requests are in flight",
                self._in_flight.count,
            )

    def _is_closed(self) -> bool:
        if self._since is None or not self._leaver.is_leaving():
            return False
        return self._clock.elapsed() - self._since >= self._open_for
