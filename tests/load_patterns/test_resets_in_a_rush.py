"""Pattern: connections are reset while many jobs are being handed in.

Some of the writes that lose their answers have been carried out, some have not, and
some are carried out seconds later.
"""

import asyncio
import random

import pytest

from poplaryard.workload import records
from poplaryard.workload.acceptance import Acceptance, SubmitOutcome
from tests.workload.builders import job
from tests.workload.fakes import MemoryStorage

JOBS = 200
CALLER_WAIT_S = 2.8


class ResettingStorage(MemoryStorage):
    """Storage that loses the answers to writes until `resets_end` is called."""

    def __init__(self, seed):
        super().__init__()
        self._rng = random.Random(seed)
        self._resetting = True

    def resets_end(self):
        self._resetting = False

    async def commit(self, transaction):
        await asyncio.sleep(self._rng.uniform(0.0, 0.01))
        if self._resetting:
            self.faults["commit"] = [self._rng.choice(["lost", "dropped", "late"])]
        return await super().commit(transaction)


@pytest.mark.parametrize("seed", range(5))
def test_each_job_is_stored_once_and_its_owner_told_of_the_stored_home(seed):
    """Guards against jobs that run in two partitions, and against needless refusals.

    Two processes take each job, as callers send it again to another one, and choose
    different homes for it.
    """

    async def scenario():
        storage = ResettingStorage(seed)
        told = []
        processes = [
            Acceptance(storage, lambda specs, revision: told.extend(specs))
            for _ in range(2)
        ]
        calls = [
            process.submit(
                job(f"{number:016x}", group=home), retry_window_s=CALLER_WAIT_S
            )
            for number in range(JOBS)
            for process, home in zip(processes, ("desk", "desk~1"), strict=True)
        ]
        handed_in = asyncio.gather(*calls)
        await asyncio.sleep(0.4)
        storage.resets_end()
        await storage.deliver()
        assert set(await handed_in) == {SubmitOutcome.STORED}
        homes = {
            key.removeprefix("home/"): item.value.decode()
            for key, item in storage.items.items()
            if key.startswith("home/")
        }
        assert len(homes) == JOBS
        stored = {key for key in storage.items if key.startswith("job/")}
        assert stored == {
            records.job_key(home, job_id) for job_id, home in homes.items()
        }
        assert all(homes[spec.job_id] == spec.group for spec in told)

    asyncio.run(scenario())


def test_writes_are_not_repeated_more_often_than_the_backoff_allows():
    """Guards against a burst of repeated writes at the end of the resets."""

    async def scenario():
        storage = ResettingStorage(1)
        acceptance = Acceptance(storage, lambda specs, revision: None)
        specs = [job(f"{number:016x}") for number in range(JOBS)]
        calls = (
            acceptance.submit(spec, retry_window_s=CALLER_WAIT_S) for spec in specs
        )
        handed_in = asyncio.gather(*calls)
        await asyncio.sleep(0.5)
        during = len(storage.calls)
        storage.resets_end()
        await handed_in
        # Full jitter from 0.1 s on, doubling: about four tries of each write in 0.5 s.
        assert during <= 6 * JOBS / 10
        assert len(storage.calls) - during <= 3 * JOBS / 10

    asyncio.run(scenario())
