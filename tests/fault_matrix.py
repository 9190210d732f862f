"""Matrix of every fault at every step, and the driver of its cells.

Each cell simulates a small system whose ownership, take-over and scheduler are the real
classes. It brings the system to a step, injects a fault, keeps it up for `FAULT_S`,
heals it, and lets the callers retry until each has a final answer. The oracle checks
the promises P1 to P5 throughout. ``python -m tests.fault_matrix`` prints the page
``docs/fault-matrix.md``.
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
# Longer than a store lease and the wait after it, so that an owner that can't renew its
# lease loses its authority during the fault.
FAULT_S = 16.0
RECOVERY_S = 60.0
# Allowance for skew between wall clocks.
SKEW_S = 5.0
# Time after which a call to a worker without reply fails.
CALL_TIMEOUT_S = 1.5
RAN = "ran"
UNKNOWN = "unknown"


class _LargestWorld(random.Random):
    """Random source for the largest small world, with clocks that have no error."""

    def randint(self, a, b):
        return b

    def uniform(self, a, b):
        return (a + b) / 2


class Scenario:
    """System of one cell, and the callers that submit work to it.

    Attributes
    ----------
    outcomes : dict of str to str
        Final outcomes by request id.
    finishing : bool
        Whether the workers finish attempts after half a second.
    """

    def __init__(self, idempotent=False, *, real=True, without=frozenset()):
        self.world = World(_LargestWorld(1), without, small=True, real_scheduler=real)
        self.outcomes = {}
        self.finishing = True
        self._ends_at = {}
        self._notified = {}
        self._works = {}
        self._tries = {}
        self.idempotent = idempotent
        self.run(8.0)
        (self.shard,) = self.world.shards("dc1")

    # Processes

    def live_nodes(self):
        return [n for n in self.world.nodes.values() if n.alive and not n.left]

    def owner(self):
        return next((n for n in self.live_nodes() if self.shard in n.shards), None)

    def other_node(self):
        owner = self.owner()
        return next(n for n in self.live_nodes() if n is not owner and not n.paused)

    # Work

    def submit(self, request_id, **fields):
        """Submit work, by default a batch job of the scenario's idempotence."""
        fields.setdefault("kind", WorkKind.BATCH)
        fields.setdefault("need", Resources(1000, 100, 0))
        fields.setdefault("idempotent", self.idempotent)
        fields.setdefault("exclusive_key", "" if self.idempotent else "k")
        work = Work(request_id, issued_at=self.world.wall(), **fields)
        self._works[request_id] = work
        self._tries[request_id] = 0
        self._send(request_id)

    def _send(self, request_id):
        """Send a request to an entry process, another one at each try."""
        entries = [n for n in self.live_nodes() if not n.paused]
        if not entries:
            return
        owner = self.owner()
        others = [n for n in entries if n is not owner]
        entry = (others or entries)[self._tries[request_id] % len(others or entries)]
        self._tries[request_id] += 1
        self.world.submit(self._works[request_id], entry, self._tries[request_id])

    def record_answer(self, message):
        """Keep the first final outcome of each request."""
        if not isinstance(message, Answer):
            return
        if message.outcome is not Outcome.NOT_RUN and message.request_id in self._works:
            self.outcomes.setdefault(message.request_id, message.outcome.value)

    # Time

    def run(self, seconds, until=None):
        """Deliver messages in order for some seconds.

        Stop before the delivery of a message that `until` accepts, and return whether
        there was one.
        """
        end = self.world.real + seconds
        while self.world.real < end:
            if self._deliver_all(until):
                return True
            self._advance()
        return False

    def _deliver_all(self, until):
        # Deliveries send new messages; the limit ends exchanges that never stop.
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
        self.record_answer(item.message)
        self.world.deliver(item)

    def _advance(self):
        """Advance the time by one step."""
        world = self.world
        world.true_time += STEP_S
        for worker in world.workers.values():
            if not worker.gone:
                worker.expire(world.real)
                self._finish_attempts(worker)
        for node in self.live_nodes():
            if not node.paused:
                self._notify_watcher(node)
                node.tick()

    def _notify_watcher(self, node):
        """Notify a process that watches the store of changed records and leases."""
        store, store_endpoint = self.world.stores[node.dc], f"store/{node.dc}"
        cut = frozenset((_endpoint(node.name), store_endpoint)) in self.world.cuts
        if not node.watching or store.down or cut:
            return
        seen = store.seen(self.world.real)
        if self._notified.get(node.name) != (seen.version, seen.live):
            self._notified[node.name] = seen.version, seen.live
            node.give(seen)

    def _finish_attempts(self, worker):
        if not self.finishing:
            return
        for attempt in worker.running():
            ends_at = self._ends_at.setdefault(attempt, self.world.real + 0.5)
            if self.world.real >= ends_at:
                worker.finish(self.world.real, attempt, AttemptState.SUCCEEDED)

    def retry_until_answered(self):
        """Let the callers retry until each has a final answer or `RECOVERY_S` ends."""
        for _ in range(int(RECOVERY_S)):
            if not self.retry_unanswered():
                return
            self.run(1.0)

    def retry_unanswered(self):
        """Resubmit the requests without a final answer; return their number."""
        unanswered = [r for r in self._works if r not in self.outcomes]
        for request_id in unanswered:
            self._send(request_id)
        return len(unanswered)


