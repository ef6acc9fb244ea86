"""The inputs of a generation run: the call and its dependencies."""

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
from acaciarack.delivery import DeliveryMode
from acaciarack.engines import EngineClient
from acaciarack.observations import ObservationSink
from acaciarack.placement import Placement, Placer
from acaciarack.resume_tracker import ResumeTracker
from acaciarack.seals import Sealer
from acaciarack.streams import GenerationReader


class RetryBudget(Protocol):
    """Limits the retries of an organisation to a share of its requests."""

    def allow(self, organisation: str) -> bool:
        """Consumes one retry if allowed; returns whether it is allowed."""
        ...


@dataclass(frozen=True, kw_only=True)
class GenerationCall:
    """One accepted request for a generation.

    Attributes:
        request_id: a unique id, used in logs and explanations.
        organisation: the caller's organisation.
        service: the requested service.
        route: the route that applies.
        choice: the model, adapter and version.
        configuration_version: the configuration version in force when the
            request arrived.
        body: the caller's request object.
        prompt_tokens: the estimated length of the prompt.
        prefix_hashes: hashes of the prompt's prefixes in whole blocks, the
            longest prefix last.
        max_output_tokens: the limit on the length of the output.
        mode: how the response is delivered to the caller.
        arrived: when the node accepted the request.
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
    mode: DeliveryMode
    arrived: datetime


@dataclass(frozen=True, kw_only=True)
class GenerationDependencies:
    """The objects that all runs share.

    Attributes:
        clock: measures durations and provides timestamps for response ids.
        node: this node's name.
        configuration: returns the current configuration.
        placer: chooses the target of a request.
        client: sends requests to engines.
        generation_reader: reads the stream of a generation and reconnects
            when needed.
        sealer: creates the response ids.
        budget: limits retries.
        resume_tracker: tracks whether disconnected callers resume streams.
        observe: receives one observation at the end of each request.
    """

    clock: Clock
    node: str
    configuration: Callable[[], Configuration]
    placer: Placer
    client: EngineClient
    generation_reader: GenerationReader
    sealer: Sealer
    budget: RetryBudget
    resume_tracker: ResumeTracker
    observe: ObservationSink


def format_engine_model(choice: ModelChoice) -> str:
    """Returns the model name that engines use for a model choice."""
    adapter = f":{choice.adapter}" if choice.adapter else ""
    return f"{choice.model}{adapter}@{choice.version}"


def build_engine_body(call: GenerationCall, placement: Placement) -> bytes:
    """Builds the request body for an engine.

    The body asks the engine to store the stream and to run the generation in
    the background. The generation then continues without a connection, and
    its stream can be resumed.
    """
    overrides = {
        "model": format_engine_model(call.choice),
        "stream": True,
        "store": True,
        "background": True,
        "priority": placement.priority,
        "max_output_tokens": call.max_output_tokens,
    }
    return msgspec.json.encode(call.body | overrides)
