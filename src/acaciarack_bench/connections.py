"""Faults of the engine stand-in's connections."""

import enum

import trio

from acaciarack.errors import AcaciarackError


class ConnectionCutError(AcaciarackError):
    """A connection is cut by a fault."""


class EngineFault(enum.StrEnum):
    """What a control call does.

    Attributes:
        DIE: cuts every connection, forgets every generation and cuts every
            new call until ``REVIVE``.
        REVIVE: ends ``DIE``; nothing of before is known.
        CUT: cuts open streams; generations go on.
        SILENCE: open streams go silent for good; new ones work.
        FREEZE: no step is run until ``THAW``.
        THAW: ends ``FREEZE``.
        LEAVE: refuses new generations and reports that it is leaving.
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


class Connections:
    """The fate of the streams that are open at one time."""

    def __init__(self) -> None:
        self.cut = False
        self.silent = False

    async def check(self) -> None:
        """Brings about the fault that these streams are subject to.

        Raises:
            ConnectionCutError: they are to be cut.
        """
        if self.cut:
            raise ConnectionCutError("the connection is cut by request")
        if self.silent:
            await trio.sleep_forever()
