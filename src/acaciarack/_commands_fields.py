"""Converts between fields of request messages and command options."""

import inspect
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from protobuf import (
    DescField,
    DescFieldValueEnum,
    DescFieldValueList,
    DescFieldValueMessage,
    Message,
    ScalarType,
    message_from_json_value,
)

from acaciarack._commands_client import UsageError
from acaciarack._schema import operators_pb as pb
from acaciarack.conversion import get_enum_prefix

_FIELD_COMMENTS = re.compile(r"^ +(\w+):\n((?:.*\n)*?) *```proto", re.MULTILINE)
_BOOLEAN_VALUES = {"true": True, "yes": True, "false": False, "no": False}
# The name --version is taken by the program's own option.
_OPTION_NAMES = {"version": "model_version"}
_INTEGER_TYPES = (ScalarType.INT32, ScalarType.INT64)


@dataclass(frozen=True, kw_only=True)
class Parameter:
    """One option or argument that sets a field of a request.

    Attributes:
        path: the field names from the request to the field.
        field: the field that it sets.
        description: the field's documentation in the schema.
    """

    path: tuple[str, ...]
    field: DescField
    description: str

    @property
    def name(self) -> str:
        """The option's name."""
        name = self.path[-1]
        return _OPTION_NAMES.get(name, name).replace("_", "-")

    @property
    def repeated(self) -> bool:
        """Whether the option may be given more than once."""
        return isinstance(self.field.value, DescFieldValueList)

    def parse(self, text: str) -> Any:
        """Parses an argument into the field's JSON value.

        Raises:
            UsageError: the text is not an allowed value.
        """
        value = self.field.value
        if isinstance(value, DescFieldValueEnum):
            return self._parse_member(text, value)
        scalar = getattr(value, "scalar", None)
        try:
            if scalar is ScalarType.BOOL:
                return _BOOLEAN_VALUES[text.lower()]
            if scalar is ScalarType.DOUBLE:
                return float(text)
            return int(text) if scalar in _INTEGER_TYPES else text
        except (KeyError, ValueError) as error:
            kind = "true or false" if scalar is ScalarType.BOOL else "a number"
            raise UsageError(
                f"--{self.name} is {text!r}; allowed is {kind}"
            ) from error

    def _parse_member(self, text: str, value: DescFieldValueEnum) -> str:
        prefix = get_enum_prefix(value.enum)
        names = [
            member.name.removeprefix(prefix) for member in value.enum.values
        ]
        # The first member of an enum stands for an unset value.
        allowed = [name.lower().replace("_", "-") for name in names[1:]]
        if text not in allowed:
            raise UsageError(
                f"--{self.name} is {text!r}; allowed is {', '.join(allowed)}"
            )
        return prefix + text.upper().replace("-", "_")


def list_parameters(request: type[Message]) -> tuple[Parameter, ...]:
    """Returns the parameters of a request and of its nested messages."""
    return tuple(_list_parameters(request, ()))


def _list_parameters(
    message: type[Message], path: tuple[str, ...]
) -> Iterator[Parameter]:
    documentation = _read_documentation(message)
    for field in message.desc().fields:
        field_path = (*path, field.name)
        if isinstance(field.value, DescFieldValueMessage):
            nested = getattr(pb, field.value.message.name)
            yield from _list_parameters(nested, field_path)
            continue
        yield Parameter(
            path=field_path,
            field=field,
            description=documentation.get(field.name, ""),
        )


def _read_documentation(message: type[Message]) -> dict[str, str]:
    """Returns the fields' comments from the generated class's docstring."""
    text = inspect.getdoc(message) or ""
    return {
        name: " ".join(comment.split())
        for name, comment in _FIELD_COMMENTS.findall(text)
    }


def build_request(
    request: type[Message],
    values: Mapping[Parameter, Any],
    base: dict[str, Any] | None = None,
) -> Message:
    """Builds a request from the given values.

    Args:
        request: the request's type.
        values: a text, or a list of texts for a repeated field, by parameter.
        base: the initial request in JSON, which the values override.

    Raises:
        UsageError: a value is not allowed.
    """
    document = dict(base or {})
    for parameter, value in values.items():
        container = document
        for name in parameter.path[:-1]:
            container = container.setdefault(name, {})
        if isinstance(value, list):
            parsed: Any = [parameter.parse(text) for text in value]
        else:
            parsed = parameter.parse(value)
        container[parameter.path[-1]] = parsed
    return message_from_json_value(request, document)
