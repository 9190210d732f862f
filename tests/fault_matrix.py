"""Table of every fault at every step, and the driver of its cells.

Each cell brings a small world of real decision objects to a step, injects a fault
there, lets it last, heals it, and lets the callers ask until each has a final answer.
The oracle checks the promises throughout. ``python -m tests.fault_matrix`` prints the
page.
"""

import random

from poplaryard.codes import Outcome
from poplaryard.fuzz_node import LIST_INTERVALS_S
from poplaryard.fuzz_world import World
from poplaryard.messages import (
    Answer,
    AttemptState,
    Cancel,
    ClaimWorker,
    PollReply,
    StartAttempt,
    StartReply,
    Submit,
    Work,
    WorkerUnreachable,
    WorkKind,
)
from poplaryard.ownership_messages import Leave, RecordWritten, RevokeLease, WriteRecord
from poplaryard.resources import Resources

from . import fault_matrix_tickets as tickets

STEP_S = 0.05
STEP_LIMIT_S = 30.0
# Outlasts a store lease and the wait after it, so that authority lapses in the cell.
FAULT_S = 16.0
RECOVERY_S = 60.0
SKEW_S = 5.0
CALL_TIMEOUT_S = 1.5
RAN = "ran"
UNKNOWN = "unknown"


class _LargestWorld(random.Random):
    """Random source that makes the largest small world and exact clocks."""

    def randint(self, a, b):
        return b

    def uniform(self, a, b):
        return (a + b) / 2


class Cell:
    """One world on its way through a step and a fault."""

    def __init__(self, idempotent=False, *, real=True, without=frozenset()):
        self.world = World(_LargestWorld(1), without, small=True, real_scheduler=real)
        self.outcomes = {}
        self.finishing = True
        self._held_until = {}
        self._seen = {}
        self._works = {}
        self._tries = {}
        self.idempotent = idempotent
        self.run(8.0)
        (self.shard,) = self.world.shards("dc1")

    # Processes

    def live(self):
        return [n for n in self.world.nodes.values() if n.alive and not n.left]

    def owner(self):
        return next((n for n in self.live() if self.shard in n.shards), None)

    def other(self):
        owner = self.owner()
        return next(n for n in self.live() if n is not owner and not n.paused)

    # Work

    def submit(self, request_id, **fields):
        fields.setdefault("kind", WorkKind.BATCH)
        fields.setdefault("need", Resources(1000, 100, 0))
        fields.setdefault("idempotent", self.idempotent)
        fields.setdefault("exclusive_key", "" if self.idempotent else "k")
        work = Work(request_id, issued_at=self.world.wall(), **fields)
        self._works[request_id] = work
        self._tries[request_id] = 0
        self._ask(request_id)

    def _ask(self, request_id):
        entries = [n for n in self.live() if not n.paused]
        if not entries:
            return
        owner = self.owner()
        others = [n for n in entries if n is not owner]
        entry = (others or entries)[self._tries[request_id] % len(others or entries)]
        self._tries[request_id] += 1
        self.world.submit(self._works[request_id], entry, self._tries[request_id])

    def note_answers(self, message):
        if not isinstance(message, Answer):
            return
        if message.outcome is not Outcome.NOT_RUN and message.request_id in self._works:
            self.outcomes.setdefault(message.request_id, message.outcome.value)

    # Time

    def run(self, seconds, until=None):
        """Deliver messages in order for a time; stop before one that `until` names."""
        end = self.world.true_time + seconds
        while self.world.true_time < end:
            if self._deliver_all(until):
                return True
            self._pass()
        return False

    def _deliver_all(self, until):
        for _ in range(8):
            items = list(self.world.pool)
            for item in items:
                if until is not None and until(item):
                    return True
                if item in self.world.pool:
                    self._deliver(item)
        return False

    def _deliver(self, item):
        node = self.world.nodes.get(item.to)
        if node is not None and node.paused:
            return
        self.note_answers(item.message)
        self.world.deliver(item)

    def _pass(self):
        world = self.world
        world.true_time += STEP_S
        for worker in world.workers.values():
            if not worker.gone:
                worker.expire(world.true_time)
                self._finish(worker)
        for node in self.live():
            if not node.paused:
                self._watch(node)
                node.tick()

    def _watch(self, node):
        """Report a changed record or ended lease to a process that watches them."""
        store, place = self.world.stores[node.dc], f"store/{node.dc}"
        cut = frozenset((_place(node.name), place)) in self.world.cuts
        if not node.watching or store.down or cut:
            return
        seen = store.seen(self.world.true_time)
        if self._seen.get(node.name) != (seen.version, seen.live):
            self._seen[node.name] = seen.version, seen.live
            node.give(seen)

    def _finish(self, worker):
        if not self.finishing:
            return
        for attempt in worker.running():
            first = self._held_until.setdefault(attempt, self.world.true_time + 0.5)
            if self.world.true_time >= first:
                worker.finish(self.world.true_time, attempt, AttemptState.SUCCEEDED)

    def settle(self):
        """Let every caller ask again until each has a final answer."""
        for _ in range(int(RECOVERY_S)):
            if not self.ask_again():
                return
            self.run(1.0)

    def ask_again(self):
        """Let the callers without a final answer ask again; return their number."""
        open_ones = [r for r in self._works if r not in self.outcomes]
        for request_id in open_ones:
            self._ask(request_id)
        return len(open_ones)


