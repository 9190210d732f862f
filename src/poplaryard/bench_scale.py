"""Scaling benchmark: memory and processor time of a shard at three sizes each.

The capacity page extrapolates from the slopes. All quantities are measured on the real
`ShardScheduler`. Memory is the amount that tracemalloc counts as allocated, which
excludes the allocator's own overhead.
"""

import gc
import json
import random
import statistics
import time
import tracemalloc
import typing as t

import click

from .codes import Code
from .configuration import Configuration, TeamSpec, VmGroupSpec, VmSpec
from .messages import (
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
    Tick,
    VmUpdate,
    Work,
    WorkKind,
)
from .resources import Resources
from .scheduler import ShardScheduler

__all__ = ["scale", "slope"]

SHARD = "dc1/0"
CAPACITY = Resources(32_000, 131_072, 0)
NEED = Resources(500, 1024, 0)
WORKERS = (100, 400, 1600)
TASKS = (1000, 4000, 16_000)
TEAMS = (50, 200, 950)
# One team may hold a third of the queue, so larger sizes would be refused.
WAITING = (400, 1600, 6400)
# Number of runs of which the median is taken, so that a single outlier is ignored.
REPEATS = 5
TASKS_PER_POLL = 64


def slope(points: t.Sequence[tuple[int, float]]) -> float:
    """Return the least-squares slope of (size, value) points."""
    sizes, values = zip(*points, strict=True)
    return statistics.linear_regression(sizes, values).slope


def _vms(count: int) -> list[VmSpec]:
    return [
        VmSpec(
            name=f"dc1-report-handling-vm{index}",
            data_centre="dc1",
            rack=f"dc1-r{index // 5}",
            address=f"10.0.{index // 250}.{index % 250}:7000",
            capacity=CAPACITY,
            group="report-handling",
        )
        for index in range(count)
    ]


def _config(vms: int, teams: int = 0) -> Configuration:
    group = VmGroupSpec("report-handling", tuple(_vms(vms)))
    specs = {f"team{index}": TeamSpec(f"team{index}") for index in range(teams)}
    return Configuration(number=1, vm_groups={group.name: group}, teams=specs)


class _SimulatedShard:
    """Shard scheduler with simulated workers that answer at once."""

    def __init__(self, vms: int, teams: int = 0):
        self.now = 0.0
        self.scheduler = ShardScheduler(SHARD, "bench#1", random.Random(1))
        self.started: list[StartAttempt] = []
        config = _config(vms, teams)
        self.send(Configure(config))
        self.send(Authority(SHARD, 1, 1e9))
        for vm in config.vms("dc1"):
            self.send(VmUpdate(vm))

    def send(self, message: t.Any) -> None:
        """Pass a message to the scheduler and answer its claims and starts."""
        for out in self.scheduler.handle(self.now, message):
            if isinstance(out, ClaimWorker):
                self.send(ClaimReply(out.vm, 1, True, (), 1))
            elif isinstance(out, StartAttempt):
                self.started.append(out)
                self.send(StartReply(out.vm, out.attempt_id, Code.OK))

    def submit(self, count: int, teams: int = 0, prefix: str = "job") -> None:
        """Submit `count` batch jobs of one task each, spread over the teams."""
        for index in range(count):
            team = f"team{index % teams}" if teams else "default"
            work = Work(
                request_id=f"{prefix}-{index}",
                kind=WorkKind.BATCH,
                team=team,
                need=NEED,
                declared_s=60.0,
            )
            self.send(Submit(work, "bench#1"))

    def finish(self) -> None:
        """Report the success of all started attempts, several in one poll reply."""
        by_vm: dict[str, list[AttemptReport]] = {}
        for start in self.started:
            report = AttemptReport(
                start.attempt_id,
                start.work.request_id,
                AttemptState.SUCCEEDED,
                kind=WorkKind.BATCH,
                need=NEED,
                elapsed_s=1.0,
            )
            by_vm.setdefault(start.vm, []).append(report)
        self.started.clear()
        for vm, reports in by_vm.items():
            for first in range(0, len(reports), TASKS_PER_POLL):
                part = tuple(reports[first : first + TASKS_PER_POLL])
                self.send(PollReply(vm, 1, part, 2))


