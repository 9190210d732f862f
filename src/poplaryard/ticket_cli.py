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

# A ticket of 1,000 objects is written over 10 s.
CALL_TIMEOUT_S = 30.0
WAIT_S = 30.0
# A filing whose outcome is unknown is repeated with the same uid, which is safe.
FILE_TRIES = 4
FILE_PAUSE_S = 1.0
EXIT_REFUSED = 1
EXIT_UNKNOWN = 3

_F = t.TypeVar("_F", bound=t.Callable[..., t.Any])
_UNKNOWN = (Code.TICKET_UNKNOWN, Code.PEER_TIMEOUT, Code.INTERNAL)


class Server:
    """Calls one entry process over HTTP."""

    def __init__(self, address: str, key: str):
        self._url = f"http://{address.removeprefix('http://').rstrip('/')}"
        self._key = key

    def call(
        self, method: str, path: str, data: bytes | None = None, **query: t.Any
    ) -> Reply:
        """Return the reply; raises `PoplaryardError` if there is none."""
        given = {key: value for key, value in query.items() if value}
        url = f"{self._url}{path}"
        url += f"?{urllib.parse.urlencode(given)}" if given else ""
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

    def get(self, path: str, **query: t.Any) -> t.Any:
        """Return the body of a successful answer; ends the command otherwise."""
        return self.body("GET", path, None, **query)

    def body(self, method: str, path: str, data: bytes | None, **query: t.Any) -> t.Any:
        """Return the body of a successful answer; ends the command otherwise."""
        try:
            reply = self.call(method, path, data, **query)
        except PoplaryardError as exc:
            fail(f"The server does not answer: {exc.detail}", EXIT_UNKNOWN)
        if reply.status != 200:
            fail(_message(reply), EXIT_REFUSED)
        return reply.body


def fail(message: str, code: int) -> t.NoReturn:
    """End the command with a message and an exit code."""
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
        fail(f"The key file {path} cannot be read: {exc}.", EXIT_REFUSED)


