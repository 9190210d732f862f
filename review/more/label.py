"""A task starts on an executor without the label that it requires.

Trouble: the executor of the required kind crashes and starts again under its id, as
another kind. The owner learns of its new life from its report, and still goes by the
labels of the life before.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import Deployment, config, main, route  # noqa: E402

DOWN_S = 1.0


async def scenario(record, trouble):
    async with Deployment(record, entries=3, executors=8, kinds="aaaaaaab") as cell:
        entry = cell.entries[0]
        special = cell.executors[-1]
        # Each task takes all of an executor.
        step = {"count": 1, "cpu": 32000, "mem_mb": 4000, "estimate_ms": 60000, "requires": "b"}
        urgent = step | {"count": 4}
        cell.store.put_json("op/config", config(2, route(priority=1), route("urgent", "/urgent/")))
        await asyncio.sleep(2.0)
        if await cell.submit(entry, {"spec": "x", "steps": [step]}, 60.0) is None:
            return 2
        await asyncio.sleep(1.0)
        if await cell.submit(entry, {"spec": "x", "steps": [urgent]}, 60.0, "/urgent/") is None:
            return 2
        await asyncio.sleep(3.0)
        if trouble:
            special.crash()
            await asyncio.sleep(DOWN_S)
            special.kind = "a"
            await special.start(special.name)
        await asyncio.sleep(3.0)
        wrong = [line for line in cell.work.starts if line[4] != "b"]
        for task, run, executor, at, kind in wrong:
            record(f"{task} run {run}, which requires b, started on {executor.name} of kind {kind} at {at:.3f}")
        record(f"starts: {len(cell.work.starts)}, without the label: {len(wrong)}")
        return 1 if wrong else 0 if cell.work.starts else 2


# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
main(pathlib.Path(__file__).parent, scenario, TROUBLE, f"record-{pathlib.Path(__file__).stem}.txt")
