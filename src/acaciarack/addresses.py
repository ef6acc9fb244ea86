"""Keeps the entry addresses that a caller uses, until they expire."""

import random
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from acaciarack.clock import Clock


class EntryAddress(msgspec.Struct, frozen=True, kw_only=True):
    """The address at which a node accepts requests from callers.

    Attributes:
        host: the IP address.
        port: the TCP port.
        data_centre: the node's data centre.
    """

    host: str
    port: int
    data_centre: str = ""


class EntryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The response of ``GET /v1/entries``.

    Attributes:
        entries: the nodes' addresses.
        max_age_seconds: how long the addresses are valid.
    """

    entries: tuple[EntryAddress, ...]
    max_age_seconds: float


class AddressBook:
    """Rotates through the known addresses and skips those that failed.

    The addresses are shuffled, so that callers spread over the nodes.
    """

    def __init__(
        self,
        *,
        seeds: Sequence[EntryAddress],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._addresses = list(seeds)
        self._expires = clock.elapsed()
        self._failed: set[EntryAddress] = set()
        self._rng.shuffle(self._addresses)

    @property
    def expired(self) -> bool:
        """Whether the addresses must be requested again."""
        return self._clock.elapsed() >= self._expires

    def update(self, answer: EntryAnswer) -> None:
        """Replaces the addresses; ignores a response without addresses."""
        if not answer.entries:
            return
        self._addresses = list(answer.entries)
        self._rng.shuffle(self._addresses)
        self._failed.clear()
        self._expires = self._clock.elapsed() + timedelta(
            seconds=answer.max_age_seconds
        )

    def choose(self) -> EntryAddress:
        """Returns the next address that has not failed.

        If all addresses have failed, clears the failures and starts again.
        """
        healthy = [
            address
            for address in self._addresses
            if address not in self._failed
        ]
        if not healthy:
            self._failed.clear()
            healthy = self._addresses
        address = healthy[0]
        self._addresses.remove(address)
        self._addresses.append(address)
        return address

    def record_failure(self, address: EntryAddress) -> None:
        """Marks an address as failed."""
        self._failed.add(address)