def _to(kind, **fields):
    def matches(item):
        message = item.message
        found = isinstance(message, kind)
        return found and all(getattr(message, k) == v for k, v in fields.items())

    return matches


def _reply(kind):
    return lambda item: isinstance(getattr(item.message, "reply", None), kind)


def _report_of_end(item):
    message = item.message
    return isinstance(message, PollReply) and any(
        report.state is AttemptState.SUCCEEDED and report.request_id == "r1"
        for report in message.attempts
    )


def _start_of_r1(item):
    message = item.message
    return isinstance(message, StartAttempt) and message.work.request_id == "r1"


def _at(until):
    def reach(cell):
        cell.submit("r1")
        return cell.run(STEP_LIMIT_S, until)

    return reach


def _waiting(cell):
    """Fill the shard so that the request has to wait."""
    cell.finishing = False
    for index in range(4):
        cell.submit(f"f{index}", need=Resources(4000, 100, 0), exclusive_key="")
    cell.run(3.0)
    cell.submit("r1")
    cell.run(0.5)
    cell.finishing = True
    return "r1" not in cell.outcomes


def _running(cell):
    cell.submit("r1")
    cell.run(0.3)
    return any(worker.running() for worker in cell.world.workers.values())


def _take_over_at(until):
    def reach(cell):
        cell.submit("r0", exclusive_key="")
        cell.run(0.3)
        cell.submit("r1")
        _kill(cell, cell.owner())
        for _ in range(int(STEP_LIMIT_S)):
            if cell.run(1.0, until):
                return True
            cell.ask_again()
        return False

    return reach


def _leave_at(until):
    def reach(cell):
        cell.submit("r1")
        cell.run(0.3)
        cell.owner().give(Leave())
        return cell.run(STEP_LIMIT_S, until)

    return reach


def _gang_at(until):
    def reach(cell):
        cell.submit("r1", tasks=3, need=Resources(3000, 100, 0))
        return cell.run(STEP_LIMIT_S, until)

    return reach


STEPS = {
    "request: sent to the owner": _at(_to(Submit)),
    "request: waiting for room": _waiting,
    "request: start sent": _at(_start_of_r1),
    "request: start answered": _at(_to(StartReply)),
    "request: running": _running,
    "request: end reported": _at(_report_of_end),
    "request: answer sent": _at(_to(Answer, request_id="r1")),
    "job of 3 tasks: first start sent": _gang_at(_start_of_r1),
    "job of 3 tasks: first start answered": _gang_at(_to(StartReply)),
    "take-over: write of the epoch sent": _take_over_at(_to(WriteRecord)),
    "take-over: write answered": _take_over_at(_reply(RecordWritten)),
    "take-over: claim sent": _take_over_at(_to(ClaimWorker)),
    "take-over: first start sent": _take_over_at(_start_of_r1),
    "shutdown: release sent": _leave_at(_to(WriteRecord)),
    "shutdown: release answered": _leave_at(_reply(RecordWritten)),
    "shutdown: lease given back": _leave_at(_to(RevokeLease)),
}


# Faults. Each returns a function that heals it.


def _nothing():
    return None


def _kill(cell, node):
    if node is None:
        return
    node.alive = False
    base, _, number = node.name.partition("#")
    cell.world.add_node(f"{base}#{int(number) + 1}", node.dc)


def _owner_dies(cell):
    _kill(cell, cell.owner())
    return _nothing


def _entry_dies(cell):
    _kill(cell, cell.other())
    return _nothing


def _owner_pauses(cell):
    owner = cell.owner()
    if owner is None:
        return _nothing
    owner.paused = True
    return lambda: setattr(owner, "paused", False)


def _entry_pauses(cell):
    entry = cell.other()
    entry.paused = True
    return lambda: setattr(entry, "paused", False)


def _busy_worker(cell):
    sent = [i.to for i in cell.world.pool if isinstance(i.message, StartAttempt)]
    busy = [w.name for w in cell.world.workers.values() if w.running()]
    return cell.world.workers[(sent + busy + list(cell.world.workers))[0]]


