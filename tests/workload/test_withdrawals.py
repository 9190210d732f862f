"""Jobs that are cancelled before they are stored.

Pattern: clients leave without an answer while the store is slow, and cancel their jobs
at another process at once.
"""

import asyncio

import pytest

from poplaryard.workload import records
from poplaryard.workload.acceptance import Acceptance, SubmitOutcome
from poplaryard.workload.lookup import Unavailable
from poplaryard.workload.model import Queue
from poplaryard.workload.storage import Transaction
from poplaryard.workload.withdrawals import BATCH_IDS, MAX_WAITING
from tests.workload.builders import job
from tests.workload.fakes import MemoryStorage, make_node

JOB = "a" * 16
QUEUE = Queue("checks", "desk.example", "/checks/", "desk")


def ids(count):
    return [f"{number:016x}" for number in range(count)]


class StoreDuringCancellation(MemoryStorage):
    """Store in which a job is cancelled at another process during its first write.

    ``found`` is the answer that the caller gets.
    """

    found = None

    async def commit(self, transaction):
        is_first = "commit" not in self.calls
        try:
            return await super().commit(transaction)
        finally:
            if is_first:
                self.found = await make_node(self).cancel(QUEUE, JOB)


def cancel_while(fault):
    """Cancel a job at one process while another has its write; return the outcomes."""

    async def run():
        storage = StoreDuringCancellation()
        storage.faults["commit"] = [fault]
        acceptance = Acceptance(storage, lambda specs, revision: None)
        outcome = await acceptance.submit(job(), retry_window_s=3.0)
        await storage.deliver()
        return storage, storage.found, outcome

    return asyncio.run(run())


@pytest.mark.parametrize("fault", ["late", "dropped"])
def test_job_that_was_cancelled_before_it_was_stored_is_never_stored(fault):
    """Guards against jobs that run after "no such job" was answered."""
    storage, found, outcome = cancel_while(fault)
    assert not found
    assert outcome is SubmitOutcome.WITHDRAWN
    assert records.job_key("desk", JOB) not in storage.items


def test_job_whose_write_has_no_answer_is_cancelled_if_it_is_stored():
    """Guards against "no such job" about a job that is stored."""
    storage, found, outcome = cancel_while("lost")
    assert found
    assert outcome is SubmitOutcome.STORED
    assert records.cancel_key("desk", JOB) in storage.items


def test_job_that_is_stored_while_it_is_looked_up_is_cancelled():
    """Guards against a job that is stored between the two calls of a cancellation."""

    class LateReader(MemoryStorage):
        async def get(self, key):
            item = await super().get(key)
            for entry in [(key, b"desk", 0), (records.job_key("desk", JOB), b"", 0)]:
                await self.commit(Transaction(puts=[entry]))
            return item

    storage = LateReader()
    assert asyncio.run(make_node(storage).cancel(QUEUE, JOB))
    assert records.cancel_key("desk", JOB) in storage.items


def test_withdrawn_id_may_be_used_once_no_earlier_write_can_arrive():
    """Guards against marks that stay in the store for ever."""

    async def run():
        storage = MemoryStorage()
        entry = make_node(storage)
        assert not await entry.cancel(QUEUE, JOB)
        assert await entry.submit(job()) is SubmitOutcome.WITHDRAWN
        [lease] = storage.leases
        await storage.revoke(lease)
        assert await entry.submit(job()) is SubmitOutcome.STORED

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["down", "dropped", "late"])
def test_cancellation_is_not_answered_while_the_id_may_not_be_withdrawn(fault):
    """Guards against "no such job" from a process that cannot know it."""

    async def run():
        storage = MemoryStorage()
        storage.faults["commit"] = [fault]
        with pytest.raises(Unavailable):
            await make_node(storage).cancel(QUEUE, JOB)
        assert not await make_node(storage).cancel(QUEUE, JOB)

    asyncio.run(run())


def test_cancellations_of_unknown_jobs_share_writes_and_are_limited():
    """Guards against a client that uses up the writes that the store admits."""

    async def run():
        storage = MemoryStorage()
        entry = make_node(storage)
        loop = asyncio.get_running_loop()
        calls = [entry.cancel(QUEUE, name) for name in ids(MAX_WAITING + 40)]
        began = loop.time()
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(0.5)
        assert storage.calls.count("commit") <= 1 + 0.5 / 0.2
        answered = [task for task in tasks if task.done()]
        refused = [task for task in answered if task.exception() is not None]
        assert all(isinstance(task.exception(), Unavailable) for task in refused)
        assert len(refused) == 40
        assert len(answered) - len(refused) <= 3 * BATCH_IDS
        assert loop.time() - began < 1.0
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def test_job_of_another_tenant_is_neither_cancelled_nor_withdrawn():
    """Guards against a tenant that learns of, or disturbs, jobs of others."""

    async def run():
        storage = MemoryStorage()
        entry = make_node(storage)
        await entry.submit(job(tenant="t1"))
        written = storage.revision
        assert not await make_node(storage, name="p1").cancel(QUEUE, JOB, "t2")
        assert storage.revision == written

    asyncio.run(run())
