"""What this node knows of each other node, and the state that follows."""

import functools
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configured import ConfigurationView
from acaciarack.facts import Fact, FactSource, FactTable, MemberState
from acaciarack.handshakes import Identity
from acaciarack.statements import Standing, compute_summary_period

MAX_NODES = 2048
NODE_SILENCE = timedelta(seconds=3)
FORGET_AFTER = timedelta(minutes=5)
_MISSED_SUMMARIES = 3


@dataclass(frozen=True, kw_only=True)
class NodeRecord:
    """One node as last heard of.

    Attributes:
        identity: who it is.
        standing: what it said of itself.
        heard: when, by the monotonic clock.
        lost: whether the link to it was lost since.
    """

    identity: Identity
    standing: Standing
    heard: timedelta
    lost: bool = False


@dataclass(frozen=True, kw_only=True)
class NodeView:
    """One node for reports and decisions.

    Attributes:
        name: its name.
        data_centre: where it stands.
        host: the IP number at which callers reach it.
        port: the TCP port at which callers reach it.
        incarnation: larger with each start of the node.
        state: the worst that any source says.
        configuration_version: the version that it has in force.
        configuration_digest: the leading bytes of that version's digest.
        age: how long ago it was heard of.
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
        facts: FactTable,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        self._own_data_centre = own_data_centre
        self._facts = facts
        self._configuration = configuration
        self._clock = clock
        self._records: dict[str, NodeRecord] = {}

    def observe(self, identity: Identity, standing: Standing) -> bool:
        """Takes in what a node says; what is older than known is ignored.

        Returns:
            Whether its incarnation or the sequence of its standing is new.
        """
        record = NodeRecord(
            identity=identity, standing=standing, heard=self._clock.elapsed()
        )
        held = self._records.get(identity.node)
        if held is None and len(self._records) >= MAX_NODES:
            return False
        if held is not None and _get_order(record) < _get_order(held):
            return False
        self._records[identity.node] = record
        return held is None or _get_order(record) > _get_order(held)

    def lose(self, name: str) -> None:
        """Takes in that the link to a node is lost."""
        record = self._records.get(name)
        if record is not None:
            self._records[name] = replace(record, lost=True)

    def forget_old(self) -> None:
        """Removes the nodes that were not heard of for long."""
        limit = self._clock.elapsed() - FORGET_AFTER
        for record in list(self._records.values()):
            if record.heard < limit:
                del self._records[record.identity.node]

    def find(self, name: str) -> NodeRecord | None:
        """Returns the record of a node, if there is one."""
        return self._records.get(name)

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[NodeRecord]:
        """Yields the records in order of name."""
        for name in sorted(self._records):
            yield self._records[name]

    def get_state(self, name: str) -> Fact:
        """Returns the worst statement about a node."""
        state, source = self._judge_record(self._records.get(name))
        now = self._clock.now()
        facts = [Fact(name=name, source=source, state=state, time=now)]
        worst = self._facts.find_worst(name)
        if worst is not None:
            facts.append(worst)
        if self.is_drained(name):
            facts.append(
                Fact(
                    name=name,
                    source=FactSource.CONFIGURATION,
                    state=MemberState.LEAVING,
                    time=now,
                )
            )
        return max(facts, key=_get_state)

    def find_state(self, name: str) -> MemberState:
        """Returns the state of ``get_state`` without building statements."""
        state, _ = self._judge_record(self._records.get(name))
        worst = self._facts.find_worst(name)
        if worst is not None and worst.state > state:
            state = worst.state
        if state < MemberState.LEAVING and self.is_drained(name):
            return MemberState.LEAVING
        return state

    def is_drained(self, name: str) -> bool:
        """Returns whether operators drain a node."""
        nodes = self._configuration.get_configuration().nodes
        return name in nodes and nodes[name].drained

    def view(self, record: NodeRecord, state: MemberState) -> NodeView:
        """Builds the view of a node."""
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
            age=self._clock.elapsed() - record.heard,
        )

    def _judge_record(
        self, record: NodeRecord | None
    ) -> tuple[MemberState, FactSource]:
        if record is None:
            return MemberState.SUSPECT, FactSource.SILENCE
        state = record.standing.state
        if self._is_silent(record):
            return max(MemberState.SUSPECT, state), FactSource.SILENCE
        return state, FactSource.NODE

    def _is_silent(self, record: NodeRecord) -> bool:
        if record.lost:
            return True
        limit = NODE_SILENCE
        if record.identity.data_centre != self._own_data_centre:
            limit = _compute_far_silence(len(self._records) + 1)
        return self._clock.elapsed() - record.heard > limit


@functools.lru_cache(maxsize=1)
def _compute_far_silence(nodes: int) -> timedelta:
    period = compute_summary_period(nodes)
    return max(NODE_SILENCE, period * _MISSED_SUMMARIES)


def _get_order(record: NodeRecord) -> tuple[int, int]:
    return record.identity.incarnation, record.standing.sequence


def _get_state(fact: Fact) -> MemberState:
    return fact.state
