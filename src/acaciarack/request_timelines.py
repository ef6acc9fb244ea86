"""Builds the timeline of a request from the nodes' log lines.

The lines can come from many files and nodes, in any order. Lines that are not
JSON objects are counted and skipped.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

_STANDARD_FIELDS = ("time", "level", "logger", "event", "node", "request_id")


@dataclass(frozen=True, kw_only=True)
class TimelineEntry:
    """One log line about a request.

    Attributes:
        time: the time as logged, in UTC. Sorting it as text sorts it by time.
        node: the node that wrote the line.
        event: the event.
        details: the other fields of the line, by name.
    """

    time: str
    node: str
    event: str
    details: dict[str, Any]

    def __str__(self) -> str:
        details = " ".join(
            f"{name}={value}" for name, value in self.details.items()
        )
        return f"{self.time} {self.node} {self.event}: {details}".rstrip(": ")


@dataclass(kw_only=True)
class RequestTimeline:
    """The log lines about one request.

    Attributes:
        entries: the lines, sorted by time.
        unreadable: the number of lines that were not JSON objects.
        left_out: the number of lines, about any request, that the nodes logged
            as dropped.
    """

    entries: list[TimelineEntry] = field(default_factory=list)
    unreadable: int = 0
    left_out: int = 0


def build_timeline(lines: Iterable[str], request_id: str) -> RequestTimeline:
    """Collects the log lines about a request.

    Args:
        lines: log lines of any nodes. Text before the first brace of a line,
            such as a log collector's prefix, is skipped.
        request_id: the id of one attempt by the caller. A retry by the caller
            has another id.
    """
    timeline = RequestTimeline()
    for document in _read_lines(lines, timeline):
        timeline.left_out += int(document.get("left_out", 0))
        if document.get("request_id") == request_id:
            timeline.entries.append(_build_entry(document))
    timeline.entries.sort(key=lambda entry: entry.time)
    return timeline


def _read_lines(
    lines: Iterable[str], timeline: RequestTimeline
) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if not line.strip():
            continue
        try:
            document = msgspec.json.decode(line[max(start, 0) :])
        except msgspec.DecodeError:
            document = None
        if isinstance(document, dict):
            yield document
        else:
            timeline.unreadable += 1


def _build_entry(document: dict[str, Any]) -> TimelineEntry:
    return TimelineEntry(
        time=str(document.get("time", "")),
        node=str(document.get("node", "")),
        event=str(document.get("event", "")),
        details={
            name: value
            for name, value in document.items()
            if name not in _STANDARD_FIELDS
        },
    )