def _vm_fails(cell):
    worker = _busy_worker(cell)
    worker.fail(cell.world.true_time)
    cell.world.unlist_worker(worker.name)
    cell.world.add_worker(f"dc1-vm{cell.world.next_id() + 100}", "dc1")
    return _nothing


def _vm_fails_list_lags(cell):
    worker = _busy_worker(cell)
    worker.fail(cell.world.true_time)
    return lambda: cell.world.unlist_worker(worker.name)


def _vm_leaves(cell):
    cell.world.mark_leaving(_busy_worker(cell).name)
    return _nothing


def _store_down(cell):
    store = cell.world.stores["dc1"]
    store.down = True
    return lambda: setattr(store, "down", False)


def _drop(cell, matches):
    cell.world.pool[:] = [i for i in cell.world.pool if not matches(i)]


def _store_reply_lost(cell):
    _drop(cell, lambda item: item.sender.startswith("store/"))
    return _nothing


def _store_call_lost(cell):
    _drop(cell, lambda item: item.to.startswith("store/"))
    return _nothing


def _cut(cell, pairs):
    cuts = {frozenset(pair) for pair in pairs}
    cell.world.cuts |= cuts
    return lambda: cell.world.cuts.difference_update(cuts)


def _place(name):
    return name.partition("#")[0]


def _places(cell):
    return sorted({_place(name) for name in cell.world.nodes})


def _cut_from_platform(cell):
    return _cut(cell, [(place, "store/dc1") for place in _places(cell)])


def _owner_cut_from_store(cell):
    owner = cell.owner()
    return _cut(cell, [(_place(owner.name), "store/dc1")] if owner else [])


def _owner_cut_from_all(cell):
    owner = cell.owner()
    if owner is None:
        return _nothing
    me = _place(owner.name)
    others = [place for place in _places(cell) if place != me]
    return _cut(cell, [(me, place) for place in [*others, "store/dc1"]])


def _owner_cut_from_workers(cell):
    owner = cell.owner()
    me = _place(owner.name) if owner else ""
    return _cut(cell, [(me, worker) for worker in cell.world.workers] if me else [])


def _rack_lost(cell):
    """Lose one entry VM and half of the workers for a time."""
    lost = [_place(cell.other().name), *list(cell.world.workers)[:2]]
    kept = [*_places(cell), *cell.world.workers, "store/dc1"]
    pairs = [(a, b) for a in lost for b in kept if a != b]
    return _cut(cell, pairs)


def _all_restart(cell):
    for node in cell.live():
        _kill(cell, node)
    return _nothing


def _store_down_and_owner_dies(cell):
    heal = _store_down(cell)
    _owner_dies(cell)
    return heal


def _owner_and_vm_die(cell):
    _vm_fails(cell)
    _owner_dies(cell)
    return _nothing


def _cancellations(cell):
    for request_id in ("r1", *(f"c{index}" for index in range(30))):
        for node in cell.live():
            cell.world.send("caller", node.name, Cancel(request_id))
    return _nothing


def _repeated(cell):
    """Deliver everything under way twice."""
    for item in list(cell.world.pool):
        if not item.sender.startswith("store/") and item in cell.world.pool:
            cell.world.deliver(item, again=True)
    return _nothing


def _lost(cell):
    """Lose all messages; a start without reply times out, as the worker calls do."""
    starts = [i for i in cell.world.pool if isinstance(i.message, StartAttempt)]
    replies = [i for i in cell.world.pool if isinstance(i.message, StartReply)]
    cell.world.pool.clear()
    cell.run(CALL_TIMEOUT_S)
    calls = [(i.sender, i.to) for i in starts] + [(i.to, i.sender) for i in replies]
    for process, vm in calls:
        cell.world.nodes[process].give_shard(cell.shard, WorkerUnreachable(vm))
    return _nothing


FAULTS = {
    "none": lambda cell: _nothing,
    "owner dies": _owner_dies,
    "owner pauses past its lease": _owner_pauses,
    "another entry process dies": _entry_dies,
    "another entry process pauses": _entry_pauses,
    "worker VM fails": _vm_fails,
    "worker VM fails, list lags": _vm_fails_list_lags,
    "worker VM is leaving": _vm_leaves,
    "store down": _store_down,
    "store call lost": _store_call_lost,
    "store reply lost": _store_reply_lost,
    "data centre cut off from platform": _cut_from_platform,
    "owner cut off from store": _owner_cut_from_store,
    "owner cut off from store and peers": _owner_cut_from_all,
    "owner cut off from workers": _owner_cut_from_workers,
    "rack or switch lost": _rack_lost,
    "everything restarts": _all_restart,
    "cancellation wave": _cancellations,
    "messages under way repeated": _repeated,
    "messages under way lost": _lost,
}
PAIRS = {
    "store down, owner dies": _store_down_and_owner_dies,
    "owner and worker VM die together": _owner_and_vm_die,
}
# Pairs of faults are tried at the steps that write or start something.
PAIR_STEPS = tuple(
    step
    for step in STEPS
    if step.startswith(("request: start", "take-over", "shutdown", "request: running"))
)

