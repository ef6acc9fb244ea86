"""Digests by which nodes recognise a request that comes again."""

import hashlib

import msgpack

from acaciarack.gateway.spec import InboundRequest

DIGEST_BYTES = 8

Fingerprint = bytes
"""A digest of ``DIGEST_BYTES``."""


def fingerprint_request(
    service: str, organisation: str | None, request: InboundRequest
) -> Fingerprint:
    """Returns what all attempts of one request have in common.

    Attempts have ids and deadlines of their own. Their caller, path, body and
    prompt are the same.

    Args:
        service: the service that the request goes to.
        organisation: the caller's organisation; ``None`` if it is not known.
        request: the request.
    """
    segments = request.prompt.prefix_segments if request.prompt else ()
    return digest(
        service,
        organisation,
        request.method,
        request.host,
        request.path_and_query,
        [name for name, _ in segments],
        request.body,
    )


def digest(*parts: str | bytes | list[str] | None) -> Fingerprint:
    """Returns the digest of a sequence of values."""
    return hashlib.blake2b(
        msgpack.packb(parts), digest_size=DIGEST_BYTES
    ).digest()
