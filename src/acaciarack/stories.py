"""Tells one request's story from the nodes' log lines.

Log lines may come from many files and nodes, in any order; lines that cannot
be read are counted and passed over.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

_KNOWN = ("time", "level", "logger", "event", "node", "request_id")


@dataclass(frozen=True, kw_only=True)
class Step:
    """One log line about a request.

    Attributes:
        time: as written, in UTC; sorts as text.
        node: who wrote it.
        event: what was decided or seen.
        details: what decided it, by field name.
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
class Story:
    """What the logs tell of one request.

    Attributes:
        steps: in order of time.
        unreadable: lines that were not JSON objects.
        left_out: lines that nodes say they did not write.
    """

    steps: list[Step] = field(default_factory=list)
    unreadable: int = 0
    left_out: int = 0


def tell_story(lines: Iterable[str], request_id: str) -> Story:
    """Collects the lines about a request.

    Args:
        lines: log lines of any nodes; text before the first brace of a line
            is passed over, as collectors write it.
        request_id: the id of the caller's attempt.
    """
    story = Story()
    for document in _read_lines(lines, story):
        story.left_out += int(document.get("left_out", 0))
        if document.get("request_id") == request_id:
            story.steps.append(_build_step(document))
    story.steps.sort(key=lambda step: step.time)
    return story


def _read_lines(lines: Iterable[str], story: Story) -> Iterator[dict[str, Any]]:
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
            story.unreadable += 1


def _build_step(document: dict[str, Any]) -> Step:
    return Step(
        time=str(document.get("time", "")),
        node=str(document.get("node", "")),
        event=str(document.get("event", "")),
        details={
            name: value
            for name, value in document.items()
            if name not in _KNOWN
        },
    )
