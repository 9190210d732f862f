"""Simulated group with faults of workers, calls, the store and the owner.

It decides by itself which tasks could run: what the workers do and which of them advice
permits is read from the simulation, not from the partition.
"""

import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, replace

from poplaryard.resources import ZERO, Resources
from poplaryard.workload.advice import (
    BUSY_PAUSE_S,
    FAILED_PAUSE_S,
    SLOW_CALL_S,
    TIMEOUT_SLACK_S,
    ChannelPool,
)
from poplaryard.workload.calls import LeaseLimits
from poplaryard.workload.membership import LEASE_TTL_S
from poplaryard.workload.model import AdviceCost, RunOutcome, StartOutcome
from poplaryard.workload.owner import OwnerLimits, with_start_times
from poplaryard.workload.partition import Partition, StartOrder
from poplaryard.workload.records import decode_progress
from poplaryard.workload.stored_workers import unrestricted
from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import MAX_LEASE_S, RUN_LEASE_S, WALL_OFFSET_S
from tests.workload.test_restarts_randomized import UnreliableGroup, UnreliableWorker

LIMITS = OwnerLimits(run_lease_s=RUN_LEASE_S, retention_s=60.0, max_lease_s=MAX_LEASE_S)
LEASES = LeaseLimits(RUN_LEASE_S, MAX_LEASE_S)
# Time after which the entry of a silent worker is removed from the store, in seconds.
ENTRY_LIFE_S = 3.0
# Time for which a member of a gang waits for the others, in seconds.
GANG_WAIT_S = 4.0
# Time after which a worker that fails its runs does so, in seconds.
FAIL_AFTER_S = 0.3
# Time up and time down of a flapping worker, in seconds.
FLAP_UP_S, FLAP_DOWN_S = 0.7, 0.7
# Weight of a GPU in thousandths of a core.
GPU_CPU_M = 8000
# Time without a run that is allowed: of any job, and of a lasting task before that.
WAIT_S, LASTING_IDLE_S = 3.0, 6.0
# Share of the capacity that may be in use for a wait to count.
BUSY_SHARE = 0.5
# Methods of `FaultPlan` that begin a fault.
FAULT_KINDS = (
    "lose",
    "replace",
    "flap_new",
    "flap_same",
    "cut",
    "take_away",
    "calls_late",
    "fail",
    "store_slow",
    "lose_owner",
)
QUICK = AdviceCost(base_s=0.02, per_worker_s=0.001, valid_s=2.0)
SLOW = AdviceCost(base_s=0.7, per_worker_s=0.01, valid_s=2.0)


@dataclass(frozen=True)
class Ticket:
    """Ticket of the advice service for one life of a worker."""

    step: str
    born_ms: int
    until: float


class FaultyWorker(UnreliableWorker):
    """Worker that guards its room, checks tickets and may leave the store's list."""

    def __init__(self, info, now):
        super().__init__(info)
        self.needs = {}
        self.heard_at = now
        self.list_at = now
        self.hides_when_cut = False
        self.gone = False
        self.flaps_until = float("-inf")
        self.flips_at = float("inf")

    def free(self):
        return self.info.capacity - sum((self.needs[key] for key in self.runs), ZERO)

    def start_task(self, run, ticket, run_s, now, fence, deadline):
        """Start a run as `start` does, unless room or a valid ticket is missing."""
        if fence >= self.fence and not self.accepts(ticket, run, now):
            self.fence = fence
            return StartOutcome.BAD_TICKET
        self.needs[run.key] = run.need
        known = run.key in self.runs
        fits = run.need.fits_in(self.free())
        outcome = self.start(run.key, run_s, now, fence, deadline)
        if outcome is StartOutcome.STARTED and not known and not fits:
            del self.runs[run.key]
            self.started.pop()
            return StartOutcome.NO_ROOM
        return outcome

    def accepts(self, ticket, run, now):
        if run.task.step.job.spec.advice is None:
            return True
        return (
            isinstance(ticket, Ticket)
            and ticket.step == run.task.step.name
            and ticket.born_ms == self.info.born_ms
            and now <= ticket.until
        )

    def crash(self, now, until):
        """Lose everything and be silent until a time."""
        self.runs.clear()
        self.dark_until = until

    def reports(self, now):
        """Return whether the store hears from the worker."""
        hidden = self.hides_when_cut and self.is_cut(now)
        return not (self.gone or self.is_dark(now) or hidden)


