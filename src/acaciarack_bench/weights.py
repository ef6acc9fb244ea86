"""A stand-in for the platform's rate-limited store of model weights."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from acaciarack.clock import Clock
from acaciarack.errors import Refusal
from acaciarack.platform import PlatformError
from acaciarack.web import App, Endpoint, Reply, Request, build_json_reply
from acaciarack_bench.reports import refuse_invalid

DEFAULT_INTERVAL = timedelta(seconds=10)


@dataclass(frozen=True, kw_only=True)
class Pull:
    """One reserved pull.

    Attributes:
        model: the model's name.
        version: the version of the weights.
        start: the earliest start of the pull, in monotonic time.
    """

    model: str
    version: str
    start: timedelta


class MemoryWeightStore:
    """An in-memory weight store that allows one pull to start per interval."""

    def __init__(
        self, *, clock: Clock, interval: timedelta = DEFAULT_INTERVAL
    ) -> None:
        """Creates a store.

        Args:
            clock: the clock.
            interval: the minimum time between the starts of two pulls.
        """
        self.down = False
        self.pulls: list[Pull] = []
        self._clock = clock
        self._interval = interval
        self._next_start = clock.elapsed()

    async def reserve_pull(self, *, model: str, version: str) -> timedelta:
        """Reserves one pull and returns the time to wait before it.

        Raises:
            PlatformError: the store is down.
        """
        if self.down:
            raise PlatformError("the weight store is down")
        now = self._clock.elapsed()
        start = max(now, self._next_start)
        self._next_start = start + self._interval
        self.pulls.append(Pull(model=model, version=version, start=start))
        return start - now


class _PullBody(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    version: str


class _Down(msgspec.Struct, kw_only=True):
    down: bool


def build_weights_app(store: MemoryWeightStore) -> App:
    """Builds the store's ASGI application, with a control endpoint."""

    async def reserve(request: Request) -> Reply | Refusal:
        try:
            pull = msgspec.json.decode(
                await request.read_body(), type=_PullBody
            )
            wait = await store.reserve_pull(
                model=pull.model, version=pull.version
            )
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        except PlatformError as error:
            return build_json_reply({"detail": str(error)}, status=503)
        return build_json_reply({"wait_seconds": wait.total_seconds()})

    async def set_down(request: Request) -> Reply | Refusal:
        try:
            message = msgspec.json.decode(await request.read_body(), type=_Down)
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        store.down = message.down
        return build_json_reply(message)

    return App(
        endpoints=(
            Endpoint(method="POST", pattern="/pulls", handler=reserve),
            Endpoint(method="PUT", pattern="/control/faults", handler=set_down),
        )
    )
