"""Status of a process as alarms and text."""

import typing as t
from collections.abc import Iterator
from dataclasses import dataclass, field

from .configuration import Configuration
from .rollout import Rollout
from .ticket_check import unplaceable

__all__ = ["ALARMS", "Alarm", "Health", "AlarmTracker", "build_health", "render_status"]

# Time after which an unconfirmed change raises an alarm; a ticket must be in force
# everywhere within 3 s.
LATE_S = 3.0
# Age of a data centre's last report from which an alarm is raised.
SILENT_S = 5.0
_MAX_NAMES = 5


@dataclass(frozen=True, slots=True)
class Health:
    """State from which the alarms are derived; unknown fields keep their defaults.

    Attributes
    ----------
    number, store_number : int
        Numbers of the configuration in force here and of the one last read from the
        store.
    behind : tuple of str
        Local processes that have not confirmed `number`.
    behind_s : float
        Seconds since `number` came into force here.
    centres : mapping
        Name of each other data centre to its lowest confirmed number and the age of
        its last report in seconds.
    unreadable : int
        Changes from peers that this version could not read.
    audit_waiting, audit_lost, audit_failures : int
        Audit entries not yet stored, entries dropped, and failed writes.
    suspected : tuple of str
        Processes whose heartbeats are missing.
    ownerless : tuple of str
        Shards of this data centre without an owner.
    queued, shed : int
        Waiting tasks, and requests refused for lack of capacity in the last minute.
    services : mapping
        Name of each service to its wanted and running replicas.
    never_fits : tuple of str
        One sentence for each service or batch job that can never be placed.
    """

    process: str = ""
    data_centre: str = ""
    ready: bool = True
    number: int = 0
    store_number: int = 0
    store_ok: bool = True
    behind: tuple[str, ...] = ()
    behind_s: float = 0.0
    centres: t.Mapping[str, tuple[int, float]] = field(default_factory=dict)
    unreadable: int = 0
    audit_waiting: int = 0
    audit_lost: int = 0
    audit_failures: int = 0
    suspected: tuple[str, ...] = ()
    ownerless: tuple[str, ...] = ()
    unreachable_vms: tuple[str, ...] = ()
    ejected_vms: tuple[str, ...] = ()
    leaving_vms: tuple[str, ...] = ()
    vms: int = 0
    queued: int = 0
    oldest_wait_s: float = 0.0
    shed: int = 0
    services: t.Mapping[str, tuple[int, int]] = field(default_factory=dict)
    never_fits: tuple[str, ...] = ()


def build_health(rollout: Rollout, now: float, **fields: t.Any) -> Health:
    """Return the health from the state of a rollout and further fields.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    **fields
        Fields of `Health` that the rollout does not know.
    """
    return Health(
        process=rollout.process,
        data_centre=rollout.data_centre,
        ready=rollout.ready,
        number=rollout.number,
        store_number=rollout.store_number,
        store_ok=rollout.store_ok,
        behind=tuple(rollout.behind(rollout.number)),
        behind_s=now - rollout.in_force_since,
        centres={
            name: (report.lowest, now - at)
            for name, (at, report) in rollout.reports.items()
        },
        unreadable=rollout.unreadable,
        **fields,
    )


@dataclass(frozen=True, slots=True)
class Alarm:
    """Fault for the operator, described in plain sentences.

    Attributes
    ----------
    what, doing, action : str
        What is wrong, what the system does about it, and what the operator can do.
    since : float
        Time of its first detection, seconds since the Unix epoch.
    """

    name: str
    what: str
    doing: str
    action: str
    since: float = 0.0


