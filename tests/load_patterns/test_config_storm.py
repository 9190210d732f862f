"""Pattern: configurations follow one another within a few tenths of a second.

Meanwhile the store loses answers and forgets its history, as it does in an outage.
"""

import asyncio
import random

import pytest

from poplaryard.workload.model import QueueTable
from poplaryard.workload.storage import Transaction
from tests.workload.fakes import MemoryStorage, make_node
from tests.workload.test_owner import until

VERSIONS = 40
GAP_S = 0.02
# Time in which the users want a configuration in force everywhere, in seconds.
APPLY_S = 2.0


def decode_version(value):
    """Return a configuration without queues; raises `ValueError` if it is malformed."""
    return QueueTable(version=int(value))


class ForgetfulStorage(MemoryStorage):
    """Storage whose watch calls fail at random, or find that the history is gone."""

    def __init__(self, seed):
        super().__init__()
        self._rng = random.Random(seed)

    async def watch(self, prefix, after, wait_s):
        draw = self._rng.random()
        if draw < 0.3:
            self.faults["watch"] = [self._rng.choice(["down", "dropped"])]
        elif draw < 0.5:
            return None
        return await super().watch(prefix, after, min(wait_s, 0.05))

    async def scan(self, prefix):
        if self._rng.random() < 0.2:
            self.faults["scan"] = ["down"]
        return await super().scan(prefix)


@pytest.mark.parametrize("seed", range(5))
def test_newest_configuration_is_applied_and_none_before_it_returns(seed):
    """Guards against an older version that is applied again, or a lost newest one."""

    async def scenario():
        rng = random.Random(seed)
        storage = ForgetfulStorage(seed)
        node = make_node(storage, decode_version)
        await node.start()
        applied = []
        version = 0
        for _ in range(VERSIONS):
            version += rng.randint(1, 5)
            # A malformed value in between must not hide the versions after it.
            for value in (b"no number", b"%d" % version):
                entry = ("op/config", value, 0)
                await storage.commit(Transaction(puts=[entry]))
            await asyncio.sleep(rng.uniform(0.0, 2 * GAP_S))
            applied.append(node.queues.version)
        await until(lambda: node.queues.version == version, APPLY_S)
        assert applied == sorted(applied)
        await node.stop()

    asyncio.run(scenario())
