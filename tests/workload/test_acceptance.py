import asyncio

from poplaryard.workload import records
from poplaryard.workload.acceptance import Acceptance, Accepted
from tests.workload.builders import job
from tests.workload.world import MemoryStorage


def submit_all(storage, specs):
    async def run():
        acceptance = Acceptance(storage, lambda specs, revision: None)
        return await asyncio.gather(*(acceptance.submit(spec) for spec in specs))

    return asyncio.run(run())


def test_jobs_that_come_together_share_transactions():
    """Pattern: a burst of submissions costs few calls of the store."""
    storage = MemoryStorage()
    specs = [job(f"{number:016x}") for number in range(40)]
    assert set(submit_all(storage, specs)) == {Accepted.STORED}
    assert storage.calls.count("commit") <= 5
    assert len(storage.items) == 40


def test_repeated_id_is_the_same_job():
    storage = MemoryStorage()
    first = job("a" * 16, payload="first")
    submit_all(storage, [first])
    again = job("a" * 16, payload="second")
    assert submit_all(storage, [again, job("b" * 16)]) == [Accepted.STORED] * 2
    kept = storage.items[records.job_key("desk", "a" * 16)]
    assert records.decode_job(kept.value).payload == "first"


def test_refused_job_is_not_stored():
    storage = MemoryStorage()
    storage.faults["commit"] = ["down"]
    assert submit_all(storage, [job()]) == [Accepted.REFUSED]
    assert not storage.items


def test_lost_reply_is_never_a_refusal():
    """Guards against "not accepted" for a job that lies in the store."""
    storage = MemoryStorage()
    storage.faults["commit"] = ["lost"]
    assert submit_all(storage, [job()]) == [Accepted.UNKNOWN]
    assert submit_all(storage, [job()]) == [Accepted.STORED]


def test_owner_is_told_of_jobs_only_once_they_are_stored():
    """Guards against a start of a job that a caller is told was refused."""

    async def run():
        storage = MemoryStorage()
        storage.faults["commit"] = ["down", "lost"]
        told = []
        acceptance = Acceptance(storage, lambda specs, revision: told.append(specs))
        await acceptance.submit(job("a" * 16))
        await acceptance.submit(job("b" * 16))
        assert told == []
        await acceptance.submit(job("c" * 16))
        assert [[spec.job_id for spec in specs] for specs in told] == [["c" * 16]]

    asyncio.run(run())