class FaultyGroup(UnreliableGroup):
    """Group with slow writes, changes of the owner and an advice service."""

    def __init__(self, seed, workers=0, channels=2):
        self.entries = {}
        self.at_address = {}
        self.owner_back_at = None
        self.stored_progress = {}
        self.stored_suspects = {}
        self.writing = None
        self.write_s = (0.0, 0.0)
        self.late_until = float("-inf")
        self.late_share = 0.0
        self.advice_lost_share = 0.0
        self.shares = {}
        self.tickets = {}
        self.fences = {}
        self.advice_calls = []
        # Number of calls for advice by step.
        self.asked = Counter()
        self.channel_count = channels
        self.last_run_at = {}
        self.specs = {}
        self.seed = seed
        self._numbers = itertools.count(1000)
        self._reset_channels()
        super().__init__(seed, lost_share=0.0, workers=0)
        self.partition.leases = LEASES
        for number in range(workers):
            self.add_worker(self.new_info(number))
        self.stored_suspects = self.partition.possible_run_holders(self.now)

    # Workers

    def new_info(self, number):
        return worker_info(
            number,
            cpu=self.rng.choice([2000, 4000, 8000, 16000]),
            address=f"10.0.1.{number}:80",
            labels=("a", f"r{number // 5}"),
        )

    def add_worker(self, info):
        sim = FaultyWorker(info, self.now)
        self.sims[info.worker_id] = sim
        self.at_address[info.address] = sim
        self.list_worker(sim)

    def list_worker(self, sim):
        self.entries[sim.info.worker_id] = sim.info
        if self.owner_is_up():
            self.partition.worker_listed(sim.info)

    def unlist_worker(self, sim):
        del self.entries[sim.info.worker_id]
        if self.owner_is_up():
            self.partition.worker_unlisted(sim.info.worker_id, self.now)

    def update_entries(self):
        for sim in self.sims.values():
            listed = sim.info.worker_id in self.entries
            if sim.reports(self.now):
                sim.heard_at = self.now
                entry = self.entries.get(sim.info.worker_id)
                if self.now >= sim.list_at and entry is not sim.info:
                    self.list_worker(sim)
            elif listed and (sim.gone or self.now > sim.heard_at + ENTRY_LIFE_S):
                self.unlist_worker(sim)

    def is_replaced(self, sim):
        """Return whether another worker runs at the address of a worker."""
        other = self.at_address[sim.info.address]
        return other is not sim and not other.is_dark(self.now)

    def is_silent(self, sim):
        return sim.gone or super().is_silent(sim)

    def renew_leases(self, worker, sim):
        if not self.partition.is_watched(worker, self.now):
            return
        if self.is_replaced(sim) and not self.is_silent(
            self.at_address[sim.info.address]
        ):
            self.partition.hold_failed(worker, self.now, other_instance=True)
            return
        self.lost_share = self.late_share
        super().renew_leases(worker, sim)

    def may_renew(self, worker):
        stored = self.stored_suspects.get(worker.worker_id)
        unrenewed = stored is not None and not stored.renewed
        return super().may_renew(worker) and not unrenewed

    # Calls

    def deliver_later(self, delay_s, action, *args):
        super().deliver_later(delay_s, self._deliver_as, self.fence, action, args)

    def _deliver_as(self, fence, action, args):
        """Deliver a call of the owner that has sent it."""
        present, self.fence = self.fence, fence
        if fence != present:
            if action == self.start_in_time:
                action = self.start_late
            elif action == self.hold_late and args[0].fence > fence:
                action = _ignore
        try:
            action(*args)
        finally:
            self.fence = present

    def delay_s(self):
        return self.rng.uniform(2.0, 12.0)

    def carry_out_orders(self):
        self.lost_share = self.late_share
        for order in self.partition.orders:
            if isinstance(order, StartOrder):
                self.tickets[order.run] = order.ticket
        super().carry_out_orders()

    def send_start(self, order):
        run = order.run
        sim = self.sims[run.worker.worker_id]
        if self.is_replaced(sim):
            has_ticket = bool(order.ticket)
            run.worker.start_call(run, self.now, 1.6, has_ticket)
            outcome = StartOutcome.WRONG_INSTANCE
            self.partition.start_answered(run, outcome, self.now)
            return
        super().send_start(order)

    def deliver_start(self, run, deadline):
        sim = self.sims[run.worker.worker_id]
        spec = run.task.step.spec
        run_s = math.inf if spec.lasting or spec.gang else spec.estimate_s
        if sim.failing:
            run_s = FAIL_AFTER_S
        ticket = self.tickets[run]
        return sim.start_task(run, ticket, run_s, self.now, self.fence, deadline)

    # Gangs

    def advance_gangs(self):
        """Let gangs work once all members are there, and end without one of them."""
        members = {}
        for sim in self.sims.values():
            for key, times in sim.runs.items():
                step_name = key[0].rpartition(".")[0]
                spec = self.specs[step_name]
                if spec.gang:
                    entry = members.setdefault((step_name, key[1]), [])
                    entry.append((sim, key, times))
        for (step_name, _), present in members.items():
            spec = self.specs[step_name]
            works = any(times[1] < math.inf for _, _, times in present)
            if len(present) == spec.count and not works:
                for _, _, times in present:
                    times[1] = self.now + spec.estimate_s
            elif len(present) < spec.count:
                for sim, key, times in present:
                    if works or self.now > times[0] + GANG_WAIT_S:
                        del sim.runs[key]
                        end = RunOutcome.BROKEN if works else RunOutcome.ALONE
                        sim.end_run(key, end)

    # Advice

    def _reset_channels(self):
        self.channels = ChannelPool(None)
        names = [f"p{number}" for number in range(1, self.channel_count)]
        self.channels.set_peers(dict.fromkeys(names, (None, False)))
        self.advice_calls = []

    def permits(self, step_name, worker_id):
        """Return whether a step may run on a worker, which never changes."""
        share = self.shares[step_name]
        key = f"{self.seed} {step_name} {worker_id}"
        return share is None or random.Random(key).random() < share

    def advise(self):
        self.answer_advice()

        def has_channel(cost_s):
            return self.channels.select(cost_s > SLOW_CALL_S, self.now) is not None

        for request in self.partition.advice_wanted(self.now, has_channel):
            slow = request.cost_s > SLOW_CALL_S
            channel = self.channels.select(slow, self.now)
            before = channel.quick_calls
            self.channels.acquire(channel, slow, self.now)
            took_s, tickets = request.cost_s * (1 + before), None
            fault = self.rng.random()
            if fault < self.advice_lost_share:
                took_s += TIMEOUT_SLACK_S
                pause_s = FAILED_PAUSE_S
            elif fault < 2 * self.advice_lost_share:
                took_s = 0.01
                pause_s = BUSY_PAUSE_S
            else:
                pause_s = 0.0
                tickets = self.issue_tickets(request, self.now + took_s)
            entry = (self.now + took_s, channel, slow, request, tickets, pause_s)
            self.advice_calls.append(entry)
            self.asked[request.step.name] += 1

    def issue_tickets(self, request, answered_at):
        name = request.step.name
        until = answered_at + request.step.job.spec.advice.valid_s
        return {
            worker: Ticket(name, self.sims[worker].info.born_ms, until)
            for worker in request.workers
            if self.permits(name, worker)
        }

    def answer_advice(self):
        due = [call for call in self.advice_calls if call[0] <= self.now]
        self.advice_calls = [call for call in self.advice_calls if call not in due]
        for at, channel, slow, request, tickets, pause_s in due:
            channel.release(slow)
            if tickets is None:
                channel.paused_until = self.now + pause_s
            until = at + request.step.job.spec.advice.valid_s
            self.partition.advice_answered(request, tickets, until, self.now)

    # Store and owner

    def owner_is_up(self):
        return self.owner_back_at is None

    def submit(self, spec, share=None, **fields):
        """Submit a job whose steps are permitted on a share of the workers."""
        spec = replace(spec, accepted_at=self.now + WALL_OFFSET_S)
        for number, step_spec in enumerate(spec.steps):
            name = f"{spec.job_id}.0.{number}"
            self.specs[name] = step_spec
            self.shares[name] = share
        return super().submit(spec, **fields)

    def allow_starts(self):
        allowed = unrestricted(self.stored_suspects)
        if self.writing is not None:
            allowed &= unrestricted(self.writing[2])
        self.partition.allow_starts_on(allowed)

    def write_progress(self):
        if self.writing is None:
            batch = self.partition.take_progress()
            workers = self.partition.possible_run_holders(self.now)
            self.writing = (self.now + self.rng.uniform(*self.write_s), batch, workers)
        if self.now >= self.writing[0]:
            _, batch, _ = self.writing
            self._store_written()
            self.partition.progress_written(batch)

    def _store_written(self):
        _, batch, workers = self.writing
        self.writing = None
        self.stored_progress.update(batch.progress)
        self.stored_suspects = workers

    def lose_owner(self, restarts):
        """Lose the owner; the next one begins at once or once its claim has ended."""
        if not self.owner_is_up():
            return
        if self.writing is not None and self.rng.random() < 0.5:
            self._store_written()
        self.writing = None
        self.owner_restarts = restarts
        self.owner_back_at = self.now + (1.0 if restarts else LEASE_TTL_S + 0.5)
        self._reset_channels()

    def change_owner(self):
        """Begin with a new owner, as `GroupOwner.start` does."""
        self.owner_back_at = None
        self.fence += 1
        restarts = self.owner_restarts
        leases_s = LIMITS.given_lease_s() if restarts else LIMITS.quarantine_s()
        suspects = with_start_times(self.stored_suspects, self.entries)
        restricted = set(suspects) - unrestricted(suspects)
        later = Partition(
            "desk",
            self.fence,
            WALL_OFFSET_S,
            self.now + leases_s,
            suspects,
            loaded_at=self.now,
            leases=LEASES,
        )
        for job_id, known in self.partition.jobs.items():
            value = self.stored_progress.get(job_id)
            progress = decode_progress(value) if value else None
            later.add_job(known.spec, self.now, False, progress)
        self.partition = later
        for name, suspect in suspects.items():
            if name not in self.entries and suspect.address:
                later.add_unlisted_suspect(name, suspect)
        for info in self.entries.values():
            later.worker_listed(info)
        present = later.possible_run_holders(self.now)
        for name in set(self.entries) - restricted:
            present[name] = replace(present[name], tasks=None, renewed=True)
        self.stored_suspects = present

    def step(self):
        self.advance_gangs()
        if self.owner_back_at is not None and self.now >= self.owner_back_at:
            self.change_owner()
        self.update_entries()
        if self.owner_is_up():
            super().step()
        else:
            self.deliver_due()
            for sim in self.sims.values():
                sim.advance(self.now)
        for sim in self.sims.values():
            for task, _ in sim.runs:
                self.last_run_at[task] = self.now


