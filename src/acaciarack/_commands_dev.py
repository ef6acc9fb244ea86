"""The commands ``demo`` and ``dev``, which run a deployment on loopback."""

import os
import tempfile
from collections.abc import Sequence
from contextlib import aclosing
from typing import ClassVar

import trio
import uuid6
from cleo.commands.command import Command
from cleo.io.inputs.option import Option
from cleo.io.outputs.buffered_output import BufferedOutput

from acaciarack.addresses import EntryAddress
from acaciarack.client import Client
from acaciarack.clock import SystemClock
from acaciarack.commands import commands, run_command
from acaciarack.errors import AcaciarackError
from acaciarack.logs import start_logs
from acaciarack.settings import LogLevel
from acaciarack.stream_items import Text
from acaciarack_bench.deployment import (
    MODEL,
    MODEL_VERSION,
    OPERATOR_KEY,
    Deployment,
    DeploymentPlan,
    ServerAddress,
    open_deployment,
)

DEMO_TOKENS = 40
DEMO_TIMEOUT_SECONDS = 18.0
READY_TIMEOUT_SECONDS = 10.0
_ENGINE_POOL = "engines"
_VAN_POOL = "vans"


class DemoError(AcaciarackError):
    """A step of the demonstration failed."""


class OperatorClient:
    """Runs commands on a node's operator port and optionally prints them."""

    def __init__(self, *, address: str, key_file: str, show: bool) -> None:
        self._options = ["--address", address, "--key-file", key_file]
        self._show = show

    async def run(self, *command_args: str) -> str:
        """Runs one command in a thread and returns its output.

        Raises:
            DemoError: the exit code is not 0.
        """
        if self._show:
            print(f"$ acaciarack {' '.join(command_args)}")
        output, errors = BufferedOutput(), BufferedOutput()
        code = await trio.to_thread.run_sync(
            self._run, command_args, output, errors
        )
        if code != 0:
            raise DemoError(f"{command_args}: {errors.fetch().strip()}")
        return str(output.fetch())

    def _run(
        self,
        command_args: Sequence[str],
        output: BufferedOutput,
        errors: BufferedOutput,
    ) -> int:
        arguments = [*command_args, *self._options]
        return run_command(arguments, output=output, error_output=errors)


async def configure(operator: OperatorClient, deployment: Deployment) -> str:
    """Creates all configuration objects and returns the organisation's key."""
    await operator.run("organisation", "create", "hamar-clinic")
    issued = await operator.run("organisation", "issue-key", "hamar-clinic")
    await operator.run("service", "create", "assistant", "--kind=generation")
    await operator.run("service", "create", "delivery", "--kind=plain")
    await operator.run(
        "choice",
        "create",
        "assistant-default",
        "--service=assistant",
        f"--model={MODEL}",
        f"--model-version={MODEL_VERSION}",
    )
    for server in deployment.engine_servers:
        await _create_target(operator, server, kind="engine", pool=_ENGINE_POOL)
    for server in deployment.application_servers:
        await _create_target(
            operator, server, kind="application", pool=_VAN_POOL
        )
    for service, pool in (("assistant", _ENGINE_POOL), ("delivery", _VAN_POOL)):
        await operator.run(
            "route", "create", service, f"--service={service}", f"--pool={pool}"
        )
    return _parse_issued_key(issued)


async def _create_target(
    operator: OperatorClient, server: ServerAddress, *, kind: str, pool: str
) -> None:
    await operator.run(
        "target",
        "create",
        server.name,
        f"--kind={kind}",
        "--host=127.0.0.1",
        f"--port={server.port}",
        "--data-centre=oslo-a",
        f"--pool={pool}",
    )


def _parse_issued_key(text: str) -> str:
    for word in text.replace('"', " ").split():
        if word.startswith("ack_"):
            return word
    raise DemoError(f"no key in {text!r}")


async def _wait_for_targets(deployment: Deployment) -> None:
    """Waits until all targets are available to the first node."""
    membership = deployment.nodes[0].cluster.membership
    names = [
        server.name
        for server in (
            *deployment.engine_servers,
            *deployment.application_servers,
        )
    ]
    with trio.fail_after(READY_TIMEOUT_SECONDS):
        for name in names:
            while not membership.is_target_available(name):  # noqa: ASYNC110
                await trio.sleep(0.05)


