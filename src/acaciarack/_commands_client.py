"""Connects the command line to a node and defines the exit codes."""

import enum
import os
import pathlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pyqwest
from connectrpc.code import Code
from connectrpc.errors import ConnectError

from acaciarack.errors import AcaciarackError

ADDRESS_VARIABLE = "ACACIARACK_ADDRESS"
KEY_VARIABLE = "ACACIARACK_OPERATOR_KEY"
DEFAULT_ADDRESS = "127.0.0.1:8081"
DEFAULT_TIMEOUT_SECONDS = 15.0


class ExitCode(enum.IntEnum):
    """The exit codes of the command line, by class of error."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    UNAUTHENTICATED = 3
    NOT_FOUND = 4
    CONFLICT = 5
    INVALID = 6
    UNAVAILABLE = 7
    UNKNOWN_OUTCOME = 8
    UNIMPLEMENTED = 9


EXIT_CODE_HELP = """\
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 not authenticated, 4 not found,
5 conflict with another change, 6 not valid, 7 unavailable and nothing done,
8 sent but not confirmed, 9 not offered by this node."""

_EXIT_CODES = {
    Code.UNAUTHENTICATED: ExitCode.UNAUTHENTICATED,
    Code.NOT_FOUND: ExitCode.NOT_FOUND,
    Code.ABORTED: ExitCode.CONFLICT,
    Code.ALREADY_EXISTS: ExitCode.CONFLICT,
    Code.INVALID_ARGUMENT: ExitCode.INVALID,
    Code.UNAVAILABLE: ExitCode.UNAVAILABLE,
    Code.UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
    Code.DEADLINE_EXCEEDED: ExitCode.UNKNOWN_OUTCOME,
    Code.UNIMPLEMENTED: ExitCode.UNIMPLEMENTED,
}


class UsageError(AcaciarackError):
    """The command line has invalid options or arguments."""


@dataclass(frozen=True, kw_only=True)
class Connection:
    """Connection parameters for a node.

    Attributes:
        address: ``IP:PORT`` of the node's operator port.
        key: the operator's key.
        ca: path of the CA certificate that verifies the node's certificate;
            empty for plain HTTP.
        timeout_seconds: the timeout of each call.
    """

    address: str
    key: str
    ca: str = ""
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS

    def call(self, client: type[Any], method: str, request: Any) -> Any:
        """Calls one RPC.

        Raises:
            ConnectError: the node returned an error or did not respond.
        """
        call: Callable[..., Any] = getattr(self._create_client(client), method)
        return call(
            request,
            headers={"authorization": f"Bearer {self.key}"},
            timeout_ms=int(self.timeout_seconds * 1000),
        )

    def _create_client(self, client: type[Any]) -> Any:
        if not self.ca:
            transport = pyqwest.SyncHTTPTransport(proxy=())
            url = f"http://{self.address}"
        else:
            authority = pathlib.Path(self.ca).read_bytes()
            transport = pyqwest.SyncHTTPTransport(
                proxy=(), tls_ca_cert=authority
            )
            url = f"https://{self.address}"
        return client(url, http_client=pyqwest.SyncClient(transport))


def read_connection(
    *, address: str | None, key_file: str | None, ca: str | None, timeout: str
) -> Connection:
    """Builds a connection from options and environment variables.

    Raises:
        UsageError: the key is missing, its file cannot be read, or the
            timeout is not a number.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    try:
        if key_file:
            key = pathlib.Path(key_file).read_text().strip()
        seconds = float(timeout)
    except (OSError, ValueError) as error:
        raise UsageError(str(error)) from error
    if not key:
        raise UsageError(
            f"no operator key: set {KEY_VARIABLE} or give --key-file"
        )
    default = os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    return Connection(
        address=address or default,
        key=key,
        ca=ca or "",
        timeout_seconds=seconds,
    )


def get_exit_code(error: ConnectError) -> ExitCode:
    """Returns the exit code for an RPC error."""
    return _EXIT_CODES.get(error.code, ExitCode.FAILED)
