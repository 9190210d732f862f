"""Builders for tests of learned run times."""

import math
import random

from poplaryard.workload.run_times import RunTimes, RunTimeUses
from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import SimulatedGroup

ALL_USES = RunTimeUses.all()


class TimedGroup(SimulatedGroup):
    """Group whose tasks take other times than declared.

    ``true_s`` maps job ids to the run time of their tasks on a worker of usual speed,
    ``slow_tasks`` task names to the run times of single tasks; both in seconds.
    """

    def __init__(self, *args, uses=ALL_USES, **fields):
        super().__init__(*args, run_time_uses=uses, **fields)
        self.true_s = {}
        self.slow_tasks = {}

    def run_time_s(self, run):
        if run.task.name in self.slow_tasks and run.number == 1:
            return self.slow_tasks[run.task.name]
        job_id = run.task.step.job.spec.job_id
        return self.true_s.get(job_id) or super().run_time_s(run)

    def submit_timed(self, job_id, true_s, declared_s, count=1, cpu=1000, **fields):
        """Submit a job of one step whose tasks take `true_s` seconds."""
        self.true_s[job_id] = true_s
        step_fields = {
            name: fields.pop(name)
            for name in ("speculative", "gang", "checkpointable")
            if name in fields
        }
        tasks = step(count, cpu=cpu, estimate_s=declared_s, **step_fields)
        return self.submit(job(job_id, tasks, **fields))

    def expectation(self, job_id, number=0):
        """Return the expected run time of a step of a job."""
        return self.partition.jobs[job_id].occurrences[0][number].expectation

    def ended_at(self, job_id):
        """Return the time at which a job was done, on the group's clock."""
        finished_at = self.partition.jobs[job_id].progress.finished_at
        assert finished_at, job_id
        return finished_at - 1_000_000.0


def sampled(count, error, spread=0.5, bias=0.0, typical_s=2.0, seed=1, queue="checks"):
    """Return learned run times of a queue, from samples with errors of declaration.

    `error` and `spread` are standard deviations of the logarithms of declared to true,
    and of true to typical time; `bias` is added to the logarithm of declared times.
    """
    rng = random.Random(seed)
    found = RunTimes()
    for _ in range(count):
        true_s = typical_s * math.exp(rng.gauss(0, spread))
        declared_s = true_s * math.exp(rng.gauss(bias, error))
        found.add(queue, 0, declared_s, true_s)
    return found


def two_speeds(slow=1.8, **fields):
    """Return a group of two usual workers and a slow one, whose slowness is known."""
    group = TimedGroup(workers=0, **fields)
    for number, slowness in enumerate((1.0, slow, 1.0)):
        group.add_worker(worker_info(number, cpu=1000))
        group.sims[f"w{number}"].slowness = slowness
    group.run(0.2)
    group.partition.workers["w1"].slowness = math.log(slow)
    return group
