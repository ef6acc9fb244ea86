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
        facts = [self._judge_configuration(name), self._judge_silence(name)]
        worst = self._facts.find_worst(name)
        if worst is not None:
            facts.append(worst)
        return max(facts, key=_get_state)

    def _judge_configuration(self, name: str) -> Fact:
        configuration = self._configuration.get_configuration()
        target = configuration.targets.get(name)
        state = MemberState.AVAILABLE
        if target is None:
            state = MemberState.GONE
        elif target.drained:
            state = MemberState.LEAVING
        return Fact(
            name=name,
            source=FactSource.CONFIGURATION,
            state=state,
            time=self._clock.now(),
        )

    def _judge_silence(self, name: str) -> Fact:
        evidence = self._evidence.get(name)
        now = self._clock.elapsed()
        is_fresh = (
            evidence is not None and now - evidence.heard <= evidence.fresh_for
        )
        return Fact(
            name=name,
            source=FactSource.SILENCE,
            state=MemberState.AVAILABLE if is_fresh else MemberState.SUSPECT,
            time=self._clock.now(),
        )


def _get_state(fact: Fact) -> MemberState:
    return fact.state
