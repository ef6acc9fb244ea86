"""A stand-in for a model engine: answers, faults, orders and reports."""

import random
from collections import deque
from collections.abc import AsyncIterator
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.loads import CacheEvent, LoadedModel, LoadReport
from acaciarack.prompts import estimate_tokens, hash_prefixes
from acaciarack_bench.answers import Answer, AnswerRequest, join_prompt
from acaciarack_bench.connections import (
    ConnectionCutError,
    Connections,
    EngineFault,
)
from acaciarack_bench.engine_records import (
    GenerationRecord,
    OrderBody,
    OrderRecord,
)
from acaciarack_bench.model import (
    EngineModel,
    Generation,
    StepResult,
)
from acaciarack_bench.reports import DEFAULT_INTERVAL, delay_reports

HEARTBEAT_SECONDS = 1.0
MAX_ENDED_ANSWERS = 2000
MAX_CACHE_EVENTS = 10_000
MAX_OUTPUT_TOKENS = 32_768
_MEAN_LOG_TOKENS = 5.0
_SIGMA_LOG_TOKENS = 1.0


class Engine:
    """An engine; ``run`` steps its model and feeds the answers."""

    def __init__(
        self,
        *,
        model: EngineModel,
        clock: Clock,
        pace: float = 1.0,
        incarnation: str = "",
        checks_fencing: bool = False,
        report_interval: timedelta = DEFAULT_INTERVAL,
        report_lag: timedelta = timedelta(),
        cache_lag: timedelta = timedelta(),
        cache_loss: float = 0.0,
        seed: int = 0,
    ) -> None:
        """Creates an idle engine.

        Args:
            model: what decides on batches, memory and durations.
            clock: gives times and waits.
            pace: multiplies the model's durations; 0 is as fast as can be.
            incarnation: told apart from earlier lives under the same name.
            checks_fencing: whether orders with an old number are refused.
            report_interval: the time between two load reports.
            report_lag: how late each load report is.
            cache_lag: how late each cache event is.
            cache_loss: the fraction of cache events that are lost.
            seed: for lengths of answers and losses of cache events.
        """
        self.name = model.name
        self.generations: list[GenerationRecord] = []
        self.orders: list[OrderRecord] = []
        self._model = model
        self._clock = clock
        self._pace = pace
        self._prefix = f"{model.name}{incarnation}.g"
        self._checks_fencing = checks_fencing
        self.fencing = 0
        self._role = ""
        self._report_interval = report_interval
        self._report_lag = report_lag
        self._cache_lag = cache_lag
        self._cache_loss = cache_loss
        self._random = random.Random(f"{model.name}/{seed}")
        self._answers: dict[str, Answer] = {}
        self._ended: deque[str] = deque()
        self._cache_events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._cache_sequence = 0
        self._cache_changed = trio.Event()
        self._work = trio.Event()
        self._thawed = trio.Event()
        self._thawed.set()
        self.connections = Connections()
        self._dead = False
        self._leaving = False

    async def run(self) -> None:
        """Steps the model until cancelled."""
        while True:
            await self._thawed.wait()
            if not self._model.has_work():
                self._work = trio.Event()
                await self._work.wait()
            result = self._model.step()
            await self._clock.sleep(result.duration * self._pace)
            self._apply(result)

    def measure_load(self) -> LoadReport:
        """Returns the load as it is now."""
        load = self._model.read_load()
        return LoadReport(
            target=self.name,
            time=self._clock.now(),
            capacity_tokens=load.capacity_tokens,
            used_tokens=load.used_tokens,
            running=load.running,
            waiting=load.waiting,
            preemptions=load.preemptions,
            step_seconds=load.step_duration.total_seconds() * self._pace,
            loaded=load.loaded,
            leaving=self._leaving,
        )

    def inject(self, fault: EngineFault) -> None:
        """Brings a fault about, or ends one."""
        match fault:
            case EngineFault.DIE:
                self._die()
            case EngineFault.REVIVE:
                self._dead = False
            case EngineFault.CUT:
                self._replace_connections(cut=True)
            case EngineFault.SILENCE:
                self._replace_connections(silent=True)
            case EngineFault.FREEZE:
                self._thawed = trio.Event()
            case EngineFault.THAW:
                self._thawed.set()
            case EngineFault.LEAVE | EngineFault.STAY:
                self._leaving = fault is EngineFault.LEAVE

    def _die(self) -> None:
        self._dead = True
        for answer in self._answers.values():
            self._model.cancel(answer.id)
        self._replace_connections(cut=True)
        self._answers.clear()
        self._ended.clear()

    def _replace_connections(
        self, *, cut: bool = False, silent: bool = False
    ) -> None:
        old = self.connections
        self.connections = Connections()
        old.cut = cut
        old.silent = silent
        for answer in self._answers.values():
            answer.wake()

    def _apply(self, result: StepResult) -> None:
        """Hands the tokens of one step to the answers."""
        for answer in self._find_answers(result.tokens):
            answer.add_token()
        for answer in self._find_answers(result.preempted):
            answer.preemptions += 1
        for answer in self._find_answers(result.finished + result.truncated):
            answer.finish()
            self._note_end(answer)
        if result.stored or result.evicted:
            self._publish_cache_event(result)

    def _find_answers(self, ids: tuple[str, ...]) -> list[Answer]:
        found = (self._answers.get(answer_id) for answer_id in ids)
        return [a for a in found if a is not None and not a.is_ended()]

    def _note_end(self, answer: Answer) -> None:
        self._ended.append(answer.id)
        while len(self._ended) > MAX_ENDED_ANSWERS:
            self._answers.pop(self._ended.popleft(), None)

    def _publish_cache_event(self, result: StepResult) -> None:
        self._cache_sequence += 1
        if self._random.random() < self._cache_loss:
            return
        self._cache_events.append(
            CacheEvent(
                target=self.name,
                sequence=self._cache_sequence,
                time=self._clock.now(),
                stored=result.stored,
                evicted=result.evicted,
            )
        )
        self._cache_changed.set()
        self._cache_changed = trio.Event()

    def check_alive(self) -> None:
        """Raises ``ConnectionCutError`` while the engine is dead."""
        if self._dead:
            raise ConnectionCutError(f"{self.name} is dead")

    def is_leaving(self) -> bool:
        """Returns whether new generations are refused."""
        return self._leaving

    def find_answer(self, answer_id: str) -> Answer | None:
        """Returns an answer by its response id."""
        return self._answers.get(answer_id)

    def start(self, message: AnswerRequest) -> Answer:
        """Queues a generation.

        Raises:
            EngineModelError: the engine cannot run it.
            ValueError: the metadata's ``output_tokens`` is not a number.
        """
        prompt = join_prompt(message)
        metadata = message.metadata or {}
        wanted = int(metadata.get("output_tokens", 0)) or self._draw_length()
        allowed = message.max_output_tokens or MAX_OUTPUT_TOKENS
        answer = Answer(
            name=f"{self._prefix}{len(self.generations) + 1}",
            model=message.model,
            created=self._clock.now().timestamp(),
            prompt_tokens=estimate_tokens(prompt),
            limit=min(wanted, allowed),
            truncated=wanted > allowed,
            metadata=metadata,
        )
        generation = Generation(
            id=answer.id,
            prompt_tokens=estimate_tokens(prompt),
            output_tokens=answer.limit,
            prefix_hashes=hash_prefixes(prompt),
            priority=message.priority,
            model=parse_model(message.model, self._model.read_load().loaded),
        )
        self._model.submit(generation, self._clock.elapsed())
        self._answers[answer.id] = answer
        self._record(answer, message, prompt)
        self._work.set()
        return answer

    def _record(
        self, answer: Answer, message: AnswerRequest, prompt: str
    ) -> None:
        self.generations.append(
            GenerationRecord(
                name=answer.name,
                id=answer.id,
                model=message.model,
                prompt=prompt[:200],
                metadata=message.metadata or {},
                priority=message.priority,
            )
        )

    def cancel(self, answer: Answer) -> None:
        """Ends a generation where it is, unless it has ended."""
        if answer.is_ended():
            return
        self._model.cancel(answer.id)
        answer.cancel()
        self._note_end(answer)

    def _draw_length(self) -> int:
        drawn = self._random.lognormvariate(_MEAN_LOG_TOKENS, _SIGMA_LOG_TOKENS)
        return max(1, min(round(drawn), MAX_OUTPUT_TOKENS))

    def take_order(self, order: OrderBody) -> bool:
        """Obeys an order, unless its fencing number is checked and old."""
        obeyed = not self._checks_fencing or order.fencing >= self.fencing
        self.orders.append(OrderRecord(order=order, obeyed=obeyed))
        if obeyed:
            self.fencing = max(self.fencing, order.fencing)
            self._obey(order)
        return obeyed

    def list_reports(self) -> AsyncIterator[LoadReport]:
        """Yields load reports with the engine's lag."""
        return delay_reports(
            clock=self._clock,
            measure_load=self.measure_load,
            interval=self._report_interval,
            lag=self._report_lag,
        )

    async def list_cache_events(
        self, after: int
    ) -> AsyncIterator[CacheEvent | None]:
        """Yields cache events late, and ``None`` when there is none a while.

        Args:
            after: the last sequence number that is known.
        """
        while True:
            changed = self._cache_changed
            newest = self._clock.now() - self._cache_lag
            for event in tuple(self._cache_events):
                if event.sequence > after and event.time <= newest:
                    yield event
                    after = event.sequence
            with trio.move_on_after(HEARTBEAT_SECONDS):
                await changed.wait()
                await self._clock.sleep(self._cache_lag)
            yield None

    def _obey(self, order: OrderBody) -> None:
        if order.role:
            self._role = order.role
        if not order.model:
            return
        model = LoadedModel(
            model=order.model, adapter=order.adapter, version=order.version
        )
        if order.order.startswith("unload"):
            self._model.unload_model(model)
        else:
            self._model.load_model(model)


def parse_model(text: str, loaded: tuple[LoadedModel, ...]) -> LoadedModel:
    """Parses a model's name; without a version, one that is loaded."""
    name, _, version = text.partition("@")
    model, _, adapter = name.partition(":")
    if not version:
        for known in loaded:
            if (known.model, known.adapter) == (model, adapter):
                return known
    return LoadedModel(model=model, adapter=adapter, version=version)
