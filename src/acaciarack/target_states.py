"""The state of each target, from observations, configuration and timeouts."""

from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configuration_view import ConfigurationView
from acaciarack.member_states import (
    MemberState,
    ObservationSource,
    ObservationTable,
    StateObservation,
)

TARGET_TIMEOUT = timedelta(seconds=3)


@dataclass(frozen=True, kw_only=True)
class _Contact:
    """When a target last reported and how long the report remains valid."""

    last_heard: timedelta
    fresh_for: timedelta


class TargetStates:
    """Combines observations, drain flags and the age of the last reports."""

    def __init__(
        self,
        *,
        observations: ObservationTable,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        self._observations = observations
        self._configuration = configuration
        self._clock = clock
        self._contacts: dict[str, _Contact] = {}

    def list_names(self) -> tuple[str, ...]:
        """Returns the names of the configured targets."""
        return tuple(self._configuration.get_configuration().targets)

    def is_configured(self, name: str) -> bool:
        """Returns whether a target is configured."""
        return name in self._configuration.get_configuration().targets

    def record_contact(
        self, name: str, *, age: timedelta, fresh_for: timedelta
    ) -> None:
        """Records that a target reported ``age`` ago.

        Ignores a report that is older than the recorded one.
        """
        if not self.is_configured(name):
            self._contacts.pop(name, None)
            return
        last_heard = self._clock.elapsed() - age
        current = self._contacts.get(name)
        if current is None or current.last_heard <= last_heard:
            self._contacts[name] = _Contact(
                last_heard=last_heard, fresh_for=fresh_for
            )

    def clear_contacts(self) -> None:
        """Clears all contacts after a process pause.

        They may be older than they appear.
        """
        self._contacts.clear()

    def get_worst_observation(self, name: str) -> StateObservation:
        """Returns the worst observation of a target."""
        now = self._clock.now()
        evaluated = (
            (
                ObservationSource.CONFIGURATION,
                self._evaluate_configuration(name),
            ),
            (ObservationSource.TIMEOUT, self._evaluate_last_contact(name)),
        )
        observations = [
            StateObservation(name=name, source=source, state=state, time=now)
            for source, state in evaluated
        ]
        worst = self._observations.find_worst(name)
        if worst is not None:
            observations.append(worst)
        return max(observations, key=_get_state)

    def get_state(self, name: str) -> MemberState:
        """Returns the worst state of a target without building observations."""
        state = max(
            self._evaluate_configuration(name),
            self._evaluate_last_contact(name),
        )
        worst = self._observations.find_worst(name)
        return state if worst is None else max(state, worst.state)

    def _evaluate_configuration(self, name: str) -> MemberState:
        configuration = self._configuration.get_configuration()
        target = configuration.targets.get(name)
        if target is None:
            return MemberState.GONE
        return MemberState.LEAVING if target.drained else MemberState.AVAILABLE

    def _evaluate_last_contact(self, name: str) -> MemberState:
        contact = self._contacts.get(name)
        if contact is None:
            return MemberState.SUSPECT
        age = self._clock.elapsed() - contact.last_heard
        is_fresh = age <= contact.fresh_for
        return MemberState.AVAILABLE if is_fresh else MemberState.SUSPECT


def _get_state(observation: StateObservation) -> MemberState:
    return observation.state