def _ignore(*args):
    """Do nothing: the worker refuses the call of an earlier owner."""


# Faults


class FaultPlan:
    """Random faults of a group, until a time.

    Each fault is a method that begins it now; it has ended by `until`.
    """

    def __init__(self, group, until, kinds=FAULT_KINDS):
        self.group = group
        # Of its own, so that the faults don't depend on what the owner does.
        self.rng = random.Random(f"faults {group.seed}")
        self.until = until
        self.kinds = kinds
        self.log = []
        self._phases = []
        self._fewest = len(group.sims) // 2

    def play(self, rate):
        """Begin a fault with a probability, and end those that are due."""
        group = self.group
        self._flap()
        for phase in [phase for phase in self._phases if phase[0] <= group.now]:
            self._phases.remove(phase)
            phase[1]()
        if group.now < self.until and self.rng.random() < rate:
            kind = self.rng.choice(self.kinds)
            self.log.append((round(group.now, 2), kind))
            getattr(self, kind)()

    def later(self, delay_s, action):
        self._phases.append((min(self.group.now + delay_s, self.until), action))

    def sound(self):
        now = self.group.now
        return [
            sim
            for sim in self.group.sims.values()
            if not self.group.is_silent(sim)
            and not sim.info.draining
            and now > sim.flaps_until
            and now > sim.cut_until
        ]

    def pick(self, spare=False):
        """Return a sound worker, or None if too few are left to lose one."""
        sims = self.sound()
        if len(sims) <= (self._fewest if spare else 1):
            return None
        return self.rng.choice(sims)

    def lose(self):
        for _ in range(self.rng.choice([1, 1, 2, 3])):
            sim = self.pick(spare=True)
            if sim is not None:
                sim.crash(self.group.now, math.inf)

    def replace(self):
        sim = self.pick()
        if sim is not None:
            sim.crash(self.group.now, math.inf)
            self.later(self.rng.uniform(0.5, 4.0), lambda: self.come_back(sim))

    def come_back(self, sim, **fields):
        """Put a worker with another id at the address of a lost one."""
        number = next(self.group._numbers)
        born_ms = int((self.group.now + WALL_OFFSET_S) * 1000)
        info = replace(sim.info, worker_id=f"w{number}", born_ms=born_ms)
        self.group.add_worker(info)
        return self.group.sims[info.worker_id]

    def flap_new(self):
        self.begin_flapping(same_id=False)

    def flap_same(self):
        self.begin_flapping(same_id=True)

    def begin_flapping(self, same_id):
        sim = self.pick()
        if sim is None:
            return
        sim.same_id = same_id
        sim.flips_at = self.group.now
        sim.flaps_until = min(self.until, self.group.now + self.rng.uniform(3.0, 12.0))

    def _flap(self):
        now = self.group.now
        for sim in list(self.group.sims.values()):
            if now < sim.flips_at:
                continue
            sim.flips_at = math.inf
            if now >= sim.flaps_until:
                continue
            if sim.same_id:
                sim.restart(now, self.rng.choice([0.0, 20.0, 9000.0]))
                sim.dark_until = now + FLAP_DOWN_S
                sim.list_at = sim.dark_until + self.rng.uniform(0.0, 1.0)
                sim.flips_at = now + FLAP_DOWN_S + FLAP_UP_S
            else:
                sim.crash(now, math.inf)
                until = sim.flaps_until
                sim.flaps_until = float("-inf")
                self.later(FLAP_DOWN_S, lambda sim=sim, u=until: self.flap_on(sim, u))

    def flap_on(self, sim, until):
        later = self.come_back(sim)
        later.same_id = False
        later.flaps_until = until
        later.flips_at = self.group.now + FLAP_UP_S

    def cut(self):
        seconds = self.rng.uniform(2.0, 8.0)
        hides = self.rng.random() < 0.5
        for _ in range(self.rng.choice([1, 1, 2, 4])):
            sim = self.pick()
            if sim is not None:
                sim.cut_at = self.group.now
                sim.cut_until = min(self.until, self.group.now + seconds)
                sim.hides_when_cut = hides

    def take_away(self):
        sim = self.pick(spare=True)
        if sim is None:
            return
        sim.info = replace(sim.info, draining=True, remaining_s=3.0)
        self.later(self.rng.uniform(3.0, 6.0), lambda: self.leave(sim))

    def leave(self, sim):
        sim.gone = True
        sim.crash(self.group.now, math.inf)

    def calls_late(self):
        self.group.late_share = self.rng.choice([0.05, 0.3, 0.6])
        self.group.advice_lost_share = self.rng.choice([0.0, 0.1, 0.3])
        self.later(self.rng.uniform(1.0, 8.0), self.calls_in_time)

    def calls_in_time(self):
        self.group.late_share = self.group.advice_lost_share = 0.0

    def fail(self):
        sim = self.pick()
        if sim is not None:
            sim.failing = True
            self.later(self.rng.uniform(3.0, 12.0), lambda: self.work(sim))

    def work(self, sim):
        sim.failing = False

    def store_slow(self):
        self.group.write_s = (1.0, 4.0)
        self.later(self.rng.uniform(3.0, 10.0), self.store_quick)

    def store_quick(self):
        self.group.write_s = (0.0, 0.0)

    def lose_owner(self):
        self.group.lose_owner(self.rng.random() < 0.5)


