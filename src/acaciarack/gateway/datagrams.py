"""Datagrams between nodes, sent and taken many at a time.

Answers a full mesh of many peers: a turn of the event loop for each datagram
costs several times what the datagram itself does, so all that wait are taken
in one turn, and all peers are sent to in one.
"""

import socket
from collections.abc import Iterable
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock

MAX_IN_A_ROW = 64
"""Datagrams that are taken before other tasks have their turn: 3 ms."""
REST_A_PEER = timedelta(milliseconds=0.5)
"""How long a node lets datagrams gather, for each peer: with 84 peers it
takes some 200 a second, eight at a time."""
MAX_REST = timedelta(milliseconds=40)
"""The longest such time: half of the pause of a sender on such a fleet, so
that news of loads is at most half as old again."""
_LARGEST = 65536

_log = logbook.Logger("acaciarack.gateway.datagrams")


class Datagrams:
    """One UDP socket."""

    def __init__(self, *, clock: Clock, host: str, port: int) -> None:
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that datagrams to this end are sent to."""
        host, port = self._socket.getsockname()
        return host, port

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Sends one datagram to each address; none of them is waited for.

        What the system does not take is lost, as any datagram may be.
        """
        for address in addresses:
            try:
                self._socket.sendto(data, address)
            except OSError as error:
                _log.debug("datagram not sent: {}", error)

    async def receive(self) -> list[bytes]:
        """Waits for datagrams; returns those that have come, one at least."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            found = list(self._take())
            if found:
                return found

    async def rest(self, peers: int) -> None:
        """Lets datagrams of a number of peers gather."""
        await self._clock.sleep(min(MAX_REST, REST_A_PEER * peers))

    def _take(self) -> Iterable[bytes]:
        for _ in range(MAX_IN_A_ROW):
            try:
                yield self._socket.recv(_LARGEST)
            except BlockingIOError:
                return
            except OSError as error:
                # A peer's port that nobody listens on is told this way.
                _log.debug("no datagram: {}", error)
