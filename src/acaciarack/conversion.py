"""Converts between dataclasses and the messages of the schema.

Fields go by name. A duration ``x`` stands in the field ``x_seconds``, and an
enumeration's member in the schema's form, such as ``SERVICE_KIND_PLAIN``.
"""

import enum
import re
from collections.abc import Mapping
from datetime import datetime, timedelta
from typing import Any, TypeVar

import msgspec
from protobuf import (
    DescEnum,
    DescField,
    DescFieldValueEnum,
    DescFieldValueList,
    DescFieldValueMessage,
    DescMessage,
    Message,
    message_from_json_value,
    message_to_json_value,
)

from acaciarack.errors import AcaciarackError

M = TypeVar("M", bound=Message)
_SECONDS = "_seconds"
_WORD = re.compile(r"(?<=[a-z])(?=[A-Z])")


class ConversionError(AcaciarackError):
    """A message lacks a field, or has one of another type."""


def build_message(message_type: type[M], value: Any) -> M:
    """Builds a message from a dataclass with the same fields."""
    fields = _describe_object(message_type.desc(), value)
    return message_from_json_value(message_type, fields)


def read_message(message: Message, value_type: type[Any]) -> Any:
    """Builds a dataclass from a message; absent fields get its defaults.

    Raises:
        ConversionError: a field is missing or has another type.
    """
    found = message_to_json_value(message, use_proto_field_name=True)
    plain = _simplify(message.desc(), found)
    try:
        return msgspec.convert(plain, value_type, strict=False)
    except msgspec.ValidationError as error:
        raise ConversionError(str(error)) from error


def _describe_object(desc: DescMessage, value: Any) -> dict[str, Any]:
    found = {}
    for field in desc.fields:
        item = _get_value(value, field.name)
        if item is not None:
            found[field.name] = _describe_field(field, item)
    return found


def _get_value(value: Any, name: str) -> Any:
    if name.endswith(_SECONDS) and not hasattr(value, name):
        item = getattr(value, name.removesuffix(_SECONDS), None)
        return item.total_seconds() if isinstance(item, timedelta) else item
    return getattr(value, name, None)


def _describe_field(field: DescField, item: Any) -> Any:
    if isinstance(field.value, DescFieldValueList):
        element = field.value.element
        return [_describe_item(element, part) for part in item]
    if isinstance(field.value, DescFieldValueMessage):
        return _describe_item(field.value.message, item)
    if isinstance(field.value, DescFieldValueEnum):
        return _describe_item(field.value.enum, item)
    return str(item) if isinstance(item, enum.StrEnum) else item


def _describe_item(element: Any, item: Any) -> Any:
    if isinstance(item, datetime):
        return item.isoformat().replace("+00:00", "Z")
    if isinstance(element, DescMessage):
        return _describe_object(element, item)
    if isinstance(element, DescEnum):
        return get_prefix(element) + item.name
    return item


def get_prefix(desc: DescEnum) -> str:
    """Returns the prefix of an enumeration's members, ``SERVICE_KIND_``."""
    return _WORD.sub("_", desc.name).upper() + "_"


def _simplify(desc: DescMessage, found: Any) -> Any:
    """Turns the members of enumerations into their plain values."""
    if not isinstance(found, Mapping):
        return found
    fields = {field.name: field for field in desc.fields}
    return {
        name: _simplify_field(fields[name], item)
        for name, item in found.items()
    }


def _simplify_field(field: DescField, item: Any) -> Any:
    value = field.value
    if isinstance(value, DescFieldValueEnum) and isinstance(item, str):
        return item.removeprefix(get_prefix(value.enum)).lower()
    if isinstance(value, DescFieldValueMessage):
        return _simplify(value.message, item)
    element = getattr(value, "element", None)
    if isinstance(element, DescMessage):
        return [_simplify(element, part) for part in item]
    return item
