"""Minimal owner of one shard for the fuzzer: random placement, real `Ledger`."""

import itertools
import random
import typing as t
from dataclasses import dataclass, replace

from .codes import Code, Outcome
from .fencing import lease_wait_s, valid_until_ms
from .messages import (
    Answer,
    AttemptReport,
    AttemptState,
    Authority,
    Cancel,
    ClaimReply,
    ClaimWorker,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
    Submit,
    Tick,
    VmGone,
    VmUpdate,
    Work,
    WorkerUnreachable,
)
from .outcome import Ledger, RequestStatus
from .ownership import LEASE_TTL_S
from .resources import ZERO, Resources
from .takeover import CLAIM_RETRY_S, Takeover, VmListRead

__all__ = ["FuzzShard"]


@dataclass(slots=True)
class _Vm:
    """VM of the shard; times are on the monotonic clock of the process."""

    capacity: Resources
    leaving: bool = False
    reachable: bool = True
    # Last reading of the worker's clock in ms and the time of its receipt.
    reading: tuple[int, float] = (0, 0.0)
    unreachable_since: float = 0.0
    reclaim_at: float = 0.0


@dataclass(slots=True)
class _Sent:
    """Start that was sent to a worker; `need` is charged to the VM until it ends.

    Attributes
    ----------
    valid_until_ms : int
        Time on the worker's clock after which it refuses the start.
    confirmed : bool
        Whether the worker has confirmed or reported the attempt.
    """

    vm: str
    need: Resources
    request_id: str
    valid_until_ms: int
    confirmed: bool = False


@dataclass(slots=True)
class _Waiting:
    """Request without an answer, and the tokens of the callers that wait for it."""

    work: Work
    reply_to: list[str]


