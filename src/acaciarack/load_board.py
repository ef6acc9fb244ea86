"""The newest load report of each target, each with its age."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.loads import LoadReport


@dataclass(frozen=True, kw_only=True)
class AgedReport:
    """A load report as this node has it.

    Attributes:
        report: the report.
        age: how long ago a watcher received it.
        reserved_elsewhere: tokens that other nodes hold reserved on the
            target, as last heard.
        direct: whether this node had it from the target itself.
    """

    report: LoadReport
    age: timedelta
    reserved_elsewhere: int
    direct: bool


ReportListener = Callable[[AgedReport], None]


@dataclass(frozen=True, kw_only=True)
class _Held:
    """A report with the monotonic time at which a watcher received it."""

    report: LoadReport
    received: timedelta
    reserved_elsewhere: int
    direct: bool


class LoadBoard:
    """Holds the newest report of each target."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, _Held] = {}
        self._listeners: list[ReportListener] = []

    def add_listener(self, listener: ReportListener) -> None:
        """Adds what is told of each report that is newer than the last."""
        self._listeners.append(listener)

    def put(self, aged: AgedReport) -> bool:
        """Takes in a report; an older one than is held is ignored."""
        name = aged.report.target
        received = self._clock.elapsed() - aged.age
        held = self._held.get(name)
        if held is not None and received < held.received:
            return False
        self._held[name] = _Held(
            report=aged.report,
            received=received,
            reserved_elsewhere=aged.reserved_elsewhere,
            direct=aged.direct,
        )
        for listener in self._listeners:
            listener(aged)
        return True

    def get(self, name: str) -> AgedReport | None:
        """Returns the newest report of a target, if there is one."""
        held = self._held.get(name)
        if held is None:
            return None
        return AgedReport(
            report=held.report,
            age=self._clock.elapsed() - held.received,
            reserved_elsewhere=held.reserved_elsewhere,
            direct=held.direct,
        )

    def keep_only(self, names: frozenset[str]) -> None:
        """Removes the reports of all other targets."""
        for name in self._held.keys() - names:
            del self._held[name]
