"""The cells of the fault matrix: a path, a step of it and faults."""

import dataclasses
import enum
import random


class Path(enum.StrEnum):
    """What a cell drives; each path has a module of its own."""

    CALL = "call"
    GENERATION = "generation"
    PUBLICATION = "publication"
    LEAVING = "leaving"


class Step(enum.StrEnum):
    ACCEPT = "accept"
    ADMISSION = "admission"
    CLAIM = "claim"
    READ_BACK = "read_back"
    DISPATCH = "dispatch"
    EXECUTED = "executed"
    FIRST_TOKEN = "first_token"
    MIDDLE = "middle"
    LAST_TOKEN = "last_token"
    OUTCOME = "outcome"
    PUBLISH = "publish"
    VERDICT = "verdict"
    APPLY = "apply"
    DRAIN = "drain"


class Fault(enum.StrEnum):
    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    SILENT = "silent"
    DELAY = "delay"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_SLOW = "platform_slow"
    ANSWER_LOST = "answer_lost"
    LAPSED = "lapsed"
    RACING = "racing"
    STALE_VMS = "stale_vms"
    RECLAIMED = "reclaimed"
    CROSSED = "crossed"
    PLANNED_STOP = "planned_stop"


STEPS = {
    Path.CALL: (
        Step.ACCEPT,
        Step.ADMISSION,
        Step.CLAIM,
        Step.READ_BACK,
        Step.DISPATCH,
        Step.EXECUTED,
        Step.OUTCOME,
    ),
    Path.GENERATION: (
        Step.ACCEPT,
        Step.ADMISSION,
        Step.DISPATCH,
        Step.FIRST_TOKEN,
        Step.MIDDLE,
        Step.LAST_TOKEN,
    ),
    Path.PUBLICATION: (Step.PUBLISH, Step.VERDICT, Step.APPLY),
    Path.LEAVING: (Step.DRAIN,),
}

# Steps at which a node speaks with the log, with a target and with a caller.
LOG_STEPS = frozenset(
    {
        Step.CLAIM,
        Step.READ_BACK,
        Step.OUTCOME,
        Step.PUBLISH,
        Step.VERDICT,
        Step.APPLY,
    }
)
TARGET_STEPS = frozenset(
    {
        Step.DISPATCH,
        Step.EXECUTED,
        Step.FIRST_TOKEN,
        Step.MIDDLE,
        Step.LAST_TOKEN,
    }
)
STREAM_STEPS = frozenset({Step.FIRST_TOKEN, Step.MIDDLE, Step.LAST_TOKEN})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Injection:
    """One fault at the first, second, ... time that a step is reached."""

    step: Step
    fault: Fault
    visit: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """One run: all that is drawn in it comes from the seed."""

    path: Path
    injections: tuple[Injection, ...]
    seed: int

    @property
    def name(self):
        parts = [
            f"{item.step}:{item.fault}"
            + (f":{item.visit}" if item.visit > 1 else "")
            for item in self.injections
        ]
        return f"{self.path} {'+'.join(parts)} {self.seed}"

    @property
    def command(self):
        return f"python -m tests.matrix --cell '{self.name}'"


def parse_cell(text):
    """Reads a cell's name."""
    path, parts, seed = text.split()
    injections = []
    for part in parts.split("+"):
        step, fault, *visit = part.split(":")
        injections.append(
            Injection(
                step=Step(step),
                fault=Fault(fault),
                visit=int(visit[0]) if visit else 1,
            )
        )
    return Cell(path=Path(path), injections=tuple(injections), seed=int(seed))


def explain_not_applicable(path, step, fault):
    """Returns why a cell makes no sense; empty if it does."""
    if path is Path.LEAVING:
        return _LEAVING.get(fault, "")
    if fault in (Fault.KILL, Fault.FREEZE):
        return ""
    if path is Path.PUBLICATION:
        if fault is Fault.CROSSED and step is not Step.APPLY:
            return "the log answers on the connection that asked"
        return _PUBLICATION.get(fault, "")
    if fault is Fault.PLANNED_STOP:
        return ""
    if path is Path.GENERATION:
        return _explain_generation(step, fault)
    return _explain_call(step, fault)


_PUBLICATION = {
    Fault.STALE_VMS: "no step asks for targets",
    Fault.RECLAIMED: "no step uses a target",
    Fault.PLANNED_STOP: "same as kill: a change is one append",
}
_LEAVING = {
    Fault.FREEZE: "tests.test_membership.PauseTest moves the node's clock",
    Fault.DELAY: "reports and links are late by their own intervals",
    Fault.ANSWER_LOST: "nothing with an effect is asked for",
    Fault.LAPSED: "no lease is held",
    Fault.CROSSED: "reports name their target",
    Fault.RACING: "drained and undrained: a cell of the publication",
}


def _explain_generation(step, fault):
    if fault in (Fault.PLATFORM_DOWN, Fault.PLATFORM_SLOW):
        return "no step asks the platform"
    if fault is Fault.LAPSED:
        return "no lease is held"
    if fault is Fault.CROSSED and step not in STREAM_STEPS:
        return "no event is on its way"
    if fault is Fault.STALE_VMS and step in STREAM_STEPS:
        return "the target is chosen already"
    if fault in (Fault.SILENT, Fault.DELAY) and step is Step.ADMISSION:
        return "admission asks nobody"
    if fault is Fault.ANSWER_LOST and step is not Step.DISPATCH:
        return "only the start has an effect"
    return ""


def _explain_call(step, fault):
    if fault is Fault.CROSSED:
        return "one call on one connection; tests.test_services binds the ids"
    if fault is Fault.STALE_VMS and step not in (
        Step.ADMISSION,
        Step.DISPATCH,
    ):
        return "the target is not yet or already chosen"
    if fault in (Fault.SILENT, Fault.DELAY) and step is Step.ADMISSION:
        return "admission asks nobody"
    links = LOG_STEPS | TARGET_STEPS
    if fault is Fault.ANSWER_LOST and step not in links:
        return "nothing is sent at this step"
    return ""


def list_applicable(path):
    return [
        (step, fault)
        for step in STEPS[path]
        for fault in Fault
        if not explain_not_applicable(path, step, fault)
    ]


def list_single_cells(seed):
    """Every step with every fault that makes sense there."""
    return [
        Cell(
            path=path,
            injections=(Injection(step=step, fault=fault),),
            seed=seed,
        )
        for path in Path
        for step, fault in list_applicable(path)
    ]


def draw_pairs(count, seed):
    """Pairs of faults and the same fault twice, drawn by the seed."""
    source = random.Random(f"pairs/{seed}")
    weights = {
        Path.CALL: 6,
        Path.GENERATION: 6,
        Path.PUBLICATION: 4,
        Path.LEAVING: 1,
    }
    cells = []
    for number in range(count):
        path = source.choices(list(weights), list(weights.values()))[0]
        first = source.choice(list_applicable(path))
        twice = source.random() < 0.25
        second = first if twice else source.choice(list_applicable(path))
        cells.append(
            Cell(
                path=path,
                injections=(
                    Injection(step=first[0], fault=first[1]),
                    Injection(step=second[0], fault=second[1], visit=1 + twice),
                ),
                seed=seed + number,
            )
        )
    return cells
