"""Stores the newest load report of each target and its age."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.loads import LoadReport


@dataclass(frozen=True, kw_only=True)
class AgedReport:
    """A load report with its age and origin.

    Attributes:
        report: the report.
        age: the time since a watcher received it from the target.
        reserved_elsewhere: tokens that other nodes reserved on the target
            when this node received the report.
        direct: whether the target sent it to this node; false for a report
            that a peer forwarded.
    """

    report: LoadReport
    age: timedelta
    reserved_elsewhere: int
    direct: bool


ReportListener = Callable[[AgedReport], None]


@dataclass(frozen=True, kw_only=True)
class _StoredReport:
    """A report with the monotonic time at which a watcher received it."""

    report: LoadReport
    received_at: timedelta
    reserved_elsewhere: int
    direct: bool


class LoadReportStore:
    """Stores the newest load report of each target."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, _StoredReport] = {}
        self._listeners: list[ReportListener] = []

    def add_listener(self, listener: ReportListener) -> None:
        """Adds a function that is called with each accepted report."""
        self._listeners.append(listener)

    def update(self, aged: AgedReport) -> bool:
        """Stores a report and notifies the listeners.

        Ignores a report that is older than the stored one.

        Returns:
            Whether the report was stored.
        """
        name = aged.report.target
        received_at = self._clock.elapsed() - aged.age
        stored = self._reports.get(name)
        if stored is not None and received_at < stored.received_at:
            return False
        self._reports[name] = _StoredReport(
            report=aged.report,
            received_at=received_at,
            reserved_elsewhere=aged.reserved_elsewhere,
            direct=aged.direct,
        )
        for listener in self._listeners:
            listener(aged)
        return True

    def get(self, name: str) -> AgedReport | None:
        """Returns the newest report of a target; ``None`` without one."""
        stored = self._reports.get(name)
        if stored is None:
            return None
        return AgedReport(
            report=stored.report,
            age=self._clock.elapsed() - stored.received_at,
            reserved_elsewhere=stored.reserved_elsewhere,
            direct=stored.direct,
        )

    def keep_only(self, names: frozenset[str]) -> None:
        """Removes the reports of targets that are not in ``names``."""
        for name in self._reports.keys() - names:
            del self._reports[name]
