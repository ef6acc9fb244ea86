"""Commands that start the stand-ins and run experiments."""

import json
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import ClassVar

import trio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from acaciarack.clock import SystemClock
from acaciarack.web import AsgiApp
from acaciarack_bench.application import ApplicationStandIn
from acaciarack_bench.engine import Engine, parse_model
from acaciarack_bench.engine_http import build_engine_app
from acaciarack_bench.log import MemoryLog, build_log_app
from acaciarack_bench.model import EngineModel, EngineSettings
from acaciarack_bench.serving import serve_app
from acaciarack_bench.vms import MemoryVmList, build_vms_app
from acaciarack_bench.weights import MemoryWeightStore, build_weights_app


def _build_option(name: str, description: str, default: str) -> Option:
    return option(name, None, description, flag=False, default=default)


@dataclass(frozen=True, kw_only=True)
class _StandIn:
    """A stand-in to serve.

    Attributes:
        app: its ASGI application.
        run: its background task; ``None`` if it has none.
    """

    app: AsgiApp
    run: Callable[[], Awaitable[None]] | None = None


async def _serve(build: Callable[[], _StandIn], host: str, port: int) -> None:
    stand_in = build()
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            bound_port = await nursery.start(
                partial(serve_app, stand_in.app, host=host, port=port)
            )
            if stand_in.run is not None:
                nursery.start_soon(stand_in.run)
            print(json.dumps({"host": host, "port": bound_port}), flush=True)
            await anext(signals)
            nursery.cancel_scope.cancel()


class _StandInCommand(Command):  # type: ignore[misc]
    """Serves one stand-in until SIGINT or SIGTERM.

    Prints the bound address as a JSON line when the server is listening.
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
            trio.run(_serve, self.build, self.option("host"), port)
        except ValueError as error:
            print(f"an option is not a number: {error}", file=sys.stderr)
            return 2
        return 0

    def build(self) -> _StandIn:
        """Builds the stand-in."""
        raise NotImplementedError

    def read_seconds(self, name: str) -> timedelta:
        """Returns an option in seconds as a duration."""
        return timedelta(seconds=float(self.option(name)))


class LogCommand(_StandInCommand):
    """Starts the stand-in for the log service."""

    name = "log"
    description = "Starts a stand-in of the log service."
    extra_options: ClassVar[list[Option]] = [
        _build_option("retention", "Seconds that records are kept.", "3600"),
        _build_option("rate", "The most appends a second.", "400"),
    ]

    def build(self) -> _StandIn:
        """Builds the stand-in."""
        log = MemoryLog(
            clock=SystemClock(),
            retention=self.read_seconds("retention"),
            appends_per_second=float(self.option("rate")),
        )
        return _StandIn(app=build_log_app(log))


class VmsCommand(_StandInCommand):
    """Starts the stand-in for the VM list."""

    name = "vms"
    description = "Starts a stand-in of the VM list."
    extra_options: ClassVar[list[Option]] = [
        _build_option("lag", "Seconds until a change shows.", "5"),
    ]

    def build(self) -> _StandIn:
        """Builds the stand-in."""
        lag = self.read_seconds("lag")
        vms = MemoryVmList(clock=SystemClock(), lag=lag)
        return _StandIn(app=build_vms_app(vms))


class WeightsCommand(_StandInCommand):
    """Starts the stand-in for the weight store."""

    name = "weights"
    description = "Starts a stand-in of the weight store."
    extra_options: ClassVar[list[Option]] = [
        _build_option("interval", "Seconds between two pulls.", "10"),
    ]

    def build(self) -> _StandIn:
        """Builds the stand-in."""
        interval = self.read_seconds("interval")
        store = MemoryWeightStore(clock=SystemClock(), interval=interval)
        return _StandIn(app=build_weights_app(store))


class ApplicationCommand(_StandInCommand):
    """Starts a stand-in for an application server."""

    name = "application"
    description = "Starts a stand-in of an application server."
    extra_options: ClassVar[list[Option]] = [
        _build_option("name", "The target's name.", "application-1"),
        _build_option("lag", "Seconds that load reports are late.", "0"),
    ]

    def build(self) -> _StandIn:
        """Builds the stand-in."""
        application = ApplicationStandIn(
            name=self.option("name"),
            clock=SystemClock(),
            report_lag=self.read_seconds("lag"),
        )
        return _StandIn(app=application.build_app())


class EngineCommand(_StandInCommand):
    """Starts a stand-in for an inference engine."""

    name = "engine"
    description = "Starts a stand-in of a model engine."
    extra_options: ClassVar[list[Option]] = [
        _build_option("name", "The target's name.", "engine-1"),
        _build_option("models", "MODEL:ADAPTER@VERSION, by comma.", ""),
        _build_option("capacity", "Key-value memory, in tokens.", "60000"),
        _build_option("pace", "Multiplies the duration of steps.", "1"),
        _build_option("lag", "Seconds that load reports are late.", "0.5"),
        _build_option("cache-lag", "Seconds that events are late.", "0.5"),
        _build_option("cache-loss", "Fraction of events lost.", "0.05"),
        _build_option("seed", "For lengths, durations and losses.", "0"),
        _build_option("incarnation", "Told apart in response ids.", ""),
        option("fencing", None, "Refuse orders with old numbers."),
    ]

    def build(self) -> _StandIn:
        """Builds the stand-in."""
        names = self.option("models").split(",")
        settings = EngineSettings(
            capacity_tokens=int(self.option("capacity")),
            loaded=tuple(parse_model(name, ()) for name in names if name),
        )
        seed = int(self.option("seed"))
        engine = Engine(
            model=EngineModel(
                settings=settings, name=self.option("name"), seed=seed
            ),
            clock=SystemClock(),
            pace=float(self.option("pace")),
            incarnation=self.option("incarnation"),
            checks_fencing=self.option("fencing"),
            report_lag=self.read_seconds("lag"),
            cache_lag=self.read_seconds("cache-lag"),
            cache_loss=float(self.option("cache-loss")),
            seed=seed,
        )
        return _StandIn(app=build_engine_app(engine), run=engine.run)


class ExperimentCommand(Command):  # type: ignore[misc]
    """Runs an experiment and writes its results."""

    name = "experiment"
    description = "Compares routing policies under load and faults."
    help = (
        "Writes results as JSON and CSV, plots and tables to a directory.\n\n"
        "Example:\n  acaciarack-bench experiment experiments/coulee.toml"
    )
    arguments: ClassVar = [argument("file", description="A TOML experiment.")]
    options: ClassVar[list[Option]] = [
        _build_option("out", "The directory to write to.", "out")
    ]

    def handle(self) -> int:
        """Runs the command."""
        # Imported here because the plot library is large and the stand-ins do
        # not need it.
        from acaciarack_bench.experiments import run_experiment

        path = pathlib.Path(self.argument("file"))
        run_experiment(path, pathlib.Path(self.option("out")) / path.stem)
        return 0


COMMANDS: tuple[type[Command], ...] = (
    LogCommand,
    EngineCommand,
    VmsCommand,
    WeightsCommand,
    ApplicationCommand,
    ExperimentCommand,
)
