import asyncio

import testtools

from poplaryard.api import api_routes, bearer_allowed
from poplaryard.codes import Code, Outcome
from poplaryard.messages import Answer, Priority, WorkKind
from poplaryard.web import new_starlette

from .asgi import call

_KEY = "caller-key-1"


class Context:
    """Stub of the application that answers every request at once."""

    body_limit = 1000
    depth_limit = 4

    def __init__(self):
        self.works = []
        self.refused = None
        self.code = Code.OK
        self.fails = False

    def caller_allowed(self, request):
        return bearer_allowed(request, [_KEY, "other-key-1"])

    def refusal(self):
        return self.refused

    def defaults(self, work, timeout_s):
        return work, timeout_s or 30.0

    def submit(self, work, digest):
        if self.fails:
            raise RuntimeError("fault")
        self.works.append(work)
        code = self.code
        return Answer(work.request_id, code, code.outcome, ({"echo": 1},), "", 2.0)

    def record_answer(self, answer, seconds):
        pass

    async def find(self, request_id):
        return None

    async def cancel(self, request_id):
        return False


class ApiTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.context = Context()
        self.app = new_starlette(api_routes(self.context))

    def post(self, body, path="/v1/requests", key=_KEY):
        return asyncio.run(call(self.app, "POST", path, body, key))

    def refused(self, code, body, **options):
        status, found = self.post(body, **options)
        self.assertEqual((code.status, int(code)), (status, found["code"]))
        self.assertEqual(code.outcome, found["outcome"])
        self.assertEqual([], self.context.works)

    def test_whole_answer_is_given(self):
        """Guards against an answer that loses its parts or its outcome."""
        status, found = self.post(
            {"id": "r1", "target": "booking", "priority": "urgent"}
        )
        self.assertEqual(200, status)
        self.assertEqual([{"echo": 1}], found["parts"])
        self.assertEqual(("r1", "ran"), (found["id"], found["outcome"]))
        self.assertEqual(Priority.URGENT, self.context.works[0].priority)

    def test_malformed_bodies_are_refused_before_they_run(self):
        """Guards against input that reaches the scheduler or ends in a 500."""
        good = b'"id":"r1","target":"t"'
        self.refused(Code.MALFORMED, b"{")
        self.refused(Code.MALFORMED, b"\xff")
        self.refused(Code.NON_FINITE, b'{"payload":NaN}')
        self.refused(Code.NON_FINITE, b'{%s,"payload":1e999}' % good)
        self.refused(Code.TOO_DEEP, b'{%s,"payload":[[[[1]]]]}' % good)
        self.refused(Code.TOO_DEEP, b"[" * 400 + b"]" * 400)
        self.refused(Code.TOO_LARGE, b'{%s,"payload":"%s"}' % (good, b"x" * 1000))
        self.refused(Code.INVALID, {"id": "r1"})
        self.refused(Code.INVALID, {"id": "r1", "target": "t", "spare": 1})
        self.refused(Code.INVALID, {"id": "r/1", "target": "t"})
        self.refused(Code.INVALID, {"id": "r1", "target": "t", "timeout_s": "5"})
        self.refused(Code.INVALID, {"id": "r1", "target": "t", "idempotent": False})
        self.refused(Code.INVALID, [1])

    def test_jobs_are_validated(self):
        """Guards against negative sizes and jobs with too many tasks."""
        job = {"id": "j1", "kind": "gang", "tasks": 4, "need": {"cpu_m": 10}}
        for change in ({"tasks": 4097}, {"need": {"cpu_m": -1}}, {"kind": "service"}):
            self.refused(Code.INVALID, {**job, **change}, path="/v1/jobs")
        self.assertEqual(200, self.post(job, path="/v1/jobs")[0])
        self.assertEqual(WorkKind.GANG, self.context.works[0].kind)

    def test_every_error_has_a_code_and_an_outcome(self):
        """Guards against a caller who cannot tell whether the request ran."""
        body = {"id": "r1", "target": "t"}
        self.refused(Code.UNAUTHENTICATED, body, key="wrong-key")
        self.refused(Code.UNAUTHENTICATED, body, key="")
        self.refused(Code.NO_ROUTE, body, path="/v1/other")
        self.refused(Code.METHOD_NOT_ALLOWED, body, path="/v1/explain/r1")
        self.context.refused = Code.NOT_READY
        self.refused(Code.NOT_READY, body)
        get = call(self.app, "GET", "/v1/requests/r9", key=_KEY)
        status, found = asyncio.run(get)
        self.assertEqual((404, Outcome.UNKNOWN), (status, found["outcome"]))

    def test_internal_errors_are_answered_with_an_unknown_outcome(self):
        """Guards against a fault that is reported as "not run"."""
        self.context.fails = True
        self.refused(Code.INTERNAL, {"id": "r1", "target": "t"})

    def test_failed_runs_keep_their_status(self):
        """Guards against a failed run that looks like a success."""
        self.context.code = Code.FAILED
        status, found = self.post({"id": "r1", "target": "t"})
        self.assertEqual(
            (500, "ran", 2.0), (status, found["outcome"], found["retry_after_s"])
        )
