"""Defines the configuration, which operators edit and every node applies.

A configuration is a set of typed objects with a version. The version is the
offset of the newest accepted change on the log's configuration stream.
"""

import enum
from dataclasses import dataclass, field

ANY_ORGANISATION = "*"


class ServiceKind(enum.StrEnum):
    """The kind of a service.

    Attributes:
        GENERATION: LLM generations on engines.
        PLAIN: HTTP calls to application servers.
    """

    GENERATION = "generation"
    PLAIN = "plain"


class Delivery(enum.StrEnum):
    """How a service delivers tokens and handles an engine failure mid-stream.

    Attributes:
        STREAM: streams tokens immediately. If the engine fails, the stream
            ends with an error.
        WHOLE: sends the response once it is complete. If the engine fails,
            the generation is run again and the caller does not notice.
        RESTART: streams tokens immediately. If the engine fails, the caller is
            told to discard them, and a new generation follows under a new id.
    """

    STREAM = "stream"
    WHOLE = "whole"
    RESTART = "restart"


class TargetKind(enum.StrEnum):
    """The kind of a target: an engine or an application server."""

    ENGINE = "engine"
    APPLICATION = "application"


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer organisation.

    Attributes:
        name: unique; at most 64 characters from ``a-z 0-9 -``.
        key_hashes: hex SHA-256 digests of its caller keys.
        share: its weight in fair sharing; above 0.
        max_in_flight: the maximum number of concurrent requests.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    share: float = 1.0
    max_in_flight: int = 1000


@dataclass(frozen=True, kw_only=True)
class Objectives:
    """Service-level objectives of a service.

    Attributes:
        ttft_seconds: the maximum time to the first token.
        token_gap_seconds: the maximum time between tokens.
        good_fraction: the fraction of requests that must meet each objective.
            A request meets ``token_gap_seconds`` if at least this fraction of
            its token gaps are within that limit.
    """

    ttft_seconds: float = 1.8
    token_gap_seconds: float = 0.047
    good_fraction: float = 0.95


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that callers request by name.

    Attributes:
        name: unique; callers give it as ``model`` or in the path.
        kind: LLM generations or plain HTTP calls.
        delivery: how tokens are delivered and engine failures handled;
            generations only.
        deadline_seconds: the time limit for the first token of a generation,
            or for the response to a plain call.
        max_output_tokens: the maximum number of tokens in one response.
        repeatable: whether a call may run more than once; plain services
            only. GET and HEAD calls may always run more than once.
        objectives: the service-level objectives.
    """

    name: str
    kind: ServiceKind
    delivery: Delivery = Delivery.STREAM
    deadline_seconds: float = 30.0
    max_output_tokens: int = 32768
    repeatable: bool = False
    objectives: Objectives = field(default_factory=Objectives)


@dataclass(frozen=True, kw_only=True)
class ModelChoice:
    """The model, adapter and version that serve an organisation.

    Attributes:
        name: unique.
        service: the service that the choice applies to.
        organisation: an organisation's name, or ``*`` for all others.
        model: the model's name.
        adapter: the adapter's name; empty for none.
        version: the version of the model's weights.
    """

    name: str
    service: str
    organisation: str = ANY_ORGANISATION
    model: str
    adapter: str = ""
    version: str


@dataclass(frozen=True, kw_only=True)
class Target:
    """An engine or an application server.

    Attributes:
        name: unique.
        kind: engine or application server.
        host: its IP address.
        port: its TCP port.
        data_centre: the data centre that hosts it.
        pool: the pool that it belongs to; routes refer to this name.
        checks_fencing: whether it refuses orders (to load a model or change
            its role) with an old fencing number.
        drained: whether an operator has drained it, so that it gets no new
            requests.
    """

    name: str
    kind: TargetKind
    host: str
    port: int
    data_centre: str
    pool: str
    checks_fencing: bool = False
    drained: bool = False


@dataclass(frozen=True, kw_only=True)
class Route:
    """Sends a service's requests to a pool of targets.

    Attributes:
        name: unique.
        service: the service's name.
        organisation: an organisation's name, or ``*`` for all others.
        pool: the pool of targets.
        policy: the name of a registered routing policy.
    """

    name: str
    service: str
    organisation: str = ANY_ORGANISATION
    pool: str
    policy: str = "predicted_memory"


@dataclass(frozen=True, kw_only=True)
class NodeSetting:
    """The operators' settings for one node.

    Attributes:
        name: the node's name.
        drained: whether the node finishes its current requests and accepts no
            new ones.
    """

    name: str
    drained: bool = False


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the complete configuration.

    Attributes:
        version: the log offset of the newest accepted change; 0 if there is
            none.
        organisations: by name.
        services: by name.
        model_choices: by name.
        routes: by name.
        targets: by name.
        nodes: by name; nodes without settings are not listed.
        modified: the version that last changed each object, by
            ``kind/name``. Deleted objects stay listed until their deletion is
            older than every base version that a change may have.
    """

    version: int = 0
    organisations: dict[str, Organisation] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    model_choices: dict[str, ModelChoice] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    nodes: dict[str, NodeSetting] = field(default_factory=dict)
    modified: dict[str, int] = field(default_factory=dict)


def find_route(
    configuration: Configuration, *, service: str, organisation: str
) -> Route | None:
    """Returns the organisation's own route, or else the default route."""
    routes = [
        route
        for route in configuration.routes.values()
        if route.service == service
        and route.organisation in (organisation, ANY_ORGANISATION)
    ]
    return max(routes, key=_get_route_precedence, default=None)


def find_model_choice(
    configuration: Configuration, *, service: str, organisation: str
) -> ModelChoice | None:
    """Returns the organisation's own choice, or else the default choice."""
    choices = [
        choice
        for choice in configuration.model_choices.values()
        if choice.service == service
        and choice.organisation in (organisation, ANY_ORGANISATION)
    ]
    return max(choices, key=_get_choice_precedence, default=None)


def list_pool_targets(configuration: Configuration, pool: str) -> list[Target]:
    """Returns the targets of a pool that are not drained, sorted by name."""
    targets = [
        target
        for target in configuration.targets.values()
        if target.pool == pool and not target.drained
    ]
    return sorted(targets, key=_get_target_name)


def _get_route_precedence(route: Route) -> tuple[bool, str]:
    return route.organisation != ANY_ORGANISATION, route.name


def _get_choice_precedence(choice: ModelChoice) -> tuple[bool, str]:
    return choice.organisation != ANY_ORGANISATION, choice.name


def _get_target_name(target: Target) -> str:
    return target.name
