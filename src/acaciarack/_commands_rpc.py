"""Builds commands that each call one RPC."""

import json
import pathlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option
from connectrpc.errors import ConnectError
from protobuf import Message, message_from_json_value, message_to_json_value

from acaciarack._commands_client import (
    DEFAULT_ADDRESS,
    DEFAULT_TIMEOUT_SECONDS,
    EXIT_CODE_HELP,
    Connection,
    ExitCode,
    UsageError,
    get_exit_code,
    read_connection,
)
from acaciarack._commands_fields import (
    Parameter,
    build_request,
    list_parameters,
)
from acaciarack._commands_output import render_json, render_text
from acaciarack._schema import operators_connect as rpc
from acaciarack._schema import operators_pb as pb

_COMMON_OPTIONS = [
    option(
        "address",
        description=f"A node's operator port; {DEFAULT_ADDRESS} if absent.",
        flag=False,
    ),
    option("key-file", description="File with the operator key.", flag=False),
    option("ca", description="Authority's certificate, for TLS.", flag=False),
    option(
        "timeout-seconds",
        description="The longest wait for an answer.",
        flag=False,
        default=str(DEFAULT_TIMEOUT_SECONDS),
    ),
]
Renderer = Callable[[Any], str]
RENDERERS: Mapping[str, Renderer] = {"text": render_text, "json": render_json}


@dataclass(frozen=True, kw_only=True)
class Call:
    """The definition of a command that calls one RPC.

    Attributes:
        name: the command's name.
        client: the generated client.
        method: the client's method.
        request: the request's type.
        description: one line for the list of commands.
        example: an example command line without the program name.
        arguments: names of the parameters that are positional arguments.
        updates: the list in ``Configuration`` that contains the object to
            update; empty if the command does not update an object.
        file: whether the request is read from a JSON file.
        renderers: renderers of the response, by the value of ``--output``.
            They extend ``RENDERERS`` and override its entries.
    """

    name: str
    client: type[Any]
    method: str
    request: type[Message]
    description: str
    example: str
    arguments: tuple[str, ...] = ()
    updates: str = ""
    file: bool = False
    renderers: Mapping[str, Renderer] = field(default_factory=dict)
    parameters: tuple[Parameter, ...] = field(init=False)

    def __post_init__(self) -> None:
        parameters = () if self.file else list_parameters(self.request)
        object.__setattr__(self, "parameters", parameters)


class ConnectedCommand(Command):  # type: ignore[misc]
    """A command that calls a node and prints the response."""

    renderers: ClassVar[Mapping[str, Renderer]] = RENDERERS

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        try:
            if self.option("output") not in self.renderers:
                raise UsageError(f"--output is {_join_names(self.renderers)}")
            connection = read_connection(
                address=self.option("address"),
                key_file=self.option("key-file"),
                ca=self.option("ca"),
                timeout=self.option("timeout-seconds"),
            )
            self._print_response(self.call_node(connection))
        except (UsageError, OSError) as error:
            self._print_error(str(error))
            return ExitCode.USAGE
        except ConnectError as error:
            self._print_error(f"{error.code.value}: {error.message}")
            return get_exit_code(error)
        return ExitCode.DONE

    def call_node(self, connection: Connection) -> Message:
        """Calls the node and returns the response to print."""
        raise NotImplementedError

    def _print_response(self, response: Message) -> None:
        render = self.renderers[self.option("output")]
        self.io.output.write_line(_escape(render(response)))

    def _print_error(self, text: str) -> None:
        self.io.error_output.write_line(_escape(text))


class RpcCommand(ConnectedCommand):
    """A command defined by a ``Call``."""

    call: ClassVar[Call]

    def call_node(self, connection: Connection) -> Message:
        """Builds the request, calls the RPC and returns its response."""
        call = self.call
        request = self._build_request(connection)
        response: Message = connection.call(call.client, call.method, request)
        return response

    def _build_request(self, connection: Connection) -> Message:
        call = self.call
        if call.file:
            return _read_request(call.request, self.argument("file"))
        values = {}
        for parameter in call.parameters:
            if parameter.name in call.arguments:
                values[parameter] = self.argument(parameter.name)
            elif self.option(parameter.name):
                values[parameter] = self.option(parameter.name)
        base = None
        if call.updates:
            base = _read_object(connection, call, self.argument("name"))
        return build_request(call.request, values, base)


def _join_names(names: Iterable[str]) -> str:
    return " or ".join(names)


def _build_output_option(renderers: Iterable[str]) -> Option:
    return option(
        "output",
        description=f"{_join_names(renderers)}.",
        flag=False,
        default="text",
    )


def _escape(text: str) -> str:
    return text.replace("<", "\\<")


def _read_request(request: type[Message], name: str) -> Message:
    try:
        document = json.loads(pathlib.Path(name).read_text(encoding="utf-8"))
        return message_from_json_value(request, document)
    except ValueError as error:
        raise UsageError(f"{name}: {error}") from error


def _read_object(
    connection: Connection, call: Call, name: str
) -> dict[str, Any]:
    """Returns a request in JSON with an object's current values.

    If the object does not exist, the request contains only its name.
    """
    configuration = connection.call(
        rpc.ConfigurationsClientSync, "get", pb.GetConfigurationRequest()
    )
    for item in getattr(configuration, call.updates):
        if item.name == name:
            value = message_to_json_value(item, use_proto_field_name=True)
            return {"object": value, "base_version": configuration.version}
    return {"object": {"name": name}}


def build_command(call: Call) -> Callable[[], Command]:
    """Builds a command class for a call."""
    names = {parameter.name: parameter for parameter in call.parameters}
    arguments = [
        argument(name, description=names[name].description)
        for name in call.arguments
        if name in names
    ]
    if call.file:
        arguments = [argument("file", description="A JSON file.")]
    options = [
        option(
            parameter.name,
            description=parameter.description,
            flag=False,
            multiple=parameter.repeated,
        )
        for parameter in call.parameters
        if parameter.name not in call.arguments
    ]
    renderers = {**RENDERERS, **call.renderers}
    output = _build_output_option(renderers)
    members = {
        "call": call,
        "renderers": renderers,
        "name": call.name,
        "description": call.description,
        "help": _build_help(call),
        "arguments": arguments,
        "options": [*options, *_COMMON_OPTIONS, output],
    }
    return type("RpcCommand", (RpcCommand,), members)


def build_commands(calls: Iterable[Call]) -> dict[str, Callable[[], Command]]:
    """Builds the command classes of all calls, by name."""
    return {call.name: build_command(call) for call in calls}


def _build_help(call: Call) -> str:
    example = (
        f"Example:\n  acaciarack {call.example}\n\n" if call.example else ""
    )
    return f"{call.description}\n\n{example}{EXIT_CODE_HELP}"
