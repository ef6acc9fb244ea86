"""What a generation's run is given: the call and the parts it uses."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Protocol

import msgspec

from acaciarack.clock import Clock
from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    Route,
    Service,
)
from acaciarack.delivery import Mode
from acaciarack.departures import Departures
from acaciarack.engines import EngineClient
from acaciarack.observations import ObservationSink
from acaciarack.placement import Placement, Placer
from acaciarack.seals import Sealer
from acaciarack.streams import Follower


class RetryBudget(Protocol):
    """Limits the retries of an organisation to a share of its requests."""

    def allow(self, organisation: str) -> bool:
        """Returns whether one more retry may start, and counts it."""
        ...


@dataclass(frozen=True, kw_only=True)
class GenerationCall:
    """One accepted request for a generation.

    Attributes:
        request_id: unique; names the request in logs and explanations.
        organisation: the caller's organisation.
        service: the service asked for.
        route: the route that applies.
        choice: the model, adapter and version.
        configuration_version: the version in force on arrival.
        body: the caller's request object.
        prompt_tokens: an estimate of the prompt's length.
        prefix_hashes: hashes of the prompt's leading blocks, longest last.
        max_output_tokens: the limit on the answer's length.
        mode: how the answer reaches the caller.
        arrived: when the node accepted it.
    """

    request_id: str
    organisation: str
    service: Service
    route: Route
    choice: ModelChoice
    configuration_version: int
    body: dict[str, Any]
    prompt_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    max_output_tokens: int
    mode: Mode
    arrived: datetime


@dataclass(frozen=True, kw_only=True)
class GenerationParts:
    """What every run uses.

    Attributes:
        clock: measures durations and stamps response ids.
        node: this node's name.
        configuration: returns the configuration in force.
        placer: decides which target runs a request.
        client: speaks with the engines.
        follower: reads a generation across connections.
        sealer: makes the response ids.
        budget: limits retries.
        departures: keeps generations whose caller left.
        observe: takes one observation for each request at its end.
    """

    clock: Clock
    node: str
    configuration: Callable[[], Configuration]
    placer: Placer
    client: EngineClient
    follower: Follower
    sealer: Sealer
    budget: RetryBudget
    departures: Departures
    observe: ObservationSink


def name_model(choice: ModelChoice) -> str:
    """Returns the name by which engines know a model, adapter and version."""
    adapter = f":{choice.adapter}" if choice.adapter else ""
    return f"{choice.model}{adapter}@{choice.version}"


def build_engine_body(call: GenerationCall, placement: Placement) -> bytes:
    """Builds the request for an engine.

    The engine stores the stream and runs it in the background, so that it
    goes on without a connection and can be resumed.
    """
    changes = {
        "model": name_model(call.choice),
        "stream": True,
        "store": True,
        "background": True,
        "priority": placement.priority,
        "max_output_tokens": call.max_output_tokens,
    }
    return msgspec.json.encode(call.body | changes)
