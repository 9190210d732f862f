"""Claims of workers, and the handling of their replies and failures.

A claim tells a worker the current epoch of its shard; the reply lists its attempts.
"""

import typing as t
from dataclasses import replace

from .attempts import MAX_REPLY_DELAY_S, classify_missing, lost_after
from .codes import Code, Outcome
from .fleet import Vm
from .health import Health
from .jobs import Attempt
from .messages import (
    AttemptReport,
    AttemptState,
    Authority,
    ClaimReply,
    ClaimWorker,
    Message,
    PollReply,
    StartReply,
    Tick,
    VmGone,
    VmUpdate,
    Work,
)
from .results import Results
from .state import CLAIMS_WAIT_S, ShardState
from .takeover import Takeover, VmListRead

__all__ = ["Claims"]

# Time after which a claim without any reply is repeated. It is longer than the back-off
# and time-out of a link, which a new claim would restart.
UNANSWERED_CLAIM_RETRY_S = 5.0

# Interval at which a worker with attempts in doubt is claimed again.
IN_DOUBT_RECLAIM_S = 0.5

# End of an authority that is not valid.
_ENDED = float("-inf")

_TAKEOVER_INPUTS = frozenset({Tick, VmUpdate, VmGone, ClaimReply, VmListRead})


class Claims:
    """Tracks which workers answer, and ends the attempts of those that do not.

    Parameters
    ----------
    on_leaving : callable
        Called with the time and a VM that is about to leave.
    """

    def __init__(
        self,
        state: ShardState,
        results: Results,
        health: Health,
        on_leaving: t.Callable[[float, Vm], None],
    ):
        self._state = state
        self._results = results
        self._health = health
        self._on_leaving = on_leaving
        self._unclaimed: dict[str, Vm] = {}
        self._in_doubt: dict[str, Vm] = {}
        self._gone: set[str] = set()

    def authority(self, now: float, msg: Authority) -> None:
        """Apply a new authority; if its epoch is new, claim all workers."""
        state = self._state
        if msg.epoch < state.authority.epoch:
            return
        new_epoch = msg.epoch > state.authority.epoch
        state.authority = msg
        state.room_freed = True
        if new_epoch:
            state.owned_since = now
            state.awaiting_first_claim = set(state.fleet.vms)
            for vm in state.fleet.vms.values():
                self._claim(now, vm)

    def take_over(self, now: float, takeover: Takeover) -> None:
        """Begin the epoch of a take-over, which claims each worker the first time."""
        state = self._state
        state.takeover = takeover
        self.authority(now, Authority(state.shard, takeover.epoch, _ENDED, False))

    def forward_to_takeover(self, now: float, msg: Message | VmListRead) -> None:
        """Pass a message to the take-over and send the claims that it asks for."""
        takeover = self._state.takeover
        if takeover is None or type(msg) not in _TAKEOVER_INPUTS:
            return
        for command in takeover.handle(now, msg):
            vm = self._state.fleet.vms.get(getattr(command, "vm", ""))
            if vm is not None and vm.name not in self._gone:
                self._send_claim(now, vm, takeover.epoch)
        if takeover.serves_exclusive():
            self._state.room_freed = True

    def vm_update(self, now: float, msg: VmUpdate) -> None:
        """Add a VM, or apply its changes."""
        known = self._state.fleet.vms.get(msg.vm.name)
        moved = known is not None and known.spec.address != msg.vm.address
        vm = self._state.fleet.update(msg.vm)
        self._health.add(vm)
        # The take-over gets the message before the claim below is sent, since it may
        # delay the claim of a new VM.
        self.forward_to_takeover(now, msg)
        returned = vm.name in self._gone
        self._gone.discard(vm.name)
        vm.listed_leaving = msg.leaving
        if returned or moved:
            # It may have been replaced by another VM under its name.
            self._forget_clock(now, vm)
        if returned or not known:
            # The VMs of a new epoch may be announced after its authority.
            state = self._state
            if state.awaiting_first_claim or now < state.owned_since + CLAIMS_WAIT_S:
                state.awaiting_first_claim.add(vm.name)
        if returned or moved or not known:
            self._claim(now, vm)
        self._update_leaving(now, vm)

    def vm_gone(self, now: float, msg: VmGone) -> None:
        """Mark a VM as gone; it is removed once nothing can run on it any more."""
        vm = self._state.fleet.vms.get(msg.vm)
        if vm is not None:
            self._gone.add(vm.name)
            self._set_unclaimed(now, vm)

    def worker_unreachable(self, now: float, name: str) -> None:
        """Record that a worker has not answered; nothing is placed there."""
        vm = self._state.fleet.vms.get(name)
        if vm is None or name in self._gone:
            return
        answered = vm.claimed
        self._set_unclaimed(now, vm)
        if answered:
            self._claim(now, vm)
        else:
            # It was the claim that failed; the next tick repeats it.
            vm.claim_sent_at = float("-inf")

    def worker_restarted(self, now: float, name: str) -> None:
        """Record that a worker has been started again; its link claims it."""
        vm = self._state.fleet.vms.get(name)
        if vm is not None and name not in self._gone:
            self._forget_clock(now, vm)

    def claim_reply(self, now: float, msg: ClaimReply) -> None:
        """Process a claim reply, which lists all attempts of a worker."""
        vm = self._state.fleet.vms.get(msg.vm)
        if vm is None or vm.name in self._gone:
            return
        epoch = self._state.authority.epoch
        if not msg.accepted and msg.epoch > epoch:
            self.lose_authority()
        if not msg.accepted or msg.epoch != epoch:
            return
        if _outdated(now, vm, msg):
            self._claim(now, vm)
        else:
            self._set_claimed(now, vm, msg)

    def poll_reply(self, now: float, msg: PollReply) -> None:
        """Process a poll reply, which reports the changes on a worker."""
        vm = self._state.fleet.vms.get(msg.vm)
        if vm is None:
            return
        epoch = self._state.authority.epoch
        if msg.epoch > epoch:
            self.lose_authority()
        if msg.epoch != epoch:
            return
        outdated = _outdated(now, vm, msg)
        if not outdated:
            vm.clock_ms, vm.clock_at = msg.clock_ms, now
        if msg.leaving or (vm.reported_leaving and not outdated):
            vm.reported_leaving = msg.leaving
            self._update_leaving(now, vm)
        for report in msg.attempts:
            # An outdated report of an ended attempt still holds, unlike one of a
            # running attempt.
            if report.state is not AttemptState.RUNNING or not outdated:
                self._handle_report(now, vm, report)

    def start_reply(self, now: float, msg: StartReply) -> None:
        """Process a worker's answer to one start."""
        attempt = self._state.attempts.get(msg.attempt_id)
        if attempt is None:
            return
        if msg.code in (Code.OK, Code.ATTEMPT_REPEATED):
            self._confirm(now, attempt)
        elif msg.code.outcome is Outcome.NOT_RUN:
            if msg.code is Code.STALE_EPOCH:
                self.lose_authority()
            self._results.not_run(now, attempt)
        else:
            self.worker_unreachable(now, msg.vm)

    def lose_authority(self) -> None:
        """End the authority, because a worker has seen a higher epoch."""
        state = self._state
        state.authority = replace(state.authority, until=_ENDED)

    def tick(self, now: float) -> None:
        """End attempts whose lease wait is over, and repeat claims."""
        for vm in list(self._unclaimed.values()):
            self._check_unclaimed(now, vm)
        for vm in list(self._in_doubt.values()):
            if now >= vm.claim_sent_at + IN_DOUBT_RECLAIM_S:
                self._claim(now, vm)

    def _forget_clock(self, now: float, vm: Vm) -> None:
        """Forget the clock of an earlier instance; nothing starts before a claim.

        By that clock, the replies of the present instance would count as outdated.
        """
        vm.clock_ms, vm.clock_at = 0, float("-inf")
        self._set_unclaimed(now, vm)

    def _set_unclaimed(self, now: float, vm: Vm) -> None:
        vm.claimed = False
        vm.lost_at = min(vm.lost_at, now)
        self._unclaimed[vm.name] = vm
        self._in_doubt.pop(vm.name, None)
        self._state.fleet.refresh(vm)

    def _claim(self, now: float, vm: Vm) -> None:
        """Claim a worker; nothing is placed there until it has answered.

        After a take-over, the first claim of each worker is left to the `Takeover`.
        """
        vm.claimed = False
        self._unclaimed[vm.name] = vm
        self._state.fleet.refresh(vm)
        epoch, takeover = self._state.authority.epoch, self._state.takeover
        if not epoch or vm.name in self._gone:
            return
        if takeover is None or vm.name not in takeover.unclaimed:
            self._send_claim(now, vm, epoch)

    def _send_claim(self, now: float, vm: Vm, epoch: int) -> None:
        vm.claim_sent_at = now
        self._state.out.append(ClaimWorker(vm.name, epoch))

    def _set_claimed(self, now: float, vm: Vm, msg: ClaimReply) -> None:
        state = self._state
        vm.claimed = True
        vm.lost_at = float("inf")
        state.awaiting_first_claim.discard(vm.name)
        vm.clock_ms, vm.clock_at = msg.clock_ms, now
        self._unclaimed.pop(vm.name, None)
        self._in_doubt.pop(vm.name, None)
        missing = classify_missing(now, state.attempts.on_vm(vm), msg)
        # Replicas first: a request can only take its slot once its replica is known.
        for report in sorted(msg.attempts, key=lambda report: bool(report.executor)):
            if report.attempt_id not in state.attempts:
                self._adopt(now, vm, report)
            self._handle_report(now, vm, report)
        for attempt in missing.lost:
            self._results.lost(now, attempt)
        if missing.in_doubt:
            self._in_doubt[vm.name] = vm
        vm.reported_leaving = msg.leaving
        self._update_leaving(now, vm)
        state.room_freed = True
        if not state.awaiting_first_claim:
            # All workers are claimed now, so the replicas are known completely.
            for pool in state.pools.values():
                pool.changed = True

    def _adopt(self, now: float, vm: Vm, report: AttemptReport) -> None:
        """Adopt a running attempt that an earlier owner started."""
        if report.state is not AttemptState.RUNNING:
            return
        work = Work(
            request_id=report.request_id,
            kind=report.kind,
            team=report.team,
            target=report.target,
            need=report.need,
            idempotent=False,
            exclusive_key=report.exclusive_key,
        )
        attempt = Attempt(
            report.attempt_id, work, report.task, vm.name, report.executor, now
        )
        attempt.valid_until_ms = vm.clock_ms
        self._state.attempts.add(vm, attempt, report.need)
        self._results.adopted(now, attempt, report)

    def _handle_report(self, now: float, vm: Vm, report: AttemptReport) -> None:
        attempt = self._state.attempts.get(report.attempt_id)
        running = report.state is AttemptState.RUNNING
        if attempt is not None and running:
            self._confirm(now, attempt)
            self._results.progress(vm, attempt, report)
        elif attempt is not None:
            self._health.record(now, vm, attempt, report)
            self._results.ended(now, attempt, report)
        elif not running:
            self._results.ended_untracked(now, report)
        elif running and vm.claimed:
            # A poll reply may lack other attempts, so an unknown attempt is charged
            # only from the claim reply.
            self._claim(now, vm)

    def _confirm(self, now: float, attempt: Attempt) -> None:
        if self._state.attempts.confirm(now, attempt) and attempt.is_replica:
            self._state.room_freed = True

    def _update_leaving(self, now: float, vm: Vm) -> None:
        leaving = vm.listed_leaving or vm.reported_leaving
        if leaving and not vm.leaving:
            self._state.audit_vm("leaving", vm.name)
        vm.leaving = leaving
        self._state.fleet.refresh(vm)
        if vm.leaving:
            self._on_leaving(now, vm)
        else:
            self._state.room_freed = True

    def _check_unclaimed(self, now: float, vm: Vm) -> None:
        """End the attempts whose leases have ended; claim the worker or remove it."""
        for attempt in self._state.attempts.on_vm(vm):
            if now >= lost_after(attempt, vm.lost_at):
                self._results.lost(now, attempt)
        if vm.name not in self._gone:
            if now >= vm.claim_sent_at + UNANSWERED_CLAIM_RETRY_S:
                vm.lost_at = min(vm.lost_at, now)
                self._claim(now, vm)
        elif not vm.charges:
            self._state.fleet.remove(vm.name)
            self._state.awaiting_first_claim.discard(vm.name)
            self._health.forget(vm.name)
            del self._unclaimed[vm.name]
            self._gone.discard(vm.name)


def _outdated(now: float, vm: Vm, reply: ClaimReply | PollReply) -> bool:
    """Return whether a reply was written before one that was handled already.

    An outdated reply may name attempts that have ended, and lack those started since.
    """
    if now > vm.clock_at + MAX_REPLY_DELAY_S:
        return False
    if isinstance(reply, ClaimReply) and vm.clock_at > vm.claim_sent_at:
        return reply.clock_ms <= vm.clock_ms
    return reply.clock_ms < vm.clock_ms
