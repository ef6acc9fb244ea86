"""TLS contexts built from the files named in the settings."""

import ssl

from acaciarack.errors import AcaciarackError
from acaciarack.settings import TlsFiles


class TlsError(AcaciarackError):
    """A TLS file cannot be read or does not match the others."""


def build_server_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Builds the context of a listener; returns ``None`` without files.

    If ``files.ca`` is set, clients must present a certificate that an
    authority in it signed.

    Raises:
        TlsError: a file cannot be read or does not match the others.
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

    Peers' certificates must be signed by an authority in ``files.ca``. Without
    ``files.ca``, they must be signed by this node's certificate.

    Raises:
        TlsError: a file cannot be read or does not match the others.
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
    """Loads the files into a context, which uses them for new connections.

    Raises:
        TlsError: a file cannot be read or does not match the others.
    """
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(
            f"cannot load certificate {files.certificate} with key"
            f" {files.key}: {error}"
        ) from error
    if files.ca:
        _load_authorities(context, files.ca)


def _load_authorities(context: ssl.SSLContext, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(
            f"cannot load certificate authorities {path}: {error}"
        ) from error
