"""Unexpected errors end neither a process nor the scheduling of a partition.

Pattern: one entry of the store, or one worker's report, brings out a defect. All
processes read the same entry, and would otherwise end at the same time, repeatedly.
"""

import asyncio

from poplaryard.workload import records
from poplaryard.workload.model import JobState
from poplaryard.workload.storage import Transaction
from poplaryard.workload.supervision import run_restarting
from tests.workload.builders import job, step
from tests.workload.fakes import MemoryStorage, make_node
from tests.workload.test_owner import JOB, OwnerFixture, until


def test_entry_that_brings_out_a_defect_is_skipped():
    """Guards against the end of the process, and against losing later changes."""

    async def scenario():
        storage = MemoryStorage()
        node = make_node(storage)
        decode = records.decode_member

        def decode_with_defect(value):
            if b"odd" in value:
                raise RuntimeError("defect")
            return decode(value)

        records.decode_member = decode_with_defect
        try:
            await node.start()
            for name in ("odd", "p1"):
                member = records.Member(name, "10.0.0.1:2", "dc1", 1.0)
                entry = (records.member_key(name), records.encode(member), 0)
                await storage.commit(Transaction(puts=[entry]))
            await until(lambda: "p1" in node._members)
            assert "odd" not in node._members
        finally:
            records.decode_member = decode
            await node.stop()

    asyncio.run(scenario())


def test_loop_that_fails_is_started_again():
    """Guards against a process that goes on without one of its loops."""

    async def scenario():
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise RuntimeError("defect")
            await asyncio.Event().wait()

        task = asyncio.create_task(run_restarting("work", work))
        await until(lambda: len(starts) == 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    asyncio.run(scenario())


def test_report_that_brings_out_a_defect_leaves_the_other_workers_in_use():
    """Guards against giving a partition up because of one worker."""

    async def scenario():
        fixture = OwnerFixture()
        hold, odd = fixture.calls.hold, "w0"

        async def hold_with_defect(worker, *args):
            report = await hold(worker, *args)
            if worker.worker_id == odd:
                raise RuntimeError("defect")
            return report

        fixture.calls.hold = hold_with_defect
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        await fixture.store(job(JOB, step(3)))
        await until(lambda: owner.state(JOB) is JobState.DONE)
        assert not owner.closed.is_set()
        assert not fixture.sims[odd].started
        fixture.close()

    asyncio.run(scenario())


def test_order_that_brings_out_a_defect_counts_as_one_without_an_answer():
    """Guards against giving a partition up, and against a second run beside the first.

    The order may have been carried out, so the run is stopped before the task starts
    again.
    """

    async def scenario():
        fixture = OwnerFixture()
        start, failed = fixture.calls.start, []

        async def start_with_defect(worker, task, run, *args):
            outcome = await start(worker, task, run, *args)
            if not failed:
                failed.append((worker.worker_id, (task, run)))
                raise RuntimeError("defect")
            return outcome

        fixture.calls.start = start_with_defect
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        await fixture.store(job(JOB, step(1)))
        await until(lambda: owner.state(JOB) is JobState.DONE)
        assert not owner.closed.is_set()
        [(worker_id, first_run)] = failed
        assert first_run not in fixture.sims[worker_id].runs
        fixture.close()

    asyncio.run(scenario())
