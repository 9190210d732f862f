"""Simulated workers, a simulated group and an in-memory store for tests."""

import asyncio
import copy
import itertools
from dataclasses import replace

from poplaryard.client import RawReply
from poplaryard.clock import SystemClock
from poplaryard.exceptions import (
    LeaseLost,
    StoreDown,
    StoreReplyLost,
    WorkerUnreachable,
)
from poplaryard.waiting import wait_until_set
from poplaryard.workload.model import (
    EndedRun,
    RunningRun,
    RunOutcome,
    StartOutcome,
    WorkerInfo,
)
from poplaryard.workload.node import Node, NodeConfig, StoreSchema
from poplaryard.workload.owner import START_WINDOW_S, OwnerLimits
from poplaryard.workload.partition import Partition, StartOrder
from poplaryard.workload.storage import Change, Item
from tests.workload.builders import report, worker_info

# Difference between the workers' clocks and the owner's, in seconds.
CLOCK_OFFSET_S = 50.0
# Wall-clock time minus the owner's clock in a simulated group, in seconds.
WALL_OFFSET_S = 1_000_000.0
# Number of ended runs that a worker lists at a time.
LISTED_ENDS = 500
# Longest lease that a worker accepts, in seconds; it shortens longer ones.
MAX_LEASE_S = 10.0
# Lease that a simulated group gives, in seconds.
RUN_LEASE_S = 6.0


class SimWorker:
    """Worker that follows the platform's protocol in virtual time.

    With ``stalled`` its tasks make no progress, with ``failing`` they fail, and with
    ``unreachable`` it does not answer. If it is also ``refusing``, its connections are
    refused instead of silent. ``slowness`` is a factor on run times.

    After `restart` it is a later instance under the same id. It knows nothing of the
    one before it and takes its calls for its own, as they carry only the id.
    """

    def __init__(self, info):
        self.info = info
        self.runs = {}
        self.ended = []
        self.fence = 0
        self.deadline = 0.0
        self.stalled = self.failing = False
        self.unreachable = self.refusing = False
        self.slowness = 1.0
        self._seq = itertools.count(1)
        self._clock_zero = -CLOCK_OFFSET_S
        self._ended_runs = set()
        self.started = []

    def clock(self, now):
        return now - self._clock_zero

    def restart(self, now, clock_s=0.0):
        """Become a later instance, whose clock begins at `clock_s`."""
        self.info = replace(self.info, born_ms=int((now + WALL_OFFSET_S) * 1000))
        self.runs = {}
        self.ended = []
        self.fence = 0
        self.deadline = 0.0
        self._seq = itertools.count(1)
        self._clock_zero = now - clock_s
        self._ended_runs = set()

    def grant(self, deadline, now):
        """Extend the leases to a time on the worker's clock."""
        granted = min(deadline, self.clock(now) + MAX_LEASE_S)
        self.deadline = max(self.deadline, granted)

    def start(self, run, estimate_s, now, fence, deadline):
        if fence < self.fence:
            return StartOutcome.FENCED
        self.fence = fence
        if self.clock(now) > deadline:
            return StartOutcome.LATE
        self.grant(deadline, now)
        if run in self.runs:
            return StartOutcome.STARTED
        if any(
            run[0] == task and run[1] <= number for task, number in self._ended_runs
        ):
            return StartOutcome.OLD_RUN
        self.started.append(run)
        self.runs[run] = [now, now + estimate_s * self.slowness]
        return StartOutcome.STARTED

    def stop(self, run, fence):
        if fence < self.fence:
            return False
        if self.runs.pop(run, None):
            self.end_run(run, RunOutcome.STOPPED)
        self._ended_runs.add(run)
        return True

    def end_run(self, run, outcome):
        self._ended_runs.add(run)
        self.ended.append(EndedRun(next(self._seq), *run, outcome, ""))

    def advance(self, now):
        if self.runs and self.clock(now) > self.deadline:
            for run in list(self.runs):
                del self.runs[run]
                self.end_run(run, RunOutcome.LAPSED)
        for run, (_, ends_at) in list(self.runs.items()):
            if not self.stalled and now >= ends_at:
                del self.runs[run]
                self.end_run(
                    run, RunOutcome.FAILED if self.failing else RunOutcome.DONE
                )

    def hold(self, fence, acknowledged, deadline, now):
        if fence < self.fence:
            raise WorkerUnreachable("fenced", fenced=True)
        self.fence = fence
        self.grant(deadline or 0.0, now)
        self.ended = [end for end in self.ended if end.seq > acknowledged]
        running_runs = []
        for (task, number), (began, ends_at) in self.runs.items():
            share = 0 if self.stalled else (now - began) / max(ends_at - began, 1e-9)
            running_runs.append(RunningRun(task, number, "", int(100 * share)))
        return report(
            self.clock(now),
            running=running_runs,
            ended=self.ended[:LISTED_ENDS],
            born_ms=self.info.born_ms,
            complete=len(self.ended) < LISTED_ENDS,
        )


