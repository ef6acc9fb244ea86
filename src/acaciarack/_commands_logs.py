"""The command ``logs explain``: one request's timeline from log files."""

import pathlib
import sys
from collections.abc import Iterator
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from acaciarack._commands_client import EXIT_CODE_HELP, ExitCode
from acaciarack.commands import commands
from acaciarack.request_timelines import build_timeline

STANDARD_INPUT = "-"


@commands.register("logs explain")
class LogsExplainCommand(Command):  # type: ignore[misc]
    """Shows all nodes' log lines about one request in order of time."""

    name = "logs explain"
    description = "Tells one request's story from the nodes' log lines."
    help = (
        "Reads JSON log lines from files, from all files of folders, or from\n"
        "standard input, and shows those about one request in order of time.\n"
        "Lines that cannot be read are counted and passed over.\n\n"
        "Example:\n  acaciarack logs explain 9c41d07be2a35f68 logs/\n\n"
        f"{EXIT_CODE_HELP}"
    )
    arguments: ClassVar = [
        argument("request", description="The id of the caller's attempt."),
        argument(
            "paths",
            description="Files or folders; standard input if there is none.",
            optional=True,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        paths = self.argument("paths") or [STANDARD_INPUT]
        try:
            timeline = build_timeline(
                _read_lines(paths), self.argument("request")
            )
        except OSError as error:
            self.line_error(str(error))
            return ExitCode.INVALID
        for entry in timeline.entries:
            self.io.output.write_line(str(entry).replace("<", "\\<"))
        if timeline.unreadable:
            self.line_error(f"{timeline.unreadable} lines could not be read")
        if timeline.left_out:
            self.line_error(f"nodes left out {timeline.left_out} lines")
        if not timeline.entries:
            self.line_error("no line names this request")
            return ExitCode.INVALID
        return ExitCode.DONE


def _read_lines(paths: list[str]) -> Iterator[str]:
    for name in paths:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        path = pathlib.Path(name)
        files = sorted(path.iterdir()) if path.is_dir() else [path]
        for file in files:
            with file.open(encoding="utf-8", errors="replace") as lines:
                yield from lines
