"""Reconciliation of service replicas with the ticket in force."""

import typing as t
from collections import deque

from .configuration import Configuration, Policy, ServiceSpec, VmGroupSpec
from .fleet import Vm
from .jobs import Job
from .messages import StopMode, Work, WorkKind
from .placement import ReplicaTask, choose
from .preemption import Preemptor
from .routing import shard_names, shard_of_vm
from .services import CLOSE_AFTER_S, ReplicaPool, split
from .state import CLAIMS_WAIT_S, ShardState, Start

__all__ = ["Replicas"]

# A drain whose effect is not reported is sent again after this time.
DRAIN_AGAIN_S = 2.0


class _Sizes(t.NamedTuple):
    """Number of VMs by data centre, and by shard of the own data centre."""

    centres: dict[str, int]
    shards: dict[str, int]


class Replicas:
    """Starts, replaces and drains the replicas of one shard."""

    def __init__(self, state: ShardState, preemptor: Preemptor):
        self._state = state
        self._preemptor = preemptor
        self._making_room: dict[str, Job] = {}
        self._holds = 0
        self._groups: t.Mapping[str, VmGroupSpec] = {}
        self._policy = Policy()
        self._sizes: dict[str, _Sizes] = {}

    def configure(self, config: Configuration) -> None:
        """Take the services of a new configuration."""
        pools = self._state.pools
        for name, spec in config.services.items():
            if name in pools:
                pools[name].configure(spec)
            else:
                pools[name] = ReplicaPool(spec)

    def share_out(self) -> None:
        """Compute the part of each service's replicas that this shard runs."""
        config, shard = self._state.config, self._state.shard
        if config.vm_groups != self._groups or config.policy != self._policy:
            self._groups, self._policy = config.vm_groups, config.policy
            self._sizes = _shard_sizes(config, shard.rpartition("/")[0])
        for name, pool in self._state.pools.items():
            spec = config.services.get(name)
            pool.want(self._part(spec) if spec else 0)

    def _part(self, spec: ServiceSpec) -> int:
        """Return this shard's part: by data centre first, then by shard."""
        sizes, shard = self._sizes.get(spec.group, _Sizes({}, {})), self._state.shard
        centre = shard.rpartition("/")[0]
        of_centre = split(spec.replicas, sizes.centres).get(centre, 0)
        return split(of_centre, sizes.shards).get(shard, 0)

    def leaves(self, now: float, vm: Vm) -> None:
        """Replace the replicas on a VM that leaves."""
        close_at = now if vm.reported_leaving else now + CLOSE_AFTER_S
        for pool in self._state.pools.values():
            pool.retire(vm.name, close_at)

    def reconcile(self, now: float, all_unsettled: bool) -> None:
        """Start missing replicas and drain those that are not wanted any more.

        Parameters
        ----------
        all_unsettled : bool
            Whether to look also at services for which nothing has changed, but which
            wait for room or for requests to end.
        """
        pools = self._state.pools
        due = [
            name
            for name, pool in pools.items()
            if pool.changed or (all_unsettled and pool.unsettled)
        ]
        if due:
            self._reconcile(now, sorted(due))

    def _reconcile(self, now: float, names: list[str]) -> None:
        settled = self._settled(now)
        for name in names:
            pool = self._state.pools[name]
            for replica in pool.reconcile(now):
                attempt = self._state.attempts.get(replica.attempt_id)
                if attempt and now >= attempt.stop_sent_at + DRAIN_AGAIN_S:
                    self._state.stop(now, attempt, StopMode.DRAIN)
            missing = pool.missing() if settled else 0
            held = self._start_held(now, pool, missing)
            missing = (pool.missing() if settled else 0) - held
            for _ in range(missing):
                if not self._start(now, pool) and not self._make_room(now, pool):
                    break
            pool.unsettled |= pool.missing() > 0
            if name not in self._state.config.services and not pool.replicas:
                del self._state.pools[name]

    def _settled(self, now: float) -> bool:
        """Tell whether the claims that follow a take-over have been answered."""
        if now >= self._state.owned_since + CLAIMS_WAIT_S:
            return True
        vms = self._state.fleet.vms
        unclaimed = (
            vms[name] for name in self._state.awaiting_first_claim if name in vms
        )
        return all(vm.lost_at <= now for vm in unclaimed)

    def _start_held(self, now: float, pool: ReplicaPool, missing: int) -> int:
        """Start replicas whose room has become free; return how many have room held."""
        job = self._making_room.get(pool.spec.name)
        if job is None:
            return 0
        for task, name in list(job.held.items()):
            vm = self._state.fleet.vms.get(name)
            if vm is None or not vm.usable or len(job.held) > missing:
                self._state.release_hold(job, task)
            elif not vm.overcommitted:
                amount = self._state.release_hold(job, task)
                self._state.start(now, Start(vm, _work_of(pool.spec), 0, amount))
                missing -= 1
        return len(job.held)

    def _make_room(self, now: float, pool: ReplicaPool) -> bool:
        """Have batch work checkpointed for a replica that fits nowhere."""
        spec = pool.spec
        if now < pool.retry_at:
            return False
        job = self._making_room.setdefault(
            spec.name, Job(_work_of(spec), "", now, deque())
        )
        self._holds += 1
        return self._preemptor.make_room(
            now, job, self._holds, spec.need, checkpoint_only=True
        )

    def _start(self, now: float, pool: ReplicaPool) -> bool:
        spec = pool.spec
        task = ReplicaTask(spec.need, spec.group, pool.racks)
        choice = choose(task, self._state.fleet, self._state.rng)
        if choice is None or now < pool.retry_at:
            return False
        start = Start(choice.vm, _work_of(spec), 0, spec.need)
        return self._state.start(now, start) is not None


def _shard_sizes(config: Configuration, centre: str) -> dict[str, _Sizes]:
    """Return the sizes by VM group; ``""`` stands for all VMs."""
    shards = shard_names(centre, config.policy.shards_per_data_centre)
    found = {"": _Sizes({}, {})}
    for group in config.vm_groups.values():
        sizes = found.setdefault(group.name, _Sizes({}, {}))
        for vm in group.vms:
            _count(sizes.centres, vm.data_centre)
            _count(found[""].centres, vm.data_centre)
            if vm.data_centre == centre:
                shard = shard_of_vm(vm.name, shards)
                _count(sizes.shards, shard)
                _count(found[""].shards, shard)
    return found


def _count(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1


def _work_of(spec: ServiceSpec) -> Work:
    return Work(
        request_id=f"service/{spec.name}",
        kind=WorkKind.SERVICE,
        team=spec.team,
        target=spec.name,
        group=spec.group,
        need=spec.need,
    )
