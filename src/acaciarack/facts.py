"""What several sources say of a member; the worst of them wins."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

MAX_MEMBERS = 8192


class MemberState(enum.IntEnum):
    """The state of a node or a target; a larger one is worse.

    Attributes:
        LIVE: a node that takes new work.
        AVAILABLE: a target that takes new work.
        SUSPECT: not heard of lately.
        LEAVING: finishes what it has and takes nothing new.
        GONE: not there.
    """

    LIVE = 0
    AVAILABLE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class FactSource(enum.IntEnum):
    """Who says so."""

    VM_LIST = 0
    REPORT = 1
    WATCHER = 2
    CONFIGURATION = 3
    NODE = 4
    SILENCE = 5


HOLD: Mapping[FactSource, timedelta] = {
    FactSource.VM_LIST: timedelta(seconds=30),
    FactSource.REPORT: timedelta(seconds=5),
}


@dataclass(frozen=True, kw_only=True)
class Fact:
    """One statement of one source.

    Attributes:
        name: the member's name.
        source: who says so.
        state: what it says.
        time: when it said so last, in UTC.
    """

    name: str
    source: FactSource
    state: MemberState
    time: datetime


_Kind = tuple[FactSource, MemberState]


class FactTable:
    """The newest statement of each source about each member.

    The sources lag and have replicas that lag differently, so a better state
    replaces a worse one only after the source's ``HOLD`` time without the
    worse one.
    """

    def __init__(self, *, max_members: int = MAX_MEMBERS) -> None:
        self._max_members = max_members
        self._facts: dict[str, dict[FactSource, Fact]] = {}
        # Statements that a worse one kept from counting, which may have to
        # count for a while once that one's time is over.
        self._waiting: dict[str, dict[_Kind, Fact]] = {}

    def observe(self, fact: Fact) -> bool:
        """Takes a statement in.

        A statement about a member beyond the limit is ignored.

        Returns:
            Whether the source's state for the member changed.
        """
        facts = self._facts.get(fact.name)
        if facts is None:
            if len(self._facts) >= self._max_members:
                return False
            facts = self._facts[fact.name] = {}
        held = facts.get(fact.source)
        if held is not None and not _replaces(fact, held):
            self._keep_waiting(fact)
            return False
        if held is not None and fact.state < held.state:
            fact = self._take_worst_waiting(fact, held)
        facts[fact.source] = fact
        before = held.state if held is not None else MemberState.LIVE
        return fact.state is not before

    def find_worst(self, name: str) -> Fact | None:
        """Returns the worst statement about a member, if there is any."""
        facts = self._facts.get(name, {})
        return max(facts.values(), key=_get_state, default=None)

    def list_bad(self) -> Iterator[Fact]:
        """Yields the statements that say a member is not live."""
        for facts in self._facts.values():
            for fact in facts.values():
                if fact.state is not MemberState.LIVE:
                    yield fact

    def prune(self, before: datetime) -> None:
        """Removes the members of which nothing was said since ``before``."""
        old = [
            name
            for name, facts in self._facts.items()
            if max(fact.time for fact in facts.values()) < before
        ]
        for name in old:
            del self._facts[name]
            self._waiting.pop(name, None)

    def _keep_waiting(self, fact: Fact) -> None:
        if fact.state is MemberState.LIVE:
            return
        waiting = self._waiting.setdefault(fact.name, {})
        former = waiting.get((fact.source, fact.state))
        if former is None or former.time < fact.time:
            waiting[fact.source, fact.state] = fact

    def _take_worst_waiting(self, fact: Fact, held: Fact) -> Fact:
        """Returns what counts now that ``fact`` may replace ``held``."""
        waiting = [
            each
            for each in self._waiting.get(fact.name, {}).values()
            if each.source is fact.source
            and fact.state < each.state < held.state
            and not _replaces(fact, each)
        ]
        if not waiting:
            return fact
        self._keep_waiting(fact)
        return max(waiting, key=_get_state)


def _replaces(fact: Fact, held: Fact) -> bool:
    if fact.state >= held.state:
        return fact.time >= held.time or fact.state > held.state
    hold = HOLD.get(fact.source, timedelta())
    return fact.time > held.time + hold


def _get_state(fact: Fact) -> MemberState:
    return fact.state
