"""A queue is said to have no waiting jobs while accepted jobs have not begun.

Trouble: one of eight executors loses power for good just before some jobs are handed in.
Orders to it get no answer. The jobs count as begun since the orders were decided.
"""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import BOUNDS, Deployment, main  # noqa: E402

JOBS = 6
# From this time on after its acceptance a job has to be counted (MIXED).
COUNTED_AFTER_S = BOUNDS["visible_ms"] / 1000 + 2.0


async def scenario(record, trouble):
    async with Deployment(record, entries=3, executors=8) as cell:
        entry = cell.entries[0]
        body = {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 2000}]}
        first = await cell.submit(entry, body, 30.0)
        await asyncio.sleep(3.0)
        if first is None or not cell.work.starts:
            return 2
        if trouble:
            # The executor that runs the first job, where the next ones fit best.
            cell.work.starts[0][2].go_dark()
        accepted = {}
        for _ in range(JOBS):
            job = await cell.submit(entry, body, 1.0)
            if job is None:
                return 2
            accepted[job] = record.now()
        broken = 0
        until = record.now() + 12.0
        while record.now() < until:
            await asyncio.sleep(0.25)
            sent = record.now()
            status, text = await entry.call("GET", "/checks/")
            begun = {start[0].split(".")[0] for start in cell.work.starts}
            waiting = [
                job for job, at in accepted.items()
                if job not in begun and sent > at + COUNTED_AFTER_S
            ]
            if status == 200 and json.loads(text)["pending"] < len(waiting) / 2:
                broken += 1
                record(f"said to wait: {text}; waiting for over {COUNTED_AFTER_S} s: {len(waiting)}")
        record(f"wrong answers: {broken}")
        return 1 if broken else 0


# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
main(pathlib.Path(__file__).parent, scenario, TROUBLE, f"record-{pathlib.Path(__file__).stem}.txt")
