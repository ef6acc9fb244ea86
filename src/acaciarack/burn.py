"""Reports the burn rates of the error budgets from the counts on the log.

The reporting node reads the log streams of all data centres and adds its own
counts that are not yet on the log. Every node can make the report.
"""

import functools
import itertools
from datetime import timedelta

import logbook
import trio

from acaciarack.burn_collector import BurnCollector
from acaciarack.burn_counts import Part, decode, split_counts
from acaciarack.burn_minute_counter import get_objectives
from acaciarack.burn_records import (
    MAX_AGE,
    StreamReader,
    Watermarks,
    build_stream_name,
    iterate_accepted_counts,
)
from acaciarack.burn_windows import WindowSums, build_budgets
from acaciarack.operator_interfaces import BurnReport
from acaciarack.platform import PlatformError
from acaciarack.reports import ReportComponent, ReportContext, reports

MAX_PERIOD = timedelta(days=1)
"""Maximum period of a budget. The log's retention can shorten it."""
MIN_PERIOD = timedelta(hours=6)
"""Minimum period of a budget, equal to the longest of ``WINDOW_LENGTHS``."""
STALE_AFTER = timedelta(minutes=3)
"""A stream without a new record for this long is reported as missing.

The aggregator appends a record every minute, so a stale stream has lost its
aggregator.
"""
MAX_CONCURRENT_READS = 3
"""Maximum number of streams that are read concurrently."""
_logger = logbook.Logger("burn")


class LogBurnReporter:
    """A ``BurnReporter`` that reads the log."""

    def __init__(
        self, *, context: ReportContext, collector: BurnCollector
    ) -> None:
        self._context = context
        self._collector = collector
        self._period = compute_period(context.retention)
        self._read_limiter = trio.CapacityLimiter(MAX_CONCURRENT_READS)

    async def report(self, *, service: str, organisation: str) -> BurnReport:
        """Makes the report, as ``BurnReporter`` describes."""
        now = self._context.clock.now()
        sums = WindowSums(
            now=now,
            period=self._period,
            service=service,
            organisation=organisation,
        )
        missing: set[str] = set()
        local_watermarks = Watermarks()
        async with trio.open_nursery() as nursery:
            for data_centre in self._list_data_centres():
                watermarks = Watermarks()
                if data_centre == self._context.identity.data_centre:
                    watermarks = local_watermarks
                nursery.start_soon(
                    self._add_stream_limited,
                    data_centre,
                    watermarks,
                    sums,
                    missing,
                )
        self._add_local_counts(sums, local_watermarks)
        get_service_objectives = functools.partial(
            get_objectives, self._context.get_configuration()
        )
        return BurnReport(
            time=now,
            budgets=tuple(
                build_budgets(sums, find_objectives=get_service_objectives)
            ),
            missing=tuple(sorted(missing)),
        )

    def _list_data_centres(self) -> set[str]:
        targets = self._context.get_configuration().targets.values()
        return {
            self._context.identity.data_centre,
            *(node.data_centre for node in self._context.members.list_nodes()),
            *(target.data_centre for target in targets),
        }

    async def _add_stream_limited(
        self,
        data_centre: str,
        watermarks: Watermarks,
        sums: WindowSums,
        missing: set[str],
    ) -> None:
        """Adds the counts of a data centre's stream to ``sums``.

        Adds the data centre to ``missing`` if the stream is unreadable or
        stale.
        """
        async with self._read_limiter:
            await self._add_stream(data_centre, watermarks, sums, missing)

    async def _add_stream(
        self,
        data_centre: str,
        watermarks: Watermarks,
        sums: WindowSums,
        missing: set[str],
    ) -> None:
        reader = StreamReader(
            log=self._context.log, stream=build_stream_name(data_centre)
        )
        try:
            await reader.seek(sums.now - self._period - MAX_AGE)
            while entries := await reader.read():
                chunks = map(
                    split_counts, iterate_accepted_counts(entries, watermarks)
                )
                for chunk in itertools.chain.from_iterable(chunks):
                    sums.add(chunk)
                    await trio.lowlevel.checkpoint()
        except PlatformError as error:
            _logger.warning(
                "failed to read burn counts of data centre {}: {}",
                data_centre,
                error,
            )
            missing.add(data_centre)
        if (
            reader.newest_time is None
            or sums.now - reader.newest_time > STALE_AFTER
        ):
            missing.add(data_centre)

    def _add_local_counts(
        self, sums: WindowSums, watermarks: Watermarks
    ) -> None:
        """Adds the counts of this node that the log lacks."""
        self._collector.counter.close_elapsed_minute()
        watermark = watermarks.get(
            self._context.identity.node, self._context.identity.incarnation
        )
        for body in self._collector.pending.list_bodies():
            counts = decode(body, Part).counts
            if counts.minute > watermark:
                sums.add(counts)
        sums.add(self._collector.counter.peek())


def compute_period(retention: timedelta) -> timedelta:
    """Returns the period of the budgets, bounded by the log's retention.

    The reporter also needs the records of the last ``MAX_AGE`` before the
    period: their watermarks decide which of the period's first records are
    rejected.
    """
    return max(MIN_PERIOD, min(MAX_PERIOD, retention - 2 * MAX_AGE))


@reports.register("burn")
def build_burn_report(*, context: ReportContext) -> ReportComponent:
    """Builds a node's component of the burn report."""
    collector = BurnCollector(context=context)
    return ReportComponent(
        observe=collector.counter,
        run=collector.run,
        reporter=LogBurnReporter(context=context, collector=collector),
    )
