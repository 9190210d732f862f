"""Jobs run although their DELETE was answered with 410.

The store is slow for 4.5 s: its answers take 60 times as long. Clients hand jobs in,
leave after 125 ms without an answer, and cancel their jobs at another entry at once.
"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import scene  # noqa: E402

# Half of the objective of pass-check, after which clients leave that give up.
LEAVE_S = 0.125
SLOW_FACTOR, SLOW_S = 60, 4.5
# Jobs that are cancelled, and time between two of them.
CANCELLED, PAUSE_S = 10, 0.15
STEPS = [
    {"count": 1, "cpu": 500, "mem_mb": 200, "estimate_ms": 9000},
    {"count": 1, "cpu": 500, "mem_mb": 200, "estimate_ms": 2000, "after": [0]},
]
WORK_S = [9.0, 2.0]
BODY = {"spec": json.dumps({"work_s": WORK_S}), "steps": STEPS}
CANCEL_S = scene.BOUNDS["cancel_ms"] / 1000
STABLE_S = scene.BOUNDS["stable_ms"] / 1000


async def case(trouble):
    folder = pathlib.Path(__file__).resolve().parent
    async with scene.Scene(folder, entries=3, workers=8) as cell:
        normal_s = cell.store.answer_s
        if trouble:
            cell.store.answer_s = normal_s * SLOW_FACTOR
            cell.record("store", f"takes {cell.store.answer_s * 1000:.0f} ms an answer")
        began = cell.now()
        clients = []
        for number in range(CANCELLED):
            clients.append(asyncio.create_task(give_up(cell, f"{0x80 + number:016x}")))
            # Another job, whose client waits for the answer.
            other = cell.request(0, "POST", f"{0xA0 + number:016x}", BODY)
            clients.append(asyncio.create_task(other))
            await asyncio.sleep(PAUSE_S)
        cancelled = [found for found in await asyncio.gather(*clients[::2]) if found]
        others = [status for status, _ in await asyncio.gather(*clients[1::2])]
        await asyncio.sleep(max(0.0, began + SLOW_S - cell.now()))
        cell.store.answer_s = normal_s
        cell.record("store", "answers as usual")
        calm_at = cell.now() + STABLE_S if trouble else began
        await asyncio.sleep(13.0)
        if not cancelled or not any(200 <= status < 300 for status in others):
            raise scene.CannotRun("no job was cancelled, or none accepted")
        broken = 0
        for job_id, acked_at, status in cancelled:
            late = [
                run
                for run in cell.runs_of(job_id)
                if run["from"] - cell.began > max(acked_at + CANCEL_S, calm_at)
            ]
            broken += bool(late)
            for run in late:
                after_s = run["from"] - cell.began - acked_at
                text = f"{run['task']} was started {after_s:.1f} s after the {status}"
                cell.record("verdict", text)
        text = f"{broken} of {len(cancelled)} cancelled jobs run on"
        cell.record("verdict", f"{'BROKEN' if broken else 'held'}: {text}")
        return scene.BROKEN if broken else scene.HELD


async def give_up(cell, job_id):
    """Hand a job in, leave, and cancel it; return the time and the status of that."""
    await cell.request(0, "POST", job_id, BODY, timeout_s=LEAVE_S)
    for number in (1, 2, 1, 2):
        status, _ = await cell.request(number, "DELETE", job_id)
        if status == 410 or 200 <= status < 300:
            return job_id, cell.now(), status
    return None


scene.play(case)
