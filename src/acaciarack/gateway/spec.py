"""Types that describe a deployment and its requests.

The platform's plug-in decodes the platform's records and requests into these
types.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack._settings_reader import Address
from acaciarack.errors import AcaciarackError
from acaciarack.request_shares import RequestShare


class MalformedRecordError(AcaciarackError):
    """A record of the platform's store cannot be decoded."""


class RouteKind(enum.StrEnum):
    """Whether a route's requests may run more than once.

    Attributes:
        IDEMPOTENT: a request may run more than once.
        NON_IDEMPOTENT: a request may run at most once.
        STREAMING: a request may run at most once; the response is a stream of
            events.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """A service of a route, with its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Assigns the requests for a host and path prefix to services.

    Attributes:
        name: unique in a configuration.
        host: the requested host name, without a port.
        prefix: the path prefix; it begins and ends with a slash.
        kind: whether a request may run more than once, and whether the response
            is a stream.
        weighted_services: the services with their weights.
        timeout: the maximum time from a request's arrival to its final
            response.
        objective: the latency objective: the time until the response, or until
            the first event of a stream.
        gap_objective: the objective for the pause between two events.
        priority: the priority class; 0 is the highest.
        max_attempts: how often an idempotent request may run. Other requests
            run at most once.
        public: whether requests need no API key.
        resumable: whether a second run may continue from the point where the
            first one ended.
        regions: the regions that may process the requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout: timedelta
    objective: timedelta
    gap_objective: timedelta = timedelta(0)
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Capacity and features that all engines of a service share.

    Attributes:
        slots: batch slots, i.e. generations that run at the same time.
        memory_tokens: the capacity of the KV cache, in tokens.
        kv_bytes_per_token: the size of the KV cache of one token, in bytes.
        link_mbps: the bandwidth for migrations, in Mbit/s; 0 if unknown.
        max_event_tokens: the maximum number of tokens in one event.
        moves: whether a running generation can migrate to another engine.
        backups: whether the engine can copy a KV cache while it grows; the
            gateway does not use it.
    """

    slots: int
    memory_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    max_event_tokens: int = 1
    moves: bool = False
    backups: bool = False


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of interchangeable targets.

    Attributes:
        name: unique in a configuration.
        max_connections: the configured limit on connections; the gateway does
            not apply it.
        engine: the engines' properties; ``None`` unless the targets are
            inference engines.
        health_path: the path of the targets' health endpoint; empty if unknown.
        cold_time: how long a target is cold after it has started.
        cold_rate: the requests per second that a cold target tolerates; 0 for
            no limit.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    health_path: str = ""
    cold_time: timedelta = timedelta(0)
    cold_rate: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on callers' requests and connections.

    Attributes:
        header_bytes: the maximum size of a request head; the gateway does not
            apply it.
        body_bytes: the maximum size of a body.
        header_timeout: the maximum time to receive the head, from its first
            byte.
        idle_timeout: the maximum time that a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """An owner of API keys.

    Attributes:
        name: unique among the organisations.
        priority: if set, overrides the route's.
        regions: the regions that may process its requests; empty for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: increases with each change.
        routes: the routes by host, with the longest prefix first.
        services: the services by name.
        limits: the limits on requests and connections.
        organisations: the organisations by API key; ``None`` if requests need
            no key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits = field(default_factory=Limits)
    organisations: Mapping[str, Organisation] | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path.

        Returns ``None`` if no route matches.
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True)
class Target:
    """A target's record in the platform's store.

    Attributes:
        id: identifies the target; a restarted target may keep its id.
        service: the name of its service.
        address: the address that it listens on.
        data_centre: the data centre that it runs in.
        slots: the number of requests that it runs at the same time.
        leaving: whether the target has announced that it shuts down.
        born: its start time, in milliseconds since the epoch; 0 if unknown.
        sequence: increases with each record that the target writes until it
            restarts.
        warmup: the remaining warm-up time, during which the target is slow.
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
    """The lengths that a caller states for a generation, in tokens.

    Attributes:
        tokens: the length of the prompt.
        max_tokens: the maximum length of the output.
        hint: the caller's estimate of the output length; ``None`` if absent.
        prefix_segments: the ids and lengths of the prompt's segments, in order;
            the gateway does not use them.
    """

    tokens: int
    max_tokens: int
    hint: int | None = None
    prefix_segments: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, kw_only=True)
class InboundRequest:
    """A caller's request.

    Attributes:
        id: the caller's id for this attempt; empty if absent.
        method: the HTTP method.
        path_and_query: the HTTP request target, unchanged.
        path: the path without the query, unchanged.
        host: the host name, in lower case, without a port.
        headers: the headers to forward to a target.
        key: the caller's API key; empty if absent.
        max_wait: the time that the caller waits for the response; ``None`` if
            not stated.
        prompt: the lengths stated for a generation; ``None`` if the caller
            states none.
        last_event: the id of the last event of the stream that the caller has;
            ``None`` if it states none. Only resumable routes use it.
        body: the whole body.
        share: what the request may make this process hold; ``None`` for no
            limit.
    """

    id: str
    method: str
    path_and_query: bytes
    path: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    key: str
    max_wait: timedelta | None
    prompt: Prompt | None
    last_event: int | None = None
    body: bytes = b""
    share: RequestShare | None = field(
        default=None, repr=False, compare=False, hash=False
    )
