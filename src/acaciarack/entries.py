"""Serves ``GET /v1/entries``: the addresses that callers should use."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec
import xxhash

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.problems import add_jitter
from acaciarack.web import Endpoint, Reply, Request, build_json_reply

ENTRIES_PATH = "/v1/entries"
DEFAULT_LIFETIME = timedelta(seconds=10)
DEFAULT_LIMIT = 4
_RANDOM_KEY_BYTES = 8
_RETRY_DELAY = timedelta(seconds=2)


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An address at which callers reach a node.

    Attributes:
        host: the IP address.
        port: the TCP port.
        data_centre: the node's data centre.
    """

    host: str
    port: int
    data_centre: str


class EntryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of the response.

    Attributes:
        entries: the addresses, preferred ones first.
        max_age_seconds: how long the caller may use the addresses.
    """

    entries: tuple[Entry, ...]
    max_age_seconds: int


class EntrySource(Protocol):
    """Provides the current entry addresses."""

    def list_entries(self) -> tuple[Entry, ...]:
        """Returns the addresses of the nodes that accept new requests."""
        ...


def choose_entries(
    entries: Iterable[Entry],
    *,
    data_centre: str,
    hash_key: str,
    limit: int = DEFAULT_LIMIT,
) -> tuple[Entry, ...]:
    """Chooses addresses for one caller.

    Uses rendezvous hashing: the same hash key yields the same addresses as
    long as these are listed, and different keys are spread evenly. If ``limit``
    is above 1, one place is reserved for another data centre. A caller can then
    still reach the system when its own data centre is down.

    Args:
        entries: the current addresses.
        data_centre: the preferred data centre.
        hash_key: identifies the caller.
        limit: the maximum number of addresses to return.

    Returns:
        The addresses in ``data_centre``, followed by those in other data
        centres. Each group is ordered by the hash of the key and the address.
    """

    def rank(entry: Entry) -> int:
        return xxhash.xxh64_intdigest(
            f"{hash_key}|{entry.host}|{entry.port}".encode()
        )

    ordered = sorted(entries, key=rank)
    local = [entry for entry in ordered if entry.data_centre == data_centre]
    remote = [entry for entry in ordered if entry.data_centre != data_centre]
    remote_slots = 1 if remote and limit > 1 else 0
    chosen = local[: limit - remote_slots]
    return tuple(chosen + remote[: limit - len(chosen)])


class EntryHandler:
    """Serves ``GET /v1/entries``."""

    def __init__(
        self,
        *,
        source: EntrySource,
        data_centre: str,
        lifetime: timedelta = DEFAULT_LIFETIME,
        limit: int = DEFAULT_LIMIT,
    ) -> None:
        """Creates the handler.

        Args:
            source: provides the current addresses.
            data_centre: preferred if the request names no data centre.
            lifetime: how long callers may use the addresses of a response.
            limit: the maximum number of addresses in a response.
        """
        self._source = source
        self._data_centre = data_centre
        self._lifetime = lifetime
        self._limit = limit

    def build_endpoint(self) -> Endpoint:
        """Builds the endpoint for the web application."""
        return Endpoint(method="GET", pattern=ENTRIES_PATH, handler=self.serve)

    async def serve(self, request: Request) -> Reply | Refusal:
        """Serves one request.

        Query parameters: ``data_centre`` is the preferred data centre, and
        ``client`` is a stable name of the caller, used as the hash key. Without
        ``client``, the order is random.
        """
        hash_key = request.query.get("client") or secrets.token_hex(
            _RANDOM_KEY_BYTES
        )
        entries = choose_entries(
            self._source.list_entries(),
            data_centre=request.query.get("data_centre", self._data_centre),
            hash_key=hash_key,
            limit=self._limit,
        )
        if not entries:
            return Refusal(
                code=RefusalCode.NOT_READY,
                outcome=RunOutcome.NOT_RUN,
                detail="no node that takes new requests is known yet",
                retry_after=add_jitter(_RETRY_DELAY),
            )
        return self._build_reply(entries)

    def _build_reply(self, entries: tuple[Entry, ...]) -> Reply:
        seconds = int(self._lifetime.total_seconds())
        reply = build_json_reply(
            EntryAnswer(entries=entries, max_age_seconds=seconds)
        )
        reply.headers["cache-control"] = f"max-age={seconds}"
        return reply
