import testtools

from poplaryard.codes import Code, Outcome
from poplaryard.messages import AttemptReport, AttemptState
from poplaryard.outcome import Ledger, RequestStatus
from tests.builders import work

WALL = 1_700_000_000.0


def non_idempotent(request_id="r1", **fields):
    return work(request_id, idempotent=False, issued_at=WALL, **fields)


def report(attempt, state=AttemptState.SUCCEEDED, request="r1", task=0, **fields):
    return AttemptReport(attempt, request, state, task=task, **fields)


class LedgerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()

    def register(self, item, now=0.0, **fields):
        return self.ledger.register(now, WALL + now, item, **fields)

    def test_answer_is_given_once_when_all_parts_are_there(self):
        """Guards against partial answers and against answers sent twice."""
        self.register(work(tasks=2))
        for task in (0, 1):
            self.ledger.started(0.0, "r1", f"a{task}", task)
        last = report("a1", task=1, body="second")
        self.assertIsNone(self.ledger.report(1.0, last))
        self.assertIsNone(self.ledger.report(1.0, last))
        answer = self.ledger.report(1.0, report("a0", body="first"))
        self.assertEqual(("first", "second"), answer.parts)
        self.assertIsNone(self.ledger.report(1.0, report("a0", body="other")))
        self.assertEqual(answer, self.register(work(tasks=2)).answer)

    def test_non_idempotent_task_starts_once(self):
        """Guards against a second run after the worker was lost."""
        self.register(non_idempotent())
        self.ledger.started(0.0, "r1", "a1", 0)
        answer = self.ledger.lost(9.0, "a1")
        self.assertEqual(Code.UNKNOWN_OUTCOME, answer.code)
        self.assertFalse(self.ledger.may_start("r1"))
        self.assertEqual(
            RequestStatus.ANSWERED, self.register(non_idempotent(), 10.0).status
        )

    def test_late_report_corrects_an_unknown_outcome_for_later_submissions(self):
        """Guards against an answer that stays unknown after the worker reported."""
        self.register(non_idempotent())
        self.ledger.started(0.0, "r1", "a1", 0)
        self.ledger.lost(9.0, "a1")
        self.assertIsNone(self.ledger.report(10.0, report("a1", body="done")))
        self.assertEqual(("done",), self.register(non_idempotent(), 11.0).answer.parts)

    def test_refused_start_may_be_repeated(self):
        """Guards against giving up work that has not run."""
        self.register(non_idempotent())
        self.ledger.started(0.0, "r1", "a1", 0)
        self.ledger.refused(0.1, "a1")
        self.assertTrue(self.ledger.may_start("r1"))

    def test_answer_not_run_is_only_given_for_work_that_has_not_run(self):
        """Guards against a "not run" answer while an attempt is in progress."""
        self.register(non_idempotent())
        self.ledger.started(0.0, "r1", "a1", 0)
        self.assertIsNone(self.ledger.not_run(1.0, "r1", Code.EXPIRED))
        self.ledger.refused(1.0, "a1")
        answer = self.ledger.not_run(1.0, "r1", Code.CANCELLED)
        self.assertEqual(Outcome.NOT_RUN, answer.outcome)
        self.assertFalse(self.ledger.may_start("r1"))

    def test_copy_of_a_refused_request_does_not_run(self):
        """Guards against a repeated message that runs work answered "not run"."""
        self.register(non_idempotent(), attempt=1)
        self.ledger.not_run(0.0, "r1", Code.QUEUE_FULL)
        self.assertEqual(
            RequestStatus.ANSWERED, self.register(non_idempotent(), attempt=1).status
        )
        self.assertEqual(
            RequestStatus.NEW, self.register(non_idempotent(), attempt=2).status
        )

    def test_ids_are_refused_outside_the_retention_time(self):
        """Guards against running an id again after its entry was removed."""
        for offset, code in ((-595.0, Code.ID_EXPIRED), (6.0, Code.ID_IN_FUTURE)):
            item = work("r2", idempotent=False, issued_at=WALL + offset)
            self.assertEqual(code, self.register(item).code)
        missing = work("r3", idempotent=False)
        self.assertEqual(Code.INVALID, self.register(missing).code)

    def test_other_body_under_the_same_id_is_refused(self):
        """Guards against answering a request with the result of another one."""
        self.register(work(payload={"seat": 1}))
        second = self.register(work(payload={"seat": 2}))
        self.assertEqual(Code.DUPLICATE_MISMATCH, second.code)

    def test_adopted_attempt_holds_its_key_and_answers_its_request(self):
        """Guards against exclusive work that runs beside work of an earlier owner."""
        running = report("a1", AttemptState.RUNNING, exclusive_key="pass-7")
        self.ledger.adopt(0.0, running)
        self.assertEqual("r1", self.ledger.holder("pass-7"))
        self.register(non_idempotent("r2", exclusive_key="pass-7"))
        self.assertFalse(self.ledger.may_start("r2"))
        self.assertEqual(
            RequestStatus.PENDING,
            self.register(non_idempotent(exclusive_key="pass-7")).status,
        )
        self.assertEqual(("x",), self.ledger.report(1.0, report("a1", body="x")).parts)
        self.ledger.adopt(2.0, running)
        self.assertTrue(self.ledger.may_start("r2"))

    def test_unknown_tasks_of_an_adopted_job_are_not_run_again(self):
        """Guards against a second run of a task that ran on an unclaimed worker."""
        self.ledger.adopt(0.0, report("a0"))
        item = non_idempotent(tasks=2)
        found = self.register(item, may_run_unreported=False)
        self.assertEqual(Code.UNKNOWN_OUTCOME, found.answer.code)

    def test_uncertain_job_starts_no_more_tasks(self):
        """Guards against a second run of a task whose worker was not claimed.

        Fuzzer episode 4000032: other tasks of the same job were running, so the job was
        not answered yet and its unreported tasks could still be started.
        """
        self.ledger.adopt(0.0, report("a0", AttemptState.RUNNING))
        self.register(non_idempotent(tasks=2))
        self.assertIsNone(self.ledger.mark_uncertain(1.0, "r1"))
        self.assertEqual([], self.ledger.open_tasks("r1"))
        answer = self.ledger.report(2.0, report("a0"))
        self.assertEqual(Code.UNKNOWN_OUTCOME, answer.code)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with each answered request."""
        ledger = Ledger(limit=10)
        for number in range(1000):
            now = float(number)
            ledger.register(now, WALL, work(f"r{number}"))
            ledger.started(now, f"r{number}", f"a{number}", 0)
            ledger.report(now, report(f"a{number}", request=f"r{number}"))
        self.assertLessEqual(len(ledger), 10)
        self.assertEqual(0, len(ledger._by_attempt))
