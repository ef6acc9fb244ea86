"""Load reports and cache events of targets."""

from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True, kw_only=True)
class LoadedModel:
    """A model that an engine has loaded.

    Attributes:
        model: the model's name.
        adapter: the adapter's name; empty without one.
        version: the version of the weights.
    """

    model: str
    adapter: str = ""
    version: str


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load of one target at one time.

    Attributes:
        target: the target's name.
        time: the time of measurement by the target's clock, in UTC.
        capacity_tokens: total KV cache memory, in tokens; 0 for application
            servers.
        used_tokens: KV cache memory in use, in tokens.
        running: generations in the batch, or calls in progress.
        waiting: generations queued in the engine.
        preemptions: generations preempted since the target started.
        step_seconds: duration of the newest engine step.
        loaded: the models that the target can run now.
        leaving: whether the target is draining.
    """

    target: str
    time: datetime
    capacity_tokens: int
    used_tokens: int
    running: int
    waiting: int
    preemptions: int = 0
    step_seconds: float = 0.0
    loaded: tuple[LoadedModel, ...] = ()
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """A change of an engine's prefix cache. Events can be late or lost.

    Attributes:
        target: the engine's name.
        sequence: the sequence number; a gap means that events were lost.
        time: the time of the change by the engine's clock, in UTC.
        stored: hashes of the prefix blocks added to the cache.
        evicted: hashes of the prefix blocks removed from the cache.
    """

    target: str
    sequence: int
    time: datetime
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
