"""A complete deployment in one process on loopback: platform, targets, nodes.

All parts communicate over real sockets, as in production, but share one
process. Node ``n`` listens on ``127.0.0.n``.
"""

import dataclasses
import hashlib
import pathlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import trio

from acaciarack.clock import Clock
from acaciarack.node import Node, build_clients
from acaciarack.platform import Vm, VmState
from acaciarack.settings import Settings, TlsFiles, parse_settings
from acaciarack.web import AsgiApp
from acaciarack_bench.application import ApplicationStandIn
from acaciarack_bench.engine import Engine, parse_model
from acaciarack_bench.engine_http import build_engine_app
from acaciarack_bench.log import MemoryLog, build_log_app
from acaciarack_bench.model import EngineModel, EngineSettings
from acaciarack_bench.serving import serve_app
from acaciarack_bench.vms import MemoryVmList, build_vms_app
from acaciarack_bench.weights import MemoryWeightStore, build_weights_app

HOST = "127.0.0.1"
OPERATOR_KEY = "demo-operator"
MODEL = "assistant-8b"
MODEL_VERSION = "1"
DATA_CENTRES = ("oslo-a", "drammen-b", "hamar-c")
_KEY_BYTES = 32


@dataclass(frozen=True, kw_only=True)
class DeploymentPlan:
    """The size and the settings of a deployment.

    Attributes:
        nodes: the number of nodes.
        engines: the number of engines.
        applications: the number of application servers.
        pace: a factor for the durations of engine steps.
        report_lag: the delay of the engines' load reports.
        seed: the seed of all random values and keys.
        entry_lifetime: how long the addresses from ``GET /v1/entries`` are
            valid.
        tls: the TLS files for all listeners and links of the nodes; ``None``
            for no TLS.
    """

    nodes: int = 1
    engines: int = 2
    applications: int = 1
    pace: float = 1.0
    report_lag: timedelta = timedelta(milliseconds=100)
    seed: int = 0
    entry_lifetime: timedelta = timedelta(seconds=10)
    tls: TlsFiles | None = None


@dataclass(frozen=True, kw_only=True)
class ServerAddress:
    """The name and the port of a stand-in."""

    name: str
    port: int


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """A running deployment.

    Attributes:
        log: the log service.
        vms: the VM list.
        nodes: the nodes.
        engines: the engines.
        engine_servers: the engines' addresses, in the same order.
        applications: the application servers.
        application_servers: the application servers' addresses, in the same
            order.
    """

    log: MemoryLog
    vms: MemoryVmList
    nodes: tuple[Node, ...]
    engines: tuple[Engine, ...]
    engine_servers: tuple[ServerAddress, ...]
    applications: tuple[ApplicationStandIn, ...]
    application_servers: tuple[ServerAddress, ...]


@dataclass(frozen=True, kw_only=True)
class _PlatformServers:
    log: MemoryLog
    vms: MemoryVmList
    log_port: int
    vms_port: int
    weights_port: int


@asynccontextmanager
async def open_deployment(
    plan: DeploymentPlan, *, clock: Clock
) -> AsyncIterator[Deployment]:
    """Runs a deployment for the duration of the block."""
    async with trio.open_nursery() as nursery:
        platform = await _start_platform(nursery, clock)
        engines = [_build_engine(plan, i, clock) for i in range(plan.engines)]
        engine_servers = [
            await _start_server(nursery, engine.name, build_engine_app(engine))
            for engine in engines
        ]
        for engine in engines:
            nursery.start_soon(engine.run)
        applications = [
            ApplicationStandIn(name=f"application-{i + 1}", clock=clock)
            for i in range(plan.applications)
        ]
        application_servers = [
            await _start_server(
                nursery, f"application-{i + 1}", item.build_app()
            )
            for i, item in enumerate(applications)
        ]
        nodes = await _start_nodes(nursery, plan, platform, clock)
        yield Deployment(
            log=platform.log,
            vms=platform.vms,
            nodes=tuple(nodes),
            engines=tuple(engines),
            engine_servers=tuple(engine_servers),
            applications=tuple(applications),
            application_servers=tuple(application_servers),
        )
        nursery.cancel_scope.cancel()


