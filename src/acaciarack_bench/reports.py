"""Shared helpers of the stand-ins: events, load reports and refusals."""

from collections import deque
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from typing import Any

import msgspec

from acaciarack.clock import Clock
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.loads import LoadReport
from acaciarack.web import StreamReply

EVENT_STREAM_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
}
DEFAULT_REPORT_INTERVAL = timedelta(milliseconds=100)


def encode_event(name: str, value: Any) -> bytes:
    """Encodes one server-sent event with ``value`` as JSON data."""
    data = msgspec.json.encode(value)
    return b"event: " + name.encode() + b"\ndata: " + data + b"\n\n"


async def delay_reports(
    *,
    clock: Clock,
    measure_load: Callable[[], LoadReport],
    interval: timedelta = DEFAULT_REPORT_INTERVAL,
    lag: timedelta = timedelta(),
) -> AsyncIterator[LoadReport]:
    """Yields one load report per interval.

    Yields each report no earlier than ``lag`` after its measurement.
    """
    pending: deque[LoadReport] = deque()
    while True:
        pending.append(measure_load())
        while pending and pending[0].time <= clock.now() - lag:
            yield pending.popleft()
        await clock.sleep(interval)


def build_load_reply(reports: AsyncIterator[LoadReport]) -> StreamReply:
    """Builds the reply that streams load reports as events."""
    return StreamReply(
        headers=EVENT_STREAM_HEADERS, chunks=_encode_reports(reports)
    )


async def _encode_reports(
    reports: AsyncIterator[LoadReport],
) -> AsyncIterator[bytes]:
    async for report in reports:
        yield encode_event("load", report)


def refuse_invalid(detail: str) -> Refusal:
    """Builds the refusal of a request that a stand-in cannot parse."""
    return Refusal(
        code=RefusalCode.INVALID_REQUEST,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
    )
