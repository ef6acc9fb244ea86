"""Watches this node's share of the targets and exchanges digests with peers.

Of a target's two watchers the first reports; the second steps in when no
digest of the first has come for a while.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.configuration import Target
from acaciarack.configured import ConfigurationView
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.load_board import AgedReport, LoadBoard
from acaciarack.load_digests import (
    Digests,
    DigestSummary,
    LoadedTable,
    Reservation,
    Reservations,
    TargetDigest,
    compute_digest_period,
    compute_target_summary_period,
    decode_age,
    decode_report,
    encode_report,
    find_loaded,
    hash_name,
    map_names,
)
from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.membership import Membership
from acaciarack.peers import choose_watchers
from acaciarack.reservation_table import ReservationTable
from acaciarack.target_states import TARGET_SILENCE
from acaciarack.watchers import CacheSink, TargetFeed, TargetWatcher

ASSIGN_INTERVAL = timedelta(seconds=1)
_LOADED_INTERVAL = timedelta(seconds=20)
_MISSED = 3
ReservationSource = Callable[[], Mapping[str, int]]


class LoadExchange:
    """Fills a load board from the targets and from peers."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: Links,
        membership: Membership,
        configuration: ConfigurationView,
        feed: TargetFeed,
        board: LoadBoard,
        clock: Clock,
        reservations: ReservationSource,
        cache_sink: CacheSink,
    ) -> None:
        """Creates the exchange; ``run`` starts it.

        Args:
            identity: who this node is.
            links: the links to peers.
            membership: tells who watches, and is told who was heard of.
            configuration: lists the targets.
            feed: opens the targets' streams.
            board: gets the reports.
            clock: gives the times.
            reservations: returns the tokens that this node holds reserved,
                by target.
            cache_sink: gets the cache events of the targets watched here.
        """
        self._identity = identity
        self._links = links
        self._membership = membership
        self._configuration = configuration
        self._feed = feed
        self._board = board
        self._clock = clock
        self._reservations = reservations
        self._cache_sink = cache_sink
        self._reserved = ReservationTable(clock=clock)
        self._own_reserved: Mapping[str, int] = {}
        self._watches: dict[Target, trio.CancelScope] = {}
        self._told_reserved: dict[str, int] = {}
        self._heard_first: dict[str, timedelta] = {}
        self._loaded_sent: dict[str, tuple[object, timedelta]] = {}
        self._names: dict[int, str] = {}
        self._watchers: dict[str, tuple[str, ...]] = {}
        self._chosen_for: object = None
        membership.pauses.add_listener(self._stop_watches)
        links.add_listener(self._follow_link)
        links.register(Digests, self._take_digests)
        links.register(DigestSummary, self._take_summary)
        links.register(Reservations, self._take_reservations)

    async def run(self) -> None:
        """Watches and exchanges until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_digests)
            nursery.start_soon(self._run_summaries)
            while True:
                self._assign(nursery)
                await self._clock.sleep(ASSIGN_INTERVAL)

    def list_watched(self) -> tuple[str, ...]:
        """Returns the targets that this node watches, in order."""
        return tuple(sorted(target.name for target in self._watches))

    def _list_targets(self) -> Mapping[str, Target]:
        return self._configuration.get_configuration().targets

    def _list_near(self) -> list[Target]:
        return [
            target
            for target in self._list_targets().values()
            if target.data_centre == self._identity.data_centre
        ]

    def _find_watchers(self, target: Target) -> tuple[str, ...]:
        return self._watchers.get(target.name, ())

    def _choose_watchers(self) -> None:
        """Chooses the watchers anew if nodes or targets have changed."""
        live = self._membership.group_live()
        targets = self._list_targets()
        if (live, targets) == self._chosen_for:
            return
        self._chosen_for = (live, targets)
        # A leaving node still takes requests; if it is the last of its data
        # centre, nobody else watches for it.
        near = live.get(self._identity.data_centre, (self._identity.node,))
        self._watchers = {
            target.name: choose_watchers(
                target.name, live.get(target.data_centre, near)
            )
            for target in targets.values()
        }
        self._names = map_names(targets)

    def _assign(self, nursery: trio.Nursery) -> None:
        self._choose_watchers()
        targets = self._list_targets()
        self._board.keep_only(frozenset(targets))
        wanted = {
            target
            for target in targets.values()
            if self._identity.node in self._find_watchers(target)
        }
        for target in self._watches.keys() - wanted:
            self._watches.pop(target).cancel()
        for target in wanted - self._watches.keys():
            self._watches[target] = trio.CancelScope()
            nursery.start_soon(self._watch, target, self._watches[target])

    def _follow_link(self, peer: Identity, linked: bool) -> None:
        # A new peer does not know yet what the targets have loaded.
        if linked:
            self._loaded_sent.clear()

    def _stop_watches(self) -> None:
        for scope in self._watches.values():
            scope.cancel()
        self._watches.clear()

    async def _watch(self, target: Target, scope: trio.CancelScope) -> None:
        watcher = TargetWatcher(
            target=target,
            feed=self._feed,
            clock=self._clock,
            load_sink=self._take_report,
            cache_sink=self._cache_sink,
            suspicion_sink=self._membership.suspect_target,
        )
        with scope:
            await watcher.run()

    def _take_report(self, report: LoadReport) -> None:
        self._membership.observe_report(report.target, leaving=report.leaving)
        self._board.put(
            AgedReport(
                report=report,
                age=timedelta(),
                reserved_elsewhere=self._sum_elsewhere(report.target),
                direct=True,
            )
        )

    async def _run_digests(self) -> None:
        while True:
            self.send_digests()
            period = compute_digest_period(len(self._list_near()))
            await self._clock.sleep(period)

    async def _run_summaries(self) -> None:
        while True:
            self.send_summary()
            period = compute_target_summary_period(len(self._list_targets()))
            await self._clock.sleep(period)

    def send_digests(self) -> None:
        """Sends the digests and reservations that are due."""
        period = compute_digest_period(len(self._list_near()))
        self._own_reserved = dict(self._reservations())
        table = LoadedTable()
        targets = tuple(
            self._encode(target, table)
            for target in self._watches
            if self._is_due(target, period)
        )
        digests = Digests(targets=targets, models=table.build_models())
        if targets:
            for peer in self._membership.gossip.list_near():
                self._links.send(peer.node, digests)
        self._send_reservations()

    def send_summary(self) -> None:
        """Sends the reports of the near targets to other data centres."""
        peers = self._membership.gossip.list_far()
        if not peers:
            return
        table = LoadedTable()
        targets = tuple(
            self._encode(target, table, is_summary=True)
            for target in self._list_near()
            if self._is_fresh(target.name)
        )
        summary = DigestSummary(
            data_centre=self._identity.data_centre,
            targets=targets,
            models=table.build_models(),
        )
        for peer in peers:
            self._links.send(peer.node, summary)

    def _is_due(self, target: Target, period: timedelta) -> bool:
        if not self._is_fresh(target.name):
            return False
        if self._is_first(target):
            return True
        heard = self._heard_first.get(target.name)
        return heard is None or self._clock.elapsed() - heard > 2 * period

    def _is_fresh(self, name: str) -> bool:
        aged = self._board.get(name)
        return aged is not None and aged.age <= TARGET_SILENCE

    def _encode(
        self, target: Target, table: LoadedTable, *, is_summary: bool = False
    ) -> TargetDigest:
        aged = self._board.get(target.name)
        assert aged is not None
        own = self._own_reserved.get(target.name, 0)
        elsewhere = self._sum_elsewhere(target.name)
        tells_loaded = is_summary or self._is_loaded_due(aged.report)
        return encode_report(
            aged.report,
            age=aged.age,
            reserved=own + elsewhere,
            loaded=table.add(aged.report.loaded) if tells_loaded else None,
        )

    def _sum_elsewhere(self, name: str) -> int:
        """Returns what others reserve; only the first watcher is told each."""
        target = self._list_targets().get(name)
        if target is not None and self._is_first(target):
            return self._reserved.sum_tokens(name)
        own = self._own_reserved.get(name, 0)
        return max(0, self._told_reserved.get(name, 0) - own)

    def _is_first(self, target: Target) -> bool:
        return self._find_watchers(target)[:1] == (self._identity.node,)

    def _is_loaded_due(self, report: LoadReport) -> bool:
        now = self._clock.elapsed()
        loaded, sent = self._loaded_sent.get(report.target, (None, now))
        if loaded == report.loaded and now - sent < _LOADED_INTERVAL:
            return False
        self._loaded_sent[report.target] = (report.loaded, now)
        return True

    def _send_reservations(self) -> None:
        items: dict[str, list[Reservation]] = defaultdict(list)
        targets = self._list_targets()
        for name, tokens in self._own_reserved.items():
            if name not in targets or tokens <= 0:
                continue
            item = Reservation(key=hash_name(name), tokens=tokens)
            for watcher in self._find_watchers(targets[name])[:1]:
                items[watcher].append(item)
        for watcher, reserved in items.items():
            if watcher != self._identity.node:
                message = Reservations(items=tuple(reserved))
                self._links.send(watcher, message)

    async def _take_digests(self, peer: Identity, digests: Digests) -> None:
        now = self._clock.elapsed()
        for digest in digests.targets:
            loaded = find_loaded(digests, digest)
            self._take(digest, loaded, fresh_for=TARGET_SILENCE)
            name = self._names.get(digest.key)
            if name is not None:
                self._heard_first[name] = now

    async def _take_summary(
        self, peer: Identity, summary: DigestSummary
    ) -> None:
        if summary.data_centre == self._identity.data_centre:
            return
        period = compute_target_summary_period(len(self._list_targets()))
        fresh_for = max(TARGET_SILENCE, _MISSED * period)
        for digest in summary.targets:
            loaded = find_loaded(summary, digest)
            self._take(digest, loaded, fresh_for=fresh_for)
        gossip = self._membership.gossip
        topic = f"targets {summary.data_centre}"
        if gossip.is_passing_due(peer, topic, period):
            gossip.pass_on(peer, summary)

    async def _take_reservations(
        self, peer: Identity, reservations: Reservations
    ) -> None:
        self._reserved.clear_node(peer.node)
        for item in reservations.items:
            name = self._names.get(item.key)
            if name is not None:
                self._reserved.put(name, peer.node, item.tokens)

    def _take(
        self,
        digest: TargetDigest,
        loaded: tuple[LoadedModel, ...] | None,
        *,
        fresh_for: timedelta,
    ) -> None:
        name = self._names.get(digest.key)
        if name is None:
            return
        former = self._board.get(name)
        if loaded is None:
            if former is None:
                return
            loaded = former.report.loaded
        age = decode_age(digest)
        now = self._clock.now()
        report = decode_report(digest, target=name, now=now, loaded=loaded)
        self._told_reserved[name] = digest.reserved
        self._board.put(
            AgedReport(
                report=report,
                age=age,
                reserved_elsewhere=self._sum_elsewhere(name),
                direct=False,
            )
        )
        self._membership.observe_report(
            name,
            leaving=report.leaving,
            age=age,
            fresh_for=fresh_for,
            direct=False,
        )
