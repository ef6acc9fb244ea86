"""Keeps the addresses that a caller may use, for as long as they hold."""

import random
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from acaciarack.clock import Clock


class EntryAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where a node answers callers.

    Attributes:
        host: its IP number.
        port: its TCP port.
        data_centre: where it stands.
    """

    host: str
    port: int
    data_centre: str = ""


class EntryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of ``GET /v1/entries``.

    Attributes:
        entries: the addresses to use.
        max_age_seconds: how long they hold.
    """

    entries: tuple[EntryAddress, ...]
    max_age_seconds: float


class AddressBook:
    """The addresses in use, spread at random; failed ones come last."""

    def __init__(
        self,
        *,
        seeds: Sequence[EntryAddress],
        clock: Clock,
        chance: random.Random,
    ) -> None:
        self._clock = clock
        self._chance = chance
        self._addresses = list(seeds)
        self._expires = clock.elapsed()
        self._failed: set[EntryAddress] = set()
        self._chance.shuffle(self._addresses)

    @property
    def expired(self) -> bool:
        """Whether the addresses must be asked for again."""
        return self._clock.elapsed() >= self._expires

    def update(self, answer: EntryAnswer) -> None:
        """Takes the addresses of an answer; an empty one changes nothing."""
        if not answer.entries:
            return
        self._addresses = list(answer.entries)
        self._chance.shuffle(self._addresses)
        self._failed.clear()
        self._expires = self._clock.elapsed() + timedelta(
            seconds=answer.max_age_seconds
        )

    def choose(self) -> EntryAddress:
        """Returns the next address, one that has not failed if there is."""
        good = [
            address
            for address in self._addresses
            if address not in self._failed
        ]
        if not good:
            self._failed.clear()
            good = self._addresses
        address = good[0]
        self._addresses.remove(address)
        self._addresses.append(address)
        return address

    def record_failure(self, address: EntryAddress) -> None:
        """Records that an address did not answer."""
        self._failed.add(address)
