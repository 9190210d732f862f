"""`ShardScheduler` as a benchmark strategy; simulated workers answer at once."""

import random
import typing as t
from collections import deque
from dataclasses import replace

from .bench_driver import Cluster, Host, Job, Run
from .codes import Code, Outcome
from .configuration import Configuration, VmGroupSpec, VmSpec
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
    StopAttempt,
    StopMode,
    Submit,
    Tick,
    VmUpdate,
    WorkKind,
)
from .scheduler import ShardScheduler

__all__ = ["Shard", "shard_strategy"]

_EPOCH = 1
# Virtual time never reaches this, so the shard's authority does not expire.
_FOREVER_S = 1e9


class Shard:
    """Strategy in which one shard owns every VM of the cluster."""

    requeues = True

    def __init__(self, cluster: Cluster, rng: random.Random, config: Configuration):
        self._cluster = cluster
        self._scheduler = ShardScheduler("dc1/0", "bench", rng)
        self._hosts = {host.name: host for host in cluster.hosts}
        self._jobs: dict[str, Job] = {}
        self._runs: dict[str, Run] = {}
        self._inbox: deque[Message] = deque()
        specs = tuple(_spec(host) for host in cluster.hosts)
        group = VmGroupSpec("", specs)
        self._send(0.0, Configure(replace(config, vm_groups={"": group})))
        for spec in specs:
            self._send(0.0, VmUpdate(spec))
        self._send(0.0, Authority("dc1/0", _EPOCH, _FOREVER_S))
        self._send(0.0, Tick())

    def arrive(self, now: float, job: Job) -> None:
        """Submit a job; each retry has its own request id, as a client's retry has."""
        request_id = f"{job.work.request_id}#{job.attempts}"
        self._jobs[request_id] = job
        self._send(now, Submit(replace(job.work, request_id=request_id)))

    def cancel(self, now: float, job: Job) -> None:
        """Cancel a job."""
        self._send(now, Cancel(f"{job.work.request_id}#{job.attempts}"))

    def task_ended(self, now: float, run: Run, state: AttemptState) -> None:
        """Report the end of a task."""
        attempt_id, _, request_id = run.key.partition(" ")
        self._runs.pop(attempt_id)
        work = run.job.work
        report = AttemptReport(
            attempt_id=attempt_id,
            request_id=request_id,
            state=state,
            kind=work.kind,
            need=work.need,
            used=work.need,
            target=work.target,
            team=work.team,
            elapsed_s=now - run.started,
        )
        self._send(now, PollReply(run.host.name, _EPOCH, (report,)))

    def step(self, now: float, tick: bool) -> None:
        """Send a tick; all other work is driven by messages."""
        if tick:
            self._send(now, Tick())

    def _send(self, now: float, msg: Message) -> None:
        """Pass a message to the scheduler and handle all messages that result."""
        self._inbox.append(msg)
        while self._inbox:
            for out in self._scheduler.handle(now, self._inbox.popleft()):
                self._handle_output(now, out)

    def _handle_output(self, now: float, msg: Message) -> None:
        if isinstance(msg, StartAttempt):
            self._start(now, msg)
        elif isinstance(msg, ClaimWorker):
            self._inbox.append(ClaimReply(msg.vm, msg.epoch, True))
        elif isinstance(msg, StopAttempt) and msg.attempt_id in self._runs:
            if msg.mode is StopMode.CHECKPOINT:
                self._cluster.preempt(now, self._runs[msg.attempt_id])
        elif isinstance(msg, Answer):
            job = self._jobs.pop(msg.request_id, None)
            unserved = msg.outcome is Outcome.NOT_RUN or msg.code is Code.FAILED
            if job is not None and unserved:
                self._cluster.drop(job, msg.code.name.lower())

    def _start(self, now: float, msg: StartAttempt) -> None:
        self._inbox.append(StartReply(msg.vm, msg.attempt_id, Code.OK))
        if msg.work.kind is WorkKind.SERVICE:
            return
        job = self._jobs[msg.work.request_id]
        (run,) = self._cluster.start(now, job, [self._hosts[msg.vm]])
        run.key = f"{msg.attempt_id} {msg.work.request_id}"
        self._runs[msg.attempt_id] = run


def shard_strategy(
    config: Configuration,
) -> t.Callable[[Cluster, random.Random], Shard]:
    """Return a factory of shard strategies with the given configuration."""
    return lambda cluster, rng: Shard(cluster, rng, config)


def _spec(host: Host) -> VmSpec:
    return VmSpec(host.name, "dc1", "r1", "127.0.0.1:1", host.capacity)
