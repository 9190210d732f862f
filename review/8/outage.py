"""The fault of this case in another order of events; started by hand, as case.py is.

The store is silent for 4.5 s. It carries one write that got no answer out later: the
one with which the job was handed in. The client's POST gets no 2xx, its DELETE gets
410 ("no such job exists") once the store answers again, and then the job runs.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import scene  # noqa: E402

JOB, OTHER = "8000000000000001", "8000000000000002"
# Length of the outage, and time from the call until it is carried out.
SILENT_S, LATE_S = 4.5, 5.8
STEPS = [
    {"count": 2, "cpu": 1500, "mem_mb": 2200, "estimate_ms": 5000},
    {"count": 2, "cpu": 1500, "mem_mb": 2200, "estimate_ms": 3000, "after": [0]},
]
WORK_S = [5.0, 3.0]
CANCEL_S = scene.BOUNDS["cancel_ms"] / 1000
STOP_S = scene.BOUNDS["stop_ms"] / 1000
STABLE_S = scene.BOUNDS["stable_ms"] / 1000


def keep_first_write(job_id):
    """Return a choice of calls: the first one that stores the job is kept."""
    kept = []

    def keep(body):
        stores = any(row["key"] == f"home/{job_id}" for row in body.get("puts", []))
        if not stores or kept:
            return None
        kept.append(body)
        return LATE_S

    return keep


async def case(trouble):
    folder = pathlib.Path(__file__).resolve().parent
    async with scene.Scene(folder, entries=3, workers=6) as cell:
        if not await cell.submit(OTHER, STEPS, WORK_S):
            raise scene.CannotRun("a job before the outage was not accepted")
        body = {"spec": '{"work_s": [5.0, 3.0]}', "steps": STEPS}
        silent = asyncio.create_task(silence(cell)) if trouble else None
        await asyncio.sleep(0)
        status, _ = await cell.request(0, "POST", JOB, body, timeout_s=3.0)
        accepted = 200 <= status < 300
        cancelled_at = await cancel(cell)
        if cancelled_at is None:
            raise scene.CannotRun("the DELETE got no 2xx or 410")
        if silent is not None:
            await silent
        # The core is stable `stable_ms` after the late call.
        calm_at = cell.now() + max(0.0, LATE_S - SILENT_S) + STABLE_S
        await asyncio.sleep(15.0)
        state = await cell.state(JOB, 1)
        other = await cell.state(OTHER, 1)
        if other != "done":
            raise scene.CannotRun(f"the other job is {other}")
        late = [
            run
            for run in cell.runs_of(JOB)
            if run["from"] - cell.began > max(cancelled_at + CANCEL_S, calm_at)
        ]
        for run in late:
            after_s = run["from"] - cell.began - cancelled_at
            text = f"{run['task']} was started {after_s:.1f} s after the DELETE"
            cell.record("verdict", text)
        text = f"POST accepted: {accepted}; state at the end: {state}"
        cell.record("verdict", f"{'BROKEN' if late else 'held'}: {text}")
        return scene.BROKEN if late else scene.HELD


async def silence(cell):
    cell.store.keep = keep_first_write(JOB)
    cell.store.answers = False
    cell.record("store", "is silent")
    await asyncio.sleep(SILENT_S)
    cell.store.answers = True
    cell.record("store", "answers again")


async def cancel(cell):
    """Cancel the job; return the time of the acknowledgement, or None without one."""
    until = cell.now() + 20
    target = 0
    while cell.now() < until:
        target += 1
        number = target % len(cell.entries)
        status, _ = await cell.request(number, "DELETE", JOB)
        if status == 410 or 200 <= status < 300:
            return cell.now()
        await asyncio.sleep(0.3)
    return None


scene.play(case)
