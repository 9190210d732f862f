"""Tests of reservations, preemption and early advice under load."""

from poplaryard.workload.model import AdviceCost, JobState
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import SimulatedGroup, wanted_advice

# Number of steps that no worker can run: several times the searches of a pass.
HOPELESS = 40


def small_jobs(group, count, first=0, **fields):
    fields.setdefault("estimate_s", 2.0)
    for number in range(first, first + count):
        group.submit(job(f"{number:016x}", step(1, **fields), priority=2))


def test_gang_starts_soon_among_a_stream_of_small_tasks():
    """Guards against a gang starved by less urgent small tasks that fill every gap."""
    group = SimulatedGroup(workers=2)
    gang = job("f" * 16, step(2, cpu=4000, gang=True), priority=1)
    for number in range(40):
        small_jobs(group, 1, number)
        if number == 10:
            group.submit(gang)
            submitted = group.now
        group.run(0.25)
    started = group.partition.jobs["f" * 16].first_start_at
    assert 0 < started - submitted < 4.0


def test_gang_preempts_checkpointable_tasks_at_once():
    group = SimulatedGroup(workers=1)
    small_jobs(group, 4, estimate_s=30.0, checkpointable=True)
    group.run(0.5)
    group.submit(job("f" * 16, step(2, cpu=2000, gang=True), priority=1))
    group.run(1.0)
    assert group.partition.jobs["f" * 16].started


def test_tasks_without_checkpoints_are_not_preempted():
    """Guards against losing the progress of runs to a more urgent job."""
    group = SimulatedGroup(workers=1)
    small_jobs(group, 4, estimate_s=5.0)
    group.run(0.5)
    group.submit(job("f" * 16, step(2, cpu=2000, gang=True), priority=1))
    group.run(12)
    states = {job.state for job in group.partition.jobs.values()}
    assert states == {JobState.DONE}
    assert len(group.starts()) == 6


def test_nothing_is_preempted_or_reserved_for_tasks_beyond_a_limit_per_worker():
    """Guards against room that is kept free for tasks that must not start there."""
    group = SimulatedGroup(workers=1)
    limited = step(2, cpu=1000, estimate_s=1e6, lasting=True, max_per_worker=1)
    group.submit(job("f" * 16, limited, priority=1))
    group.run(0.2)
    small_jobs(group, 3, cpu=900, estimate_s=30.0, checkpointable=True)
    for _ in range(10):
        group.run(1.0)
        assert group.partition.summary(group.now)["plans"] == 0
    assert len(group.starts()) == 4


def test_room_is_reserved_where_a_task_of_a_limited_step_ends_soon():
    """Guards against small tasks that take the room before the next task starts."""
    group = SimulatedGroup(workers=1)
    limited = step(2, cpu=3000, estimate_s=2.0, max_per_worker=1)
    group.submit(job("f" * 16, limited, priority=1))
    group.run(1.0)
    assert group.partition.summary(group.now)["plans"] == 1


def test_steps_whose_tasks_all_run_need_no_plan():
    """Guards against a gang without reserved room, as running steps use up the plans.

    Pattern: large tasks fill the group, and small ones would fill each gap.
    """
    group = SimulatedGroup(workers=2)
    for number in range(4):
        large = step(1, cpu=2000, estimate_s=4.0 if number < 2 else 60.0)
        group.submit(job(f"{number:016x}", large, priority=0))
    group.run(0.3)
    group.submit(job("f" * 16, step(2, cpu=2000, gang=True), priority=1))
    group.run(1.0)
    assert group.partition.summary(group.now)["plans"] == 1


def submit_hopeless(group):
    """Submit large tasks that no worker can run, and wait until they are starved."""
    for number in range(HOPELESS):
        name = f"{0xE00 + number:016x}"
        group.submit(job(name, step(1, label="none"), priority=0, stretch=50.0))
    group.run(2.0)


def test_gang_whose_permits_have_lapsed_starts_behind_hopeless_steps():
    """Guards against a gang that asks for advice no more, as no plan is made for it."""
    group = SimulatedGroup(workers=2)
    small_jobs(group, 2, cpu=4000, estimate_s=6.0)
    group.run(0.2)
    submit_hopeless(group)
    gang = step(2, cpu=2000, gang=True)
    spec = job("f" * 16, gang, priority=1, stretch=100.0, advice=ADVICE)
    group.submit(spec)
    group.run(8.0)
    assert group.partition.jobs["f" * 16].started


def test_gang_behind_hopeless_steps_starts_among_a_stream_of_small_tasks():
    """Guards against a gang for which no room is reserved behind hopeless steps."""
    group = SimulatedGroup(workers=2)
    submit_hopeless(group)
    for number in range(48):
        small_jobs(group, 1, number)
        if number == 10:
            group.submit(job("f" * 16, step(2, cpu=4000, gang=True), priority=1))
            submitted = group.now
        group.run(0.25)
    started = group.partition.jobs["f" * 16].first_start_at
    assert 0 < started - submitted < 5.0


def test_one_free_slot_leads_to_one_call_for_advice():
    """Guards against useless slow calls while many jobs wait for few workers."""
    group = SimulatedGroup(workers=0)
    group.add_worker(worker_info(0, cpu=1000))
    group.run(0.2)
    for number in range(6):
        group.submit(job(f"{number:016x}", advice=ADVICE))
    asked = []
    while True:
        request = wanted_advice(group.partition, group.now)
        if request is None:
            break
        asked.append(request.step.name)
    assert len(asked) == 1


