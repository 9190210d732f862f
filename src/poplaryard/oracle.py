"""Checks of the promises P1 to P6 and P8 on the events of a simulated cell.

A promise is a safety property that callers and operators may rely on.

- P1: the tasks on a VM never exceed its capacity.
- P2: at most one task runs under an exclusive key.
- P3: each submission gets at most one answer, to its own request and with all parts.
- P4: a request that is answered "not run" does not run.
- P5: a task of a non-idempotent request runs at most once.
- P6: no work is started on a VM that is known to be leaving.
- P8: a process applies tickets in order of their numbers, unchanged, and within a
  time limit that the simulation sets.
"""

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
        Name of the promise, ``P1`` to ``P8``.
    detail : str
        What was observed.
    """

    def __init__(self, promise: str, detail: str):
        super().__init__(f"{promise}: {detail}")
        self.promise = promise


class Oracle:
    """Global observer that checks the promises.

    The simulation reports each start and end of a task at the workers, each start and
    answer that the owner of a shard sends, and each answer that a caller receives. A
    token identifies one submission of a request by a caller.

    Attributes
    ----------
    works : dict
        Work by request id.
    unanswered : dict
        Request id by token, for submissions whose caller has received no answer.
    starts_checked : int
        Number of task starts checked.
    answers_received : int
        Number of answers received by callers.
    """

    def __init__(self) -> None:
        self.works: dict[str, Work] = {}
        self._capacity: dict[str, Resources] = {}
        self._used: dict[str, Resources] = defaultdict(lambda: ZERO)
        self._running_by_key: Counter[str] = Counter()
        self._starts: Counter[tuple[str, int]] = Counter()
        # Tokens that reached an owner, by owner and request id.
        self._reached: dict[tuple[str, str], set[str]] = defaultdict(set)
        # Tokens that were unanswered when an attempt was sent, by attempt id.
        self._tokens_of_attempt: dict[str, frozenset[str]] = {}
        # Tokens whose request has run.
        self._ran: set[str] = set()
        # Tokens that were answered "not run".
        self._not_run: set[str] = set()
        # Tokens that were answered, with any outcome.
        self._answered: set[str] = set()
        # Pairs of an owner and a VM of which it knows that the VM is leaving.
        self._told_leaving: set[tuple[str, str]] = set()
        # Number of the ticket applied last, by process.
        self._applied: dict[str, int] = {}
        # Content of the accepted tickets, by number.
        self._tickets: dict[int, str] = {}
        self.unanswered: dict[str, str] = {}
        self.starts_checked = 0
        self.answers_received = 0

    def add_vm(self, name: str, capacity: Resources) -> None:
        """Record a VM and its capacity."""
        self._capacity[name] = capacity

    def submitted(self, token: str, work: Work) -> None:
        """Record a submission by a caller; each has a token of its own."""
        self.works[work.request_id] = work
        self.unanswered[token] = work.request_id

    def reached_owner(self, owner: str, token: str, request_id: str) -> None:
        """Record that a submission reached an owner of its shard."""
        if token not in self._answered:
            self._reached[owner, request_id].add(token)

    def start_sent(self, owner: str, vm: str, attempt_id: str, request_id: str) -> None:
        """Check a start that an owner sends (P4, P6)."""
        if (owner, vm) in self._told_leaving:
            raise BrokenPromise("P6", f"{owner} starts work on {vm}, which is leaving")
        unanswered = self._reached[owner, request_id] - self._answered
        self._tokens_of_attempt[attempt_id] = frozenset(unanswered)
        # A submission that is not answered yet permits the start, even after an earlier
        # one was answered "not run".
        if not unanswered and self._reached[owner, request_id] & self._not_run:
            raise BrokenPromise(
                "P4", f"{request_id} is started after NOT_RUN was answered"
            )

    def told_leaving(self, owner: str, vm: str) -> None:
        """Record that an owner has learned that a VM is leaving."""
        self._told_leaving.add((owner, vm))

    def told_staying(self, owner: str, vm: str) -> None:
        """Record that an owner has learned that a VM is no longer leaving."""
        self._told_leaving.discard((owner, vm))

    def task_started(
        self, vm: str, work: Work, task: int, need: Resources, attempt_id: str
    ) -> None:
        """Check a task that starts on a worker (P1, P2, P4, P5)."""
        self.starts_checked += 1
        self._used[vm] += need
        if not self._used[vm].fits_in(self._capacity[vm]):
            raise BrokenPromise("P1", f"{vm} runs {self._used[vm]}, over its capacity")
        if work.exclusive_key:
            self._running_by_key[work.exclusive_key] += 1
            if self._running_by_key[work.exclusive_key] > 1:
                raise BrokenPromise(
                    "P2", f"key {work.exclusive_key} runs twice, on {vm}"
                )
        self._starts[work.request_id, task] += 1
        if not work.idempotent and self._starts[work.request_id, task] > 1:
            raise BrokenPromise("P5", f"{work.request_id} runs twice, on {vm}")
        tokens = self._tokens_of_attempt[attempt_id]
        if tokens & self._not_run:
            raise BrokenPromise(
                "P4", f"{work.request_id} runs after NOT_RUN was answered"
            )
        self._ran |= tokens

    def task_ended(
        self, vm: str, work: Work, task: int, need: Resources, resumable: bool
    ) -> None:
        """Record the end of a task.

        `resumable` is whether it ended with a checkpoint, so that it may start again.
        """
        self._used[vm] -= need
        if work.exclusive_key:
            self._running_by_key[work.exclusive_key] -= 1
        if resumable:
            # The task may start once more without a breach of P5.
            self._starts[work.request_id, task] -= 1

    def vm_lost(self, vm: str) -> None:
        """Record that a VM failed, so that its resources are no longer in use."""
        self._used.pop(vm, None)

    def answer_sent(self, owner: str, answer: Answer) -> None:
        """Check an answer that an owner sends (P4)."""
        token = answer.reply_to
        self._answered.add(token)
        if answer.outcome is not Outcome.NOT_RUN:
            return
        if token in self._ran:
            detail = f"{owner} answers {token} {answer.code.name} but it has run"
            raise BrokenPromise("P4", detail)
        self._not_run.add(token)

    def answer_received(self, token: str, answer: Answer) -> None:
        """Check the answer that a caller receives (P3)."""
        self.answers_received += 1
        request_id = self.unanswered.pop(token, None)
        if request_id is None:
            raise BrokenPromise("P3", f"{token} is answered twice")
        if answer.request_id != request_id:
            raise BrokenPromise("P3", f"{token} gets the answer to another request")
        if answer.code is Code.OK:
            self._check_parts(self.works[request_id], answer)

    def _check_parts(self, work: Work, answer: Answer) -> None:
        expected = tuple(f"{work.request_id}/{task}" for task in range(work.tasks))
        if answer.parts != expected:
            raise BrokenPromise(
                "P3", f"{work.request_id} gets the parts {answer.parts}"
            )

    def ticket_accepted(self, number: int, content: str) -> None:
        """Record an accepted ticket and its configuration."""
        self._tickets[number] = content

    def ticket_applied(self, process: str, number: int, content: str) -> None:
        """Check a configuration that a process applies (P8)."""
        if number < self._applied.get(process, 0):
            raise BrokenPromise("P8", f"{process} reverts to ticket {number}")
        if self._tickets[number] != content:
            raise BrokenPromise(
                "P8", f"{process} applies other content as ticket {number}"
            )
        self._applied[process] = number

    def ticket_late(self, process: str, number: int) -> None:
        """Raise `BrokenPromise`, as a process did not apply the last ticket (P8)."""
        raise BrokenPromise(
            "P8", f"{process} has ticket {number} in force for too long"
        )

    def used(self) -> t.Mapping[str, Resources]:
        """Return the resources in use on each VM."""
        return self._used
