"""A node's settings: one TOML file, validated before the node starts.

Validation collects all faults of a file, so that one run reports all of them.
Key names contain their units.
"""

import enum
import pathlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from acaciarack._settings_reader import (
    Address,
    Check,
    SettingsError,
    SettingsFault,
    check_document,
    parse_address,
    parse_host,
    read_document,
)

__all__ = [
    "Address",
    "Settings",
    "SettingsError",
    "SettingsFault",
    "load_settings",
    "parse_settings",
]

KEY_BYTES = 32

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,63}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
LongSeconds = Annotated[float, msgspec.Meta(gt=0, le=366 * 86400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1024 * 1024 * 1024)]
Factor = Annotated[float, msgspec.Meta(gt=0, le=100)]
Tokens = Annotated[float, msgspec.Meta(ge=1, le=1_000_000)]
Fraction = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Megabytes = Annotated[float, msgspec.Meta(ge=64, le=1_000_000)]
Descriptors = Annotated[int, msgspec.Meta(ge=512, le=1_000_000)]
KeyNumber = Annotated[int, msgspec.Meta(ge=0, le=255)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class LogLevel(enum.StrEnum):
    """The minimum level of log entries."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


_HOST: dict[str, Any] = {"parse": parse_host}
_ADDRESS: dict[str, Any] = {"parse": parse_address}
_FILE: dict[str, Any] = {"file": True}


@dataclass(frozen=True, kw_only=True)
class NodeTable:
    """The node's identity and the addresses it listens on.

    Attributes:
        name: unique among the nodes.
        host: the IP address that it listens on and announces to others.
        data_centre: the data centre where it runs.
        caller_port: the port for callers; 0 lets the kernel choose a port.
        operator_port: the port for operators' RPCs and metrics.
        link_port: the port for links from other nodes.
        entry_lifetime_seconds: how long callers may use an entry list.
    """

    name: Name
    host: str = field(metadata=_HOST)
    data_centre: Name
    caller_port: Port = 8080
    operator_port: Port = 8081
    link_port: Port = 8082
    entry_lifetime_seconds: Seconds = 10.0


@dataclass(frozen=True, kw_only=True)
class PlatformTable:
    """The platform's services and their addresses.

    Attributes:
        client: the name of a registered platform client.
        log: the log service.
        vm_list: the VM list.
        weight_store: the weight store.
        ca: path of the CA certificates of the services. If it is set, the
            node uses HTTPS, otherwise plain HTTP. The HTTP clients do not load
            this file; they verify with httpcore's default CA certificates.
        retention_seconds: how long the log retains a record.
    """

    client: Name = "http"
    log: Address = field(metadata=_ADDRESS)
    vm_list: Address = field(metadata=_ADDRESS)
    weight_store: Address = field(metadata=_ADDRESS)
    ca: str = field(default="", metadata=_FILE)
    retention_seconds: LongSeconds = 86400.0

    def build_url(self, address: Address) -> str:
        """Returns the base URL of one of the services."""
        scheme = "https" if self.ca else "http"
        return f"{scheme}://{address}"


@dataclass(frozen=True, kw_only=True)
class Secret:
    """A 32-byte key, given in the settings file or in a separate file.

    Attributes:
        number: identifies the key, so that keys can be rotated; 0 to 255.
        hex: the key as 64 hex digits; empty if ``file`` is set.
        file: the path of a file with the hex digits; empty if ``hex`` is set.
    """

    number: KeyNumber = 1
    hex: str = field(default="", repr=False)
    file: str = field(default="", metadata=_FILE)

    def read_bytes(self) -> bytes:
        """Returns the key.

        Raises:
            ValueError: the key is not 64 hex digits.
            OSError: the key file cannot be read.
        """
        text = self.hex or pathlib.Path(self.file).read_text().strip()
        key = bytes.fromhex(text)
        if len(key) != KEY_BYTES:
            raise ValueError(f"key has the wrong length: {len(key)} bytes")
        return key


@dataclass(frozen=True, kw_only=True)
class OperatorKey:
    """An operator who may call the RPCs.

    Attributes:
        name: the author shown in the history.
        key_hash: hex SHA-256 digest of the operator's key.
    """

    name: Name
    key_hash: Sha256Hex


@dataclass(frozen=True, kw_only=True)
class KeyTable:
    """Keys that all nodes of a deployment share.

    Attributes:
        sealing: encrypt response ids; the node encrypts with the first key
            and decrypts with any of them.
        link: authenticate the links between nodes; all of them are accepted.
        operators: the operators who may call the RPCs.
    """

    sealing: tuple[Secret, ...]
    link: tuple[Secret, ...]
    operators: tuple[OperatorKey, ...]


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """The PEM files of one TLS listener.

    Attributes:
        certificate: path of the certificate chain.
        key: path of the private key.
        ca: path of the CA certificates for client certificates; empty if
            clients need no certificate.
    """

    certificate: str = field(metadata=_FILE)
    key: str = field(metadata=_FILE)
    ca: str = field(default="", metadata=_FILE)


@dataclass(frozen=True, kw_only=True)
class TlsTable:
    """TLS files by listener; listeners without files use plain TCP."""

    caller: TlsFiles | None = None
    operator: TlsFiles | None = None
    link: TlsFiles | None = None


@dataclass(frozen=True, kw_only=True)
class LimitTable:
    """Limits of a node.

    Attributes:
        max_body_bytes: the maximum size of a request body.
        max_answer_bytes: the maximum size of a plain service's response.
        max_requests: the maximum number of requests in flight.
        max_stream_buffer_bytes: the maximum size of the buffer for one slow
            caller.
        memory_megabytes: the memory that the process may use, in units of
            1,000,000 bytes; that of the machine by default.
        max_descriptors: the number of file descriptors that it may open; the
            limit of the operating system by default.
    """

    max_body_bytes: Bytes = 4 * 1024 * 1024
    max_answer_bytes: Bytes = 4 * 1024 * 1024
    max_requests: Count = 10_000
    max_stream_buffer_bytes: Bytes = 256 * 1024
    memory_megabytes: Megabytes | None = None
    max_descriptors: Descriptors | None = None


@dataclass(frozen=True, kw_only=True)
class TimeoutTable:
    """Timeouts of a node.

    Attributes:
        connect_seconds: for opening a connection.
        progress_seconds: between two events of a stream.
        platform_seconds: for a response of the platform.
        log_wait_seconds: for a new log record in one long poll.
        body_seconds: for the whole body of a request.
    """

    connect_seconds: Seconds = 2.0
    progress_seconds: Seconds = 10.0
    platform_seconds: Seconds = 5.0
    log_wait_seconds: Seconds = 10.0
    body_seconds: Seconds = 60.0


@dataclass(frozen=True, kw_only=True)
class PlacementTable:
    """Parameters of request placement.

    Attributes:
        quantile: the quantile of future memory use that is reserved.
        report_limit_seconds: the maximum age of load reports that are used.
        max_queue: the maximum number of requests that wait on a node for a
            target.
        wait_factor: the maximum wait for a target, as a multiple of the
            service's objective for the time to first token.
        prior_median_tokens: the assumed median length of responses before
            any response has been observed.
    """

    quantile: Fraction = 0.9
    report_limit_seconds: Seconds = 10.0
    max_queue: Count = 1000
    wait_factor: Factor = 1.0
    prior_median_tokens: Tokens = 300.0


@dataclass(frozen=True, kw_only=True)
class LogTable:
    """Settings of the logs.

    Attributes:
        level: the minimum level of log entries.
    """

    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings of a node."""

    node: NodeTable
    platform: PlatformTable
    keys: KeyTable
    tls: TlsTable = field(default_factory=TlsTable)
    limits: LimitTable = field(default_factory=LimitTable)
    timeouts: TimeoutTable = field(default_factory=TimeoutTable)
    placement: PlacementTable = field(default_factory=PlacementTable)
    logs: LogTable = field(default_factory=LogTable)


def load_settings(path: pathlib.Path | str) -> Settings:
    """Reads and checks a settings file.

    Relative paths in the file are resolved against its directory.

    Raises:
        SettingsError: with every fault of the file.
    """
    path = pathlib.Path(path)
    return parse_settings(read_document(path), path=path)


def parse_settings(
    document: Mapping[str, Any], *, path: pathlib.Path
) -> Settings:
    """Checks a TOML document that was read from ``path``.

    Raises:
        SettingsError: with every fault of the document.
    """
    settings: Settings = check_document(
        Settings, document, path=path, checks=_CHECKS
    )
    return settings


def _check_secret(secret: Secret) -> str | None:
    if bool(secret.hex) == bool(secret.file):
        return "one of hex and file"
    try:
        secret.read_bytes()
    except (ValueError, OSError):
        return f"{KEY_BYTES * 2} hex digits, here or in a readable file"
    return None


def _check_keys(keys: KeyTable) -> str | None:
    for secrets in (keys.sealing, keys.link):
        numbers = [secret.number for secret in secrets]
        if len(set(numbers)) < len(numbers):
            return "keys of one kind with different numbers"
    return None


_CHECKS: dict[type, Check] = {Secret: _check_secret, KeyTable: _check_keys}
