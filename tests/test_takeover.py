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
        """Guards against placing beside work of the old owner."""
        taken = takeover()
        sent = taken.handle(0.0, Tick())
        self.assertEqual([ClaimWorker("vm1", 5), ClaimWorker("vm2", 5)], sent)
        taken.handle(0.1, ClaimReply("vm1", 5, True))
        self.assertTrue(taken.may_place("vm1"))
        self.assertFalse(taken.may_place("vm2"))
        self.assertFalse(taken.serves_exclusive())
        taken.handle(0.2, ClaimReply("vm2", 5, True))
        self.assertTrue(taken.serves_exclusive())
        self.assertTrue(taken.may_run_unreported(WALL - 1))

    def test_known_member_serves_after_the_lease_wait(self):
        """Guards against exclusive work that waits for ever for a dead worker."""
        taken = takeover()
        taken.handle(0.1, ClaimReply("vm1", 5, True))
        taken.handle(4.3, Tick())
        self.assertFalse(taken.serves_exclusive())
        taken.handle(4.5, Tick())
        self.assertTrue(taken.serves_exclusive())
        self.assertFalse(taken.may_run_unreported(WALL + 4))
        self.assertTrue(taken.may_run_unreported(WALL + 6))

    def test_later_member_waits_for_the_claim_or_the_end_of_the_vm(self):
        """Guards against an old owner that does not know its successor."""
        taken = takeover(known=False)
        taken.handle(0.1, ClaimReply("vm1", 5, True))
        taken.handle(100.0, Tick())
        self.assertFalse(taken.serves_exclusive())
        taken.handle(101.0, VmGone("vm2"))
        self.assertTrue(taken.serves_exclusive())
        self.assertFalse(taken.may_run_unreported(WALL + 100))
        self.assertTrue(taken.may_run_unreported(WALL + 107))

    def test_vm_that_left_before_this_process_listed_it_makes_old_ids_unknown(self):
        """Guards against a second run of an id whose worker has left the list."""
        taken = takeover((), listed_since=WALL - 10)
        self.assertFalse(taken.may_run_unreported(WALL - 20))
        self.assertTrue(taken.may_run_unreported(WALL - 1))

    def test_claims_are_complete_only_for_a_fresh_list(self):
        """Guards against a VM that the old owner uses and an older list lacks."""
        taken = takeover(("vm1",), list_read=False)
        taken.handle(0.1, ClaimReply("vm1", 5, True))
        self.assertFalse(taken.serves_exclusive())
        taken.handle(0.2, VmListRead())
        self.assertTrue(taken.serves_exclusive())

    def test_new_vm_is_not_claimed_without_a_store_lease(self):
        """Guards against a VM that only an owner without a lease knows."""
        taken = takeover(())
        taken.claims_new = False
        update = VmUpdate(vm_spec(3, name="vm3"))
        self.assertEqual([], taken.handle(1.0, update))
        taken.claims_new = True
        self.assertEqual([ClaimWorker("vm3", 5)], taken.handle(2.0, Tick()))

    def test_higher_epoch_at_a_worker_ends_the_take_over(self):
        """Guards against an old owner that goes on claiming."""
        taken = takeover()
        taken.handle(0.1, ClaimReply("vm1", 5, True))
        out = taken.handle(0.2, ClaimReply("vm2", 6, False))
        self.assertEqual([EpochRefused("dc1/0", 5)], out)
        self.assertFalse(taken.may_place("vm1"))

    def test_new_vm_is_claimed_before_use(self):
        """Guards against placing on a VM that an old owner may still use."""
        taken = takeover(())
        sent = taken.handle(1.0, VmUpdate(vm_spec(3, name="vm3")))
        self.assertEqual([ClaimWorker("vm3", 5)], sent)
        self.assertFalse(taken.may_place("vm3"))