def _allocated(build: t.Callable[[int], object], size: int) -> float:
    """Return the memory in bytes held by the result of `build(size)`."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build(size)
        gc.collect()
        allocated, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(allocated)


def _cpu_seconds(action: t.Callable[[], object]) -> float:
    """Return the processor time of one action in seconds."""
    started_at = time.process_time()
    action()
    return time.process_time() - started_at


def _shard_with_running_tasks(tasks: int) -> _SimulatedShard:
    # 40 tasks per VM, so that all of them run.
    shard = _SimulatedShard(tasks // 40)
    shard.submit(tasks)
    shard.started.clear()
    return shard


def _shard_with_waiting_jobs(tasks: int) -> _SimulatedShard:
    # The only VM has capacity for 64 of the tasks.
    shard = _SimulatedShard(1)
    shard.submit(tasks + 64)
    shard.started.clear()
    return shard


def _shard_with_answers(tasks: int) -> _SimulatedShard:
    # 40 tasks per VM, so that all of them run.
    shard = _SimulatedShard(tasks // 40)
    shard.submit(tasks)
    shard.finish()
    return shard


def _shard_with_teams(teams: int) -> _SimulatedShard:
    shard = _SimulatedShard(50, teams)
    shard.submit(teams, teams)
    shard.started.clear()
    return shard


_MEMORY: dict[str, tuple[t.Callable[[int], object], tuple[int, ...]]] = {
    "configuration, per VM": (_config, WORKERS),
    "shard, per VM": (_SimulatedShard, WORKERS),
    "shard, per running task": (_shard_with_running_tasks, TASKS),
    "shard, per waiting job": (_shard_with_waiting_jobs, WAITING),
    "shard, per answer kept": (_shard_with_answers, TASKS),
    "shard, per team with one task": (_shard_with_teams, TEAMS),
}


def _time_start_and_end(vms: int) -> float:
    shard = _SimulatedShard(vms)
    count = min(vms * 30, 3000)

    def action() -> None:
        shard.submit(count)
        shard.finish()

    return _cpu_seconds(action) / count


def _time_start_by_team(teams: int) -> float:
    shard = _SimulatedShard(100, teams)

    def action() -> None:
        shard.submit(2000, teams)
        shard.finish()

    return _cpu_seconds(action) / 2000


def _time_poll(vms: int) -> float:
    shard = _SimulatedShard(vms)
    names = list(_vm_names(vms))

    def action() -> None:
        for name in names:
            shard.send(PollReply(name, 1, (), 2))

    return _cpu_seconds(action) / vms


def _vm_names(vms: int) -> t.Iterator[str]:
    return (vm.name for vm in _vms(vms))


def _time_tick(vms: int) -> float:
    shard = _SimulatedShard(vms)

    def action() -> None:
        for _ in range(20):
            shard.now += 0.1
            shard.send(Tick())

    return _cpu_seconds(action) / 20


_TIME: dict[str, tuple[t.Callable[[int], float], tuple[int, ...]]] = {
    "start and end of a task, by VMs": (_time_start_and_end, WORKERS),
    "start and end of a task, by teams": (_time_start_by_team, TEAMS),
    "poll without change, by VMs": (_time_poll, WORKERS),
    "tick, by VMs": (_time_tick, WORKERS),
}


def _memory_row(name: str) -> dict[str, t.Any]:
    build, sizes = _MEMORY[name]
    points = [(size, _allocated(build, size)) for size in sizes]
    return {
        "name": name,
        "unit": "bytes",
        "points": points,
        "slope": round(slope(points)),
    }


def _time_row(name: str) -> dict[str, t.Any]:
    measure, sizes = _TIME[name]
    points = [
        (size, statistics.median(measure(size) for _ in range(REPEATS)) * 1e6)
        for size in sizes
    ]
    rounded = [(size, round(value, 2)) for size, value in points]
    return {"name": name, "unit": "us", "points": rounded}


@click.command()
@click.option(
    "--json", "output", type=click.File("w"), help="Write the result as JSON."
)
def scale(output: t.TextIO | None) -> None:
    """Measure memory and processor time of a shard at three sizes each."""
    rows = [_memory_row(name) for name in _MEMORY]
    rows += [_time_row(name) for name in _TIME]
    if output is not None:
        json.dump({"bench": "scale", "rows": rows}, output, indent=1)
        output.write("\n")
        return
    for row in rows:
        points = ", ".join(f"{size}: {value:g}" for size, value in row["points"])
        per_unit = f"; slope {row['slope']}" if "slope" in row else ""
        click.echo(f"{row['name']} ({row['unit']}): {points}{per_unit}")
