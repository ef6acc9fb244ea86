"""Connects links in memory; cuts, silences and delays them."""

import trio
import trio.testing

from acaciarack.handshakes import Identity
from acaciarack.links import Links

KEY = b"a shared key of the test network"


class Wire(trio.abc.Stream):
    """One end of a memory stream; loses what is sent while silenced.

    ``injected`` goes out before what is sent next.
    """

    def __init__(self, stream, network, ends):
        self.stream = stream
        self.network = network
        self.ends = ends
        self.injected = b""

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        data, self.injected = self.injected + data, b""
        if not self.network.silenced & self.ends:
            await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def aclose(self):
        if self.network.silenced & self.ends:
            return
        await self.stream.aclose()


class MemoryNetwork:
    """Nodes by host. ``silenced`` holds the hosts that nothing gets through
    to or from; their open connections stay open.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.silenced = set()
        self.unreachable = set()
        self.servers = {}
        self.wires = []

    def make_links(self, identity, *, keys=(KEY,), **options):
        links = Links(
            identity=identity,
            keys=keys,
            connector=Connector(self, identity.host),
            **options,
        )
        self.servers[identity.host] = links.serve
        return links

    def cut(self):
        """Breaks every open connection."""
        for wire in self.wires:
            wire.stream.send_stream.close()
            wire.stream.receive_stream.close()
        self.wires.clear()


class Connector:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    async def connect(self, address):
        await trio.lowlevel.checkpoint()
        network = self.network
        ends = {self.host, address.host}
        if ends & (network.silenced | network.unreachable):
            await trio.sleep_forever()
        if address.host not in network.servers:
            raise ConnectionRefusedError(address.host)
        near, far = trio.testing.memory_stream_pair()
        wires = [Wire(near, network, ends), Wire(far, network, ends)]
        network.wires += wires
        network.nursery.start_soon(network.servers[address.host], wires[1])
        return wires[0]


def make_identity(number, *, data_centre="oslo-a", incarnation=1):
    return Identity(
        node=f"node-{number}",
        data_centre=data_centre,
        incarnation=incarnation,
        host=f"127.0.0.{number}",
        port=8080,
    )
