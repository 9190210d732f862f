"""Reconciliation of a shard's service replicas with the configuration in force."""

import typing as t
from collections import deque

from .configuration import Configuration, Policy, ServiceSpec, VmGroupSpec
from .fleet import Vm
from .jobs import Job
from .messages import StopMode, Work, WorkKind
from .placement import ReplicaTask, choose
from .preemption import Preemptor
from .routing import shard_names, shard_of_vm
from .services import CLOSE_AFTER_S, ReplicaPool, apportion
from .state import CLAIMS_WAIT_S, ShardState, Start

__all__ = ["Replicas"]

# Time after which a drain is repeated if the end of the replica was not reported.
DRAIN_AGAIN_S = 2.0


class _Sizes(t.NamedTuple):
    """Number of VMs by data centre, and by shard of the local data centre."""

    centres: dict[str, int]
    shards: dict[str, int]


class Replicas:
    """Starts, replaces and drains the replicas of one shard."""

    def __init__(self, state: ShardState, preemptor: Preemptor):
        self._state = state
        self._preemptor = preemptor
        # Job that stands for the replicas of a service while batch work is preempted
        # for them; it holds the capacity that becomes free.
        self._making_room: dict[str, Job] = {}
        # Task number of the last hold in such a job; each hold gets a new number.
        self._last_hold_number = 0
        self._groups: t.Mapping[str, VmGroupSpec] = {}
        self._policy = Policy()
        self._sizes: dict[str, _Sizes] = {}

    def configure(self, config: Configuration) -> None:
        """Update the replica pools from the services of a new configuration."""
        pools = self._state.pools
        for name, spec in config.services.items():
            if name in pools:
                pools[name].configure(spec)
            else:
                pools[name] = ReplicaPool(spec)

    def update_wanted(self) -> None:
        """Set how many replicas of each service this shard is to run."""
        config, shard = self._state.config, self._state.shard
        if config.vm_groups != self._groups or config.policy != self._policy:
            self._groups, self._policy = config.vm_groups, config.policy
            self._sizes = _shard_sizes(config, shard.rpartition("/")[0])
        for name, pool in self._state.pools.items():
            spec = config.services.get(name)
            pool.set_wanted(self._wanted(spec) if spec else 0)

    def _wanted(self, spec: ServiceSpec) -> int:
        """Return the number of replicas of a service that this shard is to run.

        The replicas are apportioned by VMs, first to data centres and then to shards.
        """
        sizes, shard = self._sizes.get(spec.group, _Sizes({}, {})), self._state.shard
        centre = shard.rpartition("/")[0]
        in_centre = apportion(spec.replicas, sizes.centres).get(centre, 0)
        return apportion(in_centre, sizes.shards).get(shard, 0)

    def vm_leaving(self, now: float, vm: Vm) -> None:
        """Retire the replicas on a VM that is leaving."""
        close_at = now if vm.reported_leaving else now + CLOSE_AFTER_S
        for pool in self._state.pools.values():
            pool.retire(vm.name, close_at)

    def reconcile(self, now: float, all_unsettled: bool) -> None:
        """Start missing replicas and drain those that are no longer wanted.

        Parameters
        ----------
        all_unsettled : bool
            Whether to include services that have not changed but wait for free capacity
            or for requests to end.
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
        """Return whether no more answers to the claims of a take-over are awaited.

        Until then, replicas that already run may not be known yet, so none is started.
        """
        if now >= self._state.owned_since + CLAIMS_WAIT_S:
            return True
        vms = self._state.fleet.vms
        unclaimed = (
            vms[name] for name in self._state.awaiting_first_claim if name in vms
        )
        return all(vm.lost_at <= now for vm in unclaimed)

    def _start_held(self, now: float, pool: ReplicaPool, missing: int) -> int:
        """Start replicas for which preemption has freed the capacity that they hold.

        Return the number of replicas whose held capacity is not free yet.
        """
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
        """Checkpoint batch work to free capacity for a replica that fits nowhere.

        Return False if this is not possible now.
        """
        spec = pool.spec
        if now < pool.retry_at:
            return False
        job = self._making_room.setdefault(
            spec.name, Job(_work_of(spec), "", now, deque())
        )
        self._last_hold_number += 1
        return self._preemptor.make_room(
            now, job, self._last_hold_number, spec.need, checkpoint_only=True
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
    """Return the number of VMs for each VM group; ``""`` stands for all VMs."""
    shards = shard_names(centre, config.policy.shards_per_data_centre)
    found = {"": _Sizes({}, {})}
    for group in config.vm_groups.values():
        sizes = found.setdefault(group.name, _Sizes({}, {}))
        for vm in group.vms:
            _increment(sizes.centres, vm.data_centre)
            _increment(found[""].centres, vm.data_centre)
            if vm.data_centre == centre:
                shard = shard_of_vm(vm.name, shards)
                _increment(sizes.shards, shard)
                _increment(found[""].shards, shard)
    return found


def _increment(counts: dict[str, int], key: str) -> None:
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