# Jobs


def random_job(rng, number, workers):
    """Return a job, and the share of the workers on which it is permitted."""
    kind = rng.choice(
        ["plain"] * 6
        + ["steps"] * 3
        + ["gang"] * 4
        + ["lasting"] * 2
        + ["spread", "wide", "wide lasting", "hopeless", "copied"]
    )
    cpu = rng.choice([200, 500, 1000, 2000])
    estimate_s = rng.choice([0.5, 1.0, 3.0, 12.0, 30.0])
    tasks = {"cpu": cpu, "estimate_s": estimate_s}
    steps = (step(rng.randint(1, 4), **tasks),)
    if kind == "steps":
        steps = (
            step(rng.randint(1, 3), **tasks),
            step(rng.randint(1, 3), after=(0,), **tasks),
            step(1, after=(1,), cpu=cpu, estimate_s=1.0),
        )
    elif kind == "gang":
        cpu = rng.choice([1000, 2000, 4000, 6000])
        count = rng.randint(1, 6)
        steps = (step(count, cpu=cpu, estimate_s=estimate_s, gang=True),)
    elif kind == "lasting":
        count = rng.randint(1, 3)
        steps = (step(count, cpu=cpu, estimate_s=1000.0, lasting=True),)
    elif kind == "spread":
        steps = (step(rng.randint(2, 5), max_per_worker=1, **tasks),)
    elif kind == "wide":
        count = workers + 5
        steps = (step(count, cpu=200, estimate_s=estimate_s, max_per_worker=1),)
    elif kind == "wide lasting":
        wide = {"max_per_worker": 1, "lasting": True, "estimate_s": 1000.0}
        steps = (step(2 * workers, cpu=50, **wide),)
    elif kind == "hopeless":
        steps = (step(1, cpu=99000),)
    elif kind == "copied":
        steps = (step(rng.randint(1, 3), speculative=True, **tasks),)
    advice, share = None, None
    if rng.random() < 0.6:
        advice = rng.choice([QUICK, SLOW])
        share = rng.uniform(0.3, 1.0)
    fields = {"priority": rng.choice([0, 1, 2]), "attempts": 20, "advice": advice}
    return job(f"{number:016x}", *steps, **fields), share


