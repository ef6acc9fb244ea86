"""The order in which runs migrate off an engine that shuts down.

The termination notice is often too short to migrate all runs of an engine. Its
link transfers one copy at a time, and a run survives only if its final copy
completes. If all runs were copied at once, each would be almost complete when
the engine stops, and none would survive. So runs migrate one after the other,
each from its first copy to its final one. All nodes with runs on the engine
read the engine's report and derive the same order from it. They notify each
other of the runs that no longer wait for the link.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.targets.client import EngineReport, TargetError, Targets
from acaciarack.gateway.targets.target_table import TargetInstance

REPORT_TIMEOUT = timedelta(milliseconds=100)
"""Timeout for reading the report of a leaving engine."""
CROSS_DATA_CENTRE_FACTOR = 2.0
"""The assumed copy time, as a multiple of the time within a data centre. A copy
to another data centre takes twice as long."""
RUN_OVERHEAD = timedelta(milliseconds=60)
"""Estimated time for the final copies of a run and for notifying the peers."""
ANNOUNCE_TIME = timedelta(seconds=3)
"""How long a node announces an evacuated run to its peers. Longer than the
termination notice of an engine."""
MAX_RUN_ID_LENGTH = 128
"""Longer ids are not announced: callers choose them, and they would leave no
room in heartbeats. Runs of peers then wait until their planned latest start."""
_MAX_COPY_SECONDS = 3600.0
"""More than any copy takes; keeps the sum within what a ``timedelta`` holds."""

_log = logbook.Logger("acaciarack.gateway.evacuation")


class Evacuation:
    """The migration order of the runs on one engine.

    Attributes:
        instance: the leaving engine.
        planned: set once the order is known or the report could not be read.
    """

    def __init__(self, *, instance: TargetInstance) -> None:
        self.instance = instance
        self.planned = trio.Event()
        self._order: list[str] = []
        self._latest_starts: dict[str, timedelta] = {}
        self._end = timedelta(0)

    async def plan(
        self,
        targets: Targets,
        spec: EngineSpec,
        elapsed: Callable[[], timedelta],
    ) -> None:
        """Reads the engine's report and sets the order from it.

        Args:
            targets: the client for targets.
            spec: the properties of the engine.
            elapsed: returns the elapsed time.
        """
        try:
            with trio.move_on_after(REPORT_TIMEOUT.total_seconds()):
                report = await targets.read_report(self.instance.target.address)
                if report.leaves_in is not None:
                    self.instance.stops_at = elapsed() + report.leaves_in
                self.set_order(report, spec)
        except TargetError as error:
            _log.info(
                "engine report not available: {}",
                error,
                extra={"target": self.instance.target.id},
            )
        finally:
            self.planned.set()

    def set_order(self, report: EngineReport, spec: EngineSpec) -> None:
        """Sets the order: by urgency, then by size.

        The most urgent run migrates first. Among equally urgent runs, the one
        with the least memory migrates first. Leaves the order empty if
        the bandwidth of the link is not known.

        Args:
            report: the report of the engine.
            spec: gives the bandwidth of its link and the KV bytes per token.
        """
        if not spec.link_mbps:
            return
        bits = spec.kv_bytes_per_token * 8 * CROSS_DATA_CENTRE_FACTOR
        token_copy_seconds = bits / (spec.link_mbps * 1e6)
        runs = sorted(
            report.runs.values(), key=lambda r: (r.urgency, r.tokens, r.id)
        )
        start = timedelta(0)
        for run in runs:
            self._order.append(run.id)
            self._latest_starts[run.id] = start
            seconds = min(token_copy_seconds * run.tokens, _MAX_COPY_SECONDS)
            start += timedelta(seconds=seconds) + RUN_OVERHEAD
        self._end = start
        _log.info(
            "evacuation planned",
            extra={
                "target": self.instance.target.id,
                "runs": len(runs),
                "seconds": round(start.total_seconds(), 2),
                "leaves_s": round(
                    report.leaves_in.total_seconds() if report.leaves_in else 0,
                    2,
                ),
            },
        )

    def get_latest_start(self, run_id: str) -> timedelta:
        """Returns the latest start of a run's migration.

        The time is relative to the start of the first migration. A run that the
        report did not list migrates last.
        """
        return self._latest_starts.get(run_id, self._end)

    def list_preceding(self, run_id: str) -> list[str]:
        """Returns the runs that migrate before a run."""
        if run_id not in self._latest_starts:
            return self._order
        return self._order[: self._order.index(run_id)]


class EvacuatedRuns:
    """Runs that no longer wait for the link of a leaving engine.

    A run is added once it has migrated, has ended, or is about to end.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # By run id: when it was added, and whether it is a run of this node.
        self._entries: dict[str, tuple[timedelta, bool]] = {}
        self._changed = trio.lowlevel.ParkingLot()
        self._on_change: Callable[[], None] | None = None

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Sets the callback for each added run of this node."""
        self._on_change = on_change

    def add(self, run_id: str) -> None:
        """Adds a run of this node."""
        if run_id in self._entries:
            return
        self._entries[run_id] = (self._clock.elapsed(), True)
        self._changed.unpark_all()
        if self._on_change is not None:
            self._on_change()

    def add_remote(self, run_ids: Iterable[str]) -> None:
        """Adds runs that a peer has reported."""
        for run_id in run_ids:
            if run_id not in self._entries:
                self._entries[run_id] = (self._clock.elapsed(), False)
        self._changed.unpark_all()

    def list_local(self) -> list[str]:
        """Returns the recently added runs of this node; deletes old entries."""
        oldest = self._clock.elapsed() - ANNOUNCE_TIME
        self._entries = {
            run_id: entry
            for run_id, entry in self._entries.items()
            if entry[0] >= oldest
        }
        return [
            run_id
            for run_id, (_, is_local) in self._entries.items()
            if is_local and len(run_id) <= MAX_RUN_ID_LENGTH
        ]

    async def wait_for(self, run_ids: Iterable[str]) -> None:
        """Waits until all of the given runs have been added."""
        remaining = set(run_ids)
        while remaining - self._entries.keys():
            await self._changed.park()
