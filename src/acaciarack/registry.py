"""Named registries of plug-ins.

A plug-in is a module that decorates a factory with ``Registry.register``.
Importing the module registers the plug-in under its name.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from acaciarack.errors import AcaciarackError

T = TypeVar("T")


class UnknownPluginError(AcaciarackError):
    """No plug-in of this kind is registered under the requested name."""


class DuplicatePluginError(AcaciarackError):
    """Two plug-ins of one kind have the same name."""


class Registry(Generic[T]):
    """The factories of one kind of plug-in, by name."""

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, Callable[..., T]] = {}

    def register(
        self, name: str
    ) -> Callable[[Callable[..., T]], Callable[..., T]]:
        """Registers the decorated factory or class under ``name``.

        Raises:
            DuplicatePluginError: the name is already registered.
        """

        def add_factory(factory: Callable[..., T]) -> Callable[..., T]:
            if name in self._factories:
                raise DuplicatePluginError(
                    f"{self._kind} {name!r} is registered twice"
                )
            self._factories[name] = factory
            return factory

        return add_factory

    def create(self, name: str, **arguments: Any) -> T:
        """Creates the plug-in ``name`` with keyword arguments.

        Raises:
            UnknownPluginError: no plug-in is registered under the name.
        """
        factory = self._factories.get(name)
        if factory is None:
            known = ", ".join(self.list_names()) or "none"
            raise UnknownPluginError(
                f"no {self._kind} named {name!r}; known are: {known}"
            )
        return factory(**arguments)

    def list_names(self) -> tuple[str, ...]:
        """Returns the registered names, sorted."""
        return tuple(sorted(self._factories))
