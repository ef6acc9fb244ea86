"""Counts what a process keeps of a target's answer until a part of it is whole.

A target may send bytes without end, so what is kept of them is in the account
of the process. If the account is full, the answer that keeps most gives way:
its read ends, and what it has kept is dropped.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from acaciarack.request_shares import MIN_HELD_BYTES
from acaciarack.resources import NoRoomError, ResourceAccount, Share


class KeptBytes:
    """The unfinished bytes of one answer."""

    def __init__(self, *, account: ResourceAccount | None) -> None:
        """Creates an empty count.

        Args:
            account: what the process may keep; ``None`` for no limit.
        """
        self._account = account
        self._share: Share | None = None
        self._read_scope: trio.CancelScope | None = None
        self._is_dropped = False

    @contextmanager
    def guard_read(self) -> Iterator[None]:
        """Lets the read in the block end if the bytes must give way.

        Raises:
            NoRoomError: they had to.
        """
        self._check()
        with trio.CancelScope() as self._read_scope:
            yield
        self._read_scope = None
        self._check()

    def resize(self, count: int) -> None:
        """Sets how many bytes are kept.

        A few are a part of what each request holds.

        Raises:
            NoRoomError: there is no room for them.
        """
        self._check()
        if self._account is None:
            return
        if count < MIN_HELD_BYTES:
            self.close()
            return
        if self._share is None:
            self._share = self._account.open(
                self._drop, base_bytes=0, descriptors=0
            )
            self._share.allow_drop()
        added = count - self._share.held_bytes
        if added <= 0:
            self._share.release(-added)
        elif not self._share.keep(added):
            raise NoRoomError(f"no room for {count} unfinished bytes")

    def close(self) -> None:
        """Gives everything back."""
        if self._share is not None:
            self._share.close()
            self._share = None

    def _check(self) -> None:
        if self._is_dropped:
            raise NoRoomError("unfinished bytes made room for others")

    def _drop(self) -> None:
        self._is_dropped = True
        if self._read_scope is not None:
            self._read_scope.cancel()
