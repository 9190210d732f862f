"""Tests of the decisions on allotments, in virtual time."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplaryard.resources import ZERO, Resources
from poplaryard.workload import records
from poplaryard.workload.records import Allotment
from poplaryard.workload.tenancy.allotments import NO_LIMIT, Allotments
from poplaryard.workload.tenancy.usage import Usage
from tests.workload.allotment_sim import Simulation, task

PARTITIONS = ("a", "b", "c")
TENANTS = {"t1": task(10_000), "t2": Resources(20_000)}
FAULTS = ("done", "lost", "dropped", "late", "repeated", "down")
CAP = task(10_000)
CAPS = (3000, 6000, 10_000, 16_000, 30_000)
partitions = st.sampled_from(PARTITIONS)
tenants = st.sampled_from(sorted(TENANTS))


class AllotmentsMachine(RuleBasedStateMachine):
    """Owners of three partitions share two caps while everything fails.

    Guards against a running total above the highest cap that may be in force
    (`Simulation.check_total`), against allotments that are lost for good, and against a
    tenant that gets no room although its cap is free.
    """

    def __init__(self):
        super().__init__()
        self.sim = Simulation(TENANTS, PARTITIONS)
        self.sim.run(0.2)

    @rule(
        partition=partitions,
        tenant=tenants,
        cpu=st.sampled_from((500, 1000, 2500)),
        count=st.integers(1, 12),
        length_s=st.sampled_from((0.3, 2.0, 20.0)),
    )
    def submit(self, partition, tenant, cpu, count, length_s):
        self.sim.submit(partition, tenant, task(cpu), count, length_s)
        self.sim.run(0.1)

    @rule(seconds=st.sampled_from((0.05, 0.3, 2.0, 12.0, 35.0)))
    def wait(self, seconds):
        self.sim.run(seconds)

    @rule(faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4))
    def break_writes(self, faults):
        self.sim.faults = list(faults)

    @rule(trip_s=st.sampled_from((0.004, 0.1, 1.0)))
    def change_round_trip(self, trip_s):
        self.sim.trip_s = trip_s

    @rule(partition=partitions, charge=st.sampled_from((0, 4000, 100_000)))
    def crash(self, partition, charge):
        self.sim.claim(partition, task(charge))
        self.sim.run(0.1)

    @rule(partition=partitions, seconds=st.sampled_from((0.2, 1.0, 5.0)))
    def pause(self, partition, seconds):
        self.sim.owners[partition].paused_until = self.sim.now + seconds

    @rule(partition=partitions)
    def cut_off(self, partition):
        self.sim.owners[partition].cut_off = True

    @rule(partition=partitions)
    def reconnect(self, partition):
        self.sim.reconnect(self.sim.owners[partition])

    @rule(tenant=tenants, cpu=st.sampled_from(CAPS))
    def configure(self, tenant, cpu):
        cap = task(cpu) if tenant == "t1" else Resources(cpu)
        self.sim.configure(tenant, cap)
        self.sim.run(0.2)

    @rule(partition=partitions, tenant=tenants)
    def free_cap_is_had_soon(self, partition, tenant):
        """Check that a task starts within 1.5 s if nothing is broken."""
        self.sim.end_faults()
        self.sim.trip_s = 0.05
        self.sim.drop_waiting()
        self.sim.run(13.0)
        if (self.sim.totals[tenant] + task(2000)).fits_in(task(3000)):
            self.sim.submit(partition, tenant, task(1000), 2, length_s=20.0)
            self.sim.run(1.5)
            assert not self.sim.waiting[partition][tenant]

    @invariant()
    def records_stay_within_their_caps(self):
        for tenant, (value, _) in self.sim.records.items():
            record = records.decode_allotment(value)
            granted = self.sim.granted(tenant)
            assert granted.cpu_m <= record.cap.cpu_m
            assert granted.mem_mb <= record.cap.mem_mb or not record.cap.mem_mb

    @invariant()
    def what_owners_may_use_is_granted(self):
        for partition, owner in self.sim.owners.items():
            for tenant, (value, _) in self.sim.records.items():
                usable = owner.allotments.available(tenant)
                entry = records.decode_allotment(value).granted.get(partition, ZERO)
                assert usable.cpu_m <= entry.cpu_m

    def teardown(self):
        self.sim.end_faults()
        self.sim.drop_waiting()
        self.sim.run(75.0)
        for tenant in TENANTS:
            assert self.sim.granted(tenant) == ZERO


TestAllotments = AllotmentsMachine.TestCase
TestAllotments.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)


def allotments(record=None, cap=CAP, partition="a"):
    found = Allotments(partition, random.Random(1))
    found.configure({"t1": cap})
    if record is not None:
        found.record_changed("t1", record, 5)
    found.loaded = True
    return found


def only(writes):
    assert len(writes) == 1
    return writes[0]


def test_increase_counts_once_written_and_decrease_at_once():
    found = allotments()
    usage = {"t1": Usage(waiting=task(4000))}
    write = only(found.plan(0.0, usage))
    assert not found.may_start("t1", ZERO, task(1000))
    found.in_doubt([write])
    assert not found.may_start("t1", ZERO, task(1000))
    again = only(found.plan(1.0, usage) or found.plan(2.0, usage))
    assert again.expected == write.expected == 0
    found.written([again], 6)
    assert found.may_start("t1", task(3000), task(1000))
    assert not found.plan(3.0, {})
    back = only(found.plan(40.0, {}))
    assert back.after == ZERO
    assert not found.may_start("t1", ZERO, task(1000))


def test_lowered_cap_binds_at_once_in_proportion():
    record = Allotment(task(10_000), {"a": task(4000), "b": task(6000)})
    found = allotments(record)
    found.configure({"t1": task(5000)})
    assert found.available("t1") == Resources(2000, 200, NO_LIMIT)
    assert not found.may_start("t1", ZERO, task(1000))


def test_components_without_limit_are_not_checked():
    record = Allotment(Resources(10_000), {"a": Resources(4000)})
    found = allotments(record, cap=Resources(10_000))
    assert found.may_start("t1", Resources(0, 999, 9), Resources(4000, 99_999, 5))
    assert found.available("t1") == Resources(4000, NO_LIMIT, NO_LIMIT)
    found.configure({"t2": ZERO})
    assert found.available("t2") is None
    assert found.may_start("t2", ZERO, task(10**6))


def test_nothing_with_a_tenant_starts_before_the_records_are_read():
    found = Allotments("a")
    found.configure({"t1": task(10_000)})
    assert not found.may_start("t1", ZERO, task(1))
    assert not found.may_start("removed", ZERO, task(1))
    found.configure({"t2": ZERO})
    assert found.may_start("t2", ZERO, task(1))
    assert found.may_start("", ZERO, task(1))
    found.record_changed("t1", Allotment(CAP, {"a": CAP}), 5)
    assert not found.may_start("t1", ZERO, task(1))
    assert found.available("t1") == ZERO


def test_negative_cap_permits_nothing():
    found = allotments(cap=Resources(-1, -1, -1))
    assert not found.may_start("t1", ZERO, task(1))
    assert not found.plan(0.0, {"t1": Usage(waiting=task(1))})


def test_removed_tenant_keeps_the_recorded_cap():
    record = Allotment(task(5000), {"a": task(2000)})
    found = Allotments("a")
    found.record_changed("old", record, 4)
    found.loaded = True
    assert found.may_start("old", task(1000), task(1000))
    assert not found.may_start("old", task(2000), task(1000))


def test_recorded_cap_is_not_raised_soon_after_another_owner_lowered_it():
    """Guards against an owner with an old configuration that undoes a lower cap."""
    found = allotments(Allotment(task(10_000), {"b": task(1000)}))
    lowered = Allotment(task(3000), {"b": task(1000)})
    found.record_changed("t1", lowered, 7)
    usage = {"t1": Usage(waiting=task(8000))}
    write = only(found.plan(0.0, usage))
    assert write.record.cap == task(3000)
    assert write.after.fits_in(task(2000))
    found.written([write], 8)
    later = only(found.plan(2.5, usage))
    assert later.record.cap == task(10_000)


def test_unreadable_entries_are_repaired_by_owners_with_runs_first():
    value = b'{"cap": [10000, 1000, 0], "granted": {"a": 7, "b": [4000, 400, 0]}}'
    record = records.decode_allotment(value)
    assert not record.readable
    busy, idle = allotments(record), allotments(record, partition="c")
    write = only(busy.plan(0.0, {"t1": Usage(used=task(3000))}))
    assert write.record.granted == {"a": task(3000), "b": task(4000)}
    assert not idle.plan(0.0, {"t1": Usage(waiting=task(1000))})
    assert idle.plan(1.1, {"t1": Usage(waiting=task(1000))})


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"granted": []}', b"{}"])
def test_unreadable_records_grant_nothing(value):
    record = records.decode_allotment(value)
    assert not record.readable
    assert not allotments(record).may_start("t1", ZERO, task(1000))


def test_wanted_room_is_returned_and_ended_runs_are_not_replaced_above_an_even_part():
    record = Allotment(task(10_000), {"a": task(10_000)}, {"b": task(8000)})
    found = allotments(record)
    busy = Usage(task(9000), task(20_000))
    write = only(found.plan(0.0, {"t1": busy}))
    assert write.after == task(9000)
    found.written([write], 6)
    assert not found.may_start("t1", task(8000), task(1000))
    assert found.may_start("t1", task(3000), task(1000))


def test_partitions_take_turns_if_no_even_part_holds_a_task():
    """Guards against parts of which none is large enough for one task."""
    sim = Simulation({"t1": task(10_000)}, PARTITIONS)
    for partition in PARTITIONS:
        sim.submit(partition, "t1", task(8000), 30, length_s=1.0)
    seen = set()
    for _ in range(150):
        sim.run(0.2)
        seen |= {run[3] for run in sim.runs}
    assert seen == set(PARTITIONS)


def test_return_in_doubt_is_not_used_until_it_is_settled():
    """Guards against use of room that the store may have given to another owner."""
    record = Allotment(CAP, {"a": task(6000), "b": task(4000)}, {"b": task(3000)})
    found = allotments(record)
    write = only(found.plan(0.0, {"t1": Usage(used=task(1000))}))
    assert write.after == task(3000)
    found.in_doubt([write])
    assert not found.may_start("t1", task(1000), task(3000))
    retry = only(found.plan(1.0, {}) or found.plan(2.0, {"t1": Usage(task(1000))}))
    assert retry.expected == write.expected
    found.refused([retry], {})
    assert not found.may_start("t1", task(1000), task(3000))
    # Neither write was carried out, and none can be any more.
    found.record_changed("t1", record, 9)
    assert found.may_start("t1", task(1000), task(3000))


def test_older_records_are_ignored():
    """Guards against the late report of a record that has been replaced."""
    found = allotments(Allotment(CAP, {"a": task(1000)}))
    found.record_changed("t1", Allotment(CAP, {"a": task(9000)}), 4)
    assert not found.may_start("t1", ZERO, task(2000))


def test_parts_in_which_no_task_fits_are_not_taken():
    record = Allotment(CAP, {"b": task(6000)})
    found = allotments(record)
    assert not found.may_start("t1", ZERO, task(8000))
    write = only(found.plan(0.0, {"t1": Usage(waiting=task(16_000))}))
    assert write.after == ZERO
    assert write.record.wanted["a"].cpu_m == 10_000


def test_no_room_is_taken_for_workers_that_have_not_reported():
    """Guards against caps that are held for runs that no worker has, after a crash."""
    found = allotments(Allotment(CAP, {"a": task(1000)}))
    assert not found.plan(0.0, {"t1": Usage(used=task(8000))})
