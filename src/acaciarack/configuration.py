"""The configuration: what operators decide and every node has in force.

A configuration is a set of typed objects with a version. The version is the
offset of the newest accepted change on the log's configuration stream.
"""

import enum
from dataclasses import dataclass, field

ANY_ORGANISATION = "*"


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    GENERATION = "generation"
    PLAIN = "plain"


class Delivery(enum.StrEnum):
    """What a caller gets when an engine dies after the first token.

    Attributes:
        STREAM: tokens at once; a truthful final error after a death.
        WHOLE: the answer once it is whole; a death is hidden by a new run.
        RESTART: tokens at once; a death tells the caller to discard them and
            a new generation follows under a new id.
    """

    STREAM = "stream"
    WHOLE = "whole"
    RESTART = "restart"


class TargetKind(enum.StrEnum):
    """What a target is."""

    ENGINE = "engine"
    APPLICATION = "application"


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer organisation.

    Attributes:
        name: unique; at most 64 of ``a-z 0-9 -``.
        key_hashes: hex SHA-256 digests of its caller keys.
        share: its weight in fair sharing; above 0.
        max_in_flight: the most requests it may have running at once.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    share: float = 1.0
    max_in_flight: int = 1000


@dataclass(frozen=True, kw_only=True)
class Objectives:
    """Service-level objectives of a service.

    Attributes:
        ttft_seconds: the time to the first token that a caller accepts.
        token_gap_seconds: the time between tokens that a caller accepts.
        good_fraction: the fraction of requests that must meet both.
    """

    ttft_seconds: float = 1.8
    token_gap_seconds: float = 0.047
    good_fraction: float = 0.95


@dataclass(frozen=True, kw_only=True)
class Service:
    """Something callers ask for by name.

    Attributes:
        name: unique; callers give it as ``model`` or in the path.
        kind: generations from engines, or calls to a plain service.
        delivery: what happens when an engine dies; generations only.
        deadline_seconds: the longest a request may take to its first token.
        max_output_tokens: the most tokens of one answer.
        repeatable: whether a call may run more than once; plain only. Calls
            with the methods GET and HEAD always may.
        objectives: what callers accept.
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
    """Which model, adapter and version answers an organisation.

    Attributes:
        name: unique.
        service: the service that it applies to.
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
        host: its IP number.
        port: its TCP port.
        data_centre: where it stands.
        pool: the pool that routes name.
        checks_fencing: whether it refuses orders with an old fencing number.
        drained: whether an operator has taken it out of use.
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
    """What operators have decided about one node.

    Attributes:
        name: the node's name.
        drained: whether it is to finish what it has and take nothing new.
    """

    name: str
    drained: bool = False


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of everything that operators have decided.

    Attributes:
        version: the log offset of the newest accepted change; 0 when empty.
        organisations: by name.
        services: by name.
        model_choices: by name.
        routes: by name.
        targets: by name.
        nodes: by name; nodes without settings are not listed.
        modified: the version that last changed an object, by
            ``kind/name``; deleted objects stay listed.
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
    """Returns the organisation's own route, else the one for all others."""
    routes = [
        route
        for route in configuration.routes.values()
        if route.service == service
        and route.organisation in (organisation, ANY_ORGANISATION)
    ]
    return max(routes, key=_prefer_own_route, default=None)


def find_choice(
    configuration: Configuration, *, service: str, organisation: str
) -> ModelChoice | None:
    """Returns the organisation's own choice, else the one for all others."""
    choices = [
        choice
        for choice in configuration.model_choices.values()
        if choice.service == service
        and choice.organisation in (organisation, ANY_ORGANISATION)
    ]
    return max(choices, key=_prefer_own_choice, default=None)


def list_pool(configuration: Configuration, pool: str) -> list[Target]:
    """Returns the targets of a pool that are not drained, by name."""
    targets = [
        target
        for target in configuration.targets.values()
        if target.pool == pool and not target.drained
    ]
    return sorted(targets, key=_get_target_name)


def _prefer_own_route(route: Route) -> tuple[bool, str]:
    return route.organisation != ANY_ORGANISATION, route.name


def _prefer_own_choice(choice: ModelChoice) -> tuple[bool, str]:
    return choice.organisation != ANY_ORGANISATION, choice.name


def _get_target_name(target: Target) -> str:
    return target.name
