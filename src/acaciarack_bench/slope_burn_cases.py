"""Cases that measure how the SLO burn counters scale."""

import random
from collections.abc import Callable

from acaciarack.burn_counts import OBJECTIVES, Counts, Part, Row, decode, encode
from acaciarack.burn_records import Record, Watermarks, build_record
from acaciarack_bench.slopes import add_case, measure_cpu, measure_memory

ROW_COUNTS = (81, 162, 325, 650, 1300)
PART_COUNTS = (3, 5, 10, 20, 40)
_ROWS_PER_NODE = 350


def _make_part(node: int, rows: int) -> Part:
    rng = random.Random(node)
    items = tuple(
        Row(
            service="narratives",
            organisation=f"organisation-{number:05}",
            requests=(rng.randint(1, 9),) * len(OBJECTIVES),
            bad=(rng.randint(0, 1),) * len(OBJECTIVES),
        )
        for number in sorted(rng.sample(range(2600), rows))
    )
    return Part(
        node=f"node-{node:04}",
        incarnation=1_800_000_000_000,
        counts=Counts(minute=29_000_000, rows=items),
    )


@add_case("burn part", size="row", quantity="bytes", sizes=ROW_COUNTS)
def _measure_part(rows: int) -> float:
    return len(encode(_make_part(1, rows)))


@add_case("burn record", size="part", quantity="bytes", sizes=PART_COUNTS)
def _measure_record(parts: int) -> float:
    return len(encode(_build_sum(parts)()))


@add_case("sum burn parts", size="part", quantity="CPU, us", sizes=PART_COUNTS)
def _measure_sum(parts: int) -> float:
    return measure_cpu(_build_sum(parts))


@add_case(
    "burn part memory", size="part", quantity="memory, bytes", sizes=PART_COUNTS
)
def _measure_part_memory(parts: int) -> float:
    bodies = [encode(_make_part(node, _ROWS_PER_NODE)) for node in range(parts)]
    return measure_memory(lambda: [decode(body, Part) for body in bodies])


def _build_sum(parts: int) -> Callable[[], Record]:
    bodies = [encode(_make_part(node, _ROWS_PER_NODE)) for node in range(parts)]

    def build() -> Record:
        decoded = [decode(body, Part) for body in bodies]
        return build_record(decoded, watermarks=Watermarks(), oldest=0)

    return build