def _is_message(kind, **fields):
    """Return a predicate for messages of a class with these field values."""

    def matches(item):
        message = item.message
        of_kind = isinstance(message, kind)
        return of_kind and all(getattr(message, k) == v for k, v in fields.items())

    return matches


def _is_store_reply(kind):
    """Return a predicate for store replies of a class."""
    return lambda item: isinstance(getattr(item.message, "reply", None), kind)


def _is_end_of_r1(item):
    message = item.message
    return isinstance(message, PollReply) and any(
        report.state is AttemptState.SUCCEEDED and report.request_id == "r1"
        for report in message.attempts
    )


def _is_start_of_r1(item):
    message = item.message
    return isinstance(message, StartAttempt) and message.work.request_id == "r1"


# Steps. Each brings a scenario to a point of time and returns whether it was reached.


def _request_at(until):
    def reach(scenario):
        scenario.submit("r1")
        return scenario.run(STEP_LIMIT_S, until)

    return reach


def _request_waits(scenario):
    """Fill all workers so that the request has to wait."""
    scenario.finishing = False
    for index in range(4):
        scenario.submit(f"f{index}", need=Resources(4000, 100, 0), exclusive_key="")
    scenario.run(3.0)
    scenario.submit("r1")
    scenario.run(0.5)
    scenario.finishing = True
    return "r1" not in scenario.outcomes


def _request_runs(scenario):
    scenario.submit("r1")
    scenario.run(0.3)
    return any(worker.running() for worker in scenario.world.workers.values())


def _take_over_at(until):
    def reach(scenario):
        scenario.submit("r0", exclusive_key="")
        scenario.run(0.3)
        scenario.submit("r1")
        _kill(scenario, scenario.owner())
        for _ in range(int(STEP_LIMIT_S)):
            if scenario.run(1.0, until):
                return True
            scenario.retry_unanswered()
        return False

    return reach


def _leave_at(until):
    def reach(scenario):
        scenario.submit("r1")
        scenario.run(0.3)
        scenario.owner().give(Leave())
        return scenario.run(STEP_LIMIT_S, until)

    return reach


def _gang_at(until):
    def reach(scenario):
        scenario.submit("r1", tasks=3, need=Resources(3000, 100, 0))
        return scenario.run(STEP_LIMIT_S, until)

    return reach


STEPS = {
    "request: sent to the owner": _request_at(_is_message(Submit)),
    "request: waiting for room": _request_waits,
    "request: start sent": _request_at(_is_start_of_r1),
    "request: start answered": _request_at(_is_message(StartReply)),
    "request: running": _request_runs,
    "request: end reported": _request_at(_is_end_of_r1),
    "request: answer sent": _request_at(_is_message(Answer, request_id="r1")),
    "job of 3 tasks: first start sent": _gang_at(_is_start_of_r1),
    "job of 3 tasks: first start answered": _gang_at(_is_message(StartReply)),
    "take-over: write of the epoch sent": _take_over_at(_is_message(WriteRecord)),
    "take-over: write answered": _take_over_at(_is_store_reply(RecordWritten)),
    "take-over: claim sent": _take_over_at(_is_message(ClaimWorker)),
    "take-over: first start sent": _take_over_at(_is_start_of_r1),
    "shutdown: release sent": _leave_at(_is_message(WriteRecord)),
    "shutdown: release answered": _leave_at(_is_store_reply(RecordWritten)),
    "shutdown: lease given back": _leave_at(_is_message(RevokeLease)),
}


# Faults. Each is injected at once and returns a function that heals it.


def _no_heal():
    return None


