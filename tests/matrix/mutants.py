"""Mutation tests: disables one mechanism at a time; a cell must then fail.

Each mutant patches the product from outside, so that the product contains no
test switches.
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
from acaciarack._ledger_index import LedgerIndex, ValidityWindow, Verdict
from acaciarack._ledger_partition import Partition
from acaciarack.delivery import ResponseWriter
from acaciarack.drains import NodeDrain
from acaciarack.ledger import LogLedger, _build_result
from acaciarack.platform import AppendUnknownError, LogUnavailableError
from acaciarack.records import Claim, Void, build_outcome
from acaciarack.replicas import Replica
from acaciarack.seals import Sealer
from acaciarack.transports import Timeouts
from tests.matrix.cells import Path, draw_pairs, list_single_cells
from tests.matrix.command import EXCEPTION_PREFIX, evaluate_cell
from tests.matrix.loopback import Mode, run_proxy_mode

SEEDS = range(1, 6)
PAIR_COUNT = 200


def _build_claim(ledger, call):
    return Claim(
        key_id=call.key_id,
        claimant=uuid.uuid4().bytes,
        digest=call.digest,
        created=call.created,
        node=ledger._node,
    )


async def _claim_without_read_back(self, call, partition):
    claim = _build_claim(self, call)
    with suppress(AppendUnknownError):
        await partition.append(claim)
    return await self._handle_verdict(call, partition, claim, Verdict.FIRST)


async def _dispatch_before_claim(self, call, partition):
    claim = _build_claim(self, call)
    result = await self._dispatch(call)
    call.set_result(_build_result(result, replayed=False))
    with suppress(AppendUnknownError, LogUnavailableError):
        await partition.append(claim)
    await self._record_outcome(partition, build_outcome(claim, result), claim)
    return _build_result(result, replayed=False)


_original_apply = LedgerIndex.apply


def _apply_without_voids(self, entry, record):
    if isinstance(record, Void) and self.find(record.key_id) is None:
        return Verdict.FIRST
    return _original_apply(self, entry, record)


_original_advance = relay._advance


def _advance_without_sequence_check(progress, head):
    progress.last_sequence_number = head.sequence_number - 1
    _original_advance(progress, head)


def _bind_any_response(progress, head):
    progress.engine_id = progress.engine_id or head.response.id


_original_unseal = Sealer.unseal


def _unseal_for_any_organisation(self, text, *, organisation):
    unsealed_ids = (
        _original_unseal(self, text, organisation=name)
        for name in (organisation, "clinic", "household")
    )
    return next((sealed for sealed in unsealed_ids if sealed), None)


def _adopt_any_version(self, state):
    self._newest_state = self._state = state
    self._next_offset = state.applied_offset + 1
    return True


async def _drain_without_waiting_for_requests(self):
    while not self._is_refusing():
        self._update_drain_start()
        await trio.sleep(0.25)


@dataclass(frozen=True, kw_only=True)
class Mutant:
    """A disabled mechanism: its patches and the path that must detect it.

    If ``path`` is ``None``, a stream through the fault proxy must detect it.
    """

    path: Path | None
    patches: tuple[Callable, ...]


def _patch_attribute(owner, name, value):
    return lambda: patch.object(owner, name, value)


MUTANTS = {
    "claim read back first": Mutant(
        path=Path.CALL,
        patches=(
            _patch_attribute(LogLedger, "_claim", _claim_without_read_back),
        ),
    ),
    "claim before dispatch": Mutant(
        path=Path.CALL,
        patches=(
            _patch_attribute(LogLedger, "_claim", _dispatch_before_claim),
        ),
    ),
    "void precedence": Mutant(
        path=Path.CALL,
        patches=(_patch_attribute(LedgerIndex, "apply", _apply_without_voids),),
    ),
    "key age": Mutant(
        path=Path.CALL,
        patches=(
            _patch_attribute(
                ValidityWindow, "includes", lambda self, **_: True
            ),
        ),
    ),
    "full window before a verdict": Mutant(
        path=Path.CALL,
        patches=(
            _patch_attribute(Partition, "is_ready", lambda self: True),
            _patch_attribute(
                Partition, "has_read_all", lambda self, created: True
            ),
        ),
    ),
    "refusal at once": Mutant(
        path=Path.CALL,
        patches=(
            _patch_attribute(Partition, "is_reachable", lambda self: True),
        ),
    ),
    "sequence check": Mutant(
        path=Path.GENERATION,
        patches=(
            _patch_attribute(
                relay, "_advance", _advance_without_sequence_check
            ),
        ),
    ),
    "generation binding": Mutant(
        path=Path.GENERATION,
        patches=(
            _patch_attribute(relay, "_bind_response", _bind_any_response),
            _patch_attribute(relay, "_bind_item", lambda *_: None),
        ),
    ),
    "organisation in the sealed id": Mutant(
        path=Path.GENERATION,
        patches=(
            _patch_attribute(Sealer, "unseal", _unseal_for_any_organisation),
        ),
    ),
    "retry only before the first token": Mutant(
        path=Path.GENERATION,
        patches=(_patch_attribute(ResponseWriter, "can_retry", True),),
    ),
    "drain wait": Mutant(
        path=Path.GENERATION,
        patches=(
            _patch_attribute(
                NodeDrain, "run", _drain_without_waiting_for_requests
            ),
        ),
    ),
    "progress deadline": Mutant(
        path=None,
        patches=(
            _patch_attribute(Timeouts, "build_extensions", lambda self: {}),
        ),
    ),
    "never-lower version": Mutant(
        path=Path.PUBLICATION,
        patches=(_patch_attribute(Replica, "adopt", _adopt_any_version),),
    ),
    "conflict check": Mutant(
        path=Path.PUBLICATION,
        patches=(_patch_attribute(changes, "_find_conflicts", lambda *_: ()),),
    ),
}


def list_cells(path):
    singles = itertools.chain(*(list_single_cells(seed) for seed in SEEDS))
    cells = itertools.chain(singles, draw_pairs(PAIR_COUNT, SEEDS[0]))
    return (cell for cell in cells if cell.path is path)


def detect_mutant(name):
    """Runs cells with a mutant until one of them fails.

    Returns:
        The cell, or ``None`` if all passed; its violations; the number of runs.
    """
    mutant = MUTANTS[name]
    with ExitStack() as stack:
        for build_patch in mutant.patches:
            stack.enter_context(build_patch())
        if mutant.path is None:
            return detect_mutant_by_proxy()
        for run_count, cell in enumerate(list_cells(mutant.path), 1):
            violations, _ = evaluate_cell(cell)
            # An exception from the patched code does not count as detection.
            if violations and not violations[0].startswith(EXCEPTION_PREFIX):
                return cell, violations, run_count
    return None, [], run_count


def detect_mutant_by_proxy():
    for run_count, mode in enumerate(Mode, 1):
        violations = run_proxy_mode(mode)
        if violations:
            return f"loopback relay {mode}", violations, run_count
    return None, [], len(Mode)


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.matrix.mutants")
    parser.add_argument("names", nargs="*", default=list(MUTANTS))
    survived = []
    for name in parser.parse_args().names:
        cell, violations, run_count = detect_mutant(name)
        if cell is None:
            survived.append(name)
            print(f"SURVIVED {name}: {run_count} runs", flush=True)
            continue
        text = violations[0].strip().splitlines()[-1][:100]
        print(
            f"caught   {name}: {getattr(cell, 'name', cell)}"
            f" (run {run_count}): {text}",
            flush=True,
        )
    print(f"{len(MUTANTS)} mutants, survived: {survived or 'none'}")
    return 1 if survived else 0


if __name__ == "__main__":
    raise SystemExit(main())
