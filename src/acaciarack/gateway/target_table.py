"""The state of each target, derived from its record in the platform's store.

A target whose record says *leaving* stays LEAVING until it restarts or its
record is removed. A target whose record is removed is GONE.

During and after a store outage, records may expire only because targets could
not renew them. Therefore, a removal that leaves less than half of a service's
targets READY makes its target SUSPECT. A SUSPECT target is used only if no
target is READY. It becomes READY when its record returns, and GONE if the
record does not return within ``RELIST_TIMEOUT``.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.spec import Target

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
    """

    target: Target
    target_state: TargetState
    changed_at: timedelta
    last_seen: timedelta
    leave_event: trio.Event = field(default_factory=trio.Event)


class TargetTable:
    """The newest instance of each target."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._instances: dict[str, TargetInstance] = {}
        self._store_unstable_until = timedelta(0)
        self._marked_at: dict[str, timedelta] = {}

    def mark_store_unstable(self) -> None:
        """Records that the store is unavailable or has just recovered.

        For ``RELIST_TIMEOUT``, ``drop`` may then make targets SUSPECT.
        """
        self._store_unstable_until = self._clock.elapsed() + RELIST_TIMEOUT

    def get(self, target_id: str) -> TargetInstance | None:
        """Returns the newest instance of a target."""
        return self._instances.get(target_id)

    def list_instances(self, service: str) -> Iterator[TargetInstance]:
        """Returns the targets of a service that are not GONE."""
        for instance in self._instances.values():
            if (
                instance.target.service == service
                and instance.target_state is not TargetState.GONE
            ):
                yield instance

    def list_usable(self, service: str) -> list[TargetInstance]:
        """Returns the targets of a service that may receive new requests."""
        instances = list(self.list_instances(service))
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

    def put(self, target: Target) -> None:
        """Applies a target's record."""
        now = self._clock.elapsed()
        known = self._instances.get(target.id)
        if known is not None and _is_same_instance(known.target, target):
            self._refresh(known, target, now)
            return
        if known is not None:
            if target.born < known.target.born:
                return
            self._set_state(known, TargetState.GONE, "it started again")
        target_state = (
            TargetState.LEAVING if target.leaving else TargetState.READY
        )
        instance = TargetInstance(
            target=target,
            target_state=target_state,
            changed_at=now,
            last_seen=now,
        )
        if target.leaving:
            instance.leave_event.set()
        self._instances[target.id] = instance
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
        if instance is not None and instance.target_state in (
            TargetState.READY,
            TargetState.SUSPECT,
        ):
            self._set_state(instance, TargetState.LEAVING, reason)
            self._marked_at[target_id] = self._clock.elapsed()

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

    def list_for_broadcast(self) -> list[str]:
        """Returns the ids of the targets to announce to peers as leaving."""
        oldest = self._clock.elapsed() - _BROADCAST_TIME
        return [
            target_id
            for target_id, marked_at in self._marked_at.items()
            if marked_at >= oldest
        ]

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

    def _refresh(
        self, known: TargetInstance, target: Target, now: timedelta
    ) -> None:
        if target.sequence < known.target.sequence:
            return
        known.last_seen = now
        known.target = target
        if target.leaving:
            if known.target_state is not TargetState.LEAVING:
                self._set_state(known, TargetState.LEAVING, "announced")
        elif known.target_state is TargetState.SUSPECT:
            self._set_state(known, TargetState.READY, "listed again")
        elif known.target_state is TargetState.GONE:
            # The target did not restart: its record had only expired.
            known.leave_event = trio.Event()
            self._set_state(known, TargetState.READY, "listed again")

    def _set_state(
        self, instance: TargetInstance, target_state: TargetState, reason: str
    ) -> None:
        instance.target_state = target_state
        instance.changed_at = self._clock.elapsed()
        if target_state in (TargetState.LEAVING, TargetState.GONE):
            instance.leave_event.set()
        _log_state(instance, reason)


def _is_same_instance(known: Target, target: Target) -> bool:
    return known.born == target.born and known.address == target.address


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
