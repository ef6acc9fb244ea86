"""Records that the engine stand-in keeps of generations and orders."""

import msgspec


class GenerationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's record of one generation.

    Attributes:
        name: the generation's name, with which each of its tokens begins.
        id: the response id.
        model: the model name in the request.
        prompt: the first 200 characters of the prompt.
        metadata: the metadata in the request.
        priority: the priority in the request.
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
    """A received order, and whether the engine executed it (``obeyed``)."""

    order: OrderBody
    obeyed: bool
