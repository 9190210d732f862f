"""Claims of workers, and what their replies say about VMs and attempts."""

import typing as t
from dataclasses import replace

from .attempts import RESTART_S, fate, lost_after
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

# A claim that brings no reply at all is repeated after this time. It is longer than the
# back-off and time-out of a link, which a new claim would restart.
CLAIM_AGAIN_S = 5.0

# Interval at which a worker with attempts in doubt is claimed again.
RECHECK_S = 0.5

NEVER = float("-inf")

_TAKEOVER_INPUTS = frozenset({Tick, VmUpdate, VmGone, ClaimReply, VmListRead})


class Claims:
    """Knows which workers answer, and settles the attempts of those that do not.

    Parameters
    ----------
    leaves : callable
        Takes a time and a VM that has begun to leave.
    """

    def __init__(
        self,
        state: ShardState,
        results: Results,
        health: Health,
        leaves: t.Callable[[float, Vm], None],
    ):
        self._state = state
        self._results = results
        self._health = health
        self._leaves = leaves
        self._unclaimed: dict[str, Vm] = {}
        self._doubtful: dict[str, Vm] = {}
        self._gone: set[str] = set()

    def authority(self, now: float, msg: Authority) -> None:
        """Take a new end of authority; claim all workers under a new epoch."""
        state = self._state
        if msg.epoch < state.authority.epoch:
            return
        risen = msg.epoch > state.authority.epoch
        state.authority = msg
        state.room_freed = True
        if risen:
            state.owned_since = now
            state.awaiting_first_claim = set(state.fleet.vms)
            for vm in state.fleet.vms.values():
                self._claim(now, vm)

    def take_over(self, now: float, takeover: Takeover) -> None:
        """Follow a take-over, which claims each worker for the first time."""
        state = self._state
        state.takeover = takeover
        self.authority(now, Authority(state.shard, takeover.epoch, NEVER, False))

    def advance(self, now: float, msg: Message | VmListRead) -> None:
        """Hand a message on to the take-over and send the claims that it asks for."""
        takeover = self._state.takeover
        if takeover is None or type(msg) not in _TAKEOVER_INPUTS:
            return
        for command in takeover.handle(now, msg):
            vm = self._state.fleet.vms.get(getattr(command, "vm", ""))
            if vm is not None and vm.name not in self._gone:
                self._send_claim(now, vm, takeover.epoch)
        if takeover.serves_exclusive():
            self._state.room_freed = True

    def update(self, now: float, msg: VmUpdate) -> None:
        """Add a VM or take over its changes."""
        known = msg.vm.name in self._state.fleet.vms
        vm = self._state.fleet.update(msg.vm)
        self._health.add(vm)
        # First, as the take-over may hold back the claim of a new VM.
        self.advance(now, msg)
        back = vm.name in self._gone
        self._gone.discard(vm.name)
        vm.listed_leaving = msg.leaving
        if back or not known:
            # The VMs of a new term may be named after its authority.
            state = self._state
            if state.awaiting_first_claim or now < state.owned_since + CLAIMS_WAIT_S:
                state.awaiting_first_claim.add(vm.name)
            self._claim(now, vm)
        self._note_leaving(now, vm)

    def gone(self, now: float, msg: VmGone) -> None:
        """Forget a VM once nothing can run on it any more."""
        vm = self._state.fleet.vms.get(msg.vm)
        if vm is not None:
            self._gone.add(vm.name)
            self._set_unclaimed(now, vm)

    def unreachable(self, now: float, name: str) -> None:
        """Note that a worker has not answered; it counts as full."""
        vm = self._state.fleet.vms.get(name)
        if vm is None or name in self._gone:
            return
        answered = vm.claimed
        self._set_unclaimed(now, vm)
        if answered:
            self._claim(now, vm)
        else:
            # The claim itself failed; the next tick repeats it.
            vm.claim_sent_at = float("-inf")

    def claim_reply(self, now: float, msg: ClaimReply) -> None:
        """Take the complete list of a worker's attempts."""
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
        """Take a worker's changes."""
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
            self._note_leaving(now, vm)
        for report in msg.attempts:
            # That an attempt has ended stays true; that it runs may not.
            if report.state is not AttemptState.RUNNING or not outdated:
                self._report(now, vm, report)

    def start_reply(self, now: float, msg: StartReply) -> None:
        """Take a worker's answer to one start."""
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
            self.unreachable(now, msg.vm)

    def lose_authority(self) -> None:
        """Start nothing more: a worker has seen a higher epoch."""
        state = self._state
        state.authority = replace(state.authority, until=NEVER)

    def tick(self, now: float) -> None:
        """End lease waits and repeat claims."""
        for vm in list(self._unclaimed.values()):
            self._check_unclaimed(now, vm)
        for vm in list(self._doubtful.values()):
            if now >= vm.claim_sent_at + RECHECK_S:
                self._claim(now, vm)

    def _set_unclaimed(self, now: float, vm: Vm) -> None:
        vm.claimed = False
        vm.lost_at = min(vm.lost_at, now)
        self._unclaimed[vm.name] = vm
        self._doubtful.pop(vm.name, None)
        self._state.fleet.refresh(vm)

    def _claim(self, now: float, vm: Vm) -> None:
        """Claim a worker; nothing is placed there until it has answered."""
        vm.claimed = False
        self._unclaimed[vm.name] = vm
        self._state.fleet.refresh(vm)
        epoch, takeover = self._state.authority.epoch, self._state.takeover
        if not epoch or vm.name in self._gone:
            return
        if takeover is None or vm.name not in takeover.missing:
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
        self._doubtful.pop(vm.name, None)
        missing = fate(now, state.attempts.on_vm(vm), msg)
        # Replicas first, so that requests find the executor whose slot they hold.
        for report in sorted(msg.attempts, key=lambda report: bool(report.executor)):
            if report.attempt_id not in state.attempts:
                self._adopt(now, vm, report)
            self._report(now, vm, report)
        for attempt in missing.lost:
            self._results.lost(now, attempt)
        if missing.in_doubt:
            self._doubtful[vm.name] = vm
        vm.reported_leaving = msg.leaving
        self._note_leaving(now, vm)
        state.room_freed = True
        if not state.awaiting_first_claim:
            # Until then each reconciliation would see only a part of the replicas.
            for pool in state.pools.values():
                pool.changed = True

    def _adopt(self, now: float, vm: Vm, report: AttemptReport) -> None:
        """Take over an attempt that an earlier owner started."""
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

    def _report(self, now: float, vm: Vm, report: AttemptReport) -> None:
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
            # Only a claim reply is complete enough to charge an unknown attempt.
            self._claim(now, vm)

    def _confirm(self, now: float, attempt: Attempt) -> None:
        if self._state.attempts.confirm(now, attempt) and attempt.is_replica:
            self._state.room_freed = True

    def _note_leaving(self, now: float, vm: Vm) -> None:
        leaving = vm.listed_leaving or vm.reported_leaving
        if leaving and not vm.leaving:
            self._state.audit_vm("leaving", vm.name)
        vm.leaving = leaving
        self._state.fleet.refresh(vm)
        if vm.leaving:
            self._leaves(now, vm)
        else:
            self._state.room_freed = True

    def _check_unclaimed(self, now: float, vm: Vm) -> None:
        for attempt in self._state.attempts.on_vm(vm):
            if now >= lost_after(attempt, vm.lost_at):
                self._results.lost(now, attempt)
        if vm.name not in self._gone:
            if now >= vm.claim_sent_at + CLAIM_AGAIN_S:
                vm.lost_at = min(vm.lost_at, now)
                self._claim(now, vm)
        elif not vm.charges:
            self._state.fleet.remove(vm.name)
            self._state.awaiting_first_claim.discard(vm.name)
            self._health.forget(vm.name)
            del self._unclaimed[vm.name]
            self._gone.discard(vm.name)


def _outdated(now: float, vm: Vm, reply: ClaimReply | PollReply) -> bool:
    """Tell whether a reply was written before another one that was handled already.

    It may name attempts that have ended, and lack attempts that have started since.
    """
    if now > vm.clock_at + RESTART_S:
        return False
    if isinstance(reply, ClaimReply) and vm.clock_at > vm.claim_sent_at:
        return reply.clock_ms <= vm.clock_ms
    return reply.clock_ms < vm.clock_ms
