"""The state of each target from all that is said of it."""

from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configured import ConfigurationView
from acaciarack.facts import Fact, FactSource, FactTable, MemberState

TARGET_SILENCE = timedelta(seconds=3)


@dataclass(frozen=True, kw_only=True)
class _Evidence:
    """When a target was last heard of and for how long that counts."""

    heard: timedelta
    fresh_for: timedelta


class TargetStates:
    """Combines the facts, the configuration and how old the evidence is."""

    def __init__(
        self,
        *,
        facts: FactTable,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        self._facts = facts
        self._configuration = configuration
        self._clock = clock
        self._evidence: dict[str, _Evidence] = {}

    def list_names(self) -> tuple[str, ...]:
        """Returns the names of the configured targets."""
        return tuple(self._configuration.get_configuration().targets)

    def knows(self, name: str) -> bool:
        """Returns whether a target is configured."""
        return name in self._configuration.get_configuration().targets

    def hear(self, name: str, *, age: timedelta, fresh_for: timedelta) -> None:
        """Takes in that a target was heard of ``age`` ago."""
        if not self.knows(name):
            self._evidence.pop(name, None)
            return
        heard = self._clock.elapsed() - age
        held = self._evidence.get(name)
        if held is None or held.heard <= heard:
            self._evidence[name] = _Evidence(heard=heard, fresh_for=fresh_for)

    def distrust(self) -> None:
        """Drops the evidence: it may be older than it looks."""
        self._evidence.clear()

    def get_state(self, name: str) -> Fact:
        """Returns the worst statement about a target."""
        now = self._clock.now()
        judged = (
            (FactSource.CONFIGURATION, self._judge_configuration(name)),
            (FactSource.SILENCE, self._judge_silence(name)),
        )
        facts = [
            Fact(name=name, source=source, state=state, time=now)
            for source, state in judged
        ]
        worst = self._facts.find_worst(name)
        if worst is not None:
            facts.append(worst)
        return max(facts, key=_get_state)

    def find_state(self, name: str) -> MemberState:
        """Returns the state of ``get_state`` without building statements."""
        state = max(self._judge_configuration(name), self._judge_silence(name))
        worst = self._facts.find_worst(name)
        return state if worst is None else max(state, worst.state)

    def _judge_configuration(self, name: str) -> MemberState:
        configuration = self._configuration.get_configuration()
        target = configuration.targets.get(name)
        if target is None:
            return MemberState.GONE
        return MemberState.LEAVING if target.drained else MemberState.AVAILABLE

    def _judge_silence(self, name: str) -> MemberState:
        evidence = self._evidence.get(name)
        if evidence is None:
            return MemberState.SUSPECT
        age = self._clock.elapsed() - evidence.heard
        is_fresh = age <= evidence.fresh_for
        return MemberState.AVAILABLE if is_fresh else MemberState.SUSPECT


def _get_state(fact: Fact) -> MemberState:
    return fact.state
