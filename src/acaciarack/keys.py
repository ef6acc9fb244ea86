"""Authenticates callers by the API keys of their organisations."""

import hashlib
import hmac
from collections.abc import Callable, Mapping

from acaciarack.configuration import Configuration, Organisation
from acaciarack.errors import Refusal, RefusalCode, RunOutcome

_SCHEME = "bearer"
_MAX_KEY_CHARACTERS = 512


def hash_key(key: str) -> str:
    """Returns the hex SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyIndex:
    """Finds the organisation of a key in the configuration in force.

    The index is built once for each configuration, so that the cost of a
    look-up does not depend on the number of organisations.
    """

    def __init__(self, *, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._indexed_configuration: Configuration | None = None
        self._names_by_digest: dict[str, str] = {}

    def authenticate(
        self, headers: Mapping[str, str]
    ) -> Organisation | Refusal:
        """Returns the organisation whose key is in ``Authorization``.

        Args:
            headers: the request headers, with names in lower case.

        Returns:
            The organisation, or a refusal if the key is missing or unknown.
        """
        scheme, _, key = headers.get("authorization", "").partition(" ")
        key = key.strip()
        if scheme.lower() != _SCHEME or not key:
            return _refuse("the request has no 'Authorization: Bearer' key")
        if len(key) > _MAX_KEY_CHARACTERS:
            return _refuse("the key is not known")
        configuration = self._configuration()
        self._update_index(configuration)
        digest = hash_key(key)
        name = self._names_by_digest.get(digest, "")
        organisation = configuration.organisations.get(name)
        if organisation is None or not _has_digest(organisation, digest):
            return _refuse("the key is not known")
        return organisation

    def _update_index(self, configuration: Configuration) -> None:
        if configuration is self._indexed_configuration:
            return
        self._names_by_digest = {
            digest: organisation.name
            for organisation in configuration.organisations.values()
            for digest in organisation.key_hashes
        }
        self._indexed_configuration = configuration


def _has_digest(organisation: Organisation, digest: str) -> bool:
    matches = [
        hmac.compare_digest(known, digest) for known in organisation.key_hashes
    ]
    return any(matches)


def _refuse(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.UNAUTHENTICATED,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
    )
