"""Messages between nodes that need an engine and the scheduler of its service.

Every message is one datagram, which may be lost, delayed or duplicated. An ask
is identified by its node and number; a repeated one gets the same answer.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgpack

from acaciarack.gateway.capacity.loads import Generation, Load
from acaciarack.gateway.evidence.fingerprints import Fingerprints
from acaciarack.gateway.evidence.quarantine_messages import decode_fingerprint
from acaciarack.gateway.peers.messages import (
    FORMAT_VERSION,
    NodeInfo,
    convert_errors,
    decode_load,
    decode_node_fields,
    encode_load,
    encode_node_fields,
    split_datagram,
)
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.lifetimes import TargetLifetime


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
    """Tells a scheduler that an ask needs no answer any more."""

    node: NodeInfo
    number: int


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Tells schedulers the load that a node has on engines.

    Attributes:
        node: the node.
        loads: its load on each target.
        failures: recent failures of engines that it saw, weighted by age.
        grants: the numbers of its recent asks whose grants the loads include.
    """

    node: NodeInfo
    loads: Mapping[str, Load]
    failures: Mapping[str, float]
    grants: tuple[int, ...]


ScheduleMessage = Ask | Answer | Withdrawal | LoadReport


def encode_message(message: ScheduleMessage) -> bytes:
    """Encodes a message as one datagram."""
    fields: list[Any]
    if isinstance(message, Ask):
        kind, fields = MessageKind.ASK, _encode_ask(message)
    elif isinstance(message, Answer):
        kind, fields = MessageKind.ANSWER, _encode_answer(message)
    elif isinstance(message, LoadReport):
        kind, fields = MessageKind.REPORT, _encode_report(message)
    else:
        kind = MessageKind.WITHDRAWAL
        fields = [encode_node_fields(message.node), message.number]
    packed: bytes = msgpack.packb([FORMAT_VERSION, str(kind), *fields])
    return packed


def decode_message(data: bytes) -> ScheduleMessage:
    """Decodes a message.

    Raises:
        MalformedMessageError: the datagram is invalid.
    """
    kind, fields = split_datagram(data)
    with convert_errors():
        message_kind = MessageKind(kind)
        if message_kind is MessageKind.ASK:
            return _decode_ask(fields)
        if message_kind is MessageKind.ANSWER:
            return _decode_answer(fields)
        if message_kind is MessageKind.REPORT:
            return _decode_report(fields)
        node, number = fields
        return Withdrawal(node=decode_node_fields(node), number=int(number))


def _encode_ask(ask: Ask) -> list[Any]:
    prompt = ask.generation.prompt
    return [
        encode_node_fields(ask.node),
        ask.number,
        ask.attempt,
        str(ask.kind),
        ask.service,
        [prompt.tokens, prompt.max_tokens, prompt.hint, ask.generation.emitted],
        list(ask.rank),
        _to_ms(ask.age),
        _to_ms(ask.patience),
        ask.data_centre,
        sorted(ask.exclude),
        _to_ms(ask.recent_duration),
        sorted(ask.quarantined),
    ]


def _decode_ask(fields: list[Any]) -> Ask:
    node, number, attempt, kind, service, lengths, *rest = fields
    rank, age, patience, data_centre, exclude, duration, quarantined = rest
    tokens, max_tokens, hint, emitted = lengths
    return Ask(
        node=decode_node_fields(node),
        number=int(number),
        attempt=int(attempt),
        kind=AskKind(kind),
        service=str(service),
        generation=Generation(
            prompt=Prompt(
                tokens=int(tokens),
                max_tokens=int(max_tokens),
                hint=None if hint is None else int(hint),
            ),
            emitted=int(emitted),
        ),
        rank=tuple(int(part) for part in rank),
        age=_from_ms(age),
        patience=_from_ms(patience),
        data_centre=str(data_centre),
        exclude=frozenset(str(name) for name in exclude),
        recent_duration=_from_ms(duration),
        quarantined=frozenset(map(decode_fingerprint, quarantined)),
    )


def _encode_answer(answer: Answer) -> list[Any]:
    target = answer.target
    retry_after = answer.retry_after
    return [
        answer.number,
        answer.attempt,
        answer.started,
        None if target is None else [target.id, target.born],
        None if retry_after is None else _to_ms(retry_after),
    ]


def _decode_answer(fields: list[Any]) -> Answer:
    number, attempt, started, target, retry_after = fields
    lifetime = None
    if target is not None:
        target_id, born = target
        lifetime = TargetLifetime(id=str(target_id), born=int(born))
    return Answer(
        number=int(number),
        attempt=int(attempt),
        started=int(started),
        target=lifetime,
        retry_after=None if retry_after is None else _from_ms(retry_after),
    )


def _encode_report(report: LoadReport) -> list[Any]:
    return [
        encode_node_fields(report.node),
        {name: encode_load(load) for name, load in report.loads.items()},
        {name: round(value, 1) for name, value in report.failures.items()},
        list(report.grants),
    ]


def _decode_report(fields: list[Any]) -> LoadReport:
    node, loads, failures, grants = fields
    return LoadReport(
        node=decode_node_fields(node),
        loads={str(name): decode_load(list(v)) for name, v in loads.items()},
        failures={str(name): float(v) for name, v in failures.items()},
        grants=tuple(int(number) for number in grants),
    )


def _to_ms(duration: timedelta) -> int:
    return round(duration.total_seconds() * 1000)


def _from_ms(value: Any) -> timedelta:
    """Returns a duration of at least zero."""
    return timedelta(milliseconds=max(0, int(value)))
