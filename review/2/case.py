"""A task runs on two executors at once.

Trouble: an executor that is draining is cut off for 5.5 s, with its connections reset,
and runs on. Once its entry has expired, the owner takes it for one that has left, and
starts its task elsewhere, though the lease there has seconds to go.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import Deployment, main  # noqa: E402

WORK_S = 12.0
# It drains, and exits this much later ("at times many seconds").
EXIT_AFTER_S = 9.0
DRAIN_TO_CUT_S = 0.5
CUT_S = 5.5


async def scenario(record, trouble):
    async with Deployment(record, entries=3, executors=18) as cell:
        entry = cell.entries[0]
        step = {"count": 1, "cpu": 3300, "mem_mb": 4700, "estimate_ms": 12000}
        job = await cell.submit(entry, {"spec": "season", "steps": [step]}, WORK_S)
        if job is None:
            return 2
        await asyncio.sleep(2.0)
        if not cell.work.starts:
            return 2
        task, first, executor, *_ = cell.work.starts[0]
        executor.drain()
        leave_at = record.now() + EXIT_AFTER_S
        both = False
        heal_at = None
        await asyncio.sleep(DRAIN_TO_CUT_S)
        if trouble:
            executor.cut()
            heal_at = record.now() + CUT_S
        until = record.now() + 30.0
        state = ""
        while record.now() < until and state != "done":
            await asyncio.sleep(0.02)
            if heal_at is not None and record.now() > heal_at:
                heal_at = None
                await executor.heal()
            if executor.up and record.now() > leave_at:
                executor.leave()
            running = [found for found in cell.executors if found.up and task in found.running()]
            if len(running) > 1 and not both:
                both = True
                record(f"{task} runs on {' and '.join(found.name for found in running)} at once")
            if int(record.now() * 50) % 50 == 0:
                state = await cell.state(entry, job)
        record(f"starts: {[(run, found.name, round(at, 3)) for _, run, found, at, _ in cell.work.starts]}")
        record(f"two runs at once: {both}; the job is shown as {state}")
        if both:
            return 1
        return 0 if state == "done" else 2


# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
main(pathlib.Path(__file__).parent, scenario, TROUBLE)
