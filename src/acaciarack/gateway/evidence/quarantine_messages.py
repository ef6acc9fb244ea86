"""What heartbeats tell about requests that crash targets."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from acaciarack.gateway.evidence.fingerprints import (
    FINGERPRINT_BYTES,
    Fingerprint,
    Fingerprints,
)
from acaciarack.gateway.message_fields import to_int
from acaciarack.gateway.targets.lifetimes import TargetLifetime

# These bound memory and heartbeats, whatever callers and targets do.
MAX_RUNS_PER_CRASH = 24
MAX_FINGERPRINTS_PER_RUN = 8
_MILLISECOND = timedelta(milliseconds=1)
_MAX_TRIALS = 100
"""More than the trials of a quarantine can be."""
_MAX_AGE_MS = 86_400_000
"""More than any age that matters, and far below what a ``timedelta`` holds."""


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """A crash, with the fingerprints of each run that may have caused it.

    Attributes:
        target: the target that crashed.
        age: the time since the crash.
        runs: the fingerprints of each run that the target had just begun.
    """

    target: TargetLifetime
    age: timedelta
    runs: tuple[Fingerprints, ...]


@dataclass(frozen=True, kw_only=True)
class Quarantine:
    """Fingerprints whose requests are refused.

    Attributes:
        fingerprints: a request is refused if it has all of them.
        target: the last target that they crashed.
        age: the time since that crash.
        trials: how many requests were let through since as a trial.
        trial_age: the time since the last of them.
    """

    fingerprints: Fingerprints
    target: TargetLifetime
    age: timedelta
    trials: int = 0
    trial_age: timedelta = timedelta(0)


@dataclass(frozen=True, kw_only=True)
class SoundProof:
    """A fingerprint that a target has answered.

    Attributes:
        fingerprint: the fingerprint.
        age: the time since the response.
    """

    fingerprint: Fingerprint
    age: timedelta


@dataclass(frozen=True, kw_only=True)
class QuarantineNews:
    """What a node tells its peers about fingerprints."""

    crashes: tuple[CrashReport, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    proofs: tuple[SoundProof, ...] = ()


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
                quarantine.trials,
                quarantine.trial_age // _MILLISECOND,
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
                target=TargetLifetime(id=str(target_id), born=to_int(born)),
                age=decode_age(age),
                runs=tuple(
                    map(_decode_fingerprints, runs[:MAX_RUNS_PER_CRASH])
                ),
            )
            for target_id, born, age, runs in crashes
        ),
        quarantines=tuple(
            Quarantine(
                target=TargetLifetime(id=str(target_id), born=to_int(born)),
                age=decode_age(age),
                trials=_decode_count(trials),
                trial_age=decode_age(trial_age),
                fingerprints=_decode_fingerprints(fingerprints),
            )
            for (
                target_id,
                born,
                age,
                trials,
                trial_age,
                fingerprints,
            ) in quarantines
        ),
        proofs=tuple(
            SoundProof(
                age=decode_age(age), fingerprint=decode_fingerprint(segment)
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


def _decode_count(count: Any) -> int:
    if not 0 <= int(count) <= _MAX_TRIALS:
        raise ValueError(f"{count} trials")
    return int(count)


def _decode_fingerprints(digests: Any) -> Fingerprints:
    if not 0 < len(digests) <= MAX_FINGERPRINTS_PER_RUN:
        raise ValueError(f"a run with {len(digests)} fingerprints")
    return frozenset(map(decode_fingerprint, digests))


def decode_fingerprint(digest: Any) -> Fingerprint:
    """Returns a fingerprint.

    Raises:
        ValueError: the value is not one.
    """
    if not isinstance(digest, bytes) or len(digest) != FINGERPRINT_BYTES:
        raise ValueError("invalid fingerprint")
    return digest
