"""One command to start each stand-in."""

import json
import signal
import sys
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import ClassVar

import trio
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from acaciarack.clock import SystemClock
from acaciarack.web import AsgiApp
from acaciarack_bench.application import MemoryApplication
from acaciarack_bench.log import MemoryLog, build_log_app
from acaciarack_bench.serving import serve_app
from acaciarack_bench.vms import MemoryVmList, build_vms_app
from acaciarack_bench.weights import MemoryWeightStore, build_weights_app


def _build_option(name: str, description: str, default: str) -> Option:
    return option(name, None, description, flag=False, default=default)


async def _serve(
    build_app: Callable[[], AsgiApp], host: str, port: int
) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(
                partial(serve_app, build_app(), host=host, port=port)
            )
            print(json.dumps({"host": host, "port": bound}), flush=True)
            await anext(signals)
            nursery.cancel_scope.cancel()


class _StandInCommand(Command):  # type: ignore[misc]
    """Serves one stand-in until interrupted.

    Prints the bound address as a JSON line once it listens.
    """

    extra_options: ClassVar[list[Option]] = []

    def configure(self) -> None:
        self.options = [
            _build_option("host", "The IP number to listen on.", "127.0.0.1"),
            _build_option("port", "The TCP port; 0 for any free one.", "0"),
            *self.extra_options,
        ]
        super().configure()

    def handle(self) -> int:
        """Runs the command."""
        try:
            port = int(self.option("port"))
            trio.run(_serve, self.build_app, self.option("host"), port)
        except ValueError as error:
            print(f"an option is not a number: {error}", file=sys.stderr)
            return 2
        return 0

    def build_app(self) -> AsgiApp:
        """Builds the stand-in's application."""
        raise NotImplementedError

    def read_seconds(self, name: str) -> timedelta:
        """Returns an option as a duration."""
        return timedelta(seconds=float(self.option(name)))


class LogCommand(_StandInCommand):
    """Starts the log service."""

    name = "log"
    description = "Starts a stand-in of the log service."
    extra_options: ClassVar[list[Option]] = [
        _build_option("retention", "Seconds that records are kept.", "3600"),
        _build_option("rate", "The most appends a second.", "400"),
    ]

    def build_app(self) -> AsgiApp:
        """Builds the stand-in's application."""
        log = MemoryLog(
            clock=SystemClock(),
            retention=self.read_seconds("retention"),
            appends_per_second=float(self.option("rate")),
        )
        return build_log_app(log)


class VmsCommand(_StandInCommand):
    """Starts the VM list."""

    name = "vms"
    description = "Starts a stand-in of the VM list."
    extra_options: ClassVar[list[Option]] = [
        _build_option("lag", "Seconds until a change shows.", "5"),
    ]

    def build_app(self) -> AsgiApp:
        """Builds the stand-in's application."""
        lag = self.read_seconds("lag")
        return build_vms_app(MemoryVmList(clock=SystemClock(), lag=lag))


class WeightsCommand(_StandInCommand):
    """Starts the weight store."""

    name = "weights"
    description = "Starts a stand-in of the weight store."
    extra_options: ClassVar[list[Option]] = [
        _build_option("interval", "Seconds between two pulls.", "10"),
    ]

    def build_app(self) -> AsgiApp:
        """Builds the stand-in's application."""
        interval = self.read_seconds("interval")
        store = MemoryWeightStore(clock=SystemClock(), interval=interval)
        return build_weights_app(store)


class ApplicationCommand(_StandInCommand):
    """Starts an application server."""

    name = "application"
    description = "Starts a stand-in of an application server."
    extra_options: ClassVar[list[Option]] = [
        _build_option("name", "The target's name.", "application-1"),
        _build_option("lag", "Seconds that load reports are late.", "0"),
    ]

    def build_app(self) -> AsgiApp:
        """Builds the stand-in's application."""
        application = MemoryApplication(
            name=self.option("name"),
            clock=SystemClock(),
            report_lag=self.read_seconds("lag"),
        )
        return application.build_app()


STAND_IN_COMMANDS: tuple[type[Command], ...] = (
    LogCommand,
    VmsCommand,
    WeightsCommand,
    ApplicationCommand,
)
