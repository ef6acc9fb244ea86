"""The counts of requests against objectives, and sums of them.

Each node has one part a minute. It is final once its minute is over, and is
known by its node, the node's incarnation and its minute, so that it can be
counted once and no more.
"""

import zlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import TypeVar

import msgspec

from acaciarack.errors import AcaciarackError

OBJECTIVES = ("stall", "ttft", "token_gap", "preemption", "refusal")
MINUTE_SECONDS = 60
MAX_CAUSES = 64
"""The causes of one part; the most frequent are kept."""
MAX_HELD_CAUSES = 10_000
"""The causes that are told apart while adding up; further ones are left out."""
MAX_CAUSE_IDS = 3
PIECE_ROWS = 500
MAX_DECODED_BYTES = 16 * 1024 * 1024
S = TypeVar("S")


class BurnRecordError(AcaciarackError):
    """Bytes from a peer or from the log are no counters."""


class Row(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one service and organisation.

    Attributes:
        service: the service.
        organisation: the organisation.
        requests: those that an objective applies to, as ``OBJECTIVES``.
        bad: those that missed it, as ``OBJECTIVES``.
    """

    service: str
    organisation: str
    requests: tuple[int, ...]
    bad: tuple[int, ...]


class CauseRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Why requests of a service and organisation missed an objective.

    Attributes:
        service: the service.
        organisation: the organisation.
        objective: one of ``OBJECTIVES``.
        cause: one phrase or a refusal code.
        requests: how many requests.
        request_ids: the newest of them.
    """

    service: str
    organisation: str
    objective: str
    cause: str
    requests: int
    request_ids: tuple[str, ...] = ()


class Counts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What was counted in one minute.

    Attributes:
        minute: minutes since 1970 in UTC.
        rows: one for each service and organisation.
        causes: of the misses.
    """

    minute: int
    rows: tuple[Row, ...] = ()
    causes: tuple[CauseRow, ...] = ()


class Part(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one node counted in one minute.

    Attributes:
        node: the node's name.
        incarnation: the node's incarnation.
        counts: the counts.
    """

    node: str
    incarnation: int
    counts: Counts


@dataclass(kw_only=True)
class Tally:
    """Adds up counts, of any minutes and nodes.

    Attributes:
        max_causes: how many causes ``build`` keeps.
        requests: by service and organisation, as ``OBJECTIVES``.
        bad: the same of those that missed the objective.
    """

    max_causes: int = MAX_CAUSES
    requests: dict[tuple[str, str], list[int]] = field(default_factory=dict)
    bad: dict[tuple[str, str], list[int]] = field(default_factory=dict)
    _causes: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    _ids: dict[tuple[str, str, str, str], tuple[str, ...]] = field(
        default_factory=lambda: defaultdict(tuple)
    )

    def add_row(self, row: Row) -> None:
        """Adds the counts of one service and organisation."""
        key = row.service, row.organisation
        for sums, values in (
            (self.requests, row.requests),
            (self.bad, row.bad),
        ):
            found = sums.setdefault(key, [0] * len(OBJECTIVES))
            for index, value in enumerate(values[: len(OBJECTIVES)]):
                found[index] += value

    def add_cause(self, row: CauseRow) -> None:
        """Adds a cause; ids that come later count as newer."""
        key = row.service, row.organisation, row.objective, row.cause
        if key not in self._causes and len(self._causes) >= MAX_HELD_CAUSES:
            return
        self._causes[key] += row.requests
        ids = self._ids[key] + row.request_ids
        self._ids[key] = ids[-MAX_CAUSE_IDS:]

    def add(self, counts: Counts) -> None:
        """Adds all counts of one minute."""
        for row in counts.rows:
            self.add_row(row)
        for cause in counts.causes:
            self.add_cause(cause)

    def list_causes(self) -> Iterable[CauseRow]:
        """Yields the causes, the most frequent first, within the limit."""
        ranked = sorted(self._causes.items(), key=lambda item: (-item[1], item))
        for key, requests in ranked[: self.max_causes]:
            service, organisation, objective, cause = key
            yield CauseRow(
                service=service,
                organisation=organisation,
                objective=objective,
                cause=cause,
                requests=requests,
                request_ids=self._ids[key],
            )

    def build(self, minute: int) -> Counts:
        """Returns the sums, as counts of ``minute``."""
        rows = tuple(
            Row(
                service=key[0],
                organisation=key[1],
                requests=tuple(self.requests[key]),
                bad=tuple(self.bad[key]),
            )
            for key in sorted(self.requests)
        )
        causes = tuple(self.list_causes())
        return Counts(minute=minute, rows=rows, causes=causes)


def split(counts: Counts) -> Iterator[Counts]:
    """Yields the same counts in pieces of bounded length."""
    yield Counts(minute=counts.minute, causes=counts.causes)
    for start in range(0, len(counts.rows), PIECE_ROWS):
        rows = counts.rows[start : start + PIECE_ROWS]
        yield Counts(minute=counts.minute, rows=rows)


def find_minute(time: datetime) -> int:
    """Returns the minutes since 1970 of a wall time."""
    return int(time.timestamp()) // MINUTE_SECONDS


def encode(value: msgspec.Struct) -> bytes:
    """Encodes a part or a record; the result is compressed."""
    return zlib.compress(msgspec.msgpack.encode(value))


def decode(body: bytes, kind: type[S]) -> S:
    """Decodes what ``encode`` returned.

    Raises:
        BurnRecordError: it is something else, or longer than allowed.
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(body, MAX_DECODED_BYTES)
        if unpacker.unconsumed_tail:
            raise BurnRecordError(
                f"counters have over {MAX_DECODED_BYTES} bytes"
            )
        return msgspec.msgpack.decode(plain, type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise BurnRecordError(f"not counters: {error}") from error
