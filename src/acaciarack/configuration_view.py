"""Defines the interface for reading the configuration in force."""

from typing import Protocol

from acaciarack.configuration import Configuration


class ConfigurationView(Protocol):
    """Provides the configuration in force on this node."""

    def get_configuration(self) -> Configuration:
        """Returns the configuration in force."""
        ...

    def get_digest(self) -> bytes:
        """Returns a digest of the configuration in force."""
        ...
