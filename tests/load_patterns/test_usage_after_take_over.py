"""Pattern: a partition changes its owner under load, and workers report late."""

from poplaryard.resources import Resources
from poplaryard.workload.model import Suspect
from tests.workload.builders import job, step, tenants, worker_info
from tests.workload.fakes import FixedCaps, SimulatedGroup

JOB = "a" * 16
LAPSE_S = 14.0
CAPACITY = Resources(4000, 8000, 0)


def successor(group, **fields):
    """Return the next owner's view of a group, before any worker has reported."""
    suspects = group.partition.possible_run_holders(group.now)
    later = SimulatedGroup(
        sims=group.sims,
        fence=group.fence + 1,
        now=group.now,
        quarantine_until=group.now + LAPSE_S,
        suspects=suspects,
        loaded_at=group.now,
        **fields,
    )
    later.partition.configure_tenants(tenants(a=1, b=1))
    return later


def loaded_group(tasks=6):
    group = SimulatedGroup(workers=2)
    group.partition.configure_tenants(tenants(a=1, b=1))
    group.submit(job(JOB, step(tasks, estimate_s=60.0), tenant="a"))
    group.run(1.0)
    return group


def used(group, tenant="a"):
    usage = group.partition.tenant_usage(group.now)
    return usage[tenant].used if tenant in usage else Resources()


def on_w0(group):
    """Return what runs on the worker that answers."""
    return Resources(1000, 100, 0).times(len(group.sims["w0"].runs))


def test_workers_that_have_not_reported_count_with_their_capacity():
    """Guards against a total above the cap because runs are not known yet."""
    group = loaded_group()
    later = successor(group)
    later.submit(job(JOB, step(6, estimate_s=60.0), tenant="a"), fresh=False)
    later.submit(job("b" * 16, step(1), tenant="b"))
    assert used(later) == CAPACITY.times(2)
    # No earlier owner can have started jobs of b.
    assert used(later, "b") == Resources()
    later.run(0.2)
    assert used(later) == Resources(6000, 600, 0)


def test_silent_worker_counts_until_its_leases_have_lapsed():
    """Guards against a charge for good, and one that ends while runs may go on."""
    group = loaded_group()
    later = successor(group)
    later.submit(job(JOB, step(6, estimate_s=60.0), tenant="a"), fresh=False)
    group.sims["w1"].unreachable = True
    later.run(1.0)
    assert used(later) == CAPACITY + on_w0(group)
    later.run(LAPSE_S - 1.2)
    assert used(later) == CAPACITY + on_w0(group)
    later.run(0.5)
    assert used(later) == on_w0(group)


def test_nothing_starts_beyond_the_cap_before_workers_report():
    """Guards against starts beside runs of the earlier owner that fill the cap."""
    group = loaded_group(tasks=3)
    cap = Resources(3000, 10_000, 0)
    later = successor(group)
    later.partition.caps = FixedCaps(a=cap)
    later.submit(job(JOB, step(3, estimate_s=60.0), tenant="a"), fresh=False)
    later.submit(job("b" * 16, step(4, estimate_s=60.0), tenant="a"))
    later.add_worker(worker_info(5))
    for name in ("w0", "w1"):
        group.sims[name].unreachable = True
    for _ in range(40):
        later.run(0.05)
        running_now = sum(len(sim.runs) for sim in later.sims.values())
        assert running_now * 1000 <= cap.cpu_m


def test_worker_with_known_tasks_counts_with_these():
    """Guards against charging each tenant for workers whose tasks are recorded."""
    suspects = {"w0": Suspect("10.0.0.0:80", tasks=(f"{JOB}.0.0.0", "odd", "x.y.z"))}
    group = SimulatedGroup(workers=0, suspects=suspects, quarantine_until=130.0)
    group.submit(job(JOB, step(2, cpu=1500), tenant="a"), fresh=False)
    assert used(group) == Resources(1500, 100, 0)
    group.now = 131.0
    assert used(group) == Resources()


def test_worker_of_unknown_capacity_counts_as_the_largest():
    """Guards against an unlisted worker that counts as one without capacity."""
    suspects = {"gone": Suspect("10.0.0.9:80")}
    group = SimulatedGroup(workers=1, suspects=suspects, quarantine_until=130.0)
    group.partition.add_unlisted_suspect("gone", suspects["gone"])
    group.submit(job(JOB, step(2), tenant="a"), fresh=False)
    group.run(0.3)
    # The job waits for the worker that does not answer.
    assert used(group) == CAPACITY


def test_run_that_was_not_adopted_counts_until_it_is_stopped():
    """Guards against a second run beside one that is being stopped."""
    group = loaded_group(tasks=1)
    worker_id = next(name for name, sim in group.sims.items() if sim.runs)
    other = next(name for name in group.sims if name != worker_id)
    later = successor(group)
    later.submit(job(JOB, step(1, estimate_s=60.0), tenant="a"), fresh=False)
    # The other worker reports a second run of the task first, which is adopted.
    later.sims[other].runs[f"{JOB}.0.0.0", 9] = [later.now, later.now + 60.0]
    later.sims[worker_id].stop = lambda run, fence: False
    for name in (other, worker_id):
        worker = later.partition.workers[name]
        later.renew_leases(worker, later.sims[name])
    assert used(later) == Resources(2000, 200, 0)
    later.run(0.5)
    assert used(later) == Resources(2000, 200, 0)
    later.sims[worker_id].runs.clear()
    later.run(0.5)
    assert used(later) == Resources(1000, 100, 0)


def test_run_to_be_stopped_counts_after_its_worker_has_left():
    """Guards against a cap exceeded by runs on a worker that left and was forgotten.

    The earlier owner's run is not adopted, as its job was cancelled.
    """
    group = loaded_group(tasks=1)
    later = successor(group)
    later.submit(job(JOB, step(1, estimate_s=60.0), tenant="a"), fresh=False)
    later.partition.cancel(JOB, later.now)
    busy = next(sim for sim in group.sims.values() if sim.runs)
    busy.stop = lambda run, fence: False
    later.run(0.3)
    busy.unreachable = True
    later.partition.worker_unlisted(busy.info.worker_id, later.now)
    while later.now < 110.0 and busy.runs:
        assert used(later) == Resources(1000, 100, 0)
        later.run(0.2)
    assert busy.info.worker_id not in later.partition.workers
    later.run(2.0)
    assert used(later) == Resources()
