"""Reports how fast the error budgets are spent, from the log's counters.

Any node reads the streams of all data centres, adds what it has itself and
not yet on the log, and so makes the same report as any other.
"""

import functools
import itertools
from datetime import timedelta

import logbook
import trio

from acaciarack.burn_counts import Part, decode, split
from acaciarack.burn_exchange import BurnExchange
from acaciarack.burn_records import (
    MAX_AGE,
    Marks,
    StreamReader,
    name_stream,
    read_accepted,
)
from acaciarack.burn_sink import get_objectives
from acaciarack.burn_windows import WindowSums, build_budgets
from acaciarack.desks import BurnReport
from acaciarack.platform import PlatformError
from acaciarack.reports import ReportContext, ReportPart, reports

MAX_PERIOD = timedelta(days=1)
"""The longest period of a budget; the log's retention may bound it more."""
MIN_PERIOD = timedelta(hours=6)
OLD_AFTER = timedelta(minutes=3)
"""A stream without a record for so long has lost its aggregator."""
MAX_READS = 3
"""The streams that are read side by side."""
_logger = logbook.Logger("burn")


class LogBurnReporter:
    """A ``BurnReporter`` that reads the log."""

    def __init__(
        self, *, context: ReportContext, exchange: BurnExchange
    ) -> None:
        self._context = context
        self._exchange = exchange
        self._period = compute_period(context.retention)
        self._reads = trio.CapacityLimiter(MAX_READS)

    async def report(self, *, service: str, organisation: str) -> BurnReport:
        """Makes the report; see ``BurnReporter``."""
        now = self._context.clock.now()
        sums = WindowSums(
            now=now,
            period=self._period,
            service=service,
            organisation=organisation,
        )
        missing: set[str] = set()
        own_marks = Marks()
        async with trio.open_nursery() as nursery:
            for centre in self._list_data_centres():
                marks = Marks()
                if centre == self._context.identity.data_centre:
                    marks = own_marks
                nursery.start_soon(self._read, centre, marks, sums, missing)
        self._add_own(sums, own_marks)
        find = functools.partial(
            get_objectives, self._context.get_configuration()
        )
        return BurnReport(
            time=now,
            budgets=tuple(build_budgets(sums, find_objectives=find)),
            missing=tuple(sorted(missing)),
        )

    def _list_data_centres(self) -> set[str]:
        targets = self._context.get_configuration().targets.values()
        return {
            self._context.identity.data_centre,
            *(node.data_centre for node in self._context.members.list_nodes()),
            *(target.data_centre for target in targets),
        }

    async def _read(
        self, centre: str, marks: Marks, sums: WindowSums, missing: set[str]
    ) -> None:
        """Adds a data centre's stream; names it if it is missing or old."""
        async with self._reads:
            await self._read_stream(centre, marks, sums, missing)

    async def _read_stream(
        self, centre: str, marks: Marks, sums: WindowSums, missing: set[str]
    ) -> None:
        reader = StreamReader(log=self._context.log, stream=name_stream(centre))
        try:
            await reader.seek(sums.now - self._period - MAX_AGE)
            while entries := await reader.read():
                pieces = map(split, read_accepted(entries, marks))
                for piece in itertools.chain.from_iterable(pieces):
                    sums.add(piece)
                    await trio.lowlevel.checkpoint()
        except PlatformError as error:
            _logger.warning("no burn counters of {}: {}", centre, error)
            missing.add(centre)
        if reader.newest is None or sums.now - reader.newest > OLD_AFTER:
            missing.add(centre)

    def _add_own(self, sums: WindowSums, marks: Marks) -> None:
        """Adds what this node has and the log lacks."""
        self._exchange.counter.roll()
        mark = marks.get(
            self._context.identity.node, self._context.identity.incarnation
        )
        for body in self._exchange.pending.list_bodies():
            counts = decode(body, Part).counts
            if counts.minute > mark:
                sums.add(counts)
        sums.add(self._exchange.counter.peek())


def compute_period(retention: timedelta) -> timedelta:
    """Returns the period of the budgets, bounded by the log's retention.

    The records of the last ``MAX_AGE`` before the period tell which of the
    first ones in it are void, so they must be there too.
    """
    return max(MIN_PERIOD, min(MAX_PERIOD, retention - 2 * MAX_AGE))


@reports.register("burn")
def build_burn_report(*, context: ReportContext) -> ReportPart:
    """Builds the report's part of a node."""
    exchange = BurnExchange(context=context)
    return ReportPart(
        observe=exchange.counter,
        run=exchange.run,
        reporter=LogBurnReporter(context=context, exchange=exchange),
    )
