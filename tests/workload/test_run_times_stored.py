"""Storage of learned run times by the owner of a partition."""

import asyncio

import pytest

from poplaryard.workload import owner as owner_module
from poplaryard.workload import records
from poplaryard.workload.model import JobState
from poplaryard.workload.partition import ProgressBatch
from poplaryard.workload.run_times import NO_RUN_TIME_USES, RunTimes
from poplaryard.workload.storage import Item
from tests.workload.builders import job, step
from tests.workload.run_times import ALL_USES, sampled
from tests.workload.test_owner import JOB, OwnerFixture, until

KEY = records.run_times_key("desk")
OTHER = "b" * 16


class LearningOwner(OwnerFixture):
    run_time_uses = ALL_USES


async def finish(fixture, job_id, count=1):
    await fixture.store(job(job_id, step(count, cpu=100)))
    await until(lambda: fixture.owner.state(job_id) is JobState.DONE)


def test_run_times_are_stored_with_progress(monkeypatch):
    """Guards against transactions of their own, and against too many writes."""
    monkeypatch.setattr(owner_module, "RUN_TIMES_PERIOD_S", 0.3)

    async def run():
        fixture = LearningOwner()
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        await finish(fixture, JOB)
        assert KEY not in fixture.storage.items
        await asyncio.sleep(0.4)
        assert KEY not in fixture.storage.items
        await finish(fixture, OTHER)
        written = fixture.storage.items[KEY]
        progress = fixture.storage.items[records.progress_key("desk", OTHER)]
        assert written.revision == progress.revision
        known = RunTimes.decoded(written.value).expected("checks", 0, 1.0)
        assert known.median_s < 0.9
        fixture.close()

    asyncio.run(run())


def test_failed_write_is_repeated(monkeypatch):
    """Guards against run times that are lost with a transaction."""
    monkeypatch.setattr(owner_module, "RUN_TIMES_PERIOD_S", 0.0)

    async def run():
        fixture = LearningOwner()
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        fixture.storage.faults["commit"] = [None, "down"]
        await finish(fixture, JOB)
        assert KEY in fixture.storage.items
        fixture.close()

    asyncio.run(run())


def test_nothing_is_stored_or_read_without_the_setting(monkeypatch):
    """Guards against store calls of deployments that don't learn run times."""
    monkeypatch.setattr(owner_module, "RUN_TIMES_PERIOD_S", 0.0)

    async def run():
        calls = []
        for kind in (OwnerFixture, LearningOwner):
            fixture = kind()
            owner = await fixture.claim()
            fixture.storage.calls.clear()
            await owner.start(fixture.infos())
            calls.append(fixture.storage.calls.count("get"))
            await finish(fixture, JOB)
            assert (KEY in fixture.storage.items) == (kind is LearningOwner)
            fixture.close()
        assert calls[1] == calls[0] + 1

    asyncio.run(run())
    assert not NO_RUN_TIME_USES


@pytest.mark.parametrize("fault", ["malformed", "down", "slow"])
def test_take_over_goes_on_without_run_times(fault, monkeypatch, caplog):
    """Guards against a take-over that fails because of an estimate."""
    monkeypatch.setattr(owner_module, "RUN_TIMES_WAIT_S", 0.05)

    async def run():
        fixture = LearningOwner()
        storage = fixture.storage
        storage.items[KEY] = Item(KEY, b"{]", 1)
        get = storage.get

        async def get_run_times(key):
            if key == KEY and fault == "slow":
                await asyncio.sleep(5)
            if key == KEY and fault == "down":
                storage.faults["get"] = ["down"]
            return await get(key)

        storage.get = get_run_times
        owner = await fixture.claim()
        await asyncio.wait_for(owner.start(fixture.infos()), 2)
        await finish(fixture, JOB)
        fixture.close()

    with caplog.at_level("WARNING", logger="poplaryard"):
        asyncio.run(run())
    lines = [line for line in caplog.messages if line.startswith("run times not read")]
    assert len(lines) == 1


def test_new_owner_knows_the_run_times():
    async def run():
        fixture = LearningOwner()
        value = sampled(60, 0.2, bias=2.0).encoded()
        fixture.storage.items[KEY] = Item(KEY, value, 1)
        await fixture.store(job(JOB, step(1, estimate_s=8.0)))
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        opened = owner.partition.jobs[JOB].occurrences[0][0]
        assert opened.expectation.median_s < 3.0
        fixture.close()

    asyncio.run(run())


def test_run_times_make_no_transaction_of_their_own(monkeypatch):
    """Guards against one more transaction where the others are full."""
    monkeypatch.setattr(owner_module, "RUN_TIMES_PERIOD_S", 0.0)
    full = owner_module.MAX_TRANSACTION_ENTRIES - owner_module.OVERHEAD_ENTRIES

    async def run():
        fixture = LearningOwner()
        owner = await fixture.claim()
        await owner.start({})
        owner.partition.expectations.run_times.add("checks", 0, 1.0, 2.0)
        for count, commits, stored in ((0, 0, False), (full, 1, False), (2, 1, True)):
            batch = ProgressBatch(
                {f"{number:016x}": b"{}" for number in range(count)}, {}, {}, ()
            )
            monkeypatch.setattr(
                owner.partition, "take_progress", lambda batch=batch: batch
            )
            fixture.storage.calls.clear()
            assert await owner._write_progress()
            assert fixture.storage.calls.count("commit") == commits
            assert (KEY in fixture.storage.items) == stored
        fixture.close()

    asyncio.run(run())
