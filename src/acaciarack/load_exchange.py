"""Watches the targets assigned to this node and exchanges digests with peers.

Up to two nodes watch each target. The primary watcher sends digests of the
target to the other nodes of the data centre. The second watcher only sends them
if it has received none for two periods.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.configuration import Target
from acaciarack.configuration_view import ConfigurationView
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.load_digests import (
    Digests,
    DigestSummary,
    LoadedModelTable,
    Reservation,
    Reservations,
    TargetDigest,
    compute_digest_period,
    compute_target_summary_period,
    decode_age,
    decode_loaded_models,
    decode_report,
    encode_report,
    hash_name,
    map_names,
)
from acaciarack.load_report_store import AgedReport, LoadReportStore
from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.membership import Membership
from acaciarack.peers import choose_watchers
from acaciarack.reservation_table import ReservationTable
from acaciarack.target_states import TARGET_TIMEOUT
from acaciarack.watchers import CacheSink, TargetFeed, TargetWatcher

ASSIGN_INTERVAL = timedelta(seconds=1)
"""Interval between updates of the targets that this node watches."""
_LOADED_RESEND_INTERVAL = timedelta(seconds=20)
"""Digests repeat unchanged loaded models at this interval."""
_MAX_MISSED_SUMMARIES = 3
"""A report from a summary stays fresh for this many summary periods."""
ReservationSource = Callable[[], Mapping[str, int]]


class LoadExchange:
    """Stores the load reports of targets and peers, and sends them to peers."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: LinkManager,
        membership: Membership,
        configuration: ConfigurationView,
        feed: TargetFeed,
        report_store: LoadReportStore,
        clock: Clock,
        reservations: ReservationSource,
        cache_sink: CacheSink,
    ) -> None:
        """Creates the exchange; ``run`` starts it.

        Args:
            identity: the identity of this node.
            links: the links to peers.
            membership: provides the live nodes, from which the watchers are
                chosen, and records which targets have reported.
            configuration: provides the configured targets.
            feed: opens the targets' streams.
            report_store: receives the reports.
            clock: the clock for ages and periods.
            reservations: returns the tokens that this node reserves, by
                target.
            cache_sink: called with the cache events of the targets that this
                node watches.
        """
        self._identity = identity
        self._links = links
        self._membership = membership
        self._configuration = configuration
        self._feed = feed
        self._report_store = report_store
        self._clock = clock
        self._get_local_reserved = reservations
        self._cache_sink = cache_sink
        self._peer_reservations = ReservationTable(clock=clock)
        self._local_reserved: Mapping[str, int] = {}
        self._watch_scopes: dict[Target, trio.CancelScope] = {}
        self._reported_reserved: dict[str, int] = {}
        self._primary_digest_times: dict[str, timedelta] = {}
        self._loaded_last_sent: dict[str, tuple[object, timedelta]] = {}
        self._names_by_key: dict[int, str] = {}
        self._watchers: dict[str, tuple[str, ...]] = {}
        self._watcher_inputs: object = None
        membership.pause_detector.add_listener(self._cancel_watches)
        links.add_listener(self._handle_link_change)
        links.register(Digests, self._handle_digests)
        links.register(DigestSummary, self._handle_summary)
        links.register(Reservations, self._handle_reservations)

    async def run(self) -> None:
        """Watches targets and exchanges digests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_digests)
            nursery.start_soon(self._run_summaries)
            while True:
                self._update_assignments(nursery)
                await self._clock.sleep(ASSIGN_INTERVAL)

    def list_watched(self) -> tuple[str, ...]:
        """Returns the names of the targets that this node watches, sorted."""
        return tuple(sorted(target.name for target in self._watch_scopes))

    def _list_targets(self) -> Mapping[str, Target]:
        return self._configuration.get_configuration().targets

    def _list_local_targets(self) -> list[Target]:
        return [
            target
            for target in self._list_targets().values()
            if target.data_centre == self._identity.data_centre
        ]

    def _get_watchers(self, target: Target) -> tuple[str, ...]:
        return self._watchers.get(target.name, ())

    def _choose_watchers(self) -> None:
        """Recomputes the watchers if live nodes or targets have changed.

        The watchers of a target are nodes of its data centre. If none of them
        is live, the nodes of this data centre watch the target.
        """
        live = self._membership.group_live()
        targets = self._list_targets()
        if (live, targets) == self._watcher_inputs:
            return
        self._watcher_inputs = (live, targets)
        # A draining node is not live but still takes requests. If it is the
        # last node of its data centre, no other node watches for it.
        local_nodes = live.get(
            self._identity.data_centre, (self._identity.node,)
        )
        self._watchers = {
            target.name: choose_watchers(
                target.name, live.get(target.data_centre, local_nodes)
            )
            for target in targets.values()
        }
        self._names_by_key = map_names(targets)

    def _update_assignments(self, nursery: trio.Nursery) -> None:
        self._choose_watchers()
        targets = self._list_targets()
        self._report_store.keep_only(frozenset(targets))
        assigned = {
            target
            for target in targets.values()
            if self._identity.node in self._get_watchers(target)
        }
        for target in self._watch_scopes.keys() - assigned:
            self._watch_scopes.pop(target).cancel()
        for target in assigned - self._watch_scopes.keys():
            self._watch_scopes[target] = trio.CancelScope()
            nursery.start_soon(self._watch, target, self._watch_scopes[target])

    def _handle_link_change(self, peer: Identity, linked: bool) -> None:
        # The new peer does not know the loaded models, and digests omit
        # unchanged ones. Makes the next digests include them.
        if linked:
            self._loaded_last_sent.clear()

    def _cancel_watches(self) -> None:
        """Closes all streams after a process pause; ``run`` reopens them.

        Reports that were buffered during the pause are old.
        """
        for scope in self._watch_scopes.values():
            scope.cancel()
        self._watch_scopes.clear()

    async def _watch(self, target: Target, scope: trio.CancelScope) -> None:
        watcher = TargetWatcher(
            target=target,
            feed=self._feed,
            clock=self._clock,
            load_sink=self._record_report,
            cache_sink=self._cache_sink,
            suspicion_sink=self._membership.mark_target_suspect,
        )
        with scope:
            await watcher.run()

    def _record_report(self, report: LoadReport) -> None:
        self._membership.record_target_report(
            report.target, leaving=report.leaving
        )
        self._report_store.update(
            AgedReport(
                report=report,
                age=timedelta(),
                reserved_elsewhere=self._sum_reserved_elsewhere(report.target),
                direct=True,
            )
        )

    async def _run_digests(self) -> None:
        while True:
            self.send_digests()
            period = compute_digest_period(len(self._list_local_targets()))
            await self._clock.sleep(period)

    async def _run_summaries(self) -> None:
        while True:
            self.send_summary()
            period = compute_target_summary_period(len(self._list_targets()))
            await self._clock.sleep(period)

    def send_digests(self) -> None:
        """Sends the digests that are due and this node's reservations."""
        period = compute_digest_period(len(self._list_local_targets()))
        self._local_reserved = dict(self._get_local_reserved())
        table = LoadedModelTable()
        targets = tuple(
            self._build_target_digest(target, table)
            for target in self._watch_scopes
            if self._is_digest_due(target, period)
        )
        digests = Digests(targets=targets, models=table.build_models())
        if targets:
            for peer in self._membership.gossip.list_local_peers():
                self._links.send(peer.node, digests)
        self._send_reservations()

    def send_summary(self) -> None:
        """Sends the reports of local targets to the other data centres."""
        peers = self._membership.gossip.list_remote_peers()
        if not peers:
            return
        table = LoadedModelTable()
        targets = tuple(
            self._build_target_digest(target, table, is_summary=True)
            for target in self._list_local_targets()
            if self._has_fresh_report(target.name)
        )
        summary = DigestSummary(
            data_centre=self._identity.data_centre,
            targets=targets,
            models=table.build_models(),
        )
        for peer in peers:
            self._links.send(peer.node, summary)

    def _is_digest_due(self, target: Target, period: timedelta) -> bool:
        if not self._has_fresh_report(target.name):
            return False
        if self._is_primary_watcher(target):
            return True
        last_received = self._primary_digest_times.get(target.name)
        return (
            last_received is None
            or self._clock.elapsed() - last_received > 2 * period
        )

    def _has_fresh_report(self, name: str) -> bool:
        aged = self._report_store.get(name)
        return aged is not None and aged.age <= TARGET_TIMEOUT

    def _build_target_digest(
        self,
        target: Target,
        table: LoadedModelTable,
        *,
        is_summary: bool = False,
    ) -> TargetDigest:
        aged = self._report_store.get(target.name)
        assert aged is not None
        local = self._local_reserved.get(target.name, 0)
        elsewhere = self._sum_reserved_elsewhere(target.name)
        includes_loaded = is_summary or self._is_loaded_due(aged.report)
        return encode_report(
            aged.report,
            age=aged.age,
            reserved=local + elsewhere,
            loaded=table.add(aged.report.loaded) if includes_loaded else None,
        )

    def _sum_reserved_elsewhere(self, name: str) -> int:
        """Returns the tokens that other nodes reserve on a target.

        Only the primary watcher receives the other nodes' reservations. Any
        other node subtracts its own from the total in the newest digest.
        """
        target = self._list_targets().get(name)
        if target is not None and self._is_primary_watcher(target):
            return self._peer_reservations.sum_tokens(name)
        local = self._local_reserved.get(name, 0)
        return max(0, self._reported_reserved.get(name, 0) - local)

    def _is_primary_watcher(self, target: Target) -> bool:
        return self._get_watchers(target)[:1] == (self._identity.node,)

    def _is_loaded_due(self, report: LoadReport) -> bool:
        """Returns whether a digest must include the loaded models.

        If so, records them as sent.
        """
        now = self._clock.elapsed()
        loaded, sent = self._loaded_last_sent.get(report.target, (None, now))
        if loaded == report.loaded and now - sent < _LOADED_RESEND_INTERVAL:
            return False
        self._loaded_last_sent[report.target] = (report.loaded, now)
        return True

    def _send_reservations(self) -> None:
        items: dict[str, list[Reservation]] = defaultdict(list)
        targets = self._list_targets()
        for name, tokens in self._local_reserved.items():
            if name not in targets or tokens <= 0:
                continue
            item = Reservation(key=hash_name(name), tokens=tokens)
            for watcher in self._get_watchers(targets[name])[:1]:
                items[watcher].append(item)
        for watcher, reserved in items.items():
            if watcher != self._identity.node:
                message = Reservations(items=tuple(reserved))
                self._links.send(watcher, message)

    async def _handle_digests(self, peer: Identity, digests: Digests) -> None:
        now = self._clock.elapsed()
        for digest in digests.targets:
            loaded = decode_loaded_models(digests, digest)
            self._apply_digest(digest, loaded, fresh_for=TARGET_TIMEOUT)
            name = self._names_by_key.get(digest.key)
            if name is not None:
                self._primary_digest_times[name] = now

    async def _handle_summary(
        self, peer: Identity, summary: DigestSummary
    ) -> None:
        if summary.data_centre == self._identity.data_centre:
            return
        period = compute_target_summary_period(len(self._list_targets()))
        fresh_for = max(TARGET_TIMEOUT, _MAX_MISSED_SUMMARIES * period)
        for digest in summary.targets:
            loaded = decode_loaded_models(summary, digest)
            self._apply_digest(digest, loaded, fresh_for=fresh_for)
        gossip = self._membership.gossip
        topic = f"targets {summary.data_centre}"
        if gossip.should_forward_summary(peer, topic, period):
            gossip.forward(peer, summary)

    async def _handle_reservations(
        self, peer: Identity, reservations: Reservations
    ) -> None:
        self._peer_reservations.clear_node(peer.node)
        for item in reservations.items:
            name = self._names_by_key.get(item.key)
            if name is not None:
                self._peer_reservations.update(name, peer.node, item.tokens)

    def _apply_digest(
        self,
        digest: TargetDigest,
        loaded: tuple[LoadedModel, ...] | None,
        *,
        fresh_for: timedelta,
    ) -> None:
        """Stores the report of a digest.

        A digest without loaded models keeps those of the previous report. It
        is ignored if there is no previous report.

        Args:
            digest: the digest.
            loaded: the loaded models; ``None`` if the digest omits them.
            fresh_for: how long the target counts as reporting.
        """
        name = self._names_by_key.get(digest.key)
        if name is None:
            return
        previous = self._report_store.get(name)
        if loaded is None:
            if previous is None:
                return
            loaded = previous.report.loaded
        age = decode_age(digest)
        now = self._clock.now()
        report = decode_report(digest, target=name, now=now, loaded=loaded)
        self._reported_reserved[name] = digest.reserved
        self._report_store.update(
            AgedReport(
                report=report,
                age=age,
                reserved_elsewhere=self._sum_reserved_elsewhere(name),
                direct=False,
            )
        )
        self._membership.record_target_report(
            name,
            leaving=report.leaving,
            age=age,
            fresh_for=fresh_for,
            direct=False,
        )
