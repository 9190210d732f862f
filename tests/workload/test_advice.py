"""Tests of calls to an advice service that handles one call per process at a time."""

import asyncio

from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from poplaryard.workload.advice import ChannelPool, LocalAdvisor, preferred_peers
from poplaryard.workload.model import AdviceCost
from tests.workload.builders import ADVICE, job, step, worker_info
from tests.workload.fakes import SimulatedGroup, wanted_advice


class FakeService:
    """Advice service as one process sees it: calls are handled one at a time."""

    def __init__(self, slow_s=0.2, quick_s=0.01):
        self.durations_s = {True: slow_s, False: quick_s}
        self.calls = []
        self.fails = False
        self._lock = asyncio.Lock()

    async def ask(self, step, workers, timeout_s, slow=False):
        self.calls.append(step)
        if self.fails:
            raise PoplaryardError(Code.PEER_TIMEOUT)
        async with self._lock:
            await asyncio.sleep(self.durations_s[slow])
        return dict.fromkeys(workers, "t"), 2.0


def clock():
    return asyncio.get_running_loop().time()


async def ask(pool, step, cost_s):
    slow = cost_s > 0.1
    channel = pool.select(slow, clock())
    if channel is None:
        return None
    pool.acquire(channel, slow, clock())
    try:
        return await pool.ask(channel, step, ["w0"], cost_s, clock)
    finally:
        channel.release(slow)


def test_calls_begun_at_the_same_time_use_different_channels():
    """Guards against a channel that is selected twice before its first call starts."""
    pool = ChannelPool(LocalAdvisor(FakeService()))
    pool.set_peers({f"p{n}": (LocalAdvisor(FakeService()), False) for n in range(2)})
    first = pool.select(True, 1.0)
    pool.acquire(first, True, 1.0)
    assert pool.select(True, 1.0) is not first


def test_quick_calls_never_wait_behind_slow_ones():
    """Guards against quick calls delayed by slow ones.

    Some queues have short tasks, while advice for others takes half a second.
    """

    async def run():
        own, peer = FakeService(), FakeService()
        pool = ChannelPool(LocalAdvisor(own))
        pool.set_peers({"p2": (LocalAdvisor(peer), False)})
        await ask(pool, "quick", 0.02)
        slow = asyncio.create_task(ask(pool, "slow", 0.5))
        await asyncio.sleep(0.01)
        began = clock()
        assert await ask(pool, "quick", 0.02) is not None
        assert clock() - began < 0.1
        await slow
        assert "slow" in peer.calls
        assert "slow" not in own.calls

    asyncio.run(run())


def test_slow_calls_use_all_channels_of_processes_that_own_nothing():
    """Guards against slow calls made one after the other.

    After a restart many gangs wait for advice at once.
    """

    async def run():
        services = [FakeService() for _ in range(4)]
        pool = ChannelPool(LocalAdvisor(FakeService()))
        peers = {f"p{n}": (LocalAdvisor(s), n == 0) for n, s in enumerate(services)}
        pool.set_peers(peers)
        await ask(pool, "quick", 0.02)
        began = clock()
        found = await asyncio.gather(*(ask(pool, f"s{n}", 0.5) for n in range(3)))
        assert None not in found
        assert clock() - began < 0.4
        assert services[0].calls == []

    asyncio.run(run())


def test_owners_of_partitions_use_different_channels_while_there_are_enough():
    """Guards against calls refused because another owner uses the same process.

    Pattern: after a change of owner many jobs wait for advice at once, while the owner
    of another partition makes slow calls.
    """

    async def run():
        peers = {f"p{n}": (LocalAdvisor(FakeService()), False) for n in range(40)}
        owners = ["o1", "o2", "o3"]
        used = {}
        calls = []
        for owner in owners:
            pool = ChannelPool(LocalAdvisor(FakeService()))
            preferred = preferred_peers(owner, owners, peers)
            pool.set_peers(peers, preferred)
            await ask(pool, "quick", 0.02)
            channels = [pool.select(True, clock())]
            pool.acquire(channels[0], True, clock())
            while len(channels) < min(8, len(preferred)):
                channels.append(pool.select(True, clock()))
                pool.acquire(channels[-1], True, clock())
            used[owner] = {channel.name for channel in channels}
            calls += [
                pool.ask(channel, "s", ["w0"], 0.5, clock) for channel in channels
            ]
        assert None not in await asyncio.gather(*calls)
        names = [name for found in used.values() for name in found]
        assert len(names) == len(set(names)) >= 20

    asyncio.run(run())


