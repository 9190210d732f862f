"""Stateful test of the storage of jobs in partitions, through several processes."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplaryard.clock import SystemClock
from poplaryard.exceptions import StoreDown, StoreReplyLost
from poplaryard.workload import records
from poplaryard.workload.acceptance import Acceptance, SubmitOutcome
from poplaryard.workload.meters import Meters
from poplaryard.workload.withdrawals import Withdrawals
from tests.workload.builders import job
from tests.workload.fakes import MemoryStorage

PARTITIONS = ("desk", "desk~1", "desk~2")
IDS = tuple(f"{number:016x}" for number in range(4))
PROCESSES = 3
FAULTS = (None, "down", "lost", "dropped", "late")
# A write whose reply is lost, and whose repetition does not reach the store.
DONE_THEN_DOWN = ["lost", "down"]


class HomesMachine(RuleBasedStateMachine):
    """Processes store the same ids in different partitions of a store with faults.

    Some jobs have parts in several partitions. Guards against a job or a part that is
    stored twice, which would run twice, or only in some of its homes, against a job
    that is called stored and is not, against one that is called refused and runs, and
    against one that is stored after its id was withdrawn.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.storage = MemoryStorage()
        self.outcomes = {job_id: [] for job_id in IDS}
        self.notified = []
        self.withdrawn = set()
        self.withdrawals = Withdrawals(self.storage, SystemClock(), Meters())
        self.acceptances = [
            Acceptance(self.storage, self._jobs_stored) for _ in range(PROCESSES)
        ]

    def _jobs_stored(self, specs, revision):
        self.notified += [(spec.job_id, spec.group) for spec in specs]

    @rule(
        submissions=st.lists(
            st.tuples(
                st.integers(0, PROCESSES - 1),
                st.sampled_from(IDS),
                st.sets(st.sampled_from(PARTITIONS), min_size=1),
                st.sampled_from((0.0, 0.15)),
            ),
            min_size=1,
            max_size=4,
        ),
        faults=st.lists(st.sampled_from(FAULTS), max_size=3) | st.just(DONE_THEN_DOWN),
    )
    def submit(self, submissions, faults):
        async def run():
            return await asyncio.gather(
                *(
                    self.acceptances[process].submit(
                        *(job(job_id, group=group) for group in sorted(groups)),
                        retry_window_s=wait_s,
                    )
                    for process, job_id, groups, wait_s in submissions
                )
            )

        self.storage.faults["commit"] = list(faults)
        results = self.loop.run_until_complete(run())
        for (_, job_id, _, _), outcome in zip(submissions, results, strict=True):
            self.outcomes[job_id].append(outcome)

    @rule(job_id=st.sampled_from(IDS), fault=st.sampled_from(FAULTS))
    def withdraw(self, job_id, fault):
        self.storage.faults["commit"] = [fault]
        try:
            stored = self.loop.run_until_complete(self.withdrawals.withdraw(job_id))
        except (StoreDown, StoreReplyLost):
            return
        if stored is None:
            self.withdrawn.add(job_id)

    @rule()
    def carry_out_late_writes(self):
        self.storage.faults["commit"] = []
        self.loop.run_until_complete(self.storage.deliver())

    @invariant()
    def each_job_is_stored_in_its_homes_and_nowhere_else(self):
        for job_id in IDS:
            found = [
                partition
                for partition in PARTITIONS
                if records.job_key(partition, job_id) in self.storage.items
            ]
            homes = self.storage.items.get(records.home_key(job_id))
            expected = ()
            if homes is not None and not records.is_withdrawn(homes.value):
                expected = records.decode_homes(homes.value)
            assert tuple(found) == expected
            assert not (found and job_id in self.withdrawn)

    @invariant()
    def outcomes_are_true(self):
        for job_id, outcomes in self.outcomes.items():
            homes = self.storage.items.get(records.home_key(job_id))
            stored = homes is not None and not records.is_withdrawn(homes.value)
            if SubmitOutcome.STORED in outcomes:
                assert stored
            if set(outcomes) <= {SubmitOutcome.REFUSED}:
                assert not stored
            if SubmitOutcome.WITHDRAWN in outcomes:
                assert not stored

    @invariant()
    def owners_are_told_of_jobs_in_their_partitions_only(self):
        for job_id, partition in self.notified:
            assert records.job_key(partition, job_id) in self.storage.items

    def teardown(self):
        self.withdrawals.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


TestHomes = HomesMachine.TestCase
TestHomes.settings = settings(max_examples=60, stateful_step_count=15, deadline=None)
