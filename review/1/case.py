"""Tasks that have ended as done are started again.

Trouble: the process that owns the group stands still for 1.5 s. Meanwhile over 500
tasks end on one executor, which lists 500 ends at a time. The owner takes the tasks of
the next page for lost, and starts them again.
"""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import Deployment, main  # noqa: E402

JOBS = 20
TASKS = 50
WORK_S = 4.0
# The process stands still from shortly before the first end until so many have ended.
FREEZE_BEFORE_S = 0.1
ENDS = 650
FREEZE_MAX_S = 3.0
# Room of the largest executors of SYSTEM.md.
ROOM = {"cpu": 128000, "mem_mb": 262144, "gpu": 8}


async def scenario(record, trouble):
    async with Deployment(record, entries=3, executors=7, room=ROOM) as cell:
        owner = cell.owner()
        if owner is None:
            return 2
        others = [entry for entry in cell.entries if entry is not owner]
        record(f"the group is owned by {owner.name}")
        step = {"count": TASKS, "cpu": 120, "mem_mb": 250, "estimate_ms": int(WORK_S * 1000)}
        jobs = []
        for number in range(JOBS):
            job = await cell.submit(others[number % 2], {"spec": "evidence", "steps": [step]}, WORK_S)
            if job is None:
                return 2
            jobs.append(job)
            # As many as the most frequent class of kestrel-yard in a burst (4.75 x 2.3).
            await asyncio.sleep(0.1)
            while len(cell.work.starts) < TASKS * (number + 1) and record.now() < 60.0:
                await asyncio.sleep(0.02)
        record(f"{len(cell.work.starts)} tasks run")
        if trouble:
            first_end = cell.work.starts[0][3] + WORK_S
            await asyncio.sleep(first_end - FREEZE_BEFORE_S - record.now())
            owner.signal(signal.SIGSTOP)
            frozen_at = record.now()
            while record.now() < frozen_at + FREEZE_MAX_S and len(cell.work.ends) < ENDS:
                for executor in cell.executors:
                    executor.running()
                await asyncio.sleep(0.02)
            owner.signal(signal.SIGCONT)
            record(f"stood still for {record.now() - frozen_at:.3f} s")
        until = record.now() + 40.0
        states = {}
        while record.now() < until and set(states.values()) != {"done"}:
            await asyncio.sleep(1.0)
            states = {job: await cell.state(others[0], job) for job in jobs}
        done_at = {}
        for task, run, executor, at, how in cell.work.ends:
            # Ends that were taken note of, then or later.
            if how == "done" and (task, run) in cell.work.noted:
                done_at.setdefault(task, (at, run, executor.name))
        twice = [
            (task, run, executor.name, at)
            for task, run, executor, at, _ in cell.work.starts
            if task in done_at and at > done_at[task][0]
        ]
        for task, run, name, at in twice[:5]:
            ended_at, first, place = done_at[task]
            record(f"{task}: run {first} was done on {place} at {ended_at:.3f}, run {run} starts on {name} at {at:.3f}")
        per = {}
        for _, _, executor, _, _ in cell.work.starts[: JOBS * TASKS]:
            per[executor.name] = per.get(executor.name, 0) + 1
        record(f"first starts by executor: {per}; tasks started after they were done: {len(twice)}")
        if twice:
            return 1
        return 0 if set(states.values()) == {"done"} else 2


# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
main(pathlib.Path(__file__).parent, scenario, TROUBLE)
