"""Gangs: all tasks of a job start at once or none does.

A gang that does not fit now can reserve room: it holds room on the VMs that are
expected to be free soonest, which keeps smaller work from taking that room over and
over. One gang for each resource class (with and without GPUs) holds a reservation.
"""

import typing as t
from dataclasses import dataclass

from .capacity import count_fits
from .estimate import Estimator
from .fleet import Vm
from .jobs import Attempt, Job
from .messages import Priority, WorkKind
from .resources import ZERO, Resources
from .state import ShardState

__all__ = ["Gangs", "Reservation"]

# Reserved VMs tried for one task that would end before the gang starts.
BACKFILL_PROBES = 16

# Held tasks that are moved to free VMs in one pass.
MOVES = 32

# A reservation whose time has passed is planned anew at most this often.
REPLAN_S = 1.0

# Run time that a task is allowed for by backfill and reservations: a high quantile,
# since one late task delays the whole gang.
QUANTILE = 0.9


@dataclass(slots=True, eq=False)
class Reservation:
    """Room held for a gang.

    Attributes
    ----------
    need : Resources
        Amount held for each task.
    starts_at : float
        Time by which the room is expected to be free.
    planned_at : float
        Time of the last choice of VMs.
    waits_for : str
        One of the VMs whose room is not free yet.
    """

    job: Job
    need: Resources
    starts_at: float
    planned_at: float
    waits_for: str = ""


class _Option(t.NamedTuple):
    """Tasks that one VM can take from a time on."""

    at: float
    vm: str
    tasks: int


