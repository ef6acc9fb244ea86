"""What one node knows of all targets: standing, load and trust together."""

import random
from collections.abc import Callable, Collection
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway import placing
from acaciarack.gateway.facts import EngineFacts, Service
from acaciarack.gateway.loads import Generation, LoadBoard
from acaciarack.gateway.placing import Candidate
from acaciarack.gateway.roster import Member, Roster
from acaciarack.gateway.trust import Trust

SPREAD_A_NODE = timedelta(milliseconds=10)
"""Over how long nodes that wait for room take it, for each node: a datagram
that tells of one comes within some 40 ms, so few take the same room."""
MAX_SPREAD = timedelta(milliseconds=200)
"""The longest such spread: a ninth of the time until first events are due."""
_POLL = timedelta(milliseconds=15)
"""How often a waiting generation looks for room: well under the 1.5 s and
more in which first tokens are due."""


class TargetPool:
    """Chooses targets for requests.

    Attributes:
        roster: the targets and their standing.
        loads: what runs on each.
        trust: what each did with its requests.
        nodes: how many nodes place requests, this one included.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        roster: Roster,
        loads: LoadBoard,
        trust: Trust,
        data_centre: str,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.nodes = 1
        self._draw = draw
        self.roster = roster
        self.loads = loads
        self.trust = trust
        self._clock = clock
        self._data_centre = data_centre
        self._waiting: dict[str, list[tuple[int, ...]]] = {}
        self._arrivals = 0

    def list_candidates(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> list[Candidate]:
        """Returns the targets that a new request may go to."""
        members = [
            member
            for member in self.roster.list_usable(service)
            if member.target.id not in exclude
        ]
        return [
            Candidate(
                member=member,
                load=self.loads.get_total(member.target.id),
                penalty=self.trust.get_penalty(member.target.id),
            )
            for member in self.trust.select(members)
        ]

    def choose_for_call(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> Member | None:
        """Chooses the target of a plain call."""
        return placing.choose_call_target(
            self.list_candidates(service, exclude=exclude),
            data_centre=self._data_centre,
        )

    def choose_for_generation(
        self,
        service: Service,
        facts: EngineFacts,
        *,
        generation: Generation,
        exclude: Collection[str] = (),
    ) -> Member | None:
        """Chooses the engine of a generation; ``None`` if none has room."""
        return placing.choose_engine(
            self.list_candidates(service.name, exclude=exclude),
            facts=facts,
            prompt_tokens=generation.prompt.tokens,
            needed_tokens=generation.expect_tokens(),
            data_centre=self._data_centre,
            draw=self._draw,
        )

    def choose_for_move(
        self,
        source: Member,
        facts: EngineFacts,
        *,
        used_tokens: int,
        exclude: Collection[str] = (),
    ) -> Member | None:
        """Chooses where a generation moves; ``None`` if none has room."""
        candidates = self.list_candidates(
            source.target.service, exclude={source.target.id, *exclude}
        )
        return placing.choose_destination(
            candidates,
            facts=facts,
            used_tokens=used_tokens,
            data_centre=source.target.data_centre,
        )

    def choose_for_standby(
        self, source: Member, facts: EngineFacts, *, used_tokens: int
    ) -> Member | None:
        """Chooses where a copy of a run is kept, if memory is free."""
        return placing.choose_standby(
            self.list_candidates(
                source.target.service, exclude={source.target.id}
            ),
            facts=facts,
            used_tokens=used_tokens,
            data_centre=source.target.data_centre,
        )

    def is_crowded(self, member: Member, facts: EngineFacts) -> bool:
        """Returns whether an engine's standby copies are to be freed."""
        taken = placing.count_taken(self.loads.get_total(member.target.id))
        return taken > placing.STANDBY_KEEP * facts.memory_tokens

    @property
    def _spread(self) -> timedelta:
        return min(MAX_SPREAD, SPREAD_A_NODE * self.nodes)

    async def wait_for_room(
        self,
        service: Service,
        facts: EngineFacts,
        *,
        generation: Generation,
        rank: tuple[int, ...],
        limit: timedelta,
        exclude: Collection[str] = (),
    ) -> Member | None:
        """Waits until an engine has room for a generation.

        Those of equal rank are served in order of arrival.

        Args:
            service: the engines' service.
            facts: slots and memory of its engines.
            generation: with its prompt and expected length.
            rank: those that wait are served in its order.
            limit: the longest wait.
            exclude: engines that have refused it.

        Returns:
            The engine; ``None`` if none had room in time.
        """
        line = self._waiting.setdefault(service.name, [])
        self._arrivals += 1
        place = (*rank, self._arrivals)
        line.append(place)
        end = self._clock.elapsed() + limit
        has_waited = False
        try:
            while True:
                if place == min(line):
                    member = self.choose_for_generation(
                        service,
                        facts,
                        generation=generation,
                        exclude=exclude,
                    )
                    if member is not None and not has_waited:
                        return member
                    if member is not None:
                        # All nodes see the same room at once. Who comes
                        # later hears of who came first, and looks again.
                        await self._clock.sleep(self._spread * self._draw())
                        has_waited = False
                        continue
                if self._clock.elapsed() >= end:
                    return None
                has_waited = True
                await self._clock.sleep(_POLL)
        finally:
            line.remove(place)
