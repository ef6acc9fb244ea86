"""Links between nodes: frames, handshakes, idle timeouts and queues."""

import tracemalloc
from datetime import timedelta

import msgpack
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.channels import (
    MAX_WRITE_BYTES,
    QueuedFrame,
    QueueFullError,
    SendQueue,
)
from acaciarack.link import HandlerError, RequestFailedError
from acaciarack.links import LinkKeyError, NotLinkedError, PeerAddress
from acaciarack.messages import (
    Frame,
    FrameDecoder,
    FrameError,
    Message,
    MessageCodec,
    Purpose,
)
from tests.memory_network import KEY, MemoryNetwork, make_identity
from tests.support import TestCase

SECOND = timedelta(seconds=1)
VALUES = st.recursive(
    st.none() | st.integers(-9, 99) | st.binary(max_size=9) | st.text(),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=9,
)


class Note(Message, frozen=True, kw_only=True):
    text: str
    data: bytes = b""


class Other(Message, frozen=True, kw_only=True):
    number: int


def make_codec():
    codec = MessageCodec()
    codec.register(Note)
    codec.register(Other)
    return codec


def make_address(identity):
    return PeerAddress(node=identity.node, host=identity.host, port=1)


class FrameTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(st.tuples(st.text(max_size=9), st.binary(max_size=40))),
        st.integers(1, 16),
        st.binary(max_size=12) | VALUES.map(msgpack.packb),
    )
    def test_arbitrary_bytes_decode_to_frames_or_raise_frame_error(
        self, notes, size, tail
    ):
        codec = make_codec()
        frames = [
            Frame(
                purpose=Purpose.REQUEST,
                correlation_id=number,
                message=Note(text=text, data=data),
            )
            for number, (text, data) in enumerate(notes)
        ]
        stream = b"".join(map(codec.encode, frames)) + tail
        decoder = FrameDecoder(max_frame_bytes=256)
        found = []
        try:
            for start in range(0, len(stream), size):
                items = decoder.decode(stream[start : start + size])
                found.extend(codec.decode(item.value) for item in items)
        except FrameError:
            self.assertNotEqual(b"", tail)
        self.assertEqual(frames, found[: len(frames)])

    def test_malicious_lengths_use_bounded_memory(self):
        malicious = [
            b"\xdd\xff\xff\xff\xff",
            b"\xdf\xff\xff\xff\xff",
            b"\xc6\xff\xff\xff\xff",
            b"\xdc\x08\x00" * 5000,
            b"\xc6\x00\x0f\xff\xff" + b"x" * 2_000_000,
        ]
        for data in malicious:
            decoder = FrameDecoder()
            tracemalloc.start()
            with self.assertRaises(FrameError):
                for start in range(0, len(data), 16384):
                    for item in decoder.decode(data[start : start + 16384]):
                        make_codec().decode(item.value)
                raise FrameError("no complete frame")
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertLess(peak, 24 * 1024 * 1024)


class SendQueueTest(TestCase):
    def test_oldest_droppable_frames_are_dropped_first(self):
        queue = SendQueue(max_bytes=10)
        for data, droppable in ((b"d1..", True), (b"f1", False), (b"d2..", 1)):
            queue.put(
                QueuedFrame(kind="", data=data, droppable=bool(droppable))
            )
        queue.put(QueuedFrame(kind="", data=b"f2", droppable=False))
        queue.put(QueuedFrame(kind="", data=b"f3..", droppable=False))
        with self.assertRaisesRegex(QueueFullError, "8 bytes wait"):
            queue.put(QueuedFrame(kind="", data=b"f4.", droppable=False))
        queue.put(QueuedFrame(kind="", data=b"d3.", droppable=True))

        async def drain():
            return [(await queue.get()).data for _ in range(3)]

        self.assertEqual([b"f1", b"f2", b"f3.."], self.run_trio(drain))
        self.assertEqual(3, queue.dropped)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, MAX_WRITE_BYTES + 1), min_size=1))
    def test_batches_keep_order_and_fill_writes(self, sizes):
        items = [
            QueuedFrame(kind=str(number), data=bytes(size), droppable=False)
            for number, size in enumerate(sizes)
        ]
        queue = SendQueue(max_bytes=sum(sizes))

        async def drain():
            batches = []
            while sum(map(len, batches)) < len(items):
                batches.append(await queue.get_batch())
            return batches

        for item in items:
            queue.put(item)
        batches = self.run_trio(drain)
        self.assertEqual(items, [item for batch in batches for item in batch])
        for number, batch in enumerate(batches):
            size = sum(len(item.data) for item in batch)
            self.assertTrue(len(batch) == 1 or size <= MAX_WRITE_BYTES)
            if number + 1 < len(batches):
                following = len(batches[number + 1][0].data)
                self.assertGreater(size + following, MAX_WRITE_BYTES)