# Faults after which it may be unknown whether non-idempotent work ran: the only
# witness, the worker or the owner's memory of it, may be gone or out of reach.
_WITNESS_LOST = frozenset(
    {
        "worker VM fails",
        "worker VM fails, list lags",
        "rack or switch lost",
        "owner and worker VM die together",
        "owner cut off from workers",
        # No process is left that knows which VMs left before.
        "everything restarts",
    }
)
# Faults that remove a second process; in a take-over it may have sent the attempt.
_SECOND_LOSS = frozenset(
    {
        "owner dies",
        "owner pauses past its lease",
        "another entry process dies",
        "owner cut off from store and peers",
        "store down, owner dies",
    }
)
# A cancelled request that has started is stopped, and one that has not is not run.
_CANCELLED = "cancellation wave"


def expected(step, fault, idempotent):
    """Return the outcomes a cell allows, from the promises and not from runs."""
    if fault == _CANCELLED:
        return frozenset({RAN, UNKNOWN, "not_run"})
    second = step.startswith("take-over") and fault in _SECOND_LOSS
    # A worker that does not name a start may have restarted and forgotten it.
    unnamed = step.endswith("start sent") and fault == "messages under way lost"
    if not idempotent and (second or unnamed or fault in _WITNESS_LOST):
        return frozenset({RAN, UNKNOWN})
    return frozenset({RAN})


def cells():
    """Return every (step, fault) of the matrix."""
    singles = [(step, fault) for step in STEPS for fault in FAULTS]
    return singles + [(step, fault) for step in PAIR_STEPS for fault in PAIRS]


def run_cell(step, fault, idempotent, **options):
    """Return the outcome of the cell's request and of one handed in afterwards."""
    cell = Cell(idempotent, **options)
    if not STEPS[step](cell):
        raise AssertionError(f"step not reached: {step}")
    heal = {**FAULTS, **PAIRS}[fault](cell)
    cell.run(FAULT_S)
    heal()
    cell.run(2.0)
    if fault == _CANCELLED:
        cell.outcomes.setdefault("r1", "not_run")
    cell.settle()
    # After a take-over, ids issued up to the clock-skew allowance after this process
    # has read that an unclaimed VM left are answered "unknown".
    cell.run(SKEW_S + max(LIST_INTERVALS_S) + 1.0)
    cell.submit("after")
    cell.settle()
    return cell.outcomes.get("r1"), cell.outcomes.get("after")


def main():
    """Print the page."""
    print(PAGE_HEAD)
    for step in STEPS:
        rows = [fault for found, fault in cells() if found == step]
        print(f"\n### {step}\n\n| fault | non-idempotent, exclusive | idempotent |")
        print("| --- | --- | --- |")
        for fault in rows:
            found = (sorted(expected(step, fault, i)) for i in (False, True))
            once, again = (" or ".join(item).replace("_", " ") for item in found)
            print(f"| {fault} | {once} | {again} |")
    print("\n## Tickets\n\n| step | fault | expected |\n| --- | --- | --- |")
    for step, fault in tickets.filing_cells():
        print(f"| {step} | {fault}, alone and with a rival filer | {tickets.FILED} |")
    for step, fault in tickets.spread_cells():
        print(f"| {step} | {fault} | {tickets.SPREAD} |")
    print(PAGE_TAIL)


PAGE_HEAD = """\
# Fault matrix

Generated by `python -m tests.fault_matrix`; `tests/test_fault_matrix.py` drives every
cell and checks that this page is up to date. Each cell brings a world of real decision
objects (ownership, take-over, scheduler; three entry processes, four workers, one
store) to a step and injects a fault for 16 s. After it is healed, callers ask until
each has a final answer. The oracle checks P1 to P5 throughout. The cell gives the
outcomes that the request may have. A request handed in afterwards must run in every
cell.

"unknown" is allowed only where the sole witness may be gone: the worker VM that held
the attempt, or a second process that may have sent it, or every process that could
know of VMs that left before; and for a start that got no reply and that the worker does
not name, since a worker that restarts forgets.

## Requests, jobs, take-over, shutdown"""

PAGE_TAIL = """
## Covered elsewhere

| fault | where |
| --- | --- |
| sizes far off | `tests/test_fuzz.py`, `bench policy packing` |
| job that can never be placed | `tests/test_scheduler.py` |
| worker fails everything | `tests/test_ejection.py`, `bench policy blackhole` |
| 10,000 cancellations | `bench policy cancel-wave`, `tests/test_scheduler.py` |
| real processes killed, paused, replaced | `tests/test_processes.py` |
"""


if __name__ == "__main__":
    main()
