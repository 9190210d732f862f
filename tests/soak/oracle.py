"""What the soak checks: promises seen from workers and callers."""

import typing as t
from dataclasses import dataclass, field

# Bounds of the users' pages, in seconds: a cancelled job starts nothing after this, and
# an accepted job is known after this.
CANCEL_S = 3.0
VISIBLE_S = 3.0


@dataclass
class SoakJob:
    """Job as its caller knows it.

    Attributes
    ----------
    refused, in_doubt : int
        Attempts answered "never runs", and attempts without a usable answer.
    done : set of str
        Tasks of which a run has ended done.
    """

    job_id: str
    payload: str
    steps: list[dict[str, t.Any]]
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    attempts: int = 0
    refused: int = 0
    in_doubt: int = 0
    state: str = ""
    done: set[str] = field(default_factory=set)

    @property
    def lasting(self):
        return any(step.get("daemon") for step in self.steps)

    def step_of(self, task):
        return self.steps[int(task.split(".")[2])]

    def tasks(self, number):
        count = self.steps[number]["count"]
        return {f"{self.job_id}.0.{number}.{index}" for index in range(count)}


class Oracle:
    """Takes in what workers and callers see, and lists broken promises."""

    def __init__(self, clock):
        self._clock = clock
        self.jobs = {}
        self.broken = []
        self.starts = 0
        self._running = {}
        self._starts_at = {}
        self._noted = set()

    def violate(self, rule, detail):
        self.broken.append(f"{self._clock():8.3f} {rule}: {detail}")

    def started(self, worker, task, run, payload):
        """Check a start on a worker."""
        self.starts += 1
        now = self._clock()
        what = f"{task} run {run} on {worker.name}"
        job = self.jobs.get(task.partition(".")[0])
        if job is None or job.payload != payload:
            self.violate("UNASKED", f"{what}: no caller handed this in")
            return
        step = job.step_of(task)
        if job.attempts and job.refused == job.attempts:
            self.violate("REFUSED", f"{what}: every attempt was refused")
        if job.cancelled_at and now > job.cancelled_at + CANCEL_S:
            self.violate("UNASKED", f"{what}: cancelled {now - job.cancelled_at:.1f} s")
        if not all(job.tasks(number) <= job.done for number in step.get("after", ())):
            self.violate("ORDER", f"{what}: an earlier step is not done")
        if not step.get("speculative"):
            alive = [at for at in self._running.get(task, ()) if at[0].up]
            if alive:
                runs = [(other.name, number) for other, number in alive]
                self.violate("TWICE", f"{what}: also {runs}")
            if task in self._noted:
                self.violate("TWICE", f"{what}: its end was noted")
        if worker.used + step["cpu"] > worker.cpu:
            self.violate("LIMIT", f"{what}: {worker.used} of {worker.cpu} are used")
        self._running.setdefault(task, set()).add((worker, run))
        self._starts_at.setdefault(task, []).append(now)

    def ended(self, worker, task, run, how):
        """Take in that a run has ended."""
        self._running.get(task, set()).discard((worker, run))
        job = self.jobs.get(task.partition(".")[0])
        if how == "done" and job is not None:
            job.done.add(task)

    def noted(self, task, how, ended_at):
        """Check an end that an owner has acknowledged."""
        job = self.jobs.get(task.partition(".")[0])
        if how != "done" or job is None:
            return
        later = [at for at in self._starts_at.get(task, ()) if at > ended_at]
        if later and not job.step_of(task).get("speculative"):
            self.violate("TWICE", f"{task}: started after an end that was noted")
        self._noted.add(task)

    def shown(self, job, status, state):
        """Check the state that a caller is shown."""
        now = self._clock()
        if status == 410 and now > job.accepted_at + VISIBLE_S:
            self.violate("LOST", f"{job.job_id}: not known, though it was accepted")
        if state == "done":
            wanted = set().union(*map(job.tasks, range(len(job.steps))))
            if not wanted <= job.done:
                self.violate("MIXED", f"{job.job_id}: shown as done before it is")
        if state == "cancelled" and not job.cancelled_at and not job.in_doubt:
            self.violate("LOST", f"{job.job_id}: cancelled by nobody")
        job.state = state or job.state

    def finish(self):
        """Check that every accepted job has ended."""
        for job in self.jobs.values():
            final = job.state in ("done", "cancelled")
            if job.accepted_at and not final and not job.lasting:
                self.violate(
                    "LOST", f"{job.job_id}: {job.state or 'no state'} at the end"
                )
