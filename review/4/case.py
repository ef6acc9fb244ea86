"""Lost answers of the store keep a withdrawn key in force for seconds."""

import asyncio
import time

from harness.case import (
    OTHER_KEY,
    TROUBLE,
    CouldNotRunError,
    make_configuration,
    run_case,
)

CONTACT_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
LOST_SECONDS = 2.0
"""How long answers of the store are lost; the site file has 4.5 s."""
MAX_LOST_SHARE = 0.35
"""The share of lost answers in the site file."""
SEND_INTERVAL = 0.5
WATCH_SECONDS = 14.0


async def check(deployment):
    record, store = deployment.record, deployment.store
    # All readers get a configuration, and ask for the next one.
    await asyncio.sleep(3)
    await store.put("keyed.op", "config", make_configuration(9))
    await asyncio.sleep(0.3)
    store.answers.update(given=0, lost=0)
    if TROUBLE:
        record("store", "answers are lost from now on")
        store.loses = lambda path, topic: (
            path == "log-read" and topic == "keyed.op"
        )
    await store.put(
        "keyed.op", "config", make_configuration(12, keys=["wsjnbanfqasnmgkc"])
    )
    confirmed = time.monotonic()
    record("operator", "key withdrawn; confirmed", version=12)
    await asyncio.sleep(LOST_SECONDS)
    store.loses = lambda path, topic: False
    record("store", "answers are lost no more", **store.answers)
    lost_share = store.answers["lost"] / sum(store.answers.values())
    if TROUBLE and not 0 < lost_share <= MAX_LOST_SHARE:
        raise CouldNotRunError(f"{lost_share:.2f} of the answers were lost")
    # Both spans are added up here, though the rule lets them run at once.
    in_touch = time.monotonic() + CONTACT_SECONDS
    due = max(in_touch, confirmed) + CONFIG_APPLY_SECONDS
    broken = 0
    while time.monotonic() < confirmed + WATCH_SECONDS:
        sent = time.monotonic()
        answers = await asyncio.gather(
            *(
                deployment.call(node, "/pule252/2f", key=OTHER_KEY)
                for node in deployment.nodes
            )
        )
        served = sum(answer.status == 200 for _, answer in answers)
        refused = sum(answer.status == 401 for _, answer in answers)
        is_due = sent > due
        record(
            "script",
            "withdrawn key",
            after_confirmation=round(sent - confirmed, 2),
            served=served,
            refused=refused,
            counted=is_due,
        )
        broken += served if is_due else 0
        await asyncio.sleep(SEND_INTERVAL)
    record("script", "run with a dropped key, too late", requests=broken)
    return not broken


if __name__ == "__main__":
    run_case(check)