def with_server(command: _F) -> _F:
    """Add the options that name the server and the key to a command."""

    @click.option(
        "--server",
        envvar="POPLARYARD_SERVER",
        default="127.0.0.1:8080",
        show_default=True,
        help="Address and port of an entry VM.",
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
        return command(Server(server, _read_key(key_file)), **fields)

    return t.cast(_F, wrapped)


_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def _show(value: t.Any, as_json: bool, lines: t.Iterable[str]) -> None:
    if as_json:
        click.echo(json.dumps(value, indent=2))
    else:
        for line in lines:
            click.echo(line)


def _moment(wall: float) -> str:
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
def new(server: Server, kind: str, name: str, author: str) -> None:
    """Print a ticket to fill in, with the object's present state if there is one."""
    path = f"/v1/objects/{kind}/{urllib.parse.quote(name, safe='')}"
    try:
        reply = server.call("GET", path)
    except PoplaryardError as exc:
        fail(f"The server does not answer: {exc.detail}", EXIT_UNKNOWN)
    if reply.status not in (200, Code.NOT_FOUND.status):
        fail(_message(reply), EXIT_REFUSED)
    held = reply.body if reply.status == 200 else {}
    found = held.get("object"), held.get("number")
    click.echo(new_ticket(kind, name, author, *found, time.time()), nl=False)


@ticket.command()
@click.argument("file", type=click.File("rb"))
@_as_json
@with_server
def check(server: Server, file: t.BinaryIO, as_json: bool) -> None:
    """Tell what a ticket would do; changes nothing."""
    found = server.body("POST", "/v1/tickets/check", _read(file))
    _show(found, as_json, _check_lines(found))
    if found["errors"]:
        sys.exit(EXIT_REFUSED)


def _check_lines(found: t.Mapping[str, t.Any]) -> t.Iterator[str]:
    yield f"Compared with ticket {found['number']}, which is in force:"
    yield from (f"  {line}" for line in found["changes"])
    yield from (f"Refused: {line}" for line in found["errors"])
    yield from (f"Warning: {line}" for line in found["warnings"])
    if not found["errors"]:
        yield "The ticket can be filed."


def _read(file: t.BinaryIO) -> bytes:
    """Return the text of a ticket; faults are told without asking a server."""
    data = file.read()
    try:
        tickets.parse(data)
    except CallError as exc:
        fail(exc.detail, EXIT_REFUSED)
    return data


@ticket.command()
@click.argument("file", type=click.File("rb"))
@click.option("--wait", "waits", is_flag=True, help="Wait until it is in force.")
@_as_json
@with_server
def file(server: Server, file: t.BinaryIO, waits: bool, as_json: bool) -> None:
    """File a ticket."""
    reply = _file(server, _read(file))
    if reply.status != 200:
        _show(reply.body, as_json, ())
        unknown = _code(reply) in _UNKNOWN
        fail(_message(reply), EXIT_UNKNOWN if unknown else EXIT_REFUSED)
    _show(reply.body, as_json, [_message(reply)])
    if waits:
        _wait(server, reply.body["number"], WAIT_S, as_json)


def _file(server: Server, data: bytes) -> Reply:
    """File until the outcome is known; the uid makes each repeat the same ticket."""
    for left in reversed(range(FILE_TRIES)):
        try:
            reply = server.call("POST", "/v1/tickets", data)
            if left == 0 or _code(reply) not in _UNKNOWN:
                return reply
        except PoplaryardError as exc:
            if exc.code is Code.PEER_UNREACHABLE:
                fail(f"Not filed. {exc.detail}", EXIT_REFUSED)
            if left == 0:
                detail = "File the same ticket again to learn whether it was accepted."
                fail(f"The server does not answer. {detail}", EXIT_UNKNOWN)
        time.sleep(FILE_PAUSE_S)
    raise AssertionError("unreachable")


@ticket.command()
@click.argument("number", type=int)
@click.option("--timeout", default=WAIT_S, help="Seconds to wait.")
@_as_json
@with_server
def wait(server: Server, number: int, timeout: float, as_json: bool) -> None:
    """Wait until a ticket is in force in every process."""
    _wait(server, number, timeout, as_json)


def _wait(server: Server, number: int, timeout_s: float, as_json: bool) -> None:
    found = server.get(f"/v1/tickets/{number}/wait", timeout_s=timeout_s)
    if found["in_force"]:
        _show(found, as_json, [f"Ticket {number} is in force everywhere."])
        return
    missing = ", ".join(found["missing"])
    _show(found, as_json, [f"Ticket {number} is not yet in force at {missing}."])
    sys.exit(EXIT_REFUSED)


@ticket.command()
@click.argument("number", type=int)
@_as_json
@with_server
def show(server: Server, number: int, as_json: bool) -> None:
    """Print one accepted ticket."""
    found = server.get(f"/v1/tickets/{number}")
    text = json.dumps(found["ticket"], indent=2) if found["ticket"] else ""
    force = ", ".join(found["missing"])
    lines = [
        f"Ticket {number} of {found['author']}, accepted {_moment(found['at'])}.",
        f"It is not yet in force at {force}."
        if force
        else "It is in force everywhere.",
        text or "Its text is older than 30 days and no longer kept.",
    ]
    _show(found, as_json, lines)


@ticket.command(name="list")
@click.option("--limit", default=20, help="Number of tickets, at most 256.")
@_as_json
@with_server
def list_(server: Server, limit: int, as_json: bool) -> None:
    """Print the last tickets."""
    found = server.get("/v1/tickets", limit=limit)
    _show(found, as_json, map(_ticket_line, found["tickets"]))


def _ticket_line(item: t.Mapping[str, t.Any]) -> str:
    rest = item["count"] - len(item["keys"])
    keys = ", ".join(item["keys"]) + (f" and {rest} more" if rest else "")
    note = f"  ({item['note']})" if item["note"] else ""
    at = _moment(item["at"])
    return f"{item['number']:>6}  {at}  {item['author']}  {keys}{note}"


@ticket.command()
@click.argument("source")
@_as_json
@with_server
def diff(server: Server, source: str, as_json: bool) -> None:
    """Compare a ticket, by file or number, with the configuration in force."""
    if source.isdecimal():
        held = server.get(f"/v1/tickets/{source}")["ticket"]
        if held is None:
            fail("The text of this ticket is no longer kept.", EXIT_REFUSED)
        # The base is left out: the question is the difference, not the order.
        data = json.dumps({**held, "based_on": None}).encode()
    else:
        with click.open_file(source, "rb") as file:
            data = _read(t.cast(t.BinaryIO, file))
    changes = server.body("POST", "/v1/tickets/check", data)["changes"]
    _show(changes, as_json, changes)


@click.command()
@_as_json
@with_server
def status(server: Server, as_json: bool) -> None:
    """Tell what is in force, what is wrong, and what can be done."""
    found = server.get("/v1/status")
    _show(found, as_json, [found["text"]])


@click.command()
@click.argument("request_id")
@_as_json
@with_server
def explain(server: Server, request_id: str, as_json: bool) -> None:
    """Tell where a request stands; needs a caller's key."""
    found = server.get(f"/v1/explain/{urllib.parse.quote(request_id, safe='')}")
    _show(found, as_json, [found["explanation"]])


@click.command()
@click.option("--since", default="1h", help='Such as "30min", "2h" or "2026-12-04".')
@click.option("--ticket", "number", default=0, help="Number of a ticket.")
@click.option("--vm", default="", help="Name of a VM.")
@click.option("--job", default="", help="Id of a request.")
@click.option("--limit", default=1000, help="Most events to print.")
@_as_json
@with_server
def audit(
    server: Server,
    since: str,
    number: int,
    vm: str,
    job: str,
    limit: int,
    as_json: bool,
) -> None:
    """Print what happened."""
    start = f"{_start(since, time.time()):.3f}"
    found = server.get(
        "/v1/audit", since=start, ticket=number, vm=vm, job=job, limit=limit
    )
    _show(found, as_json, map(_event_line, found["events"]))


_AGES = {"s": 1, "min": 60, "h": 3600, "d": 86_400}


def _start(text: str, wall: float) -> float:
    """Return the wall-clock time that an age or a date means."""
    match = re.fullmatch(r"([0-9]{1,9}) ?(s|min|h|d)", text.strip())
    if match:
        return max(0.0, wall - int(match[1]) * _AGES[match[2]])
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise click.UsageError(f'"{text}" is neither an age nor a date.') from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return max(0.0, moment.timestamp())


def _event_line(event: t.Mapping[str, t.Any]) -> str:
    parts = [_moment(event["at"]), event["action"]]
    for name, label in (("ticket", "ticket"), ("vm", "VM"), ("request_id", "job")):
        if event[name]:
            parts.append(f"{label} {event[name]}")
    if event["cause"]:
        parts.append(event["cause"])
    return "  ".join(parts)
