"""Command for operators: what the tenants use, from the metrics of processes."""

import asyncio
import json
import re
import sys
import typing as t
from dataclasses import dataclass, field

import click

from .client import HttpClient
from .exceptions import PoplaryardError

__all__ = ["TenantFigures", "collect", "parse", "table", "tenants"]

# Time for one process to send its metrics, in seconds; as long as Prometheus waits by
# default.
SCRAPE_TIMEOUT_S = 10.0
EXIT_INCOMPLETE = 3

_SAMPLE = re.compile(r"poplaryard_tenant\{(.*)\} (-?\d+(?:\.\d+)?(?:[eE][-+]?\d+)?)")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
_ESCAPED = re.compile(r"\\(.)")
_RESOURCES = ("cpu_m", "mem_mb", "gpus")
# Figures that are equal in all partitions; the others are summed up.
_GLOBAL = ("weight", "cap")
_AMOUNTS = ("cap", "used", "waiting", "available")
_COLUMNS = ("tenant", "weight", *_AMOUNTS, "share of partitions (fair)")


class Sample(t.NamedTuple):
    """Figure of a tenant in one group, as a process reports it."""

    group: str
    tenant: str
    figure: str
    value: float


@dataclass(slots=True)
class TenantFigures:
    """Figures of a tenant, over the groups of all processes.

    Attributes
    ----------
    figures : dict of str to float
        Weight, and the amounts of `cap`, `used`, `waiting` and `available`.
    groups : dict of str to dict
        Share and fair share by group.
    """

    figures: dict[str, float] = field(default_factory=dict)
    groups: dict[str, dict[str, float]] = field(default_factory=dict)


def parse(text: str) -> t.Iterator[Sample]:
    """Yield the figures of tenants in metrics in the Prometheus text format."""
    for line in text.split("\n"):
        match = _SAMPLE.fullmatch(line)
        if match is None:
            continue
        labels = {
            name: _ESCAPED.sub(_unescape, value)
            for name, value in _LABEL.findall(match[1])
        }
        names = labels.get("group"), labels.get("tenant"), labels.get("figure")
        if all(name is not None for name in names):
            yield Sample(*t.cast(tuple[str, str, str], names), float(match[2]))


def _unescape(match: re.Match[str]) -> str:
    return "\n" if match[1] == "n" else match[1]


def collect(samples: t.Iterable[Sample]) -> dict[str, TenantFigures]:
    """Return the figures by tenant, the names in order."""
    found: dict[str, TenantFigures] = {}
    for sample in samples:
        tenant = found.setdefault(sample.tenant, TenantFigures())
        if sample.figure in ("share", "fair_share"):
            tenant.groups.setdefault(sample.group, {})[sample.figure] = sample.value
        elif sample.figure.startswith(_GLOBAL):
            tenant.figures[sample.figure] = sample.value
        else:
            sum_before = tenant.figures.get(sample.figure, 0.0)
            tenant.figures[sample.figure] = sum_before + sample.value
    return dict(sorted(found.items()))


def table(found: t.Mapping[str, TenantFigures]) -> t.Iterator[str]:
    """Yield the lines of a table, with amounts as cores/MB/GPUs.

    A hyphen stands for an amount that no process reports, such as no limit.
    """
    rows: list[tuple[str, ...]] = [_COLUMNS]
    for name, tenant in found.items():
        shares = " ".join(
            f"{group}:{share.get('share', 0.0):.2f}({share.get('fair_share', 0.0):.2f})"
            for group, share in sorted(tenant.groups.items())
        )
        weight = tenant.figures.get("weight")
        amounts = (_amount(tenant.figures, amount) for amount in _AMOUNTS)
        rows.append(
            (name, "-" if weight is None else f"{weight:g}", *amounts, shares or "-")
        )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def _amount(figures: t.Mapping[str, float], name: str) -> str:
    values = [figures.get(f"{name}_{resource}") for resource in _RESOURCES]
    if all(value is None for value in values):
        return "-"
    cpu_m, mem_mb, gpus = values
    cores = "-" if cpu_m is None else f"{cpu_m / 1000:g}"
    return "/".join(
        [cores, *("-" if value is None else f"{value:.0f}" for value in (mem_mb, gpus))]
    )


async def _scrape(addresses: t.Sequence[str]) -> tuple[list[Sample], list[str]]:
    """Return the figures of all processes, and why some could not be read."""
    samples: list[Sample] = []
    errors: list[str] = []

    async def scrape(client: HttpClient, address: str) -> None:
        url = f"http://{address.removeprefix('http://').rstrip('/')}/metrics"
        try:
            reply = await client.request_raw("GET", url, None, SCRAPE_TIMEOUT_S)
        except PoplaryardError as exc:
            errors.append(exc.detail)
            return
        if reply.status != 200:
            errors.append(f"{url} answered with status {reply.status}.")
            return
        samples.extend(parse(reply.content.decode(errors="replace")))

    client = HttpClient()
    try:
        await asyncio.gather(*(scrape(client, address) for address in addresses))
    finally:
        await client.close()
    return samples, errors


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def tenants(addresses: tuple[str, ...], as_json: bool) -> None:
    """Print what the tenants use and wait for.

    ADDRESSES are the metrics addresses of the processes (host and port). Figures of
    processes that are not named are missing.
    """
    samples, errors = asyncio.run(_scrape(addresses))
    found = collect(samples)
    if as_json:
        content = {
            name: {**tenant.figures, "groups": tenant.groups}
            for name, tenant in found.items()
        }
        click.echo(json.dumps(content, indent=2))
    else:
        for line in table(found):
            click.echo(line)
    for error in errors:
        click.echo(error, err=True)
    if errors:
        sys.exit(EXIT_INCOMPLETE)