# Name of each alarm to its `doing` and `action`.
ALARMS: dict[str, tuple[str, str]] = {
    "not-ready": (
        "It asks the store and the listed peers every second, and takes no requests.",
        "Check that the store or a process of another data centre can be reached.",
    ),
    "store-down": (
        "Running work continues and shards keep their owners; the store is asked again "
        "every second.",
        "File no tickets until the store answers; ask the platform's operators.",
    ),
    "store-behind": (
        "It keeps the newer configuration and never reverts to an older one.",
        "The store was probably restored from a copy; file the missing tickets again.",
    ),
    "ticket-late": (
        "It sends the change again with each heartbeat.",
        "Look at the processes that are named; restart those that do not answer.",
    ),
    "centre-behind": (
        "The other data centre asks the store and its peers for the change.",
        "Check the network between the data centres and the store.",
    ),
    "centre-silent": (
        "Each data centre serves what it owns.",
        "Check the network between the data centres; nothing needs to be restarted.",
    ),
    "change-unreadable": (
        "It keeps the configuration that it could read.",
        "Replace this process by one of the newer version.",
    ),
    "audit-lost": (
        "It keeps the newest entries and writes them when the store answers.",
        "Nothing; the count of lost entries is kept with the audit trail.",
    ),
    "audit-waiting": (
        "It keeps the entries in memory and tries again.",
        "Do not restart this process while the store is down, or they are lost.",
    ),
    "process-suspected": (
        "Its shards are taken over once its lease has lapsed.",
        "Nothing, unless the same process is named for minutes; then replace its VM.",
    ),
    "shard-without-owner": (
        "The processes of this data centre take it over one after the other.",
        "Wait 15 s; then check the store, which a take-over needs.",
    ),
    "vm-unreachable": (
        "The VM counts as full and is asked again; its work is retried elsewhere.",
        "Check the VM or its rack; file a ticket to remove it if it will not return.",
    ),
    "vm-ejected": (
        "The VM gets a few trial starts and returns when they succeed.",
        "Check the VM if it does not return by itself.",
    ),
    "few-vms-left": (
        "Work waits for the VMs that remain.",
        "Add VMs, or take some off the list of leaving VMs.",
    ),
    "work-refused": (
        "Work that cannot wait is answered at once with a time to retry.",
        "Add VMs or raise the queue limit; see which team uses the most.",
    ),
    "service-short": (
        "Missing replicas are started as soon as VMs have room.",
        "See whether VMs are missing, or lower the replicas by ticket.",
    ),
    "never-fits": (
        "It waits and does not block other work.",
        "File a ticket with a smaller size, or add VMs that can hold it.",
    ),
}

_Findings = Iterator[tuple[str, str]]


def _configuration_alarms(health: Health) -> _Findings:
    if not health.ready:
        yield "not-ready", "This process holds no configuration yet."
        return
    if not health.store_ok:
        yield "store-down", "The store does not answer; no ticket can be accepted."
    if 0 < health.store_number < health.number and health.store_ok:
        detail = f"The store is at ticket {health.store_number}, but "
        yield "store-behind", f"{detail}ticket {health.number} is in force here."
    late = health.behind_s > LATE_S
    if health.behind and late:
        what = (
            f"Ticket {health.number} is not confirmed by {_join_names(health.behind)}."
        )
        yield "ticket-late", what
    for name, (lowest, age) in sorted(health.centres.items()):
        if age > SILENT_S:
            yield "centre-silent", f"{name} has not reported for {age:.0f} s."
        elif lowest < health.number and late:
            what = f"{name} has ticket {lowest} in force, not {health.number}."
            yield "centre-behind", what
    if health.unreadable:
        what = f"{health.unreadable} changes of newer processes could not be read."
        yield "change-unreadable", what


def _audit_alarms(health: Health) -> _Findings:
    if health.audit_lost:
        yield "audit-lost", f"{health.audit_lost} audit entries were lost."
    if health.audit_waiting and health.audit_failures:
        yield (
            "audit-waiting",
            f"{health.audit_waiting} audit entries wait to be written.",
        )


