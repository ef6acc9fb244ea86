"""What the gateway knows of a deployment: routes, services and targets.

All types are decoded once, by the platform's plug-in, and say what they hold.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack._settings_reader import Address
from acaciarack.errors import AcaciarackError


class MalformedRecordError(AcaciarackError):
    """A record of the platform's store does not decode."""


class RouteKind(enum.StrEnum):
    """How often a request of a route may run.

    Attributes:
        IDEMPOTENT: more than once.
        NON_IDEMPOTENT: at most once.
        STREAMING: at most once; the answer is a stream of events.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, kw_only=True)
class Share:
    """One service of a route with its part of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: unique in a configuration.
        host: the host name that requests carry, without a port.
        prefix: begins and ends with a slash.
        kind: how often a request may run.
        shares: the services, by weight.
        timeout: the longest time that a request is kept waiting.
        objective: the time until the answer, or until its first event.
        gap_objective: the longest pause between events that is on time.
        priority: the rank; 0 is the highest.
        max_attempts: the most targets on which one request may run.
        public: whether requests need no key.
        resumable: whether a second run may go on where a first one ended.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: timedelta
    objective: timedelta
    gap_objective: timedelta = timedelta(0)
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


@dataclass(frozen=True, kw_only=True)
class EngineFacts:
    """What all engines of a service have in common.

    Attributes:
        slots: generations that run at once.
        memory_tokens: memory, in tokens.
        token_bytes: bytes moved for each token of memory.
        link_mbps: bandwidth for moves, in Mbit/s.
        event_tokens: the most tokens in one event.
        moves: whether a running generation can move to another engine.
        backups: whether memory can be copied as it grows.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    event_tokens: int = 1
    moves: bool = False
    backups: bool = False


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of equal targets; ``engine`` is set for model engines."""

    name: str
    max_connections: int
    engine: EngineFacts | None = None


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: the longest request head.
        body_bytes: the longest body.
        header_timeout: how long the head may take.
        idle_timeout: how long a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """Who holds a key; ``priority`` goes before the route's if set."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of what the operator has put in force.

    Attributes:
        version: grows with each change.
        routes: by host, the longest prefix first.
        services: by name.
        limits: bounds on requests.
        organisations: by key; ``None`` if requests need no key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits = field(default_factory=Limits)
    organisations: Mapping[str, Organisation] | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True)
class Target:
    """A target's entry in the platform's list.

    Attributes:
        id: names one target; a restart may keep it.
        service: the service that it belongs to.
        address: where it listens.
        data_centre: where it stands.
        slots: requests that it runs at once.
        leaving: whether it has announced its end.
        born: its start, in milliseconds since the epoch; 0 if not told.
        sequence: grows with each report of one life.
        warmup: how much longer it is slow after its start.
    """

    id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    born: int = 0
    sequence: int = 0
    warmup: timedelta = timedelta(0)


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What a caller tells of a generation, in tokens.

    Attributes:
        tokens: the prompt's length.
        max_tokens: the longest answer.
        hint: the caller's estimate of the answer; ``None`` if not given.
        parts: ids of the prompt's parts with their lengths, in order.
    """

    tokens: int
    max_tokens: int
    hint: int | None = None
    parts: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, kw_only=True)
class InboundRequest:
    """A request as it came from a caller.

    Attributes:
        id: the caller's id of this attempt; empty if it has none.
        method: the HTTP method.
        path_and_query: the target of the HTTP request, as they came.
        path: the path without the query, as it came.
        host: the host name, in lower case, without a port.
        headers: what is passed on to a target.
        key: the caller's key; empty if it has none.
        patience: how long the caller will wait; ``None`` if not told.
        prompt: of a generation; ``None`` for plain calls.
        body: the whole body.
    """

    id: str
    method: str
    path_and_query: bytes
    path: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    key: str
    patience: timedelta | None
    prompt: Prompt | None
    body: bytes = b""
