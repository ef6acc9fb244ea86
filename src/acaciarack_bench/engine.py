"""A stand-in for an inference engine with faults, orders and load reports."""

import random
from collections import deque
from collections.abc import AsyncIterator
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.loads import CacheEvent, LoadedModel, LoadReport
from acaciarack.prompts import estimate_tokens, hash_prefixes
from acaciarack_bench.connections import (
    ConnectionCutError,
    ConnectionGroup,
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
from acaciarack_bench.reports import DEFAULT_REPORT_INTERVAL, delay_reports
from acaciarack_bench.responses import AnswerRequest, Response, join_prompt

HEARTBEAT_SECONDS = 1.0
MAX_ENDED_RESPONSES = 2000
MAX_CACHE_EVENTS = 10_000
MAX_OUTPUT_TOKENS = 32_768
# Log-normal distribution of output lengths, in tokens, if a request sets none.
_MEAN_LOG_TOKENS = 5.0
_STDDEV_LOG_TOKENS = 1.0


class Engine:
    """An inference engine that generates numbered tokens.

    ``run`` steps the engine model and adds the decoded tokens to the responses.
    """

    def __init__(
        self,
        *,
        model: EngineModel,
        clock: Clock,
        pace: float = 1.0,
        incarnation: str = "",
        checks_fencing: bool = False,
        report_interval: timedelta = DEFAULT_REPORT_INTERVAL,
        report_lag: timedelta = timedelta(),
        cache_lag: timedelta = timedelta(),
        cache_loss: float = 0.0,
        seed: int = 0,
    ) -> None:
        """Creates an idle engine.

        Args:
            model: simulates batching, memory and step durations.
            clock: the clock.
            pace: a factor for the model's step durations; 0 runs steps without
                delay.
            incarnation: a part of generation names and response ids; differs
                between engines that are started under the same name.
            checks_fencing: whether the engine refuses orders with a fencing
                number below the highest one seen.
            report_interval: the time between two load reports.
            report_lag: the delay of each load report.
            cache_lag: the delay of each cache event.
            cache_loss: the fraction of cache events that the engine drops.
            seed: seeds random output lengths and the loss of cache events.
        """
        self.name = model.name
        self.generations: list[GenerationRecord] = []
        self.orders: list[OrderRecord] = []
        self._model = model
        self._clock = clock
        self._pace = pace
        self._id_prefix = f"{model.name}{incarnation}.g"
        self._checks_fencing = checks_fencing
        self.fencing = 0
        self._role = ""
        self._report_interval = report_interval
        self._report_lag = report_lag
        self._cache_lag = cache_lag
        self._cache_loss = cache_loss
        self._random = random.Random(f"{model.name}/{seed}")
        self._responses: dict[str, Response] = {}
        self._ended: deque[str] = deque()
        self._cache_events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._cache_sequence = 0
        self._cache_changed = trio.Event()
        self._work_available = trio.Event()
        self._thawed = trio.Event()
        self._thawed.set()
        self.connections = ConnectionGroup()
        self._dead = False
        self._leaving = False

    async def run(self) -> None:
        """Steps the model until cancelled."""
        while True:
            await self._thawed.wait()
            if not self._model.has_work():
                self._work_available = trio.Event()
                await self._work_available.wait()
            result = self._model.step()
            await self._clock.sleep(result.duration * self._pace)
            self._apply_step(result)

    def measure_load(self) -> LoadReport:
        """Returns the current load."""
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

    def inject_fault(self, fault: EngineFault) -> None:
        """Starts or ends a fault."""
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
        for response in self._responses.values():
            self._model.cancel(response.id)
        self._replace_connections(cut=True)
        self._responses.clear()
        self._ended.clear()

    def _replace_connections(
        self, *, cut: bool = False, silent: bool = False
    ) -> None:
        old = self.connections
        self.connections = ConnectionGroup()
        old.cut = cut
        old.silent = silent
        for response in self._responses.values():
            response.wake()

    def _apply_step(self, result: StepResult) -> None:
        """Applies the result of one step to the responses."""
        for response in self._find_responses(result.tokens):
            response.add_token()
        for response in self._find_responses(result.preempted):
            response.preemptions += 1
        for response in self._find_responses(
            result.finished + result.truncated
        ):
            response.finish()
            self._record_end(response)
        if result.stored or result.evicted:
            self._publish_cache_event(result)

    def _find_responses(self, ids: tuple[str, ...]) -> list[Response]:
        found = (self._responses.get(response_id) for response_id in ids)
        return [
            response
            for response in found
            if response is not None and not response.is_ended()
        ]

    def _record_end(self, response: Response) -> None:
        self._ended.append(response.id)
        while len(self._ended) > MAX_ENDED_RESPONSES:
            self._responses.pop(self._ended.popleft(), None)

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
        """Returns whether the engine refuses new generations."""
        return self._leaving

    def find_response(self, response_id: str) -> Response | None:
        """Returns the response with an id; ``None`` if there is none."""
        return self._responses.get(response_id)

    def start(self, message: AnswerRequest) -> Response:
        """Queues a generation.

        Raises:
            EngineModelError: the engine cannot run it.
            ValueError: the metadata's ``output_tokens`` is not a number.
        """
        prompt = join_prompt(message)
        metadata = message.metadata or {}
        requested_tokens = (
            int(metadata.get("output_tokens", 0)) or self._draw_length()
        )
        allowed = message.max_output_tokens or MAX_OUTPUT_TOKENS
        response = Response(
            name=f"{self._id_prefix}{len(self.generations) + 1}",
            model=message.model,
            created=self._clock.now().timestamp(),
            prompt_tokens=estimate_tokens(prompt),
            limit=min(requested_tokens, allowed),
            truncated=requested_tokens > allowed,
            metadata=metadata,
        )
        generation = Generation(
            id=response.id,
            prompt_tokens=estimate_tokens(prompt),
            output_tokens=response.limit,
            prefix_hashes=hash_prefixes(prompt),
            priority=message.priority,
            model=parse_model(message.model, self._model.read_load().loaded),
        )
        self._model.submit(generation, self._clock.elapsed())
        self._responses[response.id] = response
        self._record(response, message, prompt)
        self._work_available.set()
        return response

    def _record(
        self, response: Response, message: AnswerRequest, prompt: str
    ) -> None:
        self.generations.append(
            GenerationRecord(
                name=response.name,
                id=response.id,
                model=message.model,
                prompt=prompt[:200],
                metadata=message.metadata or {},
                priority=message.priority,
            )
        )

    def cancel(self, response: Response) -> None:
        """Cancels a generation unless it has ended."""
        if response.is_ended():
            return
        self._model.cancel(response.id)
        response.cancel()
        self._record_end(response)

    def _draw_length(self) -> int:
        length = self._random.lognormvariate(
            _MEAN_LOG_TOKENS, _STDDEV_LOG_TOKENS
        )
        return max(1, min(round(length), MAX_OUTPUT_TOKENS))

    def handle_order(self, order: OrderBody) -> bool:
        """Executes an order, or refuses it because of its fencing number.

        The engine refuses an order only if it checks fencing and the number is
        below the highest one seen.

        Returns:
            Whether the engine executed the order.
        """
        obeyed = not self._checks_fencing or order.fencing >= self.fencing
        self.orders.append(OrderRecord(order=order, obeyed=obeyed))
        if obeyed:
            self.fencing = max(self.fencing, order.fencing)
            self._execute_order(order)
        return obeyed

    def iter_load_reports(self) -> AsyncIterator[LoadReport]:
        """Yields load reports, each delayed by the engine's report lag."""
        return delay_reports(
            clock=self._clock,
            measure_load=self.measure_load,
            interval=self._report_interval,
            lag=self._report_lag,
        )

    async def iter_cache_events(
        self, after: int
    ) -> AsyncIterator[CacheEvent | None]:
        """Yields cache events, each delayed by the engine's cache lag.

        Yields ``None`` as a heartbeat after each wait, which lasts at most
        ``HEARTBEAT_SECONDS``.

        Args:
            after: the sequence number of the last event that the caller has.
        """
        while True:
            changed = self._cache_changed
            cutoff = self._clock.now() - self._cache_lag
            for event in tuple(self._cache_events):
                if event.sequence > after and event.time <= cutoff:
                    yield event
                    after = event.sequence
            with trio.move_on_after(HEARTBEAT_SECONDS):
                await changed.wait()
                await self._clock.sleep(self._cache_lag)
            yield None

    def _execute_order(self, order: OrderBody) -> None:
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
    """Parses ``MODEL``, ``MODEL@VERSION`` or ``MODEL:ADAPTER@VERSION``.

    Without a version, returns the first loaded model with the same name and
    adapter, if there is one.
    """
    name, _, version = text.partition("@")
    model, _, adapter = name.partition(":")
    if not version:
        for known in loaded:
            if (known.model, known.adapter) == (model, adapter):
                return known
    return LoadedModel(model=model, adapter=adapter, version=version)
