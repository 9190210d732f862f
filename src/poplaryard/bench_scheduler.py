"""Processing time of the whole `ShardScheduler`, for `bench placement`."""

import itertools
import random
import time
import typing as t
from collections import deque

from .codes import Code
from .configuration import Configuration, Policy, ServiceSpec, VmGroupSpec, VmSpec
from .messages import (
    Answer,
    AttemptReport,
    AttemptState,
    Authority,
    Cancel,
    ClaimReply,
    ClaimWorker,
    Configure,
    Message,
    PollReply,
    StartAttempt,
    StartReply,
    Submit,
    VmUpdate,
    Work,
    WorkKind,
)
from .resources import Resources
from .scheduler import ShardScheduler

__all__ = ["SchedulerBench"]

# Number of tasks that end at the same moment.
REPORT_BATCH = 8

_WAVE_NEED = Resources(1000, 1024, 0)


class SchedulerBench:
    """Submits work to a shard scheduler and simulates its workers.

    Only the handling of messages is timed, not their construction.

    Parameters
    ----------
    vms : list of VmSpec
        VMs of the shard, all claimed.
    running_limit : int
        Number of running tasks above which the oldest tasks end.
    seed : int
        Seed of the scheduler's random generator.

    Attributes
    ----------
    submit_ns : list of int
        Handling time of each submit made by `run`.
    other_ns : int
        Total handling time of all other messages.
    answered : int
        Number of answers.
    """

    def __init__(self, vms: t.Sequence[VmSpec], running_limit: int, seed: int):
        self._scheduler = ShardScheduler("dc1/0", "bench", random.Random(seed))
        self._running_limit = running_limit
        self._now = 0.0
        self._ids = itertools.count()
        self._running: deque[StartAttempt] = deque()
        self.submit_ns: list[int] = []
        self.other_ns = 0
        self.answered = 0
        self._set_up(vms)

    def run(self, works: t.Iterable[Work]) -> None:
        """Submit work and end the oldest tasks when too many run."""
        for work in works:
            self._now += 1e-4
            started = time.perf_counter_ns()
            out = self._scheduler.handle(self._now, Submit(work, "bench", 1e9))
            self.submit_ns.append(time.perf_counter_ns() - started)
            self._handle_outputs(out)
            if len(self._running) >= self._running_limit + REPORT_BATCH:
                self._end_oldest()

    def batch_work(self, needs: t.Iterable[Resources]) -> t.Iterator[Work]:
        """Yield batch work of the given sizes."""
        for need in needs:
            yield Work(f"b{next(self._ids)}", WorkKind.BATCH, need=need)

    def request_work(self, count: int) -> t.Iterator[Work]:
        """Yield `count` requests to the only service."""
        for _ in range(count):
            yield Work(f"q{next(self._ids)}", target="service", declared_s=0.1)

    def cancel_wave(self, count: int) -> list[int]:
        """Submit `count` jobs and cancel them, with a submit for every tenth cancel.

        Returns
        -------
        list of int
            Handling time of each submit during the cancellations in nanoseconds.
        """
        jobs = [f"b{next(self._ids)}" for _ in range(count)]
        for job in jobs:
            work = Work(job, WorkKind.BATCH, need=_WAVE_NEED, declared_s=1e6)
            self._send(Submit(work, "bench", 1e9))
        self.submit_ns.clear()
        for number, job in enumerate(jobs):
            self._send(Cancel(job))
            if number % 10 == 0:
                self.run(self.batch_work([_WAVE_NEED]))
        return self.submit_ns

    def _set_up(self, vms: t.Sequence[VmSpec]) -> None:
        service = ServiceSpec("service", "team", len(vms), Resources(1000, 1024, 0))
        config = Configuration(
            services={"service": service},
            vm_groups={"all": VmGroupSpec("all", tuple(vms))},
            policy=Policy(short_share=0.0),
        )
        self._send(Configure(config))
        for vm in vms:
            self._send(VmUpdate(vm))
        self._send(Authority("dc1/0", 1, float("inf")))
        self.other_ns = 0

    def _end_oldest(self) -> None:
        ended = [self._running.popleft() for _ in range(REPORT_BATCH)]
        for vm in dict.fromkeys(start.vm for start in ended):
            reports = tuple(_report(start) for start in ended if start.vm == vm)
            self._send(PollReply(vm, 1, reports, int(self._now * 1000)))

    def _send(self, msg: Message) -> None:
        """Pass a message to the scheduler, time it, and answer the output."""
        started = time.perf_counter_ns()
        out = self._scheduler.handle(self._now, msg)
        self.other_ns += time.perf_counter_ns() - started
        self._handle_outputs(out)

    def _handle_outputs(self, out: t.Iterable[Message]) -> None:
        for item in out:
            if isinstance(item, StartAttempt):
                if item.work.kind is not WorkKind.SERVICE:
                    self._running.append(item)
                self._send(StartReply(item.vm, item.attempt_id, Code.OK))
            elif isinstance(item, ClaimWorker):
                self._send(ClaimReply(item.vm, item.epoch, True))
            elif isinstance(item, Answer):
                self.answered += 1


def _report(start: StartAttempt) -> AttemptReport:
    return AttemptReport(
        start.attempt_id,
        start.work.request_id,
        AttemptState.SUCCEEDED,
        kind=start.work.kind,
        task=start.task,
        need=start.work.need,
        executor=start.executor,
        target=start.work.target,
        elapsed_s=0.1,
    )