# Waits


class WaitWatch:
    """Finds jobs and lasting tasks that wait although they could run.

    Attributes
    ----------
    found : dict of str to float
        Longest time for which a job, or a task, waited against the rule, in seconds.
    """

    def __init__(self, group):
        self.group = group
        self.began = group.now
        self.since = {}
        self.found = {}
        self.busy = []

    def look(self):
        """Check all jobs now."""
        group = self.group
        busy = self.busy_share()
        self.busy.append(busy)
        waiting = self.waiting() if busy < BUSY_SHARE else set()
        self.since = {name: self.since.get(name, group.now) for name in sorted(waiting)}
        for name, since in self.since.items():
            if group.now - since > WAIT_S:
                self.found[name] = max(self.found.get(name, 0.0), group.now - since)

    def usable(self):
        group = self.group
        return [
            sim
            for sim in group.sims.values()
            if not group.is_silent(sim)
            and sim.info.worker_id in group.entries
            and not sim.info.draining
            and not sim.failing
        ]

    def busy_share(self):
        usable = self.usable()
        total = sum((sim.info.capacity for sim in usable), ZERO)
        free = sum((sim.free() for sim in usable), ZERO)
        return 1 - _weight(free) / max(1, _weight(total))

    def waiting(self):
        """Return the jobs and lasting tasks that have no run and could have one."""
        group = self.group
        running = {task for sim in group.sims.values() for task, _ in sim.runs}
        busy_jobs = {task.partition(".")[0] for task in running}
        found = set()
        for job_id, known in group.partition.jobs.items():
            if known.progress.state.final:
                continue
            for number, spec in enumerate(known.spec.steps):
                step_name = f"{job_id}.0.{number}"
                done = known.progress.done.get(f"0.{number}", ())
                idle = [
                    f"{step_name}.{index}"
                    for index in spec.indices
                    if index not in done and f"{step_name}.{index}" not in running
                ]
                if not idle or not self.is_ready(known, spec):
                    continue
                if not self.has_room(step_name, spec):
                    continue
                if spec.lasting:
                    found |= {task for task in idle if self.is_idle(task)}
                elif job_id not in busy_jobs:
                    found.add(job_id)
        return found

    def is_idle(self, task):
        last_run_at = self.group.last_run_at.get(task, float("-inf"))
        return self.group.now > last_run_at + LASTING_IDLE_S

    @staticmethod
    def is_ready(known, spec):
        done = known.progress.done
        steps = known.spec.steps
        return all(
            len(done.get(f"0.{number}", ())) == steps[number].count
            for number in spec.after
        )

    def has_room(self, step_name, spec):
        """Return whether the workers have room for a task, or a gang, twice over."""
        wanted = 2 * (spec.count if spec.gang else 1)
        places = 0
        for sim in self.usable():
            if not self.group.permits(step_name, sim.info.worker_id):
                continue
            count = spec.need.fit_count(sim.free())
            if spec.max_per_worker:
                there = sum(
                    task.rpartition(".")[0] == step_name for task, _ in sim.runs
                )
                count = min(count, spec.max_per_worker - there)
            places += max(0, count)
            if places >= wanted:
                return True
        return False