class FixedCaps:
    """Caps of tenants that don't change; tenants without an entry have none."""

    def __init__(self, **caps):
        self.caps = caps

    def available(self, tenant):
        return self.caps.get(tenant)

    def may_start(self, tenant, used, need):
        cap = self.caps.get(tenant)
        return cap is None or (used + need).fits_in(cap)


def wanted_advice(partition, now):
    """Return the most urgent call for advice, or None."""
    partition.advance(now)
    return next(partition.advice_wanted(now, lambda cost_s: True), None)


class SimulatedGroup:
    """Partition with simulated workers, driven in virtual time.

    ``permitted`` holds the workers that advice permits; None stands for all.
    """

    def __init__(self, workers=2, fence=7, now=100.0, sims=None, **fields):
        self.now = now
        self.fence = fence
        self.partition = Partition("desk", fence, WALL_OFFSET_S, **fields)
        self.sims = sims or {}
        self.permitted = None
        if not self.sims:
            for number in range(workers):
                self.add_worker(worker_info(number))
        else:
            for sim in self.sims.values():
                self.partition.worker_listed(sim.info)

    def add_worker(self, info):
        self.sims[info.worker_id] = SimWorker(info)
        self.partition.worker_listed(info)

    def submit(self, spec, fresh=True, progress=None):
        return self.partition.add_job(spec, self.now, fresh, progress)

    def run(self, seconds, step_s=0.05):
        """Advance the time in steps; renew leases and carry out orders in each."""
        until = self.now + seconds
        while self.now < until:
            self.step()
            self.now += step_s

    def step(self):
        self.allow_starts()
        for sim in self.sims.values():
            sim.advance(self.now)
            worker = self.partition.workers.get(sim.info.worker_id)
            if worker is not None:
                self.renew_leases(worker, sim)
        self.partition.advance(self.now)
        self.advise()
        self.partition.advance(self.now)
        self.carry_out_orders()
        self.write_progress()

    def allow_starts(self):
        """Allow starts on all workers, as if they were recorded at once."""
        self.partition.allow_starts_on(self.partition.possible_run_holders(self.now))

    def write_progress(self):
        self.partition.progress_written(self.partition.take_progress())

    def renew_leases(self, worker, sim):
        if sim.unreachable:
            self.partition.hold_failed(worker, self.now, refused=sim.refusing)
            return
        call = worker.renewal_call(self.now, RUN_LEASE_S if worker.reachable else None)
        try:
            answer = sim.hold(self.fence, call.acknowledged, call.deadline_s, self.now)
        except WorkerUnreachable as exc:
            self.partition.hold_failed(worker, self.now, call=call, fenced=exc.fenced)
            return
        self.partition.hold_answered(worker, answer, call, self.now)

    def advise(self):
        while True:
            request = wanted_advice(self.partition, self.now)
            if request is None:
                return
            good = [
                w
                for w in request.workers
                if self.permitted is None or w in self.permitted
            ]
            tickets = dict.fromkeys(good, "t")
            self.partition.advice_answered(request, tickets, self.now + 2.0, self.now)

    def carry_out_orders(self):
        orders, self.partition.orders = self.partition.orders, []
        for order in orders:
            if isinstance(order, StartOrder):
                self._start(order)
                continue
            sim = self.sims[order.worker.worker_id]
            acked = not sim.unreachable and sim.stop(
                (order.task, order.number), self.fence
            )
            self.partition.stop_answered(order, acked, self.now)

    def _start(self, order):
        run = order.run
        sim = self.sims[run.worker.worker_id]
        has_ticket = bool(order.ticket)
        call = run.worker.start_call(run, self.now, START_WINDOW_S, has_ticket)
        deadline = call.deadline_s
        if sim.unreachable:
            self.partition.start_answered(run, StartOutcome.IN_DOUBT, self.now)
            return
        outcome = self.deliver_start(run, deadline)
        clock_s = sim.clock(self.now)
        self.partition.start_answered(run, outcome, self.now, clock_s)

    def deliver_start(self, run, deadline):
        """Let an order to start a run arrive at its worker; return the outcome."""
        sim = self.sims[run.worker.worker_id]
        run_s = self.run_time_s(run)
        return sim.start(run.key, run_s, self.now, self.fence, deadline)

    def run_time_s(self, run):
        """Return the run time on a worker of usual speed; by default as declared."""
        return run.task.step.spec.estimate_s

    def starts(self, task=None):
        """Return worker, task and run number of all starts, or of those of one task."""
        return [
            (sim.info.worker_id, *run)
            for sim in self.sims.values()
            for run in sim.started
            if task is None or run[0] == task
        ]


