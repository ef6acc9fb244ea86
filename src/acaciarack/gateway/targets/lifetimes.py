"""Identifies a target from one start to the next."""

from dataclasses import dataclass

from acaciarack.gateway.spec import Target


@dataclass(frozen=True, kw_only=True)
class TargetLifetime:
    """A target from one start to the next.

    Attributes:
        id: the target.
        born: the start of the lifetime, as in ``Target.born``.
    """

    id: str
    born: int


def get_lifetime(target: Target) -> TargetLifetime:
    """Returns the lifetime that a target's record describes."""
    return TargetLifetime(id=target.id, born=target.born)
