"""The command line.

Modules in ``COMMAND_MODULES`` register their commands in ``commands``. Modules
that are not installed are skipped.
"""

import importlib
import importlib.util
from collections.abc import Sequence
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from acaciarack._commands_client import EXIT_CODE_HELP, ExitCode
from acaciarack._commands_rpc import build_commands
from acaciarack._commands_table import list_calls
from acaciarack.launch import launch_node
from acaciarack.registry import Registry
from acaciarack.settings import SettingsError, load_settings

COMMAND_MODULES = ("acaciarack._commands_dev", "acaciarack._commands_logs")

commands: Registry[Command] = Registry(kind="command")


@commands.register("node")
class NodeCommand(Command):  # type: ignore[misc]
    """Runs a node until it is stopped."""

    name = "node"
    description = "Runs a node."
    help = (
        "Runs a node until SIGTERM, which drains it.\n\n"
        "Example:\n  acaciarack node --settings node.toml"
    )
    options: ClassVar = [
        option("settings", description="Settings file.", flag=False)
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        path = self.option("settings")
        if not path:
            self.line_error("--settings FILE is required")
            return ExitCode.USAGE
        return launch_node(path)


@commands.register("settings check")
class SettingsCheckCommand(Command):  # type: ignore[misc]
    """Checks a settings file and reports all faults."""

    name = "settings check"
    description = "Checks a settings file."
    help = (
        "Shows every fault of a settings file.\n\n"
        f"Example:\n  acaciarack settings check node.toml\n\n{EXIT_CODE_HELP}"
    )
    arguments: ClassVar = [argument("file", description="The settings file.")]

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        path = self.argument("file")
        try:
            load_settings(path)
        except SettingsError as error:
            self.io.error_output.write_line(str(error).replace("<", "\\<"))
            return ExitCode.INVALID
        self.line(f"{path} is valid")
        return ExitCode.DONE


def build_application() -> Application:
    """Builds the application with all installed commands."""
    for name in COMMAND_MODULES:
        if importlib.util.find_spec(name) is not None:
            importlib.import_module(name)
    application = Application("acaciarack", "0.1.0")
    application.auto_exits(False)
    application.catch_exceptions(False)
    for name in commands.list_names():
        application.add(commands.create(name))
    for command in build_commands(list_calls()).values():
        application.add(command())
    return application


def run_command(
    arguments: Sequence[str],
    *,
    output: StreamOutput | None = None,
    error_output: StreamOutput | None = None,
) -> int:
    """Runs one command.

    Args:
        arguments: the arguments after the program name.
        output: the stream for results; standard output if absent.
        error_output: the stream for errors; standard error if absent.

    Returns:
        The exit code.
    """
    application = build_application()
    command_input = ArgvInput(["acaciarack", *arguments])
    io = application.create_io(command_input, output, error_output)
    try:
        return int(application.run(io.input, io.output, io.error_output))
    except CleoError as error:
        io.error_output.write_line(str(error).replace("<", "\\<"))
        return ExitCode.USAGE
