"""Keeps the configuration and the targets' list up to date.

Two keyed topics of the platform's store are copied to every node. A node
reads the store by reads that wait for news; what it learns it offers to its
peers, and what a peer has sooner it takes from there. With the store away,
what is known stays in force.
"""

import enum
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import logbook
import trio

from acaciarack.backoff import Backoff
from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError
from acaciarack.gateway.facts import (
    Configuration,
    MalformedRecordError,
    Target,
)
from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.replica import Record, Replica
from acaciarack.gateway.roster import Roster

OVERDUE = timedelta(milliseconds=400)
"""How late an answer makes the store suspect; a slow one takes 0.36 s."""
_SWEEP = timedelta(milliseconds=250)
"""How often doubted targets are looked at: a tenth of their time."""

_log = logbook.Logger("acaciarack.gateway.watching")


class StoreError(AcaciarackError):
    """The platform's store did not do what was asked."""


class HistoryLostError(StoreError):
    """The records asked for are no longer kept."""


class Topic(enum.StrEnum):
    """What is copied to every node."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    NODES = "nodes"


READ_WAITS = {
    Topic.CONFIGURATION: timedelta(seconds=10),
    Topic.TARGETS: timedelta(seconds=2),
}
"""How long one read waits for news. Calls are priced; but a store that takes
connections and answers nothing shows only by a read that does not end, and
engines leave with a notice of about 2 s."""


@dataclass(frozen=True, kw_only=True)
class Batch:
    """Records of a topic and the offset after the last one known."""

    records: tuple[Record, ...]
    end: int


class KeyedLog(Protocol):
    """The platform's store, as far as nodes read and write keyed topics."""

    async def read_newest(self, topic: Topic) -> Batch:
        """Returns the newest record of every key.

        Raises:
            StoreError: the store did not answer.
        """
        ...

    async def read_after(
        self, topic: Topic, offset: int, *, wait: timedelta
    ) -> Batch:
        """Returns the records from an offset on; waits until there are any.

        Raises:
            HistoryLostError: they are no longer kept.
            StoreError: the store did not answer.
        """
        ...

    async def write(self, topic: Topic, key: str, value: bytes) -> None:
        """Appends a record.

        Raises:
            StoreError: it may or may not have been appended.
        """
        ...


class RecordDecoder(Protocol):
    """Decodes records of the platform."""

    def decode_configuration(
        self, key: str, value: bytes
    ) -> Configuration | None:
        """Returns a configuration; ``None`` if the key holds none.

        Raises:
            MalformedRecordError: it does not decode.
        """
        ...

    def decode_target(self, key: str, value: bytes) -> Target:
        """Returns a target's entry.

        Raises:
            MalformedRecordError: it does not decode.
        """
        ...