class FuzzShard:
    """Owner of a shard that places work on a random VM with enough free capacity.

    Its safety rules are those of `ShardScheduler`; only the placement is simpler.

    Parameters
    ----------
    without : frozenset of str
        Names of safety mechanisms that are disabled.
    """

    def __init__(
        self, shard: str, process: str, takeover: Takeover, without: frozenset[str]
    ):
        self.shard = shard
        self._process = process
        self._takeover = takeover
        self._without = without
        self.ledger = Ledger()
        self._vms: dict[str, _Vm] = {}
        self._sent: dict[str, _Sent] = {}
        self._requests: dict[str, _Waiting] = {}
        self._cancelled: set[str] = set()
        self._authority = Authority(shard, takeover.epoch, float("-inf"), False)
        self._numbers = itertools.count()
        self._rng = random.Random(takeover.epoch)

    def handle(self, now: float, message: t.Any) -> list[t.Any]:
        """Process one message, then place waiting work; return commands and answers."""
        out = _HANDLERS[type(message)](self, now, message)
        return [*out, *self._place(now)]

    def _tick(self, now: float, message: Tick) -> list[t.Any]:
        out = self._takeover.handle(now, message)
        for name, vm in self._vms.items():
            out += self._reclaim(now, name, vm)
        for request_id in list(self._requests):
            out += self._expire(now, request_id)
        return out

    def _reclaim(self, now: float, name: str, vm: _Vm) -> list[t.Any]:
        if vm.reachable:
            return []
        out: list[t.Any] = []
        if now >= vm.unreachable_since + LEASE_TTL_S + lease_wait_s():
            out += self._lose_attempts(now, name)
        if now >= vm.reclaim_at:
            vm.reclaim_at = now + CLAIM_RETRY_S
            out.append(ClaimWorker(name, self._takeover.epoch))
        return out

    def _expire(self, now: float, request_id: str) -> list[t.Any]:
        if now < self._requests[request_id].work.deadline:
            return []
        answer = self.ledger.conclude(
            now, request_id, not_run=Code.EXPIRED, ran=Code.TIMED_OUT
        )
        return self._answer_callers(answer)

    def _submit(self, now: float, message: Submit) -> list[t.Any]:
        work = message.work
        issued = work.issued_at
        registered = self.ledger.register(
            now,
            message.wall,
            work,
            attempt=message.attempt,
            may_run_unreported=work.idempotent or self._may_run_unreported(issued),
        )
        if (
            registered.status is RequestStatus.ANSWERED
            and registered.answer is not None
        ):
            return [replace(registered.answer, reply_to=message.reply_to)]
        if registered.status is RequestStatus.REFUSED and registered.code is not None:
            return [_refusal(message, registered.code)]
        self._add_waiting(message)
        return []

    def _may_run_unreported(self, issued_at: float) -> bool:
        if not self._takeover.serves_exclusive():
            # Nothing is started yet; `_place_request` decides before it starts work.
            return True
        return self._takeover.may_run_unreported(issued_at)

    def _add_waiting(self, message: Submit) -> None:
        waiting = self._requests.get(message.work.request_id)
        if waiting is None:
            waiting = _Waiting(message.work, [])
            self._requests[message.work.request_id] = waiting
        if message.reply_to not in waiting.reply_to:
            waiting.reply_to.append(message.reply_to)

    def _cancel(self, now: float, message: Cancel) -> list[t.Any]:
        answer = self.ledger.conclude(
            now, message.request_id, not_run=Code.CANCELLED, ran=Code.STOPPED
        )
        if answer is not None:
            return self._answer_callers(answer)
        self._cancelled.add(message.request_id)
        return [
            StopAttempt(self._sent[attempt_id].vm, attempt_id, self._takeover.epoch)
            for attempt_id in self.ledger.attempts(message.request_id)
            if attempt_id in self._sent
        ]

    def _claim_reply(self, now: float, message: ClaimReply) -> list[t.Any]:
        out = self._takeover.handle(now, message)
        vm = self._vms.get(message.vm)
        if vm is None or not message.accepted or message.epoch != self._takeover.epoch:
            return out
        for report in message.attempts:
            out += self._adopt(now, message.vm, report)
        if message.clock_ms > vm.reading[0]:
            vm.reachable = True
        self._record_reading(now, vm, message.clock_ms)
        return out

    def _adopt(self, now: float, vm: str, report: AttemptReport) -> list[t.Any]:
        if report.state is not AttemptState.RUNNING:
            return self._attempt_ended(now, report, adopted=True)
        self.ledger.adopt(now, report)
        if report.attempt_id in self.ledger.attempts(report.request_id):
            sent = _Sent(vm, report.need, report.request_id, 0, confirmed=True)
            self._sent.setdefault(report.attempt_id, sent).confirmed = True
        return []

    def _poll_reply(self, now: float, message: PollReply) -> list[t.Any]:
        vm = self._vms.get(message.vm)
        if vm is None or message.epoch != self._takeover.epoch:
            return []
        vm.leaving = vm.leaving or message.leaving
        if message.vm in self._takeover.unclaimed:
            return []
        out: list[t.Any] = []
        for report in message.attempts:
            out += self._adopt(now, message.vm, report)
        out += self._refuse_never_started(now, message)
        self._record_reading(now, vm, message.clock_ms)
        return out

    def _refuse_never_started(self, now: float, message: PollReply) -> list[t.Any]:
        """Refuse starts that the worker has not received and can no longer accept."""
        reported = {report.attempt_id for report in message.attempts}
        expired = [
            attempt_id
            for attempt_id, sent in self._sent.items()
            if sent.vm == message.vm
            and attempt_id not in reported
            and not sent.confirmed
            and message.clock_ms > sent.valid_until_ms
        ]
        for attempt_id in expired:
            self._record_refused(now, attempt_id)
        return []

    def _record_reading(self, now: float, vm: _Vm, clock_ms: int) -> None:
        if clock_ms > vm.reading[0]:
            vm.reading = clock_ms, now

    def _start_reply(self, now: float, message: StartReply) -> list[t.Any]:
        if message.code is Code.OK:
            if message.attempt_id in self._sent:
                self._sent[message.attempt_id].confirmed = True
        elif message.code.outcome is Outcome.NOT_RUN:
            sent = self._sent.get(message.attempt_id)
            if sent is not None and not sent.confirmed:
                self._record_refused(now, message.attempt_id)
        return []

    def _record_refused(self, now: float, attempt_id: str) -> None:
        self._sent.pop(attempt_id, None)
        self.ledger.refused(now, attempt_id)

    def _attempt_ended(
        self, now: float, report: AttemptReport, adopted: bool = False
    ) -> list[t.Any]:
        self._sent.pop(report.attempt_id, None)
        record = self.ledger.adopt if adopted else self.ledger.report
        answer = record(now, report)
        request_id = report.request_id
        ended = not self.ledger.attempts(request_id)
        if answer is None and ended and request_id in self._cancelled:
            answer = self.ledger.end(now, request_id, Code.STOPPED)
        return self._answer_callers(answer)

    def _lose_attempts(self, now: float, vm: str) -> list[t.Any]:
        out: list[t.Any] = []
        for attempt_id in [
            attempt_id for attempt_id, sent in self._sent.items() if sent.vm == vm
        ]:
            del self._sent[attempt_id]
            out += self._answer_callers(self.ledger.lost(now, attempt_id))
        return out

    def _unreachable(self, now: float, message: WorkerUnreachable) -> list[t.Any]:
        vm = self._vms.get(message.vm)
        if vm is not None and vm.reachable:
            vm.reachable = False
            vm.unreachable_since = now
        return []

    def _vm_update(self, now: float, message: VmUpdate) -> list[t.Any]:
        vm = self._vms.get(message.vm.name)
        if vm is None:
            self._vms[message.vm.name] = vm = _Vm(message.vm.capacity)
        # An outdated list does not revoke what the worker itself has reported.
        vm.leaving = vm.leaving or message.leaving
        return self._takeover.handle(now, message)

    def _vm_gone(self, now: float, message: VmGone) -> list[t.Any]:
        out = self._takeover.handle(now, message)
        if self._vms.pop(message.vm, None) is not None:
            out += self._lose_attempts(now, message.vm)
        return out

    def _list_read(self, now: float, message: VmListRead) -> list[t.Any]:
        return self._takeover.handle(now, message)

    def _update_authority(self, now: float, message: Authority) -> list[t.Any]:
        self._authority = message
        return []

    def _answer_callers(self, answer: Answer | None) -> list[t.Any]:
        if answer is None:
            return []
        waiting = self._requests.pop(answer.request_id, None)
        self._cancelled.discard(answer.request_id)
        tokens = waiting.reply_to if waiting else []
        return [replace(answer, reply_to=token) for token in tokens]

    def _place(self, now: float) -> list[t.Any]:
        if self._authority.until <= now:
            return []
        out: list[t.Any] = []
        for request_id in list(self._requests):
            out += self._place_request(now, request_id)
        return out

    def _place_request(self, now: float, request_id: str) -> list[t.Any]:
        work = self._requests[request_id].work
        if request_id in self._cancelled or now >= work.deadline:
            return []
        if not self._may_serve(work):
            return []
        may_run = work.idempotent or self._takeover.may_run_unreported(work.issued_at)
        if not may_run:
            return self._answer_callers(self.ledger.mark_uncertain(now, request_id))
        out: list[t.Any] = []
        for task in self.ledger.open_tasks(request_id):
            out += self._start(now, work, task)
        return out

    def _may_serve(self, work: Work) -> bool:
        if work.idempotent and not work.exclusive_key:
            return True
        return self._authority.exclusive and self._takeover.serves_exclusive()

    def _start(self, now: float, work: Work, task: int) -> list[t.Any]:
        vm = self._find_vm(work.need)
        if vm is None or not self.ledger.may_start(work.request_id, task):
            return []
        number = next(self._numbers)
        attempt_id = f"{self._process}/{self.shard}/{self._takeover.epoch}/{number}"
        until_ms = valid_until_ms(*self._vms[vm].reading, self._authority.until)
        if "charge" not in self._without:
            self._sent[attempt_id] = _Sent(vm, work.need, work.request_id, until_ms)
        self.ledger.started(now, work.request_id, attempt_id, task)
        return [
            StartAttempt(vm, attempt_id, self._takeover.epoch, until_ms, work, task)
        ]

    def _find_vm(self, need: Resources) -> str | None:
        for name, vm in self._rng.sample(list(self._vms.items()), len(self._vms)):
            if vm.leaving or not vm.reachable or not self._takeover.may_place(name):
                continue
            used = sum((s.need for s in self._sent.values() if s.vm == name), ZERO)
            if need.fits_in(vm.capacity - used):
                return name
        return None


def _refusal(message: Submit, code: Code) -> Answer:
    request_id = message.work.request_id
    return Answer(request_id, code, code.outcome, reply_to=message.reply_to)


_HANDLERS: dict[type, t.Callable[[t.Any, float, t.Any], list[t.Any]]] = {
    Authority: FuzzShard._update_authority,
    Cancel: FuzzShard._cancel,
    ClaimReply: FuzzShard._claim_reply,
    PollReply: FuzzShard._poll_reply,
    StartReply: FuzzShard._start_reply,
    Submit: FuzzShard._submit,
    Tick: FuzzShard._tick,
    VmGone: FuzzShard._vm_gone,
    VmListRead: FuzzShard._list_read,
    VmUpdate: FuzzShard._vm_update,
    WorkerUnreachable: FuzzShard._unreachable,
}
