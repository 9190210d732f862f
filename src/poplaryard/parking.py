"""Jobs set aside until their exclusive key is free or this process is sole owner."""

from collections import deque

from .jobs import Job

__all__ = ["Parking"]

# Time for which work waits for sole ownership before it is refused. A take-over whose
# workers all answer takes less.
EXCLUSIVE_WAIT_S = 1.0


class Parking:
    """Jobs that wait for something other than capacity, kept out of the wait queues."""

    def __init__(self) -> None:
        self._awaiting_key: dict[str, deque[Job]] = {}
        self._awaiting_ownership: deque[tuple[float, Job]] = deque()

    def wait_for_key(self, job: Job) -> None:
        """Set a job aside until `next_for_key` returns it."""
        self._awaiting_key.setdefault(job.work.exclusive_key, deque()).append(job)

    def wait_for_ownership(self, now: float, job: Job) -> None:
        """Set a job aside until `pop_ownership_waiters` or `pop_overdue` returns it."""
        self._awaiting_ownership.append((now, job))

    def next_for_key(self, key: str) -> Job | None:
        """Remove and return the next job that waits for a key, if any."""
        jobs = self._awaiting_key.get(key, deque())
        while jobs and not jobs[0].pending:
            jobs.popleft()
        if jobs:
            return jobs.popleft()
        self._awaiting_key.pop(key, None)
        return None

    def pop_ownership_waiters(self) -> list[Job]:
        """Remove and return the jobs that wait for sole ownership."""
        found = [job for _, job in self._awaiting_ownership if job.pending]
        self._awaiting_ownership.clear()
        return found

    def pop_overdue(self, now: float) -> list[Job]:
        """Remove and return the jobs that have waited too long for sole ownership."""
        found = []
        while (
            self._awaiting_ownership
            and now >= self._awaiting_ownership[0][0] + EXCLUSIVE_WAIT_S
        ):
            job = self._awaiting_ownership.popleft()[1]
            if job.pending:
                found.append(job)
        return found
