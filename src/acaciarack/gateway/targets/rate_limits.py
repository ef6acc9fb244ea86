"""Keeps to the request rates that targets in need name in their answers.

A limit holds for all nodes together. The nodes tell each other of it, and the
scheduler of the service hands out its requests one by one, so that no share has
to be divided among nodes. A scheduler that takes over starts without tokens.

A limit ends when a later request gets an answer that names none, or with the
target. A limited target therefore gets a request now and then.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

import logbook

from acaciarack.clock import Clock
from acaciarack.gateway.targets.lifetimes import TargetLifetime

BROADCAST_TIME = timedelta(seconds=15)
"""How long heartbeats carry what an answer said. It covers the longest interval
between two heartbeats of a fleet of 330 nodes."""
MAX_SENT_LIMITS = 8
MAX_LIMITS = 256
"""Largest number of targets whose limits are kept. Those observed longest ago
are dropped first."""
MIN_RATE = 0.2
"""Requests per second that a target gets at least, so that the end of its limit
is noticed. The platform tolerates 5 in 4 s."""
MAX_BURST_SECONDS = 0.5
"""Unused requests are kept for this time, but at least one is kept."""
MAX_DEFERRAL = timedelta(seconds=10)
"""Longest time after which a refused caller is asked to come back."""
REFRESH_TIME = timedelta(seconds=2)
"""Age of the newest answer of a limited target at which its scheduler sends it
a request to learn whether the limit still holds."""
SIGNIFICANT_CHANGE = 0.1
"""Relative change of a limit of which peers are told at once."""

_log = logbook.Logger("acaciarack.gateway.limits")


@dataclass(frozen=True, kw_only=True)
class RateNotice:
    """What an answer said about its target's limit.

    Attributes:
        target: the target.
        rate: requests per second for all nodes together; ``None`` if the target
            does not limit them.
        age: the time since the request was sent.
        burst: how many requests may be sent at once; ``None`` for the default.
    """

    target: TargetLifetime
    rate: float | None
    age: timedelta
    burst: float | None = None


@dataclass(kw_only=True)
class _Limit:
    """The newest notice of a target, and its token bucket.

    Attributes:
        rate: as in ``RateNotice``.
        observed_at: the elapsed time at which the request was sent.
        is_own: whether this node got the answer.
        burst: as in ``RateNotice``.
        tokens: the requests that may be sent now.
        refilled_at: the elapsed time of ``tokens``.
    """

    rate: float | None
    observed_at: timedelta
    is_own: bool
    burst: float | None = None
    tokens: float = 0.0
    refilled_at: timedelta = timedelta(0)


class RateLimits:
    """The limits of targets, and the requests that they still allow."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[TargetLifetime, _Limit] = {}
        # By service: the refused requests that were asked to come back.
        self._deferred: dict[str, tuple[float, timedelta]] = {}
        self._notify: Callable[[], None] = lambda: None

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Sets what is called when peers should hear of a limit at once."""
        self._notify = notify

    def observe(
        self,
        target: TargetLifetime,
        rate: float | None,
        sent_at: timedelta,
        *,
        burst: float | None = None,
    ) -> None:
        """Records what an answer to this node said.

        Args:
            target: the target.
            rate: requests per second; ``None`` if it named no limit.
            sent_at: the elapsed time at which the request was sent.
            burst: how many requests may be sent at once; ``None`` for those of
                ``MAX_BURST_SECONDS``.
        """
        known = self._limits.get(target)
        if known is None and rate is None:
            return
        known_rate = None if known is None else known.rate
        if self._put(
            target, rate, sent_at, is_own=True, burst=burst
        ) and _differs(rate, known_rate):
            _log.info(
                "target named its limit" if rate is not None else "limit ended",
                extra={
                    "target": target.id,
                    "requests_per_second": -1.0 if rate is None else rate,
                },
            )
            self._notify()

    def merge(self, notices: Iterable[RateNotice]) -> None:
        """Merges what answers to a peer said."""
        now = self._clock.elapsed()
        for notice in notices:
            self._put(
                notice.target,
                notice.rate,
                now - notice.age,
                is_own=False,
                burst=notice.burst,
            )

    def list_for_broadcast(self) -> tuple[RateNotice, ...]:
        """Returns what heartbeats tell peers: the newest own notices."""
        now = self._clock.elapsed()
        own = [
            RateNotice(
                target=target,
                rate=limit.rate,
                age=now - limit.observed_at,
                burst=limit.burst,
            )
            for target, limit in self._limits.items()
            if limit.is_own and now - limit.observed_at < BROADCAST_TIME
        ]
        own.sort(key=lambda notice: notice.age)
        return tuple(own[:MAX_SENT_LIMITS])

    def has_notices(self) -> bool:
        """Returns whether any target has ever named a limit."""
        return bool(self._limits)

    def is_limited(self, target: TargetLifetime) -> bool:
        """Returns whether a target has named a limit that still holds."""
        limit = self._limits.get(target)
        return limit is not None and limit.rate is not None

    def get_rate(self, target: TargetLifetime) -> float | None:
        """Returns the limit of a target; ``None`` if it has none."""
        limit = self._limits.get(target)
        return None if limit is None else limit.rate

    def get_age(self, target: TargetLifetime) -> timedelta:
        """Returns the age of the newest notice of a limited target."""
        return self._clock.elapsed() - self._limits[target].observed_at

    def has_token(self, target: TargetLifetime) -> bool:
        """Returns whether a target's limit allows a request now."""
        limit = self._limits.get(target)
        if limit is None or limit.rate is None:
            return True
        self._refill(limit, limit.rate)
        return limit.tokens >= 1

    def take(self, target: TargetLifetime) -> None:
        """Counts a request that is sent to a target."""
        limit = self._limits.get(target)
        if limit is not None and limit.rate is not None:
            self._refill(limit, limit.rate)
            limit.tokens -= 1

    def get_total_rate(self, targets: Iterable[TargetLifetime]) -> float:
        """Returns the requests per second that limited targets take."""
        limits = [self._limits[t] for t in targets if self.is_limited(t)]
        return sum(max(MIN_RATE, limit.rate or 0.0) for limit in limits)

    def defer(
        self, service: str, targets: Collection[TargetLifetime]
    ) -> timedelta:
        """Returns when a refused caller should come back.

        Callers that were refused before come back first, at the rate at which
        the targets take requests.

        Args:
            service: the service.
            targets: its limited targets.
        """
        now = self._clock.elapsed()
        rate = self.get_total_rate(targets)
        if not rate:
            return MAX_DEFERRAL
        count, counted_at = self._deferred.get(service, (0.0, now))
        elapsed = (now - counted_at).total_seconds()
        count = min(
            max(0.0, count - rate * elapsed) + 1,
            rate * MAX_DEFERRAL.total_seconds(),
        )
        self._deferred[service] = (count, now)
        return timedelta(seconds=count / rate)

    def _put(
        self,
        target: TargetLifetime,
        rate: float | None,
        observed_at: timedelta,
        *,
        is_own: bool,
        burst: float | None,
    ) -> bool:
        """Stores a notice; returns whether it is the newest of its target."""
        known = self._limits.get(target)
        now = self._clock.elapsed()
        if known is None:
            self._limits[target] = _Limit(
                rate=rate,
                observed_at=observed_at,
                is_own=is_own,
                burst=burst,
                refilled_at=now,
            )
            self._drop_oldest()
            return True
        if observed_at < known.observed_at:
            return False
        if known.rate is None:
            known.tokens = 0.0
            known.refilled_at = now
        known.rate, known.observed_at, known.is_own = rate, observed_at, is_own
        known.burst = burst
        return True

    def _drop_oldest(self) -> None:
        while len(self._limits) > MAX_LIMITS:
            oldest = min(
                self._limits, key=lambda t: self._limits[t].observed_at
            )
            del self._limits[oldest]

    def _refill(self, limit: _Limit, rate: float) -> None:
        now = self._clock.elapsed()
        rate = max(MIN_RATE, rate)
        elapsed = (now - limit.refilled_at).total_seconds()
        burst = limit.burst or rate * MAX_BURST_SECONDS
        limit.tokens = min(limit.tokens + rate * elapsed, max(1.0, burst))
        limit.refilled_at = now


def _differs(rate: float | None, known: float | None) -> bool:
    """Returns whether peers should hear of a new rate at once."""
    if rate is None or known is None:
        return rate is not known
    return not math.isclose(rate, known, rel_tol=SIGNIFICANT_CHANGE)
