"""Formats RPC responses as text or as JSON."""

import json
from collections.abc import Iterator
from typing import Any

from protobuf import Message, message_to_json_value

_INDENT = "  "


def render_json(message: Message) -> str:
    """Returns a message as JSON with the schema's field names."""
    return json.dumps(_build_json(message), indent=2)


def render_text(message: Message) -> str:
    """Returns a message as indented lines ``field: value``."""
    return "\n".join(_list_lines(_build_json(message), 0)) or "nothing"


def _build_json(message: Message) -> Any:
    return message_to_json_value(
        message, use_proto_field_name=True, always_emit_implicit=True
    )


def _list_lines(value: Any, depth: int) -> Iterator[str]:
    for name, item in value.items():
        if isinstance(item, dict):
            yield f"{_INDENT * depth}{name}:"
            yield from _list_lines(item, depth + 1)
        elif isinstance(item, list):
            yield from _list_items(name, item, depth)
        else:
            yield f"{_INDENT * depth}{name}: {_format_value(item)}"


def _list_items(name: str, items: list[Any], depth: int) -> Iterator[str]:
    if not items:
        yield f"{_INDENT * depth}{name}: none"
        return
    yield f"{_INDENT * depth}{name}:"
    for item in items:
        if not isinstance(item, dict):
            yield f"{_INDENT * (depth + 1)}- {_format_value(item)}"
            continue
        lines = list(_list_lines(item, 0))
        yield f"{_INDENT * (depth + 1)}- {lines[0] if lines else ''}"
        for line in lines[1:]:
            yield f"{_INDENT * (depth + 2)}{line}"


def _format_value(item: Any) -> str:
    if isinstance(item, bool):
        return "yes" if item else "no"
    return str(item) if item != "" else "-"