async def _run_demo() -> None:
    clock = SystemClock()
    start_logs(level=LogLevel.ERROR, clock=clock, node="demo")
    async with open_deployment(DeploymentPlan(), clock=clock) as deployment:
        node = deployment.nodes[0]
        with tempfile.NamedTemporaryFile("w") as key_file:
            key_file.write(OPERATOR_KEY)
            key_file.flush()
            operator = OperatorClient(
                address=f"127.0.0.1:{node.operator_port}",
                key_file=key_file.name,
                show=True,
            )
            key = await configure(operator, deployment)
        await _wait_for_targets(deployment)
        seed = EntryAddress(host="127.0.0.1", port=node.caller_port)
        client = Client(seeds=[seed], key=key)
        await _stream_response(client)
        await _book_delivery_twice(client, deployment)
    print("done")


async def _stream_response(client: Client) -> None:
    print("> a clinic asks the assistant; tokens as they come:")
    stream = client.stream(
        service="assistant",
        prompt="How do I calibrate the treadmill?",
        max_output_tokens=DEMO_TOKENS,
    )
    async with aclosing(stream) as items:
        async for item in items:
            if isinstance(item, Text):
                print(item.text, end="", flush=True)
    print()


async def _book_delivery_twice(client: Client, deployment: Deployment) -> None:
    key = str(uuid6.uuid7())
    print(f"> a delivery is booked twice with the idempotency key {key}")
    for _ in range(2):
        response = await client.call(
            service="delivery",
            method="POST",
            path="bookings",
            body=b'{"van": 1}',
            idempotency_key=key,
        )
        print(f"status {response.status}: {response.body.decode()}")
    print(f"executions: {deployment.applications[0].executions[key]}")


async def _run_dev() -> None:
    clock = SystemClock()
    start_logs(level=LogLevel.WARNING, clock=clock, node="dev")
    plan = DeploymentPlan(nodes=2)
    async with open_deployment(plan, clock=clock) as deployment:
        node = deployment.nodes[0]
        directory = tempfile.mkdtemp(prefix="acaciarack-dev-")
        key_file = os.path.join(directory, "operator-key")
        await trio.Path(key_file).write_text(OPERATOR_KEY)
        address = f"127.0.0.1:{node.operator_port}"
        operator = OperatorClient(
            address=address, key_file=key_file, show=False
        )
        key = await configure(operator, deployment)
        _print_guide(f"127.0.0.1:{node.caller_port}", address, key, key_file)
        await trio.sleep_forever()


def _print_guide(entry: str, operator: str, key: str, key_file: str) -> None:
    print(
        f"""\
callers:   http://{entry}
operators: http://{operator} (key in {key_file})
key of the organisation hamar-clinic: {key}

Try:
  curl -N http://{entry}/v1/responses -H "Authorization: Bearer {key}" \\
    -d '{{"model": "assistant", "input": "hello", "stream": true}}'
  OPENAI_BASE_URL=http://{entry}/v1 OPENAI_API_KEY={key} python -c \\
    'import openai; print(openai.OpenAI().responses.create(
      model="assistant", input="hello").output_text)'
  acaciarack configuration show --address {operator} --key-file {key_file}

Press Ctrl-C to stop.""",
        flush=True,
    )


@commands.register("demo")
class DemoCommand(Command):  # type: ignore[misc]
    """Runs a deployment for one streamed response and one booking."""

    name = "demo"
    description = "Shows a whole deployment at work, in one process."
    help = (
        "Starts stand-ins of the platform and of targets and a node, creates"
        " an organisation, services, routes and targets by commands, streams"
        " an answer and books a delivery twice under one key.\n\n"
        "Example:\n  acaciarack demo"
    )
    options: ClassVar[list[Option]] = []

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        try:
            trio.run(_run_demo_with_timeout)
        except (DemoError, trio.TooSlowError) as error:
            self.line_error(f"the demonstration failed: {error!r}")
            return 1
        return 0


async def _run_demo_with_timeout() -> None:
    with trio.fail_after(DEMO_TIMEOUT_SECONDS):
        await _run_demo()


@commands.register("dev")
class DevCommand(Command):  # type: ignore[misc]
    """Runs a deployment until interrupted."""

    name = "dev"
    description = "Keeps a whole deployment up, in one process."
    help = (
        "Starts what `demo` starts, with two nodes, prints the addresses, an"
        " organisation's key and calls to try, and runs until Ctrl-C.\n\n"
        "Example:\n  acaciarack dev"
    )
    options: ClassVar[list[Option]] = []

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        try:
            trio.run(_run_dev)
        except KeyboardInterrupt:
            return 0
        return 0