def _weight(amount: Resources):
    return amount.cpu_m + GPU_CPU_M * amount.gpus


def explain(group, name):
    """Return what the partition believes of a task, or of a job's tasks, as lines."""
    partition, now = group.partition, group.now
    known = partition.jobs[name.partition(".")[0]]
    lines = [
        f"{now:.2f} fresh={known.fresh} ordered={known.ordered} started={known.started}"
        f" suspects={list(partition._current_suspects(now))}"
    ]
    for run_step in known.occurrences.get(0, ()):
        if name.count(".") and not name.startswith(run_step.name + "."):
            continue
        permits = [w for w, p in run_step.permits.items() if p.until > now]
        lines.append(
            f"step {run_step.name} rank={run_step.rank} starved={run_step.starved}"
            f" asking={run_step.asking} asked={len(run_step.asked)} permits={permits}"
            f" may_run={Counter(run_step.may_run.values())}"
            f" planned={run_step.name in partition._plans} spec={run_step.spec}"
            f" advice={known.spec.advice}"
        )
        open_tasks = [task for task in run_step.tasks if not task.done]
        for task in open_tasks[:6]:
            if name.count(".") == 3 and task.name != name:
                continue
            lines.append(
                f"  {task.name} stored={task.crash_stored} suspected={task.suspected}"
                f" not_before={task.not_before - now:.1f}"
                f" next_trial={task.next_trial_at - now:.1f} held={task.is_held}"
                f" strays={[(s.worker.worker_id, s.settled) for s in task.strays]}"
                f" trial_host={task.trial_host and task.trial_host.worker_id}"
                f" crashes={known.progress.crashes.get(task.name)}"
            )
            lines += [
                f"    run {run.number} on {run.worker.worker_id} {run.phase.value}"
                f" age={now - run.sent_at:.1f} reachable={run.worker.reachable}"
                f" listed={run.worker.listed} silent={now - run.worker.clock_at:.1f}"
                for run in task.runs
            ]
    for worker in partition.workers.values():
        sim = group.sims[worker.worker_id]
        up = not group.is_silent(sim) and worker.worker_id in group.entries
        startable = worker.worker_id in partition._startable_workers
        if up and not (worker.usable(now) and startable):
            lines.append(
                f"  {worker.worker_id} not used: startable={startable}"
                f" synced={worker.synced} reachable={worker.reachable}"
                f" listed={worker.listed} gone={worker.gone}"
                f" rejected={worker.rejected_runs} strays={list(worker.strays)}"
                f" suspected={worker.restart_suspected} described={worker.described}"
                f" draining={worker.info.draining}"
                f" paused={worker.paused_until - now:.1f}"
            )
    return lines
