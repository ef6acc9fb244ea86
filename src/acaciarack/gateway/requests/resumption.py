"""Resumes a broken stream at another engine without a copy of its memory.

The other engine reads the prompt and the earlier output again and sends the
events after the last one that the caller has, within the same response. Only
on resumable routes, where a request may run more than once.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.gateway.evidence.quarantine_gate import QuarantineGate
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.requests.request_handling import to_ms
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.requests.stream_opening import (
    LostHead,
    NotRun,
    StreamOpener,
)
from acaciarack.gateway.scheduling.placer import Placement
from acaciarack.gateway.targets.client import TargetResponse
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_selection import (
    PREFILL_TOKENS_PER_SECOND,
)
from acaciarack.gateway.targets.target_table import TargetInstance, TargetState

MAX_SENDS = 6
"""Maximum number of targets that are tried for one break of a stream, including
those that do not run the request. Bounds the attempts if all listed targets are
full or gone."""

EnginePlacer = Callable[[Run, set[str], timedelta], Awaitable[Placement]]
"""Finds an engine for a run, without the named ones, until the elapsed time."""


@dataclass(frozen=True, kw_only=True)
class ResumptionServices:
    """What all resumptions of a node share.

    Attributes:
        pool: the targets.
        opener: opens streams at engines.
        budgets: the retry budgets.
        place: finds engines.
        count_nodes: returns the number of nodes that share the retry budgets.
    """

    pool: TargetPool
    opener: StreamOpener
    budgets: RetryBudgets
    place: EnginePlacer
    count_nodes: Callable[[], int]


class Resumption:
    """Resumes one run without a copy, as often as its route allows."""

    def __init__(
        self,
        *,
        services: ResumptionServices,
        run: Run,
        gate: QuarantineGate,
        tried: set[str],
    ) -> None:
        """Creates the resumption of a run that a first target may have run.

        Args:
            services: what all resumptions share.
            run: the run.
            gate: refuses the request if it crashes targets.
            tried: ids of the targets that the request was sent to.
        """
        self._services = services
        self._run = run
        self._gate = gate
        self._tried = tried
        self._possible_runs = 1

    async def resume(self) -> TargetResponse | None:
        """Opens the stream at another engine, after the caller's last event.

        Returns:
            The response, whose head is verified; ``None`` if the run cannot
            continue.
        """
        run = self._run
        if not run.task.route.resumable:
            return None
        self._gate.record_possible_run()
        self._tried.add(run.instance.target.id)
        for _ in range(MAX_SENDS):
            instance = await self._choose()
            if isinstance(instance, str):
                run.task.log(
                    "not resumed",
                    code=instance,
                    last_event=run.last_event or 0,
                )
                return None
            self._tried.add(instance.target.id)
            response = await self._open(instance)
            if response is not None:
                self._move(instance)
                return response
        return None

    async def _choose(self) -> TargetInstance | str:
        """Finds an engine, and takes a unit of the retry budget.

        Returns:
            The engine, or why the run cannot continue.
        """
        run, task, services = self._run, self._run.task, self._services
        if self._possible_runs >= task.route.max_attempts:
            return "attempts spent"
        # Also if it waits there for the prompts of others.
        run.generation.is_reread = True
        spare_time = task.remaining - _estimate_duration(run)
        if spare_time <= timedelta(0):
            return "time left too short"
        placement = await services.place(
            run, self._tried, task.elapsed() + spare_time
        )
        instance = placement.instance
        if instance is None:
            return "no engine has room"
        if await self._gate.refuse() is not None:
            return "quarantined"
        if instance.target_state not in (
            TargetState.READY,
            TargetState.SUSPECT,
        ) or services.pool.target_table.is_paused(instance):
            return "engine left or paused"
        budget = services.budgets.get(task.service.name)
        if not budget.take(nodes=services.count_nodes()):
            return "budget spent"
        return instance

    async def _open(self, instance: TargetInstance) -> TargetResponse | None:
        """Returns the verified response of a target that resumes the run."""
        services, task = self._services, self._run.task
        started_at = task.elapsed()
        opened = await services.opener.open(self._run, instance)
        if isinstance(opened, NotRun):
            return None
        self._possible_runs += 1
        if isinstance(opened, LostHead):
            return None
        status = opened.head.status
        if status != 200:
            await opened.aclose()
            services.pool.failure_tracker.record_failure(
                instance.target.id, broadcast=True
            )
            task.log("resume refused", target=instance.target.id, status=status)
            return None
        task.log(
            "resumed without a copy",
            target=instance.target.id,
            last_event=self._run.last_event or 0,
            attempt=self._possible_runs,
            open_ms=to_ms(task.elapsed() - started_at),
        )
        return opened

    def _move(self, instance: TargetInstance) -> None:
        """Records that the run goes on at a target."""
        run, loads = self._run, self._services.pool.loads
        loads.remove_generation(run.instance.target.id, run.generation)
        loads.add_generation(instance.target.id, run.generation)
        run.instance = instance
        run.resumptions += 1
        # The prompt has harmed nobody yet at this engine.
        run.head_at = run.task.elapsed()
        run.is_proven = False
        run.record_resumption()


def _estimate_duration(run: Run) -> timedelta:
    """Returns how long an engine needs to read and to finish a run."""
    reading = timedelta(
        seconds=run.generation.count_pending() / PREFILL_TOKENS_PER_SECOND
    )
    return reading + run.estimate_remaining_time()
