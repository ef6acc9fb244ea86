"""Encodes what heartbeats tell about harmful prompt segments."""

from datetime import timedelta
from typing import Any

from acaciarack.gateway.lifetimes import TargetLifetime
from acaciarack.gateway.prompt_quarantine import (
    DIGEST_BYTES,
    MAX_RUNS_PER_CRASH,
    MAX_SEGMENTS_PER_RUN,
    CrashReport,
    Quarantine,
    QuarantineNews,
    Segments,
    SoundProof,
)

_MILLISECOND = timedelta(milliseconds=1)
_MAX_AGE_MS = 86_400_000
"""More than any age that matters, and far below what a ``timedelta`` holds."""


def encode_quarantine_news(news: QuarantineNews) -> list[Any]:
    """Returns the news as lists for msgpack, with ages in milliseconds."""
    return [
        [
            [
                report.target.id,
                report.target.born,
                report.age // _MILLISECOND,
                [sorted(run) for run in report.runs],
            ]
            for report in news.crashes
        ],
        [
            [
                quarantine.target.id,
                quarantine.target.born,
                quarantine.age // _MILLISECOND,
                sorted(quarantine.segments),
            ]
            for quarantine in news.quarantines
        ],
        [[proof.age // _MILLISECOND, proof.segment] for proof in news.proofs],
    ]


def decode_quarantine_news(document: Any) -> QuarantineNews:
    """Decodes the news from lists.

    Raises:
        ValueError: the lists are invalid.
        TypeError: an item has the wrong type.
    """
    crashes, quarantines, proofs = document
    return QuarantineNews(
        crashes=tuple(
            CrashReport(
                target=TargetLifetime(id=str(target_id), born=int(born)),
                age=decode_age(age),
                runs=tuple(map(_decode_segments, runs[:MAX_RUNS_PER_CRASH])),
            )
            for target_id, born, age, runs in crashes
        ),
        quarantines=tuple(
            Quarantine(
                target=TargetLifetime(id=str(target_id), born=int(born)),
                age=decode_age(age),
                segments=_decode_segments(segments),
            )
            for target_id, born, age, segments in quarantines
        ),
        proofs=tuple(
            SoundProof(age=decode_age(age), segment=_decode_segment(segment))
            for age, segment in proofs
        ),
    )


def decode_age(milliseconds: Any) -> timedelta:
    """Returns an age of at least zero and at most a day.

    Raises:
        ValueError: the value is no finite number.
        TypeError: the value is no number.
    """
    try:
        return min(max(0, int(milliseconds)), _MAX_AGE_MS) * _MILLISECOND
    except OverflowError as error:
        raise ValueError(f"invalid age {milliseconds}") from error


def _decode_segments(digests: Any) -> Segments:
    if not 0 < len(digests) <= MAX_SEGMENTS_PER_RUN:
        raise ValueError(f"a run with {len(digests)} segments")
    return frozenset(map(_decode_segment, digests))


def _decode_segment(digest: Any) -> bytes:
    if not isinstance(digest, bytes) or len(digest) != DIGEST_BYTES:
        raise ValueError("invalid digest of a prompt segment")
    return digest
