"""An in-memory network of links that can break or drop all data."""

import trio
import trio.testing

from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager

KEY = b"a shared key of the test network"


class FaultyStream(trio.abc.Stream):
    """One end of a memory stream; drops data while either host is silenced.

    The next send prepends the bytes in ``injected``.
    """

    def __init__(self, stream, network, hosts):
        self.stream = stream
        self.network = network
        self.hosts = hosts
        self.injected = b""

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        data, self.injected = self.injected + data, b""
        if not self.network.silenced & self.hosts:
            await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def aclose(self):
        if self.network.silenced & self.hosts:
            return
        await self.stream.aclose()


class MemoryNetwork:
    """Connects the link managers of nodes by host.

    All data to and from the hosts in ``silenced`` is dropped, and their open
    connections stay open. Connection attempts to and from the hosts in
    ``unreachable`` hang.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.silenced = set()
        self.unreachable = set()
        self.servers = {}
        self.streams = []

    def make_links(self, identity, *, keys=(KEY,), **options):
        links = LinkManager(
            identity=identity,
            keys=keys,
            connector=Connector(self, identity.host),
            **options,
        )
        self.servers[identity.host] = links.serve
        return links

    def break_connections(self):
        """Breaks every open connection."""
        for end in self.streams:
            end.stream.send_stream.close()
            end.stream.receive_stream.close()
        self.streams.clear()


class Connector:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    async def connect(self, address):
        await trio.lowlevel.checkpoint()
        network = self.network
        hosts = {self.host, address.host}
        if hosts & (network.silenced | network.unreachable):
            await trio.sleep_forever()
        if address.host not in network.servers:
            raise ConnectionRefusedError(address.host)
        local_end, remote_end = trio.testing.memory_stream_pair()
        streams = [
            FaultyStream(local_end, network, hosts),
            FaultyStream(remote_end, network, hosts),
        ]
        network.streams += streams
        network.nursery.start_soon(network.servers[address.host], streams[1])
        return streams[0]


def make_identity(number, *, data_centre="oslo-a", incarnation=1):
    return Identity(
        node=f"node-{number}",
        data_centre=data_centre,
        incarnation=incarnation,
        host=f"127.0.0.{number}",
        port=8080,
    )
