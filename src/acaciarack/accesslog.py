"""Writes one log line for each finished request."""

import logbook

from acaciarack.observations import ObservationSink, RequestObservation

_log = logbook.Logger("acaciarack.access")


class AccessLog:
    """Logs each observation and forwards it; never logs prompt text."""

    def __init__(self, *, sink: ObservationSink) -> None:
        self._sink = sink

    def __call__(self, observation: RequestObservation) -> None:
        """Logs one request and forwards the observation."""
        placements = [
            attempt.placement.target
            for attempt in observation.attempts
            if attempt.placement is not None
        ]
        refusal = observation.refusal
        ttft = observation.ttft
        _log.info(
            "request ended",
            extra={
                "request_id": observation.request_id,
                "organisation": observation.organisation,
                "service": observation.service,
                "version": observation.configuration_version,
                "targets": placements,
                "duration_seconds": observation.duration.total_seconds(),
                "ttft_seconds": ttft.total_seconds() if ttft else None,
                "stall_seconds": observation.stall.total_seconds(),
                "tokens": observation.tokens,
                "code": str(refusal.code) if refusal else "",
                "outcome": str(refusal.outcome) if refusal else "",
                "caller_left": observation.caller_left,
                "resumed": observation.resumed,
            },
        )
        self._sink(observation)
