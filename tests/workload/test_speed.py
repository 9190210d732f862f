"""Workers of unlike speed."""

from tests.workload.builders import job, step, worker_info
from tests.workload.fakes import Cell


def taught_cell(factors, **fields):
    """Return a group that has run many steps on workers of these run time factors."""
    cell = Cell(workers=0)
    for number, factor in enumerate(factors):
        cell.add_worker(worker_info(number, **fields))
        cell.sims[f"w{number}"].slowness = factor
    for number in range(30):
        spread = step(len(factors), max_per_worker=1, estimate_s=0.4)
        cell.submit(job(f"{number:016x}", spread))
        cell.run(1.0)
    return cell


def used(cell, job_id):
    return {worker for worker, task, _ in cell.starts() if task.startswith(job_id)}


def test_tight_jobs_take_the_fast_workers_and_loose_ones_the_slow():
    """Pattern: machines of several generations under jobs with unlike objectives."""
    cell = taught_cell([0.8, 1.25, 1.0, 1.25])
    cell.submit(job("e" * 16, step(2, cpu=500), stretch=1.5))
    cell.submit(job("f" * 16, step(2, cpu=500), stretch=4.0))
    cell.step()
    assert used(cell, "e" * 16) == {"w0"}
    assert used(cell, "f" * 16) <= {"w1", "w3"}


def test_wrong_estimates_do_not_count_as_slow_workers():
    """Guards against speeds learned from estimates, which are off by half."""
    cell = Cell(workers=2)
    for number in range(30):
        wrong = step(2, max_per_worker=1, estimate_s=0.2 if number % 2 else 0.6)
        cell.submit(job(f"{number:016x}", wrong))
        cell.run(0.8)
    slowness = [worker.slowness for worker in cell.partition.workers.values()]
    assert max(map(abs, slowness)) < 0.1


def test_worker_that_turned_slow_is_avoided_within_a_few_runs():
    cell = taught_cell([1.0, 1.0])
    cell.sims["w0"].slowness = 6.0
    for number in range(100, 106):
        spread = step(2, max_per_worker=1, estimate_s=0.4)
        cell.submit(job(f"{number:016x}", spread))
        cell.run(3.0)
    cell.submit(job("e" * 16, step(2, cpu=500), stretch=1.5))
    cell.step()
    assert used(cell, "e" * 16) == {"w1"}