def test_under_overload_half_of_the_jobs_are_in_time_and_all_finish():
    """Guards against serving late jobs first, which makes most jobs late.

    The burst is three times the capacity.
    """
    group = SimulatedGroup(workers=2)
    for number in range(72):
        spec = job(f"{number:016x}", stretch=2.0, slack_s=1.0)
        group.submit(spec)
        if number % 6 == 5:
            group.run(0.25)
    in_time = 0
    while not all(job.state.final for job in group.partition.jobs.values()):
        group.run(0.25)
        assert group.now < 200
    for done in group.partition.jobs.values():
        age_s = done.progress.finished_at - 1_000_000.0 - done.arrived_at
        in_time += age_s <= done.spec.objective_s()
    # Half of the jobs, although the capacity is a third of the load. In order of
    # arrival, 30 jobs are in time.
    assert in_time >= 36


def test_room_reserved_for_a_gang_without_permit_does_not_starve_a_small_job():
    """Guards against room kept idle for a gang whose calls for advice keep failing."""
    group = SimulatedGroup(workers=2)
    group.run(0.2)
    gang = job("f" * 16, step(2, cpu=4000, gang=True), priority=1, advice=ADVICE)
    group.submit(gang)
    request = wanted_advice(group.partition, group.now)
    tickets = dict.fromkeys(request.workers, "t")
    # The tickets have expired when they arrive.
    group.partition.advice_answered(request, tickets, group.now, group.now)
    group.advise = lambda: None
    group.run(0.5)
    small_jobs(group, 1)
    group.run(2.5)
    assert group.partition.jobs["0" * 16].started


def test_urgent_gang_keeps_its_reservation_while_most_of_the_group_is_busy():
    """Guards against small jobs that take reserved room after a long wait."""
    group = SimulatedGroup(workers=2)
    small_jobs(group, 1, cpu=4000, estimate_s=8.0)
    small_jobs(group, 1, 1, cpu=2000, estimate_s=5.0)
    group.run(2.0)
    group.submit(job("f" * 16, step(1, cpu=4000, gang=True), priority=1))
    group.run(0.2)
    small_jobs(group, 2, 2, cpu=1000)
    group.run(7.0)
    gang = group.partition.jobs["f" * 16]
    assert gang.started
    assert gang.first_start_at < group.partition.jobs["3".zfill(16)].first_start_at


def test_advice_for_a_gang_is_requested_before_it_has_room():
    """Guards against free room that stays idle during a call for advice."""
    group = SimulatedGroup(workers=1)
    small_jobs(group, 1, cpu=4000, estimate_s=3.0)
    group.run(0.3)
    slow = AdviceCost(base_s=0.9, per_worker_s=0.01, valid_s=2.0)
    group.submit(job("f" * 16, step(1, cpu=4000, gang=True), priority=1, advice=slow))
    first = wanted_advice(group.partition, group.now)
    assert first is not None
    group.partition.advice_answered(first, {"w0": "t"}, group.now + 2.0, group.now)
    group.advise = lambda: None
    group.run(0.3)
    assert wanted_advice(group.partition, group.now) is None
    group.run(1.7)
    assert wanted_advice(group.partition, group.now) is not None


def test_advice_for_a_task_is_requested_before_a_worker_has_room():
    group = SimulatedGroup(workers=1)
    small_jobs(group, 1, cpu=4000, estimate_s=2.0)
    group.run(0.3)
    advice = AdviceCost(base_s=0.3, per_worker_s=0.01, valid_s=2.0)
    group.submit(job("f" * 16, step(1, cpu=3000), advice=advice))
    assert wanted_advice(group.partition, group.now) is None
    group.advise = lambda: None
    group.run(1.5)
    assert wanted_advice(group.partition, group.now) is not None


def test_advice_names_only_as_many_workers_as_the_tasks_need():
    """Guards against slow calls for short urgent jobs on a large, nearly empty group.

    Each worker that a call names adds to its duration.
    """
    group = SimulatedGroup(workers=0)
    for number in range(60):
        group.add_worker(worker_info(number, address=f"10.0.1.{number}:80"))
    group.run(0.1)
    quick = AdviceCost(base_s=0.02, per_worker_s=0.0003, valid_s=2.0)
    group.submit(job("f" * 16, step(4, cpu=1000), advice=quick))
    request = wanted_advice(group.partition, group.now)
    # Room for 16 tasks is wanted, four for each task. Four workers have that, but a
    # call names at least eight.
    assert len(request.workers) == 8


def test_permits_for_the_next_short_step_are_there_before_it_is_ready():
    """Guards against a job of short steps that waits for advice before each step."""
    group = SimulatedGroup(workers=1)
    group.run(0.1)
    advice = AdviceCost(base_s=0.02, per_worker_s=0.01, valid_s=2.0)
    steps = step(1, estimate_s=0.8), step(1, estimate_s=0.8, after=(0,))
    group.submit(job("f" * 16, *steps, advice=advice))
    group.run(0.5)
    assert group.partition.jobs["f" * 16].occurrences[0][1].permits
