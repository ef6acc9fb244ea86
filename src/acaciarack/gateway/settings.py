"""A gateway node's settings: one TOML file, checked as a whole.

The file is written by the platform from a template, so every value is in the
units of its name.
"""

import pathlib
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from acaciarack._settings_reader import (
    Address,
    check_document,
    parse_address,
    read_document,
)
from acaciarack.gateway.retrying import RetryBounds
from acaciarack.settings import LogLevel, Port

_ADDRESS: dict[str, Any] = {"parse": parse_address}
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


@dataclass(frozen=True, kw_only=True)
class NodeTable:
    """Who this node is and where it listens.

    Attributes:
        name: unique among the nodes.
        data_centre: where it stands.
        front: for callers.
        ready: for the platform's own checks.
        entries: for questions which addresses to use.
        link_port: for datagrams and fetches of other nodes.
        metrics_port: for Prometheus.
    """

    name: Text
    data_centre: Text
    front: Address = field(metadata=_ADDRESS)
    ready: Address = field(metadata=_ADDRESS)
    entries: Address = field(metadata=_ADDRESS)
    link_port: Port
    metrics_port: Port = 9464


@dataclass(frozen=True, kw_only=True)
class StoreTable:
    """The platform's store: its address."""

    address: Address = field(metadata=_ADDRESS)


@dataclass(frozen=True, kw_only=True)
class BoundsTable:
    """What the deployment allows.

    Attributes:
        stop_seconds: from the signal to stop until the process is killed.
        retry_ratio: repeated sends allowed for each request.
        retry_window_seconds: over which they are counted.
        retry_extra: repeated sends allowed besides, for all nodes.
        entry_lifetime_seconds: the longest lifetime of an entry answer.
    """

    stop_seconds: Seconds = 8.0
    retry_ratio: Amount = 0.2
    retry_window_seconds: Seconds = 10.0
    retry_extra: Amount = 50.0
    entry_lifetime_seconds: Seconds = 5.0

    def build_retry_bounds(self) -> RetryBounds:
        """Returns the bound on repeated sends."""
        return RetryBounds(
            ratio=self.retry_ratio,
            window=timedelta(seconds=self.retry_window_seconds),
            extra=self.retry_extra,
        )


@dataclass(frozen=True, kw_only=True)
class LogTable:
    """What is logged: the least severe entries."""

    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Everything that a gateway node learns from its settings file."""

    node: NodeTable
    store: StoreTable
    bounds: BoundsTable = field(default_factory=BoundsTable)
    logs: LogTable = field(default_factory=LogTable)


def load_settings(path: pathlib.Path | str) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: with every fault of the file.
    """
    path = pathlib.Path(path)
    document = read_document(path)
    settings: GatewaySettings = check_document(
        GatewaySettings, document, path=path, checks={}
    )
    return settings
