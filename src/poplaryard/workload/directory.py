"""Directory of the partitions: their owners, their workers and the homes of jobs."""

import asyncio
import random
import typing as t
from dataclasses import replace

import msgspec

from ..client import HttpClient
from ..exceptions import PoplaryardError, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .homes import (
    PartitionLoad,
    candidate_homes,
    choose_home,
    choose_homes_of_parts,
    is_wide,
    part_count,
)
from .layout import MIN_PARTITION_WORKERS, Layout
from .model import JobSpec, WorkerInfo
from .storage import Change, Item, Storage
from .tenancy import is_accessible

__all__ = ["PEER_TIMEOUT_S", "Directory"]

# Timeout of calls to peers, in seconds. If the owner of a job does not answer within
# it, the state of the job is read from the store.
PEER_TIMEOUT_S = 0.4
# Timeout of a question for the load of a partition, in seconds. The submission of a job
# waits for it, and short jobs are due within 0.25 s; an owner answers within 5 ms.
LOAD_TIMEOUT_S = 0.06
# Shortest time between two reads of the claim of a partition, in seconds. The watch on
# claims reports a change about 0.03 s late, and callers keep asking while a partition
# has no owner.
CLAIM_READ_PERIOD_S = 0.05
# Timeout of a read of a claim, in seconds. A call to the store takes about 0.01 s, and
# callers are refused soon while the store is away.
CLAIM_READ_TIMEOUT_S = 0.3
# Longest wait for the layout of a group before a wide job is stored, and time between
# two looks, in seconds. A new cell writes its layouts within a few seconds.
LAYOUT_WAIT_S = 2.0
LAYOUT_LOOK_S = 0.05
# Number of jobs whose homes a process remembers. A few thousand jobs are in progress in
# a cell at a time.
MAX_KNOWN_HOMES = 2000

StoredClaim: t.TypeAlias = tuple[records.Claim, int]
LocalLoad: t.TypeAlias = t.Callable[[str], PartitionLoad | None]