class LinksTest(TestCase):
    def run_pair(self, scenario, **options):
        """Runs ``scenario(network, first, second)`` on two linked nodes."""

        async def run():
            async with trio.open_nursery() as nursery:
                network = MemoryNetwork(nursery)
                one, two = make_identity(1), make_identity(2)
                first = network.make_links(one, **options.get("first", {}))
                second = network.make_links(two, **options.get("second", {}))
                first.set_peers([make_address(two)])
                second.set_peers([make_address(one)])
                for links in (first, second):
                    links.register(Note, self.handle_note)
                    nursery.start_soon(links.run)
                await trio.sleep(2)
                await scenario(network, first, second)
                nursery.cancel_scope.cancel()

        self.notes = []
        self.run_trio(run)

    async def handle_note(self, peer, note):
        self.notes.append((peer.node, note.text))
        if note.text == "sleep":
            await trio.sleep_forever()
        if note.text == "crash":
            raise ZeroDivisionError
        if note.text == "refuse":
            raise HandlerError("not now")
        return Note(text=note.text.upper())

    def test_messages_and_requests(self):
        async def scenario(network, first, second):
            self.assertEqual(
                ["node-2"], [p.node for p in first.list_linked_peers()]
            )
            self.assertTrue(first.send("node-2", Note(text="a")))
            self.assertFalse(first.send("node-9", Note(text="a")))
            options = {"timeout": SECOND}
            reply = await second.request("node-1", Note(text="b"), **options)
            self.assertEqual(Note(text="B"), reply)
            for text, detail in (
                ("sleep", "no reply within 0:00:01"),
                ("refuse", "not now"),
                ("crash", "the handler of Note failed"),
            ):
                with self.assertRaisesRegex(RequestFailedError, detail):
                    await second.request("node-1", Note(text=text), **options)
            self.assertEqual(1, len(second.list_linked_peers()))
            traffic = {item.kind: item for item in first.list_traffic()}
            codec = make_codec()
            post = Frame(purpose=Purpose.POST, message=Note(text="a"))
            reply = Frame(
                purpose=Purpose.REPLY, correlation_id=1, message=reply
            )
            sizes = len(codec.encode(post)) + len(codec.encode(reply))
            self.assertEqual(sizes, traffic["Note"].sent_bytes)
            self.assertEqual(4, traffic["Note"].received)

        self.run_pair(scenario)
        self.assertIn(("node-1", "a"), self.notes)

    def test_silenced_link_is_closed_and_reopened(self):
        async def scenario(network, first, second):
            network.silenced.add("127.0.0.2")
            await trio.sleep(3.5)
            self.assertEqual((), first.list_linked_peers())
            self.assertEqual((), second.list_linked_peers())
            with self.assertRaises(NotLinkedError):
                await first.request("node-2", Note(text="x"), timeout=SECOND)
            network.silenced.clear()
            await trio.sleep(10)
            self.assertEqual(1, len(first.list_linked_peers()))
            self.assertTrue(second.send("node-1", Note(text="again")))
            await trio.sleep(1)

        self.run_pair(scenario)
        self.assertIn(("node-2", "again"), self.notes)

    def test_broken_link_fails_requests_and_is_reopened(self):
        async def scenario(network, first, second):
            async with trio.open_nursery() as nursery:

                @nursery.start_soon
                async def send_request():
                    with self.assertRaisesRegex(RequestFailedError, "lost"):
                        await first.request(
                            "node-2", Note(text="sleep"), timeout=60 * SECOND
                        )

                await trio.sleep(0.1)
                network.break_connections()
            await trio.sleep(10)
            self.assertEqual(1, len(first.list_linked_peers()))

        self.run_pair(scenario)

    def test_malformed_frames_close_the_link_and_it_reopens(self):
        malformed = [
            b"\xc1",
            msgpack.packb(["Note"]),
            msgpack.packb([0, 0, ["Unknown", "x"]]),
            msgpack.packb([9, 0, None]),
            msgpack.packb([1, 5, ["Note", 5]]),
        ]

        async def scenario(network, first, second):
            lost_peers = []
            second.add_listener(
                lambda peer, linked: linked or lost_peers.append(peer.node)
            )
            for data in malformed:
                network.streams[-2].injected = data
                await trio.sleep(20)
                self.assertEqual(1, len(second.list_linked_peers()))
            self.assertEqual(["node-1"] * len(malformed), lost_peers)

        self.run_pair(scenario)

    def test_link_opens_only_with_a_shared_key(self):
        old, new = b"0" * 32, b"1" * 32

        def check_linked(linked):
            async def scenario(network, first, second):
                self.assertEqual(linked, len(first.list_linked_peers()))
                self.assertEqual(linked, len(second.list_linked_peers()))

            return scenario

        for keys, linked in (
            (((old,), (new, old)), 1),
            (((new, old), (new,)), 1),
            (((old,), (new,)), 0),
            (((old,), (KEY,)), 0),
        ):
            self.run_pair(
                check_linked(linked),
                first={"keys": keys[0]},
                second={"keys": keys[1]},
            )
        with self.assertRaisesRegex(LinkKeyError, "5 bytes; at least 16"):
            MemoryNetwork(None).make_links(make_identity(1), keys=(b"short",))

    def test_echoed_handshake_is_rejected(self):
        async def run():
            async with trio.open_nursery() as nursery:
                network = MemoryNetwork(nursery)
                links = network.make_links(make_identity(1))
                near, far = trio.testing.memory_stream_pair()
                nursery.start_soon(links.serve, far)
                with trio.move_on_after(5):
                    while data := await near.receive_some():
                        hello = data.replace(b"node-1", b"node-2")
                        await near.send_all(hello)
                self.assertEqual((), links.list_linked_peers())
                nursery.cancel_scope.cancel()

        self.run_trio(run)
