"""Response ids with encrypted data that lets any node resume a response."""

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
_ASSOCIATED_DATA = b"acaciarack response id 1"


class SealKeyError(AcaciarackError):
    """The seal keys are missing or not valid."""


@dataclass(frozen=True, kw_only=True)
class SealKey:
    """An AES-GCM key for response ids.

    Attributes:
        number: identifies the key in a response id; 0 to 255.
        secret: 16, 24 or 32 random bytes.
    """

    number: int
    secret: bytes


class SealedResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """The data that a response id holds.

    Attributes:
        target: the name of the engine that runs the generation.
        engine_id: the id that the engine gave to the response.
        configuration_version: the configuration version that was in force
            when the generation started.
        organisation: the organisation that sent the request.
        service: the requested service.
        request_id: identifies the request in logs and explanations.
        created: when the generation started.
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
    """Encrypts response ids with the first key; decrypts with any key."""

    def __init__(self, *, keys: Sequence[SealKey]) -> None:
        numbers = [key.number for key in keys]
        if not keys:
            raise SealKeyError("no seal key; at least one is needed")
        if len(set(numbers)) < len(numbers):
            raise SealKeyError(f"seal key numbers {numbers} must be unique")
        if not all(0 <= number <= 255 for number in numbers):
            raise SealKeyError(f"seal key numbers {numbers} must be 0 to 255")
        self._primary_number = keys[0].number
        try:
            self._ciphers = {key.number: AESGCM(key.secret) for key in keys}
        except ValueError as error:
            raise SealKeyError(f"invalid seal key: {error}") from error

    def seal(self, response: SealedResponse) -> str:
        """Returns a response id that holds ``response``, encrypted."""
        nonce = os.urandom(_NONCE_BYTES)
        key_byte = bytes([self._primary_number])
        sealed = self._ciphers[self._primary_number].encrypt(
            nonce, msgspec.msgpack.encode(response), _ASSOCIATED_DATA + key_byte
        )
        return _encode_id(key_byte + nonce + sealed)

    def unseal(
        self, response_id: str, *, organisation: str
    ) -> SealedResponse | None:
        """Decrypts a response id for an organisation.

        Returns:
            The data of the id. ``None`` if the id is malformed or forged, is
            sealed with an unknown key, or belongs to another organisation;
            the caller cannot tell these cases apart.
        """
        data = _decode_id(response_id)
        cipher = self._ciphers.get(data[0]) if data else None
        if cipher is None:
            return None
        nonce = data[_KEY_ID_BYTES : _KEY_ID_BYTES + _NONCE_BYTES]
        sealed = data[_KEY_ID_BYTES + _NONCE_BYTES :]
        try:
            plaintext = cipher.decrypt(
                nonce, sealed, _ASSOCIATED_DATA + data[:1]
            )
            response = msgspec.msgpack.decode(plaintext, type=SealedResponse)
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
    # Each id has exactly one valid encoding, so ids can be compared as text.
    return data if _encode_id(data) == response_id else b""
