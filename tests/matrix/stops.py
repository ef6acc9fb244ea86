"""The planned stop of a node in a world, by the product's own parts."""

from datetime import timedelta

import trio

from acaciarack.assembly import _CountedApp
from acaciarack.drains import Departure
from acaciarack.inflight import InFlight

LIFETIME = timedelta(seconds=10)


class Stop:
    """Counts what a node serves and ends the node when nothing is left."""

    def __init__(self, world, host, count_active=lambda: 0):
        self.world = world
        self.host = host
        self.leaving = False
        self.ended = False
        self.exchanges = []
        self.in_flight = _Work(count_active)
        self.departure = Departure(
            leaver=self,
            in_flight=self.in_flight,
            clock=world.clock,
            lifetime=LIFETIME,
        )

    def is_leaving(self):
        return self.leaving

    def is_open(self):
        return not self.leaving and not self.host.dead.is_set()

    def begin(self):
        if not self.leaving:
            self.leaving = True
            self.world.nursery.start_soon(self._leave)

    async def _leave(self):
        await self.departure.run()
        for exchange in self.exchanges:
            self.world.expect(
                exchange.whole or exchange.cut, "a planned stop cut a request"
            )
        self.ended = True
        self.host.kill()

    def guard(self, app):
        return _CountedApp(app=app, work=self.in_flight)

    async def serve(self, exchange):
        """Serves an exchange in the node's nursery, until the node dies."""
        if self.host.dead.is_set() or self.departure.check():
            return
        done = trio.Event()
        self.exchanges.append(exchange)

        async def serve():
            try:
                await self.host.app(
                    exchange.scope, exchange.receive, exchange.send
                )
            finally:
                if exchange in self.exchanges:
                    self.exchanges.remove(exchange)
                done.set()

        self.host.nursery.start_soon(serve)
        try:
            await done.wait()
        except trio.Cancelled:
            exchange.cut = True
            exchange.leave.set()
            raise


class _Work(InFlight):
    def __init__(self, count_active):
        super().__init__()
        self._count_active = count_active

    @property
    def count(self):
        return max(super().count, self._count_active())
