"""A gateway node's settings, read from a TOML file.

The platform writes the file from a template. The name of each value states its
unit.
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
from acaciarack.gateway.requests.retry_budget import RetryBounds
from acaciarack.settings import Descriptors, LogLevel, Megabytes, Port

_ADDRESS: dict[str, Any] = {"parse": parse_address}
ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


@dataclass(frozen=True, kw_only=True)
class NodeTable:
    """The node's identity and the addresses that it listens on.

    Attributes:
        name: unique among the nodes.
        data_centre: the data centre that the node runs in.
        front: the address for callers' requests.
        ready: the address for the platform's readiness checks.
        entries: the address for queries for entry addresses, i.e. the nodes
            that callers may use.
        link_port: the UDP and TCP port for heartbeats and fetches of peers. The
            next two UDP ports are for schedulers and for urgent heartbeats, and
            the next TCP port is for tunnels to targets.
        metrics_port: the port on ``front``'s host for Prometheus.
        cpu_share: the share of a processor that the node may use.
        cpu_cores: the speed of that processor, in cores.
    """

    name: ShortText
    data_centre: ShortText
    front: Address = field(metadata=_ADDRESS)
    ready: Address = field(metadata=_ADDRESS)
    entries: Address = field(metadata=_ADDRESS)
    link_port: Port
    metrics_port: Port = 9464
    cpu_share: PositiveNumber = 1.0
    cpu_cores: PositiveNumber = 1.0


@dataclass(frozen=True, kw_only=True)
class StoreTable:
    """The address of the platform's store."""

    address: Address = field(metadata=_ADDRESS)


@dataclass(frozen=True, kw_only=True)
class BoundsTable:
    """The deployment's limits.

    Attributes:
        stop_seconds: the time from the stop signal until the process is killed.
        retry_ratio: the number of retries allowed per request.
        retry_window_seconds: the period over which requests and retries are
            counted.
        retry_extra: the number of additional retries allowed in that period,
            for all nodes together.
        entry_lifetime_seconds: the maximum time that callers may cache entry
            addresses.
        cold_overage: the factor by which the requests of one second to a cold
            target may exceed its rate.
        cold_tolerance: the number of requests by which they may exceed it
            besides.
        evacuate_seconds: the time after which an evacuated data centre must get
            no more requests.
        contact_milliseconds: the time after the end of a disturbance within
            which this node knows what has changed.
    """

    stop_seconds: Seconds = 8.0
    retry_ratio: NonNegativeNumber = 0.2
    retry_window_seconds: Seconds = 10.0
    retry_extra: NonNegativeNumber = 50.0
    entry_lifetime_seconds: Seconds = 5.0
    cold_overage: PositiveNumber = 1.5
    cold_tolerance: NonNegativeNumber = 5.0
    evacuate_seconds: Seconds = 5.0
    contact_milliseconds: Milliseconds = 3000.0

    @property
    def contact_time(self) -> timedelta:
        """``contact_milliseconds`` as a duration."""
        return timedelta(milliseconds=self.contact_milliseconds)

    def build_retry_bounds(self) -> RetryBounds:
        """Builds the limits of the retry budget."""
        return RetryBounds(
            ratio=self.retry_ratio,
            window=timedelta(seconds=self.retry_window_seconds),
            extra=self.retry_extra,
        )


@dataclass(frozen=True, kw_only=True)
class SchedulingTable:
    """How requests wait for targets.

    Attributes:
        fair_shares: whether organisations that wait for engines get fair shares
            of them, and refused callers that come back on time get the place of
            their first arrival.
    """

    fair_shares: bool = False


@dataclass(frozen=True, kw_only=True)
class LimitTable:
    """The limits of the process, from which those of its callers are derived.

    Attributes:
        memory_megabytes: the memory that the process may use, in units of
            1,000,000 bytes; that of the machine by default.
        max_descriptors: the number of file descriptors that it may open; the
            limit of the operating system by default.
    """

    memory_megabytes: Megabytes | None = None
    max_descriptors: Descriptors | None = None


@dataclass(frozen=True, kw_only=True)
class LogTable:
    """The lowest severity that is logged."""

    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """The whole settings file of a gateway node.

    Attributes:
        regions: the region of each data centre; one that is not listed is a
            region of its own.
    """

    node: NodeTable
    store: StoreTable
    bounds: BoundsTable = field(default_factory=BoundsTable)
    scheduling: SchedulingTable = field(default_factory=SchedulingTable)
    limits: LimitTable = field(default_factory=LimitTable)
    logs: LogTable = field(default_factory=LogTable)
    regions: dict[ShortText, ShortText] = field(default_factory=dict)


def load_settings(path: pathlib.Path | str) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: the file is invalid; the error lists all faults.
    """
    path = pathlib.Path(path)
    document = read_document(path)
    settings: GatewaySettings = check_document(
        GatewaySettings, document, path=path, checks={}
    )
    return settings
