"""Turns fields of request messages into options, and options into fields."""

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
from acaciarack.conversion import get_prefix

_DOCUMENTED = re.compile(r"^ +(\w+):\n((?:.*\n)*?) *```proto", re.MULTILINE)
_TRUTHS = {"true": True, "yes": True, "false": False, "no": False}
# The program itself has an option --version.
_RENAMED = {"version": "model_version"}
_WHOLE = (ScalarType.INT32, ScalarType.INT64)


@dataclass(frozen=True, kw_only=True)
class Parameter:
    """One option or argument that fills a field of a request.

    Attributes:
        path: the names of the fields from the request down.
        field: the field that it fills.
        description: the field's documentation in the schema.
    """

    path: tuple[str, ...]
    field: DescField
    description: str

    @property
    def name(self) -> str:
        """The option's name."""
        name = self.path[-1]
        return _RENAMED.get(name, name).replace("_", "-")

    @property
    def repeated(self) -> bool:
        """Whether it may be given more than once."""
        return isinstance(self.field.value, DescFieldValueList)

    def parse(self, text: str) -> Any:
        """Returns the field's value in JSON.

        Raises:
            UsageError: the text is none of the allowed values.
        """
        value = self.field.value
        if isinstance(value, DescFieldValueEnum):
            return self._parse_member(text, value)
        scalar = getattr(value, "scalar", None)
        try:
            if scalar is ScalarType.BOOL:
                return _TRUTHS[text.lower()]
            if scalar is ScalarType.DOUBLE:
                return float(text)
            return int(text) if scalar in _WHOLE else text
        except (KeyError, ValueError) as error:
            kind = "true or false" if scalar is ScalarType.BOOL else "a number"
            raise UsageError(
                f"--{self.name} is {text!r}; allowed is {kind}"
            ) from error

    def _parse_member(self, text: str, value: DescFieldValueEnum) -> str:
        prefix = get_prefix(value.enum)
        names = [
            member.name.removeprefix(prefix) for member in value.enum.values
        ]
        allowed = [name.lower().replace("_", "-") for name in names[1:]]
        if text not in allowed:
            raise UsageError(
                f"--{self.name} is {text!r}; allowed is {', '.join(allowed)}"
            )
        return prefix + text.upper().replace("-", "_")


def list_parameters(request: type[Message]) -> tuple[Parameter, ...]:
    """Returns the parameters of a request, nested messages flattened."""
    return tuple(_list_parameters(request, ()))


def _list_parameters(
    message: type[Message], path: tuple[str, ...]
) -> Iterator[Parameter]:
    documentation = _read_documentation(message)
    for field in message.desc().fields:
        here = (*path, field.name)
        if isinstance(field.value, DescFieldValueMessage):
            nested = getattr(pb, field.value.message.name)
            yield from _list_parameters(nested, here)
            continue
        yield Parameter(
            path=here,
            field=field,
            description=documentation.get(field.name, ""),
        )


def _read_documentation(message: type[Message]) -> dict[str, str]:
    """Returns the fields' comments, which the generated class documents."""
    text = inspect.getdoc(message) or ""
    return {
        name: " ".join(comment.split())
        for name, comment in _DOCUMENTED.findall(text)
    }


def build_request(
    request: type[Message],
    values: Mapping[Parameter, Any],
    base: dict[str, Any] | None = None,
) -> Message:
    """Builds a request from the values that were given.

    Args:
        request: the request's type.
        values: texts, or lists of them for repeated fields.
        base: the request in JSON that the values change.

    Raises:
        UsageError: a value is not allowed.
    """
    document = dict(base or {})
    for parameter, value in values.items():
        target = document
        for name in parameter.path[:-1]:
            target = target.setdefault(name, {})
        if isinstance(value, list):
            parsed: Any = [parameter.parse(text) for text in value]
        else:
            parsed = parameter.parse(value)
        target[parameter.path[-1]] = parsed
    return message_from_json_value(request, document)
