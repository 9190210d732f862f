"""Simulation of owners that share tenants' caps through a store, in virtual time."""

import collections
import functools
import heapq
import itertools
import random

from poplaryard.resources import ZERO, Resources
from poplaryard.workload import records
from poplaryard.workload.tenancy.allotments import Allotments
from poplaryard.workload.tenancy.usage import Usage

STEP_S = 0.05
# Longest delay of a configuration on its way to an owner, in seconds.
CONFIG_DELAY_S = 3.0


def task(cpu=1000):
    return Resources(cpu, cpu // 10)


class SimOwner:
    """Owner of a partition, which starts tasks of known length while it may."""

    def __init__(self, sim, partition, claim, caps):
        self.sim, self.partition, self.claim = sim, partition, claim
        self.allotments = Allotments(partition, random.Random(claim))
        self.caps = caps
        self.allotments.configure(caps)
        self.version = 0
        self.paused_until = 0.0
        self.cut_off = False
        # Charged for workers that have not reported yet.
        self.charged = {}

    @property
    def current(self):
        return self.sim.owners[self.partition] is self

    def read_all(self):
        for tenant, (value, revision) in self.sim.records.items():
            record = records.decode_allotment(value)
            self.allotments.record_changed(tenant, record, revision)
        self.allotments.loaded = True

    def used(self, tenant):
        used = self.sim.used[self.partition].get(tenant, ZERO)
        return used + self.charged.get(tenant, ZERO)

    def usage(self):
        wanted = self.sim.wanted[self.partition]
        names = {*self.sim.used[self.partition], *wanted, *self.charged}
        return {name: Usage(self.used(name), wanted.get(name, ZERO)) for name in names}

    def act(self):
        """Start tasks and send the writes that are due."""
        sim = self.sim
        if not self.current or sim.now < self.paused_until:
            return
        for tenant, queue in sim.waiting[self.partition].items():
            while queue:
                need, length_s = queue[0]
                if not self.allotments.may_start(tenant, self.used(tenant), need):
                    break
                queue.popleft()
                sim.want(self.partition, tenant, need.times(-1))
                sim.start(self, tenant, need, length_s)
        if self.allotments.next_due <= sim.now:
            writes = self.allotments.plan(sim.now, self.usage())
            if writes:
                sim.send(self, writes)


class Simulation:
    """Store, owners and tasks; ``faults`` holds what becomes of the next writes."""

    def __init__(self, caps, partitions=("a", "b", "c"), trip_s=0.05, seed=0):
        self.rng = random.Random(seed)
        self.caps = dict(caps)
        self.caps_sent = [dict(caps)]
        self.now = 100.0
        self.trip_s = trip_s
        self.records = {}
        self.revision = 1
        self.claims = dict.fromkeys(partitions, 1)
        self.runs = []
        # Amounts that run, by partition and tenant, and by tenant.
        self.used = {name: {} for name in partitions}
        self.totals = collections.defaultdict(lambda: ZERO)
        # Waiting tasks and their total need, by partition and tenant.
        self.waiting = {name: {} for name in partitions}
        self.wanted = {name: {} for name in partitions}
        self.faults = []
        self.starts = self.calls = 0
        self.bytes = self.largest = 0
        self._events = []
        self._ids = itertools.count()
        self.owners = {}
        for name in partitions:
            self.claim(name)

    def at(self, delay_s, work):
        heapq.heappush(self._events, (self.now + delay_s, next(self._ids), work))

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            while self.runs and self.runs[0][0] <= self.now:
                _, _, tenant, partition, need = heapq.heappop(self.runs)
                self._count(tenant, partition, need.times(-1))
            for owner in self.owners.values():
                owner.act()

    # Tasks

    def _count(self, tenant, partition, need):
        used = self.used[partition]
        used[tenant] = used.get(tenant, ZERO) + need
        self.totals[tenant] += need

    def submit(self, partition, tenant, need=None, count=1, length_s=2.0):
        need = need or task()
        queue = self.waiting[partition].setdefault(tenant, collections.deque())
        queue.extend([(need, length_s)] * count)
        self.want(partition, tenant, need.times(count))

    def want(self, partition, tenant, need):
        wanted = self.wanted[partition]
        wanted[tenant] = wanted.get(tenant, ZERO) + need

    def drop_waiting(self):
        self.waiting = {name: {} for name in self.waiting}
        self.wanted = {name: {} for name in self.waiting}

    def start(self, owner, tenant, need, length_s):
        run = self.now + length_s, next(self._ids), tenant, owner.partition, need
        heapq.heappush(self.runs, run)
        self._count(tenant, owner.partition, need)
        self.starts += 1
        self.check_total(tenant, need)

    def check_total(self, tenant, need):
        """Check that a start leaves the total within the highest cap in force."""
        caps = [self.caps[tenant]]
        if len(self.caps_sent) > 1:
            caps += [owner.caps[tenant] for owner in self.owners.values()]
        total = self.totals[tenant]
        for name in ("cpu_m", "mem_mb"):
            limits = [getattr(cap, name) for cap in caps]
            if getattr(need, name) and all(limits):
                assert getattr(total, name) <= max(limits), f"{total} above {caps}"

    # Store

    def send(self, owner, writes):
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else "done"
        claim = owner.claim

        def commit():
            if self.claims[owner.partition] != claim:
                return None
            for write in writes:
                if self.records.get(write.tenant, (b"", 0))[1] != write.expected:
                    return False
            self.revision += 1
            for write in writes:
                value = records.encode_allotment(write.record)
                self.bytes += len(value)
                self.largest = max(self.largest, len(value))
                self.store(write.tenant, value)
            return self.revision

        def done():
            result = commit()
            self.at(self.trip_s / 2, lambda: answer(result))

        def answer(result):
            if not owner.current:
                return
            if result:
                owner.allotments.written(writes, result)
            elif result is False:
                items = {
                    write.tenant: (records.decode_allotment(value), revision)
                    for write in writes
                    for value, revision in [self.records.get(write.tenant, (b"", 0))]
                }
                owner.allotments.refused(writes, items)

        def lost():
            if owner.current:
                owner.allotments.in_doubt(writes)

        if owner.cut_off or fault == "down":
            self.at(self.trip_s, lambda: owner.allotments.refused(writes, {}))
            return
        if fault in ("done", "repeated"):
            self.at(self.trip_s / 2, done)
        if fault == "repeated":
            self.at(self.rng.uniform(0.0, 12.0), commit)
        if fault == "lost":
            self.at(self.trip_s / 2, commit)
        if fault == "late":
            self.at(self.rng.uniform(0.7, 12.0), commit)
        if fault in ("lost", "late", "dropped"):
            self.at(0.7, lost)

    def store(self, tenant, value):
        """Store a value at the present revision and report it to the owners."""
        self.records[tenant] = value, self.revision
        record, revision = records.decode_allotment(value), self.revision
        for owner in self.owners.values():

            def report(owner=owner):
                if not owner.cut_off:
                    owner.allotments.record_changed(tenant, record, revision)

            self.at(self.rng.uniform(0.3, 1.0) * self.trip_s, report)

    def granted(self, tenant):
        value, _ = self.records.get(tenant, (b"", 0))
        total = ZERO
        for part in records.decode_allotment(value).granted.values():
            total = total + part
        return total

    # Faults

    def claim(self, partition, charge=ZERO):
        """Let a new owner take a partition over."""
        self.revision += 1
        self.claims[partition] = self.revision
        owner = SimOwner(self, partition, self.revision, self.caps)
        owner.version = len(self.caps_sent)
        owner.charged = dict.fromkeys(self.caps, charge)
        self.owners[partition] = owner
        self.at(self.trip_s, owner.read_all)
        self.at(1.0, owner.charged.clear)

    def configure(self, tenant, cap):
        """Store a new cap; owners apply it within `CONFIG_DELAY_S`."""
        self.caps = {**self.caps, tenant: cap}
        self.caps_sent.append(self.caps)
        version, caps = len(self.caps_sent), self.caps
        for owner in self.owners.values():
            delay_s = self.rng.uniform(0.0, CONFIG_DELAY_S)
            self.at(delay_s, functools.partial(self.apply, owner, version, caps))

    def apply(self, owner, version, caps):
        """Apply a configuration at an owner, which reads it later if it is cut off."""
        if owner.cut_off:
            self.at(0.5, functools.partial(self.apply, owner, version, caps))
        elif version > owner.version:
            owner.version, owner.caps = version, caps
            owner.allotments.configure(caps)

    def end_faults(self):
        """End all faults; cut-off owners read the records again."""
        self.faults = []
        for owner in self.owners.values():
            owner.paused_until = 0.0
            self.reconnect(owner)

    def reconnect(self, owner):
        if owner.cut_off:
            owner.cut_off = False
            self.at(self.trip_s, owner.read_all)
