"""What an engine says of a run while the run's stream is open."""

from dataclasses import dataclass
from datetime import timedelta

from acaciarack.gateway.targets.client import (
    Copied,
    CopyBusy,
    CopyResult,
    NoRoom,
    NoSuchRun,
)

MIN_DENIALS = 2
"""How many answers in a row say that a run has ended. A process that ends drops
its runs first, and may still answer one call whose connection it had taken."""


@dataclass(kw_only=True)
class RunEvidence:
    """What an engine has said of a run while its stream was open.

    The answers to copy requests are of the moment; reports are older.

    Attributes:
        is_known: whether the engine has said that it has the run. Without, its
            denials mean nothing: it may not know copy requests at all.
        denials: how many of its newest answers say that it has no such run,
            each to a request that was sent after the answer before.
        denied_at: elapsed time of the newest of these answers.
        is_closed: whether the stream has ended. Later answers mean nothing: an
            engine that exits drops all its runs.
    """

    is_known: bool = False
    denials: int = 0
    denied_at: timedelta = timedelta(0)
    is_closed: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether the engine has said that the run has ended."""
        return self.is_known and self.denials >= MIN_DENIALS

    @property
    def is_doubtful(self) -> bool:
        """Whether the newest answer needs another one to confirm it."""
        return self.is_known and 0 < self.denials < MIN_DENIALS

    def record_answer(
        self, result: CopyResult | None, *, asked_at: timedelta, now: timedelta
    ) -> None:
        """Records the answer to a copy request.

        Args:
            result: the answer; ``None`` if it was lost.
            asked_at: elapsed time at which the request was sent.
            now: elapsed time.
        """
        if self.is_closed:
            return
        if isinstance(result, Copied | NoRoom | CopyBusy):
            self.is_known = True
            if asked_at >= self.denied_at:
                self.denials = 0
        elif isinstance(result, NoSuchRun) and asked_at >= self.denied_at:
            self.denials += 1
            self.denied_at = now

    def record_event(self) -> None:
        """Records that the run has gone on."""
        self.denials = 0
