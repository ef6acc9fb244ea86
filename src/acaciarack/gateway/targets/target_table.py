"""The state of each target, derived from its record in the platform's store.

A target that announces that it leaves, in its record or in an answer, receives
no new requests until it restarts, whatever later records say. A target whose
record is removed is GONE. A record that names no target is another program's,
and never reaches this table.

A target may reject a request and ask for a pause. Until the pause ends, this
node sends it nothing but a few calls that save running generations.

During and after a store outage, records may expire only because targets could
not renew them. Therefore, a removal that leaves less than half of a service's
targets READY makes its target SUSPECT. A SUSPECT target is used only if no
target is READY. It becomes READY when its record returns, and GONE if the
record does not return within ``RELIST_TIMEOUT``.
"""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.spec import Target
from acaciarack.gateway.targets.brittle_targets import (
    BURST_SLOTS,
    BrittleEstimate,
)
from acaciarack.gateway.targets.client import (
    AnswerNotice,
    NoticeHandler,
    ReportedLoad,
)
from acaciarack.gateway.targets.cold_budgets import ColdBudgets, ColdState
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.pace import TargetPaces
from acaciarack.gateway.targets.rate_limits import RateLimits
from acaciarack.gateway.targets.restrictions import Restrictions
from acaciarack.settings import Address

RELIST_TIMEOUT = timedelta(seconds=2.5)
"""How long after a store outage targets may take to renew their records. The
platform states 2 s; the rest covers the delay until this node reads them."""
_GONE_RETENTION = timedelta(seconds=60)
"""How long a GONE target is kept, for the streams that it still finishes."""

_DROP_WINDOW = timedelta(seconds=5)
"""Removals within this time are attributed to one outage."""
_BROADCAST_TIME = timedelta(seconds=5)
"""How long heartbeats to peers name a target that ``mark_leaving`` has marked.
Several heartbeats are sent in this time, so the loss of one does no harm."""

MAX_PAUSE = timedelta(minutes=5)
"""Longest pause that is accepted. A longer one is shortened, so that a target
with a faulty header returns to use without a restart."""
MAX_CALLS_IN_PAUSE = 2
"""Calls that a target receives during a pause at most. The platform tolerates
two, and a generation on the target would be lost without them."""

_log = logbook.Logger("acaciarack.gateway.roster")


class TargetState(enum.StrEnum):
    """Whether a target receives new requests.

    Attributes:
        READY: it receives new requests.
        SUSPECT: it receives new requests only if no target of its service is
            READY. Its record was removed during or shortly after a store
            outage.
        LEAVING: it shuts down soon and receives no new requests.
        GONE: it receives no new requests, but may still finish running ones.
    """

    READY = "ready"
    SUSPECT = "doubted"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(kw_only=True, eq=False)
class TargetInstance:
    """A target from one start to the next; a restart creates a new instance.

    Attributes:
        target: its newest record.
        target_state: whether it receives new requests.
        changed_at: the elapsed time of the last change of ``target_state``.
        last_seen: the elapsed time at which the newest record arrived.
        leave_event: set when it becomes LEAVING or GONE; replaced when it
            returns from GONE to READY.
        leaving_since: the elapsed time at which it became LEAVING or GONE;
            ``None`` while it is neither.
        stops_at: the elapsed time at which it stops, by its own report;
            ``None`` if it has not said so.
        has_announced_leaving: whether its record, an answer or a report has
            said that it leaves.
        pause_end: the elapsed time until which it wants no requests.
        calls_in_pause: the calls that it received in the current pause.
        reported_load: the load in its newest answer that reports one.
        load_reported_at: the elapsed time at which that answer arrived.
        brittle_estimate: its response times and rejections at this node.
        cold_state: until when it is cold, and the requests granted to it.
    """

    target: Target
    target_state: TargetState
    changed_at: timedelta
    last_seen: timedelta
    leave_event: trio.Event = field(default_factory=trio.Event)
    leaving_since: timedelta | None = None
    stops_at: timedelta | None = None
    has_announced_leaving: bool = False
    pause_end: timedelta = timedelta(0)
    calls_in_pause: int = 0
    reported_load: ReportedLoad | None = None
    load_reported_at: timedelta = timedelta(0)
    brittle_estimate: BrittleEstimate = field(default_factory=BrittleEstimate)
    cold_state: ColdState = field(default_factory=ColdState)


