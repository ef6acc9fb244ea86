"""Digests of what requests have in common.

Digests bound messages and memory, whatever callers choose. Their first byte
tells what they stand for.
"""

import hashlib

import msgpack

from acaciarack.gateway.spec import InboundRequest, Prompt

FINGERPRINT_BYTES = 8
_REQUEST_KIND = b"\x00"
"""Sorts before other kinds, so that it is kept if a message has no room."""
_SEGMENT_KIND = b"\x01"

Fingerprint = bytes
"""A kind and a digest, together ``FINGERPRINT_BYTES`` long."""
Fingerprints = frozenset[Fingerprint]


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
    return _REQUEST_KIND + _digest(
        service,
        organisation,
        request.method,
        request.host,
        request.path_and_query,
        [name for name, _ in segments],
        request.body,
    )


def is_request_fingerprint(fingerprint: Fingerprint) -> bool:
    """Returns whether a fingerprint stands for a whole request."""
    return fingerprint.startswith(_REQUEST_KIND)


def fingerprint_segments(service: str, prompt: Prompt | None) -> Fingerprints:
    """Returns those of a prompt's segments except its last one.

    The last segment belongs to one request or session. A segment has another
    fingerprint for each service, since services run different models.
    """
    if prompt is None:
        return frozenset()
    return frozenset(
        _SEGMENT_KIND + _digest(service, segment)
        for segment, _ in prompt.prefix_segments[:-1]
    )


def _digest(*parts: str | bytes | list[str] | None) -> bytes:
    size = FINGERPRINT_BYTES - len(_REQUEST_KIND)
    return hashlib.blake2b(msgpack.packb(parts), digest_size=size).digest()
