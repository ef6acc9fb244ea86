"""Loads certificates again when their files change."""

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
    """Keeps one TLS context in step with its files."""

    def __init__(
        self, *, context: ssl.SSLContext, files: TlsFiles, clock: Clock
    ) -> None:
        self._context = context
        self._files = files
        self._clock = clock
        self._seen = self._read_times()

    async def run(self) -> None:
        """Checks the files until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> bool:
        """Loads the files if they changed; returns whether it did.

        Files that do not fit are logged and the former certificate stays.
        """
        times = self._read_times()
        if times == self._seen:
            return False
        try:
            load_certificate(self._context, self._files)
        except TlsError as error:
            _LOG.error("kept the former certificate: {}", error)
            return False
        self._seen = times
        _LOG.info("loaded the certificate {}", self._files.certificate)
        return True

    def _read_times(self) -> tuple[int, ...]:
        paths = (self._files.certificate, self._files.key, self._files.ca)
        return tuple(_read_time(path) for path in paths if path)


def _read_time(path: str) -> int:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0
