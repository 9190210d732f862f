"""Rows of the fault matrix for the acceptance and the rollout of tickets."""

import asyncio

from poplaryard.acceptance import Acceptance, load
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code

from .fake_store import FakeStore, service, ticket
from .test_rollout import Simulation

FAULT_S = 8.0
# Time after a fault within which a ticket has to be in force.
IN_FORCE_S = 3.0
# Faults of one store call, as `FakeStore.fail_call` takes them.
CALL_FAULTS = ("down", "dropped", "lost")
# Store calls of a filing that are made to fail: one more than the filing of a ticket
# with one object makes.
CALLS = 8

FILED = "accepted once, or not accepted and absent; filing again gives one number"
ROLLED_OUT = (
    "in force on every process within 3 s of the fault's end, never an older one"
)


def filing_cells():
    """Return (step, fault) for each store call of a filing."""
    return [
        (f"ticket: store call {position + 1} of filing", f"call is {fault}")
        for position in range(CALLS)
        for fault in CALL_FAULTS
    ]


def run_filing(step, fault, rival):
    """File a ticket under a fault, alone or together with a rival filer's ticket.

    Returns
    -------
    tuple
        The store, the results of the filings, the configuration after them, and the
        result of filing the first ticket again.
    """
    position, kind = int(step.split()[3]) - 1, fault.split()[-1]
    store = FakeStore()
    one, two = (Acceptance(store, VirtualClock(), seed) for seed in (1, 2))
    asyncio.run(one.file(ticket("uid-0", service("other"))))
    store.fail_call(position, kind)
    wanted = ticket("uid-a", service(replicas=5))
    other = ticket("uid-b", service(replicas=6), author="Bo")

    async def file():
        filings = [one.file(wanted), *([two.file(other)] if rival else [])]
        return await asyncio.gather(*filings)

    results = asyncio.run(file())
    store.call_faults = {}
    return store, results, asyncio.run(load(store)), asyncio.run(two.file(wanted))


def check_filing(step, fault, rival):
    """Check that answers of "accepted" and "not accepted" hold in one cell."""
    store, results, config, again = run_filing(step, fault, rival)
    accepted = [r for r in results if r.code is Code.TICKET_ACCEPTED]
    unknown = [r for r in results if r.code is Code.TICKET_UNKNOWN]
    assert len({r.number for r in accepted}) == len(accepted), results
    lowest = 1 + len(accepted)
    assert lowest <= config.number <= lowest + len(unknown), (results, config.number)
    if results[0].code is Code.TICKET_ACCEPTED:
        assert again.number == results[0].number, (results, again)
    if again.code is Code.TICKET_ACCEPTED:
        final = asyncio.run(load(store))
        assert final.number >= again.number


def _event_sent(sim):
    sim.accept("a", 2)


def _watcher_loads(sim):
    _event_sent(sim)
    sim.deliver(0)


def _pushed_to_peers(sim):
    _watcher_loads(sim)
    while not any(source != "store" for source, _, _ in sim.network):
        sim.deliver(0)
        sim.tick()


def _partly_in_force(sim):
    """Deliver one of the pushes, so that the ticket is in force on some processes."""
    _pushed_to_peers(sim)
    sim.deliver(len(sim.network) - 1)


# Each step brings the simulation to a point of the rollout of its second ticket.
ROLLOUT_STEPS = {
    "ticket: watch event sent": _event_sent,
    "ticket: watcher loads it": _watcher_loads,
    "ticket: pushed to peers": _pushed_to_peers,
    "ticket: in force on some processes": _partly_in_force,
}


def _watcher_dies(sim):
    sim.live.discard("dc1-p0")
    sim.watching.discard("dc1-p0")
    sim.send_members()


def _watcher_restarts(sim):
    sim.restart("dc1-p0")


def _all_restart(sim):
    for name in sorted(sim.live):
        sim.restart(name)


def _store_down(sim):
    sim.store_up = False


def _all_restart_store_down(sim):
    _store_down(sim)
    for name in sim.names["dc1"]:
        sim.restart(name)


def _cut_off(sim):
    sim.cut |= {"dc1-p2", "dc2-p0"}


def _lost(sim):
    sim.network.clear()


def _repeated(sim):
    sim.network += list(sim.network)


def _reversed(sim):
    sim.network.reverse()


def _next_ticket(sim):
    sim.accept("a", 3, event=False)


ROLLOUT_FAULTS = {
    "none": lambda sim: None,
    "watcher dies": _watcher_dies,
    "watcher restarts": _watcher_restarts,
    "everything restarts": _all_restart,
    "store down": _store_down,
    "data centre restarts while the store is down": _all_restart_store_down,
    "processes cut off": _cut_off,
    "messages under way lost": _lost,
    "messages under way repeated": _repeated,
    "messages under way reordered": _reversed,
    "next ticket accepted, watch event missed": _next_ticket,
}


def rollout_cells():
    """Return every (step, fault) of the rollout of a ticket."""
    return [(step, fault) for step in ROLLOUT_STEPS for fault in ROLLOUT_FAULTS]


def check_rollout(step, fault):
    """Check that the last ticket comes into force and that no process goes back."""
    sim = Simulation()
    sim.accept("a", 1)
    sim.settle()
    ROLLOUT_STEPS[step](sim)
    ROLLOUT_FAULTS[fault](sim)
    for _ in range(round(FAULT_S)):
        sim.settle(1.0)
        sim.check()
    sim.store_up, sim.cut = True, set()
    sim.settle(IN_FORCE_S)
    sim.check()
    last = sim.states[-1].number
    assert set(sim.numbers().values()) == {last}, (last, sim.numbers())
