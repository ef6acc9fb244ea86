"""A discrete-event simulation of nodes and engines.

The simulated network delays load reports, cache events and digests, and loses
a few cache events. Requests and tokens arrive without delay. The nodes decide
with the product's ``DecisionCore``.
"""

import heapq
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import Any

from acaciarack.clock import ManualClock
from acaciarack.configuration import (
    Configuration,
    Delivery,
    ModelChoice,
    Organisation,
    Route,
    Service,
    Target,
    TargetKind,
)
from acaciarack.decisions import DecisionCore
from acaciarack.errors import Refusal
from acaciarack.loads import CacheEvent, LoadReport
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.queues import PlacerSettings
from acaciarack_bench.measures import Recorder, RequestRecord
from acaciarack_bench.model import (
    EngineModel,
    EngineSettings,
    Generation,
    StepResult,
)
from acaciarack_bench.traces import Arrival

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
_CHOICE_NAME = "choice"
_POOL = "engines"
_MAX_ATTEMPTS = 3
_CACHE_EVENT_LOSS_RATE = 0.05


@dataclass(frozen=True, kw_only=True)
class FleetSettings:
    """The simulated fleet.

    Attributes:
        engine: the size and speed of each engine.
        engines: the number of engines.
        nodes: the number of nodes.
        service: the service that callers request.
        report_interval: the time between two load reports of an engine.
        report_lag: the delay of load reports and cache events.
        digest_interval: the time between two digests of a node; 0 for no
            digests.
        digest_lag: the delay of digests to peers.
        tick: the period at which a node processes its queue without an event.
        detection: how long nodes regard a dead engine as available.
    """

    engine: EngineSettings
    engines: int
    nodes: int
    service: Service
    report_interval: timedelta = timedelta(milliseconds=100)
    report_lag: timedelta = timedelta(milliseconds=100)
    digest_interval: timedelta = timedelta(milliseconds=80)
    digest_lag: timedelta = timedelta(milliseconds=20)
    tick: timedelta = timedelta(milliseconds=50)
    detection: timedelta = timedelta(seconds=1)


@dataclass(frozen=True, kw_only=True)
class RunSettings:
    """The settings of one run.

    Attributes:
        fleet: the engines and nodes.
        placer: the placement settings of the nodes.
        policy: the name of the routing policy.
        organisations: the organisations that send requests.
        measured_from: the start of the measured part of the run.
        duration: the time after which no request arrives.
        kill_at: when the first engine dies; ``None`` for never.
        seed: equal seeds give equal runs.
    """

    fleet: FleetSettings
    placer: PlacerSettings
    policy: str
    organisations: tuple[str, ...]
    measured_from: timedelta
    duration: timedelta
    kill_at: timedelta | None = None
    seed: int = 0


@dataclass(kw_only=True)
class _Engine:
    model: EngineModel
    is_busy: bool = False
    is_dead: bool = False
    died: timedelta = timedelta.max
    cache_sequence: int = 0
    requests: dict[str, PlacementRequest] = field(default_factory=dict)


@dataclass(kw_only=True)
class _Node:
    core: DecisionCore
    requests: dict[str, PlacementRequest] = field(default_factory=dict)


