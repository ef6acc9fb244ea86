"""Keeps the places of refused callers that come back when they were told to.

A refused caller would lose its place to callers that arrived later. So the
refusal names a time, and a caller that returns then has the place of its first
arrival. The times of several refusals are spread over the places that become
free, so that the callers do not all come back at once.

Tickets are soft state of one scheduler. A caller that comes back to another one
queues as a new one.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway.evidence.fingerprints import Fingerprint
from acaciarack.problems import RETRY_JITTER

GRACE = timedelta(seconds=1)
"""How long after the named time a ticket is kept."""
EARLY_TOLERANCE = timedelta(milliseconds=20)
"""How long before the named time a caller may return. Times between nodes are
rounded to milliseconds, and answers take some to arrive."""
MAX_TICKETS = 2048
"""Maximum number of tickets: those of 18 s at 110 refusals per second."""

_Key = tuple[str, str, Fingerprint]


@dataclass(frozen=True, kw_only=True)
class _Ticket:
    """The place of a refused caller.

    Attributes:
        arrived: the elapsed time of its first arrival.
        due: the elapsed time at which it may come back.
        expires: the elapsed time until which it is kept.
    """

    arrived: timedelta
    due: timedelta
    expires: timedelta


class Tickets:
    """Keeps the tickets of refused callers.

    A caller is known by its service, its organisation and the fingerprint of
    its request. Callers without an organisation or a fingerprint get no ticket.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # The ticket that was issued or renewed last is at the end.
        self._tickets: OrderedDict[_Key, _Ticket] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def redeem(
        self,
        service: str,
        organisation: str,
        fingerprint: Fingerprint,
        arrived: timedelta,
    ) -> timedelta:
        """Returns the arrival that counts for a caller.

        A caller that returns early keeps its ticket, and queues as a new one.

        Args:
            service: the service.
            organisation: the caller's organisation.
            fingerprint: the fingerprint of the request.
            arrived: the elapsed time of this arrival.
        """
        key = (service, organisation, fingerprint)
        ticket = self._tickets.get(key)
        if ticket is None or arrived < ticket.due - EARLY_TOLERANCE:
            return arrived
        del self._tickets[key]
        return arrived if arrived > ticket.expires else ticket.arrived

    def issue(
        self,
        service: str,
        organisation: str,
        fingerprint: Fingerprint,
        *,
        arrived: timedelta,
        retry_after: timedelta,
    ) -> None:
        """Keeps the place of a refused caller.

        A caller that was refused again keeps the place of its first arrival,
        but has to come back at the later time.
        """
        if not organisation or not fingerprint:
            return
        self._remove_expired()
        key = (service, organisation, fingerprint)
        now = self._clock.elapsed()
        due = now + retry_after
        # The caller's node lengthens the time at random.
        expires = now + retry_after * (1 + RETRY_JITTER) + GRACE
        ticket = self._tickets.pop(key, None)
        if ticket is not None:
            arrived = min(arrived, ticket.arrived)
            due = max(due, ticket.due)
            expires = max(expires, ticket.expires)
        elif len(self._tickets) >= MAX_TICKETS:
            self._tickets.popitem(last=False)
        self._tickets[key] = _Ticket(arrived=arrived, due=due, expires=expires)

    def count_due(self, service: str) -> int:
        """Returns the number of callers that have yet to come back."""
        self._remove_expired()
        now = self._clock.elapsed()
        return sum(
            key[0] == service and ticket.due >= now
            for key, ticket in self._tickets.items()
        )

    def _remove_expired(self) -> None:
        """Removes tickets that are over, from the oldest one on."""
        now = self._clock.elapsed()
        while self._tickets:
            key, ticket = next(iter(self._tickets.items()))
            if ticket.expires >= now:
                return
            del self._tickets[key]
