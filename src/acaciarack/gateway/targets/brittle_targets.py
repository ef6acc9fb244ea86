"""Request rates for targets that fall over if they reject requests.

A brittle target has to be kept from having to reject any. It names no rate, so
the nodes derive one from its slots and its response times, and treat it like a
limit that the target has named (see ``rate_limits``).
"""

import math
from dataclasses import dataclass
from datetime import timedelta

MAX_UTILIZATION = 0.75
"""Fraction of a target's slots that are used on average. The rest is for calls
that take longer than usual, since few may wait at the target."""
BURST_SLOTS = 0.5
"""Requests that may be sent at once, as a fraction of the slots."""
SMOOTHING = 0.1
"""Weight of the newest response time in the average."""
REJECTION_FACTOR = 0.7
"""Factor of the rate after a rejection."""
RECOVERY_FACTOR = 1.01
"""Factor by which the rate recovers with each answer."""
MIN_FACTOR = 0.2
MAX_DEVIATION = 1.5
"""Ratio of an estimate to the rate in force above which it replaces it. The
estimates of many nodes would otherwise replace each other all the time."""
INITIAL_RESPONSE_TIME = timedelta(milliseconds=100)


@dataclass(kw_only=True)
class BrittleEstimate:
    """What this node knows of one target's capacity.

    Attributes:
        response_time: the average time until its answers.
        factor: how much of the estimated rate is used, by its rejections.
    """

    response_time: timedelta = INITIAL_RESPONSE_TIME
    factor: float = 1.0

    def record_answer(self, response_time: timedelta) -> None:
        """Records that the target ran a request."""
        self.response_time += SMOOTHING * (response_time - self.response_time)
        self.factor = min(1.0, self.factor * RECOVERY_FACTOR)

    def record_rejection(self) -> None:
        """Records that the target had no room for a request."""
        self.factor = max(MIN_FACTOR, self.factor * REJECTION_FACTOR)

    def estimate_rate(self, slots: int, known: float | None) -> float:
        """Returns the requests per second that all nodes may send together.

        Args:
            slots: requests that the target runs at the same time.
            known: the rate in force; ``None`` without one.
        """
        seconds = max(0.001, self.response_time.total_seconds())
        rate = self.factor * MAX_UTILIZATION * slots / seconds
        if known and abs(math.log(rate / known)) < math.log(MAX_DEVIATION):
            return known
        return rate
