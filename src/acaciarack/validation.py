"""Validates a configuration: names, ranges, references and uniqueness."""

import ipaddress
import math
import re
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from acaciarack.configuration import (
    ANY_ORGANISATION,
    Configuration,
    Organisation,
    Service,
    ServiceKind,
    Target,
)

MAX_SHARE = 1000.0
MAX_DEADLINE_SECONDS = 3600.0
MAX_OUTPUT_TOKENS = 10_000_000
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")
_MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True, kw_only=True)
class ConfigurationFault:
    """One fault of a configuration.

    Attributes:
        object: the object as ``kind/name``.
        field: the invalid field.
        found: the field's value, described as text.
        allowed: the allowed values, described as text.
    """

    object: str
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"{self.object}: {self.field} is {self.found};"
            f" allowed: {self.allowed}"
        )


def find_faults(
    configuration: Configuration, *, policies: Collection[str] | None = None
) -> tuple[ConfigurationFault, ...]:
    """Returns every fault of a configuration.

    Args:
        configuration: the configuration to validate.
        policies: the names of the existing routing policies. If ``None``,
            policy names are not checked, so that nodes with different
            plug-ins get the same result.
    """
    return tuple(_find_faults(configuration, policies))


def _find_faults(
    configuration: Configuration, policies: Collection[str] | None
) -> Iterator[ConfigurationFault]:
    yield from _check_names("organisation", configuration.organisations)
    yield from _check_names("service", configuration.services)
    yield from _check_names("model_choice", configuration.model_choices)
    yield from _check_names("route", configuration.routes)
    yield from _check_names("target", configuration.targets)
    yield from _check_names("node", configuration.nodes)
    for organisation in configuration.organisations.values():
        yield from _check_organisation(organisation)
    for service in configuration.services.values():
        yield from _check_service(service)
    for target in configuration.targets.values():
        yield from _check_target(target)
    yield from _check_unique_key_hashes(configuration)
    yield from _check_model_choices(configuration)
    yield from _check_routes(configuration, policies)
    yield from _check_unique_addresses(configuration)


def _check_names(
    kind: str, objects: Mapping[str, Any]
) -> Iterator[ConfigurationFault]:
    for name, value in objects.items():
        if _NAME.fullmatch(name) is None or value.name != name:
            yield ConfigurationFault(
                object=f"{kind}/{name}",
                field="name",
                found=repr(value.name),
                allowed="1 to 64 of a-z, 0-9 and -, not first a -",
            )


def _check_range(
    object_key: str, field: str, value: float, *, low: float, high: float
) -> Iterator[ConfigurationFault]:
    if not (math.isfinite(value) and low <= value <= high):
        yield ConfigurationFault(
            object=object_key,
            field=field,
            found=str(value),
            allowed=f"from {low:g} to {high:g}",
        )


def _check_organisation(value: Organisation) -> Iterator[ConfigurationFault]:
    object_key = f"organisation/{value.name}"
    yield from _check_range(
        object_key, "share", value.share, low=0.001, high=MAX_SHARE
    )
    yield from _check_range(
        object_key, "max_in_flight", value.max_in_flight, low=1, high=1_000_000
    )
    for key_hash in value.key_hashes:
        if _SHA256_HEX.fullmatch(key_hash) is None:
            yield ConfigurationFault(
                object=object_key,
                field="key_hashes",
                found=repr(key_hash[:8]),
                allowed="SHA-256 digests of 64 lower-case hex digits",
            )


def _check_service(value: Service) -> Iterator[ConfigurationFault]:
    object_key = f"service/{value.name}"
    objectives = value.objectives
    ranges = (
        ("deadline_seconds", value.deadline_seconds, MAX_DEADLINE_SECONDS),
        ("max_output_tokens", value.max_output_tokens, MAX_OUTPUT_TOKENS),
        (
            "objectives.ttft_seconds",
            objectives.ttft_seconds,
            MAX_DEADLINE_SECONDS,
        ),
        ("objectives.token_gap_seconds", objectives.token_gap_seconds, 60.0),
        ("objectives.good_fraction", objectives.good_fraction, 1.0),
    )
    for field, number, high in ranges:
        yield from _check_range(object_key, field, number, low=0.001, high=high)
    if value.repeatable and value.kind is ServiceKind.GENERATION:
        yield ConfigurationFault(
            object=object_key,
            field="repeatable",
            found="true",
            allowed="false for services of kind generation",
        )


