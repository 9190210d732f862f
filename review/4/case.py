"""A process that loses its claim while it takes a group over never claims one again.

Trouble: the process that owns the group is removed for good while the store is slow.
The other process claims the group and reads its jobs. Then the store is down for some
seconds, and leases run out meanwhile.
"""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import Deployment, main  # noqa: E402

SLOW = 97.0
DOWN_S = 4.5
# Time from the read of the jobs until the store is down.
READ_TO_DOWN_S = 0.15


async def scenario(record, trouble):
    async with Deployment(record, entries=2, executors=8) as cell:
        store = cell.store
        owner = cell.owner()
        if owner is None:
            return 2
        other = next(entry for entry in cell.entries if entry is not owner)
        record(f"the group is owned by {owner.name}")
        body = {"spec": "check", "steps": [{"count": 2, "cpu": 1500, "mem_mb": 2000, "estimate_ms": 1000}]}
        first = await cell.submit(other, body, 1.0)
        await asyncio.sleep(2.0)
        if first is None or await cell.state(other, first) != "done":
            return 2
        owner.signal(signal.SIGKILL)
        # An executor is replaced, which happens all the time; the group has a new worker.
        cell.executors[0].crash()
        await cell.executors[0].start()
        await asyncio.sleep(2.0)
        if trouble:
            record("the store is slow")
            store.slow = SLOW
        read = asyncio.Event()
        store.on_call = lambda process, method, name, value, status: (
            read.set() if name == "kv-range job/desk/" and process == other.name else None
        )
        await asyncio.wait_for(read.wait(), 10.0)
        record(f"{other.name} has claimed the group and read its jobs")
        if trouble:
            await asyncio.sleep(READ_TO_DOWN_S)
            record("the store is down (503), and leases run out")
            store.set_mode("busy")
            store.slow = 1.0
            await asyncio.sleep(DOWN_S)
            record("the store is back")
            store.set_mode("ok")
        refused = [0]

        def count(process, method, name, value, status):
            refused[0] += name == "kv-txn" and status == 412

        await asyncio.sleep(4.0)
        store.on_call = count
        job = await cell.submit(other, body, 1.0)
        if job is None:
            return 2
        until = record.now() + 40.0
        state = ""
        while record.now() < until and state != "done":
            await asyncio.sleep(1.0)
            state = await cell.state(other, job)
        starts = [start for start in cell.work.starts if start[0].startswith(job)]
        record(
            f"the accepted job is shown as {state} after {len(starts)} starts;"
            f" refused writes meanwhile: {refused[0]}; owner: {store.text('owner/desk')}"
        )
        if state == "done":
            return 0
        return 1 if not starts else 2


# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
main(pathlib.Path(__file__).parent, scenario, TROUBLE)
