import asyncio

import testtools

from poplaryard.clock import VirtualClock
from poplaryard.messages import Tick
from poplaryard.ownership import Ownership
from poplaryard.ownership_io import PAUSE_S, OwnershipTask
from poplaryard.ownership_messages import (
    GrantLease,
    Heartbeat,
    LeaseFailed,
    LeaseGranted,
    LeaseRenewed,
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
    WriteRecord,
)
from poplaryard.peers import CallResult
from poplaryard.record import Record

from .fake_store import FakeStore


class Peers:
    """Peer table with a fixed result for every call."""

    result = CallResult.DELIVERED

    def set_address(self, process, address):
        pass

    async def call(self, process, batch, timeout_s):
        return self.result


class OwnershipTaskTest(testtools.TestCase):
    """The test issues commands and checks the messages that report their results."""

    def setUp(self):
        super().setUp()
        self.store, self.peers = FakeStore(), Peers()
        self.clock = VirtualClock(100.0)
        self.messages = []

    def run_commands(self, *commands):
        """Execute commands one after another; return the messages that result."""
        asyncio.run(self._commands(commands))
        return self.messages

    async def _commands(self, commands):
        ownership = Ownership("p#1", "a:1", None)
        self.patch(ownership, "handle", self._record)
        self.task = OwnershipTask(
            ownership,
            "dc1",
            self.store,
            self.peers,
            self.clock,
            lambda _: None,
            lambda: None,
        )
        for command in commands:
            self.task._execute(command)
            await asyncio.gather(*self.task._tasks)

    def _record(self, now, message):
        self.messages.append(message)
        return []

    def kinds(self, *commands):
        return [type(item) for item in self.run_commands(*commands)]

    def test_lease(self):
        """Guards against authority based on a lease that the store has not granted."""
        found = self.run_commands(GrantLease(6.0), ReadRecord())
        self.assertEqual(LeaseGranted, type(found[0]))
        lease = found[0].lease
        self.assertEqual(RecordSeen(Record(), 0, frozenset({lease})), found[1])
        self.messages.clear()
        revoke = RevokeLease(lease)
        kinds = self.kinds(RenewLease(lease), revoke, RenewLease(lease))
        self.assertEqual([LeaseRenewed, LeaseFailed], kinds)
        self.assertTrue(self.messages[-1].lapsed)

    def test_record_is_written_and_read_back(self):
        """Guards against a record that changes when it is stored and read back."""
        record = Record().with_member("p#1", "a:1", "l1").with_owner("dc1/0", "p#1")
        found = self.run_commands(WriteRecord(record, 0), ReadRecord())
        self.assertEqual(RecordWritten, type(found[0]))
        self.assertEqual(
            (record, found[0].version), (found[1].record, found[1].version)
        )
        self.messages.clear()
        self.assertEqual([RecordConflict], self.kinds(WriteRecord(record, 99)))

    def test_store_faults_are_distinguished(self):
        """Guards against a shard taken twice after a reply was lost."""
        write = WriteRecord(Record(), 0)
        self.store.faults[("put_if", "dc/")] = ["lost"]
        self.assertEqual([RecordUnknown], self.kinds(write))
        self.store.down = True
        self.messages.clear()
        kinds = self.kinds(write, ReadRecord(), GrantLease(6.0), RenewLease("l"))
        expected = [RecordFailed, RecordFailed, LeaseFailed, LeaseFailed]
        self.assertEqual(expected, kinds)
        self.assertFalse(self.messages[-1].lapsed)

    def test_silent_peers_are_not_dead(self):
        """Guards against a take-over from a process that is only slow to answer."""
        command = SendHeartbeat("q#1", "a:2", Heartbeat("p#1", "q#1", 1.0))
        expected = {
            CallResult.DELIVERED: [],
            CallResult.NOT_SENT: [PeerMissed("q#1")],
            CallResult.UNKNOWN: [PeerMissed("q#1")],
            CallResult.DEAD: [ProvenDead("q#1")],
        }
        for result, messages in expected.items():
            self.peers.result = result
            self.messages.clear()
            self.assertEqual(messages, self.run_commands(command))

    def test_a_pause_is_noticed_before_other_messages(self):
        """Guards against an owner that resumes with authority that has lapsed."""
        self.run_commands()
        self.task.check_pause()
        self.assertEqual([], self.messages)
        self.clock.advance(2 * PAUSE_S)
        self.task.check_pause()
        self.assertEqual([Tick()], self.messages)
