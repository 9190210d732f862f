"""Commands for operators: tickets, status, explanations and the audit trail."""

import asyncio
import datetime
import functools
import json
import pathlib
import re
import sys
import time
import typing as t
import urllib.parse

import click

from . import tickets
from .client import HttpClient, Reply
from .codes import Code
from .exceptions import CallError, PoplaryardError
from .ticket_template import KIND_NAMES, new_ticket

__all__ = ["audit", "explain", "status", "ticket"]

# Filing a ticket of 1,000 objects takes 10 s.
CALL_TIMEOUT_S = 30.0
WAIT_S = 30.0
# A filing whose outcome is unknown is repeated. This is safe, as the uid of the ticket
# stays the same.
FILE_TRIES = 4
FILE_PAUSE_S = 1.0
EXIT_REFUSED = 1
EXIT_UNKNOWN = 3

_F = t.TypeVar("_F", bound=t.Callable[..., t.Any])
_UNKNOWN_CODES = (Code.TICKET_UNKNOWN, Code.PEER_TIMEOUT, Code.INTERNAL)


class ServerClient:
    """HTTP client of one server.

    Parameters
    ----------
    address : str
        Host and port, with or without ``http://``.
    key : str
        Key sent with each request.
    """

    def __init__(self, address: str, key: str):
        self._url = f"http://{address.removeprefix('http://').rstrip('/')}"
        self._key = key

    def call(
        self, method: str, path: str, data: bytes | None = None, **query: t.Any
    ) -> Reply:
        """Return the reply to a request; empty query fields are left out.

        Raises
        ------
        PoplaryardError
            If there is no reply.
        """
        params = {key: value for key, value in query.items() if value}
        url = f"{self._url}{path}"
        url += f"?{urllib.parse.urlencode(params)}" if params else ""
        timeout_s = CALL_TIMEOUT_S + float(query.get("timeout_s") or 0)
        return asyncio.run(self._call(method, url, data, timeout_s))

    async def _call(
        self, method: str, url: str, data: bytes | None, timeout_s: float
    ) -> Reply:
        client = HttpClient(1, self._key)
        try:
            return await client.request(method, url, data, timeout_s)
        finally:
            await client.close()

    def get_or_exit(self, path: str, **query: t.Any) -> t.Any:
        """Return the body of a successful reply to a GET; see `request_or_exit`."""
        return self.request_or_exit("GET", path, None, **query)

    def request_or_exit(
        self, method: str, path: str, data: bytes | None, **query: t.Any
    ) -> t.Any:
        """Return the body of a successful reply; exit with a message otherwise."""
        try:
            reply = self.call(method, path, data, **query)
        except PoplaryardError as exc:
            exit_with(f"The server does not answer: {exc.detail}", EXIT_UNKNOWN)
        if reply.status != 200:
            exit_with(_message(reply), EXIT_REFUSED)
        return reply.body


def exit_with(message: str, code: int) -> t.NoReturn:
    """Print a message to standard error and exit with a code."""
    click.echo(message, err=True)
    sys.exit(code)


def _message(reply: Reply) -> str:
    if isinstance(reply.body, dict) and "message" in reply.body:
        return str(reply.body["message"])
    return f"The server answered with status {reply.status}."


def _code(reply: Reply) -> int | None:
    return reply.body.get("code") if isinstance(reply.body, dict) else None


def _read_key(path: str) -> str:
    try:
        return pathlib.Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as exc:
        exit_with(f"The key file {path} cannot be read: {exc}.", EXIT_REFUSED)


def with_server(command: _F) -> _F:
    """Add the options for the server and the key to a command.

    The command receives a `ServerClient` as its first argument.
    """

    @click.option(
        "--server",
        envvar="POPLARYARD_SERVER",
        default="127.0.0.1:8080",
        show_default=True,
        help="Address and port of a server.",
    )
    @click.option(
        "--key-file",
        envvar="POPLARYARD_KEY_FILE",
        type=click.Path(),
        required=True,
        help="File that holds the key.",
    )
    @functools.wraps(command)
    def wrapped(server: str, key_file: str, **fields: t.Any) -> t.Any:
        return command(ServerClient(server, _read_key(key_file)), **fields)

    return t.cast(_F, wrapped)


_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def _print_result(value: t.Any, as_json: bool, lines: t.Iterable[str]) -> None:
    if as_json:
        click.echo(json.dumps(value, indent=2))
    else:
        for line in lines:
            click.echo(line)


