"""Converts between dataclasses and the messages of the schema.

Fields correspond by name. A duration ``x`` corresponds to the message field
``x_seconds``. The enum value ``plain`` of a ``ServiceKind`` corresponds to the
schema's ``SERVICE_KIND_PLAIN``.
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
_SECONDS_SUFFIX = "_seconds"
_WORD_BOUNDARY = re.compile(r"(?<=[a-z])(?=[A-Z])")


class ConversionError(AcaciarackError):
    """A message lacks a field or has a field of the wrong type."""


def build_message(message_type: type[M], value: Any) -> M:
    """Builds a message from a dataclass with the same fields."""
    fields = _build_fields(message_type.desc(), value)
    return message_from_json_value(message_type, fields)


def read_message(message: Message, value_type: type[Any]) -> Any:
    """Builds a dataclass instance from a message.

    Absent fields get the defaults of the dataclass.

    Raises:
        ConversionError: a field is missing or has the wrong type.
    """
    fields = message_to_json_value(message, use_proto_field_name=True)
    plain_fields = _convert_enums(message.desc(), fields)
    try:
        return msgspec.convert(plain_fields, value_type, strict=False)
    except msgspec.ValidationError as error:
        raise ConversionError(str(error)) from error


def _build_fields(desc: DescMessage, value: Any) -> dict[str, Any]:
    fields = {}
    for field in desc.fields:
        item = _get_field_value(value, field.name)
        if item is not None:
            fields[field.name] = _build_field_value(field, item)
    return fields


def _get_field_value(value: Any, name: str) -> Any:
    if name.endswith(_SECONDS_SUFFIX) and not hasattr(value, name):
        item = getattr(value, name.removesuffix(_SECONDS_SUFFIX), None)
        return item.total_seconds() if isinstance(item, timedelta) else item
    return getattr(value, name, None)


def _build_field_value(field: DescField, item: Any) -> Any:
    if isinstance(field.value, DescFieldValueList):
        element = field.value.element
        return [_build_item(element, part) for part in item]
    if isinstance(field.value, DescFieldValueMessage):
        return _build_item(field.value.message, item)
    if isinstance(field.value, DescFieldValueEnum):
        return _build_item(field.value.enum, item)
    return str(item) if isinstance(item, enum.StrEnum) else item


def _build_item(element: Any, item: Any) -> Any:
    if isinstance(item, datetime):
        return item.isoformat().replace("+00:00", "Z")
    if isinstance(element, DescMessage):
        return _build_fields(element, item)
    if isinstance(element, DescEnum):
        return get_enum_prefix(element) + item.name
    return item


def get_enum_prefix(desc: DescEnum) -> str:
    """Returns the prefix of an enum's members, such as ``SERVICE_KIND_``."""
    return _WORD_BOUNDARY.sub("_", desc.name).upper() + "_"


def _convert_enums(desc: DescMessage, json_value: Any) -> Any:
    """Converts the schema's enum names to the dataclasses' enum values."""
    if not isinstance(json_value, Mapping):
        return json_value
    fields = {field.name: field for field in desc.fields}
    return {
        name: _convert_field_enums(fields[name], item)
        for name, item in json_value.items()
    }


def _convert_field_enums(field: DescField, item: Any) -> Any:
    value = field.value
    if isinstance(value, DescFieldValueEnum) and isinstance(item, str):
        return item.removeprefix(get_enum_prefix(value.enum)).lower()
    if isinstance(value, DescFieldValueMessage):
        return _convert_enums(value.message, item)
    element = getattr(value, "element", None)
    if isinstance(element, DescMessage):
        return [_convert_enums(element, part) for part in item]
    return item
