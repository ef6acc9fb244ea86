"""A stand-in for the platform's VM list, which shows changes with a delay."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from acaciarack.clock import Clock
from acaciarack.errors import Refusal
from acaciarack.platform import PlatformError, Vm
from acaciarack.web import App, Endpoint, Reply, Request, build_json_reply
from acaciarack_bench.reports import refuse_invalid

DEFAULT_LAG = timedelta(seconds=5)


@dataclass(frozen=True, kw_only=True)
class _Snapshot:
    time: timedelta
    vms: dict[str, Vm]


class MemoryVmList:
    """An in-memory VM list that shows changes after a delay."""

    def __init__(
        self,
        *,
        clock: Clock,
        vms: tuple[Vm, ...] = (),
        lag: timedelta = DEFAULT_LAG,
    ) -> None:
        """Creates a list.

        Args:
            clock: the clock.
            vms: the initial VMs.
            lag: the delay after which a change is visible.
        """
        self.down = False
        self._clock = clock
        self._lag = lag
        self._history = [
            _Snapshot(
                time=clock.elapsed() - lag, vms={vm.name: vm for vm in vms}
            )
        ]

    async def fetch(self) -> tuple[Vm, ...]:
        """Returns the list as it was ``lag`` ago.

        Raises:
            PlatformError: the list is down.
        """
        if self.down:
            raise PlatformError("the VM list is down")
        cutoff = self._clock.elapsed() - self._lag
        while len(self._history) > 1 and self._history[1].time <= cutoff:
            del self._history[0]
        return tuple(self._history[0].vms.values())

    def put(self, vm: Vm) -> None:
        """Adds a VM or replaces its entry."""
        self._add_snapshot({**self._history[-1].vms, vm.name: vm})

    def remove(self, name: str) -> None:
        """Removes a VM if it is on the list."""
        vms = dict(self._history[-1].vms)
        vms.pop(name, None)
        self._add_snapshot(vms)

    def _add_snapshot(self, vms: dict[str, Vm]) -> None:
        self._history.append(_Snapshot(time=self._clock.elapsed(), vms=vms))


class _Down(msgspec.Struct, kw_only=True):
    down: bool


def build_vms_app(vms: MemoryVmList) -> App:
    """Builds the VM list's ASGI application, with control endpoints."""

    async def fetch(request: Request) -> Reply:
        try:
            return build_json_reply(await vms.fetch())
        except PlatformError as error:
            return build_json_reply({"detail": str(error)}, status=503)

    async def put(request: Request) -> Reply | Refusal:
        try:
            vm = msgspec.json.decode(await request.read_body(), type=Vm)
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        vms.put(vm)
        return build_json_reply(vm)

    async def remove(request: Request) -> Reply:
        vms.remove(request.parameters["name"])
        return build_json_reply({})

    async def set_down(request: Request) -> Reply | Refusal:
        try:
            message = msgspec.json.decode(await request.read_body(), type=_Down)
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        vms.down = message.down
        return build_json_reply(message)

    return App(
        endpoints=(
            Endpoint(method="GET", pattern="/vms", handler=fetch),
            Endpoint(method="PUT", pattern="/control/vms", handler=put),
            Endpoint(
                method="DELETE", pattern="/control/vms/{name}", handler=remove
            ),
            Endpoint(method="PUT", pattern="/control/faults", handler=set_down),
        )
    )