def _format_time(wall: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


@click.group()
def ticket() -> None:
    """Change the configuration by numbered tickets."""


@ticket.command()
@click.argument("kind", type=click.Choice(KIND_NAMES))
@click.argument("name", default="policy")
@click.option("--author", envvar="USER", default="unknown", help="Your name.")
@with_server
def new(server: ServerClient, kind: str, name: str, author: str) -> None:
    """Print a ticket to fill in, with the object as it is in force, if it exists."""
    path = f"/v1/objects/{kind}/{urllib.parse.quote(name, safe='')}"
    try:
        reply = server.call("GET", path)
    except PoplaryardError as exc:
        exit_with(f"The server does not answer: {exc.detail}", EXIT_UNKNOWN)
    if reply.status not in (200, Code.NOT_FOUND.status):
        exit_with(_message(reply), EXIT_REFUSED)
    body = reply.body if reply.status == 200 else {}
    object_and_number = body.get("object"), body.get("number")
    click.echo(
        new_ticket(kind, name, author, *object_and_number, time.time()), nl=False
    )


@ticket.command()
@click.argument("file", type=click.File("rb"))
@_as_json
@with_server
def check(server: ServerClient, file: t.BinaryIO, as_json: bool) -> None:
    """Print what a ticket would change, without filing it."""
    found = server.request_or_exit("POST", "/v1/tickets/check", _read_ticket(file))
    _print_result(found, as_json, _check_lines(found))
    if found["errors"]:
        sys.exit(EXIT_REFUSED)


def _check_lines(found: t.Mapping[str, t.Any]) -> t.Iterator[str]:
    yield f"Compared with ticket {found['number']}, which is in force:"
    yield from (f"  {line}" for line in found["changes"])
    yield from (f"Refused: {line}" for line in found["errors"])
    yield from (f"Warning: {line}" for line in found["warnings"])
    if not found["errors"]:
        yield "The ticket can be filed."


def _read_ticket(file: t.BinaryIO) -> bytes:
    """Return the text of a ticket; exit with a message if it is invalid."""
    data = file.read()
    try:
        tickets.parse(data)
    except CallError as exc:
        exit_with(exc.detail, EXIT_REFUSED)
    return data


@ticket.command()
@click.argument("file", type=click.File("rb"))
@click.option("--wait", "waits", is_flag=True, help="Wait until it is in force.")
@_as_json
@with_server
def file(server: ServerClient, file: t.BinaryIO, waits: bool, as_json: bool) -> None:
    """File a ticket."""
    reply = _file_until_known(server, _read_ticket(file))
    if reply.status != 200:
        _print_result(reply.body, as_json, ())
        unknown = _code(reply) in _UNKNOWN_CODES
        exit_with(_message(reply), EXIT_UNKNOWN if unknown else EXIT_REFUSED)
    _print_result(reply.body, as_json, [_message(reply)])
    if waits:
        _wait_in_force(server, reply.body["number"], WAIT_S, as_json)


def _file_until_known(server: ServerClient, data: bytes) -> Reply:
    """File a ticket until the outcome is known or `FILE_TRIES` is reached.

    A repeat is safe, since the server recognizes the ticket by its uid.
    """
    for remaining_tries in reversed(range(FILE_TRIES)):
        try:
            reply = server.call("POST", "/v1/tickets", data)
            if remaining_tries == 0 or _code(reply) not in _UNKNOWN_CODES:
                return reply
        except PoplaryardError as exc:
            if exc.code is Code.PEER_UNREACHABLE:
                exit_with(f"Not filed. {exc.detail}", EXIT_REFUSED)
            if remaining_tries == 0:
                detail = "File the same ticket again to learn whether it was accepted."
                exit_with(f"The server does not answer. {detail}", EXIT_UNKNOWN)
        time.sleep(FILE_PAUSE_S)
    raise AssertionError("unreachable")


@ticket.command()
@click.argument("number", type=int)
@click.option("--timeout", default=WAIT_S, help="Seconds to wait.")
@_as_json
@with_server
def wait(server: ServerClient, number: int, timeout: float, as_json: bool) -> None:
    """Wait until a ticket is in force in every process."""
    _wait_in_force(server, number, timeout, as_json)


def _wait_in_force(
    server: ServerClient, number: int, timeout_s: float, as_json: bool
) -> None:
    found = server.get_or_exit(f"/v1/tickets/{number}/wait", timeout_s=timeout_s)
    if found["in_force"]:
        _print_result(found, as_json, [f"Ticket {number} is in force everywhere."])
        return
    missing = ", ".join(found["missing"])
    _print_result(
        found, as_json, [f"Ticket {number} is not yet in force at {missing}."]
    )
    sys.exit(EXIT_REFUSED)


@ticket.command()
@click.argument("number", type=int)
@_as_json
@with_server
def show(server: ServerClient, number: int, as_json: bool) -> None:
    """Print one accepted ticket."""
    found = server.get_or_exit(f"/v1/tickets/{number}")
    text = json.dumps(found["ticket"], indent=2) if found["ticket"] else ""
    missing = ", ".join(found["missing"])
    lines = [
        f"Ticket {number} of {found['author']}, accepted {_format_time(found['at'])}.",
        f"It is not yet in force at {missing}."
        if missing
        else "It is in force everywhere.",
        text or "Its text is older than 30 days and no longer kept.",
    ]
    _print_result(found, as_json, lines)


@ticket.command(name="list")
@click.option("--limit", default=20, help="Number of tickets, at most 256.")
@_as_json
@with_server
def list_(server: ServerClient, limit: int, as_json: bool) -> None:
    """Print the last tickets."""
    found = server.get_or_exit("/v1/tickets", limit=limit)
    _print_result(found, as_json, map(_ticket_line, found["tickets"]))


def _ticket_line(item: t.Mapping[str, t.Any]) -> str:
    rest = item["count"] - len(item["keys"])
    keys = ", ".join(item["keys"]) + (f" and {rest} more" if rest else "")
    note = f"  ({item['note']})" if item["note"] else ""
    at = _format_time(item["at"])
    return f"{item['number']:>6}  {at}  {item['author']}  {keys}{note}"


@ticket.command()
@click.argument("source")
@_as_json
@with_server
def diff(server: ServerClient, source: str, as_json: bool) -> None:
    """Compare a ticket, by file or number, with the configuration in force."""
    if source.isdecimal():
        accepted = server.get_or_exit(f"/v1/tickets/{source}")["ticket"]
        if accepted is None:
            exit_with("The text of this ticket is no longer kept.", EXIT_REFUSED)
        # The base is left out, as a comparison does not depend on the order of tickets.
        data = json.dumps({**accepted, "based_on": None}).encode()
    else:
        with click.open_file(source, "rb") as file:
            data = _read_ticket(t.cast(t.BinaryIO, file))
    changes = server.request_or_exit("POST", "/v1/tickets/check", data)["changes"]
    _print_result(changes, as_json, changes)


@click.command()
@_as_json
@with_server
def status(server: ServerClient, as_json: bool) -> None:
    """Print what is in force, what is wrong and what can be done."""
    found = server.get_or_exit("/v1/status")
    _print_result(found, as_json, [found["text"]])


@click.command()
@click.argument("request_id")
@_as_json
@with_server
def explain(server: ServerClient, request_id: str, as_json: bool) -> None:
    """Print the state of a request; needs a caller's key."""
    found = server.get_or_exit(f"/v1/explain/{urllib.parse.quote(request_id, safe='')}")
    _print_result(found, as_json, [found["explanation"]])


@click.command()
@click.option("--since", default="1h", help='Such as "30min", "2h" or "2026-12-04".')
@click.option("--ticket", "number", default=0, help="Number of a ticket.")
@click.option("--vm", default="", help="Name of a VM.")
@click.option("--job", default="", help="Id of a request.")
@click.option("--limit", default=1000, help="Maximum number of events.")
@_as_json
@with_server
def audit(
    server: ServerClient,
    since: str,
    number: int,
    vm: str,
    job: str,
    limit: int,
    as_json: bool,
) -> None:
    """Print audit events, oldest first."""
    earliest = f"{_parse_since(since, time.time()):.3f}"
    found = server.get_or_exit(
        "/v1/audit", since=earliest, ticket=number, vm=vm, job=job, limit=limit
    )
    _print_result(found, as_json, map(_event_line, found["events"]))


_UNIT_SECONDS = {"s": 1, "min": 60, "h": 3600, "d": 86_400}


def _parse_since(text: str, wall: float) -> float:
    """Return the time of an age or a date, in seconds since the Unix epoch."""
    match = re.fullmatch(r"([0-9]{1,9}) ?(s|min|h|d)", text.strip())
    if match:
        return max(0.0, wall - int(match[1]) * _UNIT_SECONDS[match[2]])
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise click.UsageError(f'"{text}" is neither an age nor a date.') from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return max(0.0, moment.timestamp())


def _event_line(event: t.Mapping[str, t.Any]) -> str:
    parts = [_format_time(event["at"]), event["action"]]
    for name, label in (("ticket", "ticket"), ("vm", "VM"), ("request_id", "job")):
        if event[name]:
            parts.append(f"{label} {event[name]}")
    if event["cause"]:
        parts.append(event["cause"])
    return "  ".join(parts)
