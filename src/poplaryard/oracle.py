"""What the promises P1 to P6 and P8 allow, kept as plain sets and counters."""

import typing as t
from collections import Counter, defaultdict

from .codes import Code, Outcome
from .messages import Answer, Work
from .resources import ZERO, Resources

__all__ = ["BrokenPromise", "Oracle"]


class BrokenPromise(Exception):
    """A promise was broken.

    Parameters
    ----------
    promise : str
        ``P1`` to ``P8``.
    """

    def __init__(self, promise: str, detail: str):
        super().__init__(f"{promise}: {detail}")
        self.promise = promise


class Oracle:
    """Sees every true start and end at the workers, and every answer to a caller."""

    def __init__(self) -> None:
        self.works: dict[str, Work] = {}
        self._capacity: dict[str, Resources] = {}
        self._used: dict[str, Resources] = defaultdict(lambda: ZERO)
        self._keys: Counter[str] = Counter()
        self._runs: Counter[tuple[str, int]] = Counter()
        # Tokens that wait at an owner, tokens under which each attempt was sent, tokens
        # under which a request has run, and tokens that were answered "not run".
        self._waiting: dict[tuple[str, str], set[str]] = defaultdict(set)
        self._sent_under: dict[str, frozenset[str]] = {}
        self._ran: set[str] = set()
        self._not_run: set[str] = set()
        self._answered: set[str] = set()
        self._told_leaving: set[tuple[str, str]] = set()
        self._numbers: dict[str, int] = {}
        self._tickets: dict[int, str] = {}
        self.open: dict[str, str] = {}
        self.checks = 0
        self.answers = 0

    def vm(self, name: str, capacity: Resources) -> None:
        """Note a worker."""
        self._capacity[name] = capacity

    def submitted(self, token: str, work: Work) -> None:
        """Note an attempt of a caller under a token of its own."""
        self.works[work.request_id] = work
        self.open[token] = work.request_id

    def reached(self, owner: str, token: str, request_id: str) -> None:
        """Note that a caller's attempt reached the owner."""
        if token not in self._answered:
            self._waiting[owner, request_id].add(token)

    def start_sent(self, owner: str, vm: str, attempt_id: str, request_id: str) -> None:
        """Check a start that an owner sends (P6)."""
        if (owner, vm) in self._told_leaving:
            raise BrokenPromise("P6", f"{owner} starts work on {vm}, which is leaving")
        waiting = self._waiting[owner, request_id] - self._answered
        self._sent_under[attempt_id] = frozenset(waiting)
        if not waiting and self._waiting[owner, request_id] & self._not_run:
            raise BrokenPromise("P4", f"{request_id} is started after not run")

    def told_leaving(self, owner: str, vm: str) -> None:
        """Note that an owner has been told that a VM is leaving."""
        self._told_leaving.add((owner, vm))

    def told_staying(self, owner: str, vm: str) -> None:
        """Note that an owner has been told that a VM is no longer leaving."""
        self._told_leaving.discard((owner, vm))

    def began(
        self, vm: str, work: Work, task: int, need: Resources, attempt_id: str
    ) -> None:
        """Check a task that begins on a worker (P1, P2, P4, P5)."""
        self.checks += 1
        self._used[vm] += need
        if not self._used[vm].fits_in(self._capacity[vm]):
            raise BrokenPromise("P1", f"{vm} holds {self._used[vm]}")
        if work.exclusive_key:
            self._keys[work.exclusive_key] += 1
            if self._keys[work.exclusive_key] > 1:
                raise BrokenPromise("P2", f"{work.exclusive_key} runs twice, on {vm}")
        self._runs[work.request_id, task] += 1
        if not work.idempotent and self._runs[work.request_id, task] > 1:
            raise BrokenPromise("P5", f"{work.request_id} runs twice, on {vm}")
        tokens = self._sent_under[attempt_id]
        if tokens & self._not_run:
            raise BrokenPromise("P4", f"{work.request_id} runs after not run")
        self._ran |= tokens

    def ended(
        self, vm: str, work: Work, task: int, need: Resources, again: bool
    ) -> None:
        """Note the end of a task; `again` if a checkpoint lets it start once more."""
        self._used[vm] -= need
        if work.exclusive_key:
            self._keys[work.exclusive_key] -= 1
        if again:
            self._runs[work.request_id, task] -= 1

    def vm_lost(self, vm: str) -> None:
        """Note that a VM failed with everything on it."""
        self._used.pop(vm, None)

    def said(self, owner: str, answer: Answer) -> None:
        """Check an answer as its owner gives it (P4)."""
        token = answer.reply_to
        self._answered.add(token)
        if answer.outcome is not Outcome.NOT_RUN:
            return
        if token in self._ran:
            detail = f"{owner} answers {token} {answer.code.name} but it has run"
            raise BrokenPromise("P4", detail)
        self._not_run.add(token)

    def received(self, token: str, answer: Answer) -> None:
        """Check the answer that a caller receives (P3)."""
        self.answers += 1
        request_id = self.open.pop(token, None)
        if request_id is None:
            raise BrokenPromise("P3", f"{token} is answered twice")
        if answer.request_id != request_id:
            raise BrokenPromise("P3", f"{token} gets the answer of another request")
        if answer.code is Code.OK:
            self._whole(self.works[request_id], answer)

    def _whole(self, work: Work, answer: Answer) -> None:
        expected = tuple(f"{work.request_id}/{task}" for task in range(work.tasks))
        if answer.parts != expected:
            raise BrokenPromise("P3", f"{work.request_id} gets {answer.parts}")

    def ticket(self, number: int, content: str) -> None:
        """Note an accepted ticket."""
        self._tickets[number] = content

    def in_force(self, process: str, number: int, content: str) -> None:
        """Check a configuration that a process applies (P8)."""
        if number < self._numbers.get(process, 0):
            raise BrokenPromise("P8", f"{process} reverts to ticket {number}")
        if self._tickets[number] != content:
            raise BrokenPromise("P8", f"{process} applies other content as {number}")
        self._numbers[process] = number

    def in_force_late(self, process: str, number: int) -> None:
        """Report a process that does not hold the last ticket in time (P8)."""
        raise BrokenPromise("P8", f"{process} holds ticket {number} for too long")

    def running(self) -> t.Mapping[str, Resources]:
        """Return the resources in use on each VM."""
        return self._used
