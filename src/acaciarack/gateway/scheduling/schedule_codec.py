"""Encodes and decodes the messages of ``schedule_messages`` with msgpack.

Optional fields are in a map at the end of a message, for nodes of revision 1
and later. Each is checked by itself, so an invalid one loses no message.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import logbook
import msgpack

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.evidence.quarantine_messages import decode_fingerprint
from acaciarack.gateway.message_fields import (
    to_amount,
    to_count,
    to_counts,
    to_duration,
    to_int,
    to_rank,
)
from acaciarack.gateway.peers.messages import (
    DECODE_ERRORS,
    FORMAT_VERSION,
    REVISION,
    convert_errors,
    decode_load,
    decode_node_fields,
    encode_load,
    encode_node_fields,
    split_datagram,
)
from acaciarack.gateway.scheduling.schedule_messages import (
    Answer,
    Ask,
    AskKind,
    LoadReport,
    MessageKind,
    OrganisationUsage,
    ScheduleMessage,
    Withdrawal,
)
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.client import ReportedLoad
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.pace import TargetSample

_MAX_NAME_LENGTH = 200
_MAX_NUMBER = 1e12
_MICROSECOND = timedelta(microseconds=1)

_log = logbook.Logger("acaciarack.gateway.scheduling")


def encode_message(
    message: ScheduleMessage, *, revision: int = REVISION
) -> bytes:
    """Encodes a message as one datagram.

    Args:
        message: the message.
        revision: the revision of the receiving node.
    """
    fields: list[Any]
    optional: dict[str, Any] = {}
    if isinstance(message, Ask):
        kind, fields = MessageKind.ASK, _encode_ask(message)
        optional = _encode_ask_options(message)
    elif isinstance(message, Answer):
        kind, fields = MessageKind.ANSWER, _encode_answer(message)
    elif isinstance(message, LoadReport):
        kind, fields = MessageKind.REPORT, _encode_report(message)
        optional = _encode_report_options(message)
    else:
        kind = MessageKind.WITHDRAWAL
        fields = [encode_node_fields(message.node), message.number]
        if message.sample is not None:
            optional["sample"] = _encode_sample(message.sample)
    if optional and revision >= 1:
        fields.append(optional)
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
        node, number, *rest = fields
        return Withdrawal(
            node=decode_node_fields(node),
            number=to_int(number),
            sample=_decode_option(rest, "sample", _decode_sample, None),
        )


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
    rank, age, patience, data_centre, exclude, *rest = rest
    duration, quarantined, *options = rest
    tokens, max_tokens, hint, emitted = lengths
    return Ask(
        node=decode_node_fields(node),
        number=to_int(number),
        attempt=to_int(attempt),
        kind=AskKind(kind),
        service=str(service),
        generation=Generation(
            prompt=Prompt(
                tokens=to_count(tokens),
                max_tokens=to_count(max_tokens),
                hint=None if hint is None else to_count(hint),
            ),
            emitted=to_count(emitted),
        ),
        rank=tuple(to_rank(part) for part in rank),
        age=to_duration(age),
        patience=to_duration(patience),
        data_centre=str(data_centre),
        exclude=frozenset(str(name) for name in exclude),
        recent_duration=to_duration(duration),
        quarantined=frozenset(map(decode_fingerprint, quarantined)),
        organisation=_decode_option(options, "organisation", _to_name, ""),
        time_to_objective=_decode_option(
            options, "objective", _from_signed_ms, None
        ),
        gap_objective=_decode_option(options, "gap", to_duration, timedelta(0)),
        fingerprint=_decode_option(
            options, "fingerprint", decode_fingerprint, b""
        ),
        regions=_decode_option(options, "regions", _decode_regions, None),
    )


def _encode_ask_options(ask: Ask) -> dict[str, Any]:
    optional: dict[str, Any] = {}
    if ask.organisation:
        optional["organisation"] = ask.organisation
    if ask.time_to_objective is not None:
        optional["objective"] = _to_ms(ask.time_to_objective)
    if ask.gap_objective:
        optional["gap"] = _to_ms(ask.gap_objective)
    if ask.fingerprint:
        optional["fingerprint"] = ask.fingerprint
    if ask.regions is not None:
        optional["regions"] = sorted(ask.regions)
    return optional


def _decode_regions(document: Any) -> frozenset[str]:
    if not isinstance(document, list):
        raise ValueError("not a list of regions")
    return frozenset(map(_to_name, document))


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
        lifetime = TargetLifetime(id=str(target_id), born=to_int(born))
    return Answer(
        number=to_int(number),
        attempt=to_int(attempt),
        started=to_int(started),
        target=lifetime,
        retry_after=None if retry_after is None else to_duration(retry_after),
    )


def _encode_report(report: LoadReport) -> list[Any]:
    return [
        encode_node_fields(report.node),
        {name: encode_load(load) for name, load in report.loads.items()},
        {name: round(value, 1) for name, value in report.failures.items()},
        list(report.grants),
    ]


def _decode_report(fields: list[Any]) -> LoadReport:
    node, loads, failures, grants, *options = fields
    return LoadReport(
        node=decode_node_fields(node),
        loads={
            str(name): decode_load(to_counts(numbers))
            for name, numbers in loads.items()
        },
        failures={str(n): to_amount(v) for n, v in failures.items()},
        grants=tuple(map(to_int, grants)),
        samples=_decode_option(options, "samples", _decode_samples, ()),
        usage=_decode_option(options, "usage", _decode_usage, ()),
    )


def _encode_report_options(report: LoadReport) -> dict[str, Any]:
    optional: dict[str, Any] = {}
    if report.samples:
        optional["samples"] = [_encode_sample(s) for s in report.samples]
    if report.usage:
        optional["usage"] = {
            u.organisation: round(u.cost) for u in report.usage
        }
    return optional


def _decode_usage(document: Any) -> tuple[OrganisationUsage, ...]:
    return tuple(
        OrganisationUsage(organisation=_to_name(name), cost=_check_number(cost))
        for name, cost in document.items()
    )


def _encode_sample(sample: TargetSample) -> list[Any]:
    load = sample.load
    times = (sample.token_time, sample.prompt_token_time, sample.work_time)
    return [
        sample.target.id,
        sample.target.born,
        _to_ms(sample.age),
        load and [load.running, load.waiting, load.slots, load.slowdown],
        *(None if time is None else time // _MICROSECOND for time in times),
    ]


def _decode_samples(document: Any) -> tuple[TargetSample, ...]:
    return tuple(map(_decode_sample, document))


def _decode_sample(document: Any) -> TargetSample:
    target_id, born, age, load, *times = document
    token_time, prompt_token_time, work_time = (
        None if time is None else _check_number(time) * _MICROSECOND
        for time in times
    )
    return TargetSample(
        target=TargetLifetime(id=_to_name(target_id), born=to_int(born)),
        age=to_duration(_check_number(age)),
        load=None if load is None else _decode_load(load),
        token_time=token_time,
        prompt_token_time=prompt_token_time,
        work_time=work_time,
    )


def _decode_load(document: Any) -> ReportedLoad:
    running, waiting, slots, slowdown = document
    return ReportedLoad(
        running=int(_check_number(running)),
        waiting=int(_check_number(waiting)),
        slots=int(_check_number(slots)),
        slowdown=None if slowdown is None else _check_number(slowdown),
    )


def _decode_option(
    options: list[Any], name: str, decode: Callable[[Any], Any], default: Any
) -> Any:
    """Decodes an optional field of a message.

    Returns the default if the field is absent or invalid.
    """
    if not options or name not in options[0]:
        return default
    try:
        return decode(options[0][name])
    except DECODE_ERRORS as error:
        _log.warning("invalid field {} of a message ignored: {}", name, error)
        return default


def _to_name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > _MAX_NAME_LENGTH:
        raise ValueError("not a name")
    return value


def _check_number(value: Any) -> float:
    """Returns a number of at least zero and at most ``_MAX_NUMBER``."""
    number = float(value)
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f"number {number} out of range")
    return number


def _to_ms(duration: timedelta) -> int:
    return round(duration.total_seconds() * 1000)


def _from_signed_ms(value: Any) -> timedelta:
    return timedelta(milliseconds=max(-_MAX_NUMBER, min(value, _MAX_NUMBER)))
