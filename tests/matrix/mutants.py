"""Mechanisms switched off one at a time; the matrix must turn red.

Nothing in the product knows of this: each mutant patches it from outside.
"""

import argparse
import itertools
import uuid
from collections.abc import Callable
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from unittest.mock import patch

import trio

from acaciarack import changes, relay
from acaciarack._ledger_index import LedgerIndex, Verdict, Window
from acaciarack._ledger_partition import Partition
from acaciarack.delivery import AnswerWriter
from acaciarack.drains import Departure
from acaciarack.ledger import LogLedger, _build_result
from acaciarack.platform import AppendUnknownError, LogUnavailableError
from acaciarack.records import Claim, Void, build_outcome
from acaciarack.replicas import Replica
from acaciarack.seals import Sealer
from tests.matrix.cells import Path, draw_pairs, list_single_cells
from tests.matrix.command import RAISED, judge

SEEDS = range(1, 6)
PAIRS = 200


def _build_claim(ledger, call):
    return Claim(
        key_id=call.key_id,
        claimant=uuid.uuid4().bytes,
        digest=call.digest,
        created=call.created,
        node=ledger._node,
    )


async def _act_unread(self, call, partition):
    claim = _build_claim(self, call)
    with suppress(AppendUnknownError):
        await partition.append(claim)
    return await self._act(call, partition, claim, Verdict.FIRST)


async def _dispatch_unclaimed(self, call, partition):
    claim = _build_claim(self, call)
    result = await self._dispatch(call)
    call.end(_build_result(result, replayed=False))
    with suppress(AppendUnknownError, LogUnavailableError):
        await partition.append(claim)
    await self._record(partition, build_outcome(claim, result), claim)
    return _build_result(result, replayed=False)


_apply = LedgerIndex.apply


def _apply_without_voids(self, entry, record):
    if isinstance(record, Void) and self.find(record.key_id) is None:
        return Verdict.FIRST
    return _apply(self, entry, record)


_advance = relay._advance


def _advance_unchecked(progress, head):
    progress.last = head.sequence_number - 1
    _advance(progress, head)


def _bind_any_response(progress, head):
    progress.engine_id = progress.engine_id or head.response.id


_unseal = Sealer.unseal


def _unseal_for_anyone(self, text, *, organisation):
    found = (
        _unseal(self, text, organisation=name)
        for name in (organisation, "clinic", "household")
    )
    return next((sealed for sealed in found if sealed), None)


def _adopt_any(self, state):
    self._shown = self._state = state
    self._next = state.applied_offset + 1
    return True


async def _leave_at_once(self):
    while not self._is_closed():
        self._follow()
        await trio.sleep(0.25)


@dataclass(frozen=True, kw_only=True)
class Mutant:
    """A mechanism, the path that must notice and what to patch."""

    path: Path
    patches: tuple[Callable, ...]


def _replace(owner, name, value):
    return lambda: patch.object(owner, name, value)


MUTANTS = {
    "claim read back first": Mutant(
        path=Path.CALL, patches=(_replace(LogLedger, "_claim", _act_unread),)
    ),
    "claim before dispatch": Mutant(
        path=Path.CALL,
        patches=(_replace(LogLedger, "_claim", _dispatch_unclaimed),),
    ),
    "void precedence": Mutant(
        path=Path.CALL,
        patches=(_replace(LedgerIndex, "apply", _apply_without_voids),),
    ),
    "key age": Mutant(
        path=Path.CALL,
        patches=(_replace(Window, "includes", lambda self, **_: True),),
    ),
    "full window before a verdict": Mutant(
        path=Path.CALL,
        patches=(
            _replace(Partition, "is_ready", lambda self: True),
            _replace(Partition, "knows_all", lambda self, created: True),
        ),
    ),
    "refusal at once": Mutant(
        path=Path.CALL,
        patches=(_replace(Partition, "is_reachable", lambda self: True),),
    ),
    "sequence check": Mutant(
        path=Path.GENERATION,
        patches=(_replace(relay, "_advance", _advance_unchecked),),
    ),
    "generation binding": Mutant(
        path=Path.GENERATION,
        patches=(
            _replace(relay, "_bind_response", _bind_any_response),
            _replace(relay, "_bind_item", lambda *_: None),
        ),
    ),
    "organisation in the sealed id": Mutant(
        path=Path.GENERATION,
        patches=(_replace(Sealer, "unseal", _unseal_for_anyone),),
    ),
    "retry only before the first token": Mutant(
        path=Path.GENERATION,
        patches=(_replace(AnswerWriter, "may_rerun", True),),
    ),
    "drain wait": Mutant(
        path=Path.GENERATION,
        patches=(_replace(Departure, "run", _leave_at_once),),
    ),
    "never-lower version": Mutant(
        path=Path.PUBLICATION,
        patches=(_replace(Replica, "adopt", _adopt_any),),
    ),
    "conflict check": Mutant(
        path=Path.PUBLICATION,
        patches=(_replace(changes, "_find_conflicts", lambda *_: ()),),
    ),
}


def list_cells(path):
    singles = itertools.chain(*(list_single_cells(seed) for seed in SEEDS))
    cells = itertools.chain(singles, draw_pairs(PAIRS, SEEDS[0]))
    return (cell for cell in cells if cell.path is path)


def hunt(name):
    """Returns the first cell that catches a mutant, and what it saw."""
    mutant = MUTANTS[name]
    with ExitStack() as stack:
        for change in mutant.patches:
            stack.enter_context(change())
        for number, cell in enumerate(list_cells(mutant.path), 1):
            violations, _ = judge(cell)
            # A run that the mutant breaks off shows nothing.
            if violations and not violations[0].startswith(RAISED):
                return cell, violations, number
    return None, [], number


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.matrix.mutants")
    parser.add_argument("names", nargs="*", default=list(MUTANTS))
    survived = []
    for name in parser.parse_args().names:
        cell, violations, number = hunt(name)
        if cell is None:
            survived.append(name)
            print(f"SURVIVED {name}: {number} runs", flush=True)
            continue
        text = violations[0].strip().splitlines()[-1][:100]
        print(
            f"caught   {name}: {cell.name} (run {number}): {text}", flush=True
        )
    print(f"{len(MUTANTS)} mutants, survived: {survived or 'none'}")
    return 1 if survived else 0


if __name__ == "__main__":
    raise SystemExit(main())
