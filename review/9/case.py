"""One task runs on two executors at the same time.

An executor leaves one order unanswered, crashes and starts again under its id; the
order arrives there 2 to 12 s after it was sent.
"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import scene  # noqa: E402

JOB, OTHER, FILL = "9000000000000001", "9000000000000002", "9000000000000003"
TASK = f"{JOB}.0.0.0"
WORK_S = 9.0
# Time from the order until the executor crashes, and until it is up again.
CRASH_S, DOWN_S = 1.6, 0.6


async def case(trouble):
    folder = pathlib.Path(__file__).resolve().parent
    task = TASK if trouble else ""
    async with scene.Scene(folder, entries=3, workers=8, delay_task=task) as cell:
        # More orders, so that one of them is less than 0.055 of all.
        many = {"count": 40, "cpu": 500, "mem_mb": 200, "estimate_ms": 600}
        if not await cell.submit(OTHER, [many], [0.6]):
            raise scene.CannotRun("a job was not accepted")
        await asyncio.sleep(1.5)
        step = {"count": 1, "cpu": 1500, "mem_mb": 2200, "estimate_ms": 9000}
        # Spread over the executors: the task starts where most room is free.
        step["anti_affinity"] = 1
        if not await cell.submit(JOB, [step], [WORK_S]):
            raise scene.CannotRun("a job was not accepted")
        if trouble:
            await crash(cell)
        until = cell.now() + 30
        while await cell.state(JOB) != "done":
            if cell.now() > until:
                raise scene.CannotRun("the job was not done in time")
            await asyncio.sleep(1.0)
        await asyncio.sleep(1.0)
        pairs = overlaps(cell.runs_of(JOB))
        for first, second, long_s in pairs:
            text = f"{TASK}: run {first['run']} on {first['life']}"
            text += f" and run {second['run']} on {second['life']}"
            cell.record("verdict", f"{text} at the same time, {long_s * 1000:.0f} ms")
        cell.record("verdict", "BROKEN" if pairs else "held")
        return scene.BROKEN if pairs else scene.HELD


async def crash(cell):
    """Crash the executor that left the order unanswered, and start it again."""
    until = cell.now() + 10
    while not cell.delayed.exists():
        if cell.now() > until:
            raise scene.CannotRun("no order was left unanswered")
        await asyncio.sleep(0.01)
    sent_at = cell.now()
    # Takes the rest of the executor's room, so that the task starts elsewhere.
    fill = {"count": 1, "cpu": 14500, "mem_mb": 200, "estimate_ms": 4000}
    await cell.submit(FILL, [fill], [4.0], entry=1)
    await asyncio.sleep(max(0.0, sent_at + CRASH_S - cell.now()))
    worker_id = json.loads(cell.delayed.read_text())["to"]
    number = int(worker_id.split("-")[1])
    await cell.kill_worker(number)
    await asyncio.sleep(DOWN_S)
    await cell.start_worker(number, same_id=True)
    cell.record(worker_id, f"starts again {cell.now() - sent_at:.1f} s after the order")


def overlaps(runs):
    """Return pairs of runs of the task that were in progress at the same time."""
    found = []
    for number, first in enumerate(runs):
        for second in runs[number + 1 :]:
            began = max(first["from"], second["from"])
            ended = min(first["to"], second["to"])
            if ended > began:
                found.append((first, second, ended - began))
    return found


scene.play(case)
