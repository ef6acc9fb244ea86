"""Logs as JSON lines, without secrets and without text of callers.

Each line holds ``time``, ``level``, ``logger`` and ``event``, and the fields
that the record was given. Text is written only in fields that are known to
hold names and codes; numbers are written in any field.
"""

import logging
import os
import re
import sys
from collections.abc import Iterator, Mapping
from typing import Any, TextIO

import logbook
import msgspec
from logbook.compat import redirect_logging

from acaciarack.clock import Clock
from acaciarack.settings import LogLevel

TEXT_FIELDS = frozenset(
    {
        "address",
        "change_id",
        "code",
        "data_centre",
        "detail",
        "kind",
        "node",
        "order",
        "organisation",
        "outcome",
        "request_id",
        "response_id",
        "route",
        "service",
        "state",
        "stream",
        "target",
        "targets",
        "version",
    }
)
MAX_LINES_A_KIND = 100
"""Lines of one kind that are written in a second; ten times what a node logs
of its most frequent kind at its share of 50 requests a second."""
MAX_EVENT_CHARACTERS = 500
MAX_TRACE_CHARACTERS = 4000
_SECRET = re.compile(r"(?i)(ack_|bearer\s+)[\w.~+/=-]+")
_LEVELS = {
    LogLevel.DEBUG: logbook.DEBUG,
    LogLevel.INFO: logbook.INFO,
    LogLevel.WARNING: logbook.WARNING,
    LogLevel.ERROR: logbook.ERROR,
}


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON line."""

    def __init__(
        self, *, stream: TextIO, level: LogLevel, clock: Clock, node: str = ""
    ) -> None:
        super().__init__(stream, level=_LEVELS[level])
        self._clock = clock
        self._node = node

    def format(self, record: Any) -> str:
        """Returns the line for a record."""
        line: dict[str, Any] = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "event": remove_secrets(record.message)[:MAX_EVENT_CHARACTERS],
        }
        if self._node:
            line["node"] = self._node
        for name, value in _select_fields(record.extra):
            line.setdefault(name, value)
        if record.exc_info:
            line["error"] = record.exception_shortname
            trace = remove_secrets(record.formatted_exception or "")
            line["trace"] = trace[-MAX_TRACE_CHARACTERS:]
        return msgspec.json.encode(line).decode()


class BoundedLinesHandler(JsonLinesHandler):
    """Writes a bounded number of lines, and never waits for their reader.

    Lines over the limit of a kind and second, and lines that the reader does
    not take, are left out; the next line of any kind counts them.
    """

    def __init__(
        self, *, descriptor: int, level: LogLevel, clock: Clock, node: str
    ) -> None:
        super().__init__(stream=sys.stdout, level=level, clock=clock, node=node)
        self._descriptor = descriptor
        self._second = 0.0
        self._lines: dict[str, int] = {}
        self._left_out = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Writes a record, or counts it as left out."""
        if not self._may_write(record):
            self._left_out += 1
            return
        line = self.format(record)
        if self._left_out:
            line = line[:-1] + f',"left_out":{self._left_out}}}'
        if self._write(line.encode() + b"\n"):
            self._left_out = 0
        else:
            self._left_out += 1

    def _may_write(self, record: Any) -> bool:
        now = self._clock.elapsed().total_seconds()
        if now - self._second >= 1:
            self._second = now
            self._lines.clear()
        kind = f"{record.channel}/{record.msg}"
        count = self._lines.get(kind, 0)
        self._lines[kind] = count + 1
        return count < MAX_LINES_A_KIND

    def _write(self, data: bytes) -> bool:
        """Returns whether a line was taken, perhaps in part for now."""
        try:
            if self._rest:
                sent = os.write(self._descriptor, self._rest)
                self._rest = self._rest[sent:]
                if self._rest:
                    return False
            sent = os.write(self._descriptor, data)
        except OSError:
            # Nobody reads; the number of lines left out tells so later.
            return False
        self._rest = data[sent:]
        return True


def remove_secrets(text: str) -> str:
    """Replaces caller keys and bearer tokens in a text."""
    return _SECRET.sub("***", text)


def start_logs(
    *, level: LogLevel, clock: Clock, node: str, stream: TextIO | None = None
) -> JsonLinesHandler:
    """Sends all logs of the process to a stream.

    Logs of libraries that use the standard library's logging are included.

    Args:
        level: the least severe records that are written.
        clock: gives the time of each line.
        node: the node's name, on each line.
        stream: where to write; standard error if absent.
    """
    handler = JsonLinesHandler(
        stream=stream or sys.stderr, level=level, clock=clock, node=node
    )
    _push(handler, level)
    return handler


def start_bounded_logs(
    *, level: LogLevel, clock: Clock, node: str
) -> BoundedLinesHandler:
    """Sends all logs of the process to standard output, never waiting.

    Args:
        level: the least severe records that are written.
        clock: gives the time of each line, and the seconds of the limits.
        node: the node's name, on each line.
    """
    handler = BoundedLinesHandler(
        descriptor=sys.stdout.fileno(), level=level, clock=clock, node=node
    )
    _push(handler, level)
    return handler


def _push(handler: JsonLinesHandler, level: LogLevel) -> None:
    # Records that would not be written must not be made: libraries trace each
    # read and write of a connection at their debug level.
    redirect_logging(set_root_logger_level=False)
    logging.getLogger().setLevel(level.upper())
    handler.push_application()


def _select_fields(extra: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    for name, value in extra.items():
        if isinstance(value, bool | int | float):
            yield name, value
        elif name in TEXT_FIELDS and isinstance(value, str):
            yield name, remove_secrets(value)
        elif name in TEXT_FIELDS and isinstance(value, list | tuple):
            yield name, [remove_secrets(str(item)) for item in value]