async def _start_server(
    nursery: trio.Nursery, name: str, app: AsgiApp
) -> ServerAddress:
    async def serve(
        *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await serve_app(app, host=HOST, task_status=task_status)

    return ServerAddress(name=name, port=await nursery.start(serve))


async def _start_platform(
    nursery: trio.Nursery, clock: Clock
) -> _PlatformServers:
    log = MemoryLog(clock=clock)
    vms = MemoryVmList(clock=clock, lag=timedelta(seconds=1))
    weights = MemoryWeightStore(clock=clock)
    return _PlatformServers(
        log=log,
        vms=vms,
        log_port=(await _start_server(nursery, "log", build_log_app(log))).port,
        vms_port=(await _start_server(nursery, "vms", build_vms_app(vms))).port,
        weights_port=(
            await _start_server(nursery, "weights", build_weights_app(weights))
        ).port,
    )


def _build_engine(plan: DeploymentPlan, index: int, clock: Clock) -> Engine:
    settings = EngineSettings(
        loaded=(parse_model(f"{MODEL}@{MODEL_VERSION}", ()),)
    )
    name = f"engine-{index + 1}"
    return Engine(
        model=EngineModel(settings=settings, name=name, seed=plan.seed),
        clock=clock,
        pace=plan.pace,
        report_lag=plan.report_lag,
        seed=plan.seed,
    )


async def _start_nodes(
    nursery: trio.Nursery,
    plan: DeploymentPlan,
    platform: _PlatformServers,
    clock: Clock,
) -> list[Node]:
    nodes: list[Node] = []
    link_port = 0
    for index in range(plan.nodes):
        settings = build_settings(
            plan, index=index, platform=platform, link_port=link_port
        )
        node = Node(
            settings=settings,
            clients=build_clients(settings),
            clock=clock,
            randomness=random.Random(f"{plan.seed}/{index}"),
        )
        link_port = node.link_port
        platform.vms.put(
            Vm(
                name=settings.node.name,
                role="node",
                host=settings.node.host,
                data_centre=settings.node.data_centre,
                state=VmState.LIVE,
            )
        )
        nodes.append(node)
    for node in nodes:
        await nursery.start(_run_node, node)
    return nodes


async def _run_node(node: Node, *, task_status: trio.TaskStatus[None]) -> None:
    await node.run(task_status=task_status)


def build_settings(
    plan: DeploymentPlan,
    *,
    index: int,
    platform: _PlatformServers,
    link_port: int,
) -> Settings:
    """Builds the settings of a node, with keys derived from the seed."""
    document: dict[str, Any] = {
        "node": {
            "name": f"node-{index + 1}",
            "host": f"127.0.0.{index + 1}",
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "caller_port": 0,
            "operator_port": 0,
            "link_port": link_port,
            "entry_lifetime_seconds": plan.entry_lifetime.total_seconds(),
        },
        "platform": {
            "log": f"{HOST}:{platform.log_port}",
            "vm_list": f"{HOST}:{platform.vms_port}",
            "weight_store": f"{HOST}:{platform.weights_port}",
        },
        "keys": {
            "sealing": [{"hex": _derive_key(plan, "sealing")}],
            "link": [{"hex": _derive_key(plan, "link")}],
            "operators": [
                {
                    "name": "demo",
                    "key_hash": hashlib.sha256(
                        OPERATOR_KEY.encode()
                    ).hexdigest(),
                }
            ],
        },
    }
    if plan.tls is not None:
        files = dataclasses.asdict(plan.tls)
        document["tls"] = dict.fromkeys(("caller", "operator", "link"), files)
    return parse_settings(document, path=pathlib.Path("deployment.toml"))


def _derive_key(plan: DeploymentPlan, purpose: str) -> str:
    rng = random.Random(f"{plan.seed}/{purpose}")
    return rng.randbytes(_KEY_BYTES).hex()
