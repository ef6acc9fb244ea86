"""Messages between nodes that need an engine and the scheduler of its service.

Every message is one datagram, which may be lost, delayed or duplicated. An ask
is identified by its node and number; a repeated one gets the same answer.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.gateway.capacity.loads import Generation, Load
from acaciarack.gateway.evidence.fingerprints import Fingerprint, Fingerprints
from acaciarack.gateway.peers.messages import NodeInfo
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.pace import TargetSample


class AskKind(enum.StrEnum):
    """What a node needs an engine for.

    Attributes:
        START: a new generation; it waits in the queue for capacity.
        MIGRATE: a running generation; answered at once.
        STANDBY: a standby copy of a running generation; answered at once.
        CALL: a plain call to a target that limits requests; answered at once.
        TRIAL: a request in quarantine that would be sent as a trial; answered
            at once, without an engine.
    """

    START = "start"
    MIGRATE = "migrate"
    STANDBY = "standby"
    CALL = "call"
    TRIAL = "trial"


class MessageKind(enum.StrEnum):
    """The kinds of datagrams between nodes and schedulers."""

    ASK = "ask"
    ANSWER = "answer"
    WITHDRAWAL = "withdrawal"
    REPORT = "report"


@dataclass(frozen=True, kw_only=True)
class Ask:
    """A request for an engine.

    Attributes:
        node: the node that asks.
        number: unique among the asks of one lifetime of that node.
        attempt: how often it has been sent.
        kind: what the engine is for.
        service: the service of the engine.
        generation: the generation.
        rank: its priority; the lowest rank goes first.
        age: the time since it arrived at its node.
        patience: how long it may still wait.
        data_centre: the preferred data centre.
        exclude: ids of engines that cannot be used.
        recent_duration: how long generations of the node have run of late.
        quarantined: the fingerprints in quarantine; only for a trial.
        organisation: the caller's organisation; empty if it has none.
        time_to_objective: the time until its objective; ``None`` if unknown.
        gap_objective: the objective for the pause between two of its events;
            zero if it has none.
        fingerprint: what all attempts of the request have in common; empty if
            unknown.
        regions: the regions that the request may reach; ``None`` for all.
    """

    node: NodeInfo
    number: int
    attempt: int
    kind: AskKind
    service: str
    generation: Generation
    rank: tuple[int, ...]
    age: timedelta
    patience: timedelta
    data_centre: str
    exclude: frozenset[str]
    recent_duration: timedelta
    quarantined: Fingerprints = frozenset()
    organisation: str = ""
    time_to_objective: timedelta | None = None
    gap_objective: timedelta = timedelta(0)
    fingerprint: Fingerprint = b""
    regions: frozenset[str] | None = None


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The answer to an ask.

    Attributes:
        number: the number of the ask.
        attempt: the newest attempt of the ask that the scheduler had received.
        started: the start of the asking node's lifetime.
        target: the engine that is granted; ``None`` if there is none.
        retry_after: when a caller should retry; ``None`` unless refused. An
            answer without engine and time says that the ask is queued. Zero
            grants a trial.
    """

    number: int
    attempt: int
    started: int
    target: TargetLifetime | None = None
    retry_after: timedelta | None = None

    @property
    def is_final(self) -> bool:
        """Whether the ask has its outcome; otherwise it is queued."""
        return self.target is not None or self.retry_after is not None


@dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """Tells a scheduler that an ask needs no answer any more.

    Attributes:
        node: the node that asked.
        number: the number of the ask.
        sample: what the answer to the call told of its target; ``None`` unless
            the ask was for a call that was sent.
    """

    node: NodeInfo
    number: int
    sample: TargetSample | None = None


@dataclass(frozen=True, kw_only=True)
class OrganisationUsage:
    """What an organisation's generations at one node cost.

    Attributes:
        organisation: its name; empty for callers without one.
        cost: what its running generations are expected to cost in all, and
            what ended ones have cost of late, in tokens of memory times
            seconds (see ``capacity.usage``).
    """

    organisation: str
    cost: float


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Tells schedulers the load that a node has on engines.

    Attributes:
        node: the node.
        loads: its load on each target.
        failures: recent failures of engines that it saw, weighted by age.
        grants: the numbers of its recent asks whose grants the loads include.
        samples: what it has learned of targets' paces.
        usage: the costs of organisations that have changed there.
    """

    node: NodeInfo
    loads: Mapping[str, Load]
    failures: Mapping[str, float]
    grants: tuple[int, ...]
    samples: tuple[TargetSample, ...] = ()
    usage: tuple[OrganisationUsage, ...] = ()


ScheduleMessage = Ask | Answer | Withdrawal | LoadReport