def _check_target(value: Target) -> Iterator[ConfigurationFault]:
    object_key = f"target/{value.name}"
    yield from _check_range(object_key, "port", value.port, low=1, high=65535)
    try:
        ipaddress.ip_address(value.host)
    except ValueError:
        yield ConfigurationFault(
            object=object_key,
            field="host",
            found=repr(value.host),
            allowed="an IP number",
        )
    for field in ("data_centre", "pool"):
        text = getattr(value, field)
        if _NAME.fullmatch(text) is None:
            yield ConfigurationFault(
                object=object_key,
                field=field,
                found=repr(text),
                allowed="1 to 64 of a-z, 0-9 and -, not first a -",
            )


def _check_unique_key_hashes(
    configuration: Configuration,
) -> Iterator[ConfigurationFault]:
    owners: dict[str, str] = {}
    for name in sorted(configuration.organisations):
        for key_hash in configuration.organisations[name].key_hashes:
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                yield ConfigurationFault(
                    object=f"organisation/{name}",
                    field="key_hashes",
                    found=f"a key of organisation {owner}",
                    allowed="keys that no other organisation has",
                )


def _check_references(
    configuration: Configuration, object_key: str, value: Any
) -> Iterator[ConfigurationFault]:
    """Checks that the referenced service and organisation exist."""
    if value.service not in configuration.services:
        yield ConfigurationFault(
            object=object_key,
            field="service",
            found=repr(value.service),
            allowed="the name of a service that exists",
        )
    organisations = configuration.organisations
    if value.organisation != ANY_ORGANISATION and (
        value.organisation not in organisations
    ):
        yield ConfigurationFault(
            object=object_key,
            field="organisation",
            found=repr(value.organisation),
            allowed=f"an organisation that exists, or {ANY_ORGANISATION}",
        )


def _check_unique_scopes(
    kind: str, objects: Mapping[str, Any]
) -> Iterator[ConfigurationFault]:
    """Checks that no two objects have the same service and organisation."""
    names_by_scope: dict[tuple[str, str], str] = {}
    for name in sorted(objects):
        value = objects[name]
        first = names_by_scope.setdefault(
            (value.service, value.organisation), name
        )
        if first != name:
            yield ConfigurationFault(
                object=f"{kind}/{name}",
                field="organisation",
                found=f"the service and organisation of {first}",
                allowed="one for each service and organisation",
            )


def _check_model_choices(
    configuration: Configuration,
) -> Iterator[ConfigurationFault]:
    yield from _check_unique_scopes("model_choice", configuration.model_choices)
    for choice in configuration.model_choices.values():
        object_key = f"model_choice/{choice.name}"
        yield from _check_references(configuration, object_key, choice)
        parts = {"model": choice.model, "version": choice.version}
        if choice.adapter:
            parts["adapter"] = choice.adapter
        for field, text in parts.items():
            if _MODEL_NAME.fullmatch(text) is None:
                yield ConfigurationFault(
                    object=object_key,
                    field=field,
                    found=repr(text),
                    allowed="1 to 64 letters, digits, dots, _ and -",
                )


def _check_routes(
    configuration: Configuration, policies: Collection[str] | None
) -> Iterator[ConfigurationFault]:
    yield from _check_unique_scopes("route", configuration.routes)
    for route in configuration.routes.values():
        object_key = f"route/{route.name}"
        yield from _check_references(configuration, object_key, route)
        if _NAME.fullmatch(route.pool) is None:
            yield ConfigurationFault(
                object=object_key,
                field="pool",
                found=repr(route.pool),
                allowed="1 to 64 of a-z, 0-9 and -, not first a -",
            )
        if policies is not None and route.policy not in policies:
            yield ConfigurationFault(
                object=object_key,
                field="policy",
                found=repr(route.policy),
                allowed=f"one of {', '.join(sorted(policies))}",
            )


def _check_unique_addresses(
    configuration: Configuration,
) -> Iterator[ConfigurationFault]:
    owners: dict[tuple[str, int], str] = {}
    for name in sorted(configuration.targets):
        target = configuration.targets[name]
        owner = owners.setdefault((target.host, target.port), name)
        if owner != name:
            yield ConfigurationFault(
                object=f"target/{name}",
                field="host and port",
                found=f"those of target {owner}",
                allowed="an address that no other target has",
            )
