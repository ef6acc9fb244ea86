"""Logs and counts input from other programs that cannot be decoded."""

import enum

import logbook

from acaciarack.gateway.meters import Event, Meters, NullMeters

MAX_KNOWN_CAUSES = 1000
"""How many causes are remembered. A cause beyond that replaces the oldest one,
which is then logged again if it recurs."""
_MAX_TEXT_CHARACTERS = 120

_log = logbook.Logger("acaciarack.gateway.input")


class InputKind(enum.StrEnum):
    """What could not be decoded; the value is the outcome in the metric.

    Attributes:
        RECORD: a record of the platform's store.
        MESSAGE: a message of another node.
        REPORT: an engine's report, or its answer to a copy request.
        CALLER_HEADER: a header of a caller's request.
        TARGET_HEADER: a header of a target's response.
        TARGET_HEAD: the head of a target's response.
    """

    RECORD = "record"
    MESSAGE = "message"
    REPORT = "report"
    CALLER_HEADER = "caller_header"
    TARGET_HEADER = "target_header"
    TARGET_HEAD = "target_head"


class MalformedInputLog:
    """Counts all malformed input, and logs each source's causes once."""

    def __init__(self, *, meters: Meters | None = None) -> None:
        self._meters = meters or NullMeters()
        # The oldest cause first.
        self._known_causes: dict[tuple[str, ...], None] = {}

    def record(
        self, kind: InputKind, cause: object, *, source: str, key: str = ""
    ) -> None:
        """Counts an input, and logs it if its cause is new for the source.

        Args:
            kind: what could not be decoded.
            cause: the error, or a text that describes it.
            source: who sent the input, such as the name of a node.
            key: names the input within its kind: the key of a record, or the
                name of a header.
        """
        self._meters.count(Event.MALFORMED_INPUTS, str(kind))
        texts = [
            text[:_MAX_TEXT_CHARACTERS] for text in (source, key, str(cause))
        ]
        known = (str(kind), *texts)
        if known in self._known_causes:
            return
        if len(self._known_causes) >= MAX_KNOWN_CAUSES:
            del self._known_causes[next(iter(self._known_causes))]
        self._known_causes[known] = None
        short_source, short_key, short_cause = texts
        _log.warning(
            "malformed {} ignored: {}",
            kind,
            short_cause,
            extra={
                "kind": str(kind),
                "code": short_key,
                "detail": short_source,
            },
        )
