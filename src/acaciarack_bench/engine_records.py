"""What the engine stand-in records of generations and orders."""

import msgspec


class GenerationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's own record of one generation.

    Attributes:
        name: its name; every token of it begins with it.
        id: its response id.
        model: the model as it was asked for.
        prompt: the start of the prompt.
        metadata: as the caller gave it.
        priority: as the caller gave it.
    """

    name: str
    id: str
    model: str
    prompt: str
    metadata: dict[str, str]
    priority: int


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """An order to the engine."""

    order: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    fencing: int = 0


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An order as it arrived, and whether it was obeyed."""

    order: OrderBody
    obeyed: bool
