"""Advice that is slow, and served one call at a time for each process."""

import asyncio

from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from poplaryard.workload.advice import AdviceLines, OwnLine


class Service:
    """Advice service for one process; calls wait for each other."""

    def __init__(self, slow_s=0.2, quick_s=0.01):
        self.times = {True: slow_s, False: quick_s}
        self.calls = []
        self.fails = False
        self._lock = asyncio.Lock()

    async def ask(self, step, workers, timeout_s, slow=False):
        self.calls.append(step)
        if self.fails:
            raise PoplaryardError(Code.PEER_TIMEOUT)
        async with self._lock:
            await asyncio.sleep(self.times[slow])
        return dict.fromkeys(workers, "t"), 2.0


def clock():
    return asyncio.get_running_loop().time()


async def ask(lines, step, cost_s):
    slow = cost_s > 0.1
    line = lines.pick(slow, clock())
    if line is None:
        return None
    lines.take(line, slow, clock())
    try:
        return await lines.ask(line, step, ["w0"], cost_s, clock)
    finally:
        line.release(slow)


def test_calls_decided_at_the_same_time_use_different_lines():
    """Guards against one line that is picked again before its call has begun."""
    lines = AdviceLines(OwnLine(Service()))
    lines.set_peers({f"p{n}": (OwnLine(Service()), False) for n in range(2)})
    first = lines.pick(True, 1.0)
    lines.take(first, True, 1.0)
    assert lines.pick(True, 1.0) is not first


def test_quick_calls_never_wait_behind_slow_ones():
    """Pattern: short checks beside services whose advice takes half a second."""

    async def run():
        own, peer = Service(), Service()
        lines = AdviceLines(OwnLine(own))
        lines.set_peers({"p2": (OwnLine(peer), False)})
        await ask(lines, "quick", 0.02)
        slow = asyncio.create_task(ask(lines, "slow", 0.5))
        await asyncio.sleep(0.01)
        began = clock()
        assert await ask(lines, "quick", 0.02) is not None
        assert clock() - began < 0.1
        await slow
        assert "slow" in peer.calls
        assert "slow" not in own.calls

    asyncio.run(run())


def test_slow_calls_use_all_lines_of_processes_that_own_nothing():
    """Pattern: many gangs wait for advice after a restart."""

    async def run():
        services = [Service() for _ in range(4)]
        lines = AdviceLines(OwnLine(Service()))
        peers = {f"p{n}": (OwnLine(s), n == 0) for n, s in enumerate(services)}
        lines.set_peers(peers)
        await ask(lines, "quick", 0.02)
        began = clock()
        found = await asyncio.gather(*(ask(lines, f"s{n}", 0.5) for n in range(3)))
        assert None not in found
        assert clock() - began < 0.4
        assert services[0].calls == []

    asyncio.run(run())


def test_line_that_another_owner_uses_is_refused_at_once():
    async def run():
        service = Service()
        line = OwnLine(service)
        slow = asyncio.create_task(line.ask("slow", ["w0"], 1.0, True))
        await asyncio.sleep(0.01)
        assert await line.ask("quick", ["w0"], 1.0, False) is None
        assert await slow is not None
        assert await line.ask("quick", ["w0"], 1.0, False) is not None

    asyncio.run(run())


def test_line_that_failed_is_left_alone_for_a_while():
    """Guards against asking again and again through a process that is cut off."""

    async def run():
        own, peer = Service(), Service()
        peer.fails = True
        lines = AdviceLines(OwnLine(own))
        lines.set_peers({"p2": (OwnLine(peer), False)})
        await ask(lines, "quick", 0.02)
        assert await ask(lines, "slow", 0.5) is None
        assert lines.pick(True, clock()) is None or len(peer.calls) == 1

    asyncio.run(run())
