"""The at-most-once ledger: runs non-idempotent requests by claims on the log.

The first claim for a key, by offset, may be dispatched, once, by the node
that wrote it. No node holds authority of its own.
"""

import hashlib
import uuid
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

import logbook
import trio

from acaciarack import _ledger_refusals as refusals
from acaciarack._ledger_index import (
    DEFAULT_SKEW,
    KeyState,
    Verdict,
    Window,
)
from acaciarack._ledger_partition import (
    OutcomeUnavailableError,
    Partition,
    Watched,
)
from acaciarack.backoff import Backoff
from acaciarack.clock import Clock
from acaciarack.errors import Refusal
from acaciarack.execution import Executed, ExecutionKey, StoredAnswer
from acaciarack.platform import (
    AppendUnknownError,
    LogService,
    LogUnavailableError,
)
from acaciarack.records import (
    Claim,
    KeyFormatError,
    Outcome,
    Void,
    build_outcome,
    hash_key,
    read_key_time,
)

DEFAULT_PARTITIONS = 4
CLAIM_TIMEOUT = timedelta(seconds=2)
OUTCOME_WAIT = timedelta(seconds=1)
MAX_ABANDONED = 10_000
_DIGEST_BYTES = 16

_logger = logbook.Logger(__name__)

Dispatch = Callable[[], Awaitable[StoredAnswer | Refusal]]


class _Call:
    """One call of ``run_once``."""

    def __init__(
        self, *, key: ExecutionKey, created: datetime, dispatch: Dispatch
    ) -> None:
        self.key = key
        self.key_id = hash_key(key)
        self.digest = hashlib.sha256(key.digest).digest()[:_DIGEST_BYTES]
        self.created = created
        self.dispatch = dispatch
        self.result: Executed | Refusal | None = None
        self.ended = trio.Event()

    def end(self, result: Executed | Refusal) -> None:
        """Stores the result, unless there is one, and wakes the caller."""
        if self.result is None:
            self.result = result
            self.ended.set()


