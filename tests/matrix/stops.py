"""Simulates the graceful stop of a node with the product's ``NodeDrain``."""

from datetime import timedelta

import trio

from acaciarack.assembly import _TrackedApp
from acaciarack.drains import NodeDrain
from acaciarack.inflight import InFlight

ENTRY_LIFETIME = timedelta(seconds=10)
"""How long callers may use an entry list."""


class GracefulStop:
    """Drains a node and kills it when no request is in flight.

    Reports a violation if the drain ends before a request is complete.
    """

    def __init__(self, simulation, host, count_active=lambda: 0):
        self.simulation = simulation
        self.host = host
        self.is_draining = False
        self.has_ended = False
        self.exchanges = []
        self.in_flight = _InFlightCounter(count_active)
        self.node_drain = NodeDrain(
            drain_status=self,
            in_flight=self.in_flight,
            clock=simulation.clock,
            lifetime=ENTRY_LIFETIME,
        )

    def is_leaving(self):
        return self.is_draining

    def is_open(self):
        return not self.is_draining and not self.host.dead.is_set()

    def start_drain(self):
        if not self.is_draining:
            self.is_draining = True
            self.simulation.nursery.start_soon(self._drain)

    async def _drain(self):
        await self.node_drain.run()
        for exchange in self.exchanges:
            self.simulation.expect(
                exchange.is_complete or exchange.cut,
                "a planned stop cut a request",
            )
        self.has_ended = True
        self.host.kill()

    def wrap_app(self, app):
        return _TrackedApp(app=app, in_flight=self.in_flight)

    async def serve(self, exchange):
        """Serves an exchange, unless the node is dead or refuses requests.

        The exchange runs in the node's nursery, so that a kill cancels it.
        """
        if self.host.dead.is_set() or self.node_drain.check():
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
            exchange.disconnected.set()
            raise


class _InFlightCounter(InFlight):
    """Counts requests, including those that outlive their connection."""

    def __init__(self, count_active):
        super().__init__()
        self._count_active = count_active

    @property
    def count(self):
        return max(super().count, self._count_active())
