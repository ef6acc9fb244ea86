"""Reads a topic of the platform's store and keeps its replica up to date."""

from collections.abc import Callable
from datetime import timedelta

import logbook
import trio

from acaciarack.backoff import Backoff
from acaciarack.clock import Clock
from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.store.replication import (
    ClusterState,
    HistoryLostError,
    KeyedLog,
    StaleEraError,
    StoreError,
    Topic,
)

CONFIRMATION_DELAYS = (timedelta(seconds=2.5), timedelta(seconds=5))
"""When a reader lists a topic again after the first list of an era. Keys that
are missing in the first of these lists are deleted: targets write their records
again within 2 s. Deleted keys that the last one lists exist again: the store
expires the record of a silent target within 3.6 s."""
OVERDUE_MARGIN = timedelta(milliseconds=400)
"""The time that the store has to respond after a long poll's wait has ended. A
later response is overdue. A slow store responds within 0.36 s."""
POLL_WAIT_SHARE = 0.4
"""The share of the contact time for which the store holds a read if there are
no new records. Until then, a read whose response was lost looks like one that
waits. The rest of the contact time is left for the timeout of the response, for
one more read and for sending the records to peers."""
MAX_POLL_WAIT = timedelta(seconds=2)
"""The longest of these waits. Engines announce their shutdown only about 2 s
before it."""

_log = logbook.Logger("acaciarack.gateway.watching")


class StoreReader:
    """Reads one topic from the store and keeps its replica up to date.

    Attributes:
        is_reachable: whether the last read succeeded.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyedLog,
        cluster_state: ClusterState,
        topic: Topic,
        meters: Meters,
        contact_time: timedelta = timedelta(seconds=3),
        on_reachable: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a reader that has read nothing yet.

        Args:
            clock: the clock.
            store: the client of the store.
            cluster_state: holds the replica of the topic.
            topic: the topic.
            meters: counts the reads.
            contact_time: how soon after the end of a disturbance the replica is
                up to date. A read waits for records during a part of it.
            on_reachable: called when the store responds for the first time, or
                again.
        """
        self._poll_wait = min(MAX_POLL_WAIT, contact_time * POLL_WAIT_SHARE)
        self._meters = meters
        self._on_reachable = on_reachable
        self._clock = clock
        self._store = store
        self._cluster_state = cluster_state
        self._topic = topic
        self._scope: trio.CancelScope | None = None
        self._response_deadline: timedelta | None = None
        # When to list the topic again in this era, the earliest first.
        self._confirmations: list[timedelta] = []
        self.is_reachable = False

    def is_overdue(self) -> bool:
        """Returns whether a store response is overdue or a read failed."""
        return (
            self._response_deadline is not None
            and self._clock.elapsed() > self._response_deadline
        )

    def mark_stopped(self) -> None:
        """Resets the state after this node has stopped reading the topic."""
        self.is_reachable = False
        self._response_deadline = None

    def cancel_waiting_read(self) -> None:
        """Cancels the current read, which lacks records that a peer has.

        The next read starts from the replica's end.
        """
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Reads the topic until cancelled."""
        backoff = Backoff(initial_delay=0.1, limit=0.8)
        has_snapshot = False
        while True:
            try:
                with trio.CancelScope() as self._scope:
                    if not has_snapshot or self._is_confirmation_due():
                        await self._read_snapshot()
                        has_snapshot = True
                    else:
                        await self._read_updates()
                    self._record_success()
                    self._meters.count(Event.STORE_READS, "answered")
                    backoff.reset()
            except HistoryLostError:
                has_snapshot = False
            except StoreError as error:
                self._record_failure(error)
                self._meters.count(Event.STORE_READS, "lost")
                await self._clock.sleep(backoff.next_delay())

    async def _read_snapshot(self) -> None:
        replica = self._cluster_state.replicas[self._topic]
        batch = await self._store.read_newest(self._topic)
        if batch.era < replica.end.era:
            raise StaleEraError(f"the list is from era {batch.era}")
        now = self._clock.elapsed()
        if replica.complete and batch.era > replica.end.era:
            self._confirmations = [now + delay for delay in CONFIRMATION_DELAYS]
        elif self._is_confirmation_due():
            del self._confirmations[0]
        self._cluster_state.merge_batch(
            self._topic,
            batch,
            complete=True,
            origin="store",
            keep_deleted=bool(self._confirmations),
        )

    def _is_confirmation_due(self) -> bool:
        """Returns whether the topic is to be listed again in this era."""
        return bool(
            self._confirmations
            and self._confirmations[0] <= self._clock.elapsed()
        )

    def _get_poll_wait(self) -> timedelta:
        """Returns how long the store is to hold the next read.

        After a failure, the store is to respond at once, so that one more lost
        response is noticed soon.
        """
        if not self.is_reachable:
            return timedelta(0)
        if not self._confirmations:
            return self._poll_wait
        until_due = self._confirmations[0] - self._clock.elapsed()
        return min(self._poll_wait, max(timedelta(0), until_due))

    async def _read_updates(self) -> None:
        replica = self._cluster_state.replicas[self._topic]
        start = replica.end
        wait = self._get_poll_wait()
        # A missed deadline stays in place until the store responds.
        if not self.is_overdue():
            self._response_deadline = (
                self._clock.elapsed() + wait + OVERDUE_MARGIN
            )
        batch = await self._store.read_from(
            self._topic, start.offset, wait=wait
        )
        if batch.era > replica.end.era:
            # The offset means something else in the new era.
            raise HistoryLostError(f"the store is in era {batch.era}")
        if batch.era < replica.end.era:
            raise StaleEraError(f"the records are from era {batch.era}")
        self._cluster_state.merge_batch(
            self._topic, batch, complete=False, origin="store"
        )

    def _record_success(self) -> None:
        self._response_deadline = None
        if not self.is_reachable:
            self.is_reachable = True
            self._cluster_state.target_table.mark_store_unstable()
            self._on_reachable()
            _log.info("store is reachable", extra={"kind": str(self._topic)})

    def _record_failure(self, error: StoreError) -> None:
        self._cluster_state.target_table.mark_store_unstable()
        self._response_deadline = (
            self._response_deadline or self._clock.elapsed()
        )
        if self.is_reachable:
            self.is_reachable = False
            _log.warning(
                "store read failed: {}", error, extra={"kind": str(self._topic)}
            )