def _fleet_alarms(health: Health) -> _Findings:
    if health.suspected:
        what = f"No heartbeat comes from {_join_names(health.suspected)}."
        yield "process-suspected", what
    if health.ownerless:
        yield "shard-without-owner", f"No process owns {_join_names(health.ownerless)}."
    if health.unreachable_vms:
        what = f"{_join_names(health.unreachable_vms)} cannot be reached."
        yield "vm-unreachable", what
    if health.ejected_vms:
        what = f"Starts keep failing on {_join_names(health.ejected_vms)}."
        yield "vm-ejected", what
    if health.vms and 2 * len(health.leaving_vms) > health.vms:
        what = f"{len(health.leaving_vms)} of {health.vms} VMs are leaving."
        yield "few-vms-left", what


def _work_alarms(health: Health) -> _Findings:
    if health.shed:
        yield "work-refused", f"{health.shed} requests were refused in the last minute."
    short = [
        f"{name} ({running} of {wanted})"
        for name, (wanted, running) in sorted(health.services.items())
        if running < wanted
    ]
    if short:
        yield "service-short", f"Replicas are missing: {_join_names(tuple(short))}."
    for sentence in health.never_fits:
        yield "never-fits", sentence


_ALARM_RULES = (_configuration_alarms, _audit_alarms, _fleet_alarms, _work_alarms)


def _join_names(names: tuple[str, ...]) -> str:
    """Return the first names and the count of the rest."""
    shown = ", ".join(names[:_MAX_NAMES])
    rest = len(names) - _MAX_NAMES
    return f"{shown} and {rest} more" if rest > 0 else shown


class AlarmTracker:
    """Derives the alarms and tracks since when each one has been active."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._checked_config: Configuration | None = None
        self._never_fits: tuple[str, ...] = ()

    def alarms(self, wall: float, health: Health) -> list[Alarm]:
        """Return the active alarms, the oldest first.

        Parameters
        ----------
        wall : float
            Seconds since the Unix epoch.
        """
        found: dict[str, str] = {}
        for rule in _ALARM_RULES:
            for name, what in rule(health):
                found[name] = f"{found[name]} {what}" if name in found else what
        self._since = {name: self._since.get(name, wall) for name in found}
        alarms = [
            Alarm(name, what, *ALARMS[name], self._since[name])
            for name, what in found.items()
        ]
        return sorted(alarms, key=lambda alarm: alarm.since)

    def never_fits(self, config: Configuration) -> tuple[str, ...]:
        """Return what can never be placed, computed once per configuration."""
        if config is not self._checked_config:
            self._checked_config, self._never_fits = config, tuple(unplaceable(config))
        return self._never_fits


def render_status(wall: float, health: Health, alarms: t.Sequence[Alarm]) -> str:
    """Return the status as text for a terminal."""
    lines = [_summary(health), ""]
    if not alarms:
        lines.append("Everything is as it should be.")
    for alarm in alarms:
        lines.append(f"{alarm.name}, for {_format_duration(wall - alarm.since)}")
        lines.append(f"  {alarm.what}")
        lines.append(f"  The system: {alarm.doing}")
        lines.append(f"  You: {alarm.action}")
    return "\n".join(lines)


def _summary(health: Health) -> str:
    process = f"{health.process} in {health.data_centre}"
    if not health.ready:
        return f"{process}: no configuration is in force."
    lines = [f"{process}: ticket {health.number} is in force."]
    for name, (lowest, _age) in sorted(health.centres.items()):
        lines.append(f"{name}: ticket {lowest} is in force on every process.")
    wanted = sum(counts[0] for counts in health.services.values())
    running = sum(counts[1] for counts in health.services.values())
    if wanted:
        lines.append(f"{running} of {wanted} service replicas run.")
    if health.queued:
        wait = _format_duration(health.oldest_wait_s)
        lines.append(f"{health.queued} tasks wait, the oldest for {wait}.")
    return "\n".join(lines)


def _format_duration(seconds: float) -> str:
    for size, unit in ((86_400, "days"), (3600, "hours"), (60, "minutes")):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{max(0.0, seconds):.0f} seconds"
