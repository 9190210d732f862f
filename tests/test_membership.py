import random

import testtools

from poplaryard.membership import FANOUT, Membership


def membership(count):
    found = Membership("p000", random.Random(1))
    found.set_members([f"p{number:03d}" for number in range(count)])
    return found


class MembershipTest(testtools.TestCase):
    def test_heartbeats_do_not_grow_with_the_number_of_members(self):
        """Guards against a cost per node that grows with the fleet."""
        for count in (6, 30, 120):
            targets = membership(count).due_peers(0.0, everyone=False)
            self.assertEqual(min(FANOUT, count - 1), len(targets))

    def test_suspicion_after_three_misses_is_refuted_by_a_message(self):
        """Guards against routing around a peer that answers."""
        found = membership(3)
        for _ in range(2):
            found.missed(0.0, "p001")
        self.assertEqual((), found.suspects())
        found.missed(0.0, "p001")
        self.assertEqual(("p001",), found.suspects())
        found.heard("p001", 0)
        self.assertEqual((), found.suspects())

    def test_flapping_peer_is_avoided_until_its_penalty_decays(self):
        """Guards against routes that change with every flap."""
        found = membership(3)
        for _ in range(4):
            for _ in range(3):
                found.missed(0.0, "p001")
            found.heard("p001", 0)
        self.assertEqual({"p001"}, found.avoided(0.0))
        self.assertEqual(set(), found.avoided(60.0))

    def test_rumour_about_oneself_is_refuted(self):
        """Guards against a false suspicion that stays with distant members."""
        found = membership(30)
        found.add_suspicions(0.0, ["p000", "p020"])
        self.assertEqual(1, found.refuted)
        self.assertEqual(("p020",), found.suspects())