class Gangs:
    """Placement of gangs in one shard."""

    def __init__(self, state: ShardState, estimator: Estimator):
        self._state = state
        self._estimator = estimator
        self._reserved: dict[bool, Reservation] = {}

    def max_parallel(self, need: Resources, group: str) -> int:
        """Return how many tasks the shard's VMs could run at once when empty."""
        shapes = self._state.fleet.shapes(group)
        return sum(count_fits(need, shape) * count for shape, count in shapes.items())

    def hold_all(self, job: Job, need: Resources) -> bool:
        """Hold room that is free now for every pending task, or for none."""
        fleet, group = self._state.fleet, job.work.group
        if fleet.index.at_most(need, group) < len(job.pending):
            return False
        for task in job.pending:
            vm = fleet.index.tightest(need, group)
            if vm is None:
                self._state.release_holds(job)
                return False
            self._state.hold(job, task, vm, need)
        return True

    @property
    def active(self) -> bool:
        """Whether a gang holds a reservation."""
        return bool(self._reserved)

    def reserve(self, now: float, job: Job, need: Resources) -> bool:
        """Hold room that will be free; False if another gang holds a reservation."""
        key = bool(need.gpus)
        if key in self._reserved:
            return False
        starts_at = self._hold_soonest(now, job, need)
        if starts_at is None:
            self._state.release_holds(job)
            return False
        self._reserved[key] = Reservation(job, need, starts_at, now)
        return True

    def ready(self, now: float) -> list[Job]:
        """Return the gangs whose reserved room has become free."""
        found = []
        for key, reservation in list(self._reserved.items()):
            job = reservation.job
            if not job.held:
                # Answered or cancelled.
                del self._reserved[key]
            elif self._settle(now, reservation):
                del self._reserved[key]
                found.append(job)
        return found

    def vm_lost(self, vm: Vm) -> None:
        """Give up the room held on a VM that cannot be used any more."""
        for reservation in self._reserved.values():
            job = reservation.job
            for task in [task for task, name in job.held.items() if name == vm.name]:
                self._state.release_hold(job, task)
                reservation.planned_at = float("-inf")

    def backfill(
        self, now: float, need: Resources, group: str, run_time_s: float
    ) -> Vm | None:
        """Return a reserved VM on which a task ends before its gang starts."""
        for reservation in self._reserved.values():
            urgent = reservation.job.work.priority is Priority.URGENT
            if urgent or now + run_time_s > reservation.starts_at:
                continue
            names = list(dict.fromkeys(reservation.job.held.values()))
            if len(names) > BACKFILL_PROBES:
                names = self._state.rng.sample(names, BACKFILL_PROBES)
            for name in names:
                vm = self._state.fleet.vms[name]
                free = vm.shape - sum(vm.charges.values(), ZERO)
                if vm.usable and group in ("", vm.spec.group) and need.fits_in(free):
                    return vm
        return None

    def _settle(self, now: float, reservation: Reservation) -> bool:
        """Move held tasks to better VMs; tell whether all have room now."""
        job, vms = reservation.job, self._state.fleet.vms
        planned = len(job.held) == len(job.pending)
        blocked = vms.get(reservation.waits_for)
        if planned and blocked is not None and blocked.overcommitted:
            late = now >= max(reservation.starts_at, reservation.planned_at + REPLAN_S)
            index, need = self._state.fleet.index, reservation.need
            if not late and index.tightest(need, job.work.group) is None:
                return False
        self._move(job, reservation.need)
        self._replan(now, reservation)
        waiting = [name for name in job.held.values() if not _has_room(vms[name])]
        reservation.waits_for = waiting[0] if waiting else ""
        return len(job.held) == len(job.pending) and not waiting

    def _move(self, job: Job, need: Resources) -> None:
        """Hold room that is free now in place of room that is not."""
        fleet = self._state.fleet
        waiting = [
            task for task, name in job.held.items() if not _has_room(fleet.vms[name])
        ]
        for task in waiting[:MOVES]:
            vm = fleet.index.tightest(need, job.work.group)
            if vm is None:
                return
            self._state.release_hold(job, task)
            self._state.hold(job, task, vm, need)

    def _replan(self, now: float, reservation: Reservation) -> None:
        """Choose VMs anew for tasks without a hold, and for all that are late."""
        job, vms = reservation.job, self._state.fleet.vms
        if now < reservation.planned_at + REPLAN_S:
            return
        late = now >= reservation.starts_at
        if not late and len(job.held) == len(job.pending):
            return
        for task, name in list(job.held.items()):
            if not _has_room(vms[name]):
                self._state.release_hold(job, task)
        starts_at = self._hold_soonest(now, job, reservation.need)
        reservation.starts_at = now if starts_at is None else starts_at
        reservation.planned_at = now

    def _hold_soonest(self, now: float, job: Job, need: Resources) -> float | None:
        """Hold room for the tasks without any where it is expected to be soonest."""
        tasks = [task for task in job.pending if task not in job.held]
        starts_at = now
        for option in self._options(now, job, need):
            if not tasks:
                break
            starts_at = max(starts_at, option.at)
            vm = self._state.fleet.vms[option.vm]
            for _ in range(min(option.tasks, len(tasks))):
                self._state.hold(job, tasks.pop(), vm, need)
        return None if tasks else starts_at

    def _options(self, now: float, job: Job, need: Resources) -> list[_Option]:
        options = []
        for vm in self._state.fleet.vms.values():
            if vm.usable and job.work.group in ("", vm.spec.group):
                options += self._options_of(now, vm, need)
        return sorted(options)

    def _options_of(self, now: float, vm: Vm, need: Resources) -> list[_Option]:
        """Return what fits on a VM now and after its tasks have ended."""
        at_once = count_fits(need, vm.free)
        ending = [a for a in self._state.attempts.on_vm(vm) if _ends(a)]
        room = sum((vm.charges[a.attempt_id] for a in ending), vm.free)
        later = count_fits(need, room) - at_once
        found = []
        if at_once:
            found.append(_Option(now, vm.name, at_once))
        if later > 0:
            ends_at = max(self._ends_at(now, attempt) for attempt in ending)
            found.append(_Option(ends_at, vm.name, later))
        return found

    def _ends_at(self, now: float, attempt: Attempt) -> float:
        """Return when an attempt is expected to end.

        One that has overrun is expected to take as long again, so that a task that
        never ends does not look as if it were about to.
        """
        elapsed_s = now - attempt.sent_at
        expected_s = self._estimator.run_time_s(attempt.work, QUANTILE)
        if elapsed_s < expected_s:
            return attempt.sent_at + expected_s
        return now + elapsed_s


def _ends(attempt: Attempt) -> bool:
    return attempt.work.kind in (WorkKind.BATCH, WorkKind.GANG)


def _has_room(vm: Vm) -> bool:
    return vm.usable and not vm.overcommitted
