"""The cells of the fault matrix: a path, its steps and the faults injected."""

import dataclasses
import enum
import random


class Path(enum.StrEnum):
    """The code path that a cell exercises; each has a module of its own.

    Attributes:
        CALL: an at-most-once service call.
        GENERATION: a streamed generation.
        PUBLICATION: a configuration change.
        LEAVING: the drain of a target.
    """

    CALL = "call"
    GENERATION = "generation"
    PUBLICATION = "publication"
    LEAVING = "leaving"


class Step(enum.StrEnum):
    """A point on a path at which a fault can be injected.

    Attributes:
        ACCEPT: a node receives a request.
        ADMISSION: the node chooses a target.
        CLAIM: the node appends a claim to the log.
        READ_BACK: the node waits to read its claim from the log.
        DISPATCH: the node sends the request to a target.
        EXECUTED: the target has executed the call and has not yet responded.
        FIRST_TOKEN: the first token arrives from the engine.
        MIDDLE: the middle token arrives.
        LAST_TOKEN: the completion event arrives, after the last token.
        OUTCOME: the node appends the outcome of a call to the log.
        PUBLISH: the node appends a change to the log.
        VERDICT: the log has stored the change; the response is on its way.
        APPLY: a node has read entries from the log and is about to apply them.
        DRAIN: the drain of a target is about to start.
    """

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
    """A fault. The effect of some faults depends on the path.

    Attributes:
        KILL: the node is killed; it restarts later, except on LEAVING.
        FREEZE: the node's process is frozen for a while.
        CUT: a connection is lost.
        SILENT: a connection stays open and carries no more data.
        DELAY: a request or response arrives late.
        PLATFORM_DOWN: the log or the VM list is unavailable.
        PLATFORM_SLOW: the log or the VM list responds late.
        ANSWER_LOST: a request takes effect but its response is lost.
        LAPSED: the node is frozen for longer than the log's retention.
        RACING: a request or a configuration change runs concurrently.
        STALE_VMS: the VM list is out of date. It still shows a target that is
            gone, or shows a draining target as available.
        RECLAIMED: the VM of a target has been reclaimed.
        CROSSED: a wrong message arrives: a stale, repeated or out-of-order one,
            or one of another generation.
        PLANNED_STOP: the node starts a graceful stop.
    """

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

# The steps at which a node uses the log, at which it uses a target, and at
# which it streams tokens.
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
    """A fault that is injected at the given visit to a step, counted from 1."""

    step: Step
    fault: Fault
    visit: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """One run of a path; path, faults and seed determine all random choices."""

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
    """Parses the name of a cell."""
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
    """Returns why a fault does not apply to a step; empty if it applies."""
    if path is Path.LEAVING:
        return _LEAVING_REASONS.get(fault, "")
    if fault in (Fault.KILL, Fault.FREEZE):
        return ""
    if path is Path.PUBLICATION:
        if fault is Fault.CROSSED and step is not Step.APPLY:
            return "the log answers on the connection that asked"
        return _PUBLICATION_REASONS.get(fault, "")
    if fault is Fault.PLANNED_STOP:
        return ""
    if path is Path.GENERATION:
        return _explain_generation(step, fault)
    return _explain_call(step, fault)


_PUBLICATION_REASONS = {
    Fault.STALE_VMS: "no step asks for targets",
    Fault.RECLAIMED: "no step uses a target",
    Fault.PLANNED_STOP: "same as kill: a change is one append",
}
_LEAVING_REASONS = {
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
    link_steps = LOG_STEPS | TARGET_STEPS
    if fault is Fault.ANSWER_LOST and step not in link_steps:
        return "nothing is sent at this step"
    return ""


def list_applicable_faults(path):
    return [
        (step, fault)
        for step in STEPS[path]
        for fault in Fault
        if not explain_not_applicable(path, step, fault)
    ]


def list_single_cells(seed):
    """Lists one cell for each step and each fault that applies to it."""
    return [
        Cell(
            path=path,
            injections=(Injection(step=step, fault=fault),),
            seed=seed,
        )
        for path in Path
        for step, fault in list_applicable_faults(path)
    ]


def draw_pairs(count, seed):
    """Draws cells with two faults.

    About a quarter of them inject the same fault at the first and the second
    visit to a step.
    """
    generator = random.Random(f"pairs/{seed}")
    weights = {
        Path.CALL: 6,
        Path.GENERATION: 6,
        Path.PUBLICATION: 4,
        Path.LEAVING: 1,
    }
    cells = []
    for number in range(count):
        path = generator.choices(list(weights), list(weights.values()))[0]
        first = generator.choice(list_applicable_faults(path))
        is_repeated = generator.random() < 0.25
        second = (
            first
            if is_repeated
            else generator.choice(list_applicable_faults(path))
        )
        cells.append(
            Cell(
                path=path,
                injections=(
                    Injection(step=first[0], fault=first[1]),
                    Injection(
                        step=second[0], fault=second[1], visit=1 + is_repeated
                    ),
                ),
                seed=seed + number,
            )
        )
    return cells
