"""Datagrams between nodes, sent and received in batches.

Nodes form a full mesh. With many peers, an event loop iteration per datagram
would cost several times as much as the datagram itself. All pending datagrams
are therefore received in one iteration, and all peers are sent to in one.
"""

import socket
from collections.abc import Iterable
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock

MAX_DATAGRAMS_PER_BATCH = 64
"""Limit of a receive batch. Other tasks wait 3 ms while 64 are handled."""
RECEIVE_PAUSE_PER_PEER = timedelta(milliseconds=0.75)
"""Pause between two receive batches, per peer. With 195 peers, a node receives
about 90 datagrams per second, in batches of twelve."""
MAX_RECEIVE_PAUSE = timedelta(milliseconds=150)
"""The longest pause between two receive batches, a quarter of the shortest time
between two heartbeats of one peer in a fleet of that size."""
_RECEIVE_BUFFER_BYTES = 65536

_log = logbook.Logger("acaciarack.gateway.datagrams")


class DatagramSocket:
    """A UDP socket that receives datagrams in batches."""

    def __init__(self, *, clock: Clock, host: str, port: int) -> None:
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the socket is bound to."""
        host, port = self._socket.getsockname()
        return host, port

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Sends one datagram to each address without blocking.

        Datagrams that the operating system does not accept are lost.
        """
        for address in addresses:
            try:
                self._socket.sendto(data, address)
            except (OSError, ValueError, TypeError, OverflowError) as error:
                _log.debug("failed to send a datagram: {}", error)

    async def receive(self) -> list[bytes]:
        """Waits for datagrams and returns the pending ones, at least one."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            found = list(self._read_pending())
            if found:
                return found

    async def pause_receiving(self, peer_count: int) -> None:
        """Pauses so that datagrams accumulate, longer with more peers."""
        await self._clock.sleep(
            min(MAX_RECEIVE_PAUSE, RECEIVE_PAUSE_PER_PEER * peer_count)
        )

    def _read_pending(self) -> Iterable[bytes]:
        for _ in range(MAX_DATAGRAMS_PER_BATCH):
            try:
                yield self._socket.recv(_RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The operating system reports here if no process listens on a
                # peer's port.
                _log.debug("failed to receive a datagram: {}", error)
