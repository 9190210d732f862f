"""An accepted job never runs although the executor that it needs is idle.

The store answers 503 for 4.2 s. For 3 s of that time one executor is cut off. Both
are back long before the job comes.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import scene  # noqa: E402

OTHER, JOB = "6000000000000001", "6000000000000002"
BUSY_S, CUT_S = 4.2, 3.0
CALM_S = 6.0
# The executor that is cut off is the only one of its rack.
WORKERS, PER_RACK, ALONE, LABEL = 7, 3, 6, "r2"
FINISH_S, IDLE_S = scene.BOUNDS["finish_s"], 3.0


async def case(trouble):
    folder = pathlib.Path(__file__).resolve().parent
    async with scene.Scene(folder, 3, WORKERS, PER_RACK) as cell:
        step = {"count": 1, "cpu": 1500, "mem_mb": 2200, "estimate_ms": 1000}
        step["requires"] = LABEL
        if not await cell.submit(OTHER, [step], [1.0]):
            raise scene.CannotRun("a job before the outage was not accepted")
        await asyncio.sleep(3.0)
        if await cell.state(OTHER) != "done":
            raise scene.CannotRun("a job before the outage was not done")
        if trouble:
            cell.store.busy = True
            cell.record("store", "refuses all calls with 503")
            cell.cut_worker(ALONE, True)
            await asyncio.sleep(CUT_S)
            cell.cut_worker(ALONE, False)
            await asyncio.sleep(BUSY_S - CUT_S)
            cell.store.busy = False
            cell.record("store", "answers again")
        await asyncio.sleep(CALM_S)
        if not await cell.submit(JOB, [step], [1.0]):
            raise scene.CannotRun("the job was not accepted")
        # The end of the traffic; the rule asks `finish_s` later, for 3 s.
        ended_at = cell.now()
        await asyncio.sleep(FINISH_S)
        await asyncio.sleep(IDLE_S + 1.0)
        state = await cell.state(JOB)
        runs = cell.runs_of(JOB)
        waited_s = runs[0]["from"] - cell.began - ended_at if runs else None
        broken = waited_s is None or waited_s > FINISH_S + IDLE_S
        text = f"state {state}; runs: {len(runs)}; {cell.now() - ended_at:.1f} s after"
        cell.record("verdict", f"{'BROKEN' if broken else 'held'}: {text}")
        return scene.BROKEN if broken else scene.HELD


scene.play(case)
