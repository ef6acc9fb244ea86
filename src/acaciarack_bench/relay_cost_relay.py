"""The relays whose cost is compared: a plain one and the product's path.

The product's path is everything between a caller's connection and an engine's
but the choice of the target. ``GET /cpu`` answers the CPU seconds that the
process has used.
"""

import argparse
import cProfile
import json
import pstats
import resource
import signal
import sys
from datetime import timedelta
from typing import Any

import httpcore
import trio

from acaciarack.clock import SystemClock
from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    Organisation,
    Route,
    Service,
    ServiceKind,
    Target,
    TargetKind,
)
from acaciarack.engines import ResponsesClient
from acaciarack.generations import GenerationDependencies
from acaciarack.keys import KeyIndex, hash_key
from acaciarack.limits import RequestLimiter
from acaciarack.listeners import bind_listener, serve_listener
from acaciarack.observations import RequestObservation
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.responses import ResponsesHandler
from acaciarack.resume_tracker import NullAnnouncer, ResumeTracker
from acaciarack.seals import Sealer, SealKey
from acaciarack.streams import GenerationReader
from acaciarack.web import App, Endpoint, Receive, Reply, Request, Send
from acaciarack_bench.serving import serve_app

HOST = "127.0.0.1"
API_KEY = "relay-cost"
_SERVICE = "chat"
_TARGET = "source"
_MAX_STREAMS = 2000
_PROFILE_LINES = 60


def _read_cpu() -> bytes:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    memory = usage.ru_maxrss
    return json.dumps(
        {"cpu": usage.ru_utime + usage.ru_stime, "peak_kib": memory}
    ).encode()


class PlainRelay:
    """Forwards each chunk of the engine's response with a separate write."""

    def __init__(self, *, source_port: int) -> None:
        self._url = f"http://{HOST}:{source_port}/v1/responses"
        self._pool = httpcore.AsyncConnectionPool(max_connections=_MAX_STREAMS)

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await App()(scope, receive, send)
            return
        if scope["path"] == "/cpu":
            await _send_response_start(send)
            await send({"type": "http.response.body", "body": _read_cpu()})
            return
        event = await receive()
        body = event["body"]
        while event.get("more_body"):
            event = await receive()
            body += event["body"]
        await self._relay(body, receive, send)

    async def _relay(self, body: bytes, receive: Receive, send: Send) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery)
            async with self._pool.stream(
                "POST", self._url, content=body
            ) as response:
                await _send_response_start(send)
                async for chunk in response.aiter_stream():
                    await send(
                        {
                            "type": "http.response.body",
                            "body": chunk,
                            "more_body": True,
                        }
                    )
            await send({"type": "http.response.body", "body": b""})
            nursery.cancel_scope.cancel()


async def _cancel_on_disconnect(
    receive: Receive, nursery: trio.Nursery
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    nursery.cancel_scope.cancel()


async def _send_response_start(send: Send) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})


class _Placer:
    """A placer that places every request on the source."""

    async def place(self, request: PlacementRequest) -> Placement:
        return Placement(
            target=_TARGET,
            priority=0,
            reserved_tokens=0,
            waited=timedelta(),
        )

    def record_tokens(self, request_id: str, count: int) -> None:
        pass

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        pass


class _NoRetryBudget:
    def allow(self, organisation: str) -> bool:
        return False


def _build_configuration(source_port: int) -> Configuration:
    return Configuration(
        version=1,
        organisations={
            "o": Organisation(
                name="o",
                key_hashes=(hash_key(API_KEY),),
                max_in_flight=_MAX_STREAMS,
            )
        },
        services={
            _SERVICE: Service(
                name=_SERVICE,
                kind=ServiceKind.GENERATION,
                max_output_tokens=1_000_000,
            )
        },
        targets={
            _TARGET: Target(
                name=_TARGET,
                kind=TargetKind.ENGINE,
                host=HOST,
                port=source_port,
                data_centre="oslo-a",
                pool="engines",
            )
        },
        routes={"r": Route(name="r", service=_SERVICE, pool="engines")},
        model_choices={
            "c": ModelChoice(name="c", service=_SERVICE, model="m", version="1")
        },
    )


def _ignore_observation(observation: RequestObservation) -> None:
    pass


def build_product(source_port: int) -> tuple[App, ResponsesHandler]:
    """Builds the product's request path from a caller to the source."""
    configuration = _build_configuration(source_port)
    client = ResponsesClient(max_connections=_MAX_STREAMS)
    responses = ResponsesHandler(
        dependencies=GenerationDependencies(
            clock=SystemClock(),
            node="relay",
            configuration=lambda: configuration,
            placer=_Placer(),
            client=client,
            generation_reader=GenerationReader(client=client),
            sealer=Sealer(keys=[SealKey(number=1, secret=bytes(32))]),
            budget=_NoRetryBudget(),
            resume_tracker=ResumeTracker(
                node="relay",
                announcer=NullAnnouncer(),
                grace_period=timedelta(),
            ),
            observe=_ignore_observation,
        ),
        keys=KeyIndex(configuration=lambda: configuration),
        in_flight=RequestLimiter(),
    )
    cpu = Endpoint(method="GET", pattern="/cpu", handler=_handle_cpu_request)
    return App(endpoints=[*responses.list_endpoints(), cpu]), responses


async def _handle_cpu_request(request: Request) -> Reply:
    return Reply(body=_read_cpu())


async def _run_plain(source_port: int) -> None:
    async with trio.open_nursery() as nursery:
        app = PlainRelay(source_port=source_port)

        async def serve(*, task_status: trio.TaskStatus[int]) -> None:
            await serve_app(app, host=HOST, task_status=task_status)

        port = await nursery.start(serve)
        print(json.dumps({"port": port}), flush=True)


async def _run_product(source_port: int) -> None:
    app, responses = build_product(source_port)
    listener = bind_listener(HOST, 0)

    async def serve(*, task_status: trio.TaskStatus[None]) -> None:
        await serve_listener(
            app,
            listener,
            shutdown=trio.sleep_forever,
            grace=timedelta(),
            task_status=task_status,
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(responses.run)
        await nursery.start(serve)
        print(json.dumps({"port": listener.port}), flush=True)


async def _run_until_signal(kind: str, source_port: int) -> None:
    run = _run_plain if kind == "plain" else _run_product
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, source_port)
            await anext(signals)
            nursery.cancel_scope.cancel()


def main() -> None:
    """Runs a relay until SIGTERM; optionally prints a profile to stderr."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("plain", "product"))
    parser.add_argument("source_port", type=int)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    profile = cProfile.Profile()
    if options.profile:
        profile.enable()
    trio.run(_run_until_signal, options.kind, options.source_port)
    if options.profile:
        profile.disable()
        stats = pstats.Stats(profile, stream=sys.stderr)
        stats.sort_stats("tottime").print_stats(_PROFILE_LINES)


if __name__ == "__main__":
    main()
