"""Work set aside until its exclusive key is free or this process is the sole owner."""

from collections import deque

from .jobs import Job

__all__ = ["Parking"]

# Work that needs sole ownership waits this long for it before it is answered. A
# take-over whose workers all answer is over sooner.
EXCLUSIVE_WAIT_S = 1.0


class Parking:
    """Jobs that wait for something other than room, so that they block no queue."""

    def __init__(self) -> None:
        self._keyed: dict[str, deque[Job]] = {}
        self._paused: deque[tuple[float, Job]] = deque()

    def wait_for_key(self, job: Job) -> None:
        """Set a job aside until `key_freed` names its exclusive key."""
        self._keyed.setdefault(job.work.exclusive_key, deque()).append(job)

    def wait_for_ownership(self, now: float, job: Job) -> None:
        """Set a job aside until `owned` is called."""
        self._paused.append((now, job))

    def key_freed(self, key: str) -> Job | None:
        """Return the next job that waits for a key, if any."""
        jobs = self._keyed.get(key, deque())
        while jobs and not jobs[0].pending:
            jobs.popleft()
        if jobs:
            return jobs.popleft()
        self._keyed.pop(key, None)
        return None

    def owned(self) -> list[Job]:
        """Return the jobs that waited for sole ownership."""
        found = [job for _, job in self._paused if job.pending]
        self._paused.clear()
        return found

    def overdue(self, now: float) -> list[Job]:
        """Return the jobs that have waited too long for sole ownership."""
        found = []
        while self._paused and now >= self._paused[0][0] + EXCLUSIVE_WAIT_S:
            job = self._paused.popleft()[1]
            if job.pending:
                found.append(job)
        return found
