"""Command `poplaryard entry`: runs one process on the platform."""

import asyncio
import logging
import os
import pathlib
import signal
import sys
import typing as t

import click
import msgspec

from .. import logs
from ..client import HttpClient
from ..clock import SystemClock
from ..codes import Code
from ..exceptions import CallError, ConfigError
from ..logs import logger
from ..server import HttpServer
from ..workload.node import Node, NodeConfig, StoreSchema, strength
from ..workload.owner import OwnerLimits
from ..workload.run_times import RunTimeUses
from .codec import (
    CONFIG_KEY,
    WORKER_PREFIX,
    DecodeFailed,
    decode_config,
    decode_worker,
)
from .front import PlatformFrontend
from .services import AdviceClient, WorkerClient
from .store import PlatformStore

__all__ = ["entry"]

SETTINGS_VARIABLE = "POPLARYARD_BOOT"
EXIT_INVALID = 2
# Timeout of calls to workers, in seconds; workers answer within milliseconds.
WORKER_CALL_TIMEOUT_S = 0.7
# Upper limit of the lease that workers are given, in seconds. Longer leases delay the
# restart of runs of a lost worker; shorter ones would lapse during a change of owner.
MAX_RUN_LEASE_S = 6.0
# Time from SIGTERM until connections are closed, in seconds. The platform's load
# balancer needs two probes, one a second, to notice that the process is not ready.
LAME_DUCK_S = 2.5
# Time for requests in progress after `LAME_DUCK_S`, in seconds: as long as the write of
# a job may be retried.
DRAIN_S = 2.8
# Part of the grace period that is reserved for closing the owners and ending the lease,
# in seconds. SIGKILL ends the process when the period is over.
CLOSE_RESERVE_S = 1.4


class Listen(msgspec.Struct, forbid_unknown_fields=False):
    """Addresses to listen on, as "HOST:PORT"."""

    callers: str
    ready: str
    peers: str
    metrics: str


class RevocationBounds(msgspec.Struct, frozen=True):
    """Bounds for keys that are taken away; deployments without tenants have none.

    Attributes
    ----------
    strict_revocation : bool
        Whether no request is served with a key that was revoked `revoke_ms` before.
    revoke_ms : float
        Only used with `strict_revocation`.
    """

    strict_revocation: bool = False
    revoke_ms: t.Annotated[float, msgspec.Meta(gt=0)] = 5000.0


class EntrySettings(msgspec.Struct):
    """Settings of one process, in the format of `deploy/settings.json.in`.

    Attributes
    ----------
    store, advice : str
        Addresses of the platform's store and advice service, "HOST:PORT".
    cpu_share, core_speed : float
        Cores that the process may use, and their speed relative to standard ones.
    max_hold_ms : float
        Upper limit of the lease that workers are given.
    keep_s : float
        Time for which callers may ask for a finished job.
    early_ms : float
        Not used.
    grace_s : float
        Time from SIGTERM until SIGKILL.
    bounds : RevocationBounds
        Bounds of the platform; only those named here are used.
    learn_run_times : bool
        Whether run times are learned from finished runs and used for all decisions
        that `RunTimeUses` lists.
    """

    process: str
    data_centre: str
    listen: Listen
    store: str
    advice: str
    cpu_share: float
    max_hold_ms: float
    keep_s: float
    core_speed: float = 1.0
    link_mbps: float = 1000.0
    early_ms: float = 0.0
    grace_s: float = 6.0
    bounds: RevocationBounds = RevocationBounds()
    log_level: str = "info"
    learn_run_times: bool = False


def load_settings(path: str) -> EntrySettings:
    """Return the settings; raises `ConfigError` that names what is invalid."""
    from .. import jsonc

    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        cfg = msgspec.convert(jsonc.loads(text), EntrySettings)
    except (OSError, ValueError, CallError, msgspec.ValidationError) as exc:
        raise ConfigError(Code.SETTINGS_INVALID, f"{path}: {exc}") from exc
    if cfg.log_level.upper() not in logging.getLevelNamesMapping():
        detail = f"{path}: unknown log level - at `$.log_level`"
        raise ConfigError(Code.SETTINGS_INVALID, detail)
    return cfg


