import random

from poplaryard.codes import Code
from poplaryard.messages import (
    Answer,
    AttemptReport,
    AttemptState,
    Authority,
    ClaimReply,
    ClaimWorker,
    Configure,
    PollReply,
    StartAttempt,
    StartReply,
    Submit,
    VmUpdate,
    WorkKind,
)
from poplaryard.scheduler import ShardScheduler
from tests.builders import configuration, work


class Shard:
    """Scheduler together with workers that accept every start."""

    def __init__(self, config=None, until=100.0):
        self.scheduler = ShardScheduler("dc1-0", "p1", random.Random(1))
        self.now = 0.0
        self.starts = {}
        self.answers = []
        config = config or configuration()
        self.send(Configure(config))
        for vm in config.vms("dc1"):
            self.send(VmUpdate(vm))
        self.send(Authority("dc1-0", 1, until))

    def send(self, msg):
        out = self.scheduler.handle(self.now, msg)
        for item in out:
            if isinstance(item, ClaimWorker):
                self.send(ClaimReply(item.vm, item.epoch, True))
            elif isinstance(item, StartAttempt):
                self.starts[item.attempt_id] = item
                self.send(StartReply(item.vm, item.attempt_id, Code.OK))
            elif isinstance(item, Answer):
                self.answers.append(item)
        return out

    def end(self, start, body, state=AttemptState.SUCCEEDED):
        report = AttemptReport(
            start.attempt_id, start.work.request_id, state, task=start.task, body=body
        )
        self.send(PollReply(start.vm, 1, (report,)))

    def started(self, kind):
        return [s for s in self.starts.values() if s.work.kind is kind]


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
