"""Asks the scheduler of a service where to send a plain call."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from acaciarack.gateway.peers.messages import NodeInfo
from acaciarack.gateway.scheduling.call_loads import CallGrant
from acaciarack.gateway.scheduling.call_placement import (
    CallPlacement,
    CallRefusal,
    CallRequest,
)
from acaciarack.gateway.scheduling.placer import NO_GENERATION, FleetPlacer
from acaciarack.gateway.scheduling.schedule_messages import AskKind
from acaciarack.gateway.targets.pace import TargetSample
from acaciarack.gateway.targets.target_table import TargetInstance

MIN_REVISION = 1
"""Lowest revision of a scheduler that places calls. Older ones take the ask for
one that needs a target with a limit, and refuse it."""


@dataclass(frozen=True, kw_only=True)
class PlacedCall:
    """A call that a scheduler has placed.

    Attributes:
        instance: the target.
        scheduler: the scheduler.
        number: the number of the ask; 0 if this node is the scheduler.
        grant: the grant, if this node is the scheduler.
    """

    instance: TargetInstance
    scheduler: NodeInfo
    number: int = 0
    grant: CallGrant | None = None


class FleetCallPlacer(FleetPlacer):
    """Finds targets for generations and for plain calls."""

    def __init__(self, *, call_placement: CallPlacement, **fields: Any) -> None:
        super().__init__(**fields)
        self._call_placement = call_placement
        # By name: when a scheduler did not answer the ask for a call.
        self._unanswered: dict[str, timedelta] = {}

    async def place_call(
        self, request: CallRequest
    ) -> PlacedCall | CallRefusal | None:
        """Finds a target for a plain call through the service's scheduler.

        The caller reports the end of a placed call with ``end_call``.

        Returns:
            The target, or when to come back; ``None`` if this node has to
            decide alone.
        """
        schedulers = [
            node
            for node in self._list_schedulers(request.service)
            if not self._is_unheard_since(node, self._unanswered.get(node.name))
        ]
        if not schedulers:
            return None
        scheduler = schedulers[0]
        if scheduler == self._own_node:
            outcome = await self._call_placement.place(request)
            if isinstance(outcome, CallRefusal):
                return outcome
            return PlacedCall(
                instance=outcome.instance, scheduler=scheduler, grant=outcome
            )
        if scheduler.revision < MIN_REVISION:
            return None
        answer = await self._ask(
            scheduler,
            kind=AskKind.CALL,
            service=request.service,
            generation=NO_GENERATION,
            data_centre=request.data_centre,
            exclude=request.exclude,
            rank=request.rank,
            arrived=self._clock.elapsed(),
            deadline=request.deadline,
            objective_at=request.objective,
            # The node can decide alone, so it does not wait for another
            # scheduler.
            max_unanswered=1,
        )
        if answer is None:
            self._unanswered[scheduler.name] = self._clock.elapsed()
            return None
        if answer.target is None:
            return CallRefusal(retry_after=answer.retry_after or timedelta(0))
        instance = self._find_usable(answer, None)
        if instance is None:
            # This node knows more than the scheduler, such as a notice of the
            # target itself.
            self._withdraw(answer.number, scheduler)
            return None
        return PlacedCall(
            instance=instance, scheduler=scheduler, number=answer.number
        )

    def end_call(self, placed: PlacedCall, sample: TargetSample | None) -> None:
        """Reports that a placed call has ended or was not sent.

        Args:
            placed: the call.
            sample: what its answer told of the target; ``None`` if nothing.
        """
        if placed.grant is None:
            self._withdraw(placed.number, placed.scheduler, sample)
            return
        if sample is not None:
            self._call_placement.loads.observe(sample)
        self._call_placement.end(placed.grant)
