import testtools

from poplaryard.admission import Admission
from poplaryard.codes import Code
from poplaryard.configuration import Policy
from tests.builders import work


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.admission = Admission(Policy(queue_limit=30))

    def test_full_queue_sheds_with_retry_after(self):
        """Guards against a queue that grows without bound."""
        decision = self.admission.admit(0.0, work(), depth=30)
        self.assertEqual(Code.QUEUE_FULL, decision.code)
        self.assertGreater(decision.retry_after_s, 0.0)

    def test_team_holds_at_most_a_third(self):
        """Guards against one team that fills the queue of a class."""
        admit = self.admission.admit
        self.assertEqual(Code.ACCEPTED, admit(0.0, work(), 9, team_depth=9).code)
        self.assertEqual(Code.QUEUE_FULL, admit(0.0, work(), 10, team_depth=10).code)

    def test_expired_work_is_refused(self):
        """Guards against queueing work that nobody waits for."""
        decision = self.admission.admit(9.0, work(deadline=9.0), depth=0)
        self.assertEqual(Code.EXPIRED, decision.code)

    def test_work_that_would_expire_in_the_queue_is_shed(self):
        """Guards against a queue longer than its deadlines allow."""
        admission = Admission(Policy(queue_limit=300))
        for step in range(10):
            admission.started(0.5 + step / 100, work())
        admit = admission.admit
        self.assertEqual(Code.ACCEPTED, admit(1.0, work(deadline=2.0), 10, 10).code)
        decision = admit(1.0, work(deadline=2.0), depth=25, team_depth=25)
        self.assertEqual(Code.QUEUE_FULL, decision.code)
        self.assertAlmostEqual(25 / 40, decision.retry_after_s, delta=0.05)

    def test_small_team_is_not_shed_for_the_queue_of_a_large_one(self):
        """Guards against work shed although its own team would start at once."""
        admission = Admission(Policy(queue_limit=300))
        for step in range(10):
            admission.started(0.5 + step / 100, work())
        admit = admission.admit
        large = admit(1.0, work(team="large", deadline=2.0), 25, team_depth=24)
        small = admit(1.0, work(team="small", deadline=2.0), 25, team_depth=1)
        codes = (Code.QUEUE_FULL, Code.ACCEPTED)
        self.assertEqual(codes, (large.code, small.code))
