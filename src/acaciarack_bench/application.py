"""A stand-in for an application server that counts executions by key."""

from collections import Counter
from collections.abc import AsyncIterator
from datetime import timedelta

import msgspec
import trio

from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError, Refusal
from acaciarack.loads import LoadReport
from acaciarack.web import (
    App,
    Endpoint,
    Reply,
    Request,
    StreamReply,
    build_json_reply,
)
from acaciarack_bench.reports import (
    DEFAULT_REPORT_INTERVAL,
    build_load_reply,
    delay_reports,
    refuse_invalid,
)


class AnswerLostError(AcaciarackError):
    """The server closes the connection instead of sending the response."""


class ApplicationFaults(msgspec.Struct, kw_only=True):
    """The active faults; tests and the control endpoint change them.

    Attributes:
        refusing: whether the server rejects calls with status 503 without
            running them.
        silent: whether the server neither runs nor answers calls.
        work_seconds: how long a call runs.
        lost_answers: the number of further calls that run but get no response.
        leaving: whether the load reports say that the server is leaving.
    """

    refusing: bool = False
    silent: bool = False
    work_seconds: float = 0.0
    lost_answers: int = 0
    leaving: bool = False


class ExecutedCall(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a call, which describes its execution.

    Attributes:
        server: the server's name.
        method: the call's method.
        path: the call's path.
        key: the call's ``Idempotency-Key``; empty if it had none.
        execution: the number of executions of this key, including this one.
        body: the call's body as text.
    """

    server: str
    method: str
    path: str
    key: str
    execution: int
    body: str


class ApplicationStandIn:
    """An application server that runs every call and counts executions by key.

    It does not deduplicate calls with the same key, so that a test can detect
    repeated executions.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        report_interval: timedelta = DEFAULT_REPORT_INTERVAL,
        report_lag: timedelta = timedelta(),
    ) -> None:
        """Creates a server.

        Args:
            name: the target's name in its load reports.
            clock: the clock.
            report_interval: the time between two load reports.
            report_lag: the delay of each report.
        """
        self.faults = ApplicationFaults()
        self.executions: Counter[str] = Counter()
        self._name = name
        self._clock = clock
        self._report_interval = report_interval
        self._report_lag = report_lag
        self._running = 0

    def build_app(self) -> App:
        """Builds the ASGI application, with control endpoints."""
        return App(
            endpoints=(
                Endpoint(
                    method="GET",
                    pattern="/v1/executions",
                    handler=self._list_executions,
                ),
                Endpoint(
                    method="GET", pattern="/v1/load", handler=self._stream_load
                ),
                Endpoint(
                    method="PUT",
                    pattern="/control/faults",
                    handler=self._set_faults,
                ),
                Endpoint(method="*", pattern="{path*}", handler=self._run),
            )
        )

    def measure_load(self) -> LoadReport:
        """Returns the current load."""
        return LoadReport(
            target=self._name,
            time=self._clock.now(),
            capacity_tokens=0,
            used_tokens=0,
            running=self._running,
            waiting=0,
            leaving=self.faults.leaving,
        )

    async def _run(self, request: Request) -> Reply | StreamReply:
        if self.faults.refusing:
            return build_json_reply({"detail": "refusing"}, status=503)
        body = await request.read_body()
        if self.faults.silent:
            await trio.sleep_forever()
        key = request.headers.get("idempotency-key", "")
        self.executions[key] += 1
        execution = self.executions[key]
        self._running += 1
        try:
            await self._clock.sleep(timedelta(seconds=self.faults.work_seconds))
        finally:
            self._running -= 1
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return StreamReply(chunks=_abort_response())
        return build_json_reply(
            ExecutedCall(
                server=self._name,
                method=request.method,
                path=request.path,
                key=key,
                execution=execution,
                body=body.decode(errors="replace"),
            )
        )

    async def _list_executions(self, request: Request) -> Reply:
        return build_json_reply(
            {"executions": self.executions, "total": self.executions.total()}
        )

    async def _stream_load(self, request: Request) -> StreamReply:
        reports = delay_reports(
            clock=self._clock,
            measure_load=self.measure_load,
            interval=self._report_interval,
            lag=self._report_lag,
        )
        return build_load_reply(reports)

    async def _set_faults(self, request: Request) -> Reply | Refusal:
        body = await request.read_body()
        try:
            self.faults = msgspec.json.decode(body, type=ApplicationFaults)
        except msgspec.DecodeError as error:
            return refuse_invalid(str(error))
        return build_json_reply(self.faults)


async def _abort_response() -> AsyncIterator[bytes]:
    raise AnswerLostError("response dropped by an injected fault")
    yield b""
