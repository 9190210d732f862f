"""States of jobs and numbers of waiting jobs, from their owners or from the store."""

import asyncio
import typing as t

import msgspec

from ..codes import Code
from ..exceptions import PoplaryardError, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .directory import Directory
from .model import JobState, Queue
from .owner import GroupOwner
from .storage import Storage

__all__ = ["JobLookup", "Unavailable"]


class Unavailable(PoplaryardError):
    """Raised if a call cannot be answered now; the caller may retry."""


# The state of a job with several parts is the first of these that a part has.
_PRECEDENCE = (
    JobState.FAILED,
    JobState.CANCELLED,
    JobState.RUNNING,
    JobState.QUEUED,
    JobState.DONE,
)


def _combined(states: t.Sequence[JobState | None]) -> JobState | None:
    """Return the state of a job from those of its parts; None if none is known."""
    return next((state for state in _PRECEDENCE if state in states), None)


class JobLookup:
    """Answers questions about jobs, whichever process owns their partitions.

    Parameters
    ----------
    directory : Directory
    storage : Storage
    local_owner : callable
        Returns the owner of a partition in this process if it may answer, else None.
    sole_owner : callable
        The same, but only while no other process can own the partition.
    """

    def __init__(
        self,
        directory: Directory,
        storage: Storage,
        local_owner: t.Callable[[str], GroupOwner | None],
        sole_owner: t.Callable[[str], GroupOwner | None],
    ):
        self._directory = directory
        self._storage = storage
        self._local_owner = local_owner
        self._sole_owner = sole_owner

    async def state(
        self, queue: Queue, job_id: str, tenant: str | None = None
    ) -> JobState | None:
        """Return the state of a job, or None if there is no such job.

        Parameters
        ----------
        queue : Queue
        job_id : str
        tenant : str, optional
            Tenant that asks; jobs of others do not exist for it. None: see any job.

        Raises
        ------
        Unavailable
            If neither the owner of the job's partition nor the store answers.
        """
        partitions = self._directory.partitions(queue.group)
        if len(partitions) == 1:
            state = await self._state_at_owner(partitions[0], job_id, tenant)
            if state is not None:
                return state
        try:
            homes = await self._directory.homes_of(job_id, tenant)
        except (StoreDown, StoreReplyLost) as exc:
            return await self._state_at_any_owner(partitions, job_id, tenant, exc)
        states = await asyncio.gather(
            *(self._state_in(name, job_id, tenant) for name in homes)
        )
        return _combined(states)

    async def pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not started.

        Raises
        ------
        Unavailable
            If the owner of a partition of the queue's group does not answer.
        """
        partitions = self._directory.partitions(queue.group)
        counts = await asyncio.gather(
            *(self._pending_in(name, queue.name) for name in partitions)
        )
        return sum(counts)

    async def _state_in(
        self, partition: str, job_id: str, tenant: str | None
    ) -> JobState | None:
        """Return the state of the part of a job in a partition, or None."""
        state = await self._state_at_owner(partition, job_id, tenant)
        if state is not None:
            return state
        return await self._stored_state(partition, job_id)

    async def _state_at_any_owner(
        self,
        partitions: list[str],
        job_id: str,
        tenant: str | None,
        exc: PoplaryardError,
    ) -> JobState:
        """Ask the owners of all partitions, while the store does not tell the home."""
        if len(partitions) > 1:
            found = await asyncio.gather(
                *(self._state_at_owner(name, job_id, tenant) for name in partitions)
            )
            for state in found:
                if state is not None:
                    return state
        raise Unavailable(exc.code, exc.detail) from exc

    async def _state_at_owner(
        self, partition: str, job_id: str, tenant: str | None
    ) -> JobState | None:
        owner = self._local_owner(partition)
        if owner is not None:
            return owner.state(job_id, tenant)
        query = {"job": job_id}
        if tenant is not None:
            query["tenant"] = tenant
        result = await self._directory.ask_present_owner(partition, query)
        state = result.get("state") if result else None
        return JobState(state) if state else None

    async def _stored_state(self, partition: str, job_id: str) -> JobState | None:
        try:
            progress = await self._storage.get(records.progress_key(partition, job_id))
            if progress is not None:
                return records.decode_progress(progress.value).state
            job = await self._storage.get(records.job_key(partition, job_id))
        except (StoreDown, StoreReplyLost) as exc:
            raise Unavailable(exc.code, exc.detail) from exc
        except msgspec.DecodeError as exc:
            logger.error("unreadable progress", extra={"request": job_id})
            raise Unavailable(Code.INTERNAL, str(exc)) from exc
        return JobState.QUEUED if job is not None else None

    async def _pending_in(self, partition: str, queue: str) -> int:
        owner = self._sole_owner(partition)
        if owner is not None:
            return owner.pending(queue) or 0
        result = await self._directory.ask_present_owner(partition, {"queue": queue})
        if result is None or not isinstance(result.get("pending"), int):
            detail = "the owner of a partition does not answer"
            raise Unavailable(Code.PEER_TIMEOUT, detail)
        return result["pending"]
