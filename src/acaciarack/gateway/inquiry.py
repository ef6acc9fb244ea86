"""Asks engines themselves whether they leave, while nobody reads the store.

Answers a store that is away while engines are reclaimed: their notices reach
nobody, and all their streams would be cut. One node asks for all that hear
each other; a node that hears nobody asks for itself.
"""

from collections.abc import Callable
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.peers import PeerTable
from acaciarack.gateway.roster import Member, Standing
from acaciarack.gateway.targets import TargetError, Targets
from acaciarack.gateway.watching import Knowledge

INTERVAL = timedelta(milliseconds=300)
"""Between two questions to an engine: a fifth of the shortest notice; each is
priced, so it is asked only while nobody reads the store."""

_log = logbook.Logger("acaciarack.gateway.inquiry")


class Inquiry:
    """Asks engines while the store cannot be read."""

    def __init__(
        self,
        *,
        clock: Clock,
        knowledge: Knowledge,
        targets: Targets,
        peers: PeerTable,
        is_reading: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._knowledge = knowledge
        self._targets = targets
        self._peers = peers
        self._is_reading = is_reading

    async def run(self) -> None:
        """Looks after the engines until cancelled."""
        is_blind = False
        while True:
            await self._clock.sleep(INTERVAL)
            if self._can_rely_on_store():
                is_blind = False
                continue
            if not is_blind:
                is_blind = True
                _log.info("the store is silent", extra={"state": "blind"})
            await self._ask_all()

    def _can_rely_on_store(self) -> bool:
        """Returns whether a notice would reach this node.

        Any late answer is enough for doubt: a store that is away for all
        shows first to whoever's read ends first.
        """
        if self._peers.has_suspects():
            # Entries that are dropped now may have expired for want of it.
            self._knowledge.roster.mark_unsettled()
            return False
        return self._is_reading() or self._peers.has_reader()

    async def _ask_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for member in self._list_engines():
                if self._peers.is_first(member.target.id):
                    nursery.start_soon(self._ask, member)

    def _list_engines(self) -> list[Member]:
        configuration = self._knowledge.configuration
        if configuration is None:
            return []
        return [
            member
            for service in configuration.services.values()
            if service.engine is not None
            for member in self._knowledge.roster.list_members(service.name)
            if member.standing is not Standing.LEAVING
        ]

    async def _ask(self, member: Member) -> None:
        target = member.target
        try:
            report = await self._targets.read_report(target.address)
        except TargetError as error:
            _log.info(
                "engine did not answer: {}", error, extra={"target": target.id}
            )
            return
        if report.leaving or report.leaves_in is not None:
            self._knowledge.roster.mark_leaving(target.id, "its own report")