def _kill(scenario, node):
    """End a process; its replacement starts at once."""
    if node is None:
        return
    node.alive = False
    base, _, number = node.name.partition("#")
    scenario.world.add_node(f"{base}#{int(number) + 1}", node.dc)


def _owner_dies(scenario):
    _kill(scenario, scenario.owner())
    return _no_heal


def _entry_dies(scenario):
    _kill(scenario, scenario.other_node())
    return _no_heal


def _owner_pauses(scenario):
    owner = scenario.owner()
    if owner is None:
        return _no_heal
    owner.paused = True
    return lambda: setattr(owner, "paused", False)


def _entry_pauses(scenario):
    entry = scenario.other_node()
    entry.paused = True
    return lambda: setattr(entry, "paused", False)


def _busy_worker(scenario):
    """Return a worker that is sent a start, else one that runs something, else any."""
    sent = [i.to for i in scenario.world.pool if isinstance(i.message, StartAttempt)]
    busy = [w.name for w in scenario.world.workers.values() if w.running()]
    return scenario.world.workers[(sent + busy + list(scenario.world.workers))[0]]


def _vm_fails(scenario):
    worker = _busy_worker(scenario)
    worker.fail(scenario.world.real)
    scenario.world.unlist_worker(worker.name)
    scenario.world.add_worker(f"dc1-vm{scenario.world.next_id() + 100}", "dc1")
    return _no_heal


def _vm_fails_list_lags(scenario):
    worker = _busy_worker(scenario)
    worker.fail(scenario.world.real)
    return lambda: scenario.world.unlist_worker(worker.name)


def _vm_leaves(scenario):
    scenario.world.leave_worker(_busy_worker(scenario).name)
    return _no_heal


def _store_down(scenario):
    store = scenario.world.stores["dc1"]
    store.down = True
    return lambda: setattr(store, "down", False)


def _drop(scenario, matches):
    scenario.world.pool[:] = [i for i in scenario.world.pool if not matches(i)]


def _store_reply_lost(scenario):
    _drop(scenario, lambda item: item.sender.startswith("store/"))
    return _no_heal


def _store_call_lost(scenario):
    _drop(scenario, lambda item: item.to.startswith("store/"))
    return _no_heal


def _cut(scenario, pairs):
    """Let no message pass between the endpoints of each pair."""
    cuts = {frozenset(pair) for pair in pairs}
    scenario.world.cuts |= cuts
    return lambda: scenario.world.cuts.difference_update(cuts)


def _endpoint(name):
    """Return the network endpoint of a process: its name without the incarnation."""
    return name.partition("#")[0]


def _endpoints(scenario):
    return sorted({_endpoint(name) for name in scenario.world.nodes})


def _cut_from_platform(scenario):
    return _cut(
        scenario, [(endpoint, "store/dc1") for endpoint in _endpoints(scenario)]
    )


def _owner_cut_from_store(scenario):
    owner = scenario.owner()
    return _cut(scenario, [(_endpoint(owner.name), "store/dc1")] if owner else [])


def _owner_cut_from_all(scenario):
    owner = scenario.owner()
    if owner is None:
        return _no_heal
    me = _endpoint(owner.name)
    others = [endpoint for endpoint in _endpoints(scenario) if endpoint != me]
    return _cut(scenario, [(me, endpoint) for endpoint in [*others, "store/dc1"]])


def _owner_cut_from_workers(scenario):
    owner = scenario.owner()
    me = _endpoint(owner.name) if owner else ""
    return _cut(
        scenario, [(me, worker) for worker in scenario.world.workers] if me else []
    )


def _rack_lost(scenario):
    """Cut one entry VM and half of the workers off from everything else."""
    lost = [_endpoint(scenario.other_node().name), *list(scenario.world.workers)[:2]]
    kept = [*_endpoints(scenario), *scenario.world.workers, "store/dc1"]
    pairs = [(a, b) for a in lost for b in kept if a != b]
    return _cut(scenario, pairs)


def _all_restart(scenario):
    for node in scenario.live_nodes():
        _kill(scenario, node)
    return _no_heal


def _store_down_and_owner_dies(scenario):
    heal = _store_down(scenario)
    _owner_dies(scenario)
    return heal


def _owner_and_vm_die(scenario):
    _vm_fails(scenario)
    _owner_dies(scenario)
    return _no_heal


def _cancellations(scenario):
    for request_id in ("r1", *(f"c{index}" for index in range(30))):
        for node in scenario.live_nodes():
            scenario.world.send("caller", node.name, Cancel(request_id))
    return _no_heal