@click.command()
@click.option("--config", "path", help=f"Settings; default: ${SETTINGS_VARIABLE}.")
def entry(path: str | None) -> None:
    """Run one process on the platform until SIGTERM."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise click.UsageError(f"Give --config or set {SETTINGS_VARIABLE}.")
    try:
        cfg = load_settings(path)
    except ConfigError as exc:
        click.echo(exc.detail, err=True)
        sys.exit(EXIT_INVALID)
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(cfg, path))


def _owner_limits(cfg: EntrySettings) -> OwnerLimits:
    return OwnerLimits(
        run_lease_s=min(MAX_RUN_LEASE_S, cfg.max_hold_ms / 1000),
        retention_s=cfg.keep_s,
        early_s=cfg.early_ms / 1000,
        run_time_uses=RunTimeUses.all() if cfg.learn_run_times else RunTimeUses(),
        max_lease_s=cfg.max_hold_ms / 1000,
    )


async def _serve(cfg: EntrySettings, path: str) -> None:
    stream = logs.BackgroundStream(sys.stdout)
    logs.configure(cfg.process, cfg.log_level, stream=stream)
    client = HttpClient(connections=1024)
    store = PlatformStore(client, cfg.store)
    node = Node(
        NodeConfig(
            cfg.process,
            cfg.data_centre,
            cfg.listen.peers,
            strength(cfg.cpu_share * cfg.core_speed, cfg.link_mbps),
            _owner_limits(cfg),
            cfg.bounds.revoke_ms / 1000 if cfg.bounds.strict_revocation else None,
        ),
        store,
        WorkerClient(client, WORKER_CALL_TIMEOUT_S),
        AdviceClient(client, cfg.advice),
        client,
        StoreSchema(
            CONFIG_KEY, WORKER_PREFIX, decode_config, decode_worker, DecodeFailed
        ),
        SystemClock(),
    )

    def update_gauges() -> None:
        node.update_gauges()
        node.meters.set("poplaryard_log_lines_dropped", {}, stream.dropped)
        for call, count in store.calls.items():
            node.meters.set("poplaryard_store_calls", {"call": call}, count)

    servers = [
        _http_server(
            PlatformFrontend(node, update_gauges, address == cfg.listen.peers), address
        )
        for address in dict.fromkeys(
            [
                cfg.listen.ready,
                cfg.listen.peers,
                cfg.listen.metrics,
                cfg.listen.callers,
            ]
        )
    ]
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    for server in servers:
        await server.start()
    await node.start()
    logger.info("process started", extra={"process_id": os.getpid()})
    await stop.wait()
    logger.info("process stops")
    hand_over_task = asyncio.create_task(node.hand_over(cfg.grace_s - CLOSE_RESERVE_S))
    await asyncio.sleep(min(LAME_DUCK_S, cfg.grace_s / 2))
    await asyncio.gather(*(server.stop() for server in servers))
    await hand_over_task
    await node.stop()
    logger.info("process stopped")
    stream.close()


def _http_server(app: t.Any, address: str) -> HttpServer:
    host, _, port = address.rpartition(":")
    return HttpServer(app, host, int(port), graceful_s=DRAIN_S)


def _reload(path: str) -> None:
    """Reload the settings; only the log level takes effect without a restart.

    Invalid settings are logged, and the earlier ones stay in force.
    """
    try:
        level = load_settings(path).log_level
    except ConfigError as exc:
        logger.error("settings not reloaded", extra={"reason": exc.detail})
        return
    logs.logger.setLevel(level.upper())
    logger.info("settings read again", extra={"log_level": level})
