import testtools

from poplaryard.messages import ClaimReply, ClaimWorker, Tick, VmGone, VmUpdate
from poplaryard.takeover import EpochRefused, Takeover, VmListRead
from tests.builders import vm_spec

WALL = 1000.0


def takeover(workers=("vm1", "vm2"), **fields):
    fields.setdefault("known", True)
    return Takeover("dc1/0", 5, 0.0, WALL, workers, **fields)


class TakeoverTest(testtools.TestCase):
    def test_worker_is_used_only_after_its_claim(self):
        """Guards against placing work on a VM that still runs work of the old owner."""
        take_over = takeover()
        sent = take_over.handle(0.0, Tick())
        self.assertEqual([ClaimWorker("vm1", 5), ClaimWorker("vm2", 5)], sent)
        take_over.handle(0.1, ClaimReply("vm1", 5, True))
        self.assertTrue(take_over.may_place("vm1"))
        self.assertFalse(take_over.may_place("vm2"))
        self.assertFalse(take_over.serves_exclusive())
        take_over.handle(0.2, ClaimReply("vm2", 5, True))
        self.assertTrue(take_over.serves_exclusive())
        self.assertTrue(take_over.may_run_unreported(WALL - 1))

    def test_known_member_serves_after_the_lease_wait(self):
        """Guards against exclusive work that waits forever for a dead worker."""
        take_over = takeover()
        take_over.handle(0.1, ClaimReply("vm1", 5, True))
        take_over.handle(4.3, Tick())
        self.assertFalse(take_over.serves_exclusive())
        take_over.handle(4.5, Tick())
        self.assertTrue(take_over.serves_exclusive())
        self.assertFalse(take_over.may_run_unreported(WALL + 4))
        self.assertTrue(take_over.may_run_unreported(WALL + 6))

    def test_later_member_waits_for_the_claim_or_the_end_of_the_vm(self):
        """Guards against trusting an old owner that did not know this process."""
        take_over = takeover(known=False)
        take_over.handle(0.1, ClaimReply("vm1", 5, True))
        take_over.handle(100.0, Tick())
        self.assertFalse(take_over.serves_exclusive())
        take_over.handle(101.0, VmGone("vm2"))
        self.assertTrue(take_over.serves_exclusive())
        self.assertFalse(take_over.may_run_unreported(WALL + 100))
        self.assertTrue(take_over.may_run_unreported(WALL + 107))

    def test_vm_that_left_before_this_process_listed_it_makes_old_ids_unknown(self):
        """Guards against a second run of an id whose worker has left the VM list."""
        take_over = takeover((), listed_since=WALL - 10)
        self.assertFalse(take_over.may_run_unreported(WALL - 20))
        self.assertTrue(take_over.may_run_unreported(WALL - 1))

    def test_claims_are_complete_only_for_a_fresh_list(self):
        """Guards against missing a VM of the old owner that an older list lacks."""
        take_over = takeover(("vm1",), list_read=False)
        take_over.handle(0.1, ClaimReply("vm1", 5, True))
        self.assertFalse(take_over.serves_exclusive())
        take_over.handle(0.2, VmListRead())
        self.assertTrue(take_over.serves_exclusive())

    def test_new_vm_is_not_claimed_without_a_store_lease(self):
        """Guards against claiming a VM that the successor may not find in its list."""
        take_over = takeover(())
        take_over.claims_new = False
        update = VmUpdate(vm_spec(3, name="vm3"))
        self.assertEqual([], take_over.handle(1.0, update))
        take_over.claims_new = True
        self.assertEqual([ClaimWorker("vm3", 5)], take_over.handle(2.0, Tick()))

    def test_higher_epoch_at_a_worker_ends_the_take_over(self):
        """Guards against an old owner that continues to claim workers."""
        take_over = takeover()
        take_over.handle(0.1, ClaimReply("vm1", 5, True))
        out = take_over.handle(0.2, ClaimReply("vm2", 6, False))
        self.assertEqual([EpochRefused("dc1/0", 5)], out)
        self.assertFalse(take_over.may_place("vm1"))

    def test_new_vm_is_claimed_before_use(self):
        """Guards against placing on a VM that an old owner may still use."""
        take_over = takeover(())
        sent = take_over.handle(1.0, VmUpdate(vm_spec(3, name="vm3")))
        self.assertEqual([ClaimWorker("vm3", 5)], sent)
        self.assertFalse(take_over.may_place("vm3"))
