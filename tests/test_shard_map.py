from collections import Counter

import testtools

from poplaryard.configuration import Policy
from poplaryard.messages import WorkKind
from poplaryard.resources import Resources
from poplaryard.shard_map import ShardMap

from .builders import configuration, work


class ShardMapTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.map = ShardMap("dc1")
        self.config = configuration(vms=1, policy=Policy(shards_per_data_centre=8))
        self.map.configure(self.config)

    def test_work_goes_only_where_a_vm_fits(self):
        """Guards against work that waits in a shard without a VM that could run it."""
        holding = [s for s in self.map.local() if self.map.vms_of(s)]
        self.assertEqual(1, len(holding))
        found = {self.map.shard_for(work(f"r{number}")) for number in range(50)}
        self.assertEqual(set(holding), found)
        job = work(kind=WorkKind.BATCH, target="", need=Resources(10**6))
        self.assertIn(self.map.shard_for(job), self.map.local())

    def test_shards_get_work_in_proportion_to_their_vms(self):
        """Guards against a shard of one VM that gets as much as one of seven."""
        self.map.configure(configuration(vms=20, policy=Policy(4)))
        found = Counter(self.map.shard_for(work(f"r{n}")) for n in range(4000))
        for shard in self.map.local():
            expected = 200 * len(self.map.vms_of(shard))
            self.assertAlmostEqual(expected, found[shard], delta=150)

    def test_home_of_a_key_does_not_depend_on_vms(self):
        """Guards against two home shards of a key while a ticket is applied (P2)."""
        other = ShardMap("dc1")
        other.configure(configuration(vms=9, policy=self.config.policy))
        for number in range(50):
            keyed = work(f"r{number}", exclusive_key=f"k{number}")
            self.assertEqual(self.map.shard_for(keyed), other.shard_for(keyed))

    def test_every_vm_has_one_shard(self):
        """Guards against a VM whose capacity two shards allocate (P1)."""
        self.map.configure(configuration(vms=40, policy=self.config.policy))
        names = [name for s in self.map.local() for name in self.map.vms_of(s)]
        self.assertEqual((40, 40), (len(names), len(set(names))))
        self.map.configure(configuration(vms=40, policy=Policy()))
        self.assertEqual(40, len(self.map.vms_of("dc1/0")))

    def test_without_a_configuration(self):
        """Guards against an error before the first ticket."""
        self.assertEqual("", ShardMap("dc1").shard_for(work()))
        self.assertEqual("", ShardMap("dc1").home("k"))
