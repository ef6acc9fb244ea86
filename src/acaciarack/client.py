"""The caller library: asks for entries, reconnects, resumes, never repeats.

A generation goes on through another entry after a lost connection. A call
that may run only once carries one idempotency key, also when it is asked for
again, so that the system answers with the outcome instead of running it anew.
"""

import random
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import httpcore
import msgspec
import uuid6

from acaciarack.addresses import AddressBook, EntryAddress, EntryAnswer
from acaciarack.answers import Position, StreamItem, read_items
from acaciarack.clock import Clock, SystemClock
from acaciarack.problems import Problem
from acaciarack.retries import RefusedError, Retries
from acaciarack.transports import (
    MalformedAnswerError,
    Timeouts,
    TransportError,
    build_single_pool,
    build_url,
    read_answer,
    send_request,
)

PROGRESS_TIMEOUT = timedelta(seconds=30)
ANSWER_TIMEOUT = timedelta(minutes=10)
_OK = 200
_SAFE_METHODS = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """A plain service's answer.

    Attributes:
        status: the HTTP status.
        headers: names in lower case.
        body: the body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """Calls the system with one organisation's key."""

    def __init__(
        self,
        *,
        seeds: Sequence[EntryAddress],
        key: str,
        clock: Clock | None = None,
        progress: timedelta = PROGRESS_TIMEOUT,
        answer_timeout: timedelta = ANSWER_TIMEOUT,
        chance: random.Random | None = None,
    ) -> None:
        """Starts with the addresses that are asked for entries first.

        Args:
            seeds: the addresses that are asked for entries first.
            key: the organisation's key.
            clock: measures lifetimes and waits.
            progress: the longest silence within a stream.
            answer_timeout: the longest wait for an answer to begin. Answers
                that are delivered whole begin late; TCP keep-alive probes
                find a dead connection before.
            chance: spreads callers over the entries and their retries.
        """
        self._clock = clock or SystemClock()
        self._chance = chance or random.Random()
        self._progress = progress
        self._timeouts = Timeouts(progress=answer_timeout)
        self._headers = {"authorization": f"Bearer {key}"}
        self._book = AddressBook(
            seeds=seeds, clock=self._clock, chance=self._chance
        )

    async def stream(
        self, *, service: str, prompt: str, max_output_tokens: int | None = None
    ) -> AsyncGenerator[StreamItem, None]:
        """Yields a generation as it comes, each piece of text once.

        Raises:
            RefusedError: the system refused it.
            GenerationFailedError: it ended before it was whole.
            UnreachableError: no entry answered.
        """
        body: dict[str, Any] = {
            "model": service,
            "input": prompt,
            "stream": True,
        }
        if max_output_tokens is not None:
            body["max_output_tokens"] = max_output_tokens
        position = Position()
        retries = Retries(clock=self._clock, chance=self._chance)
        while True:
            try:
                async with aclosing(self._connect(body, position)) as items:
                    async for item in items:
                        retries.reset()
                        yield item
                return
            except (TransportError, RefusedError) as error:
                await retries.wait(error)

    async def cancel(self, response_id: str) -> dict[str, Any]:
        """Ends a generation and returns its response object."""
        answer = await self._request(
            "POST", f"/v1/responses/{response_id}/cancel", b"", {}
        )
        return msgspec.json.decode(answer.body, type=dict[str, Any])

    async def call(
        self,
        *,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        idempotency_key: str = "",
    ) -> ServiceAnswer:
        """Calls a plain service.

        Args:
            service: the service's name.
            method: the HTTP method.
            path: below the service, with the query.
            body: the body.
            headers: sent along.
            idempotency_key: a UUID of version 6 or 7; a new one if empty.
                Give the same one to ask again for the outcome.

        Raises:
            RefusedError: the system refused it.
            UnreachableError: no entry answered.
        """
        extra = dict(headers or {})
        if method not in _SAFE_METHODS:
            extra["idempotency-key"] = idempotency_key or str(uuid6.uuid7())
        return await self._request(
            method, f"/v1/services/{service}/{path.lstrip('/')}", body, extra
        )

    async def _request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> ServiceAnswer:
        retries = Retries(clock=self._clock, chance=self._chance)
        while True:
            address = await self._choose()
            try:
                return await self._send(address, method, path, body, headers)
            except (TransportError, RefusedError) as error:
                if isinstance(error, TransportError):
                    self._book.record_failure(address)
                await retries.wait(error)

    async def _send(
        self,
        address: EntryAddress,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> ServiceAnswer:
        request = self._build(address, method, path, body, headers)
        async with build_single_pool(probe=True) as pool:
            response = await send_request(pool, request)
            data = await read_answer(response)
        answer = ServiceAnswer(
            status=response.status, headers=_read_headers(response), body=data
        )
        _raise_refusal(answer)
        return answer

    async def _connect(
        self, body: dict[str, Any], position: Position
    ) -> AsyncGenerator[StreamItem, None]:
        address = await self._choose()
        request = self._build_stream_request(address, body, position)
        try:
            async with build_single_pool(probe=True) as pool:
                response = await send_request(pool, request)
                if response.status != _OK:
                    data = await read_answer(response)
                    _raise_refusal(
                        ServiceAnswer(
                            status=response.status,
                            headers=_read_headers(response),
                            body=data,
                        )
                    )
                async with aclosing(
                    read_items(response, position, progress=self._progress)
                ) as items:
                    async for item in items:
                        yield item
        except TransportError:
            self._book.record_failure(address)
            raise

    def _build_stream_request(
        self, address: EntryAddress, body: dict[str, Any], position: Position
    ) -> httpcore.Request:
        if not position.response_id:
            data = msgspec.json.encode(body)
            return self._build(address, "POST", "/v1/responses", data, {})
        path = (
            f"/v1/responses/{position.response_id}"
            f"?stream=true&starting_after={position.last}"
        )
        return self._build(address, "GET", path, b"", {})

    def _build(
        self,
        address: EntryAddress,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> httpcore.Request:
        return httpcore.Request(
            method,
            build_url(address.host, address.port, path),
            headers=headers
            | self._headers
            | {
                "host": f"{address.host}:{address.port}",
                "content-length": str(len(body)),
            },
            content=body,
            extensions=self._timeouts.build_extensions(),
        )

    async def _choose(self) -> EntryAddress:
        """Returns the next address, after asking for entries if it is time.

        When no entry can be asked, the known addresses stay in use.
        """
        if self._book.expired:
            address = self._book.choose()
            try:
                answer = await self._send(
                    address, "GET", "/v1/entries", b"", {}
                )
                self._book.update(
                    msgspec.json.decode(answer.body, type=EntryAnswer)
                )
            except TransportError:
                self._book.record_failure(address)
            except (RefusedError, msgspec.DecodeError):
                pass
        return self._book.choose()


def _raise_refusal(answer: ServiceAnswer) -> None:
    if "problem+json" not in answer.headers.get("content-type", ""):
        return
    try:
        problem = msgspec.json.decode(answer.body, type=Problem)
    except msgspec.DecodeError as error:
        raise MalformedAnswerError(
            f"a problem document is malformed: {error}"
        ) from error
    raise RefusedError(problem=problem)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