class TargetTable:
    """The newest instance of each target.

    Attributes:
        rate_limits: the limits that targets have named in their answers.
        restrictions: the data centres that requests may reach.
        paces: the paces that targets have told, this node or a peer.
        cold_budgets: the limits of cold targets.
    """

    def __init__(
        self, *, clock: Clock, restrictions: Restrictions | None = None
    ) -> None:
        self._clock = clock
        self.restrictions = restrictions or Restrictions()
        self.restrictions.subscribe(self._log_evacuation)
        self.rate_limits = RateLimits(clock=clock)
        self.paces = TargetPaces(clock=clock)
        self.cold_budgets = ColdBudgets(clock=clock)
        self._instances: dict[str, TargetInstance] = {}
        self._by_address: dict[Address, TargetInstance] = {}
        # By target: the newest record, if it is out of date by its numbers.
        self._outdated: dict[str, Target] = {}
        # By target: the newest record, if it names another service.
        self._contradicting: dict[str, Target] = {}
        self._store_unstable_until = timedelta(0)
        self._marked_at: dict[TargetLifetime, timedelta] = {}

    def mark_store_unstable(self) -> None:
        """Records that the store is unavailable or has just recovered.

        For ``RELIST_TIMEOUT``, ``drop`` may then make targets SUSPECT.
        """
        self._store_unstable_until = self._clock.elapsed() + RELIST_TIMEOUT

    def get(self, target_id: str) -> TargetInstance | None:
        """Returns the newest instance of a target."""
        return self._instances.get(target_id)

    def is_known(self, target: Target) -> bool:
        """Returns whether a record is of a lifetime that this table has."""
        known = self._instances.get(target.id)
        return (
            known is not None
            and _is_same_instance(known.target, target)
            and known.target.service == target.service
        )

    def find_by_address(self, address: Address) -> TargetInstance | None:
        """Returns the newest target that listens on an address."""
        return self._by_address.get(address)

    def list_instances(self, service: str) -> Iterator[TargetInstance]:
        """Returns the targets of a service that are not GONE."""
        for instance in self._instances.values():
            if (
                instance.target.service == service
                and instance.target_state is not TargetState.GONE
            ):
                yield instance

    def list_usable(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> list[TargetInstance]:
        """Returns the targets of a service that may receive new requests.

        Args:
            service: the service.
            regions: the regions that the requests may reach; ``None`` for all.
        """
        instances = list(self.list_instances(service))
        if self.restrictions.evacuated or regions is not None:
            instances = [
                instance
                for instance in instances
                if self.restrictions.allows(instance.target, regions)
            ]
        ready = [
            instance
            for instance in instances
            if instance.target_state is TargetState.READY
        ]
        if ready:
            return ready
        return [
            instance
            for instance in instances
            if instance.target_state is TargetState.SUSPECT
        ]

    def may_receive(
        self, instance: TargetInstance, regions: frozenset[str] | None = None
    ) -> bool:
        """Returns whether a request that was meant for a target may be sent.

        Unlike ``list_usable``, includes SUSPECT targets in any case.
        """
        return instance.target_state in (
            TargetState.READY,
            TargetState.SUSPECT,
        ) and self.restrictions.allows(instance.target, regions)

    def is_restricted(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> bool:
        """Returns whether only restrictions leave a service without target."""
        if regions is None and not self.restrictions.evacuated:
            return False
        usable = [
            instance
            for instance in self.list_instances(service)
            if instance.target_state is not TargetState.LEAVING
        ]
        return bool(usable) and not any(
            self.may_receive(instance, regions) for instance in usable
        )

    def _log_evacuation(self, data_centre: str, begins: bool) -> None:
        """Logs a change; without targets, the name may be misspelt."""
        _log.info(
            "evacuation begun" if begins else "evacuation ended",
            extra={
                "data_centre": data_centre,
                "known_targets": sum(
                    instance.target.data_centre == data_centre
                    for instance in self._instances.values()
                ),
            },
        )

    def put(self, target: Target) -> None:
        """Applies a target's record.

        A record with an earlier lifetime or sequence number is out of date and
        ignored, unless it follows another such record: then the target goes on
        from there, and another program wrote the higher numbers. The same holds
        for a record that names another service in the lifetime of a target,
        which does not change it while it runs.
        """
        now = self._clock.elapsed()
        known = self._instances.get(target.id)
        earlier = self._outdated.pop(target.id, None)
        if known is not None and _is_earlier(target, known.target):
            if earlier is None or not _is_earlier(earlier, target):
                self._outdated[target.id] = target
                return
            _log.warning(
                "numbers of another writer dropped",
                extra={"target": target.id, "version": str(known.target.born)},
            )
        contradicting = self._contradicting.pop(target.id, None)
        is_same = known is not None and _is_same_instance(known.target, target)
        if known is not None and is_same:
            if known.target.service == target.service:
                self._refresh(known, target, now)
                return
            if contradicting is None or contradicting.service != target.service:
                self._contradicting[target.id] = target
                _log.warning(
                    "record of another service ignored",
                    extra={"target": target.id, "service": target.service},
                )
                return
        if known is not None:
            reason = "other service" if is_same else "it started again"
            self._set_state(known, TargetState.GONE, reason)
        target_state = (
            TargetState.LEAVING if target.leaving else TargetState.READY
        )
        instance = TargetInstance(
            target=target,
            target_state=target_state,
            changed_at=now,
            last_seen=now,
            cold_state=ColdState(
                listed_at=now, record_warm_at=now + target.warmup
            ),
        )
        if target.leaving:
            instance.has_announced_leaving = True
            instance.leaving_since = now
            instance.leave_event.set()
        self._instances[target.id] = instance
        self._claim_address(instance)
        _log_state(instance, "listed")

    def drop(self, target_id: str) -> None:
        """Applies the removal of a target's record."""
        instance = self._instances.get(target_id)
        if instance is None or instance.target_state is TargetState.GONE:
            return
        if (
            instance.target_state is TargetState.READY
            and self._clock.elapsed() < self._store_unstable_until
            and self._has_lost_half(instance.target.service)
        ):
            self._set_state(instance, TargetState.SUSPECT, "store unsettled")
        elif instance.target_state is not TargetState.SUSPECT:
            self._set_state(instance, TargetState.GONE, "entry dropped")

    def mark_leaving(self, target_id: str, reason: str) -> None:
        """Marks a target as LEAVING before its record says so."""
        instance = self._instances.get(target_id)
        if instance is not None:
            self._announce_leaving(instance, reason)

    def mark_leaving_lifetimes(
        self, lifetimes: Iterable[TargetLifetime], reason: str
    ) -> None:
        """Marks targets as LEAVING that have not restarted since."""
        for lifetime in lifetimes:
            instance = self._instances.get(lifetime.id)
            if instance is not None and instance.target.born == lifetime.born:
                self._announce_leaving(instance, reason)

    def begin_call(self, address: Address) -> NoticeHandler:
        """Returns the handler for the answer to a call that is sent now."""
        instance = self._by_address.get(address)
        sent_at = self._clock.elapsed()

        def handle(notice: AnswerNotice) -> None:
            if instance is None:
                return
            if notice.leaving:
                self._announce_leaving(instance, "its own answer")
            if notice.retry_after is not None:
                self._pause(instance, notice.retry_after)
            if notice.load is not None:
                instance.reported_load = notice.load
                instance.load_reported_at = self._clock.elapsed()
            if notice.warmup is not None:
                instance.cold_state.answer_warm_at = (
                    self._clock.elapsed() + notice.warmup
                )
            self._record_outcome(instance, notice, sent_at)
            if notice.load is not None:
                self.paces.record(get_lifetime(instance.target), notice.load)
            if notice.is_brittle:
                self._limit_brittle(instance, notice, sent_at)
            elif notice.rate_limit is not None or notice.is_unlimited:
                self.rate_limits.observe(
                    get_lifetime(instance.target), notice.rate_limit, sent_at
                )

        return handle

    def _record_outcome(
        self,
        instance: TargetInstance,
        notice: AnswerNotice,
        sent_at: timedelta,
    ) -> None:
        if notice.is_answer:
            instance.brittle_estimate.record_answer(
                self._clock.elapsed() - sent_at
            )
        elif notice.is_rejection:
            instance.brittle_estimate.record_rejection()

    def _limit_brittle(
        self,
        instance: TargetInstance,
        notice: AnswerNotice,
        sent_at: timedelta,
    ) -> None:
        """Limits the requests to a target that must not reject any."""
        lifetime = get_lifetime(instance.target)
        known = self.rate_limits.get_rate(lifetime)
        rate = instance.brittle_estimate.estimate_rate(
            instance.target.slots, known
        )
        named = notice.rate_limit
        if named is None and not notice.is_answer:
            # Only an answer would repeat the limit that the target has named.
            named = known
        if named is not None and named <= rate:
            self.rate_limits.observe(lifetime, named, sent_at)
        else:
            burst = BURST_SLOTS * instance.target.slots
            self.rate_limits.observe(lifetime, rate, sent_at, burst=burst)

    def is_paused(self, instance: TargetInstance) -> bool:
        """Returns whether a target currently wants no requests."""
        return self._clock.elapsed() < instance.pause_end

    def try_call(self, instance: TargetInstance) -> bool:
        """Returns whether this node may call a target now.

        During a pause, counts the call and allows ``MAX_CALLS_IN_PAUSE``.
        """
        if not self.is_paused(instance):
            return True
        if instance.calls_in_pause >= MAX_CALLS_IN_PAUSE:
            return False
        instance.calls_in_pause += 1
        return True

    def is_limited(self, instance: TargetInstance) -> bool:
        """Returns whether a target limits the requests that it takes."""
        # The check keeps the usual case fast, in which nothing is limited.
        return self.rate_limits.has_notices() and self.rate_limits.is_limited(
            get_lifetime(instance.target)
        )

    def may_take(self, instance: TargetInstance) -> bool:
        """Returns whether a target's limits allow a request now."""
        return (
            not self.rate_limits.has_notices()
            or self.rate_limits.has_token(get_lifetime(instance.target))
        ) and self.cold_budgets.may_grant(instance.target, instance.cold_state)

    def count_request(self, instance: TargetInstance) -> None:
        """Counts a request against a target's limits."""
        self.rate_limits.take(get_lifetime(instance.target))
        self.cold_budgets.record_grant(instance.target, instance.cold_state)

    def record_unreachable(self, instance: TargetInstance) -> None:
        """Records that a target took no connection, as one that restarts."""
        self.cold_budgets.record_unreachable(
            instance.target, instance.cold_state
        )

    def is_cold(self, instance: TargetInstance) -> bool:
        """Returns whether a target is known to be cold."""
        return self.cold_budgets.is_cold(instance.target, instance.cold_state)

    def get_warm_wait(self, service: str) -> timedelta | None:
        """Returns the time until the first target of a service is warm.

        Returns ``None`` unless all its usable targets are known to be cold.
        """
        if not self.cold_budgets.applies_to(service):
            return None
        waits = [
            self.cold_budgets.get_warm_wait(i.target, i.cold_state)
            for i in self.list_usable(service)
        ]
        return min(waits) if waits and min(waits) > timedelta(0) else None

    def forecast_grant(self, service: str, *, ahead: int) -> timedelta | None:
        """Returns when the limits of cold targets allow a request.

        Returns ``None`` if they allow one now, or if there are none.

        Args:
            service: the service.
            ahead: the number of requests that come first.
        """
        if not self.cold_budgets.applies_to(service):
            return None
        return self.cold_budgets.forecast_wait(
            [(i.target, i.cold_state) for i in self.list_usable(service)],
            ahead=ahead,
        )

    def get_pause_end(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> timedelta | None:
        """Returns the elapsed time at which the first pause of a service ends.

        Returns ``None`` unless all usable targets of the service are paused.
        """
        usable = self.list_usable(service, regions=regions)
        if not usable or not all(map(self.is_paused, usable)):
            return None
        return min(instance.pause_end for instance in usable)

    def _announce_leaving(self, instance: TargetInstance, reason: str) -> None:
        if instance.has_announced_leaving:
            return
        instance.has_announced_leaving = True
        lifetime = get_lifetime(instance.target)
        self._marked_at[lifetime] = self._clock.elapsed()
        if instance.target_state in (TargetState.READY, TargetState.SUSPECT):
            self._set_state(instance, TargetState.LEAVING, reason)

    def _pause(self, instance: TargetInstance, length: timedelta) -> None:
        if length > MAX_PAUSE:
            _log.warning(
                "target asked for a pause that is too long",
                extra={
                    "target": instance.target.id,
                    "seconds": length.total_seconds(),
                },
            )
        was_paused = self.is_paused(instance)
        pause_end = self._clock.elapsed() + min(length, MAX_PAUSE)
        instance.pause_end = max(instance.pause_end, pause_end)
        if not was_paused:
            instance.calls_in_pause = 0
            _log.info(
                "target paused",
                extra={
                    "target": instance.target.id,
                    "service": instance.target.service,
                    "seconds": round(length.total_seconds(), 3),
                },
            )

    def has_recent_departure(self, service: str, within: timedelta) -> bool:
        """Returns whether ``list_recent_departures`` returns any target."""
        return any(self.list_recent_departures(service, within))

    def list_recent_departures(
        self, service: str, within: timedelta
    ) -> Iterator[TargetInstance]:
        """Returns the targets of a service that have left recently.

        Args:
            service: the name of the service.
            within: the maximum time since the target became LEAVING or GONE.
        """
        oldest = self._clock.elapsed() - within
        for instance in self._instances.values():
            if (
                instance.target.service == service
                and instance.changed_at >= oldest
                and instance.target_state
                in (TargetState.LEAVING, TargetState.GONE)
            ):
                yield instance

    def list_for_broadcast(self) -> list[TargetLifetime]:
        """Returns the targets to announce to peers as leaving."""
        oldest = self._clock.elapsed() - _BROADCAST_TIME
        self._marked_at = {
            lifetime: marked_at
            for lifetime, marked_at in self._marked_at.items()
            if marked_at >= oldest
        }
        return list(self._marked_at)

    def _has_lost_half(self, service: str) -> bool:
        """Returns whether less than half remain READY after one more removal.

        Counts the READY targets of a service and those that became SUSPECT or
        GONE within ``_DROP_WINDOW``.
        """
        recent = self._clock.elapsed() - _DROP_WINDOW
        ready = 0
        dropped = 0
        for instance in self._instances.values():
            if instance.target.service != service:
                continue
            if instance.target_state is TargetState.READY:
                ready += 1
            elif instance.target_state is not TargetState.LEAVING:
                dropped += instance.changed_at >= recent
        return 2 * (ready - 1) < ready + dropped

    def sweep(self) -> None:
        """Makes overdue SUSPECT targets GONE, and deletes old GONE ones."""
        now = self._clock.elapsed()
        for target_id, instance in list(self._instances.items()):
            age = now - instance.changed_at
            if (
                instance.target_state is TargetState.SUSPECT
                and age >= RELIST_TIMEOUT
            ):
                self._set_state(instance, TargetState.GONE, "did not come back")
            elif (
                instance.target_state is TargetState.GONE
                and age >= _GONE_RETENTION
            ):
                del self._instances[target_id]
                address = instance.target.address
                if self._by_address.get(address) is instance:
                    del self._by_address[address]

    def _claim_address(self, instance: TargetInstance) -> None:
        """Records who listens on an address.

        An address is used again after its target has ended. A target that still
        writes records after another one was listed at its address has not: the
        other record is another program's.
        """
        holder = self._by_address.get(instance.target.address, instance)
        older, newer = sorted(
            (holder, instance), key=lambda item: item.cold_state.listed_at
        )
        is_alive = (
            older.target_state is not TargetState.GONE
            and older.last_seen > newer.cold_state.listed_at
        )
        self._by_address[instance.target.address] = older if is_alive else newer

    def _refresh(
        self, known: TargetInstance, target: Target, now: timedelta
    ) -> None:
        known.last_seen = now
        self._claim_address(known)
        known.cold_state.record_warm_at = now + target.warmup
        known.target = target
        if target.leaving:
            known.has_announced_leaving = True
            if known.target_state is not TargetState.LEAVING:
                self._set_state(known, TargetState.LEAVING, "announced")
        elif known.has_announced_leaving:
            # A target does not change its mind: its record is out of date.
            return
        elif known.target_state is TargetState.SUSPECT:
            self._set_state(known, TargetState.READY, "listed again")
        elif known.target_state is TargetState.GONE:
            # The target did not restart: its record had only expired.
            known.leave_event = trio.Event()
            known.leaving_since = None
            self._set_state(known, TargetState.READY, "listed again")

    def _set_state(
        self, instance: TargetInstance, target_state: TargetState, reason: str
    ) -> None:
        instance.target_state = target_state
        instance.changed_at = self._clock.elapsed()
        if target_state in (TargetState.LEAVING, TargetState.GONE):
            if instance.leaving_since is None:
                instance.leaving_since = instance.changed_at
            instance.leave_event.set()
        _log_state(instance, reason)


def _is_same_instance(known: Target, target: Target) -> bool:
    return known.born == target.born and known.address == target.address


def _is_earlier(target: Target, other: Target) -> bool:
    """Returns whether a record precedes another one by its own numbers."""
    if not _is_same_instance(target, other):
        return target.born < other.born
    return target.sequence < other.sequence


def _log_state(instance: TargetInstance, reason: str) -> None:
    _log.info(
        "target state changed",
        extra={
            "target": instance.target.id,
            "service": instance.target.service,
            "state": str(instance.target_state),
            "code": reason,
            "version": str(instance.target.born),
        },
    )
