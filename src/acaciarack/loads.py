"""What targets report of their load."""

from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True, kw_only=True)
class LoadedModel:
    """A model that an engine has loaded.

    Attributes:
        model: the model's name.
        adapter: the adapter's name; empty for none.
        version: the version of the weights.
    """

    model: str
    adapter: str = ""
    version: str


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """One report of one target.

    Attributes:
        target: the target's name.
        time: when the target measured it, by the target's clock, in UTC.
        capacity_tokens: key-value memory in all, in tokens; 0 for
            application servers.
        used_tokens: key-value memory in use, in tokens.
        running: generations in the batch, or calls in progress.
        waiting: generations queued in the engine.
        preemptions: generations preempted since the target started.
        step_seconds: duration of the newest step.
        loaded: the models that it can run now.
        leaving: whether it has been told to leave.
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
    """A change of an engine's prefix cache. Events may be late or lost.

    Attributes:
        target: the engine's name.
        sequence: counts the engine's events; a gap means that some were lost.
        time: when it happened, by the engine's clock, in UTC.
        stored: hashes of prefix blocks that are now cached.
        evicted: hashes of prefix blocks that no longer are.
    """

    target: str
    sequence: int
    time: datetime
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
