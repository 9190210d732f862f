"""Benchmark of placement: cost of a decision and packing, against three baselines."""

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

# Share of the dominant resource that is in use while decisions are timed.
CHURN_LOAD = 0.8
# Share of the cell that the packing run asks for; the bound is then the VMs that hold
# it, and a policy is judged by how many VMs it puts to use.
PACKING_LOAD = 0.6
RACK_SIZE = 5
# Jobs cancelled at once in one of the runs.
CANCELLED = 10_000
PLAIN_SHAPE = Resources(16_000, 32_768, 0)
# Shapes of section 1.3 of the design page, with the share of each in the cell.
SHAPES = (
    (0.40, PLAIN_SHAPE),
    (0.40, Resources(32_000, 131_072, 0)),
    (0.13, Resources(32_000, 65_536, 8)),
    (0.07, Resources(128_000, 262_144, 8)),
)


def _ours(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    choice = choose(task, fleet, rng)
    return choice.vm if choice else None


def _first_fit(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    for vm in fleet.vms.values():
        if task.need.fits_in(vm.free):
            return vm
    return None


def _random_feasible(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    names = list(fleet.vms.values())
    for _ in range(len(names)):
        vm = names[int(rng.random() * len(names))]
        if task.need.fits_in(vm.free):
            return vm
    return None


def _least_loaded(task: BatchTask, fleet: Fleet, rng: random.Random) -> Vm | None:
    fitting = [vm for vm in fleet.vms.values() if task.need.fits_in(vm.free)]
    return min(fitting, key=_load, default=None)


def _load(vm: Vm) -> float:
    return (vm.shape - vm.free).dominant_share(vm.shape)


BASELINES: dict[str, Chooser] = {
    "first_fit": _first_fit,
    "random_feasible": _random_feasible,
    "least_loaded": _least_loaded,
}


def _vms(count: int, shapes: t.Sequence[tuple[float, Resources]]) -> list[VmSpec]:
    counts = [round(share * count) for share, _ in shapes[1:]]
    counts.insert(0, count - sum(counts))
    found: list[VmSpec] = []
    for size, (_, shape) in zip(counts, shapes, strict=True):
        for number in range(len(found), len(found) + size):
            name, rack = f"vm{number:05d}", f"r{number // RACK_SIZE:05d}"
            found.append(VmSpec(name, "dc1", rack, "", shape))
    return found


def _cell(count: int, shapes: t.Sequence[tuple[float, Resources]]) -> Fleet:
    """Return a fleet of empty, claimed VMs."""
    fleet = Fleet()
    for spec in _vms(count, shapes):
        vm = fleet.update(spec)
        vm.claimed = True
        fleet.refresh(vm)
    return fleet


def _needs(rng: random.Random, gpus: bool) -> t.Iterator[Resources]:
    """Yield task sizes; the work comes in 40 job classes of fixed size."""
    classes = [_job_class(rng, gpus and number % 20 == 0) for number in range(40)]
    while True:
        yield rng.choice(classes)


def _job_class(rng: random.Random, gpus: bool) -> Resources:
    cpu_m = rng.choice((250, 500, 1000, 1500, 2000, 3000, 4000, 6000))
    mem_mb = int(cpu_m * rng.uniform(0.5, 4.0))
    return Resources(cpu_m, mem_mb, rng.choice((1, 2, 4)) if gpus else 0)


def _pack(chooser: Chooser, vms: int, seed: int) -> float:
    """Return the fewest VMs that could hold the work as a share of those used."""
    rng = random.Random(seed)
    fleet = _cell(vms, ((1.0, PLAIN_SHAPE),))
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
    bound = placed.dominant_share(PLAIN_SHAPE)
    return bound / max(1, sum(bool(vm.charges) for vm in fleet.vms.values()))


class _Churn:
    """Cell at a steady load in which decisions are timed."""

    def __init__(self, chooser: Chooser, vms: int, seed: int):
        self._chooser = chooser
        self._rng = random.Random(seed)
        self._picks = random.Random(seed + 1)
        self._fleet = _cell(vms, SHAPES)
        self._needs = _needs(self._rng, gpus=True)
        self._placed: list[tuple[str, str]] = []
        self._number = 0
        self._digest = hashlib.sha256()
        self.misses = 0
        self.on_gpu_vms = 0

    def fill(self) -> None:
        """Place tasks until the load is reached."""
        while self._fleet.used.dominant_share(self._fleet.total) < CHURN_LOAD:
            self._decide()

    def run(self, count: int) -> list[int]:
        """Return the time of each of `count` decisions in nanoseconds."""
        elapsed = []
        for _ in range(count):
            begun = time.perf_counter_ns()
            self._decide()
            elapsed.append(time.perf_counter_ns() - begun)
            self._release_one()
        return elapsed

    def digest(self) -> str:
        """Return a digest of all choices."""
        return self._digest.hexdigest()[:16]

    def _decide(self) -> None:
        need = next(self._needs)
        vm = self._chooser(BatchTask(need), self._fleet, self._picks)
        if vm is None:
            self.misses += 1
            return
        self._number += 1
        attempt_id = str(self._number)
        self._fleet.charge(vm, attempt_id, need)
        self._placed.append((vm.name, attempt_id))
        self._digest.update(vm.name.encode())
        self.on_gpu_vms += bool(vm.shape.gpus and not need.gpus)

    def _release_one(self) -> None:
        """End a random task while the load is above its level."""
        while self._fleet.used.dominant_share(self._fleet.total) > CHURN_LOAD:
            index = int(self._rng.random() * len(self._placed))
            self._placed[index], self._placed[-1] = (
                self._placed[-1],
                self._placed[index],
            )
            self._fleet.release(*self._placed.pop())


def _measure(chooser: Chooser, vms: int, tasks: int, seed: int) -> dict[str, t.Any]:
    churn = _Churn(chooser, vms, seed)
    churn.fill()
    begun = time.perf_counter()
    elapsed = sorted(churn.run(tasks))
    total_s = time.perf_counter() - begun
    return {
        "decisions_per_s": round(tasks / total_s),
        "p50_us": round(elapsed[len(elapsed) // 2] / 1000, 1),
        "p99_us": round(elapsed[len(elapsed) * 99 // 100] / 1000, 1),
        "packing": round(_pack(chooser, vms, seed), 4),
        "misses": churn.misses,
        "plain_tasks_on_gpu_vms": churn.on_gpu_vms,
        "digest": churn.digest(),
    }


def _measure_scheduler(vms: int, tasks: int, seed: int) -> dict[str, t.Any]:
    """Measure the whole scheduler, from a submit to the answer."""
    found = {}
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
        found[kind] = {
            "tasks_per_s": round(tasks * 1e9 / total_ns),
            "submit_p50_us": round(elapsed[len(elapsed) // 2] / 1000, 1),
            "submit_p99_us": round(elapsed[len(elapsed) * 99 // 100] / 1000, 1),
            "answered": bench.answered,
        }
    found["cancel_wave"] = _measure_wave(vms, seed)
    return found


def _measure_wave(vms: int, seed: int) -> dict[str, t.Any]:
    """Measure submits while many jobs are cancelled, running and waiting ones."""
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
    choosers = {"ours": _ours, **(BASELINES if baselines else {})}
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
