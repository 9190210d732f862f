"""Placement benchmark: decision time and packing, compared with three baselines."""

import hashlib
import itertools
import json
import random
import sys
import time
import typing as t

import click

from .bench_scheduler import SchedulerBench
from .configuration import VmSpec
from .fleet import Fleet, Vm
from .placement import BatchTask, choose
from .resources import ZERO, Resources

__all__ = ["placement"]

Chooser: t.TypeAlias = t.Callable[[BatchTask, Fleet, random.Random], Vm | None]

# Used share of the dominant resource while decisions are timed.
CHURN_LOAD = 0.8
# Share of the cell's capacity that the packing run places. A chooser is judged by how
# many VMs it uses, compared with the lower bound for that work.
PACKING_LOAD = 0.6
RACK_SIZE = 5
# Number of jobs cancelled in the run `cancel_wave`.
CANCELLED = 10_000
PLAIN_SHAPE = Resources(16_000, 32_768, 0)
# Shapes of section 1.3 of the design page, with the share of each in the cell.
SHAPES = (
    (0.40, PLAIN_SHAPE),
    (0.40, Resources(32_000, 131_072, 0)),
    (0.13, Resources(32_000, 65_536, 8)),
    (0.07, Resources(128_000, 262_144, 8)),
)


def _scheduler_choice(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    choice = choose(task, fleet, rng)
    return choice.vm if choice else None


def _first_fit(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    for vm in fleet.vms.values():
        if task.need.fits_in(vm.free):
            return vm
    return None


def _random_feasible(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    vms = list(fleet.vms.values())
    for _ in range(len(vms)):
        vm = vms[int(rng.random() * len(vms))]
        if task.need.fits_in(vm.free):
            return vm
    return None


def _least_loaded(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    fitting = [vm for vm in fleet.vms.values() if task.need.fits_in(vm.free)]
    return min(fitting, key=_used_share, default=None)


def _used_share(vm: Vm) -> float:
    return (vm.shape - vm.free).dominant_share(vm.shape)


BASELINES: dict[str, Chooser] = {
    "first_fit": _first_fit,
    "random_feasible": _random_feasible,
    "least_loaded": _least_loaded,
}


def _vms(count: int, shapes: t.Sequence[tuple[float, Resources]]) -> list[VmSpec]:
    counts = [round(share * count) for share, _ in shapes[1:]]
    counts.insert(0, count - sum(counts))
    specs: list[VmSpec] = []
    for size, (_, shape) in zip(counts, shapes, strict=True):
        for number in range(len(specs), len(specs) + size):
            name, rack = f"vm{number:05d}", f"r{number // RACK_SIZE:05d}"
            specs.append(VmSpec(name, "dc1", rack, "", shape))
    return specs


def _build_fleet(count: int, shapes: t.Sequence[tuple[float, Resources]]) -> Fleet:
    """Return a fleet of idle, claimed VMs."""
    fleet = Fleet()
    for spec in _vms(count, shapes):
        vm = fleet.update(spec)
        vm.claimed = True
        fleet.refresh(vm)
    return fleet


def _needs(rng: random.Random, gpus: bool) -> t.Iterator[Resources]:
    """Yield task sizes, each that of a random one of 40 job classes."""
    classes = [_job_class(rng, gpus and number % 20 == 0) for number in range(40)]
    while True:
        yield rng.choice(classes)


def _job_class(rng: random.Random, gpus: bool) -> Resources:
    cpu_m = rng.choice((250, 500, 1000, 1500, 2000, 3000, 4000, 6000))
    mem_mb = int(cpu_m * rng.uniform(0.5, 4.0))
    return Resources(cpu_m, mem_mb, rng.choice((1, 2, 4)) if gpus else 0)


def _measure_packing(chooser: Chooser, vms: int, seed: int) -> float:
    """Return the lower bound on the number of VMs needed, divided by the VMs used."""
    rng = random.Random(seed)
    fleet = _build_fleet(vms, ((1.0, PLAIN_SHAPE),))
    limit = PLAIN_SHAPE.times(int(vms * PACKING_LOAD))
    placed = ZERO
    for number, need in enumerate(_needs(rng, gpus=False)):
        if not (placed + need).fits_in(limit):
            break
        vm = chooser(BatchTask(need), fleet, rng)
        if vm is None:
            break
        fleet.charge(vm, str(number), need)
        placed += need
    lower_bound = placed.dominant_share(PLAIN_SHAPE)
    return lower_bound / max(1, sum(bool(vm.charges) for vm in fleet.vms.values()))


class _Churn:
    """Fleet under a steady load, on which placement decisions are timed.

    The chooser has its own random generator, so that its draws do not change the
    workload.

    Attributes
    ----------
    misses : int
        Number of tasks for which no VM was found.
    on_gpu_vms : int
        Number of tasks without GPUs that were placed on GPU VMs.
    """

    def __init__(self, chooser: Chooser, vms: int, seed: int):
        self._chooser = chooser
        self._workload_rng = random.Random(seed)
        self._chooser_rng = random.Random(seed + 1)
        self._fleet = _build_fleet(vms, SHAPES)
        self._needs = _needs(self._workload_rng, gpus=True)
        self._placed: list[tuple[str, str]] = []
        self._number = 0
        self._digest = hashlib.sha256()
        self.misses = 0
        self.on_gpu_vms = 0

    def fill(self) -> None:
        """Place tasks until CHURN_LOAD is reached."""
        while self._fleet.used.dominant_share(self._fleet.total) < CHURN_LOAD:
            self._decide()

    def run(self, count: int) -> list[int]:
        """Make `count` decisions and return the time of each in nanoseconds."""
        elapsed = []
        for _ in range(count):
            started = time.perf_counter_ns()
            self._decide()
            elapsed.append(time.perf_counter_ns() - started)
            self._release_excess()
        return elapsed

    def digest(self) -> str:
        """Return a digest of the chosen VMs in order."""
        return self._digest.hexdigest()[:16]

    def _decide(self) -> None:
        need = next(self._needs)
        vm = self._chooser(BatchTask(need), self._fleet, self._chooser_rng)
        if vm is None:
            self.misses += 1
            return
        self._number += 1
        attempt_id = str(self._number)
        self._fleet.charge(vm, attempt_id, need)
        self._placed.append((vm.name, attempt_id))
        self._digest.update(vm.name.encode())
        self.on_gpu_vms += bool(vm.shape.gpus and not need.gpus)

    def _release_excess(self) -> None:
        """End random tasks until the load is at most CHURN_LOAD."""
        while self._fleet.used.dominant_share(self._fleet.total) > CHURN_LOAD:
            index = int(self._workload_rng.random() * len(self._placed))
            self._placed[index], self._placed[-1] = (
                self._placed[-1],
                self._placed[index],
            )
            self._fleet.release(*self._placed.pop())


def _measure(chooser: Chooser, vms: int, tasks: int, seed: int) -> dict[str, t.Any]:
    churn = _Churn(chooser, vms, seed)
    churn.fill()
    started = time.perf_counter()
    elapsed = sorted(churn.run(tasks))
    total_s = time.perf_counter() - started
    return {
        "decisions_per_s": round(tasks / total_s),
        "p50_us": round(elapsed[len(elapsed) // 2] / 1000, 1),
        "p99_us": round(elapsed[len(elapsed) * 99 // 100] / 1000, 1),
        "packing": round(_measure_packing(chooser, vms, seed), 4),
        "misses": churn.misses,
        "plain_tasks_on_gpu_vms": churn.on_gpu_vms,
        "digest": churn.digest(),
    }


def _measure_scheduler(vms: int, tasks: int, seed: int) -> dict[str, t.Any]:
    """Measure the whole scheduler, from submit to answer."""
    results = {}
    rng = random.Random(seed)
    for kind in ("batch", "request"):
        bench = SchedulerBench(_vms(vms, SHAPES), 4 * vms, seed)
        if kind == "batch":
            needs = itertools.islice(_needs(rng, gpus=True), tasks)
            bench.run(bench.batch_work(needs))
        else:
            bench.run(bench.request_work(tasks))
        total_ns = sum(bench.submit_ns) + bench.other_ns
        elapsed = sorted(bench.submit_ns)
        results[kind] = {
            "tasks_per_s": round(tasks * 1e9 / total_ns),
            "submit_p50_us": round(elapsed[len(elapsed) // 2] / 1000, 1),
            "submit_p99_us": round(elapsed[len(elapsed) * 99 // 100] / 1000, 1),
            "answered": bench.answered,
        }
    results["cancel_wave"] = _measure_cancel_wave(vms, seed)
    return results


def _measure_cancel_wave(vms: int, seed: int) -> dict[str, t.Any]:
    """Measure submits while many running and waiting jobs are cancelled."""
    bench = SchedulerBench(_vms(vms, SHAPES), 10 * CANCELLED, seed)
    elapsed = sorted(bench.cancel_wave(CANCELLED))
    return {
        "cancelled": CANCELLED,
        "submit_p50_us": round(elapsed[len(elapsed) // 2] / 1000, 1),
        "submit_p99_us": round(elapsed[len(elapsed) * 99 // 100] / 1000, 1),
        "submit_max_us": round(elapsed[-1] / 1000, 1),
    }


@click.command()
@click.option("--vms", default=1300, show_default=True, help="VMs of the cell.")
@click.option("--tasks", default=20_000, show_default=True, help="Timed decisions.")
@click.option("--seed", default=1, show_default=True, help="Seed of the input.")
@click.option("--json", "output", default="-", show_default=True, help="Result file.")
@click.option(
    "--baselines/--no-baselines",
    default=True,
    show_default=True,
    help="Also run the baselines, whose cost grows with the number of VMs.",
)
def placement(vms: int, tasks: int, seed: int, output: str, baselines: bool) -> None:
    """Measure decisions per second, their latency, and packing."""
    choosers = {"ours": _scheduler_choice, **(BASELINES if baselines else {})}
    result: dict[str, t.Any] = {"vms": vms, "tasks": tasks, "seed": seed}
    for name, chooser in choosers.items():
        result[name] = _measure(chooser, vms, tasks, seed)
    result["scheduler"] = _measure_scheduler(vms, tasks, seed)
    text = json.dumps(result, indent=2, allow_nan=False) + "\n"
    if output == "-":
        sys.stdout.write(text)
        return
    with open(output, "w", encoding="utf-8") as file:
        file.write(text)
