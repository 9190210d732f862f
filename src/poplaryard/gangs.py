"""Gang scheduling: all tasks of a job start at once or none does.

A gang that does not fit now can reserve room: it holds room on the VMs that are
expected to be free soonest, so that smaller work does not take that room again and
again. At most one gang with GPUs and one without hold a reservation.
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

# Reserved VMs tried to backfill one task that would end before the gang starts.
BACKFILL_PROBES = 16

# Holds that are moved to VMs with free room in one pass.
MAX_MOVES_PER_PASS = 32

# Shortest interval between two choices of VMs for one reservation.
REPLAN_S = 1.0

# Quantile of the run times that backfill and reservations expect of a task. It is high,
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
    """Number of tasks that fit on one VM from the time `at` on."""

    at: float
    vm: str
    tasks: int


class Gangs:
    """Holds and reservations for the gangs of one shard."""

    def __init__(self, state: ShardState, estimator: Estimator):
        self._state = state
        self._estimator = estimator
        # By whether the gang needs GPUs.
        self._reserved: dict[bool, Reservation] = {}

    def max_parallel(self, need: Resources, group: str) -> int:
        """Return how many tasks the VMs of a group could run at once when empty."""
        shapes = self._state.fleet.shapes(group)
        return sum(count_fits(need, shape) * count for shape, count in shapes.items())

    def hold_all(self, job: Job, need: Resources) -> bool:
        """Hold room that is free now for all pending tasks or none; False if none."""
        fleet, group = self._state.fleet, job.work.group
        if fleet.index.max_tasks(need, group) < len(job.pending):
            return False
        for task in job.pending:
            vm = fleet.index.best_fit(need, group)
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
        """Hold room that will become free, and return whether that was possible.

        It is not if another gang holds a reservation, or if the VMs lack the room.
        """
        key = bool(need.gpus)
        if key in self._reserved:
            return False
        starts_at = self._hold_soonest(now, job, need)
        if starts_at is None:
            self._state.release_holds(job)
            return False
        self._reserved[key] = Reservation(job, need, starts_at, now)
        return True

    def pop_ready(self, now: float) -> list[Job]:
        """Return the gangs whose reserved room is free, and end their reservations."""
        found = []
        for key, reservation in list(self._reserved.items()):
            job = reservation.job
            if not job.held:
                # Answered or cancelled.
                del self._reserved[key]
            elif self._make_ready(now, reservation):
                del self._reserved[key]
                found.append(job)
        return found

    def vm_lost(self, vm: Vm) -> None:
        """Release the room reserved on a VM that cannot be used any more."""
        for reservation in self._reserved.values():
            job = reservation.job
            for task in [task for task, name in job.held.items() if name == vm.name]:
                self._state.release_hold(job, task)
                reservation.planned_at = float("-inf")

    def backfill(
        self, now: float, need: Resources, group: str, run_time_s: float
    ) -> Vm | None:
        """Return a reserved VM on which a task would end before the gang starts."""
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

    def _make_ready(self, now: float, reservation: Reservation) -> bool:
        """Move holds to better VMs; return whether all tasks have free room now."""
        job, vms = reservation.job, self._state.fleet.vms
        planned = len(job.held) == len(job.pending)
        blocked = vms.get(reservation.waits_for)
        if planned and blocked is not None and blocked.overcommitted:
            late = now >= max(reservation.starts_at, reservation.planned_at + REPLAN_S)
            index, need = self._state.fleet.index, reservation.need
            if not late and index.best_fit(need, job.work.group) is None:
                return False
        self._move(job, reservation.need)
        self._replan(now, reservation)
        waiting = [name for name in job.held.values() if not _has_room(vms[name])]
        reservation.waits_for = waiting[0] if waiting else ""
        return len(job.held) == len(job.pending) and not waiting

    def _move(self, job: Job, need: Resources) -> None:
        """Replace holds on room that is not free by holds on room that is."""
        fleet = self._state.fleet
        waiting = [
            task for task, name in job.held.items() if not _has_room(fleet.vms[name])
        ]
        for task in waiting[:MAX_MOVES_PER_PASS]:
            vm = fleet.index.best_fit(need, job.work.group)
            if vm is None:
                return
            self._state.release_hold(job, task)
            self._state.hold(job, task, vm, need)

    def _replan(self, now: float, reservation: Reservation) -> None:
        """Choose VMs again if tasks lack a hold or the gang is late.

        Holds on VMs with free room stay.
        """
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
        """Hold room for the tasks without a hold, where it is expected soonest.

        Return the time from which all tasks are expected to have room, or None if the
        VMs lack the room.
        """
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
                options += self._vm_options(now, vm, need)
        return sorted(options)

    def _vm_options(self, now: float, vm: Vm, need: Resources) -> list[_Option]:
        """Return how many tasks fit on a VM now, and when its tasks have ended."""
        at_once = count_fits(need, vm.free)
        ending = [a for a in self._state.attempts.on_vm(vm) if _is_finite(a)]
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

        One that has overrun is expected to run for as long again, so that a task that
        never ends is not always expected to end soon.
        """
        elapsed_s = now - attempt.sent_at
        expected_s = self._estimator.run_time_s(attempt.work, QUANTILE)
        if elapsed_s < expected_s:
            return attempt.sent_at + expected_s
        return now + elapsed_s


def _is_finite(attempt: Attempt) -> bool:
    return attempt.work.kind in (WorkKind.BATCH, WorkKind.GANG)


def _has_room(vm: Vm) -> bool:
    return vm.usable and not vm.overcommitted
