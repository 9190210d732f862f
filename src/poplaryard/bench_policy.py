"""Bench of the policy objects against baselines, under virtual time."""

import importlib
import json
import typing as t

import click

from .bench_baselines import BASELINES
from .bench_figures import table

__all__ = ["policy", "run_bench"]

# Bench name to module; each has `rows(seed)`.
_BENCHES = {
    "stragglers": "bench_stragglers",
    "crest": "bench_crest",
    "blackhole": "bench_blackhole",
    "quota": "bench_quota",
    "retries": "bench_retries",
    "cancel-wave": "bench_cancel",
}


def run_bench(name: str, seed: int) -> dict[str, t.Any]:
    """Run one bench and return its result; the same seed gives the same result."""
    module = importlib.import_module(f"poplaryard.{_BENCHES[name]}")
    return {"bench": name, "seed": seed, "rows": module.rows(seed)}


@click.command()
@click.argument("name", type=click.Choice(list(_BENCHES)))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--json", "output", type=click.File("w"), help="Write the result as JSON."
)
@click.option("--ours", is_flag=True, help="Leave the baselines out, for a sweep.")
@click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="MODULE.NAME=VALUE",
    help="Replace a numeric constant for a sweep.",
)
def policy(
    name: str,
    seed: int,
    output: t.TextIO | None,
    ours: bool,
    overrides: tuple[str, ...],
) -> None:
    """Compare the policy objects with baselines."""
    for override in overrides:
        _replace(override)
    if ours:
        BASELINES.clear()
    result = run_bench(name, seed)
    if output is None:
        click.echo(table(result["rows"]))
        return
    json.dump(result, output, indent=1, sort_keys=True)
    output.write("\n")


def _replace(override: str) -> None:
    path, _, value = override.partition("=")
    module_name, _, constant = path.partition(".")
    module = importlib.import_module(f"poplaryard.{module_name}")
    if not isinstance(getattr(module, constant, None), int | float):
        raise click.BadParameter(f"{path} is not a numeric constant")
    setattr(module, constant, type(getattr(module, constant))(float(value)))


if __name__ == "__main__":
    policy()
