"""Takes over changes of the settings file while the node runs.

Only the store's address can change while a process runs. The node's own
addresses are bound, and the rest is built into its components at the start.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import logbook

from acaciarack.clock import Clock
from acaciarack.gateway.settings import GatewaySettings
from acaciarack.settings import Address, SettingsError

CHECK_INTERVAL = timedelta(seconds=1)
"""How often the file is read; it may change without a signal."""

_log = logbook.Logger("acaciarack.gateway.settings")


class SettingsReloader:
    """Reads the settings again, and moves the store's client."""

    def __init__(
        self,
        *,
        clock: Clock,
        settings: GatewaySettings,
        load: Callable[[], GatewaySettings],
        move_store: Callable[[Address], None],
    ) -> None:
        """Creates a reloader.

        Args:
            clock: the clock.
            settings: what the node was started with.
            load: reads and checks the file; raises ``SettingsError``.
            move_store: has the store called at another address.
        """
        self._clock = clock
        self._settings = settings
        self._load = load
        self._move_store = move_store
        self._last_problem = ""

    async def run(self) -> None:
        """Takes over changes of the file until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.reload()

    def reload(self) -> str:
        """Takes over what has changed in the file.

        A file that cannot be used changes nothing: it may be read while it is
        written.

        Returns:
            The outcome, for the log.
        """
        try:
            found = self._load()
        except SettingsError as error:
            self._report("settings not taken over", str(error))
            return "invalid settings"
        address = found.store.address
        if address != self._settings.store.address:
            _log.info("store address changed", extra={"address": str(address)})
            self._settings = replace(self._settings, store=found.store)
            self._move_store(address)
            outcome = "store address changed"
        else:
            outcome = "no change"
        if found != self._settings:
            self._report("settings wait for a restart", "")
        else:
            self._last_problem = ""
        return outcome

    def _report(self, event: str, problem: str) -> None:
        """Logs a problem once, until it has gone or another one follows."""
        if event + problem == self._last_problem:
            return
        self._last_problem = event + problem
        _log.warning(event, extra={"code": " ".join(problem.split())})
