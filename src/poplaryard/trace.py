"""Command that tells what became of a job, from the collected logs."""

import json
import typing as t

import click

__all__ = ["events_of", "trace"]

# Fields of every line; the others are the inputs of the decision.
_COMMON = {"time", "level", "message", "process", "request", "ticket"}
EXIT_NOT_FOUND = 1


def events_of(request: str, lines: t.Iterable[str]) -> list[dict[str, t.Any]]:
    """Return the log lines of a job in order of time.

    Text before the JSON object of a line, such as a collector's prefix, is skipped.
    Lines that are not JSON are left out.
    """
    found = []
    for line in lines:
        if request not in line:
            continue
        try:
            event = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if event.get("request") == request or str(event.get("task", "")).startswith(
            request
        ):
            found.append(event)
    return sorted(found, key=lambda event: str(event.get("time", "")))


def _sentence(event: dict[str, t.Any]) -> str:
    inputs = ", ".join(
        f"{name} {value}" for name, value in event.items() if name not in _COMMON
    )
    told = f"{event.get('time', '?')} {event.get('process', '?')}: {event['message']}"
    return f"{told} ({inputs})" if inputs else told


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def trace(request: str, logs: tuple[t.TextIO, ...]) -> None:
    """Tell what became of the job REQUEST, from the log files LOGS (- for stdin).

    Example: poplaryard trace 10b920de4eef88dd entry-*.log
    """
    events = events_of(request, (line for log in logs for line in log))
    for event in events:
        click.echo(_sentence(event))
    if not events:
        click.echo(f"No line names {request}.", err=True)
        raise SystemExit(EXIT_NOT_FOUND)
