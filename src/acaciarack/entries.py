"""Which addresses callers are to use: the answer to ``GET /v1/entries``."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec
import xxhash

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.problems import spread_delay
from acaciarack.web import Endpoint, Reply, Request, build_json_reply

ENTRIES_PATH = "/v1/entries"
DEFAULT_LIFETIME = timedelta(seconds=10)
DEFAULT_LIMIT = 4
_HINT_BYTES = 8
_RETRY_DELAY = timedelta(seconds=2)


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An address at which callers reach a node.

    Attributes:
        host: an IP number.
        port: a TCP port.
        data_centre: where the node stands.
    """

    host: str
    port: int
    data_centre: str


class EntryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of the answer.

    Attributes:
        entries: the addresses, best first.
        max_age_seconds: how long the caller may use the answer.
    """

    entries: tuple[Entry, ...]
    max_age_seconds: int


class EntrySource(Protocol):
    """Knows the addresses in use."""

    def list_entries(self) -> tuple[Entry, ...]:
        """Returns the addresses of nodes that take new requests."""
        ...


def choose_entries(
    entries: Iterable[Entry],
    *,
    data_centre: str,
    hint: str,
    limit: int = DEFAULT_LIMIT,
) -> tuple[Entry, ...]:
    """Chooses addresses for one caller.

    The same hint gets the same addresses as long as these are in use, and
    different hints are spread evenly. One place is kept for another data
    centre, so that a caller outlives the loss of its own.

    Args:
        entries: the addresses in use.
        data_centre: the data centre to list first.
        hint: names the caller.
        limit: the most addresses to return.

    Returns:
        Addresses in ``data_centre`` first, in the caller's own order.
    """

    def rank(entry: Entry) -> int:
        return xxhash.xxh64_intdigest(
            f"{hint}|{entry.host}|{entry.port}".encode()
        )

    ordered = sorted(entries, key=rank)
    near = [entry for entry in ordered if entry.data_centre == data_centre]
    far = [entry for entry in ordered if entry.data_centre != data_centre]
    kept_for_far = 1 if far and limit > 1 else 0
    chosen = near[: limit - kept_for_far]
    return tuple(chosen + far[: limit - len(chosen)])


class EntryHandler:
    """Answers ``GET /v1/entries``."""

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
            source: knows the addresses in use.
            data_centre: listed first for callers that name none.
            lifetime: how long callers may use an answer.
            limit: the most addresses in an answer.
        """
        self._source = source
        self._data_centre = data_centre
        self._lifetime = lifetime
        self._limit = limit

    def build_endpoint(self) -> Endpoint:
        """Builds the endpoint for the web application."""
        return Endpoint(method="GET", pattern=ENTRIES_PATH, handler=self.answer)

    async def answer(self, request: Request) -> Reply | Refusal:
        """Answers one request.

        The query may hold ``data_centre``, the data centre to list first, and
        ``client``, a stable name by which the caller is spread; without it
        the order is random.
        """
        hint = request.query.get("client") or secrets.token_hex(_HINT_BYTES)
        entries = choose_entries(
            self._source.list_entries(),
            data_centre=request.query.get("data_centre", self._data_centre),
            hint=hint,
            limit=self._limit,
        )
        if not entries:
            return Refusal(
                code=RefusalCode.NOT_READY,
                outcome=RunOutcome.NOT_RUN,
                detail="no node that takes new requests is known yet",
                retry_after=spread_delay(_RETRY_DELAY),
            )
        return self._build_reply(entries)

    def _build_reply(self, entries: tuple[Entry, ...]) -> Reply:
        seconds = int(self._lifetime.total_seconds())
        reply = build_json_reply(
            EntryAnswer(entries=entries, max_age_seconds=seconds)
        )
        reply.headers["cache-control"] = f"max-age={seconds}"
        return reply
