"""Benchmarks of the scheduling policies against baselines, in virtual time."""

import importlib
import json
import typing as t

import click

from .bench_baselines import BASELINES
from .bench_figures import table

__all__ = ["policy", "run_bench"]

# Benchmark name to module; each module has a function `rows(seed)`.
_BENCHES = {
    "stragglers": "bench_stragglers",
    "crest": "bench_crest",
    "blackhole": "bench_blackhole",
    "quota": "bench_quota",
    "retries": "bench_retries",
    "cancel-wave": "bench_cancel",
}


def run_bench(name: str, seed: int) -> dict[str, t.Any]:
    """Run one benchmark and return its result, which depends only on the seed."""
    module = importlib.import_module(f"poplaryard.{_BENCHES[name]}")
    return {"bench": name, "seed": seed, "rows": module.rows(seed)}


@click.command()
@click.argument("name", type=click.Choice(list(_BENCHES)))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--json", "output", type=click.File("w"), help="Write the result as JSON."
)
@click.option("--ours", is_flag=True, help="Run without the baselines.")
@click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="MODULE.NAME=VALUE",
    help="Override a numeric constant, for example in a parameter sweep.",
)
def policy(
    name: str,
    seed: int,
    output: t.TextIO | None,
    ours: bool,
    overrides: tuple[str, ...],
) -> None:
    """Compare the scheduling policies with baselines."""
    for override in overrides:
        _override_constant(override)
    if ours:
        BASELINES.clear()
    result = run_bench(name, seed)
    if output is None:
        click.echo(table(result["rows"]))
        return
    json.dump(result, output, indent=1, sort_keys=True)
    output.write("\n")


def _override_constant(override: str) -> None:
    path, _, value = override.partition("=")
    module_name, _, constant = path.partition(".")
    module = importlib.import_module(f"poplaryard.{module_name}")
    if not isinstance(getattr(module, constant, None), int | float):
        raise click.BadParameter(f"{path} is not a numeric constant")
    setattr(module, constant, type(getattr(module, constant))(float(value)))


if __name__ == "__main__":
    policy()
