import random

import testtools

from poplaryard.membership import FANOUT, Membership


def membership(count):
    members = Membership("p000", random.Random(1))
    members.set_members([f"p{number:03d}" for number in range(count)])
    return members


class MembershipTest(testtools.TestCase):
    def test_heartbeats_do_not_grow_with_the_number_of_members(self):
        """Guards against a cost per process that grows with the number of members."""
        for count in (6, 30, 120):
            targets = membership(count).due_peers(0.0, everyone=False)
            self.assertEqual(min(FANOUT, count - 1), len(targets))

    def test_suspicion_after_three_misses_is_refuted_by_a_message(self):
        """Guards against avoiding a peer that answers again."""
        members = membership(3)
        for _ in range(2):
            members.missed(0.0, "p001")
        self.assertEqual((), members.suspects())
        members.missed(0.0, "p001")
        self.assertEqual(("p001",), members.suspects())
        members.heard("p001", 0)
        self.assertEqual((), members.suspects())

    def test_flapping_peer_is_avoided_until_its_penalty_decays(self):
        """Guards against routes that change each time a peer fails or returns."""
        members = membership(3)
        for _ in range(4):
            for _ in range(3):
                members.missed(0.0, "p001")
            members.heard("p001", 0)
        self.assertEqual({"p001"}, members.avoided(0.0))
        self.assertEqual(set(), members.avoided(60.0))

    def test_suspicion_of_the_process_itself_is_refuted(self):
        """Guards against a false suspicion that persists at other members."""
        members = membership(30)
        members.add_suspicions(0.0, ["p000", "p020"])
        self.assertEqual(1, members.refuted)
        self.assertEqual(("p020",), members.suspects())
