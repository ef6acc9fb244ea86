"""How fast each target works, compared with others of its service.

Answers the load of a service whose targets differ in speed, or share their VMs
with other work: requests then end sooner on some targets than on others.
"""

from dataclasses import dataclass
from datetime import timedelta

from acaciarack.gateway.targets.client import ReportedLoad
from acaciarack.gateway.targets.lifetimes import TargetLifetime


@dataclass(frozen=True, kw_only=True)
class TargetSample:
    """What a node has learned of a target's pace and load from its answers.

    Attributes:
        target: the target.
        age: the time since it was learned.
        load: the load that the target reported; ``None`` if it did not.
        token_time: the usual time per output token of its generations, between
            events; ``None`` if not measured.
        prompt_token_time: the usual time to read one prompt token; ``None`` if
            not measured.
        work_time: the usual time of a plain call on a free slot; ``None`` if
            not measured.
    """

    target: TargetLifetime
    age: timedelta
    load: ReportedLoad | None = None
    token_time: timedelta | None = None
    prompt_token_time: timedelta | None = None
    work_time: timedelta | None = None


@dataclass(frozen=True, kw_only=True)
class Pace:
    """A target's pace.

    Attributes:
        speed: its usual speed, as a multiple of its service's median.
        slowdown: how long work takes at this moment, as a multiple of the time
            that it usually takes there.
        is_reported: whether the target reports its slowdown.
    """

    speed: float = 1.0
    slowdown: float = 1.0
    is_reported: bool = False

    @property
    def time_factor(self) -> float:
        """How long work takes now, as a multiple of the service's median."""
        return self.slowdown / self.speed


USUAL_PACE = Pace()


class TargetPaces:
    """The paces of targets, by lifetime."""

    def get_pace(self, target: TargetLifetime) -> Pace:
        """Returns a target's pace; the usual one if nothing is known of it."""
        del target
        return USUAL_PACE

    def record_sample(self, sample: TargetSample) -> None:
        """Takes over what an answer told of its target.

        A scheduler may get a sample of what this node was told itself.
        """
        del sample
