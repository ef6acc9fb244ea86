"""Reloads certificates when their files change."""

import ssl
from datetime import timedelta
from pathlib import Path

import logbook

from acaciarack.clock import Clock
from acaciarack.settings import TlsFiles
from acaciarack.tls import TlsError, load_certificate

CHECK_INTERVAL = timedelta(seconds=10)
_LOG = logbook.Logger(__name__)


class CertificateReloader:
    """Reloads the files of one TLS context when they change."""

    def __init__(
        self, *, context: ssl.SSLContext, files: TlsFiles, clock: Clock
    ) -> None:
        self._context = context
        self._files = files
        self._clock = clock
        self._loaded_mtimes = self._read_mtimes()

    async def run(self) -> None:
        """Checks the files until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> bool:
        """Reloads the files if they changed; returns whether it did so.

        If loading fails, the error is logged and the previous certificate
        stays in use.
        """
        mtimes = self._read_mtimes()
        if mtimes == self._loaded_mtimes:
            return False
        try:
            load_certificate(self._context, self._files)
        except TlsError as error:
            _LOG.error("keeping the previous certificate: {}", error)
            return False
        self._loaded_mtimes = mtimes
        _LOG.info("reloaded certificate {}", self._files.certificate)
        return True

    def _read_mtimes(self) -> tuple[int, ...]:
        paths = (self._files.certificate, self._files.key, self._files.ca)
        return tuple(_read_mtime(path) for path in paths if path)


def _read_mtime(path: str) -> int:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0
