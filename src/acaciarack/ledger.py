"""The at-most-once ledger: runs non-idempotent requests by claims on the log.

The claim with the lowest offset wins its key. Only the node that appended it
may dispatch the request, and only once. There is no leader: every node derives
the winner from the log alone.
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
    ValidityWindow,
    Verdict,
)
from acaciarack._ledger_partition import (
    OutcomeUnavailableError,
    Partition,
    PendingRecord,
)
from acaciarack.backoff import Backoff
from acaciarack.clock import Clock
from acaciarack.errors import Refusal
from acaciarack.execution import ExecutionKey, ExecutionResult, StoredResponse
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
    parse_key_time,
)

DEFAULT_PARTITIONS = 4
CLAIM_TIMEOUT = timedelta(seconds=2)
OUTCOME_WAIT = timedelta(seconds=1)
MAX_ABANDONED_CLAIMS = 10_000
"""The maximum number of abandoned claims that a node waits to read back.

Above it, a claim that appears on the log later gets no outcome record.
"""
_DIGEST_BYTES = 16

_logger = logbook.Logger(__name__)

Dispatch = Callable[[], Awaitable[StoredResponse | Refusal]]


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
        self.result: ExecutionResult | Refusal | None = None
        self.finished = trio.Event()

    def set_result(self, result: ExecutionResult | Refusal) -> None:
        """Stores the result unless one is set, and wakes the caller."""
        if self.result is None:
            self.result = result
            self.finished.set()


class LogLedger:
    """Implements ``Ledger`` on the log service."""

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
        """Creates a ledger; ``run`` must be running for it to serve calls.

        Args:
            log: the log service.
            clock: provides the time and sleeps.
            node: this node's name.
            retention: the minimum time that the log keeps a record.
            skew: the maximum difference between any two clocks.
            partitions: the number of streams that keys are spread over. It
                must be equal on all nodes and must not change while the log
                holds claims.
            claim_timeout: how long to wait for a claim to be read back.
            outcome_wait: how long a repeated call waits for an outcome.
        """
        self._clock = clock
        self._node = node
        self._window = ValidityWindow(retention=retention, skew=skew)
        self._claim_timeout_seconds = claim_timeout.total_seconds()
        self._outcome_wait = outcome_wait
        self._nursery: trio.Nursery | None = None
        self._active_calls = 0
        self._abandoned_claims = 0
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
        """Reads the partitions and runs the calls until cancelled."""
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
        """Returns the number of calls running or recording their outcome.

        A stopping node waits until the number is 0, so that no outcome is
        lost.
        """
        return self._active_calls

    async def run_once(
        self, key: ExecutionKey, dispatch: Dispatch
    ) -> ExecutionResult | Refusal:
        """Runs a request at most once; see ``Ledger.run_once``."""
        try:
            created = parse_key_time(key.key)
        except KeyFormatError as error:
            return refusals.refuse_invalid_key(str(error))
        if self._nursery is None:
            return refusals.refuse_not_ready(key)
        call = _Call(key=key, created=created, dispatch=dispatch)
        # The call runs in a task of the ledger. If the caller disconnects,
        # the dispatch still completes and its outcome is recorded.
        self._nursery.start_soon(self._run_call, call)
        await call.finished.wait()
        assert call.result is not None
        return call.result

    async def _run_call(self, call: _Call) -> None:
        number = int.from_bytes(call.key_id[:8], "big")
        partition = self._partitions[number % len(self._partitions)]
        self._active_calls += 1
        try:
            call.set_result(await self._process(call, partition))
        finally:
            call.set_result(refusals.refuse_stopping())
            self._active_calls -= 1

    async def _process(
        self, call: _Call, partition: Partition
    ) -> ExecutionResult | Refusal:
        if not partition.is_ready():
            return refusals.refuse_not_ready(call.key)
        if not partition.has_read_all(call.created):
            return refusals.refuse_expired()
        state = partition.find(call.key_id)
        if state is not None:
            return await self._resolve_existing(call, partition, state)
        if not self._window.includes(
            created=call.created, time=self._clock.now()
        ):
            return refusals.refuse_expired()
        if not partition.is_reachable():
            return refusals.refuse_unreachable(call.key)
        return await self._claim(call, partition)

    async def _claim(
        self, call: _Call, partition: Partition
    ) -> ExecutionResult | Refusal:
        """Appends a claim, reads it back and acts on its verdict."""
        claim = Claim(
            key_id=call.key_id,
            claimant=uuid.uuid4().bytes,
            digest=call.digest,
            created=call.created,
            node=self._node,
        )
        pending = partition.track(claim)
        appended = True
        try:
            await partition.append(claim)
        except LogUnavailableError:
            partition.untrack(pending)
            return refusals.refuse_unreachable(call.key)
        except AppendUnknownError:
            appended = False
        with trio.move_on_after(self._claim_timeout_seconds):
            await pending.wait()
        if pending.verdict is None and not appended:
            void_verdict = await self._void_key(call, partition)
            if void_verdict is Verdict.FIRST:
                partition.untrack(pending)
                return refusals.refuse_closed()
        if pending.verdict is None:
            self._abandon_claim(claim, partition, pending)
            return refusals.refuse_unconfirmed_claim()
        return await self._handle_verdict(
            call, partition, claim, pending.verdict
        )

    async def _void_key(
        self, call: _Call, partition: Partition
    ) -> Verdict | None:
        """Appends a void for a key whose claim may be on the log.

        If the void is the first record of the key, no claim can win the key.

        Returns:
            The verdict on the void, or ``None`` if the void was not read back
            or records of the key may have expired. If the verdict is
            ``LATER``, the earlier record of the key has been read too.
        """
        void = Void(
            key_id=call.key_id,
            claimant=uuid.uuid4().bytes,
            created=call.created,
        )
        pending = partition.track(void)
        try:
            await partition.append(void)
        except LogUnavailableError:
            partition.untrack(pending)
            return None
        except AppendUnknownError:
            pass
        with trio.move_on_after(self._claim_timeout_seconds):
            await pending.wait()
        partition.untrack(pending)
        if not partition.has_read_all(call.created):
            return None
        return pending.verdict

    async def _handle_verdict(
        self,
        call: _Call,
        partition: Partition,
        claim: Claim,
        verdict: Verdict,
    ) -> ExecutionResult | Refusal:
        if not partition.has_read_all(call.created):
            return refusals.refuse_expired()
        state = partition.find(call.key_id)
        if verdict is Verdict.LATER and state is not None:
            return await self._resolve_existing(call, partition, state)
        if verdict is not Verdict.FIRST:
            return refusals.refuse_expired()
        result = await self._dispatch(call)
        # The caller does not wait for the outcome record. Until the record is
        # read, repeated calls are refused because the outcome is unknown.
        call.set_result(_build_result(result, replayed=False))
        await self._record_outcome(
            partition, build_outcome(claim, result), claim
        )
        return _build_result(result, replayed=False)

    async def _dispatch(self, call: _Call) -> StoredResponse | Refusal:
        try:
            return await call.dispatch()
        except Exception:
            # After any error, the target may have run the request.
            _logger.exception("dispatch raised an unexpected exception")
            return refusals.refuse_failed()

    async def _record_outcome(
        self, partition: Partition, outcome: Outcome, claim: Claim
    ) -> None:
        """Appends an outcome; retries until the key's window ends."""
        backoff = Backoff()
        window_end = self._window.get_end(claim.created)
        while self._clock.now() < window_end:
            try:
                await partition.append(outcome)
            except (LogUnavailableError, AppendUnknownError):
                await self._clock.sleep(backoff.next_delay())
            else:
                return

    def _abandon_claim(
        self, claim: Claim, partition: Partition, pending: PendingRecord
    ) -> None:
        """Starts a task that records a claim as not run if it is read later."""
        if (
            self._nursery is None
            or self._abandoned_claims >= MAX_ABANDONED_CLAIMS
        ):
            partition.untrack(pending)
            return
        self._nursery.start_soon(
            self._record_abandoned, claim, partition, pending
        )

    async def _record_abandoned(
        self, claim: Claim, partition: Partition, pending: PendingRecord
    ) -> None:
        self._abandoned_claims += 1
        window_end = self._window.get_end(claim.created)
        remaining = (window_end - self._clock.now()).total_seconds()
        with trio.move_on_after(max(remaining, 0)):
            await pending.wait()
        partition.untrack(pending)
        self._abandoned_claims -= 1
        if pending.verdict is Verdict.FIRST:
            outcome = build_outcome(claim, refusals.refuse_abandoned())
            await self._record_outcome(partition, outcome, claim)

    async def _resolve_existing(
        self, call: _Call, partition: Partition, state: KeyState
    ) -> ExecutionResult | Refusal:
        """Returns the result that an earlier record of the key determines."""
        if state.is_void():
            return refusals.refuse_closed()
        if state.digest != call.digest:
            return refusals.refuse_key_conflict()
        latest_state = await partition.wait_for_outcome(
            call.key_id, self._outcome_wait
        )
        if latest_state is None or not latest_state.outcome_offset:
            return refusals.refuse_missing_outcome(state.node)
        try:
            outcome = await partition.read_outcome(latest_state.outcome_offset)
        except OutcomeUnavailableError:
            return refusals.refuse_unreadable_outcome()
        result = outcome.answer or outcome.refusal
        assert result is not None
        return _build_result(result, replayed=True)


def _build_result(
    result: StoredResponse | Refusal, *, replayed: bool
) -> ExecutionResult | Refusal:
    if isinstance(result, Refusal):
        return result
    return ExecutionResult(answer=result, replayed=replayed)
