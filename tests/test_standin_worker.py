import asyncio

import testtools

from poplaryard.codes import Code
from poplaryard.messages import (
    AttemptState,
    StartAttempt,
    StopAttempt,
    StopMode,
    Work,
    WorkKind,
)
from poplaryard.resources import Resources
from poplaryard.standin_worker import CONNECTIONS, SLOTS, Faults, WorkerVm
from poplaryard.workers import Renewal

CAPACITY = Resources(16_000, 32_768, 0)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def start(attempt="a1", epoch=1, valid_until_ms=200_000, executor="", **work):
    kind = WorkKind.REQUEST if executor else WorkKind.SERVICE
    work = Work(f"r-{attempt}", **{"kind": kind, **work})
    return StartAttempt("vm", attempt, epoch, valid_until_ms, work, 0, executor)


class WorkerVmTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.vm = WorkerVm("vm", CAPACITY, self.clock)

    def code(self, *args, **fields):
        return self.vm.start(start(*args, **fields)).code

    def test_lower_epochs_are_refused(self):
        """Guards against a stand-in that obeys an old owner after a take-over (G1)."""
        self.assertTrue(self.vm.claim(2).accepted)
        self.assertEqual(Code.STALE_EPOCH, self.code(epoch=1))
        self.assertFalse(self.vm.claim(1).accepted)
        self.vm.set_faults(Faults(ignore_epochs=True))
        self.assertEqual(Code.OK, self.code(epoch=1))

    def test_late_and_repeated_starts_are_refused(self):
        """Guards against a stand-in that starts late, or one attempt twice (G2, G3)."""
        self.assertEqual(Code.START_EXPIRED, self.code(valid_until_ms=99_999))
        self.assertEqual(Code.OK, self.code())
        self.assertEqual(Code.ATTEMPT_REPEATED, self.code())

    def test_an_overfilling_start_is_refused_and_counted(self):
        """Guards against overcommitment (P1) that the run records do not show."""
        self.assertEqual(Code.OK, self.code(need=CAPACITY))
        self.assertEqual(Code.WORKER_FULL, self.code("a2", need=Resources(1)))
        self.assertEqual(1, self.vm.overcommits)

    def test_tasks_end_with_their_lease(self):
        """Guards against tasks that run on without a lease (G4)."""
        asyncio.run(self._check_lease())

    async def _check_lease(self):
        self.code()
        self.clock.now += 3.0
        await self.vm.poll(1, 0, 0.0)
        self.clock.now += 3.0
        self.vm.expire()
        self.assertEqual(AttemptState.RUNNING, self.vm.claim(1).attempts[0].state)
        self.clock.now += 1.5
        self.vm.expire()
        self.assertEqual("stopped", self.vm.records[0].state)

    def test_a_late_poll_renews_nothing(self):
        """Guards against a lease that a paused owner renews too late.

        Its successor has waited for the lease to end and may run the exclusive key
        again (P2).
        """

        async def poll():
            self.code("a1")
            self.code("a2", exclusive_key="k")
            self.clock.now += 3.0
            await self.vm.poll(1, 0, 0.0, Renewal(103_000, 102_999))
            self.clock.now += 2.0
            self.vm.expire()
            states = {i.attempt_id: i.state for i in self.vm.claim(1).attempts}
            self.assertEqual(AttemptState.RUNNING, states["a1"])
            self.assertEqual(AttemptState.STOPPED, states["a2"])

        asyncio.run(poll())

    def test_claims_report_running_and_ended_attempts(self):
        """Guards against a claim that omits attempts or never forgets them (G5)."""
        self.code("a1")
        self.code("a2")
        self.vm.stop(StopAttempt("vm", "a1", 1, StopMode.CHECKPOINT))
        states = {item.attempt_id: item.state for item in self.vm.claim(2).attempts}
        self.assertEqual(
            {"a1": AttemptState.CHECKPOINTED, "a2": AttemptState.RUNNING}, states
        )
        self.clock.now += 601.0
        self.assertEqual(1, len(self.vm.claim(2).attempts))

    def test_reports_are_kept_until_they_are_acknowledged(self):
        """Guards against a report lost because the reply to a poll was lost."""
        asyncio.run(self._check_reports())

    async def _check_reports(self):
        self.code()
        self.vm.stop(StopAttempt("vm", "a1", 1))
        for _ in range(2):
            reply, number = await self.vm.poll(1, 0, 0.0)
            self.assertEqual(1, len(reply.attempts))
        self.assertEqual((), (await self.vm.poll(1, number, 0.0))[0].attempts)
        self.vm.set_faults(Faults(duplicate_reports=True, leaving=True))
        self.code("a2")
        self.vm.stop(StopAttempt("vm", "a2", 1))
        _, number = await self.vm.poll(1, number, 0.0)
        reply, _ = await self.vm.poll(1, number, 0.0)
        self.assertEqual((1, True), (len(reply.attempts), reply.leaving))

    def test_a_claim_ends_the_poll_of_the_old_owner(self):
        """Guards against an old owner that renews leases after a take-over."""
        asyncio.run(self._check_claim())

    async def _check_claim(self):
        poll = asyncio.create_task(self.vm.poll(1, 0, 60.0))
        await asyncio.sleep(0)
        self.vm.claim(2)
        reply, _ = await asyncio.wait_for(poll, 10.0)
        self.assertEqual(2, reply.epoch)

    def test_executors_limit_slots_and_connections(self):
        """Guards against an executor that accepts any number of requests."""
        asyncio.run(self._check_executor())

    async def _check_executor(self):
        self.assertEqual(Code.WORKER_FULL, self.code("r", executor="gone"))
        self.code("e1")
        payload = {"run_ms": 60_000}
        codes = [
            self.code(f"q{index}", executor="e1", payload=payload)
            for index in range(CONNECTIONS + 1)
        ]
        self.assertEqual([Code.OK] * CONNECTIONS + [Code.WORKER_FULL], codes)
        self.assertEqual(SLOTS, self.vm._running["e1"].busy)
        self.vm.stop(StopAttempt("vm", "e1", 1, StopMode.DRAIN))
        self.assertIn("e1", self.vm._running)
        self.vm.stop(StopAttempt("vm", "q0", 1))
        self.assertEqual(SLOTS, self.vm._running["e1"].busy)
        self.vm.stop(StopAttempt("vm", "e1", 1))

    def test_failing_and_paused_workers(self):
        """Guards against set faults that have no effect."""
        asyncio.run(self._check_faults())

    async def _check_faults(self):
        self.vm.set_faults(Faults(fail_all=True))
        self.code("e1")
        self.code("q1", executor="e1", payload={"echo": 1})
        reply, _ = await self.vm.poll(1, 0, 10.0)
        self.assertEqual(AttemptState.FAILED, reply.attempts[0].state)
        self.vm.set_faults(Faults(paused=True))
        self.code("q2", executor="e1")
        await asyncio.sleep(0.01)
        self.clock.now += 60.0
        self.vm.set_faults(Faults())
        await asyncio.sleep(0.01)
        self.assertEqual("stopped", self.vm.records[-1].state)
