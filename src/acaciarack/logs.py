"""Writes logs as JSON lines, without secrets and without callers' text.

Each line has the fields ``time``, ``level``, ``logger`` and ``event``, and the
extra fields of the record. Numbers are written for every field. Text is
written only for ``TEXT_FIELDS``, which contain names and codes.
"""

import logging
import os
import re
import sys
from collections.abc import Iterator, Mapping
from typing import Any, TextIO

import logbook
import msgspec
import trio
from logbook.compat import redirect_logging

from acaciarack.clock import Clock
from acaciarack.settings import LogLevel

TEXT_FIELDS = frozenset(
    {
        "address",
        "carrier",
        "change_id",
        "code",
        "data_centre",
        "detail",
        "end",
        "fingerprint",
        "fingerprints",
        "framing",
        "kind",
        "node",
        "order",
        "organisation",
        "outcome",
        "prompt_segments",
        "request_id",
        "response_id",
        "route",
        "service",
        "signal",
        "state",
        "stream",
        "target",
        "targets",
        "version",
    }
)
MAX_LINES_PER_EVENT = 100
"""The maximum number of lines per second with the same logger and message
template. It is ten times the rate of a node's most frequent event at the node's
share of 50 requests per second."""
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
            "event": redact_secrets(record.message)[:MAX_EVENT_CHARACTERS],
        }
        if self._node:
            line["node"] = self._node
        for name, value in _select_fields(record.extra):
            line.setdefault(name, value)
        if record.exc_info:
            line["error"] = record.exception_shortname
            trace = redact_secrets(record.formatted_exception or "")
            line["trace"] = trace[-MAX_TRACE_CHARACTERS:]
        return msgspec.json.encode(line).decode()


class RateLimitedHandler(JsonLinesHandler):
    """Limits the rate of lines and never blocks on the output.

    It drops lines of an event above ``MAX_LINES_PER_EVENT`` per second, and
    lines that the output does not accept. The field ``left_out`` of the next
    written line is the number of dropped lines.
    """

    def __init__(
        self, *, descriptor: int, level: LogLevel, clock: Clock, node: str
    ) -> None:
        super().__init__(stream=sys.stdout, level=level, clock=clock, node=node)
        self._descriptor = descriptor
        self._window_start = 0.0
        self._line_counts: dict[str, int] = {}
        self._dropped = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Writes a record, or counts it as dropped."""
        if not self._is_within_limit(record):
            self._dropped += 1
            return
        line = self.format(record)
        if self._dropped:
            line = line[:-1] + f',"left_out":{self._dropped}}}'
        if self._write(line.encode() + b"\n"):
            self._dropped = 0
        else:
            self._dropped += 1

    def _is_within_limit(self, record: Any) -> bool:
        if not trio.lowlevel.in_trio_run():
            # The clock has no time before and after the loop runs.
            return True
        now = self._clock.elapsed().total_seconds()
        if now - self._window_start >= 1:
            self._window_start = now
            self._line_counts.clear()
        event_key = f"{record.channel}/{record.msg}"
        count = self._line_counts.get(event_key, 0)
        self._line_counts[event_key] = count + 1
        return count < MAX_LINES_PER_EVENT

    def _write(self, data: bytes) -> bool:
        """Returns whether the output accepted at least a part of the line.

        The next call writes the remaining part first.
        """
        try:
            if self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
                if self._unwritten:
                    return False
            written = os.write(self._descriptor, data)
        except OSError:
            # The output is full or closed. A later line reports the number of
            # dropped lines.
            return False
        self._unwritten = data[written:]
        return True


def redact_secrets(text: str) -> str:
    """Replaces caller keys and bearer tokens in a text with ``***``."""
    return _SECRET.sub("***", text)


def start_logs(
    *, level: LogLevel, clock: Clock, node: str, stream: TextIO | None = None
) -> JsonLinesHandler:
    """Writes all logs of the process to a stream.

    This includes logs of libraries that use the standard library's logging.

    Args:
        level: the minimum level of records that are written.
        clock: the clock for the time of each line.
        node: the node's name, written in each line.
        stream: the output; standard error if absent.
    """
    handler = JsonLinesHandler(
        stream=stream or sys.stderr, level=level, clock=clock, node=node
    )
    _install_handler(handler, level)
    return handler


def start_rate_limited_logs(
    *, level: LogLevel, clock: Clock, node: str
) -> RateLimitedHandler:
    """Writes all logs of the process to standard output without blocking.

    Args:
        level: the minimum level of records that are written.
        clock: the clock for the time of each line and for the rate limit.
        node: the node's name, written in each line.
    """
    handler = RateLimitedHandler(
        descriptor=sys.stdout.fileno(), level=level, clock=clock, node=node
    )
    _install_handler(handler, level)
    return handler


def _install_handler(handler: JsonLinesHandler, level: LogLevel) -> None:
    # The root level prevents libraries from creating records that would be
    # discarded: at debug level they log each read and write of a connection.
    redirect_logging(set_root_logger_level=False)
    logging.getLogger().setLevel(level.upper())
    handler.push_application()


def _select_fields(extra: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    for name, value in extra.items():
        if isinstance(value, bool | int | float):
            yield name, value
        elif name in TEXT_FIELDS and isinstance(value, str):
            yield name, redact_secrets(value)
        elif name in TEXT_FIELDS and isinstance(value, list | tuple):
            yield name, [redact_secrets(str(item)) for item in value]
