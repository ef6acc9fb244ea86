"""Checks a settings document table by table and collects all faults."""

import dataclasses
import enum
import ipaddress
import pathlib
import tomllib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from acaciarack.errors import AcaciarackError

HIDDEN = "(a secret, not shown)"
_SECRET_TABLE = "keys"
_MAX_SHOWN_CHARACTERS = 200
_NO_VALUE = "nothing"


@dataclass(frozen=True, kw_only=True)
class SettingsFault:
    """One fault of a settings file.

    Attributes:
        file: the file's path.
        key: the dotted key; empty if the fault concerns the whole file.
        found: a description of the value; never contains a secret.
        allowed: a description of the allowed values.
    """

    file: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: found {self.found}; allowed: {self.allowed}"


class SettingsError(AcaciarackError):
    """A settings file is invalid.

    Attributes:
        faults: all faults, in the order of the tables.
    """

    def __init__(self, *, faults: tuple[SettingsFault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address with a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_host(text: str) -> str:
    """Returns an IP address in canonical form.

    Raises:
        ValueError: the text is not an IP address.
    """
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise ValueError("an IP number such as 10.0.0.7") from error


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``; brackets around an IPv6 address are optional.

    Raises:
        ValueError: the text does not have this form.
    """
    host, _, port = text.rpartition(":")
    try:
        number = int(port)
        if not 1 <= number <= 65535:
            raise ValueError("the port is out of range")
        return Address(host=parse_host(host.strip("[]")), port=number)
    except ValueError as error:
        raise ValueError(
            "an IP number and a port such as 10.0.0.7:7100"
        ) from error


# Returns a description of the allowed values if the table is invalid.
Check = Callable[[Any], str | None]


class SettingsReader:
    """Converts tables to dataclass instances and collects the faults."""

    def __init__(
        self, *, path: pathlib.Path, checks: Mapping[type, Check]
    ) -> None:
        self.faults: list[SettingsFault] = []
        self._path = path
        self._checks = checks

    def read_table(self, table: type, document: Any, key: str) -> Any:
        """Returns an instance of ``table``, or ``None`` if it has faults."""
        if not isinstance(document, Mapping):
            self._add(key, document, "a table")
            return None
        fault_count = len(self.faults)
        values = dict(self._read_fields(table, document, key))
        self._check_unknown(table, document, key)
        if len(self.faults) > fault_count:
            return None
        instance = table(**values)
        self._check_table(instance, key)
        return instance

    def _check_table(self, instance: Any, key: str) -> None:
        check = self._checks.get(type(instance))
        allowed = check(instance) if check is not None else None
        if allowed is not None:
            self._add(key, instance, allowed)

    def _read_fields(
        self, table: type, document: Mapping[str, Any], key: str
    ) -> Iterator[tuple[str, Any]]:
        hints = get_type_hints(table, include_extras=True)
        for item in dataclasses.fields(table):
            full_key = f"{key}.{item.name}" if key else item.name
            if item.name in document:
                value = document[item.name]
                yield item.name, self._read(item, hints, value, full_key)
            elif _is_required(item):
                allowed = _describe_required(item, hints[item.name])
                self._add_fault_text(full_key, _NO_VALUE, allowed)

    def _read(
        self,
        item: "dataclasses.Field[Any]",
        hints: dict[str, Any],
        value: Any,
        key: str,
    ) -> Any:
        hint = hints[item.name]
        table = _find_table(hint)
        if "parse" in item.metadata:
            return self._parse(item.metadata["parse"], value, key)
        if table is not None and get_origin(hint) is tuple:
            return self._read_list(table, value, key)
        if table is not None:
            return self.read_table(table, value, key)
        try:
            converted = msgspec.convert(value, hint)
        except msgspec.ValidationError as error:
            self._add(key, value, _describe_allowed(hint, error))
            return None
        if item.metadata.get("file") and converted:
            return self._check_file(converted, key)
        return converted

    def _parse(self, parse: Callable[[str], Any], value: Any, key: str) -> Any:
        try:
            return parse(value if isinstance(value, str) else "")
        except ValueError as error:
            self._add(key, value, str(error))
            return None

    def _read_list(self, table: type, value: Any, key: str) -> Any:
        if not isinstance(value, list) or not value:
            self._add(key, value, "one or more tables")
            return None
        return tuple(
            self.read_table(table, item, f"{key}[{index}]")
            for index, item in enumerate(value)
        )

    def _check_unknown(
        self, table: type, document: Mapping[str, Any], key: str
    ) -> None:
        known = [item.name for item in dataclasses.fields(table)]
        for name in document:
            if name not in known:
                full_key = f"{key}.{name}" if key else name
                allowed = f"only the keys {', '.join(known)}"
                self._add_fault_text(full_key, "an unknown key", allowed)

    def _check_file(self, name: str, key: str) -> str:
        path = self._path.parent / name
        if not path.is_file():
            self._add(key, name, f"an existing file; {path} is none")
        return str(path)

    def _add(self, key: str, found: Any, allowed: str) -> None:
        hidden = key.split(".")[0] == _SECRET_TABLE
        shown = HIDDEN if hidden else repr(found)[:_MAX_SHOWN_CHARACTERS]
        self._add_fault_text(key, shown, allowed)

    def _add_fault_text(self, key: str, shown: str, allowed: str) -> None:
        self.faults.append(
            SettingsFault(
                file=str(self._path), key=key, found=shown, allowed=allowed
            )
        )


def read_document(path: pathlib.Path) -> dict[str, Any]:
    """Reads a TOML file.

    Raises:
        SettingsError: the file cannot be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise _build_file_error(path, str(error), "a readable file") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _build_file_error(path, str(error), "TOML in UTF-8") from error


def check_document(
    table: type,
    document: Mapping[str, Any],
    *,
    path: pathlib.Path,
    checks: Mapping[type, Check],
) -> Any:
    """Converts a document to an instance of a dataclass.

    Args:
        table: the dataclass of the whole document.
        document: the parsed TOML document.
        path: the file's path. Faults contain it, and relative paths in the
            document are resolved against its directory.
        checks: additional checks by dataclass.

    Raises:
        SettingsError: with every fault of the document.
    """
    reader = SettingsReader(path=path, checks=checks)
    settings = reader.read_table(table, document, "")
    if reader.faults:
        raise SettingsError(faults=tuple(reader.faults))
    return settings


def _build_file_error(
    path: pathlib.Path, found: str, allowed: str
) -> SettingsError:
    fault = SettingsFault(file=str(path), key="", found=found, allowed=allowed)
    return SettingsError(faults=(fault,))


def _is_required(item: "dataclasses.Field[Any]") -> bool:
    return (
        item.default is dataclasses.MISSING
        and item.default_factory is dataclasses.MISSING
    )


def _find_table(hint: Any) -> type | None:
    """Returns the dataclass in ``T``, ``T | None`` or ``tuple[T, ...]``."""
    for candidate in (hint, *get_args(hint)):
        if isinstance(candidate, type) and dataclasses.is_dataclass(candidate):
            return candidate
    return None


def _describe_required(item: "dataclasses.Field[Any]", hint: Any) -> str:
    """Describes the allowed values of a required key that is missing."""
    if "parse" in item.metadata:
        return "an IP number, with its port for an address"
    if _find_table(hint) is not None:
        return "a table; it is required"
    return f"a value of type {getattr(hint, '__origin__', hint).__name__}"


def _describe_allowed(hint: Any, error: msgspec.ValidationError) -> str:
    """Describes the allowed values of a key whose value is invalid."""
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        return f"one of {', '.join(hint)}"
    return str(error).removeprefix("Expected ")
