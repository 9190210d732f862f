"""Scheduler of one shard with workers that answer at once."""

import random

from poplaryard.codes import Code
from poplaryard.configuration import Policy
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
    StopAttempt,
    Submit,
    Tick,
    VmUpdate,
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
    fields.setdefault("issued_at", 1.0)
    return Submit(work(request_id, kind=WorkKind.BATCH, target="", **fields))


def batch_config(vms=1):
    # No capacity is kept for short work; test_queues.py and test_reserve.py test that.
    policy = Policy(short_s=1e9, short_share=0.0)
    return configuration(vms=vms, replicas=0, policy=policy)
