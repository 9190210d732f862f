"""Scheduler process: accepts jobs and owns groups of workers."""

import asyncio
import random
import time
import typing as t
import uuid
import zlib
from dataclasses import dataclass

import msgspec

from ..client import HttpClient
from ..clock import Clock
from ..exceptions import LeaseLost, PoplaryardError, StoreDown, StoreReplyLost
from ..logs import log_failure, logger
from ..waiting import wait_until_set
from . import records
from .acceptance import Acceptance, SubmitOutcome
from .advice import Advisor, ChannelPool, LocalAdvisor, preferred_peers
from .directory import PEER_TIMEOUT_S, Directory
from .failover import OwnerMonitor
from .homes import PartitionLoad
from .layout import group_of
from .layout_writer import LayoutWriter
from .lookup import JobLookup, Unavailable
from .membership import ProcessLease
from .meters import Meters
from .model import JobSpec, Queue, QueueTable, WorkerInfo
from .owner import GroupOwner, OwnerLimits, WorkerCalls
from .relay import RelayedStorage
from .storage import Change, Storage, Transaction
from .supervision import run_restarting
from .tenancy import KeyPolicy, RefusalLog, Verdict, cap_refusal
from .watching import PrefixWatcher
from .withdrawals import Withdrawals

__all__ = ["Node", "NodeConfig", "StoreSchema", "Unavailable", "strength"]

# Delay before a claim for each group that the process owns already, and mean pause
# after a failed claim, in seconds. Other processes claim meanwhile, which spreads the
# groups.
CLAIM_DELAY_PER_GROUP_S = 0.15
# Number of tries to load the jobs of a group, and the pause between them in seconds.
# While the store loses a third of its replies, most reads of several pages fail. A
# failed read counts as a failure of the direct path for up to 0.2 s, in which another
# try would go through a peer.
LOAD_TRIES = 4
LOAD_RETRY_S = 0.25
# Pause before the next claim of a process that could not load a group's jobs, in
# seconds, in which the others claim the group. Weak ones claim 0.3 s later.
FAILED_LOAD_PAUSE_S = 1.0
# Number of tries to remove a claim, and the pause between them in seconds. A store that
# is reached again is noticed within 0.2 s.
RELEASE_TRIES = 5
RELEASE_RETRY_S = 0.2
# Delay before a claim of a process of strength 0, in seconds, so that stronger ones
# claim first. A claim takes about 10 ms, and peers see it through their watches about
# 10 ms later.
WEAK_CLAIM_DELAY_S = 0.3
# Bandwidth that is ample for an owner, in Mbit/s. The owner of 126 workers saturates a
# link of 5 Mbit/s; the larger of the users' entry VMs have 100 Mbit/s.
STRONG_LINK_MBPS = 100.0
# Ratio of strengths from which a group is handed to a process that owns none. A change
# of owner costs about 0.2 s in which nothing is started.
HAND_OVER_STRENGTH_RATIO = 2.0
# Pause between two reads of the watch on workers, in seconds. Workers write heartbeats
# under the watched keys, and those of one pause are read together.
HEARTBEAT_BATCH_S = 0.25
# Longest wait of a call of the watch on the configuration, in seconds, and as a share
# of the time after which revoked keys must not be accepted: two calls, and the delays
# of their answers, must be shorter than that.
CONFIG_WAIT_S = 1.0
CONFIG_WAIT_SHARE = 0.2
# Pauses between two reads of the watches on members and on claims, in seconds. At a
# start of all processes each would otherwise read every entry by itself, and the number
# of calls to the store would grow with the square of the number of processes.
MEMBER_BATCH_S = 0.3
CLAIM_BATCH_S = 0.03
# Longest time between two checks for groups without an owner, in seconds.
CLAIM_CHECK_S = 0.5
# Time between two checks whether the store is reachable before a hand-over, in seconds.
HAND_OVER_RETRY_S = 0.2
# Timeout of the call that ends the lease of a stopping process, in seconds. Without an
# answer the lease expires by itself.
END_LEASE_TIMEOUT_S = 0.5
# Number of problems of a configuration that are logged; the first ones tell the kind.
MAX_LOGGED_PROBLEMS = 20
# Time between two checks whether the data centre is isolated, in seconds, and number
# of peers in other data centres that a check calls.
ISOLATION_CHECK_S = 0.4
ISOLATION_PEERS = 3
# Time between two requests to an earlier owner of a group to give it up, in seconds.
GIVE_UP_PERIOD_S = 0.5


