"""Command group of the benchmarks; each module is imported on first use."""

import importlib

import click

__all__ = ["bench"]

# Benchmark name to "module:attribute".
_BENCHMARKS: dict[str, str] = {
    "ownership": "bench_ownership:ownership",
    "placement": "bench_placement:placement",
    "policy": "bench_policy:policy",
    "run-times": "bench_run_times:run_times",
    "scale": "bench_scale:scale",
    "tickets": "bench_tickets:tickets_bench",
}


class _LazyBenchmarks(click.Group):
    """Group that imports a benchmark's module when the name is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_BENCHMARKS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        path = _BENCHMARKS.get(cmd_name)
        if path is None:
            return None
        module, attribute = path.split(":")
        return getattr(importlib.import_module(f"poplaryard.{module}"), attribute)


@click.command(cls=_LazyBenchmarks)
def bench() -> None:
    """Measure parts of the scheduler."""
