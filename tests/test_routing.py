import random

import testtools

from poplaryard.codes import Code
from poplaryard.resources import Resources
from poplaryard.routing import (
    ShardSummary,
    choose_shard,
    home_shard,
    may_retry,
    ranked,
    routing_key,
)
from tests.builders import work

SHARDS = [f"dc{dc}/{index}" for dc in (1, 2, 3) for index in range(3)]


class RoutingTest(testtools.TestCase):
    def test_home_is_stable_and_moves_only_to_a_new_shard(self):
        """Guards against a new shard that also moves keys between the old ones."""
        moved = [
            key
            for key in map(str, range(1000))
            if home_shard(key, SHARDS) != home_shard(key, [*SHARDS, "dc4/0"])
        ]
        self.assertTrue(50 < len(moved) < 150)
        self.assertTrue(
            all(home_shard(k, [*SHARDS, "dc4/0"]) == "dc4/0" for k in moved)
        )
        self.assertEqual(home_shard("k", SHARDS), ranked("k", SHARDS)[0])

    def test_key_is_needed_for_exclusive_and_non_idempotent_work(self):
        """Guards against work that must not run twice being sent to two shards."""
        self.assertEqual("", routing_key(work()))
        self.assertEqual("r1", routing_key(work(idempotent=False)))
        self.assertEqual("k", routing_key(work(exclusive_key="k")))

    def test_choice_skips_full_and_unreachable_shards(self):
        """Guards against sending work to a shard that cannot hold it."""
        room = Resources(4000, 4096, 0)
        summaries = [
            ShardSummary("full"),
            ShardSummary("cut", room, room, reachable=False),
            ShardSummary("free", room, room),
        ]
        item = work(need=Resources(1000, 1024, 0))
        for seed in range(20):
            chosen = choose_shard(item, summaries, random.Random(seed))
            self.assertEqual("free", chosen)

    def test_only_work_that_did_not_run_or_may_run_twice_is_retried(self):
        """Guards against a payment made twice because the entry process retried it."""
        payment = work(idempotent=False, deadline=10.0)
        self.assertTrue(may_retry(payment, Code.NOT_OWNER, 1.0))
        self.assertFalse(may_retry(payment, Code.PEER_TIMEOUT, 1.0))
        self.assertFalse(may_retry(payment, Code.NOT_OWNER, 10.0))
        self.assertTrue(may_retry(work(), Code.WORKER_LOST, 1.0))
        self.assertFalse(may_retry(work(), Code.CANCELLED, 1.0))
