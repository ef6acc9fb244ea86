"""The state of each other node, from its heartbeats and observations."""

import functools
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configuration_view import ConfigurationView
from acaciarack.handshakes import Identity
from acaciarack.member_states import (
    MemberState,
    ObservationSource,
    ObservationTable,
    StateObservation,
)
from acaciarack.membership_messages import Standing, compute_summary_period

MAX_NODES = 2048
NODE_TIMEOUT = timedelta(seconds=3)
NODE_RETENTION = timedelta(minutes=5)
_MAX_MISSED_SUMMARIES = 3


@dataclass(frozen=True, kw_only=True)
class NodeRecord:
    """The latest news of one node.

    Attributes:
        identity: the node's name, incarnation and address.
        standing: its own statement of its state and configuration.
        last_heard: when the news arrived, by the monotonic clock.
        link_lost: whether the link to the node was lost since then.
    """

    identity: Identity
    standing: Standing
    last_heard: timedelta
    link_lost: bool = False


@dataclass(frozen=True, kw_only=True)
class NodeView:
    """A snapshot of a node's address, state and configuration version.

    Attributes:
        name: its name.
        data_centre: its data centre.
        host: its IP address for callers.
        port: its TCP port for callers.
        incarnation: increases with each start of the node.
        state: the worst state that any source observed.
        configuration_version: the version in force on the node.
        configuration_digest: the leading bytes of that version's digest.
        age: the time since the latest news of the node.
    """

    name: str
    data_centre: str
    host: str
    port: int
    incarnation: int
    state: MemberState
    configuration_version: int
    configuration_digest: bytes
    age: timedelta


class NodeStates:
    """The records of the other nodes by name."""

    def __init__(
        self,
        *,
        own_data_centre: str,
        observations: ObservationTable,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        self._own_data_centre = own_data_centre
        self._observations = observations
        self._configuration = configuration
        self._clock = clock
        self._records: dict[str, NodeRecord] = {}

    def update(self, identity: Identity, standing: Standing) -> bool:
        """Records a node's standing, unless it is older than the recorded one.

        A repeated standing updates the time of the last news and clears
        ``link_lost``. A new node beyond ``MAX_NODES`` is ignored.

        Returns:
            Whether the incarnation or the sequence is newer than the recorded
            one.
        """
        record = NodeRecord(
            identity=identity,
            standing=standing,
            last_heard=self._clock.elapsed(),
        )
        current = self._records.get(identity.node)
        if current is None and len(self._records) >= MAX_NODES:
            return False
        if current is not None and _get_version_key(record) < _get_version_key(
            current
        ):
            return False
        self._records[identity.node] = record
        return current is None or _get_version_key(record) > _get_version_key(
            current
        )

    def mark_link_lost(self, name: str) -> None:
        """Records that the link to a node was lost."""
        record = self._records.get(name)
        if record is not None:
            self._records[name] = replace(record, link_lost=True)

    def remove_expired(self) -> None:
        """Removes the nodes without news for ``NODE_RETENTION``."""
        cutoff = self._clock.elapsed() - NODE_RETENTION
        for record in list(self._records.values()):
            if record.last_heard < cutoff:
                del self._records[record.identity.node]

    def find(self, name: str) -> NodeRecord | None:
        """Returns the record of a node, or None."""
        return self._records.get(name)

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[NodeRecord]:
        """Yields the records in order of name."""
        for name in sorted(self._records):
            yield self._records[name]

    def get_worst_observation(self, name: str) -> StateObservation:
        """Returns the worst observation of a node."""
        state, source = self._evaluate_record(self._records.get(name))
        now = self._clock.now()
        observations = [
            StateObservation(name=name, source=source, state=state, time=now)
        ]
        worst = self._observations.find_worst(name)
        if worst is not None:
            observations.append(worst)
        if self.is_drained(name):
            observations.append(
                StateObservation(
                    name=name,
                    source=ObservationSource.CONFIGURATION,
                    state=MemberState.LEAVING,
                    time=now,
                )
            )
        return max(observations, key=_get_state)

    def get_state(self, name: str) -> MemberState:
        """Returns the worst state of a node without building observations.

        A node without a record is suspect or worse.
        """
        state, _ = self._evaluate_record(self._records.get(name))
        worst = self._observations.find_worst(name)
        if worst is not None and worst.state > state:
            state = worst.state
        if state < MemberState.LEAVING and self.is_drained(name):
            return MemberState.LEAVING
        return state

    def is_drained(self, name: str) -> bool:
        """Returns whether the configuration marks a node as drained."""
        nodes = self._configuration.get_configuration().nodes
        return name in nodes and nodes[name].drained

    def build_view(self, record: NodeRecord, state: MemberState) -> NodeView:
        """Builds the snapshot of a node from its record."""
        identity = record.identity
        standing = record.standing
        return NodeView(
            name=identity.node,
            data_centre=identity.data_centre,
            host=identity.host,
            port=identity.port,
            incarnation=identity.incarnation,
            state=state,
            configuration_version=standing.configuration_version,
            configuration_digest=standing.configuration_digest,
            age=self._clock.elapsed() - record.last_heard,
        )

    def _evaluate_record(
        self, record: NodeRecord | None
    ) -> tuple[MemberState, ObservationSource]:
        if record is None:
            return MemberState.SUSPECT, ObservationSource.TIMEOUT
        state = record.standing.state
        if self._is_timed_out(record):
            return max(MemberState.SUSPECT, state), ObservationSource.TIMEOUT
        return state, ObservationSource.NODE

    def _is_timed_out(self, record: NodeRecord) -> bool:
        if record.link_lost:
            return True
        timeout = NODE_TIMEOUT
        if record.identity.data_centre != self._own_data_centre:
            timeout = _compute_remote_node_timeout(len(self._records) + 1)
        return self._clock.elapsed() - record.last_heard > timeout


@functools.lru_cache(maxsize=1)
def _compute_remote_node_timeout(node_count: int) -> timedelta:
    period = compute_summary_period(node_count)
    return max(NODE_TIMEOUT, period * _MAX_MISSED_SUMMARIES)


def _get_version_key(record: NodeRecord) -> tuple[int, int]:
    return record.identity.incarnation, record.standing.sequence


def _get_state(observation: StateObservation) -> MemberState:
    return observation.state
