"""Checks the ledger against the executions that the application counts."""

import enum
import uuid
from collections import Counter
from datetime import timedelta

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from acaciarack._ledger_index import ValidityWindow, Verdict, evaluate_record
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.execution import ExecutionKey, ExecutionResult, StoredResponse
from acaciarack.ledger import LogLedger
from acaciarack.records import Claim, Outcome, Void, encode_record, hash_key
from acaciarack_bench.log import LostAppend, MemoryLog
from tests.support import EPOCH, TestCase

RETENTION = timedelta(seconds=300)
SKEW = timedelta(seconds=5)
WINDOW = ValidityWindow(retention=RETENTION, skew=SKEW)
NODES = ("n-0", "n-1", "n-2")
DIGESTS = (b"first", b"second")


class Mode(enum.Enum):
    ANSWER = "answer"
    SLOW = "slow"
    LOST = "lost"
    REFUSED = "refused"


def make_key(created, number):
    milliseconds = round(created.timestamp() * 1000)
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


class Gate:
    """Blocks the log calls and dispatches of a frozen process."""

    def __init__(self):
        self._opened = trio.Event()
        self._opened.set()

    def freeze(self):
        if self._opened.is_set():
            self._opened = trio.Event()

    def thaw(self):
        self._opened.set()

    async def wait(self):
        await self._opened.wait()


class NodeLog:
    """A node's log client; an append continues if the node stops waiting."""

    def __init__(self, deployment, gate):
        self._deployment = deployment
        self._gate = gate

    async def append(self, *, stream, bodies):
        await self._gate.wait()
        results = []
        done = trio.Event()

        async def append():
            try:
                results.append(
                    await self._deployment.log.append(
                        stream=stream, bodies=bodies
                    )
                )
            except Exception as error:
                results.append(error)
            done.set()

        self._deployment.nursery.start_soon(append)
        await done.wait()
        await self._gate.wait()
        if isinstance(results[0], Exception):
            raise results[0]
        return results[0]

    async def read(self, **arguments):
        await self._gate.wait()
        log_slice = await self._deployment.log.read(**arguments)
        await self._gate.wait()
        return log_slice


class Node:
    def __init__(self, deployment, name):
        self.name = name
        self.gate = Gate()
        self.scope = trio.CancelScope()
        self.ledger = LogLedger(
            log=NodeLog(deployment, self.gate),
            clock=deployment.clock,
            node=name,
            retention=RETENTION,
            skew=SKEW,
            partitions=1,
        )

    async def run(self):
        with self.scope:
            await self.ledger.run()


class Deployment:
    """Three nodes, a log and an application server that counts executions."""

    def __init__(self, clock, nursery):
        self.clock = clock
        self.nursery = nursery
        self.log = MemoryLog(clock=clock, retention=RETENTION)
        self.nodes = {}
        self.created = {}
        self.executions = Counter()
        self.answers = {}
        self.results = []
        for name in NODES:
            self.start(name)

    def start(self, name):
        self.nodes[name] = Node(self, name)
        self.nursery.start_soon(self.nodes[name].run)

    def kill(self, name):
        self.nodes[name].scope.cancel()
        self.start(name)

    async def call(self, name, number, digest, mode, first_use=False):
        node = self.nodes[name]
        created = self.created.setdefault(number, self.clock.now())
        key = ExecutionKey(
            organisation="o",
            service="s",
            key=make_key(created, number),
            digest=digest,
            first_use=first_use,
        )

        async def dispatch():
            await node.gate.wait()
            if mode is Mode.REFUSED:
                return Refusal(
                    code=RefusalCode.TARGET_FAILED,
                    outcome=RunOutcome.NOT_RUN,
                    detail="refused",
                )
            self.executions[number, digest] += 1
            if mode is Mode.SLOW:
                await trio.sleep(3)
            if mode is Mode.LOST:
                return Refusal(
                    code=RefusalCode.TARGET_FAILED,
                    outcome=RunOutcome.UNKNOWN,
                    detail="lost",
                )
            answer = StoredResponse(status=200, body=f"{node.name}".encode())
            self.answers[number] = (node, digest, answer)
            return answer

        result = await node.ledger.run_once(key, dispatch)
        self.results.append((number, digest, result))
        return result

    def heal(self):
        self.log.faults.down = False
        self.log.faults.delay_seconds = 0
        self.log.faults.answer_delay_seconds = 0
        self.log.faults.lost_appends.clear()
        for node in self.nodes.values():
            node.gate.thaw()

    async def check(self):
        self.heal()
        await trio.sleep(30)
        await self.repeat_calls()
        total = Counter()
        for (number, _), count in self.executions.items():
            total[number] += count
        assert all(count <= 1 for count in total.values()), total
        for number, digest, result in self.results:
            count = self.executions[number, digest]
            if isinstance(result, ExecutionResult):
                assert count == 1, result
                assert result.answer == self.answers[number][2]
            elif result.outcome is RunOutcome.NOT_RUN:
                assert count == 0, result

    async def repeat_calls(self):
        """Checks that every node replays each recorded response."""
        for number, (node, digest, answer) in list(self.answers.items()):
            created = self.created[number]
            is_valid = WINDOW.includes(created=created, time=self.clock.now())
            for name in NODES:
                result = await self.call(name, number, digest, Mode.ANSWER)
                if is_valid and self.nodes[node.name] is node:
                    assert result == ExecutionResult(
                        answer=answer, replayed=True
                    )
                elif not is_valid:
                    assert isinstance(result, Refusal) or result.replayed