class SlowAdviceGroup(SimulatedGroup):
    """Simulated group in which a call for advice takes as long as it costs.

    Only ``channels`` calls are in progress at a time. ``permitted_by_job`` holds the
    permitted workers by job id; for jobs that it leaves out, advice permits all.
    ``calls`` holds the step's job id and the time of each call.
    """

    def __init__(self, channels=1, **fields):
        super().__init__(**fields)
        self.channels = channels
        self.permitted_by_job = {}
        self.calls = []
        self._in_progress = []

    def advise(self):
        for call in [call for call in self._in_progress if call[0] <= self.now]:
            self._in_progress.remove(call)
            self._answer(*call)
        for request in self.partition.advice_wanted(self.now, self._can_call):
            self.calls.append((request.step.job.spec.job_id, self.now))
            self._in_progress.append((self.now + request.cost_s, request))

    def _can_call(self, cost_s):
        return len(self._in_progress) < self.channels

    def _answer(self, answered_at, request):
        spec = request.step.job.spec
        good = self.permitted_by_job.get(spec.job_id, request.workers)
        tickets = {name: "t" for name in request.workers if name in good}
        until = answered_at + spec.advice.valid_s
        self.partition.advice_answered(request, tickets, until, self.now)

    def calls_for(self, job_id, since=0.0):
        """Return the number of calls for a job since a time."""
        return sum(job_id == found and at >= since for found, at in self.calls)


class MemoryStorage:
    """In-memory `Storage` that can inject faults.

    ``faults`` maps methods to the faults of their next calls: "down" (not done, and
    reported so), "lost" (done, no reply), "dropped" (not done, no reply) or "late" (no
    reply, done by `deliver`). ``changes`` holds all changes so far.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.leases = set()
        self.faults = {}
        self.calls = []
        self.changes = []
        self._late = []
        self._changed = asyncio.Event()
        self._ids = itertools.count(1)

    def _fault(self, name):
        self.calls.append(name)
        fault = (self.faults.get(name) or [None]).pop(0)
        if fault == "down":
            raise StoreDown
        if fault == "dropped":
            raise StoreReplyLost
        return fault

    def _record(self, key, item):
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.changes.append(Change(key, self.revision, item))
        self._changed.set()

    async def ping(self):
        self._fault("ping")

    async def get(self, key):
        self._fault("get")
        return self.items.get(key)

    async def scan(self, prefix):
        self._fault("scan")
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return found, self.revision

    async def watch(self, prefix, after, wait_s):
        self._fault("watch")
        until = asyncio.get_running_loop().time() + wait_s
        while True:
            found = [
                change
                for change in self.changes
                if change.revision > after and change.key.startswith(prefix)
            ]
            left = until - asyncio.get_running_loop().time()
            if found or left <= 0:
                return found, self.revision
            self._changed.clear()
            await wait_until_set(self._changed, left)

    async def commit(self, transaction):
        fault = self._fault("commit")
        if fault == "late":
            self._late.append(copy.deepcopy(transaction))
            raise StoreReplyLost
        for _, _, lease in transaction.puts:
            if lease and lease not in self.leases:
                raise LeaseLost
        current = {
            key: self.items[key].revision if key in self.items else 0
            for key in transaction.expected
        }
        if current != transaction.expected:
            return [self.items.get(key) for key in transaction.expected]
        self.revision += 1
        for key, value, lease in transaction.puts:
            self._record(key, Item(key, value, self.revision, lease))
        for key in transaction.removes:
            if key in self.items:
                self._record(key, None)
        if fault == "lost":
            raise StoreReplyLost
        return self.revision

    async def deliver(self):
        """Carry out the late writes whose expectations still hold."""
        late, self._late = self._late, []
        return [await self.commit(transaction) for transaction in late]

    async def grant(self, ttl_s):
        self._fault("grant")
        lease = next(self._ids)
        self.leases.add(lease)
        return lease

    async def renew(self, lease):
        self._fault("renew")
        return lease in self.leases

    async def revoke(self, lease):
        self._fault("revoke")
        self.leases.discard(lease)
        self.revision += 1
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self._record(key, None)


class RespondingPeers:
    """Client of peers that answer every probe."""

    async def request_raw(self, method, url, body, timeout_s, **options):
        return RawReply(200, b"")


def make_node(storage, decode_config=None, name="p0"):
    """Return a process without workers and advice, whose peers answer probes."""
    limits = OwnerLimits(run_lease_s=6.0, retention_s=60.0)
    schema = StoreSchema("op/config", "workers/", decode_config, WorkerInfo, ValueError)
    cfg = NodeConfig(name, "dc1", "10.0.0.1:1", 1.0, limits)
    peers = RespondingPeers()
    return Node(cfg, storage, None, None, peers, schema, SystemClock())
