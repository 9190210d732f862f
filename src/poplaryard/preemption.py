"""Preemption: ends attempts to make room for other work at the least loss."""

import heapq
import typing as t

from .fleet import Vm
from .jobs import Attempt, Job
from .messages import StopMode
from .resources import ZERO, Resources
from .state import ShardState

__all__ = ["Preemptor", "choose_victims"]

# VMs compared for one task; a sample bounds the cost in a large shard.
VM_PROBES = 32

# Time given to a checkpoint before the task is stopped. Urgent work is to start within
# 2.3 s; the stop, its report and the start need the rest.
CHECKPOINT_S = 1.2

# Time after which a stop is sent again if the attempt is not reported as ended.
STOP_AGAIN_S = 1.0


class Victims(t.NamedTuple):
    """Attempts to end on one VM, and the work that is lost with them.

    Attributes
    ----------
    stopped : int
        Number of attempts that cannot be checkpointed.
    lost_s : float
        Total time for which those have run, in seconds.
    """

    stopped: int
    lost_s: float
    attempts: list[Attempt]


def choose_victims(
    now: float, vm: Vm, attempts: t.Iterable[Attempt], need: Resources
) -> Victims | None:
    """Return the attempts to end so that `need` fits, or None if none suffice.

    Attempts that can be checkpointed go first, then those that have run for the
    shortest time. Exclusive and non-idempotent ones are never chosen. The room of
    attempts that are being preempted already counts as free.
    """
    chosen: list[Attempt] = []
    room = vm.free
    eligible = [attempt for attempt in attempts if attempt.preemptible]
    for attempt in eligible:
        if attempt.preempted:
            room += vm.charges[attempt.attempt_id]
    for attempt in sorted(eligible, key=_loss_order):
        if need.fits_in(room):
            break
        if not attempt.preempted:
            chosen.append(attempt)
            room += vm.charges[attempt.attempt_id]
    if not need.fits_in(room):
        return None
    chosen = _drop_unneeded(vm, chosen, need, room)
    stopped = [attempt for attempt in chosen if not attempt.work.checkpointable]
    lost_s = sum(now - attempt.sent_at for attempt in stopped)
    return Victims(len(stopped), lost_s, chosen)


def _loss_order(attempt: Attempt) -> tuple[bool, float]:
    return not attempt.work.checkpointable, -attempt.sent_at


def _drop_unneeded(
    vm: Vm, chosen: list[Attempt], need: Resources, room: Resources
) -> list[Attempt]:
    """Return the attempts whose room is needed; the costliest are dropped first."""
    kept = list(chosen)
    for attempt in reversed(chosen):
        smaller = room - vm.charges[attempt.attempt_id]
        if need.fits_in(smaller):
            kept.remove(attempt)
            room = smaller
    return kept


class Preemptor:
    """Ends attempts so that other work can start in their place."""

    def __init__(self, state: ShardState):
        self._state = state
        # Heap of the attempts being ended, by the time at which to send a stop.
        self._stops_due: list[tuple[float, str]] = []

    def make_room(
        self,
        now: float,
        job: Job,
        task: int,
        need: Resources,
        *,
        checkpoint_only: bool = False,
        accept: t.Callable[[Attempt], bool] = lambda attempt: True,
    ) -> bool:
        """Hold room for a task on the VM where the least work is lost.

        Return False if no VM was found.

        Parameters
        ----------
        checkpoint_only : bool
            Whether only attempts that can be checkpointed may be ended.
        accept : callable
            Returns whether an attempt may be ended for this task.
        """
        best: tuple[Vm, Victims] | None = None
        for vm in self._candidates(need, job.work.group):
            victims = self._victims(now, vm, need, accept)
            if victims is None or (checkpoint_only and victims.stopped):
                continue
            if best is None or victims[:2] < best[1][:2]:
                best = vm, victims
        if best is None:
            return False
        self._state.hold(job, task, best[0], need)
        self._end(now, best[1].attempts)
        return True

    def free_held(self, now: float, vm: Vm) -> None:
        """End attempts so that the room held on a VM becomes free."""
        victims = self._victims(now, vm, ZERO, lambda attempt: True)
        if victims is not None:
            self._end(now, victims.attempts)

    def checkpoint(self, now: float, attempt_id: str) -> None:
        """Checkpoint one attempt, if it is preemptible, to be queued again."""
        attempt = self._state.attempts.get(attempt_id)
        if attempt is not None and attempt.preemptible and not attempt.preempted:
            self._end(now, [attempt])

    def tick(self, now: float) -> None:
        """Stop the attempts whose checkpoint or stop has taken too long."""
        while self._stops_due and self._stops_due[0][0] <= now:
            attempt = self._state.attempts.get(heapq.heappop(self._stops_due)[1])
            if attempt is not None:
                self._stop(now, attempt, StopMode.STOP, STOP_AGAIN_S)

    def _victims(
        self,
        now: float,
        vm: Vm,
        need: Resources,
        accept: t.Callable[[Attempt], bool],
    ) -> Victims | None:
        attempts = filter(accept, self._state.attempts.on_vm(vm))
        return choose_victims(now, vm, attempts, need)

    def _candidates(self, need: Resources, group: str) -> list[Vm]:
        names = list(self._state.attempts.preemptible)
        if len(names) > VM_PROBES:
            names = self._state.rng.sample(names, VM_PROBES)
        vms = [self._state.fleet.vms[name] for name in names]
        return [
            vm
            for vm in vms
            if vm.usable and group in ("", vm.spec.group) and need.fits_in(vm.shape)
        ]

    def _end(self, now: float, attempts: t.Iterable[Attempt]) -> None:
        for attempt in attempts:
            attempt.preempted = True
            if attempt.work.checkpointable:
                self._stop(now, attempt, StopMode.CHECKPOINT, CHECKPOINT_S)
            else:
                self._stop(now, attempt, StopMode.STOP, STOP_AGAIN_S)

    def _stop(
        self, now: float, attempt: Attempt, mode: StopMode, repeat_after_s: float
    ) -> None:
        self._state.stop(now, attempt, mode)
        heapq.heappush(self._stops_due, (now + repeat_after_s, attempt.attempt_id))