def run_deployment(case, function):
    async def run():
        async with trio.open_nursery() as nursery:
            deployment = Deployment(case.make_clock(), nursery)
            await trio.sleep(1)
            await function(deployment)
            nursery.cancel_scope.cancel()

    case.run_trio(run)


class LedgerStateMachine(RuleBasedStateMachine):
    """Collects steps and executes them in one simulated run at the end."""

    def __init__(self):
        super().__init__()
        self.steps = []

    @rule(
        name=st.sampled_from(NODES),
        number=st.integers(1, 3),
        digest=st.sampled_from((*DIGESTS[:1] * 4, DIGESTS[1])),
        mode=st.sampled_from(Mode),
    )
    def call(self, **arguments):
        async def step(deployment):
            deployment.nursery.start_soon(lambda: deployment.call(**arguments))

        self.steps.append(step)

    @rule(seconds=st.sampled_from((0, 0.001, 0.01, 0.5, 3, 6, 60, 280, 301)))
    def sleep(self, seconds):
        async def step(deployment):
            await trio.sleep(seconds)

        self.steps.append(step)

    @rule(
        down=st.booleans(),
        delay=st.sampled_from((0, 0, 1, 4, 8)),
        answer_delay=st.sampled_from((0, 0, 4)),
        lost=st.lists(st.sampled_from(LostAppend), max_size=3),
    )
    def set_faults(self, down, delay, answer_delay, lost):
        async def step(deployment):
            faults = deployment.log.faults
            faults.down = down
            faults.delay_seconds = delay
            faults.answer_delay_seconds = answer_delay
            faults.lost_appends = list(lost)

        self.steps.append(step)

    @rule()
    def heal(self):
        async def step(deployment):
            deployment.heal()

        self.steps.append(step)

    @rule(name=st.sampled_from(NODES), action=st.integers(0, 2))
    def disrupt_node(self, name, action):
        async def step(deployment):
            if action == 0:
                deployment.kill(name)
            elif action == 1:
                deployment.nodes[name].gate.freeze()
            else:
                deployment.nodes[name].gate.thaw()

        self.steps.append(step)

    def teardown(self):
        async def run(deployment):
            for step in self.steps:
                await step(deployment)
            await deployment.check()

        run_deployment(TestCase("run_trio"), run)


class LedgerStateTest(LedgerStateMachine.TestCase):
    settings = settings(
        max_examples=150,
        stateful_step_count=25,
        derandomize=True,
        deadline=None,
    )


