import random

import testtools

from poplaryard.messages import Authority, Tick
from poplaryard.ownership import Ownership
from poplaryard.ownership_messages import (
    GrantLease,
    Heartbeat,
    HeartbeatReply,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
    Leave,
    PeerMissed,
    ProvenDead,
    ReadRecord,
    RecordConflict,
    RecordFailed,
    RecordSeen,
    RecordUnknown,
    RecordWritten,
    RenewLease,
    RevokeLease,
    SendHeartbeat,
    ShardReleased,
    ShardsConfigured,
    ShardSettled,
    ShardTaken,
    WriteRecord,
)
from poplaryard.record import Record

SHARDS = ("dc1/0", "dc1/1")


class Group:
    """Simulated processes of one data centre and their store, without delays.

    Attributes
    ----------
    isolated : set of str
        Processes that reach neither the store nor their peers.
    dead : set of str
        Processes that have ended; connections to them are refused.
    notices : list
        Notices of the processes, each with the process name.
    calls : int
        Number of calls to the store.
    """

    def __init__(self, *names, shards=SHARDS):
        self.now = 0.0
        self.store_up = True
        self.lose_write_reply = False
        self.isolated = set()
        self.dead = set()
        self.version = 0
        self.record = Record()
        self.leases = {}
        self.members = {}
        self.notices = []
        self.calls = 0
        for name in names:
            self.add(name, shards)

    def add(self, name, shards=SHARDS):
        self.members[name] = Ownership(name, name, random.Random(name))
        self.deliver(name, ShardsConfigured(shards))

    def deliver(self, name, message):
        for out in self.members[name].handle(self.now, message):
            self.execute(name, out)

    def execute(self, name, out):
        if isinstance(out, Authority | ShardTaken | ShardReleased):
            self.notices.append((name, out))
        elif isinstance(out, SendHeartbeat):
            self.heartbeat(name, out)
        elif isinstance(out, HeartbeatReply):
            self.deliver(out.to, out)
        elif type(out) in STORE_CALLS:
            self.calls += 1
            if self.store_up and name not in self.isolated:
                STORE_CALLS[type(out)](self, name, out)
            else:
                self.deliver(name, STORE_DOWN[type(out)])

    def heartbeat(self, name, out):
        if out.to in self.dead:
            self.deliver(name, ProvenDead(out.to))
        elif {out.to, name} & self.isolated:
            self.deliver(name, PeerMissed(out.to))
        else:
            self.deliver(out.to, out.heartbeat)

    def live(self):
        return frozenset(k for k, until in self.leases.items() if until > self.now)

    def grant(self, name, _):
        lease = f"lease{len(self.leases)}"
        self.leases[lease] = self.now + 6.0
        self.deliver(name, LeaseGranted(lease, self.now))

    def renew(self, name, out):
        if out.lease not in self.live():
            self.deliver(name, LeaseFailed(out.lease, lapsed=True))
            return
        self.leases[out.lease] = self.now + 6.0
        self.deliver(name, LeaseRenewed(out.lease, self.now))

    def revoke(self, name, out):
        self.leases[out.lease] = self.now

    def read(self, name, _):
        self.deliver(name, RecordSeen(self.record, self.version, self.live()))

    def write(self, name, out):
        if out.version != self.version:
            self.deliver(name, RecordConflict())
            return
        self.version += 1
        self.record = out.record
        if self.lose_write_reply:
            self.deliver(name, RecordUnknown())
            return
        self.deliver(name, RecordWritten(self.version))
        for other in set(self.members) - self.dead - self.isolated:
            self.read(other, None)

    def run(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name in sorted(set(self.members) - self.dead):
                self.deliver(name, Tick())

    def owners(self):
        return {k: v.owner for k, v in self.record.shards.items()}

    def last_authority(self, name, shard):
        return [
            out
            for who, out in self.notices
            if who == name and isinstance(out, Authority) and out.shard == shard
        ][-1]

    def taken(self, name):
        return [
            out
            for who, out in self.notices
            if who == name and isinstance(out, ShardTaken)
        ]


STORE_CALLS = {
    GrantLease: Group.grant,
    RenewLease: Group.renew,
    RevokeLease: Group.revoke,
    ReadRecord: Group.read,
    WriteRecord: Group.write,
}
STORE_DOWN = {
    GrantLease: LeaseFailed(),
    RenewLease: LeaseFailed(),
    ReadRecord: RecordFailed(),
    WriteRecord: RecordFailed(),
    RevokeLease: RecordFailed(),
}


class OwnershipTest(testtools.TestCase):
    def test_shards_are_taken_and_spread(self):
        """Guards against one process that keeps every shard after a common start."""
        group = Group("a#1", "b#1")
        group.run(15)
        self.assertEqual({"a#1", "b#1"}, set(group.owners().values()))

    def test_owner_without_store_keeps_authority_while_all_promise(self):
        """Guards against loss of service in a store outage."""
        group = Group("a#1", "b#1", "c#1")
        group.run(15)
        group.store_up = False
        group.run(60)
        owner = group.owners()["dc1/0"]
        notice = group.last_authority(owner, "dc1/0")
        self.assertTrue(notice.exclusive)
        self.assertGreater(notice.until, group.now)
        self.assertEqual("promised", group.members[owner].state)

    def test_isolated_owner_loses_exclusive_work_before_the_lease_ends(self):
        """Guards against two owners that both run exclusive work."""
        group = Group("a#1", "b#1", "c#1")
        group.run(15)
        owner = group.owners()["dc1/0"]
        group.isolated.add(owner)
        group.run(7)
        self.assertFalse(group.last_authority(owner, "dc1/0").exclusive)
        group.run(3)
        self.assertNotEqual(owner, group.owners()["dc1/0"])

    def test_member_proven_dead_is_not_needed_for_promises(self):
        """Guards against a dead member that ends all service in a store outage."""
        group = Group("a#1", "b#1", "c#1")
        group.run(15)
        group.store_up = False
        owner = group.owners()["dc1/0"]
        group.dead.add(next(name for name in group.members if name != owner))
        group.run(20)
        self.assertTrue(group.last_authority(owner, "dc1/0").exclusive)

    def test_dead_owners_shards_are_taken_with_a_higher_epoch(self):
        """Guards against a shard that stays without an owner."""
        group = Group("a#1", "b#1", "c#1")
        group.run(15)
        before = group.record.shards["dc1/0"]
        group.dead.add(before.owner)
        group.run(8)
        after = group.record.shards["dc1/0"]
        self.assertNotEqual(before.owner, after.owner)
        self.assertGreater(after.epoch, before.epoch)
        self.assertTrue(group.taken(after.owner)[-1].known)

    def test_member_that_joined_after_the_owner_is_known_by_its_promises(self):
        """Guards against a take-over that drops the state of the old owner too early.

        That state decides whether the old owner knew this process as a member.
        """
        group = Group("a#1", shards=("dc1/0",))
        group.run(5)
        group.add("b#1", ("dc1/0",))
        group.run(5)
        group.dead.add("a#1")
        group.members["b#1"].promises.is_dead = lambda name: False
        group.run(20)
        self.assertTrue(group.taken("b#1")[-1].known)

    def test_uncertain_ownership_passes_to_the_next_owner(self):
        """Guards against an owner before the last one that still has authority."""
        group = Group("a#1", shards=("dc1/0",))
        group.run(5)
        group.isolated.add("a#1")
        group.run(1)
        group.add("b#1", ("dc1/0",))
        group.run(20)
        self.assertTrue(group.record.shards["dc1/0"].uncertain)
        group.add("c#1", ("dc1/0",))
        group.run(3)
        group.deliver("b#1", Leave())
        group.run(3)
        self.assertEqual("c#1", group.owners()["dc1/0"])
        self.assertFalse(group.taken("c#1")[-1].known)
        epoch = group.members["c#1"].owned["dc1/0"]
        group.deliver("c#1", ShardSettled("dc1/0", epoch))
        group.run(3)
        self.assertFalse(group.record.shards["dc1/0"].uncertain)

    def test_no_promise_while_a_take_over_is_in_flight(self):
        """Guards against a take-over that succeeds after its sender gave a promise."""
        group = Group("a#1", "b#1")
        group.run(15)
        owner = group.owners()["dc1/0"]
        other = "b#1" if owner == "a#1" else "a#1"
        candidate = group.members[other]
        ended = RecordSeen(group.record, group.version, frozenset())
        group.now += 10
        candidate.handle(group.now, LeaseGranted("new", group.now))
        candidate.handle(group.now, ended)
        sent = []
        for _ in range(20):
            group.now += 0.1
            sent += candidate.handle(group.now, Tick())
            sent = [out for out in sent if isinstance(out, WriteRecord)]
            if sent:
                break
        self.assertTrue(sent)
        # The first write only puts the new lease into the record.
        joined = RecordWritten(group.version + 1)
        candidate.handle(group.now, joined)
        takes = []
        for _ in range(20):
            group.now += 0.1
            out = candidate.handle(group.now, Tick())
            takes += [item for item in out if isinstance(item, WriteRecord)]
        self.assertEqual(1, len(takes))
        beat = Heartbeat(owner, other, 0.0, owner=True)
        for reply in candidate.handle(group.now, beat):
            self.assertFalse(reply.promised)
        candidate.handle(group.now, RecordUnknown())
        for reply in candidate.handle(group.now, beat):
            self.assertFalse(reply.promised)

    def test_lost_reply_of_a_take_over_is_read_back(self):
        """Guards against a shard whose owner does not know that it owns it."""
        group = Group("a#1", shards=("dc1/0",))
        group.lose_write_reply = True
        group.run(20)
        self.assertEqual({"dc1/0": 1}, group.members["a#1"].owned)

    def test_calls_after_an_outage_are_spread(self):
        """Guards against all members calling the recovering store at once."""
        group = Group(*(f"p{number}#1" for number in range(20)))
        group.run(20)
        group.store_up = False
        group.run(60)
        group.store_up = True
        peak = 0
        for _ in range(50):
            before = group.calls
            group.run(0.1)
            peak = max(peak, group.calls - before)
        self.assertLess(peak, 30)

    def test_leaving_process_hands_its_shards_to_successors(self):
        """Guards against a planned stop that waits for the lease to end."""
        group = Group("a#1", "b#1", "c#1")
        group.run(15)
        owner = group.owners()["dc1/0"]
        group.deliver(owner, Leave())
        group.run(0.5)
        self.assertNotIn(owner, group.owners().values())
        successor = group.owners()["dc1/0"]
        self.assertTrue(group.taken(successor)[-1].handed_over)
        self.assertEqual("left", group.members[owner].state)

    def test_release_is_tried_again_soon(self):
        """Guards against tasks that end because no owner renews their leases."""
        group = Group("a#1", "b#1", shards=("dc1/0",))
        group.run(15)
        owner = group.owners()["dc1/0"]
        group.store_up = False
        group.deliver(owner, Leave())
        group.run(2)
        group.store_up = True
        group.run(1)
        self.assertNotIn(owner, group.owners().values())
        self.assertNotIn("", group.owners().values())

    def test_restarted_process_is_unknown_to_the_old_owner(self):
        """Guards against trusting a process that lost its promises at a restart."""
        group = Group("a#1", "b#1")
        group.run(15)
        owner = group.owners()["dc1/0"]
        other = "b#1" if owner == "a#1" else "a#1"
        group.dead.add(other)
        group.isolated.add(owner)
        group.run(0.5)
        group.add("b#2")
        group.run(25)
        self.assertEqual("b#2", group.owners()["dc1/0"])
        taken = [item for item in group.taken("b#2") if item.previous == owner]
        self.assertFalse(taken[0].known)