class Directory:
    """Knows the partitions of each group, and asks their owners.

    Parameters
    ----------
    process : str
        This process, whose own partitions are not asked over the network.
    storage : Storage
    peers : HttpClient

    Attributes
    ----------
    claims : dict of str to tuple of (records.Claim, int)
        Claim and its revision by partition, as the watch has reported them.
    layouts : dict of str to tuple of (Layout, int)
        Layout and its revision by group.
    """

    def __init__(self, process: str, storage: Storage, peers: HttpClient):
        self._process = process
        self._storage = storage
        self._peers = peers
        self.claims: dict[str, StoredClaim] = {}
        # Claims read from the store, with the time of the read.
        self._claims_read: dict[str, tuple[float, StoredClaim | None]] = {}
        self._claim_locks: dict[str, asyncio.Lock] = {}
        self.layouts: dict[str, tuple[Layout, int]] = {}
        # Partitions and tenant of a job.
        self._homes: dict[str, tuple[tuple[str, ...], str]] = {}

    def layout(self, group: str) -> Layout:
        """Return the layout of a group, by default one partition without racks."""
        found = self.layouts.get(group)
        return found[0] if found is not None else Layout()

    def partitions(self, group: str) -> list[str]:
        """Return the names of the partitions of a group."""
        return self.layout(group).names(group)

    def partition_of(self, info: WorkerInfo) -> str | None:
        """Return the partition of a worker, or None if its rack has none yet."""
        return self.layout(info.group).partition_of(info.group, info.rack)

    def layout_changed(self, change: Change) -> str | None:
        """Handle a change of a layout; return its group, or None for another key."""
        if not change.key.endswith(records.LAYOUT_SUFFIX):
            return None
        name = change.key.removeprefix(records.claim_prefix())
        group = name.removesuffix(records.LAYOUT_SUFFIX)
        if change.item is None:
            logger.error("layout removed", extra={"group": group})
            return group
        try:
            layout = records.decode_layout(change.item.value)
        except msgspec.DecodeError as exc:
            extra = {"group": group, "reason": str(exc)}
            logger.error("unreadable layout", extra=extra)
            return group
        if change.revision > self.layouts.get(group, (None, 0))[1]:
            self.layouts[group] = layout, change.revision
            logger.info(
                "layout changed",
                extra={
                    "group": group,
                    "partitions": layout.partitions,
                    "racks": len(layout.racks),
                },
            )
        return group

    # Homes of jobs

    async def assign_homes(self, spec: JobSpec, local_load: LocalLoad) -> list[JobSpec]:
        """Return the parts of a job, whose groups are the partitions to store them in.

        Most jobs have one part.

        Parameters
        ----------
        local_load : callable
            Returns the load of a partition that this process owns, else None.
        """
        if is_wide(spec):
            await self._wait_for_layout(spec.group)
        partitions = self.partitions(spec.group)
        if len(partitions) == 1:
            return [spec]
        layout = self.layout(spec.group)
        names = candidate_homes(
            spec, partitions, lambda rack: layout.partition_of(spec.group, rack)
        )
        loads = await self._loads(names, local_load)
        others = [name for name in partitions if name not in names]
        workers = max((load.workers for load in loads.values()), default=0)
        count = part_count(spec, workers or MIN_PARTITION_WORKERS, len(partitions))
        if count > 1:
            more = random.sample(others, min(count, len(others)))
            loads |= await self._loads(more, local_load)
            parts = choose_homes_of_parts(spec, [*names, *more], loads, count)
            if parts:
                self._log_homes(spec, [part.group for part in parts], loads)
                return parts
            others = [name for name in others if name not in more]
        home = choose_home(spec, loads)
        if home is None:
            loads |= await self._loads(others, local_load)
            home = choose_home(spec, loads) or next(iter(loads), names[0])
        self._log_homes(spec, [home], loads)
        return [replace(spec, group=home)]

    async def _wait_for_layout(self, group: str) -> None:
        """Wait for the layout of a group, which a new cell does not have at first."""
        give_up_at = asyncio.get_running_loop().time() + LAYOUT_WAIT_S
        while group not in self.layouts:
            if asyncio.get_running_loop().time() > give_up_at:
                logger.warning("layout not known", extra={"group": group})
                return
            await asyncio.sleep(LAYOUT_LOOK_S)

    def _log_homes(
        self, spec: JobSpec, homes: list[str], loads: dict[str, PartitionLoad]
    ) -> None:
        shares = {name: round(load.share_with(spec), 2) for name, load in loads.items()}
        extra = {"request": spec.job_id, "home": " ".join(homes), "loads": shares}
        logger.info("home chosen", extra=extra)

    async def _loads(
        self, names: list[str], local_load: LocalLoad
    ) -> dict[str, PartitionLoad]:
        """Return the loads of those partitions whose owners answer in time."""
        found = await asyncio.gather(*(self._load(name, local_load) for name in names))
        return {
            name: load
            for name, load in zip(names, found, strict=True)
            if load is not None
        }

    async def _load(self, name: str, local_load: LocalLoad) -> PartitionLoad | None:
        load = local_load(name)
        if load is not None:
            return load
        answer = await self.ask_owner(name, {"load": True}, LOAD_TIMEOUT_S)
        try:
            return msgspec.convert(answer and answer.get("load"), PartitionLoad | None)
        except msgspec.ValidationError as exc:
            logger.warning("unreadable load", extra={"reason": str(exc)})
            return None

    def remember_homes(
        self, job_id: str, partitions: tuple[str, ...], tenant: str
    ) -> None:
        """Keep the homes and the tenant of a stored job, which never change."""
        self._homes[job_id] = partitions, tenant
        if len(self._homes) > MAX_KNOWN_HOMES:
            del self._homes[next(iter(self._homes))]

    def remember_stored_homes(self, job_id: str, item: Item) -> None:
        """Keep the homes and the tenant that the key of a job's homes tells."""
        partitions = records.decode_homes(item.value)
        tenant = records.decode_home_tenant(item.value)
        self.remember_homes(job_id, partitions, tenant)

    async def homes_of(self, job_id: str, tenant: str | None = None) -> tuple[str, ...]:
        """Return the partitions of a job; empty if there is no such job.

        A job that is not accessible to a tenant does not exist for it; see
        `is_accessible`.

        Raises `StoreDown` or `StoreReplyLost` if it must be read from the store and
        this does not answer.
        """
        known = self._homes.get(job_id)
        if known is None:
            item = await self._storage.get(records.home_key(job_id))
            if item is None or records.is_withdrawn(item.value):
                return ()
            self.remember_stored_homes(job_id, item)
            known = self._homes[job_id]
        homes, job_tenant = known
        return homes if is_accessible(job_tenant, tenant) else ()

    def knows_job(self, job_id: str) -> bool:
        """Return whether there certainly is a job, accessible to a tenant or not."""
        return job_id in self._homes

    # Owners

    def owner_address(self, partition: str) -> str | None:
        """Return the address of the owner of a partition, or None without a claim."""
        claim = self.claims.get(partition)
        return None if claim is None else claim[0].address

    async def ask_owner(
        self,
        partition: str,
        query: dict[str, t.Any],
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> dict[str, t.Any] | None:
        """Return the answer of the owner known here, or None without a valid one.

        See `Node.answer_peer` for the queries.
        """
        claim = self.claims.get(partition)
        if claim is None:
            return None
        return await self._ask(claim[0], partition, query, timeout_s)

    async def ask_present_owner(
        self, partition: str, query: dict[str, t.Any]
    ) -> dict[str, t.Any] | None:
        """Return the answer of the owner of a partition, or None without a valid one.

        The watch on claims reports a new owner a little late. Without an answer of the
        owner known here, the claim is therefore read, and a later owner is asked.
        """
        known = self.claims.get(partition)
        if known is not None:
            answer = await self._ask(known[0], partition, query, PEER_TIMEOUT_S)
            if answer is not None:
                return answer
        found = await self._read_claim(partition)
        if found is None or (known is not None and found[1] <= known[1]):
            return None
        return await self._ask(found[0], partition, query, PEER_TIMEOUT_S)

    async def _read_claim(self, partition: str) -> StoredClaim | None:
        """Read the claim of a partition from the store; None if there is none.

        Calls that wait together share a read.
        """
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        async with self._claim_locks.setdefault(partition, asyncio.Lock()):
            read_at, claim = self._claims_read.get(partition, (float("-inf"), None))
            if read_at < called_at:
                await asyncio.sleep(read_at + CLAIM_READ_PERIOD_S - loop.time())
                read_at = loop.time()
                claim = await self._stored_claim(partition)
                self._claims_read[partition] = read_at, claim
            return claim

    async def _stored_claim(self, partition: str) -> StoredClaim | None:
        try:
            async with asyncio.timeout(CLAIM_READ_TIMEOUT_S):
                item = await self._storage.get(records.claim_key(partition))
            if item is None:
                return None
            return records.decode_claim(item.value), item.revision
        except (StoreDown, StoreReplyLost, TimeoutError, msgspec.DecodeError) as exc:
            extra = {"group": partition, "reason": str(exc) or type(exc).__name__}
            logger.info("claim not read", extra=extra)
            return None

    async def _ask(
        self,
        claim: records.Claim,
        partition: str,
        query: dict[str, t.Any],
        timeout_s: float,
    ) -> dict[str, t.Any] | None:
        if claim.process == self._process:
            return None
        url = f"http://{claim.address}/peer/v1/ask"
        try:
            reply = await self._peers.post(
                url, {"group": partition, **query}, timeout_s
            )
        except PoplaryardError as exc:
            extra = {"peer": claim.process, "reason": exc.detail}
            logger.info("owner did not answer", extra=extra)
            return None
        answer = reply.body
        if reply.status != 200 or not isinstance(answer, dict):
            return None
        return answer if answer.get("owner") else None