def strength(cores: float, link_mbps: float) -> float:
    """Return a process's capacity to own a group, from 0 to 1 (sufficient).

    Parameters
    ----------
    cores : float
        Processor share, in cores of standard speed.
    link_mbps : float
        Bandwidth of the network link in Mbit/s.
    """
    return min(1.0, cores, link_mbps / STRONG_LINK_MBPS)


@dataclass(frozen=True, slots=True)
class StoreSchema:
    """Keys and decoders of the configuration and the worker entries in the store.

    Attributes
    ----------
    config_key : str
        Key of the configuration.
    worker_prefix : str
        Prefix of the keys of worker entries; the worker's id follows.
    decode_error : type
        Exception with which the decoders reject a value.
    """

    config_key: str
    worker_prefix: str
    decode_config: t.Callable[[bytes], QueueTable]
    decode_worker: t.Callable[[str, bytes], WorkerInfo]
    decode_error: type[Exception]


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Identity and limits of a process.

    Attributes
    ----------
    peer_address : str
        Address at which peers reach the process, "HOST:PORT".
    strength : float
        See `strength`; stronger processes claim groups first.
    revoke_s : float or None
        Time after which a revoked key of a tenant must not be accepted, in seconds;
        None if there is no such limit.
    """

    process: str
    data_centre: str
    peer_address: str
    strength: float
    limits: OwnerLimits
    revoke_s: float | None = None


class _PeerAdvisor:
    """Advisor that calls the advice service through a peer.

    The service has a separate queue for each process.
    """

    def __init__(self, peers: HttpClient, address: str):
        self._peers = peers
        self._url = f"http://{address}/peer/v1/advise"

    async def ask(
        self, step: str, workers: list[str], timeout_s: float, slow: bool = False
    ) -> tuple[dict[str, str], float] | None:
        """Return tickets by worker and their validity in seconds; None if refused."""
        body = {
            "step": step,
            "workers": workers,
            "timeout_s": timeout_s,
            "slow": slow,
        }
        reply = await self._peers.post(self._url, body, timeout_s)
        if reply.status != 200 or not isinstance(reply.body, dict):
            return None
        return reply.body["tickets"], reply.body["life_s"]


class Node:
    """Scheduler process with its watches, its lease and the groups that it owns.

    Parameters
    ----------
    cfg : NodeConfig
    storage : Storage
    calls : WorkerCalls
    advisor : Advisor
    peers : HttpClient
        Client for calls to other processes.
    schema : StoreSchema
    clock : Clock

    Attributes
    ----------
    stopping : bool
        Whether the process is handing over its groups before it stops.
    isolated : bool
        Whether the process's data centre seems to be cut off from the others.
    owners : dict of str to GroupOwner
        Owners of the groups that this process has claimed, by group.
    lookup : JobLookup
        Answers questions about jobs.
    monitor : OwnerMonitor
        Probes owners in other processes.
    direct_storage : Storage
        Storage that is not relayed through peers; relayed calls of peers use it.
    """

    def __init__(
        self,
        cfg: NodeConfig,
        storage: Storage,
        calls: WorkerCalls,
        advisor: Advisor,
        peers: HttpClient,
        schema: StoreSchema,
        clock: Clock,
    ):
        self.cfg = cfg
        self.meters = Meters()
        self.queues = QueueTable()
        self.stopping = False
        self.isolated = False
        self.owners: dict[str, GroupOwner] = {}
        self.direct_storage = storage
        self._relayed = RelayedStorage(storage, peers, self._peer_addresses, clock)
        storage = self._relayed
        self._storage = storage
        self._calls = calls
        self._advisor = LocalAdvisor(advisor)
        self._peers = peers
        self._schema = schema
        self._clock = clock
        self._directory = Directory(cfg.process, storage, peers)
        self.lookup = JobLookup(
            self._directory, storage, self._answering_owner, self._sole_owner
        )
        self._acceptance = Acceptance(storage, self._notify_owners)
        self._withdrawals = Withdrawals(storage, clock, self.meters)
        self._identity = records.Identity(
            cfg.process, uuid.uuid4().hex, cfg.peer_address
        )
        member = records.Member(
            cfg.process,
            cfg.peer_address,
            cfg.data_centre,
            cfg.strength,
            self._identity.incarnation,
        )
        self._claims_changed = asyncio.Event()
        self._lease = ProcessLease(storage, clock, member, self._claims_changed.set)
        self._workers: dict[str, WorkerInfo] = {}
        self._layout_writer = LayoutWriter(
            storage, clock, self._workers, self._claim_changed
        )
        config_prefix = schema.config_key.rpartition("/")[0] + "/"
        config_wait_s = CONFIG_WAIT_S
        if cfg.revoke_s is not None:
            config_wait_s = min(CONFIG_WAIT_S, CONFIG_WAIT_SHARE * cfg.revoke_s)
        self._config_watch = PrefixWatcher(
            storage, config_prefix, self._config_changed, config_wait_s, clock=clock
        )
        self._unreadable_since: float | None = None
        self._key_policy = KeyPolicy(cfg.revoke_s)
        self._refusal_log = RefusalLog()
        self._claim_watch = PrefixWatcher(
            storage,
            records.claim_prefix(),
            self._claim_changed,
            pause_s=CLAIM_BATCH_S,
        )
        self._members: dict[str, records.Member] = {}
        self._member_revisions: dict[str, int] = {}
        self.monitor = OwnerMonitor(
            cfg.process,
            cfg.data_centre,
            self._relayed,
            peers,
            self._lease,
            self._directory.claims,
            self._members,
        )
        self._channels = ChannelPool(self._advisor)
        self._channels_stale = False
        self._member_watch = PrefixWatcher(
            storage, "member/", self._member_changed, 2.0, MEMBER_BATCH_S
        )
        self._worker_watch = PrefixWatcher(
            storage,
            schema.worker_prefix,
            self._worker_changed,
            pause_s=HEARTBEAT_BATCH_S,
        )
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._ownership_tasks: list[asyncio.Task[t.Any]] = []
        self._worker_watch_task: asyncio.Task[t.Any] | None = None

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return not (self.stopping or self.isolated) and bool(self.queues.version)

    async def start(self) -> None:
        """Start watching the store and claiming groups."""
        for loop in (
            self._config_watch.run,
            self._claim_watch.run,
            self._member_watch.run,
            self._watch_isolation,
            self._relayed.watch_recovery,
            self.monitor.run,
        ):
            self._spawn_loop(loop)
        self._ownership_tasks = [
            self._spawn_loop(self._lease.run),
            self._spawn_loop(self._claim_loop),
        ]

    async def _watch_isolation(self) -> None:
        """Detect whether this process's data centre is cut off from the others.

        An isolated process reports that it is not ready, so that the load balancer
        sends callers to other data centres. If peers elsewhere can be reached, the
        store itself is down and sending callers away would not help.
        """
        while True:
            await asyncio.sleep(ISOLATION_CHECK_S)
            outside = [
                member.address
                for member in self._members.values()
                if member.data_centre != self.cfg.data_centre
            ]
            isolated = False
            if outside and not self._relayed.direct_ok:
                sampled = random.sample(outside, min(ISOLATION_PEERS, len(outside)))
                responses = await asyncio.gather(*(map(self._responds, sampled)))
                isolated = not any(responses) and not self._relayed.direct_ok
            if isolated != self.isolated:
                self.isolated = self._acceptance.isolated = isolated
                logger.warning("cut off" if isolated else "no longer cut off")

    async def _responds(self, address: str) -> bool:
        try:
            await self._peers.get(f"http://{address}/peer/v1/ping", PEER_TIMEOUT_S)
        except PoplaryardError:
            return False
        return True

    async def hand_over(self, store_timeout_s: float = 1.0) -> None:
        """Give up all groups, so that other processes can claim them at once.

        No process can claim a group while the store is unreachable, so this one keeps
        scheduling until the store answers or the timeout has passed.

        Parameters
        ----------
        store_timeout_s : float
            Longest time to wait for the store, in seconds.
        """
        self.stopping = True
        if self.owners:
            try:
                async with asyncio.timeout(store_timeout_s):
                    await self._wait_for_store()
            except TimeoutError:
                logger.warning("stopping while the store is away")
        await asyncio.gather(*(owner.close() for owner in self.owners.values()))
        for task in self._ownership_tasks:
            task.cancel()
        try:
            async with asyncio.timeout(END_LEASE_TIMEOUT_S):
                await self._lease.end()
        except TimeoutError:
            logger.warning("lease not ended", extra={"reason": "no answer in time"})
        self._lease.drop()

    async def _wait_for_store(self) -> None:
        while True:
            if await self._lease.check():
                return
            await asyncio.sleep(HAND_OVER_RETRY_S)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        for owner in self.owners.values():
            owner.abandon()
        self._withdrawals.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Client calls

    @property
    def config_confirmed_at(self) -> float:
        """Time after which the configuration in force was certainly the newest.

        In seconds on the process's clock. It stands still while the newest
        configuration is unreadable, since that one may have revoked keys.
        """
        if self._unreadable_since is not None:
            return self._unreadable_since
        return self._config_watch.confirmed_at

    def update_gauges(self) -> None:
        """Update the gauges before metrics are rendered."""
        if self.queues.version:
            age_s = self._clock.now() - self.config_confirmed_at
            self.meters.set("poplaryard_config_age_seconds", {}, age_s)

    def check_key(self, queue: Queue, key: bytes | None) -> Verdict:
        """Return whether a request to a queue may be served, and for which tenant.

        Parameters
        ----------
        queue : Queue
        key : bytes or None
            Key of the request; None if it has none, or several.
        """
        policy = self._key_policy
        policy.confirmed_at = self.config_confirmed_at
        verdict = policy.check(key, self._clock.now(), queue.public)
        if verdict.checked:
            self.meters.count("poplaryard_key_checks_total", verdict.outcome.value)
        if not verdict.accepted:
            self._log_refusal(queue.name, verdict.reason)
        return verdict

    def never_fits(self, spec: JobSpec) -> bool:
        """Return whether a job could never run within its tenant's cap."""
        reason = cap_refusal(spec, self.queues.tenants.get(spec.tenant))
        if reason:
            self.meters.count("poplaryard_jobs_total", "over_cap")
            self._log_refusal(spec.queue, reason, spec.job_id)
        return bool(reason)

    def _log_refusal(self, queue: str, reason: str, job_id: str = "") -> None:
        count = self._refusal_log.record(self._clock.now())
        if count:
            extra = {"queue": queue, "reason": reason, "refusals": count}
            if job_id:
                extra["request"] = job_id
            logger.info("request refused", extra=extra)

    async def submit(self, spec: JobSpec, retry_window_s: float = 0.0) -> SubmitOutcome:
        """Store a job; see `Acceptance.submit`."""
        if self._relayed.store_unreachable:
            # No write is tried; only an earlier one of the same id may take effect.
            outcome = self._acceptance.refusal(spec.job_id)
            extra = {"request": spec.job_id, "reason": "the store does not answer"}
            logger.info(f"job {outcome.value}", extra=extra)
            self.meters.count("poplaryard_jobs_total", outcome.value)
            return outcome
        began = self._clock.now()
        parts = await self._directory.assign_homes(spec, self._local_load)
        accepted = await self._acceptance.submit(*parts, retry_window_s=retry_window_s)
        self.meters.count("poplaryard_jobs_total", accepted.value)
        self.meters.observe("poplaryard_accept_seconds", self._clock.now() - began)
        return accepted

    async def cancel(
        self, queue: Queue, job_id: str, tenant: str | None = None
    ) -> bool:
        """Cancel a job; return False if there is no such job for the tenant, if any.

        There will be none later either: a write of it that is on its way has no effect.

        Raises
        ------
        Unavailable
            If the store does not answer.
        """
        try:
            homes = await self._directory.homes_of(job_id, tenant)
            if not homes and not self._directory.knows_job(job_id):
                stored = await self._withdrawals.withdraw(job_id)
                if stored is not None:
                    self._directory.remember_stored_homes(job_id, stored)
                    homes = await self._directory.homes_of(job_id, tenant)
            if not homes:
                return False
            entries = [(records.cancel_key(home, job_id), b"1", 0) for home in homes]
            result = await self._storage.commit(Transaction(puts=entries))
        except (StoreDown, StoreReplyLost, LeaseLost) as exc:
            raise Unavailable(exc.code, exc.detail) from exc
        logger.info("job cancelled", extra={"request": job_id})
        revision = result if isinstance(result, int) else 0
        for home in homes:
            self._notify_owner(records.StoredJobs(home, revision, cancelled=[job_id]))
        return True

    def _notify_owners(self, specs: list[JobSpec], revision: int) -> None:
        """Notify the groups' owners of stored jobs, without waiting for an answer."""
        homes: dict[str, tuple[str, ...]] = {}
        tenants: dict[str, str] = {}
        for spec in specs:
            homes[spec.job_id] = (*homes.get(spec.job_id, ()), spec.group)
            tenants[spec.job_id] = spec.tenant
        for job_id, partitions in homes.items():
            self._directory.remember_homes(job_id, partitions, tenants[job_id])
        for group in {spec.group for spec in specs}:
            group_specs = [spec for spec in specs if spec.group == group]
            self._notify_owner(records.StoredJobs(group, revision, group_specs))

    def _notify_owner(self, stored: records.StoredJobs) -> None:
        owner = self.owners.get(stored.group)
        address = self._directory.owner_address(stored.group)
        if owner is not None:
            owner.jobs_stored(stored)
        elif address is not None:
            self._spawn(self._send_notification(address, records.encode(stored)))

    async def _send_notification(self, address: str, body: bytes) -> None:
        url = f"http://{address}/peer/v1/stored"
        try:
            await self._peers.request_raw("POST", url, body, PEER_TIMEOUT_S)
        except PoplaryardError as exc:
            # The owner learns of the jobs from its watch instead, a little later.
            logger.info("owner not told of jobs", extra={"reason": exc.detail})

    def jobs_stored(self, body: bytes) -> None:
        """Handle a peer's notification of stored jobs; raises `msgspec.DecodeError`."""
        stored = records.decode_stored_jobs(body)
        owner = self.owners.get(stored.group)
        if owner is not None:
            owner.jobs_stored(stored)

    def answer_peer(self, body: t.Any) -> dict[str, t.Any]:
        """Answer a peer's query about a queue or a job of a group owned here.

        Returns ``{"owner": False}`` if this process cannot answer for the group. A
        query with "tenant" finds only jobs that are accessible to it.
        """
        partition = str(body.get("group"))
        may_be_stale = "queue" not in body
        owner = (self._answering_owner if may_be_stale else self._sole_owner)(partition)
        if owner is None:
            return {"owner": False}
        if "load" in body:
            return {"owner": True, "load": msgspec.to_builtins(owner.load())}
        if "queue" in body:
            return {"owner": True, "pending": owner.pending(str(body["queue"]))}
        tenant = str(body["tenant"]) if "tenant" in body else None
        return {"owner": True, "state": owner.state(str(body.get("job")), tenant)}

    def _answering_owner(self, partition: str) -> GroupOwner | None:
        """Return the owner of a partition in this process if it may answer for it.

        A process that was frozen or cut off may have lost the partition to another.
        """
        owner = self.owners.get(partition)
        if owner is None or not owner.loaded or not owner.has_authority():
            return None
        return owner

    def _sole_owner(self, partition: str) -> GroupOwner | None:
        """Return the owner of a partition in this process if there can be no other.

        An owner whose lease may have expired goes on for a while. Jobs that a later
        owner has got are missing from its counts.
        """
        owner = self._answering_owner(partition)
        return owner if owner is not None and owner.has_lease() else None

    def _local_load(self, partition: str) -> PartitionLoad | None:
        owner = self._answering_owner(partition)
        return None if owner is None else owner.load()

    # Store watches

    def _config_changed(self, change: Change) -> None:
        if change.key != self._schema.config_key or change.item is None:
            return
        try:
            queues = self._schema.decode_config(change.item.value)
        except self._schema.decode_error as exc:
            extra = {"key": change.key, "reason": str(exc)}
            logger.error("unreadable configuration", extra=extra)
            self._unreadable_since = self.config_confirmed_at
            return
        self._unreadable_since = None
        if queues.version <= self.queues.version:
            return
        self.queues = queues
        self._key_policy.table = queues.keys
        self._claims_changed.set()
        logger.info(
            "configuration applied",
            extra={
                "version": queues.version,
                "queues": len(queues.queues),
                "bytes": len(change.item.value),
            },
        )
        if queues.problems:
            logger.warning(
                "invalid tenants in the configuration",
                extra={
                    "version": queues.version,
                    "problems": queues.problems[:MAX_LOGGED_PROBLEMS],
                    "count": len(queues.problems),
                },
            )

    def _claim_changed(self, change: Change) -> None:
        self._claims_changed.set()
        self.monitor.invalidate()
        changed_group = self._directory.layout_changed(change)
        if changed_group is not None:
            self._sort_workers(changed_group)
            return
        claims = self._directory.claims
        group = change.key.removeprefix(records.claim_prefix())
        if change.item is None:
            claims.pop(group, None)
            self._update_channels_soon()
            if group in self.owners:
                logger.warning("claim removed", extra={"group": group})
                self._drop_group(group)
            return
        try:
            claim = records.decode_claim(change.item.value)
        except msgspec.DecodeError as exc:
            logger.error("unreadable claim", extra={"reason": str(exc)})
            return
        claims[group] = claim, change.revision
        self._update_channels_soon()
        owner = self.owners.get(group)
        if owner is not None and change.revision > owner.revision:
            self._drop_group(group)

    def _member_changed(self, change: Change) -> None:
        process = change.key.removeprefix("member/")
        self._members.pop(process, None)
        self.monitor.invalidate()
        if change.item is not None and process != self.cfg.process:
            try:
                member = records.decode_member(change.item.value)
                self._members[process] = member
                self._member_revisions[process] = change.revision
                for owner in self.owners.values():
                    owner.check_earlier_owner()
            except msgspec.DecodeError as exc:
                logger.error("unreadable member", extra={"reason": str(exc)})
        self._update_channels_soon()

    async def _ask_earlier_owner(self, owner: GroupOwner) -> None:
        """Ask the earlier owner of a group to give it up, while workers are waited for.

        It may have lost its lease and not know it. Without its answer the wait lasts as
        long as it could act.
        """
        while (earlier := owner.awaited_owner()) is not None:
            message = records.GiveUp(owner.group, owner.revision, earlier)
            url = f"http://{earlier.address}/peer/v1/give-up"
            try:
                reply = await self._peers.request(
                    "POST", url, records.encode(message), PEER_TIMEOUT_S
                )
                given_up = reply.body.get("given_up") if reply.status == 200 else None
            except (PoplaryardError, AttributeError) as exc:
                extra = {"peer": earlier.process, "reason": str(exc)}
                logger.info("earlier owner did not answer", extra=extra)
                given_up = None
            if given_up is True:
                owner.earlier_owner_ended("it has given the group up")
                return
            await asyncio.sleep(GIVE_UP_PERIOD_S)

    def give_up(self, body: bytes) -> bool:
        """Give a group up that a peer has claimed; return whether it is given up.

        Raises `msgspec.DecodeError` if the message is malformed.
        """
        message = records.decode_give_up(body)
        if message.owner.process != self.cfg.process:
            return False
        owner = self.owners.get(message.group)
        if owner is not None and owner.revision < message.revision:
            self._drop_group(message.group)
            owner = None
        return owner is None or owner.closed.is_set()

    def _has_ended(self, identity: records.Identity, revision: int) -> bool:
        """Return whether a process that wrote at a revision has certainly ended.

        That is so for an earlier incarnation of this process, and for a process of
        which another incarnation has joined since then. An earlier owner in this
        process counts as ended, too: it was closed before the group was claimed again.
        """
        if identity.process == self.cfg.process:
            return True
        member = self._members.get(identity.process)
        if member is None or not member.incarnation:
            return False
        return (
            member.incarnation != identity.incarnation
            and self._member_revisions[identity.process] > revision
        )

    def _peer_addresses(self) -> list[str]:
        return [member.address for member in self._members.values()]

    def _update_channels_soon(self) -> None:
        """Update the advice channels once for all changes that are read together."""
        if self.owners and not self._channels_stale:
            self._channels_stale = True
            asyncio.get_running_loop().call_soon(self._update_channels)

    def _update_channels(self) -> None:
        """Update the processes through which the advice service may be called.

        Only owners ask for advice, and the cost grows with the number of processes.
        """
        self._channels_stale = False
        if not self.owners:
            return
        owners = {claim.process for claim, _ in self._directory.claims.values()}
        self._channels.set_peers(
            {
                name: (_PeerAdvisor(self._peers, member.address), name in owners)
                for name, member in self._members.items()
            },
            preferred_peers(self.cfg.process, owners, self._members),
        )

    async def advise(self, body: t.Any) -> dict[str, t.Any] | None:
        """Call the advice service on behalf of a peer; return None if refused.

        Raises `KeyError`, `TypeError` or `ValueError` if the body is malformed.
        """
        answer = await self._advisor.ask(
            str(body["step"]),
            list(body["workers"]),
            float(body["timeout_s"]),
            bool(body["slow"]),
        )
        if answer is None:
            return None
        return {"tickets": answer[0], "life_s": answer[1]}

    def _worker_changed(self, change: Change) -> None:
        worker_id = change.key.removeprefix(self._schema.worker_prefix)
        if change.item is None:
            self._remove_worker(worker_id)
            return
        try:
            info = self._schema.decode_worker(change.key, change.item.value)
        except self._schema.decode_error as exc:
            extra = {"worker": worker_id, "reason": str(exc)}
            logger.warning("unreadable worker entry skipped", extra=extra)
            self._remove_worker(worker_id)
            return
        old = self._workers.get(worker_id)
        if old is not None and old.group != info.group:
            self._remove_worker(worker_id)
        self._workers[worker_id] = info
        self._list_worker(info)

    def _list_worker(self, info: WorkerInfo) -> None:
        """Pass a worker's entry on to the owner of its partition, if it is here."""
        partition = self._directory.partition_of(info)
        owner = self.owners.get(partition or "")
        if owner is not None:
            owner.worker_listed(info)
        elif partition is None:
            self._start_layout_change(info.group)

    def _sort_workers(self, group: str) -> None:
        """Pass the workers of a group on after a change of its layout."""
        for info in list(self._workers.values()):
            if info.group == group:
                self._list_worker(info)

    def _remove_worker(self, worker_id: str) -> None:
        info = self._workers.pop(worker_id, None)
        if info is None:
            return
        owner = self.owners.get(self._directory.partition_of(info) or "")
        if owner is not None:
            owner.worker_unlisted(worker_id)

    def _start_layout_change(self, group: str) -> None:
        """Give the racks without a partition one, if that is up to this process.

        Only the owner of the group's first partition changes the layout.
        """
        owner = self.owners.get(group)
        if owner is not None and owner.loaded and self._layout_writer.reserve(group):
            self._spawn(self._layout_writer.extend(group, owner.revision))

    # Claims

    async def _claim_loop(self) -> None:
        generation = self._lease.generation
        while not self.stopping:
            if generation != self._lease.generation:
                generation = self._lease.generation
                for group in list(self.owners):
                    self._drop_group(group)
            for group, owner in list(self.owners.items()):
                if owner.closed.is_set():
                    self._drop_group(group)
            claimable = self._claimable_group()
            if claimable is not None and self._claim_watch.loaded.is_set():
                await asyncio.sleep(self._claim_delay())
                if claimable == self._claimable_group():
                    await self._claim(claimable)
                continue
            self._claims_changed.clear()
            if not await wait_until_set(self._claims_changed, CLAIM_CHECK_S):
                await self._hand_over_to_stronger()

    def _claimable_group(self) -> str | None:
        """Return a group to claim, or None.

        That is a group without a claim, or one that this process has claimed but does
        not schedule, for example after a restart.
        """
        if not self._lease.has_lease():
            return None
        names = [
            name
            for group in self.queues.groups
            for name in self._directory.partitions(group)
        ]
        # Processes begin at different partitions, so that few claim the same one.
        names.sort(key=lambda name: zlib.crc32(f"{self.cfg.process} {name}".encode()))
        for name in names:
            claim = self._directory.claims.get(name)
            own_claim = claim is not None and claim[0].process == self.cfg.process
            if name not in self.owners and (claim is None or own_claim):
                return name
        return None

    def _claim_delay(self) -> float:
        """Return the delay that lets less loaded or stronger processes claim first."""
        return CLAIM_DELAY_PER_GROUP_S * len(self.owners) + WEAK_CLAIM_DELAY_S * (
            1 - self.cfg.strength
        )

    async def _hand_over_to_stronger(self) -> None:
        """Give one group up if a much stronger process owns none.

        A weak process may have claimed the group while the strong ones were down. Its
        link or processor would slow the whole group down.
        """
        owners = {claim.process for claim, _ in self._directory.claims.values()}
        idle = [
            member.strength
            for name, member in self._members.items()
            if name not in owners
        ]
        ratio = HAND_OVER_STRENGTH_RATIO if len(self.owners) == 1 else 1.0
        if not idle or max(idle) < ratio * self.cfg.strength:
            return
        for group, owner in list(self.owners.items()):
            if not owner.loaded or not self._lease.has_lease():
                continue
            logger.info("group handed to a stronger process", extra={"group": group})
            await owner.close()
            await self._release(group, owner.revision)
            return

    async def _release(self, group: str, revision: int) -> None:
        """Give a group up, so that another process can claim it at once."""
        self._drop_group(group)
        key = records.claim_key(group)
        for _ in range(RELEASE_TRIES):
            removal = Transaction(expected={key: revision}, removes=[key])
            try:
                await self._storage.commit(removal)
                return
            except (StoreDown, StoreReplyLost, LeaseLost) as exc:
                extra = {"group": group, "reason": exc.detail}
                logger.warning("claim not removed", extra=extra)
                await asyncio.sleep(RELEASE_RETRY_S)
        # If the claim is still stored, the next check takes the group back.

    async def _claim(self, group: str) -> None:
        key = records.claim_key(group)
        generation = self._lease.generation
        known = self._directory.claims.get(group)
        claim = records.Claim(self.cfg.process, self.cfg.peer_address)
        transaction = Transaction(
            expected={key: known[1] if known else 0},
            puts=[(key, records.encode(claim), self._lease.lease)],
        )
        try:
            result = await self._storage.commit(transaction)
        except LeaseLost:
            self._lease.drop()
            return
        except (StoreDown, StoreReplyLost) as exc:
            extra = {"group": group, "reason": exc.detail}
            logger.warning("claim failed", extra=extra)
            await self._pause_after_failed_claim()
            return
        if not isinstance(result, int):
            await self._pause_after_failed_claim()
            return
        await self._take_over(group, claim, result, generation)

    async def _pause_after_failed_claim(self) -> None:
        """Wait so that processes that failed together do not claim together again."""
        await asyncio.sleep(random.uniform(0.0, 2 * CLAIM_DELAY_PER_GROUP_S))

    async def _take_over(
        self, group: str, claim: records.Claim, revision: int, generation: int
    ) -> None:
        began = time.monotonic()
        if self._worker_watch_task is None:
            self._worker_watch_task = self._spawn_loop(self._worker_watch.run)
        self._directory.claims[group] = claim, revision
        owner = GroupOwner(
            group,
            revision,
            self._storage,
            self._calls,
            self._channels,
            self._lease,
            self._clock,
            self.cfg.limits,
            self.meters,
            self._identity,
            self._has_ended,
            generation,
            lambda: self.queues.tenants,
        )
        self.owners[group] = owner
        self._update_channels()
        await self._worker_watch.loaded.wait()
        try:
            loaded = await self._load(owner)
        except Exception:
            await self._release(group, revision)
            raise
        if not loaded:
            # Another process may have a better path to the store.
            await self._release(group, revision)
            await asyncio.sleep(FAILED_LOAD_PAUSE_S)
            return
        self._spawn(self._ask_earlier_owner(owner))
        self._sort_workers(group_of(group))
        took_s = round(time.monotonic() - began, 3)
        logger.info("group owned", extra={"group": group, "took_s": took_s})

    async def _load(self, owner: GroupOwner) -> bool:
        """Load the jobs of a new owner's group; return False if that fails."""
        for _ in range(LOAD_TRIES):
            try:
                await owner.start(self._workers_of(owner.group))
                return owner.loaded
            except (StoreDown, StoreReplyLost, LeaseLost) as exc:
                extra = {"group": owner.group, "reason": exc.detail}
                logger.warning("jobs could not be loaded", extra=extra)
            if owner.closed.is_set():
                break
            await asyncio.sleep(LOAD_RETRY_S)
        return False

    def _workers_of(self, partition: str) -> dict[str, WorkerInfo]:
        """Return the known workers of a partition."""
        group = group_of(partition)
        return {
            worker_id: info
            for worker_id, info in self._workers.items()
            if info.group == group and self._directory.partition_of(info) == partition
        }

    def _drop_group(self, group: str) -> None:
        owner = self.owners.pop(group, None)
        if owner is not None:
            owner.abandon()

    def _spawn_loop(
        self, work: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
    ) -> asyncio.Task[t.Any]:
        """Run a loop until the process stops; see `run_restarting`."""
        return self._spawn(run_restarting(work.__qualname__, work))

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task[t.Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure)
        return task
