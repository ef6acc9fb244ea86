"""TLS contexts from the files that the settings name."""

import ssl

from acaciarack.errors import AcaciarackError
from acaciarack.settings import TlsFiles


class TlsError(AcaciarackError):
    """A file cannot be read or does not fit the others."""


def build_server_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Builds the context of a listener; ``None`` without files.

    Raises:
        TlsError: a file cannot be read or does not fit the others.
    """
    if files is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2", "http/1.1"])
    load_certificate(context, files)
    if files.ca:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def build_client_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Builds the context for links to peers; ``None`` without files.

    The peers' certificates must be signed by the named authorities, or by
    the own certificate if none is named.

    Raises:
        TlsError: a file cannot be read or does not fit the others.
    """
    if files is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    load_certificate(context, files)
    if not files.ca:
        _load_authorities(context, files.certificate)
    return context


def load_certificate(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Loads the files into a context; new connections then use them.

    Raises:
        TlsError: a file cannot be read or does not fit the others.
    """
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(
            f"cannot use {files.certificate} with {files.key}: {error}"
        ) from error
    if files.ca:
        _load_authorities(context, files.ca)


def _load_authorities(context: ssl.SSLContext, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"cannot use {path}: {error}") from error
