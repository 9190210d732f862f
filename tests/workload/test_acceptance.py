import asyncio

from poplaryard.workload import records
from poplaryard.workload.acceptance import Acceptance, SubmitOutcome
from tests.workload.builders import job
from tests.workload.fakes import MemoryStorage


def submit_all(storage, specs, retry_window_s=0.0):
    async def run():
        acceptance = Acceptance(storage, lambda specs, revision: None)
        jobs = (
            acceptance.submit(spec, retry_window_s=retry_window_s) for spec in specs
        )
        return await asyncio.gather(*jobs)

    return asyncio.run(run())


def test_jobs_submitted_together_share_transactions():
    """Guards against one call to the store per job in a burst of submissions."""
    storage = MemoryStorage()
    specs = [job(f"{number:016x}") for number in range(40)]
    assert set(submit_all(storage, specs)) == {SubmitOutcome.STORED}
    assert storage.calls.count("commit") <= 5
    for prefix in ("job/desk/", "home/"):
        assert sum(key.startswith(prefix) for key in storage.items) == 40


def test_repeated_id_is_the_same_job():
    storage = MemoryStorage()
    first = job("a" * 16, payload="first")
    submit_all(storage, [first])
    again = job("a" * 16, payload="second")
    assert submit_all(storage, [again, job("b" * 16)]) == [SubmitOutcome.STORED] * 2
    kept = storage.items[records.job_key("desk", "a" * 16)]
    assert records.decode_job(kept.value).payload == "first"


def test_id_sent_to_processes_that_choose_different_homes_is_one_job():
    """Guards against a job that runs twice, once in each of two partitions."""

    async def run():
        storage = MemoryStorage()
        notified = []
        acceptance = Acceptance(storage, lambda specs, revision: notified.append(specs))
        storage.faults["commit"] = [None, "dropped"]
        for group in ("desk", "desk~1"):
            outcome = await acceptance.submit(
                job("a" * 16, group=group), retry_window_s=3.0
            )
            assert outcome is SubmitOutcome.STORED
        assert [key for key in storage.items if key.startswith("job/")] == [
            records.job_key("desk", "a" * 16)
        ]
        # The second process has a write in doubt, and must not tell the owner of the
        # home that it chose.
        assert [specs[0].group for specs in notified] == ["desk"]

    asyncio.run(run())


def test_refused_job_is_not_stored():
    storage = MemoryStorage()
    storage.faults["commit"] = ["down"]
    assert submit_all(storage, [job()]) == [SubmitOutcome.REFUSED]
    assert not storage.items


def test_lost_reply_is_never_a_refusal():
    """Guards against telling a caller that a stored job was refused."""
    storage = MemoryStorage()
    storage.faults["commit"] = ["lost"]
    assert submit_all(storage, [job()]) == [SubmitOutcome.UNKNOWN]
    assert submit_all(storage, [job()]) == [SubmitOutcome.STORED]


def test_owner_is_notified_of_jobs_only_once_they_are_stored():
    """Guards against a start of a job that the caller was told was refused."""

    async def run():
        storage = MemoryStorage()
        storage.faults["commit"] = ["down", "lost"]
        notified = []
        acceptance = Acceptance(storage, lambda specs, revision: notified.append(specs))
        await acceptance.submit(job("a" * 16))
        await acceptance.submit(job("b" * 16))
        assert notified == []
        await acceptance.submit(job("c" * 16))
        assert [[spec.job_id for spec in specs] for specs in notified] == [["c" * 16]]

    asyncio.run(run())


def test_write_with_a_lost_reply_is_repeated_while_the_caller_waits():
    """Guards against clients that run out of retries when connections are reset."""
    for fault in ("lost", "dropped"):
        storage = MemoryStorage()
        storage.faults["commit"] = [fault, "down", fault]
        assert submit_all(storage, [job()], 3.0) == [SubmitOutcome.STORED]
        keys = {records.job_key("desk", "a" * 16), records.home_key("a" * 16)}
        assert set(storage.items) == keys


def test_job_in_doubt_is_not_refused_and_does_not_delay_others():
    """Guards against telling a caller that a job was refused when it may be stored."""

    async def run():
        storage = MemoryStorage()
        storage.faults["commit"] = ["dropped"] + ["down"] * 20
        acceptance = Acceptance(storage, lambda specs, revision: None)
        first = asyncio.create_task(
            acceptance.submit(job("a" * 16), retry_window_s=0.6)
        )
        await asyncio.sleep(0.01)
        began = asyncio.get_running_loop().time()
        assert (
            await acceptance.submit(job("b" * 16), retry_window_s=0.6)
            is SubmitOutcome.REFUSED
        )
        assert asyncio.get_running_loop().time() - began < 0.3
        assert await first is SubmitOutcome.UNKNOWN

    asyncio.run(run())


def test_job_is_not_refused_while_an_earlier_write_of_it_may_take_effect():
    """Guards against "it does not run" about a job that is stored seconds later."""

    async def run():
        storage = MemoryStorage()
        storage.faults["commit"] = ["late", "down"]
        acceptance = Acceptance(storage, lambda specs, revision: None)
        assert await acceptance.submit(job()) is SubmitOutcome.UNKNOWN
        assert await acceptance.submit(job()) is SubmitOutcome.UNKNOWN
        acceptance.isolated = True
        assert await acceptance.submit(job()) is SubmitOutcome.UNKNOWN
        assert await acceptance.submit(job("b" * 16)) is SubmitOutcome.REFUSED
        await storage.deliver()
        assert records.job_key("desk", "a" * 16) in storage.items

    asyncio.run(run())


def test_job_is_not_refused_while_an_earlier_submission_of_it_waits():
    """Guards against "it does not run" about a job that is about to be written."""

    async def run():
        acceptance = Acceptance(MemoryStorage(), lambda specs, revision: None)
        first = asyncio.create_task(acceptance.submit(job()))
        await asyncio.sleep(0)
        acceptance.isolated = True
        assert await acceptance.submit(job()) is SubmitOutcome.UNKNOWN
        assert await first is SubmitOutcome.STORED

    asyncio.run(run())


def test_isolated_process_answers_at_once():
    """Guards against callers that wait for a process that can't serve them."""

    async def run():
        storage = MemoryStorage()
        storage.faults["commit"] = ["dropped"] * 50
        acceptance = Acceptance(storage, lambda specs, revision: None)
        in_doubt = asyncio.create_task(
            acceptance.submit(job("a" * 16), retry_window_s=3.0)
        )
        await asyncio.sleep(0.05)
        acceptance.isolated = True
        began = asyncio.get_running_loop().time()
        assert (
            await acceptance.submit(job("b" * 16), retry_window_s=3.0)
            is SubmitOutcome.REFUSED
        )
        assert await in_doubt is SubmitOutcome.UNKNOWN
        assert asyncio.get_running_loop().time() - began < 1.0

    asyncio.run(run())
