"""Per-minute counts of requests against objectives, and their sums.

Each node produces one part per minute, which is final when the minute is over.
The node, its incarnation and the minute identify a part, so that no part is
counted twice.
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
"""Maximum number of causes in one part. The most frequent ones are kept."""
MAX_DISTINCT_CAUSES = 10_000
"""Maximum number of causes in a sum. Further new causes are not counted."""
MAX_CAUSE_IDS = 3
"""Maximum number of request ids that are kept as examples of a cause."""
MAX_ROWS_PER_CHUNK = 500
"""Maximum number of rows that ``split_counts`` puts into one chunk."""
MAX_DECODED_BYTES = 16 * 1024 * 1024
S = TypeVar("S")


class BurnRecordError(AcaciarackError):
    """Bytes from a peer or from the log are not valid counts."""


class Row(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one service and organisation.

    Attributes:
        service: the service.
        organisation: the organisation.
        requests: the number of requests to which each objective applies, in
            the order of ``OBJECTIVES``.
        bad: the number of requests that missed each objective, in the same
            order.
    """

    service: str
    organisation: str
    requests: tuple[int, ...]
    bad: tuple[int, ...]


class CauseRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A cause of missed objectives for one service and organisation.

    Attributes:
        service: the service.
        organisation: the organisation.
        objective: one of ``OBJECTIVES``.
        cause: a short phrase or a refusal code.
        requests: the number of requests.
        request_ids: the ids of the newest of these requests.
    """

    service: str
    organisation: str
    objective: str
    cause: str
    requests: int
    request_ids: tuple[str, ...] = ()


class Counts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one minute.

    Attributes:
        minute: the number of minutes since the Unix epoch.
        rows: one for each service and organisation.
        causes: why requests missed objectives.
    """

    minute: int
    rows: tuple[Row, ...] = ()
    causes: tuple[CauseRow, ...] = ()


class Part(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one node for one minute.

    Attributes:
        node: the node's name.
        incarnation: the node's incarnation.
        counts: the counts.
    """

    node: str
    incarnation: int
    counts: Counts


@dataclass(kw_only=True)
class CountAccumulator:
    """Adds up counts of any minutes and nodes.

    Attributes:
        max_causes: the maximum number of causes that ``build`` keeps.
        requests: the number of requests to which each objective applies, in
            the order of ``OBJECTIVES``, by service and organisation.
        bad: the number of requests that missed each objective, likewise.
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
            totals = sums.setdefault(key, [0] * len(OBJECTIVES))
            for index, value in enumerate(values[: len(OBJECTIVES)]):
                totals[index] += value

    def add_cause(self, row: CauseRow) -> None:
        """Adds a cause. Ids that are added later count as newer."""
        key = row.service, row.organisation, row.objective, row.cause
        if key not in self._causes and len(self._causes) >= MAX_DISTINCT_CAUSES:
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

    def iterate_causes(self) -> Iterable[CauseRow]:
        """Yields up to ``max_causes`` causes, the most frequent first."""
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
        """Returns the sums as the counts of ``minute``."""
        rows = tuple(
            Row(
                service=key[0],
                organisation=key[1],
                requests=tuple(self.requests[key]),
                bad=tuple(self.bad[key]),
            )
            for key in sorted(self.requests)
        )
        causes = tuple(self.iterate_causes())
        return Counts(minute=minute, rows=rows, causes=causes)


def split_counts(counts: Counts) -> Iterator[Counts]:
    """Yields the causes as one chunk, then the rows in chunks."""
    yield Counts(minute=counts.minute, causes=counts.causes)
    for start in range(0, len(counts.rows), MAX_ROWS_PER_CHUNK):
        rows = counts.rows[start : start + MAX_ROWS_PER_CHUNK]
        yield Counts(minute=counts.minute, rows=rows)


def compute_epoch_minute(time: datetime) -> int:
    """Converts a wall-clock time to minutes since the Unix epoch."""
    return int(time.timestamp()) // MINUTE_SECONDS


def encode(value: msgspec.Struct) -> bytes:
    """Encodes a part or a record as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(value))


def decode(body: bytes, kind: type[S]) -> S:
    """Decodes the result of ``encode``.

    Raises:
        BurnRecordError: the bytes are not valid or decode to more than
            ``MAX_DECODED_BYTES``.
    """
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(body, MAX_DECODED_BYTES)
        if decompressor.unconsumed_tail:
            raise BurnRecordError(
                f"decoded counts exceed {MAX_DECODED_BYTES} bytes"
            )
        return msgspec.msgpack.decode(decompressed, type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise BurnRecordError(f"invalid counts: {error}") from error
