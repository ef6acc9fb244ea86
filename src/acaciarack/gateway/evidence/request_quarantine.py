"""Quarantines requests that crash the targets which run them.

A target that crashes ends all its runs. Only the runs that it had just begun
can have caused the crash, so what they have in common with other lost runs is
the evidence: their *fingerprints*, such as that of a segment of a prompt. The
nodes tell each other of crashes, and each node applies the same rules to them:

- A fingerprint that occurs in several crashes, without a response in between
  that proves it sound, is quarantined. Requests with it are refused. Of several
  such fingerprints, those in the fewest runs are quarantined, since the others
  also occur in runs that were lost with the harmful ones.
- A crash that a quarantine explains is no evidence against other fingerprints.
- Fingerprints that occurred only together are quarantined together: a request
  is refused if it has all of them.
- A response to a request proves its fingerprints sound. The proof is broadcast
  if a peer suspects one of them.
- Single requests are let through as trials, so that a wrong verdict ends.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import logbook
from cachetools import LRUCache

from acaciarack.clock import Clock
from acaciarack.gateway.evidence.fingerprints import Fingerprint, Fingerprints
from acaciarack.gateway.evidence.quarantine_messages import (
    MAX_FINGERPRINTS_PER_RUN,
    MAX_RUNS_PER_CRASH,
    CrashReport,
    Quarantine,
    QuarantineNews,
    SoundProof,
)
from acaciarack.gateway.evidence.quarantine_trials import (
    TRIAL_DELAY,
    Trials,
    TrialSchedule,
)
from acaciarack.gateway.targets.lifetimes import TargetLifetime

CRASH_THRESHOLD = 3
"""Number of crashes that quarantines a fingerprint never proven sound. One
crash may have any cause, and two may coincide with the same rare fingerprint by
chance."""
RELAPSE_THRESHOLD = 6
"""The same for a fingerprint that was proven sound before. Such a one is more
likely to accompany the cause than to have become it."""
RELAPSE_TIME = timedelta(seconds=10)
"""Time since the last proof after which such a fingerprint can be quarantined.
If many targets crash at once, the ones that are left prove it sound
meanwhile."""
SETTLE_TIME = timedelta(milliseconds=400)
"""Time after a crash until it is evidence. By then the nodes that had runs on
the target have checked it, which takes 350 ms if it is silent, and reported."""
QUARANTINE_TIME = timedelta(minutes=5)
"""How long fingerprints are quarantined after the last crash. After that a
request is let through, and another crash quarantines them again."""
EVIDENCE_TIME = timedelta(minutes=10)
"""How long crashes count. Longer than the quarantine, so that one more crash
after it is enough."""
REPORT_TIME = timedelta(seconds=3)
"""How long heartbeats carry a crash or a proof. Several heartbeats are sent in
this time, so the loss of one does no harm."""
MIN_AGE_DIFFERENCE = timedelta(seconds=2)
"""By how much a peer's evidence must be newer to replace this node's. Ages vary
by the delays of the heartbeats that carried them."""
# These bound memory and heartbeats, whatever callers and targets do.
MAX_CRASHES = 32
MAX_QUARANTINES = 8
MAX_SOUND_FINGERPRINTS = 4096
MAX_SENT_CRASHES = 3
MAX_SENT_FINGERPRINTS = 24
"""Limit of a crash in a heartbeat. A call has one, a generation up to eight."""
MAX_SENT_QUARANTINES = 4
MAX_SENT_PROOFS = 8

_log = logbook.Logger("acaciarack.gateway.quarantine")


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """Why requests are refused.

    Attributes:
        quarantined: the fingerprints that they have.
        time_left: how long they are still refused.
        is_trial_due: whether one of them may be let through as a trial.
    """

    quarantined: Fingerprints
    time_left: timedelta
    is_trial_due: bool


@dataclass(kw_only=True)
class _Crash:
    """A crash that this node knows of.

    Attributes:
        time: the elapsed time of the crash.
        runs: the fingerprints of each run that may have caused it.
        is_own: whether this node has seen it; only such ones are broadcast.
    """

    time: timedelta
    runs: set[Fingerprints] = field(default_factory=set)
    is_own: bool = False


@dataclass(frozen=True, kw_only=True)
class _Evidence:
    """A crash that counts against fingerprints, with its elapsed time."""

    target: TargetLifetime
    time: timedelta


@dataclass(frozen=True, kw_only=True)
class _Announcement:
    """The newest announcement of a proof, by this node or by a peer."""

    time: timedelta
    is_own: bool


class RequestQuarantine:
    """The crashes, proofs and quarantines that this node knows of."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashes: dict[TargetLifetime, _Crash] = {}
        self._quarantined: dict[Fingerprints, _Evidence] = {}
        self._trials = TrialSchedule(clock=clock)
        # By fingerprint: the elapsed time of the newest response to it.
        self._sound: LRUCache[Fingerprint, timedelta] = LRUCache(
            MAX_SOUND_FINGERPRINTS
        )
        self._answered_here: LRUCache[Fingerprint, timedelta] = LRUCache(
            MAX_SOUND_FINGERPRINTS
        )
        self._announcements: dict[Fingerprint, _Announcement] = {}
        # When evidence that has not been judged is settled.
        self._judge_at: timedelta | None = None
        self._notify: Callable[[], None] = lambda: None

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Sets what is called when peers should hear of something at once."""
        self._notify = notify

    def find_verdict(self, fingerprints: Fingerprints) -> Verdict | None:
        """Returns why requests with fingerprints are refused, if they are."""
        self._judge_if_due()
        now = self._clock.elapsed()
        ends = {
            quarantined: evidence.time + QUARANTINE_TIME
            for quarantined, evidence in self._quarantined.items()
            if quarantined <= fingerprints
            and now < evidence.time + QUARANTINE_TIME
        }
        if not ends:
            return None
        quarantined = max(ends, key=lambda key: ends[key])
        return Verdict(
            quarantined=quarantined,
            time_left=ends[quarantined] - now,
            is_trial_due=self._may_try(
                quarantined,
                others=fingerprints - quarantined,
                is_only_one=len(ends) == 1,
            ),
        )

    def grant_trial(self, quarantined: Fingerprints) -> bool:
        """Decides for the fleet whether a request is let through as a trial.

        Only one node at a time decides this for a service.

        Args:
            quarantined: the fingerprints in quarantine.
        """
        evidence = self._quarantined.get(quarantined)
        if evidence is None or not self._is_trial_due(quarantined):
            return False
        self._trials.begin(quarantined)
        _log.info(
            "trial of a quarantine",
            extra={
                "fingerprints": _format(quarantined),
                "trials": self._trials.get(quarantined).count,
            },
        )
        self._notify()
        return True

    def _may_try(
        self,
        quarantined: Fingerprints,
        *,
        others: Fingerprints,
        is_only_one: bool,
    ) -> bool:
        """Returns whether a request fits as a trial.

        Prefers one without another quarantine or suspect, whose crash would not
        be evidence against the quarantined fingerprints. Such a one may never
        come, so any request will do after some time.
        """
        if not self._is_trial_due(quarantined):
            return False
        is_clear = is_only_one and not any(map(self._is_suspect, others))
        return is_clear or self._is_trial_due(quarantined, delay=TRIAL_DELAY)

    def _is_trial_due(
        self, quarantined: Fingerprints, *, delay: timedelta = timedelta(0)
    ) -> bool:
        due = self._trials.get_due_time(
            quarantined, last_crash=self._quarantined[quarantined].time
        )
        return self._clock.elapsed() >= due + delay

    def _is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a crash has not been followed by a proof."""
        return any(
            self._sound.get(fingerprint, crash.time) <= crash.time
            for crash in self._crashes.values()
            if any(fingerprint in run for run in crash.runs)
        )

    def record_answer(self, fingerprints: Fingerprints) -> None:
        """Records that a target has answered a request without a crash."""
        now = self._clock.elapsed()
        for fingerprint in fingerprints:
            self._answered_here[fingerprint] = now
            if self._mark_sound(fingerprint, now):
                # Peers may still refuse requests with the fingerprint.
                self._announce(fingerprint)
                self._notify()

    def record_crash(
        self, target: TargetLifetime, lost: Iterable[Fingerprints]
    ) -> None:
        """Records a crash that this node has seen.

        Args:
            target: the target that crashed.
            lost: the fingerprints of each run that it had just begun.
        """
        runs = set(map(self._select_suspects, lost))
        runs.discard(frozenset())
        if not runs:
            return
        self._add_crash(target, self._clock.elapsed(), runs)
        self._crashes[target].is_own = True
        self._notify()

    def merge(self, news: QuarantineNews, origin: str) -> None:
        """Merges what a peer knows.

        Args:
            news: what the peer has sent.
            origin: the name of the peer.
        """
        now = self._clock.elapsed()
        for proof in news.proofs:
            self._announcements[proof.fingerprint] = _Announcement(
                time=now, is_own=False
            )
            self._mark_sound(proof.fingerprint, now - proof.age)
        for report in news.crashes:
            self._add_crash(report.target, now - report.age, set(report.runs))
            for fingerprints in report.runs:
                self._announce_proofs(fingerprints)
        for quarantine in news.quarantines:
            self._merge_quarantine(quarantine, origin)

    def list_for_broadcast(
        self, *, with_quarantines: bool = True
    ) -> QuarantineNews:
        """Returns what a heartbeat tells peers."""
        self._judge_if_due()
        self._expire()
        now = self._clock.elapsed()
        crashes = [
            CrashReport(
                target=target,
                age=now - crash.time,
                runs=tuple(self._select_sent_runs(crash.runs)),
            )
            for target, crash in self._crashes.items()
            if crash.is_own and now - crash.time < REPORT_TIME
        ]
        quarantines = sorted(
            (
                Quarantine(
                    fingerprints=fingerprints,
                    target=evidence.target,
                    age=now - evidence.time,
                    trials=self._trials.get(fingerprints).count,
                    trial_age=self._trials.get_age(fingerprints),
                )
                for fingerprints, evidence in self._quarantined.items()
            ),
            key=lambda quarantine: quarantine.age,
        )
        proofs = [
            SoundProof(
                fingerprint=fingerprint, age=now - self._sound[fingerprint]
            )
            for fingerprint, announcement in self._announcements.items()
            if announcement.is_own and fingerprint in self._sound
        ]
        return QuarantineNews(
            crashes=tuple(crashes[-MAX_SENT_CRASHES:]),
            quarantines=tuple(quarantines[:MAX_SENT_QUARANTINES])
            if with_quarantines
            else (),
            proofs=tuple(proofs[-MAX_SENT_PROOFS:]),
        )

    def _select_suspects(self, run: Fingerprints) -> Fingerprints:
        """Returns the fingerprints of a run that may have caused a crash.

        Leaves out those proven sound, unless all of them are.
        """
        suspects = [f for f in run if f not in self._sound]
        return frozenset(sorted(suspects or run)[:MAX_FINGERPRINTS_PER_RUN])

    def _select_sent_runs(
        self, runs: set[Fingerprints]
    ) -> Iterator[Fingerprints]:
        """Yields the runs of a crash that peers hear of.

        Those in other crashes too come first.
        """
        crash_counts: Counter[Fingerprints] = Counter(
            run for crash in self._crashes.values() for run in crash.runs
        )
        room = MAX_SENT_FINGERPRINTS
        for run in sorted(runs, key=lambda r: (-crash_counts[r], sorted(r))):
            room -= len(run)
            if room >= 0:
                yield run

    def _add_crash(
        self, target: TargetLifetime, time: timedelta, runs: set[Fingerprints]
    ) -> None:
        crash = self._crashes.setdefault(target, _Crash(time=time))
        if runs <= crash.runs:
            return
        crash.runs.update(runs)
        while len(crash.runs) > MAX_RUNS_PER_CRASH:
            crash.runs.pop()
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        if self._judge_at is None:
            self._judge_at = self._clock.elapsed() + SETTLE_TIME

    def _mark_sound(self, fingerprint: Fingerprint, time: timedelta) -> bool:
        """Records a proof; returns whether it ends a quarantine."""
        self._sound[fingerprint] = max(time, self._sound.get(fingerprint, time))
        refuted = [
            fingerprints
            for fingerprints, evidence in self._quarantined.items()
            if fingerprint in fingerprints
            and evidence.time - time < RELAPSE_TIME
        ]
        for fingerprints in refuted:
            evidence = self._quarantined.pop(fingerprints)
            rest = fingerprints - {fingerprint}
            if rest:
                self._quarantined.setdefault(rest, evidence)
            _log.info(
                "quarantine refuted",
                extra={
                    "fingerprints": _format(fingerprints),
                    "outcome": "narrowed" if rest else "ended",
                },
            )
        if refuted:
            # The crashes that they explained are evidence against others.
            self._judge_at = self._clock.elapsed()
        return bool(refuted)

    def _announce_proofs(self, fingerprints: Fingerprints) -> None:
        """Announces the suspects that this node knows to be sound.

        Does not repeat what a node has announced lately.
        """
        for fingerprint in fingerprints:
            if (
                fingerprint in self._answered_here
                and fingerprint not in self._announcements
            ):
                self._announce(fingerprint)
                self._notify()

    def _announce(self, fingerprint: Fingerprint) -> None:
        self._announcements[fingerprint] = _Announcement(
            time=self._clock.elapsed(), is_own=True
        )

    def _merge_quarantine(self, quarantine: Quarantine, origin: str) -> None:
        if quarantine.age >= QUARANTINE_TIME:
            return
        self._announce_proofs(quarantine.fingerprints)
        evidence = _Evidence(
            target=quarantine.target,
            time=self._clock.elapsed() - quarantine.age,
        )
        fingerprints = frozenset(
            fingerprint
            for fingerprint in quarantine.fingerprints
            if fingerprint not in self._sound
            or evidence.time - self._sound[fingerprint] >= RELAPSE_TIME
        )
        if fingerprints and not any(
            known <= fingerprints and not _is_newer(evidence, known_evidence)
            for known, known_evidence in self._quarantined.items()
        ):
            self._quarantine(fingerprints, evidence, origin)
        if quarantine.trials and quarantine.fingerprints in self._quarantined:
            self._trials.merge(
                quarantine.fingerprints,
                Trials(
                    count=quarantine.trials,
                    time=self._clock.elapsed() - quarantine.trial_age,
                ),
            )

    def _judge_if_due(self) -> None:
        now = self._clock.elapsed()
        if self._judge_at is None or now < self._judge_at:
            return
        self._expire()
        self._judge()
        unsettled = [
            crash.time + SETTLE_TIME
            for crash in self._crashes.values()
            if now - crash.time < SETTLE_TIME
        ]
        self._judge_at = min(unsettled, default=None)

    def _judge(self) -> None:
        """Quarantines fingerprints that the crashes are evidence against."""
        self._renew_quarantines()
        # Evidence against more than are kept must not loop forever.
        for _ in range(MAX_QUARANTINES):
            runs = list(self._list_unexplained_runs())
            crashes: dict[Fingerprint, set[_Evidence]] = {}
            run_counts: Counter[Fingerprint] = Counter()
            for evidence, run in runs:
                run_counts.update(run)
                for fingerprint in run:
                    crashes.setdefault(fingerprint, set()).add(evidence)
            harmful = [
                fingerprint
                for fingerprint, found in crashes.items()
                if self._is_harmful(fingerprint, found)
            ]
            if not harmful:
                return
            rank = min(self._rank(f, run_counts) for f in harmful)
            for fingerprint in harmful:
                if self._rank(fingerprint, run_counts) != rank:
                    continue
                # Fingerprints that occurred only together cannot be told apart.
                common = frozenset.intersection(
                    *(run for _, run in runs if fingerprint in run)
                )
                companions = {f for f in common if f not in self._sound}
                self._quarantine(
                    frozenset({fingerprint, *companions}),
                    max(crashes[fingerprint], key=lambda e: e.time),
                    "",
                )

    def _rank(
        self, fingerprint: Fingerprint, run_counts: Counter[Fingerprint]
    ) -> tuple[bool, int]:
        """Returns the rank of a suspect; the lowest ones are quarantined.

        If several have the lowest rank, a trial shows which of them are sound.
        """
        return fingerprint in self._sound, run_counts[fingerprint]

    def _renew_quarantines(self) -> None:
        """Dates each quarantine from the last crash that it explains."""
        for evidence, crash in self._list_settled_crashes():
            for fingerprints in self._list_explanations(crash):
                if evidence.time > self._quarantined[fingerprints].time:
                    self._quarantined[fingerprints] = evidence

    def _list_unexplained_runs(
        self,
    ) -> Iterator[tuple[_Evidence, Fingerprints]]:
        """Yields the suspects in each run that may show a new culprit.

        These are the runs of settled crashes that no quarantine explains. A
        response after the crash clears a suspect.
        """
        for evidence, crash in self._list_settled_crashes():
            if self._list_explanations(crash):
                continue
            for run in crash.runs:
                suspects = frozenset(
                    fingerprint
                    for fingerprint in run
                    if self._sound.get(fingerprint, crash.time) <= crash.time
                )
                yield evidence, suspects

    def _list_settled_crashes(self) -> Iterator[tuple[_Evidence, _Crash]]:
        now = self._clock.elapsed()
        for target, crash in self._crashes.items():
            if now - crash.time >= SETTLE_TIME:
                yield _Evidence(target=target, time=crash.time), crash

    def _list_explanations(self, crash: _Crash) -> list[Fingerprints]:
        """Returns the quarantined fingerprints that one of the runs had."""
        return [
            fingerprints
            for fingerprints in self._quarantined
            if any(fingerprints <= run for run in crash.runs)
        ]

    def _is_harmful(
        self, fingerprint: Fingerprint, crashes: set[_Evidence]
    ) -> bool:
        """Returns whether crashes are enough evidence against a fingerprint."""
        last_time = max(evidence.time for evidence in crashes)
        if self._clock.elapsed() - last_time >= QUARANTINE_TIME:
            return False
        proven_at = self._sound.get(fingerprint)
        if proven_at is None:
            return len(crashes) >= CRASH_THRESHOLD
        return (
            len(crashes) >= RELAPSE_THRESHOLD
            and last_time - proven_at >= RELAPSE_TIME
        )

    def _quarantine(
        self, fingerprints: Fingerprints, evidence: _Evidence, origin: str
    ) -> None:
        is_new = fingerprints not in self._quarantined
        # A smaller set refuses all that a larger one does.
        for known in [k for k in self._quarantined if fingerprints < k]:
            del self._quarantined[known]
        self._quarantined[fingerprints] = evidence
        while len(self._quarantined) > MAX_QUARANTINES:
            oldest = min(
                self._quarantined, key=lambda s: self._quarantined[s].time
            )
            del self._quarantined[oldest]
        if is_new:
            _log.warning(
                "requests quarantined",
                extra={
                    "fingerprints": _format(fingerprints),
                    "target": evidence.target.id,
                    "kind": origin or "own evidence",
                },
            )

    def _expire(self) -> None:
        now = self._clock.elapsed()
        self._crashes = {
            target: crash
            for target, crash in self._crashes.items()
            if now - crash.time < EVIDENCE_TIME
        }
        self._announcements = {
            fingerprint: announcement
            for fingerprint, announcement in self._announcements.items()
            if now - announcement.time < REPORT_TIME
        }
        for fingerprints, evidence in list(self._quarantined.items()):
            if now - evidence.time >= QUARANTINE_TIME:
                del self._quarantined[fingerprints]
                _log.info(
                    "quarantine expired",
                    extra={"fingerprints": _format(fingerprints)},
                )
        self._trials.retain(self._quarantined)


def _is_newer(evidence: _Evidence, known: _Evidence) -> bool:
    """Returns whether evidence of a peer is newer than that of this node."""
    return (
        evidence.target != known.target
        and evidence.time - known.time >= MIN_AGE_DIFFERENCE
    )


def _format(fingerprints: Fingerprints) -> list[str]:
    return sorted(fingerprint.hex() for fingerprint in fingerprints)
