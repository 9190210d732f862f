"""Hundreds of processes start together, or notice an outage together.

Pattern: all processes lose power and start again, or the store stops answering. What
each process does about the others then grows with the square of their number.
"""

import asyncio

from poplaryard.exceptions import StoreDown
from poplaryard.workload import records
from poplaryard.workload.storage import Transaction
from poplaryard.workload.watching import PrefixWatcher
from tests.workload.fakes import MemoryStorage, make_node

PROCESSES = 300
# Calls with which a process reads the members that join within a second, and a burst
# of claims. The store of the users serves 16,000 calls a second to 97 processes.
MAX_READS = 20


class CountingStorage(MemoryStorage):
    """Storage that counts the watch calls by prefix."""

    def __init__(self):
        super().__init__()
        self.reads = {}

    async def watch(self, prefix, after, wait_s):
        self.reads[prefix] = self.reads.get(prefix, 0) + 1
        return await super().watch(prefix, after, wait_s)


def test_joining_processes_are_read_together():
    """Guards against one call to the store for each process and each peer."""

    async def scenario():
        storage = CountingStorage()
        node = make_node(storage)
        await node.start()
        for number in range(1, PROCESSES):
            name = f"p{number}"
            member = records.Member(name, f"10.0.0.1:{number}", "dc1", 1.0)
            claim = records.Claim(name, f"10.0.0.1:{number}")
            puts = [
                (records.member_key(name), records.encode(member), 0),
                (records.claim_key(f"g{number}"), records.encode(claim), 0),
            ]
            await storage.commit(Transaction(puts=puts))
            await asyncio.sleep(0.5 / PROCESSES)
        await asyncio.sleep(0.5)
        assert len(node._members) == PROCESSES - 1
        assert len(node._directory.claims) == PROCESSES - 1
        assert storage.reads["member/"] <= MAX_READS
        assert storage.reads[records.claim_prefix()] <= 2 * MAX_READS
        await node.stop()

    asyncio.run(scenario())


def test_watches_do_not_call_a_store_that_is_down_together():
    """Guards against waves of calls that a returning store has to reject."""

    async def scenario():
        calls = []

        class DownStorage:
            async def scan(self, prefix):
                calls.append(asyncio.get_running_loop().time())
                raise StoreDown

        storage = DownStorage()
        tasks = [
            asyncio.create_task(PrefixWatcher(storage, "k/", print).run())
            for _ in range(PROCESSES)
        ]
        await asyncio.sleep(1.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The first calls of all coincide. The later ones should be spread evenly.
        late = [moment for moment in calls if moment > calls[0] + 0.5]
        busiest = max(
            sum(1 for moment in late if begin <= moment < begin + 0.02)
            for begin in late
        )
        mean = len(late) * 0.02
        assert busiest < 3 * mean

    asyncio.run(scenario())