class LogLedger:
    """A ``Ledger`` on the log service."""

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        node: str,
        retention: timedelta,
        skew: timedelta = DEFAULT_SKEW,
        partitions: int = DEFAULT_PARTITIONS,
        claim_timeout: timedelta = CLAIM_TIMEOUT,
        outcome_wait: timedelta = OUTCOME_WAIT,
    ) -> None:
        """Creates a ledger; ``run`` must be running for it to answer.

        Args:
            log: the log service.
            clock: gives times and waits.
            node: this node's name.
            retention: how long the log keeps a record at least.
            skew: the most that any two clocks differ.
            partitions: streams that keys are spread over; equal on all nodes
                and never changed while the log holds claims.
            claim_timeout: how long to wait for a claim to be read back.
            outcome_wait: how long a repeated call waits for an outcome.
        """
        self._clock = clock
        self._node = node
        self._window = Window(retention=retention, skew=skew)
        self._claim_seconds = claim_timeout.total_seconds()
        self._outcome_wait = outcome_wait
        self._nursery: trio.Nursery | None = None
        self._active = 0
        self._abandoned = 0
        self._partitions = [
            Partition(
                log=log,
                clock=clock,
                stream=f"ledger-{number}",
                window=self._window,
            )
            for number in range(partitions)
        ]

    async def run(self) -> None:
        """Follows the partitions and runs the calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                for partition in self._partitions:
                    nursery.start_soon(partition.run)
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def is_ready(self) -> bool:
        """Returns whether the whole retained log has been read."""
        return all(partition.is_ready() for partition in self._partitions)

    def count_active(self) -> int:
        """Returns the calls that run or whose outcome is being recorded.

        A node that stops waits until it is 0, so that no outcome is lost.
        """
        return self._active

    async def run_once(
        self, key: ExecutionKey, dispatch: Dispatch
    ) -> Executed | Refusal:
        """Claims the key and, if the claim is first, dispatches once."""
        try:
            created = read_key_time(key.key)
        except KeyFormatError as error:
            return refusals.refuse_key(str(error))
        if self._nursery is None:
            return refusals.refuse_unread(key)
        call = _Call(key=key, created=created, dispatch=dispatch)
        # In a task of the ledger, since the end of the caller's connection
        # must not cut a dispatch or lose its outcome.
        self._nursery.start_soon(self._run_call, call)
        await call.ended.wait()
        assert call.result is not None
        return call.result

    async def _run_call(self, call: _Call) -> None:
        number = int.from_bytes(call.key_id[:8], "big")
        partition = self._partitions[number % len(self._partitions)]
        self._active += 1
        try:
            call.end(await self._answer(call, partition))
        finally:
            call.end(refusals.refuse_stopping())
            self._active -= 1

    async def _answer(
        self, call: _Call, partition: Partition
    ) -> Executed | Refusal:
        if not partition.is_ready():
            return refusals.refuse_unread(call.key)
        if not partition.knows_all(call.created):
            return refusals.refuse_expired()
        state = partition.find(call.key_id)
        if state is not None:
            return await self._answer_known(call, partition, state)
        if not self._window.includes(
            created=call.created, time=self._clock.now()
        ):
            return refusals.refuse_expired()
        if not partition.is_reachable():
            return refusals.refuse_unreachable(call.key)
        return await self._claim(call, partition)

    async def _claim(
        self, call: _Call, partition: Partition
    ) -> Executed | Refusal:
        """Appends a claim and acts on the verdict that is read back."""
        claim = Claim(
            key_id=call.key_id,
            claimant=uuid.uuid4().bytes,
            digest=call.digest,
            created=call.created,
            node=self._node,
        )
        watched = partition.watch(claim)
        appended = True
        try:
            await partition.append(claim)
        except LogUnavailableError:
            partition.unwatch(watched)
            return refusals.refuse_unreachable(call.key)
        except AppendUnknownError:
            appended = False
        with trio.move_on_after(self._claim_seconds):
            await watched.wait()
        if watched.verdict is None and not appended:
            closed = await self._close(call, partition)
            if closed is Verdict.FIRST:
                partition.unwatch(watched)
                return refusals.refuse_closed()
        if watched.verdict is None:
            self._abandon(claim, partition, watched)
            return refusals.refuse_unresolved()
        return await self._act(call, partition, claim, watched.verdict)

    async def _close(self, call: _Call, partition: Partition) -> Verdict | None:
        """Closes a key whose claim may or may not be on the log.

        Returns:
            The verdict on the void record; ``None`` if it was not read. If
            it is not the first, a claim before it has been read too.
        """
        void = Void(
            key_id=call.key_id,
            claimant=uuid.uuid4().bytes,
            created=call.created,
        )
        watched = partition.watch(void)
        try:
            await partition.append(void)
        except LogUnavailableError:
            partition.unwatch(watched)
            return None
        except AppendUnknownError:
            pass
        with trio.move_on_after(self._claim_seconds):
            await watched.wait()
        partition.unwatch(watched)
        if not partition.knows_all(call.created):
            return None
        return watched.verdict

    async def _act(
        self,
        call: _Call,
        partition: Partition,
        claim: Claim,
        verdict: Verdict,
    ) -> Executed | Refusal:
        if not partition.knows_all(call.created):
            return refusals.refuse_expired()
        state = partition.find(call.key_id)
        if verdict is Verdict.LATER and state is not None:
            return await self._answer_known(call, partition, state)
        if verdict is not Verdict.FIRST:
            return refusals.refuse_expired()
        result = await self._dispatch(call)
        # The caller need not wait for the record: until it is read, repeats
        # are told that the outcome is unknown.
        call.end(_build_result(result, replayed=False))
        await self._record(partition, build_outcome(claim, result), claim)
        return _build_result(result, replayed=False)

    async def _dispatch(self, call: _Call) -> StoredAnswer | Refusal:
        try:
            return await call.dispatch()
        except Exception:
            # Whatever went wrong, the target may have run the request.
            _logger.exception("a dispatch raised")
            return refusals.refuse_failed()

    async def _record(
        self, partition: Partition, outcome: Outcome, claim: Claim
    ) -> None:
        """Appends an outcome, however often it takes while it counts."""
        backoff = Backoff()
        end = self._window.get_end(claim.created)
        while self._clock.now() < end:
            try:
                await partition.append(outcome)
            except (LogUnavailableError, AppendUnknownError):
                await self._clock.sleep(backoff.next_delay())
            else:
                return

    def _abandon(
        self, claim: Claim, partition: Partition, watched: Watched
    ) -> None:
        """Records later that a claim, if it turns up, was not dispatched."""
        if self._nursery is None or self._abandoned >= MAX_ABANDONED:
            partition.unwatch(watched)
            return
        self._nursery.start_soon(self._disown, claim, partition, watched)

    async def _disown(
        self, claim: Claim, partition: Partition, watched: Watched
    ) -> None:
        self._abandoned += 1
        end = self._window.get_end(claim.created)
        left = (end - self._clock.now()).total_seconds()
        with trio.move_on_after(max(left, 0)):
            await watched.wait()
        partition.unwatch(watched)
        self._abandoned -= 1
        if watched.verdict is Verdict.FIRST:
            outcome = build_outcome(claim, refusals.refuse_abandoned())
            await self._record(partition, outcome, claim)

    async def _answer_known(
        self, call: _Call, partition: Partition, state: KeyState
    ) -> Executed | Refusal:
        """Answers from an earlier record of the key."""
        if state.is_void():
            return refusals.refuse_closed()
        if state.digest != call.digest:
            return refusals.refuse_conflict()
        current = await partition.wait_for_outcome(
            call.key_id, self._outcome_wait
        )
        if current is None or not current.outcome_offset:
            return refusals.refuse_unfinished(state.node)
        try:
            outcome = await partition.read_outcome(current.outcome_offset)
        except OutcomeUnavailableError:
            return refusals.refuse_unreadable()
        result = outcome.answer or outcome.refusal
        assert result is not None
        return _build_result(result, replayed=True)


def _build_result(
    result: StoredAnswer | Refusal, *, replayed: bool
) -> Executed | Refusal:
    if isinstance(result, Refusal):
        return result
    return Executed(answer=result, replayed=replayed)
