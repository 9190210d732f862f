"""Command `poplaryard trace`: prints the events of a job from the collected logs."""

import json
import typing as t

import click

__all__ = ["job_events", "trace"]

# Fields that every line has or that repeat the argument; the others are printed.
_COMMON = {"time", "level", "message", "process", "request", "ticket"}
EXIT_NOT_FOUND = 1


def job_events(request: str, lines: t.Iterable[str]) -> list[dict[str, t.Any]]:
    """Return the log events of a job and its tasks, sorted by time.

    Text before the JSON object of a line, such as a log collector's prefix, is skipped,
    and so are lines that are not JSON.
    """
    events = []
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
            events.append(event)
    return sorted(events, key=lambda event: str(event.get("time", "")))


def _format_event(event: dict[str, t.Any]) -> str:
    fields = ", ".join(
        f"{name} {value}" for name, value in event.items() if name not in _COMMON
    )
    text = f"{event.get('time', '?')} {event.get('process', '?')}: {event['message']}"
    return f"{text} ({fields})" if fields else text


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def trace(request: str, logs: tuple[t.TextIO, ...]) -> None:
    """Print the events of the job REQUEST from the log files LOGS (- for stdin).

    Example: poplaryard trace 10b920de4eef88dd entry-*.log
    """
    events = job_events(request, (line for log in logs for line in log))
    for event in events:
        click.echo(_format_event(event))
    if not events:
        click.echo(f"No log line mentions {request}.", err=True)
        raise SystemExit(EXIT_NOT_FOUND)
