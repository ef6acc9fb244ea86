"""Encodes what heartbeats tell about requests that crash targets."""

from datetime import timedelta
from typing import Any

from acaciarack.gateway.fingerprints import (
    FINGERPRINT_BYTES,
    Fingerprint,
    Fingerprints,
)
from acaciarack.gateway.lifetimes import TargetLifetime
from acaciarack.gateway.request_quarantine import (
    MAX_FINGERPRINTS_PER_RUN,
    MAX_RUNS_PER_CRASH,
    CrashReport,
    Quarantine,
    QuarantineNews,
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
                sorted(quarantine.fingerprints),
            ]
            for quarantine in news.quarantines
        ],
        [
            [proof.age // _MILLISECOND, proof.fingerprint]
            for proof in news.proofs
        ],
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
                runs=tuple(
                    map(_decode_fingerprints, runs[:MAX_RUNS_PER_CRASH])
                ),
            )
            for target_id, born, age, runs in crashes
        ),
        quarantines=tuple(
            Quarantine(
                target=TargetLifetime(id=str(target_id), born=int(born)),
                age=decode_age(age),
                fingerprints=_decode_fingerprints(fingerprints),
            )
            for target_id, born, age, fingerprints in quarantines
        ),
        proofs=tuple(
            SoundProof(
                age=decode_age(age), fingerprint=_decode_fingerprint(segment)
            )
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


def _decode_fingerprints(digests: Any) -> Fingerprints:
    if not 0 < len(digests) <= MAX_FINGERPRINTS_PER_RUN:
        raise ValueError(f"a run with {len(digests)} fingerprints")
    return frozenset(map(_decode_fingerprint, digests))


def _decode_fingerprint(digest: Any) -> Fingerprint:
    if not isinstance(digest, bytes) or len(digest) != FINGERPRINT_BYTES:
        raise ValueError("invalid fingerprint")
    return digest
