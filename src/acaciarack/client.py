"""The caller library: discovers entries, reconnects and resumes streams.

An entry is a node that accepts requests from callers. After a lost connection,
a generation is resumed through another entry. A call
that may run only once keeps its idempotency key on retries. The system then
returns the stored outcome instead of running the call again.
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
from acaciarack.clock import Clock, SystemClock
from acaciarack.problems import Problem
from acaciarack.retries import RefusedError, RetryBackoff
from acaciarack.stream_items import StreamItem, StreamPosition, read_items
from acaciarack.transports import (
    MalformedAnswerError,
    Timeouts,
    TransportError,
    build_single_use_pool,
    build_url,
    read_response_body,
    send_request,
)

PROGRESS_TIMEOUT = timedelta(seconds=30)
ANSWER_TIMEOUT = timedelta(minutes=10)
_STATUS_OK = 200
_SAFE_METHODS = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """The response of a plain service.

    Attributes:
        status: the HTTP status.
        headers: by name in lower case.
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
        """Creates a client.

        Args:
            seeds: the addresses that the client uses until it has received a
                list of entries.
            key: the organisation's key.
            clock: measures address lifetimes and retry delays.
            progress: the maximum wait for the next event of a stream.
            answer_timeout: the maximum wait for the next byte of a response. It
                is long because a response that is not streamed starts late. TCP
                keep-alive probes detect a dead connection earlier.
            chance: the random number generator for the order of addresses and
                the retry jitter.
        """
        self._clock = clock or SystemClock()
        self._rng = chance or random.Random()
        self._progress = progress
        self._timeouts = Timeouts(progress=answer_timeout)
        self._headers = {"authorization": f"Bearer {key}"}
        self._address_book = AddressBook(
            seeds=seeds, clock=self._clock, rng=self._rng
        )

    async def stream(
        self, *, service: str, prompt: str, max_output_tokens: int | None = None
    ) -> AsyncGenerator[StreamItem, None]:
        """Yields the items of a generation as they arrive.

        Each piece of text is yielded once, also after a reconnect.

        Raises:
            RefusedError: the system refused the request.
            GenerationFailedError: the generation ended before it was complete.
            UnreachableError: all attempts to reach the system failed.
        """
        body: dict[str, Any] = {
            "model": service,
            "input": prompt,
            "stream": True,
        }
        if max_output_tokens is not None:
            body["max_output_tokens"] = max_output_tokens
        position = StreamPosition()
        backoff = RetryBackoff(clock=self._clock, rng=self._rng)
        while True:
            try:
                async with aclosing(self._stream_once(body, position)) as items:
                    async for item in items:
                        backoff.reset()
                        yield item
                return
            except (TransportError, RefusedError) as error:
                await backoff.wait(error)

    async def cancel(self, response_id: str) -> dict[str, Any]:
        """Cancels a generation and returns its response object.

        Raises:
            RefusedError: the system refused the request.
            UnreachableError: all attempts to reach the system failed.
        """
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
            path: the path within the service, with the query.
            body: the body.
            headers: additional request headers.
            idempotency_key: a UUID of version 6 or 7. If empty, a new one is
                generated. Pass the same key again to get the outcome of an
                earlier call.

        Raises:
            RefusedError: the system refused the request.
            UnreachableError: all attempts to reach the system failed.
        """
        call_headers = dict(headers or {})
        if method not in _SAFE_METHODS:
            call_headers["idempotency-key"] = idempotency_key or str(
                uuid6.uuid7()
            )
        return await self._request(
            method,
            f"/v1/services/{service}/{path.lstrip('/')}",
            body,
            call_headers,
        )

    async def _request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> ServiceAnswer:
        backoff = RetryBackoff(clock=self._clock, rng=self._rng)
        while True:
            address = await self._choose_address()
            try:
                return await self._send(address, method, path, body, headers)
            except (TransportError, RefusedError) as error:
                if isinstance(error, TransportError):
                    self._address_book.record_failure(address)
                await backoff.wait(error)

    async def _send(
        self,
        address: EntryAddress,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> ServiceAnswer:
        request = self._build_request(address, method, path, body, headers)
        async with build_single_use_pool(tcp_keepalive=True) as pool:
            response = await send_request(pool, request)
            data = await read_response_body(response)
        answer = ServiceAnswer(
            status=response.status, headers=_read_headers(response), body=data
        )
        _raise_refusal(answer)
        return answer

    async def _stream_once(
        self, body: dict[str, Any], position: StreamPosition
    ) -> AsyncGenerator[StreamItem, None]:
        address = await self._choose_address()
        request = self._build_stream_request(address, body, position)
        try:
            async with build_single_use_pool(tcp_keepalive=True) as pool:
                response = await send_request(pool, request)
                if response.status != _STATUS_OK:
                    data = await read_response_body(response)
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
            self._address_book.record_failure(address)
            raise

    def _build_stream_request(
        self,
        address: EntryAddress,
        body: dict[str, Any],
        position: StreamPosition,
    ) -> httpcore.Request:
        if not position.response_id:
            data = msgspec.json.encode(body)
            return self._build_request(
                address, "POST", "/v1/responses", data, {}
            )
        path = (
            f"/v1/responses/{position.response_id}"
            f"?stream=true&starting_after={position.last_sequence_number}"
        )
        return self._build_request(address, "GET", path, b"", {})

    def _build_request(
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

    async def _choose_address(self) -> EntryAddress:
        """Returns the next address; refreshes expired addresses first.

        If the refresh fails, the client keeps using the known addresses.
        """
        if self._address_book.expired:
            address = self._address_book.choose()
            try:
                answer = await self._send(
                    address, "GET", "/v1/entries", b"", {}
                )
                self._address_book.update(
                    msgspec.json.decode(answer.body, type=EntryAnswer)
                )
            except TransportError:
                self._address_book.record_failure(address)
            except (RefusedError, msgspec.DecodeError):
                pass
        return self._address_book.choose()


def _raise_refusal(answer: ServiceAnswer) -> None:
    if "problem+json" not in answer.headers.get("content-type", ""):
        return
    try:
        problem = msgspec.json.decode(answer.body, type=Problem)
    except msgspec.DecodeError as error:
        raise MalformedAnswerError(
            f"the response's problem document is malformed: {error}"
        ) from error
    raise RefusedError(problem=problem)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
