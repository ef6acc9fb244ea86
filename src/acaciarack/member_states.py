"""Member states observed by several sources; the worst state applies."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

MAX_MEMBERS = 8192


class MemberState(enum.IntEnum):
    """The state of a node or a target; a larger value is worse.

    Attributes:
        LIVE: a node that accepts new requests.
        AVAILABLE: a target that accepts new requests; an alias of ``LIVE``.
        SUSPECT: heartbeats or reports are overdue, or a connection was lost.
        LEAVING: draining; it finishes its requests and should get no new ones.
        GONE: no longer exists.
    """

    LIVE = 0
    AVAILABLE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class ObservationSource(enum.IntEnum):
    """The source of a state observation.

    Attributes:
        VM_LIST: the platform's list of VMs.
        REPORT: the target's own report.
        WATCHER: this node's watcher, which reads the target's load stream.
        CONFIGURATION: the drain flags of the configuration.
        NODE: the node's own heartbeat or news.
        TIMEOUT: this node, when heartbeats or reports are overdue or the link
            is lost.
    """

    VM_LIST = 0
    REPORT = 1
    WATCHER = 2
    CONFIGURATION = 3
    NODE = 4
    TIMEOUT = 5


HOLD_DOWN: Mapping[ObservationSource, timedelta] = {
    ObservationSource.VM_LIST: timedelta(seconds=30),
    ObservationSource.REPORT: timedelta(seconds=5),
}
"""The minimum time from a source's worse state to a better one replacing it.

Sources that are not listed have no hold-down time.
"""


@dataclass(frozen=True, kw_only=True)
class StateObservation:
    """The state of one member as observed by one source.

    Attributes:
        name: the member's name.
        source: where the observation comes from.
        state: the observed state.
        time: when the source last observed this state, in UTC.
    """

    name: str
    source: ObservationSource
    state: MemberState
    time: datetime


_SourceState = tuple[ObservationSource, MemberState]


class ObservationTable:
    """The current observation of each source for each member.

    Sources lag, and replicas of one source lag differently. A better state
    therefore replaces a worse one only if the source has not repeated the
    worse state during its ``HOLD_DOWN`` time.
    """

    def __init__(self, *, max_members: int = MAX_MEMBERS) -> None:
        self._max_members = max_members
        self._observations: dict[
            str, dict[ObservationSource, StateObservation]
        ] = {}
        # Observations that a worse one overrides. One of them may come into
        # force after the hold-down time of the worse one ends.
        self._pending: dict[str, dict[_SourceState, StateObservation]] = {}

    def add(self, observation: StateObservation) -> bool:
        """Adds an observation.

        Once the table is full, observations of new members are ignored.

        Returns:
            Whether the source's state for the member changed.
        """
        observations = self._observations.get(observation.name)
        if observations is None:
            if len(self._observations) >= self._max_members:
                return False
            observations = self._observations[observation.name] = {}
        current = observations.get(observation.source)
        if current is not None and not _can_replace(observation, current):
            self._add_pending(observation)
            return False
        if current is not None and observation.state < current.state:
            observation = self._choose_successor(observation, current)
        observations[observation.source] = observation
        before = current.state if current is not None else MemberState.LIVE
        return observation.state is not before

    def find_worst(self, name: str) -> StateObservation | None:
        """Returns the worst observation of a member, or None."""
        observations = self._observations.get(name, {})
        return max(observations.values(), key=_get_state, default=None)

    def list_unavailable(self) -> Iterator[StateObservation]:
        """Yields the observations with a state other than live."""
        for observations in self._observations.values():
            for observation in observations.values():
                if observation.state is not MemberState.LIVE:
                    yield observation

    def prune(self, before: datetime) -> None:
        """Removes the members without an observation since ``before``."""
        old = [
            name
            for name, observations in self._observations.items()
            if max(observation.time for observation in observations.values())
            < before
        ]
        for name in old:
            del self._observations[name]
            self._pending.pop(name, None)

    def _add_pending(self, observation: StateObservation) -> None:
        if observation.state is MemberState.LIVE:
            return
        pending = self._pending.setdefault(observation.name, {})
        previous = pending.get((observation.source, observation.state))
        if previous is None or previous.time < observation.time:
            pending[observation.source, observation.state] = observation

    def _choose_successor(
        self, observation: StateObservation, current: StateObservation
    ) -> StateObservation:
        """Returns the observation that replaces ``current``.

        This is ``observation``, or a worse pending one whose hold-down time
        has not ended.
        """
        pending = [
            candidate
            for candidate in self._pending.get(observation.name, {}).values()
            if candidate.source is observation.source
            and observation.state < candidate.state < current.state
            and not _can_replace(observation, candidate)
        ]
        if not pending:
            return observation
        self._add_pending(observation)
        return max(pending, key=_get_state)


def _can_replace(
    observation: StateObservation, current: StateObservation
) -> bool:
    if observation.state >= current.state:
        return (
            observation.time >= current.time
            or observation.state > current.state
        )
    hold = HOLD_DOWN.get(observation.source, timedelta())
    return observation.time > current.time + hold


def _get_state(observation: StateObservation) -> MemberState:
    return observation.state