class Knowledge:
    """What this node knows of the configuration and the targets.

    Attributes:
        configuration: the one in force; ``None`` until one is known.
        roster: the targets.
        replicas: the copies, by topic.
    """

    def __init__(
        self, *, clock: Clock, roster: Roster, decoder: RecordDecoder
    ) -> None:
        self.configuration: Configuration | None = None
        self.roster = roster
        self.replicas = {
            Topic.CONFIGURATION: Replica(),
            Topic.TARGETS: Replica(),
        }
        self._clock = clock
        self._decoder = decoder
        self._on_news: list[Callable[[Topic, Sequence[Record]], None]] = []

    def notify(
        self, on_news: Callable[[Topic, Sequence[Record]], None]
    ) -> None:
        """Sets a function that is called with records that were news."""
        self._on_news.append(on_news)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be decided on."""
        return (
            self.configuration is not None
            and self.replicas[Topic.TARGETS].complete
        )

    def take(
        self, topic: Topic, batch: Batch, *, complete: bool, origin: str
    ) -> None:
        """Merges records.

        Args:
            topic: where they belong.
            batch: the records.
            complete: whether the batch lists every key.
            origin: who told, for the log.
        """
        replica = self.replicas[topic]
        merge = replica.replace if complete else replica.apply
        news = merge(batch.records, end=batch.end)
        if not news:
            return
        news.sort(key=lambda record: record.offset)
        for record in news:
            self._apply(topic, record, origin)
        for on_news in self._on_news:
            on_news(topic, news)

    def sweep(self) -> None:
        """Decides on targets whose entries have expired."""
        self.roster.sweep()

    def _apply(self, topic: Topic, record: Record, origin: str) -> None:
        try:
            if topic is Topic.TARGETS:
                self._apply_target(record)
            elif record.value is not None:
                self._apply_configuration(record, origin)
        except MalformedRecordError as error:
            _log.warning(
                "record ignored: {}",
                error,
                extra={"kind": str(topic), "version": str(record.offset)},
            )

    def _apply_target(self, record: Record) -> None:
        if record.value is None:
            self.roster.drop(record.key)
        else:
            self.roster.put(
                self._decoder.decode_target(record.key, record.value)
            )

    def _apply_configuration(self, record: Record, origin: str) -> None:
        assert record.value is not None
        found = self._decoder.decode_configuration(record.key, record.value)
        if found is None:
            return
        current = self.configuration
        if current is not None and found.version <= current.version:
            return
        self.configuration = found
        _log.info(
            "configuration in force",
            extra={
                "version": str(found.version),
                "kind": origin,
                "offset": record.offset,
            },
        )


class StoreReader:
    """Follows one topic on the store."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyedLog,
        knowledge: Knowledge,
        topic: Topic,
        meters: Meters,
    ) -> None:
        self._meters = meters
        self._clock = clock
        self._store = store
        self._knowledge = knowledge
        self._topic = topic
        self._scope: trio.CancelScope | None = None
        self._due: timedelta | None = None
        self.reachable = False

    def is_overdue(self) -> bool:
        """Returns whether the store's answer is late by now, or was lost."""
        return self._due is not None and self._clock.elapsed() > self._due

    def stop(self) -> None:
        """Notes that the topic is no longer followed here."""
        self.reachable = False
        self._due = None

    def reconnect(self) -> None:
        """Ends a read that waits, since a peer has news that it lacks."""
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        backoff = Backoff(first=0.1, limit=0.8)
        is_listed = False
        while True:
            try:
                with trio.CancelScope() as self._scope:
                    if not is_listed:
                        await self._list()
                        is_listed = True
                    else:
                        await self._read()
                    self._note_reachable()
                    self._meters.count(Event.STORE_READS, "answered")
                    backoff.reset()
            except HistoryLostError:
                is_listed = False
            except StoreError as error:
                self._note_lost(error)
                self._meters.count(Event.STORE_READS, "lost")
                await self._clock.sleep(backoff.next_delay())

    async def _list(self) -> None:
        batch = await self._store.read_newest(self._topic)
        self._knowledge.take(self._topic, batch, complete=True, origin="store")

    async def _read(self) -> None:
        start = self._knowledge.replicas[self._topic].end
        wait = READ_WAITS[self._topic]
        if not self.is_overdue():
            self._due = self._clock.elapsed() + wait + OVERDUE
        batch = await self._store.read_after(self._topic, start, wait=wait)
        self._knowledge.take(self._topic, batch, complete=False, origin="store")

    def _note_reachable(self) -> None:
        self._due = None
        if not self.reachable:
            self.reachable = True
            self._knowledge.roster.mark_unsettled()
            _log.info("store reached", extra={"kind": str(self._topic)})

    def _note_lost(self, error: StoreError) -> None:
        self._knowledge.roster.mark_unsettled()
        self._due = self._due or self._clock.elapsed()
        if self.reachable:
            self.reachable = False
            _log.warning(
                "store lost: {}", error, extra={"kind": str(self._topic)}
            )


async def sweep_forever(clock: Clock, knowledge: Knowledge) -> None:
    """Sweeps the targets' list until cancelled."""
    while True:
        await clock.sleep(_SWEEP)
        knowledge.sweep()


def list_topics() -> Iterable[Topic]:
    """Returns the topics that every node follows."""
    return (Topic.CONFIGURATION, Topic.TARGETS)
