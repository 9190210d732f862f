"""Ticket rows of the fault matrix, over `Acceptance` and `Rollout`."""

import asyncio

from poplaryard.acceptance import Acceptance, load
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code

from .fake_store import FakeStore, service, ticket
from .test_rollout import World

FAULT_S = 8.0
IN_FORCE_S = 3.0
CALL_FAULTS = ("down", "dropped", "lost")
# One more than the store calls of a ticket that touches one object.
CALLS = 8

FILED = "accepted once, or not accepted and absent; filing again gives one number"
SPREAD = "in force on every process within 3 s of the fault's end, never an older one"


def filing_cells():
    """Return (step, fault) for each store call of a filing."""
    return [
        (f"ticket: store call {position + 1} of filing", f"call is {fault}")
        for position in range(CALLS)
        for fault in CALL_FAULTS
    ]


def run_filing(step, fault, rival):
    """File a ticket under a fault, with a rival's filing at the same moment."""
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
    """Check one cell: an answer of "accepted" or "not accepted" is true."""
    store, results, config, again = run_filing(step, fault, rival)
    accepted = [r for r in results if r.code is Code.TICKET_ACCEPTED]
    unknown = [r for r in results if r.code is Code.TICKET_UNKNOWN]
    assert len({r.number for r in accepted}) == len(accepted), results
    least = 1 + len(accepted)
    assert least <= config.number <= least + len(unknown), (results, config.number)
    if results[0].code is Code.TICKET_ACCEPTED:
        assert again.number == results[0].number, (results, again)
    if again.code is Code.TICKET_ACCEPTED:
        final = asyncio.run(load(store))
        assert final.number >= again.number


def _sent(world):
    world.accept("a", 2)


def _loading(world):
    _sent(world)
    world.deliver(0)


def _pushed(world):
    _loading(world)
    while not any(source != "store" for source, _, _ in world.network):
        world.deliver(0)
        world.tick()


def _half(world):
    _pushed(world)
    world.deliver(len(world.network) - 1)


SPREAD_STEPS = {
    "ticket: watch event sent": _sent,
    "ticket: watcher loads it": _loading,
    "ticket: pushed to peers": _pushed,
    "ticket: in force on some processes": _half,
}


def _watcher_dies(world):
    world.live.discard("dc1-p0")
    world.watching.discard("dc1-p0")
    world.members()


def _watcher_restarts(world):
    world.restart("dc1-p0")


def _all_restart(world):
    for name in sorted(world.live):
        world.restart(name)


def _store_down(world):
    world.store_up = False


def _all_restart_store_down(world):
    _store_down(world)
    for name in world.names["dc1"]:
        world.restart(name)


def _cut_off(world):
    world.cut |= {"dc1-p2", "dc2-p0"}


def _lost(world):
    world.network.clear()


def _repeated(world):
    world.network += list(world.network)


def _reversed(world):
    world.network.reverse()


def _next_ticket(world):
    world.accept("a", 3, event=False)


SPREAD_FAULTS = {
    "none": lambda world: None,
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


def spread_cells():
    """Return every (step, fault) of a ticket's way to the processes."""
    return [(step, fault) for step in SPREAD_STEPS for fault in SPREAD_FAULTS]


def check_spread(step, fault):
    """Check one cell: the last accepted ticket comes into force and none reverts."""
    world = World()
    world.accept("a", 1)
    world.settle()
    SPREAD_STEPS[step](world)
    SPREAD_FAULTS[fault](world)
    for _ in range(round(FAULT_S)):
        world.settle(1.0)
        world.check()
    world.store_up, world.cut = True, set()
    world.settle(IN_FORCE_S)
    world.check()
    last = world.states[-1].number
    assert set(world.numbers().values()) == {last}, (last, world.numbers())
