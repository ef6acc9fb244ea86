"""Converts failed results into the errors of the operators' RPCs."""

from typing import NoReturn, TypeVar

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from acaciarack._schema import operators_pb as pb
from acaciarack.changes import (
    MAX_EDITS,
)
from acaciarack.conversion import build_message
from acaciarack.errors import Refusal, RefusalCode
from acaciarack.publication_messages import (
    Conflict,
    Invalid,
    Publication,
    Published,
)
from acaciarack.validation import ConfigurationFault

T = TypeVar("T")
_MAX_SHOWN_FAULTS = 20
_CODES: dict[RefusalCode, Code] = {
    RefusalCode.INVALID_REQUEST: Code.INVALID_ARGUMENT,
    RefusalCode.NOT_FOUND: Code.NOT_FOUND,
    RefusalCode.CONFLICT: Code.ABORTED,
    RefusalCode.OUTCOME_UNKNOWN: Code.UNKNOWN,
}


def require_published(publication: Publication) -> int:
    """Returns the new version.

    Raises:
        ConnectError: the change was rejected or is not confirmed.
    """
    if not isinstance(publication, Published):
        _raise_unpublished(publication)
    return publication.version


def _raise_unpublished(publication: Conflict | Invalid | Refusal) -> NoReturn:
    if isinstance(publication, Conflict):
        _raise_conflict(publication)
    if isinstance(publication, Invalid):
        raise_faults(publication.reason, publication.faults)
    raise_refusal(publication)


def _raise_conflict(conflict: Conflict) -> NoReturn:
    objects = ", ".join(conflict.objects)
    raise ConnectError(
        Code.ABORTED,
        f"modified by someone else meanwhile: {objects}; version"
        f" {conflict.version} is in force; read it and try again",
        [build_message(pb.ConflictDetail, conflict)],
    )


def raise_faults(
    reason: str, faults: tuple[ConfigurationFault, ...] = ()
) -> NoReturn:
    """Raises the error for an invalid request or configuration."""
    shown_faults = faults[:_MAX_SHOWN_FAULTS]
    text = "\n".join(str(fault) for fault in shown_faults) or reason
    raise ConnectError(
        Code.INVALID_ARGUMENT,
        text,
        [build_message(pb.Fault, fault) for fault in shown_faults],
    )


def raise_refusal(refusal: Refusal) -> NoReturn:
    """Raises the error for a refusal."""
    code = _CODES.get(refusal.code, Code.UNAVAILABLE)
    raise ConnectError(code, refusal.detail)


def raise_not_found(kind: str, name: str) -> NoReturn:
    """Raises the error for an object that does not exist."""
    raise ConnectError(Code.NOT_FOUND, f"there is no {kind} named {name!r}")


def require_component(component: T | None, name: str) -> T:
    """Returns the component.

    Raises:
        ConnectError: the node runs without the component.
    """
    if component is None:
        raise ConnectError(
            Code.UNIMPLEMENTED, f"this node is run without {name}"
        )
    return component


def require_edits(count: int) -> None:
    """Checks the number of edits in a draft.

    Raises:
        ConnectError: the draft has no edits or more than ``MAX_EDITS``.
    """
    if not 1 <= count <= MAX_EDITS:
        raise ConnectError(
            Code.INVALID_ARGUMENT,
            f"{count} edits; allowed are 1 to {MAX_EDITS}",
        )