class LedgerTest(TestCase):
    def test_group_commit_and_replay(self):
        async def run(deployment):
            async with trio.open_nursery() as nursery:
                for number in range(50):
                    nursery.start_soon(
                        deployment.call, "n-0", number, b"d", Mode.ANSWER
                    )
            self.assertEqual(50, deployment.executions.total())
            await trio.sleep(1)
            # One append for the claims and one or two for the outcomes.
            self.assertTrue(deployment.log.append_count <= 3)
            result = await deployment.call("n-1", 7, b"d", Mode.ANSWER)
            self.assertTrue(result.replayed)
            result = await deployment.call("n-2", 7, b"other", Mode.ANSWER)
            self.assert_refused(result, RefusalCode.CONFLICT, "not_run")
            await deployment.check()

        run_deployment(self, run)

    def assert_refused(self, refusal, code, outcome):
        self.assertEqual((code, outcome), (refusal.code, refusal.outcome))

    def test_refusals_state_the_actual_outcome(self):
        async def run(deployment):
            deployment.log.faults.down = True
            await trio.sleep(0.1)
            call = deployment.call
            down = RefusalCode.PLATFORM_UNAVAILABLE
            start = deployment.clock.elapsed()
            result = await call("n-0", 1, b"d", Mode.ANSWER)
            self.assert_refused(result, down, "unknown")
            result = await call("n-0", 2, b"d", Mode.ANSWER, first_use=True)
            self.assert_refused(result, down, "not_run")
            self.assertEqual(start, deployment.clock.elapsed())
            deployment.kill("n-1")
            await trio.sleep(0.1)
            result = await call("n-1", 1, b"d", Mode.ANSWER)
            self.assert_refused(result, RefusalCode.NOT_READY, "unknown")
            deployment.heal()
            await trio.sleep(3)
            result = await call("n-1", 1, b"d", Mode.ANSWER)
            self.assertIsInstance(result, ExecutionResult)
            deployment.log.faults.lost_appends = [LostAppend.APPLIED]
            result = await call("n-1", 3, b"d", Mode.ANSWER)
            self.assertIsInstance(result, ExecutionResult)
            # The claim never reaches the log. The void closes the key for all
            # later calls.
            deployment.log.faults.lost_appends = [LostAppend.DROPPED]
            result = await call("n-1", 4, b"d", Mode.ANSWER)
            self.assert_refused(result, down, "not_run")
            result = await call("n-2", 4, b"d", Mode.ANSWER)
            self.assert_refused(result, down, "not_run")
            # The node crashes after the dispatch, before it records the
            # outcome.
            deployment.nursery.start_soon(call, "n-1", 5, b"d", Mode.SLOW)
            await trio.sleep(1)
            deployment.kill("n-1")
            result = await call("n-2", 5, b"d", Mode.ANSWER)
            self.assert_refused(result, RefusalCode.OUTCOME_UNKNOWN, "unknown")
            self.assertIn("n-1", result.detail)
            await trio.sleep(280)
            result = await call("n-2", 1, b"d", Mode.ANSWER)
            self.assertTrue(result.replayed)
            deployment.created[6] = EPOCH
            result = await call("n-2", 6, b"d", Mode.ANSWER)
            self.assert_refused(result, RefusalCode.KEY_EXPIRED, "unknown")
            await deployment.check()

        run_deployment(self, run)

    def test_restarted_node_refuses_key_with_expired_records(self):
        async def run(deployment):
            created = deployment.created[1] = EPOCH + timedelta(seconds=5)
            await deployment.call("n-0", 1, b"d", Mode.ANSWER)
            await trio.sleep(2.5)
            key = ExecutionKey(
                organisation="o",
                service="s",
                key=make_key(created, 1),
                digest=b"d",
            )
            void = Void(key_id=hash_key(key), claimant=b"v", created=created)
            await deployment.log.append(
                stream="ledger-0", bodies=[encode_record(void)]
            )
            # The claim has expired and the void has not. A node that trusted
            # the void would refuse with ``not_run``, although the request ran.
            await trio.sleep(299)
            deployment.kill("n-2")
            await trio.sleep(0.5)
            result = await deployment.call("n-2", 1, b"d", Mode.ANSWER)
            self.assert_refused(result, RefusalCode.KEY_EXPIRED, "unknown")
            await deployment.check()

        run_deployment(self, run)

    def test_key_must_be_a_time_ordered_uuid(self):
        async def run(deployment):
            for key in ("x", str(uuid.uuid4()), "{" + str(uuid.uuid1()) + "}"):
                result = await deployment.nodes["n-0"].ledger.run_once(
                    ExecutionKey(
                        organisation="o", service="s", key=key, digest=b"d"
                    ),
                    self.fail,
                )
                self.assert_refused(
                    result, RefusalCode.INVALID_REQUEST, "not_run"
                )

        run_deployment(self, run)


class EvaluateRecordTest(TestCase):
    def test_first_record_in_the_window_wins(self):
        async def run():
            clock = self.make_clock()
            log = MemoryLog(clock=clock, retention=RETENTION * 9)
            records = (
                self.make_claim(b"early", EPOCH + timedelta(seconds=60)),
                Outcome(key_id=b"k", claimant=b"early"),
                Void(key_id=b"k", claimant=b"void", created=EPOCH),
                self.make_claim(b"later", EPOCH),
            )
            for record in records:
                await log.append(stream="s", bodies=[encode_record(record)])
            await trio.sleep(300)
            record = self.make_claim(b"late", EPOCH)
            await log.append(stream="s", bodies=[encode_record(record)])
            entries = log.list_entries("s")
            expected = (
                Verdict.OUT_OF_WINDOW,
                None,
                Verdict.FIRST,
                Verdict.LATER,
                Verdict.OUT_OF_WINDOW,
            )
            for offset, verdict in enumerate(expected, start=1):
                actual = evaluate_record(entries, offset=offset, window=WINDOW)
                self.assertEqual(verdict, actual)
                actual = evaluate_record(
                    entries[:offset], offset=offset, window=WINDOW
                )
                self.assertEqual(verdict, actual)

        self.run_trio(run)

    def make_claim(self, claimant, created):
        return Claim(
            key_id=b"k",
            claimant=claimant,
            digest=b"d",
            created=created,
            node="n",
        )
