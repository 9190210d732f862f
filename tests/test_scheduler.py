import random

from poplaryard.codes import Code
from poplaryard.messages import (
    Answer,
    AttemptReport,
    AttemptState,
    Authority,
    Cancel,
    ClaimReply,
    ClaimWorker,
    Configure,
    PollReply,
    StartAttempt,
    StartReply,
    StopAttempt,
    Submit,
    Tick,
    VmUpdate,
    WorkerUnreachable,
    WorkKind,
)
from poplaryard.resources import Resources
from poplaryard.scheduler import ShardScheduler
from tests.builders import configuration, work

BIG = Resources(12_000, 8192, 0)


class Shard:
    """Scheduler together with workers that answer claims and starts at once."""

    def __init__(self, config=None, until=1000.0):
        self.scheduler = ShardScheduler("dc1/0", "p1", random.Random(1))
        self.now = 0.0
        self.start_code = Code.OK
        self.claimable = True
        self.starts = {}
        self.running = {}
        self.stops = []
        self.answers = []
        config = config or configuration()
        self.send(Configure(config))
        for vm in config.vms("dc1"):
            self.send(VmUpdate(vm))
        self.send(Authority("dc1/0", 1, until))

    def send(self, msg):
        out = self.scheduler.handle(self.now, msg)
        for item in out:
            if isinstance(item, ClaimWorker) and self.claimable:
                self.claim_reply(item.vm)
            elif isinstance(item, StartAttempt):
                self.on_start(item)
            elif isinstance(item, StopAttempt):
                self.stops.append(item)
            elif isinstance(item, Answer):
                self.answers.append(item)
        return out

    def on_start(self, start):
        self.starts[start.attempt_id] = start
        if self.start_code is Code.OK:
            self.running[start.attempt_id] = start
        if self.start_code is not None:
            self.send(StartReply(start.vm, start.attempt_id, self.start_code))

    def claim_reply(self, vm):
        found = [self.report(s) for s in self.running.values() if s.vm == vm]
        self.send(ClaimReply(vm, 1, True, tuple(found), int(self.now * 1000)))

    def report(self, start, state=AttemptState.RUNNING, body=None):
        return AttemptReport(
            start.attempt_id,
            start.work.request_id,
            state,
            kind=start.work.kind,
            task=start.task,
            need=start.work.need,
            executor=start.executor,
            target=start.work.target,
            body=body,
        )

    def end(self, start, body=None, state=AttemptState.SUCCEEDED):
        self.running.pop(start.attempt_id, None)
        report = self.report(start, state, body)
        self.send(PollReply(start.vm, 1, (report,), int(self.now * 1000)))

    def tick(self, seconds):
        self.now += seconds
        return self.send(Tick())

    def started(self, kind):
        return [s for s in self.starts.values() if s.work.kind is kind]

    def codes(self):
        return [answer.code for answer in self.answers]


def batch(request_id, **fields):
    fields.setdefault("need", BIG)
    return Submit(work(request_id, kind=WorkKind.BATCH, target="", **fields))


def plain(vms=1):
    return configuration(vms=vms, replicas=0)


def test_replicas_named_by_the_ticket_are_started():
    assert len(Shard().started(WorkKind.SERVICE)) == 2


def test_request_goes_to_a_replica_and_is_answered_whole():
    shard = Shard()
    shard.send(Submit(work("r1", tasks=2)))
    first, second = shard.started(WorkKind.REQUEST)
    shard.end(second, "b")
    assert not shard.answers
    shard.end(first, "a")
    assert [(a.code, a.parts) for a in shard.answers] == [(Code.OK, ("a", "b"))]


def test_slots_of_a_replica_are_respected():
    shard = Shard()
    for number in range(20):
        shard.send(Submit(work(f"r{number}")))
    assert len(shard.started(WorkKind.REQUEST)) == 16
    assert shard.scheduler.snapshot().queued == 4


def test_charge_is_released_once_when_a_report_is_repeated():
    """Guards against a duplicated report freeing room twice."""
    shard = Shard(plain())
    shard.send(batch("b1"))
    (start,) = shard.started(WorkKind.BATCH)
    shard.end(start)
    shard.end(start)
    for number in range(2, 5):
        shard.send(batch(f"b{number}"))
    assert len(shard.started(WorkKind.BATCH)) == 2
    assert shard.scheduler.snapshot().used == BIG


def test_unreachable_worker_counts_as_full_until_the_lease_wait_ends():
    """Guards against a task being run again while its lease may still hold."""
    shard = Shard(plain(vms=2))
    shard.send(batch("b1"))
    (first,) = shard.started(WorkKind.BATCH)
    shard.claimable = False
    shard.send(WorkerUnreachable(first.vm))
    shard.tick(4.3)
    assert len(shard.started(WorkKind.BATCH)) == 1
    shard.tick(0.2)
    assert [s.vm for s in shard.started(WorkKind.BATCH)[1:]] != [first.vm]
    assert len(shard.started(WorkKind.BATCH)) == 2


def test_lost_non_idempotent_work_is_never_run_again():
    shard = Shard(plain(vms=2))
    shard.send(batch("b1", idempotent=False))
    shard.claimable = False
    shard.send(WorkerUnreachable(shard.started(WorkKind.BATCH)[0].vm))
    shard.tick(5.0)
    assert shard.codes() == [Code.WORKER_LOST]
    assert len(shard.started(WorkKind.BATCH)) == 1


def test_start_without_reply_is_not_repeated_while_it_is_valid():
    """Guards against a delayed start running next to its repetition."""
    shard = Shard(plain())
    shard.start_code = None
    shard.send(batch("b1", idempotent=False))
    shard.send(WorkerUnreachable(shard.started(WorkKind.BATCH)[0].vm))
    shard.tick(1.0)
    assert len(shard.starts) == 1
    shard.tick(1.5)
    shard.tick(0.1)
    assert len(shard.starts) == 2
    assert not shard.answers


def test_refused_start_is_tried_again():
    shard = Shard(plain())
    shard.start_code = Code.WORKER_FULL
    shard.send(batch("b1"))
    shard.start_code = Code.OK
    shard.tick(0.1)
    assert len(shard.starts) == 2
    assert len(shard.running) == 1


def test_nothing_is_started_after_the_authority_has_lapsed():
    shard = Shard(plain(), until=1.0)
    shard.now = 1.0
    shard.send(batch("b1"))
    assert not shard.starts


def test_claim_reply_that_a_later_report_overtook_charges_nothing():
    """Guards against an ended attempt being adopted from an outdated reply."""
    shard = Shard(plain())
    shard.send(batch("b1"))
    (start,) = shard.started(WorkKind.BATCH)
    shard.claimable = False
    shard.send(WorkerUnreachable(start.vm))
    shard.now = 0.2
    shard.end(start)
    outdated = ClaimReply(start.vm, 1, True, (shard.report(start),), 100)
    shard.send(outdated)
    assert shard.scheduler.snapshot().used == Resources()


def test_cancelled_work_is_answered_not_run_only_if_it_never_started():
    shard = Shard(plain())
    shard.send(batch("b1"))
    shard.send(batch("b2"))
    shard.send(Cancel("b2"))
    shard.send(Cancel("b1"))
    assert shard.codes() == [Code.CANCELLED]
    shard.end(shard.starts[shard.stops[0].attempt_id], state=AttemptState.STOPPED)
    assert shard.codes() == [Code.CANCELLED, Code.STOPPED]