def test_quick_call_behind_a_slow_one_is_refused_at_once():
    async def run():
        service = FakeService()
        advisor = LocalAdvisor(service)
        slow = asyncio.create_task(advisor.ask("slow", ["w0"], 1.0, True))
        await asyncio.sleep(0.01)
        assert await advisor.ask("quick", ["w0"], 1.0, False) is None
        assert await slow is not None
        assert await advisor.ask("quick", ["w0"], 1.0, False) is not None

    asyncio.run(run())


def test_failed_channel_is_not_used_for_a_while():
    """Guards against repeated calls through a process that cannot be reached."""

    async def run():
        own, peer = FakeService(), FakeService()
        peer.fails = True
        pool = ChannelPool(LocalAdvisor(own))
        pool.set_peers({"p2": (LocalAdvisor(peer), False)})
        await ask(pool, "quick", 0.02)
        assert await ask(pool, "slow", 0.5) is None
        assert pool.select(True, clock()) is None or len(peer.calls) == 1

    asyncio.run(run())


def group_with_step_at_its_limit():
    """Return a group on whose only worker a limited step runs all that it may."""
    group = SimulatedGroup(workers=1)
    group.run(0.2)
    limited = step(2, cpu=2000, estimate_s=1e6, lasting=True, max_per_worker=1)
    group.submit(job("a" * 16, limited, priority=0, advice=ADVICE))
    group.run(0.2)
    assert len(group.starts()) == 1
    return group


def test_step_at_its_limit_claims_no_room():
    """Guards against a step that is not asked for as another seems to take the room."""
    group = group_with_step_at_its_limit()
    group.submit(job("b" * 16, step(1, cpu=2000), priority=1, advice=ADVICE))
    request = wanted_advice(group.partition, group.now)
    assert request is not None
    assert request.step.job.spec.job_id == "b" * 16


def test_worker_at_the_limit_of_a_step_keeps_no_call_for_others_back():
    """Guards against a step that seems able to start where its limit is reached."""
    group = group_with_step_at_its_limit()
    group.add_worker(worker_info(1))
    group.advise = lambda: None
    group.run(0.1)
    request = wanted_advice(group.partition, group.now)
    assert request is not None
    assert set(request.workers) == {"w1"}


def test_step_at_its_limit_asks_again_for_no_worker():
    """Guards against a call for the same workers whenever the permits lapse."""
    group = group_with_step_at_its_limit()
    group.advise = lambda: None
    group.run(5.0)
    assert wanted_advice(group.partition, group.now) is None


def test_advice_is_asked_for_before_a_task_of_a_limited_step_ends():
    """Guards against a worker that is idle during the call after each task."""
    group = SimulatedGroup(workers=1)
    group.run(0.2)
    advice = AdviceCost(base_s=0.3, per_worker_s=0.01, valid_s=1.0)
    limited = step(2, estimate_s=5.0, max_per_worker=1)
    group.submit(job("a" * 16, limited, advice=advice))
    group.run(0.2)
    group.advise = lambda: None
    group.run(3.0)
    assert wanted_advice(group.partition, group.now) is None
    group.run(1.5)
    assert wanted_advice(group.partition, group.now) is not None


def test_task_that_is_paused_asks_for_advice_only_before_its_pause_ends():
    """Guards against calls for a step that can't start, which keep others waiting."""
    group = SimulatedGroup(workers=1)
    group.run(0.2)
    advice = AdviceCost(base_s=0.3, per_worker_s=0.01, valid_s=1.0)
    run = group.submit(job("a" * 16, step(), advice=advice))
    run.occurrences[0][0].tasks[0].next_trial_at = group.now + 30.0
    assert wanted_advice(group.partition, group.now) is None
    assert wanted_advice(group.partition, group.now + 29.8) is not None


def test_step_at_its_limit_that_was_never_asked_for_keeps_no_call_back():
    """Guards against steps that are not asked for behind one that a new owner found."""
    group = group_with_step_at_its_limit()
    [limited] = group.partition.jobs["a" * 16].occurrences[0]
    limited.may_run.clear()
    limited.permits.clear()
    group.submit(job("b" * 16, step(1, cpu=2000), priority=1, advice=ADVICE))
    request = wanted_advice(group.partition, group.now)
    assert request is not None
    assert request.step.job.spec.job_id == "b" * 16
