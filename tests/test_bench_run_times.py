"""Tests of the benchmark of learned run times."""

from poplaryard import bench_run_times
from poplaryard.bench_run_times import STRATEGIES, rows


def test_benchmark_gives_figures_for_each_strategy_and_queue(monkeypatch):
    """Guards against a benchmark that the simulated group no longer fits."""
    monkeypatch.setattr(bench_run_times, "_DRAIN_S", 15.0)
    case = bench_run_times._Case(bench_run_times._USUAL, 0.4, 8.0)
    monkeypatch.setitem(bench_run_times._CASES, "short", case)
    found = rows(1, ["short"], repeats=2)
    kinds = ["all", *case.kinds]
    assert [(row["strategy"], row["kind"]) for row in found] == [
        (strategy, kind) for strategy in STRATEGIES for kind in kinds
    ]
    for row in found:
        assert row["jobs"] > 0
        assert 0 <= row["in_time"] <= 1
        assert 0 <= row["wait_p50_s"] <= row["wait_p99_s"]
    assert sum(row["in_time"] for row in found) > 0.5 * len(found)
