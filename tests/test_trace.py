import json

from click.testing import CliRunner

from poplaryard.cli import main


def line(time, message, **fields):
    return json.dumps({"time": time, "process": "p1", "message": message, **fields})


def test_events_of_a_job_are_printed_in_order_of_time(tmp_path):
    log = tmp_path / "entry.log"
    log.write_text(
        "\n".join(
            [
                line("10:02", "job finished", request="abc", state="failed"),
                "not json abc {",
                "prefix " + line("10:01", "run lost", task="abc.0.0.1", worker="w1"),
                line("10:00", "job stored", request="abc", queue="checks"),
                line("10:00", "job stored", request="other"),
            ]
        )
    )
    result = CliRunner().invoke(main, ["trace", "abc", str(log)])
    assert result.output.splitlines() == [
        "10:00 p1: job stored (queue checks)",
        "10:01 p1: run lost (task abc.0.0.1, worker w1)",
        "10:02 p1: job finished (state failed)",
    ]
    assert CliRunner().invoke(main, ["trace", "none", str(log)]).exit_code == 1