def _repeated(scenario):
    """Deliver every message in flight, other than store replies, twice."""
    for item in list(scenario.world.pool):
        if not item.sender.startswith("store/") and item in scenario.world.pool:
            scenario.world.deliver(item, again=True)
    return _no_heal


def _lost(scenario):
    """Drop all messages in flight; starts that lack a reply time out."""
    starts = [i for i in scenario.world.pool if isinstance(i.message, StartAttempt)]
    replies = [i for i in scenario.world.pool if isinstance(i.message, StartReply)]
    scenario.world.pool.clear()
    scenario.run(CALL_TIMEOUT_S)
    calls = [(i.sender, i.to) for i in starts] + [(i.to, i.sender) for i in replies]
    for process, vm in calls:
        scenario.world.nodes[process].give_shard(scenario.shard, WorkerUnreachable(vm))
    return _no_heal


FAULTS = {
    "none": lambda scenario: _no_heal,
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
# Steps that write or start something; only these are combined with pairs of faults.
PAIR_STEPS = tuple(
    step
    for step in STEPS
    if step.startswith(("request: start", "take-over", "shutdown", "request: running"))
)

# Faults after which it may be unknown whether non-idempotent work ran: the worker that
# knows, or the owner's memory of the attempt, may be gone or out of reach.
_KNOWLEDGE_LOST = frozenset(
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
# Faults that remove a second process. The first was the owner killed for the take-over;
# the second may have sent an attempt of which no process is left to know.
_SECOND_PROCESS_LOST = frozenset(
    {
        "owner dies",
        "owner pauses past its lease",
        "another entry process dies",
        "owner cut off from store and peers",
        "store down, owner dies",
    }
)
# A cancelled request is stopped if it has started, and not run otherwise.
_CANCELLED = "cancellation wave"


def expected(step, fault, idempotent):
    """Return the outcomes that the promises allow in a cell."""
    if fault == _CANCELLED:
        return frozenset({RAN, UNKNOWN, "not_run"})
    second_lost = step.startswith("take-over") and fault in _SECOND_PROCESS_LOST
    # A worker that does not report a start may have restarted and forgotten it.
    unreported = step.endswith("start sent") and fault == "messages under way lost"
    if not idempotent and (second_lost or unreported or fault in _KNOWLEDGE_LOST):
        return frozenset({RAN, UNKNOWN})
    return frozenset({RAN})


def cells():
    """Return every (step, fault) of the matrix."""
    singles = [(step, fault) for step in STEPS for fault in FAULTS]
    return singles + [(step, fault) for step in PAIR_STEPS for fault in PAIRS]


def run_cell(step, fault, idempotent, **options):
    """Return the outcomes of the cell's request and of one submitted afterwards."""
    scenario = Scenario(idempotent, **options)
    if not STEPS[step](scenario):
        raise AssertionError(f"step not reached: {step}")
    heal = {**FAULTS, **PAIRS}[fault](scenario)
    scenario.run(FAULT_S)
    heal()
    scenario.run(2.0)
    if fault == _CANCELLED:
        scenario.outcomes.setdefault("r1", "not_run")
    scenario.retry_until_answered()
    # After a take-over, an owner that learns from the list that an unclaimed VM has
    # left answers "unknown" for ids issued until then plus the skew allowance. Wait for
    # the next reading of the list, so that the last request's id is newer.
    scenario.run(SKEW_S + max(LIST_S) + 1.0)
    scenario.submit("after")
    scenario.retry_until_answered()
    return scenario.outcomes.get("r1"), scenario.outcomes.get("after")


def main():
    """Print the page."""
    print(PAGE_HEAD)
    for step in STEPS:
        rows = [fault for cell_step, fault in cells() if cell_step == step]
        print(f"\n### {step}\n\n| fault | non-idempotent, exclusive | idempotent |")
        print("| --- | --- | --- |")
        for fault in rows:
            outcomes = (sorted(expected(step, fault, i)) for i in (False, True))
            exclusive, idempotent = (
                " or ".join(item).replace("_", " ") for item in outcomes
            )
            print(f"| {fault} | {exclusive} | {idempotent} |")
    print("\n## Tickets\n\n| step | fault | expected |\n| --- | --- | --- |")
    for step, fault in tickets.filing_cells():
        print(f"| {step} | {fault}, alone and with a rival filer | {tickets.FILED} |")
    for step, fault in tickets.rollout_cells():
        print(f"| {step} | {fault} | {tickets.ROLLED_OUT} |")
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
