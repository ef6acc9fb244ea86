"""Slopes of the counters against objectives."""

import random
from collections.abc import Callable

from acaciarack.burn_counts import OBJECTIVES, Counts, Part, Row, decode, encode
from acaciarack.burn_records import Marks, Record, build_record
from acaciarack_bench.slopes import add_case, measure_cpu, measure_memory

ROWS = (81, 162, 325, 650, 1300)
PARTS = (3, 5, 10, 20, 40)
_ROWS_OF_NODE = 350


def _make_part(node: int, rows: int) -> Part:
    source = random.Random(node)
    items = tuple(
        Row(
            service="narratives",
            organisation=f"organisation-{number:05}",
            requests=(source.randint(1, 9),) * len(OBJECTIVES),
            bad=(source.randint(0, 1),) * len(OBJECTIVES),
        )
        for number in sorted(source.sample(range(2600), rows))
    )
    return Part(
        node=f"node-{node:04}",
        incarnation=1_800_000_000_000,
        counts=Counts(minute=29_000_000, rows=items),
    )


@add_case("burn part", size="row", quantity="bytes", sizes=ROWS)
def _measure_part(rows: int) -> float:
    return len(encode(_make_part(1, rows)))


@add_case("burn record", size="part", quantity="bytes", sizes=PARTS)
def _measure_record(parts: int) -> float:
    return len(encode(_sum_parts(parts)()))


@add_case("sum burn parts", size="part", quantity="CPU, us", sizes=PARTS)
def _measure_sum(parts: int) -> float:
    return measure_cpu(_sum_parts(parts))


@add_case(
    "burn part memory", size="part", quantity="memory, bytes", sizes=PARTS
)
def _keep_parts(parts: int) -> float:
    bodies = [encode(_make_part(node, _ROWS_OF_NODE)) for node in range(parts)]
    return measure_memory(lambda: [decode(body, Part) for body in bodies])


def _sum_parts(parts: int) -> Callable[[], Record]:
    bodies = [encode(_make_part(node, _ROWS_OF_NODE)) for node in range(parts)]

    def build() -> Record:
        decoded = [decode(body, Part) for body in bodies]
        return build_record(decoded, marks=Marks(), oldest=0)

    return build
