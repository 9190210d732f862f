import json

from click.testing import CliRunner

from poplaryard.cli import main


def run_bench(*args):
    result = CliRunner().invoke(main, ["bench", "placement", "--vms", "20", *args])
    assert result.exit_code == 0, result.output
    return json.loads(result.output)


def test_same_seed_makes_the_same_choices():
    """Guards against choices that depend on more than the seed."""
    results = [run_bench("--tasks", "200", "--seed", "7") for _ in range(2)]
    for name in ("ours", "first_fit", "random_feasible", "least_loaded"):
        first, second = (result[name] for result in results)
        assert first["digest"] == second["digest"]
        assert first["packing"] == second["packing"]
