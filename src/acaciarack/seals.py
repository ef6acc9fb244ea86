"""Response ids that carry, encrypted, what any node needs to resume them."""

import base64
import binascii
import os
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from acaciarack.errors import AcaciarackError

ID_PREFIX = "resp_"
MAX_ID_CHARACTERS = 2048
_NONCE_BYTES = 12
_KEY_ID_BYTES = 1
_CONTEXT = b"acaciarack response id 1"


class SealKeyError(AcaciarackError):
    """The keys for sealing cannot be used."""


@dataclass(frozen=True, kw_only=True)
class SealKey:
    """A key for sealing.

    Attributes:
        number: names the key within an id; 0 to 255.
        secret: 16, 24 or 32 random bytes.
    """

    number: int
    secret: bytes


class SealedResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What a response id carries.

    Attributes:
        target: the name of the engine that runs the generation.
        engine_id: the engine's own id of the response.
        configuration_version: the version in force at its start.
        organisation: the organisation that asked for it.
        service: the service that it asked for.
        request_id: names the request in logs and explanations.
        created: when the generation began.
        generation: 1 for the first run of the request, then 2 and so on.
        node: the node that accepted the request.
    """

    target: str
    engine_id: str
    configuration_version: int
    organisation: str
    service: str
    request_id: str
    created: datetime
    generation: int
    node: str = ""


class Sealer:
    """Seals with the first key and opens with every key."""

    def __init__(self, *, keys: Sequence[SealKey]) -> None:
        numbers = [key.number for key in keys]
        if not keys:
            raise SealKeyError("at least one key for sealing is needed")
        if len(set(numbers)) < len(numbers):
            raise SealKeyError(f"key numbers {numbers} must be unique")
        if not all(0 <= number <= 255 for number in numbers):
            raise SealKeyError(f"key numbers {numbers} must be 0 to 255")
        self._first = keys[0].number
        try:
            self._ciphers = {key.number: AESGCM(key.secret) for key in keys}
        except ValueError as error:
            raise SealKeyError(f"a key for sealing: {error}") from error

    def seal(self, response: SealedResponse) -> str:
        """Returns the response id for the caller."""
        nonce = os.urandom(_NONCE_BYTES)
        head = bytes([self._first])
        sealed = self._ciphers[self._first].encrypt(
            nonce, msgspec.msgpack.encode(response), _CONTEXT + head
        )
        return _encode_id(head + nonce + sealed)

    def unseal(
        self, response_id: str, *, organisation: str
    ) -> SealedResponse | None:
        """Opens a response id for an organisation.

        Returns:
            What it carries, or ``None`` alike for an id that is malformed,
            forged, sealed with an unknown key or another organisation's.
        """
        data = _decode_id(response_id)
        cipher = self._ciphers.get(data[0]) if data else None
        if cipher is None:
            return None
        nonce = data[_KEY_ID_BYTES : _KEY_ID_BYTES + _NONCE_BYTES]
        sealed = data[_KEY_ID_BYTES + _NONCE_BYTES :]
        try:
            plain = cipher.decrypt(nonce, sealed, _CONTEXT + data[:1])
            response = msgspec.msgpack.decode(plain, type=SealedResponse)
        except (InvalidTag, ValueError, msgspec.DecodeError):
            return None
        return response if response.organisation == organisation else None


def _encode_id(data: bytes) -> str:
    return ID_PREFIX + base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode_id(response_id: str) -> bytes:
    if not response_id.startswith(ID_PREFIX):
        return b""
    if len(response_id) > MAX_ID_CHARACTERS:
        return b""
    text = response_id.removeprefix(ID_PREFIX)
    try:
        data = base64.b64decode(
            text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
        )
    except (binascii.Error, ValueError):
        return b""
    # One id has one spelling, so that ids can be compared as text.
    return data if _encode_id(data) == response_id else b""
