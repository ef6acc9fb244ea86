"""Faults of the engine stand-in and their effect on open connections."""

import enum

import trio

from acaciarack.errors import AcaciarackError


class ConnectionCutError(AcaciarackError):
    """A fault closes the connection."""


class EngineFault(enum.StrEnum):
    """A fault to start or end, as a control request names it.

    Attributes:
        DIE: closes all connections, drops all generations and closes the
            connection of each new request until ``REVIVE``.
        REVIVE: ends ``DIE``; the dropped generations stay unknown.
        CUT: closes the open streams; their generations continue.
        SILENCE: open streams send nothing more and stay open; new streams
            work.
        FREEZE: runs no engine step until ``THAW``.
        THAW: ends ``FREEZE``.
        LEAVE: refuses new generations and reports that the engine is leaving.
        STAY: ends ``LEAVE``.
    """

    DIE = "die"
    REVIVE = "revive"
    CUT = "cut"
    SILENCE = "silence"
    FREEZE = "freeze"
    THAW = "thaw"
    LEAVE = "leave"
    STAY = "stay"


class ConnectionGroup:
    """Connections that one fault closes or silences together.

    Attributes:
        cut: whether the connections close.
        silent: whether the connections send nothing more.
    """

    def __init__(self) -> None:
        self.cut = False
        self.silent = False

    async def apply_fault(self) -> None:
        """Applies the fault of these connections, if there is one.

        Never returns if the connections are silent.

        Raises:
            ConnectionCutError: a fault closes the connections.
        """
        if self.cut:
            raise ConnectionCutError("connection closed by an injected fault")
        if self.silent:
            await trio.sleep_forever()