class Driver:
    """Simulates the requests of one trace on nodes and engines."""

    def __init__(self, *, settings: RunSettings, recorder: Recorder) -> None:
        self._settings = settings
        self._fleet = settings.fleet
        self._recorder = recorder
        self._clock = ManualClock(epoch=_EPOCH)
        self._random = random.Random(f"driver/{settings.seed}")
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._scheduled = 0
        self._in_flight = 0
        self._trace_ended = False
        self._output_tokens: dict[str, int] = {}
        self._node_by_request: dict[str, _Node] = {}
        self._configuration = _build_configuration(settings)
        self._engines = {
            name: _Engine(
                model=EngineModel(
                    settings=self._fleet.engine, name=name, seed=settings.seed
                )
            )
            for name in self._configuration.targets
        }
        self._nodes = [
            self._build_node(index) for index in range(self._fleet.nodes)
        ]
        # Submitted requests, including retries, and the time that the nodes
        # spent on them.
        self.decisions = 0
        self.decision_seconds = 0.0

    def run(self, arrivals: Iterable[Arrival]) -> None:
        """Runs the simulation until every request of the trace has ended."""
        self._trace = iter(arrivals)
        self._schedule_arrival()
        for index, name in enumerate(self._engines):
            # Spreads the engines' reports evenly over the interval.
            start = self._fleet.report_interval * (index / len(self._engines))
            self._schedule(start, partial(self._send_report, name))
        for node in self._nodes:
            self._schedule(self._fleet.tick, partial(self._tick, node))
            if self._fleet.digest_interval:
                self._schedule(timedelta(), partial(self._send_digest, node))
        if self._settings.kill_at is not None:
            kill_engine = partial(self._kill, next(iter(self._engines)))
            self._schedule(self._settings.kill_at, kill_engine)
        while self._events and not (self._trace_ended and not self._in_flight):
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.elapsed())
            action()

    def _build_node(self, index: int) -> _Node:
        seed = f"node/{self._settings.seed}/{index}"
        core = DecisionCore(
            clock=self._clock,
            get_configuration=lambda: self._configuration,
            is_available=self._is_available,
            settings=replace(self._settings.placer, node=f"node-{index}"),
            rng=random.Random(seed),
        )
        return _Node(core=core)

    def _is_available(self, target: str) -> bool:
        died = self._engines[target].died
        if died == timedelta.max:
            return True
        return self._clock.elapsed() < died + self._fleet.detection

    def _schedule(self, delay: timedelta, action: Callable[[], None]) -> None:
        self._scheduled += 1
        at = self._clock.elapsed() + delay
        heapq.heappush(self._events, (at, self._scheduled, action))

    def _schedule_arrival(self) -> None:
        arrival = next(self._trace, None)
        if arrival is None:
            self._trace_ended = True
            return
        delay = arrival.at - self._clock.elapsed()
        self._schedule(delay, partial(self._handle_arrival, arrival))

    def _handle_arrival(self, arrival: Arrival) -> None:
        self._schedule_arrival()
        self._in_flight += 1
        self._output_tokens[arrival.id] = arrival.output_tokens
        self._recorder.records[arrival.id] = RequestRecord(
            organisation=arrival.organisation,
            at=arrival.at,
            counted=arrival.at >= self._settings.measured_from,
        )
        service = self._fleet.service
        request = PlacementRequest(
            request_id=arrival.id,
            organisation=arrival.organisation,
            service=service,
            route=self._configuration.routes["route"],
            choice=self._configuration.model_choices[_CHOICE_NAME],
            prompt_tokens=arrival.prompt_tokens,
            prefix_hashes=arrival.prefix_hashes,
            max_output_tokens=service.max_output_tokens,
            arrived=self._clock.now(),
            deadline=timedelta(seconds=service.deadline_seconds),
        )
        node = self._random.choice(self._nodes)
        self._node_by_request[arrival.id] = node
        self._submit(node, request)

    def _submit(self, node: _Node, request: PlacementRequest) -> None:
        node.requests[request.request_id] = request
        self._measure_time(node.core.add_request, request)
        self.decisions += 1
        self._apply_decisions(node)

    def _measure_time(
        self, operation: Callable[..., None], *arguments: Any
    ) -> None:
        start = time.perf_counter()
        operation(*arguments)
        self.decision_seconds += time.perf_counter() - start

    def _advance(self, node: _Node) -> None:
        self._measure_time(node.core.advance)
        self._apply_decisions(node)

    def _apply_decisions(self, node: _Node) -> None:
        for decision in node.core.take_decisions():
            request = node.requests.pop(decision.request_id)
            if isinstance(decision.outcome, Refusal):
                record = self._recorder.records[decision.request_id]
                record.refused = decision.outcome.code
                self._in_flight -= 1
            else:
                self._dispatch(node, request, decision.outcome)

    def _dispatch(
        self, node: _Node, request: PlacementRequest, placement: Placement
    ) -> None:
        self._recorder.records[request.request_id].attempts += 1
        engine = self._engines[placement.target]
        if engine.is_dead:
            self._handle_failure(request, placement.target, tokens=0)
            return
        generation = Generation(
            id=request.request_id,
            prompt_tokens=request.prompt_tokens,
            output_tokens=self._output_tokens[request.request_id],
            prefix_hashes=request.prefix_hashes,
            priority=placement.priority,
        )
        engine.requests[request.request_id] = request
        engine.model.submit(generation, self._clock.elapsed())
        if not engine.is_busy:
            self._start_step(engine)

    def _start_step(self, engine: _Engine) -> None:
        engine.is_busy = engine.model.has_work()
        if engine.is_busy:
            result = engine.model.step()
            end = partial(self._end_step, engine, result)
            self._schedule(result.duration, end)

    def _end_step(self, engine: _Engine, result: StepResult) -> None:
        if engine.is_dead:
            return
        now = self._clock.elapsed()
        for request_id in result.tokens:
            self._recorder.record_token(request_id, now)
            self._node_by_request[request_id].core.record_tokens(request_id, 1)
        for request_id in result.preempted:
            self._recorder.records[request_id].preemptions += 1
        if result.stored or result.evicted:
            self._publish_cache_event(engine, result)
        # Starts the next step before the nodes place new requests, because an
        # engine does not wait for its callers.
        self._start_step(engine)
        for request_id in (*result.finished, *result.truncated):
            whole = request_id in result.finished
            self._finish(engine, request_id, is_whole=whole)

    def _finish(
        self, engine: _Engine, request_id: str, *, is_whole: bool
    ) -> None:
        del engine.requests[request_id]
        self._recorder.records[request_id].is_whole = is_whole
        self._in_flight -= 1
        node = self._node_by_request[request_id]
        node.core.finish(request_id, succeeded=True)
        self._advance(node)

    def _publish_cache_event(self, engine: _Engine, result: StepResult) -> None:
        engine.cache_sequence += 1
        event = CacheEvent(
            target=engine.model.name,
            sequence=engine.cache_sequence,
            time=self._clock.now(),
            stored=result.stored,
            evicted=result.evicted,
        )
        if self._random.random() < _CACHE_EVENT_LOSS_RATE:
            return
        for node in self._nodes:
            deliver = partial(node.core.record_cache_event, event)
            self._schedule(self._fleet.report_lag, deliver)

    def _send_report(self, name: str) -> None:
        engine = self._engines[name]
        if engine.is_dead:
            return
        load = engine.model.read_load()
        report = LoadReport(
            target=name,
            time=self._clock.now(),
            capacity_tokens=load.capacity_tokens,
            used_tokens=load.used_tokens,
            running=load.running,
            waiting=load.waiting,
            preemptions=load.preemptions,
            step_seconds=load.step_duration.total_seconds(),
            loaded=load.loaded,
        )
        deliver = partial(self._deliver_report, report)
        self._schedule(self._fleet.report_lag, deliver)
        again = partial(self._send_report, name)
        self._schedule(self._fleet.report_interval, again)

    def _deliver_report(self, report: LoadReport) -> None:
        for node in self._nodes:
            node.core.record_report(report)
            self._advance(node)

    def _send_digest(self, node: _Node) -> None:
        digest = node.core.build_digest()
        for peer in self._nodes:
            if peer is not node:
                deliver = partial(peer.core.record_digest, digest)
                self._schedule(self._fleet.digest_lag, deliver)
        again = partial(self._send_digest, node)
        self._schedule(self._fleet.digest_interval, again)

    def _tick(self, node: _Node) -> None:
        self._advance(node)
        self._schedule(self._fleet.tick, partial(self._tick, node))

    def _kill(self, name: str) -> None:
        engine = self._engines[name]
        engine.is_dead = True
        engine.died = self._clock.elapsed()
        requests = list(engine.requests.values())
        engine.requests.clear()
        for request in requests:
            tokens = self._recorder.records[request.request_id].tokens
            self._handle_failure(request, name, tokens=tokens)

    def _handle_failure(
        self, request: PlacementRequest, target: str, *, tokens: int
    ) -> None:
        """Retries a failed request or records it as lost.

        A request is lost if it has used all its attempts, or if its service
        has ``STREAM`` delivery and tokens have reached the caller.
        """
        request_id = request.request_id
        node = self._node_by_request[request_id]
        node.core.finish(request_id, succeeded=False)
        record = self._recorder.records[request_id]
        is_stream = self._fleet.service.delivery == Delivery.STREAM
        if (tokens and is_stream) or request.attempt >= _MAX_ATTEMPTS:
            record.is_lost = True
            self._in_flight -= 1
            return
        record.restart()
        retry = replace(
            request,
            attempt=request.attempt + 1,
            excluded=request.excluded | {target},
            generated_tokens=request.generated_tokens + tokens,
        )
        self._submit(node, retry)


def _build_configuration(settings: RunSettings) -> Configuration:
    service = settings.fleet.service
    targets = [
        Target(
            name=f"engine-{number}",
            kind=TargetKind.ENGINE,
            host="127.0.0.1",
            port=1,
            data_centre="",
            pool=_POOL,
        )
        for number in range(settings.fleet.engines)
    ]
    choice = ModelChoice(
        name=_CHOICE_NAME, service=service.name, model="m", version="1"
    )
    route = Route(
        name="route", service=service.name, pool=_POOL, policy=settings.policy
    )
    return Configuration(
        version=1,
        organisations={
            name: Organisation(name=name) for name in settings.organisations
        },
        services={service.name: service},
        model_choices={choice.name: choice},
        routes={route.name: route},
        targets={target.name: target for target in targets},
    )
