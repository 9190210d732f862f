"""Settings of an entry process, read from JSON with comments and validated."""

import pathlib
import sys
import typing as t

import click
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from . import jsonc
from .codes import Code
from .exceptions import ConfigError, PoplaryardError

__all__ = ["Keys", "Limits", "Settings", "check_config", "load_settings"]

EXIT_INVALID = 2

Name: t.TypeAlias = t.Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
Key: t.TypeAlias = t.Annotated[str, StringConstraints(min_length=8, max_length=256)]


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    octets = host.split(".")
    numeric = all(octet.isdecimal() and int(octet) < 256 for octet in octets)
    if not colon or len(octets) != 4 or not numeric:
        raise ValueError("expected an IPv4 address and a port such as 10.0.0.1:8080")
    if not port.isdecimal() or int(port) > 65535:
        raise ValueError("expected a port between 0 and 65535")
    return value


Address: t.TypeAlias = t.Annotated[str, AfterValidator(_check_address)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Keys(_Model):
    """API keys by the name of their holder.

    Attributes
    ----------
    callers, operators : dict
        Keys of the programs that submit work, and of the operators, who change the
        configuration by tickets.
    peer : str
        Key that all entry processes of the cell share.
    """

    callers: dict[Name, Key] = Field(min_length=1)
    operators: dict[Name, Key] = Field(min_length=1)
    peer: Key


class Limits(_Model):
    """Limits of the HTTP interfaces.

    Attributes
    ----------
    body_kb : int
        Largest request body in KB.
    json_depth : int
        Deepest nesting of a request body.
    requests_in_flight : int
        Maximum number of caller requests without an answer.
    peer_in_flight : int
        Maximum number of messages in flight to one peer.
    default_timeout_s : float
        Timeout of requests that give none and whose class has none, in seconds.
    shutdown_s : float
        Time limit of a graceful stop, in seconds.
    """

    body_kb: int = Field(default=256, ge=1, le=1024)
    json_depth: int = Field(default=16, ge=2, le=64)
    requests_in_flight: int = Field(default=8192, ge=1, le=100_000)
    peer_in_flight: int = Field(default=2048, ge=1, le=100_000)
    default_timeout_s: float = Field(default=30.0, gt=0, le=3600)
    shutdown_s: float = Field(default=25.0, gt=0, le=600)


class Settings(_Model):
    """Settings of one entry process.

    Attributes
    ----------
    process : str
        Name of the process, unique in the cell.
    listen : str
        Address to listen on; port 0 selects a free one.
    advertise : str
        Address given to peers; the address of `listen` if empty.
    platform : str
        Address of the platform's store.
    peers : dict
        Data centre to the addresses of some of its entry processes.
    """

    process: Name
    cell: Name
    data_centre: Name
    listen: Address
    advertise: Address | t.Literal[""] = ""
    platform: Address
    peers: dict[Name, list[Address]] = Field(default_factory=dict, max_length=64)
    keys: Keys
    limits: Limits = Field(default_factory=Limits)
    log_level: t.Literal["debug", "info", "warning", "error"] = "info"


def load_settings(path: str | pathlib.Path) -> Result[Settings, ConfigError]:
    """Return the settings in a file, or an error that lists every invalid key.

    The error's code is `SETTINGS_UNREADABLE` or `SETTINGS_INVALID`; its detail names
    the file, the path of each wrong key and what was expected.
    """
    return _read(path).bind(lambda text: _parse(path, text)).bind(_validator(path))


def _read(path: str | pathlib.Path) -> Result[bytes, ConfigError]:
    try:
        return Success(pathlib.Path(path).read_bytes())
    except OSError as exc:
        detail = f"{path}: {exc.strerror or exc}"
        return Failure(ConfigError(Code.SETTINGS_UNREADABLE, detail))


def _parse(path: str | pathlib.Path, text: bytes) -> Result[t.Any, ConfigError]:
    try:
        return Success(jsonc.loads(text))
    except PoplaryardError as exc:
        detail = f"{path}: {exc.detail}"
        return Failure(ConfigError(Code.SETTINGS_UNREADABLE, detail))


def _validator(
    path: str | pathlib.Path,
) -> t.Callable[[t.Any], Result[Settings, ConfigError]]:
    def validate(found: t.Any) -> Result[Settings, ConfigError]:
        try:
            return Success(Settings.model_validate(found))
        except ValidationError as exc:
            return Failure(ConfigError(Code.SETTINGS_INVALID, _describe(path, exc)))

    return validate


def _describe(path: str | pathlib.Path, exc: ValidationError) -> str:
    return "\n".join(
        f"{path}: {_key_path(error['loc'])}: {_expected(error)}"
        for error in exc.errors(include_url=False)
    )


def _key_path(loc: tuple[int | str, ...]) -> str:
    if not loc:
        return "(whole file)"
    path = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in loc)
    return path.removeprefix(".")


def _expected(error: t.Any) -> str:
    if error["type"] == "extra_forbidden":
        return "unknown key; remove it or correct its name"
    if error["type"] == "missing":
        return "this key is required"
    message = str(error["msg"]).removeprefix("Value error, ")
    if error["loc"][:1] == ("keys",):
        # The value may be a secret, and this text may end up in a log.
        return message
    return f"{message} (found {error['input']!r:.80})"


def settings_or_exit(path: str) -> Settings:
    """Return the settings in a file, or print the errors and exit with status 2."""
    loaded = load_settings(path)
    if is_successful(loaded):
        return loaded.unwrap()
    exc = loaded.failure()
    for line in exc.detail.splitlines():
        click.echo(f"{line} [code {int(exc.code)}]", err=True)
    sys.exit(EXIT_INVALID)


@click.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Check a settings FILE; exit 2 if it is invalid."""
    settings = settings_or_exit(file)
    click.echo(f"{file}: the settings of {settings.process} are valid.")
