"""Service behind the operator routes: filing, rollout, status and audit trail."""

import asyncio
import typing as t

from .acceptance import Acceptance, FileResult
from .audit import AuditFilter, AuditLog, AuditWriter
from .clock import Clock
from .config_loader import read_head, read_ticket
from .configuration import Configuration
from .exceptions import StoreDown, StoreReplyLost
from .head import Head
from .messages import AuditEvent
from .rollout import HeadSeen, Rollout, StoreFailed
from .status import Alarm, AlarmTracker, Health, build_health, render_status
from .store import Store
from .tickets import Ticket

__all__ = ["OperatorService"]

# Interval between evaluations of the alarms; an alarm's start has this accuracy.
OBSERVE_S = 2.0


class OperatorService:
    """Operator context of one process: tickets, status and audit trail.

    Parameters
    ----------
    notify : callable
        Passes a head read from the store, or a failed read, to the rollout's task.
    health_fields : callable
        Returns the fields of `Health` that the rollout does not know.
    """

    def __init__(
        self,
        operator_keys: t.Mapping[str, str],
        store: Store,
        clock: Clock,
        acceptance: Acceptance,
        rollout: Rollout,
        notify: t.Callable[[HeadSeen | StoreFailed], None],
        log: AuditLog,
        writer: AuditWriter,
        health_fields: t.Callable[[], t.Mapping[str, t.Any]] = dict,
    ):
        self.operator_keys = operator_keys
        self._store = store
        self._clock = clock
        self._acceptance = acceptance
        self._rollout = rollout
        self._notify = notify
        self._log = log
        self._writer = writer
        self._health_fields = health_fields
        self._alarm_tracker = AlarmTracker()
        self._alarm_task: asyncio.Task[None] | None = None

    def config(self) -> Configuration | None:
        """Return the configuration in force here; None if there is none yet."""
        return self._rollout.state.config if self._rollout.ready else None

    async def file(self, ticket: Ticket, operator: str) -> FileResult:
        """File a ticket for the holder of an operator key."""
        result = await self._acceptance.file(ticket)
        if result.head is not None:
            self._notify(HeadSeen(result.head))
        event = AuditEvent(
            "ticket accepted" if result.ok else "ticket refused",
            self._clock.wall(),
            ticket=result.number,
            cause=f"{operator}: {ticket.uid}: {result.detail}",
        )
        self._log.add(self._clock.now(), event)
        return result

    def missing(self, number: int) -> list[str]:
        """Return the processes and data centres where a ticket is not in force yet."""
        return self._rollout.missing(number)

    async def head(self) -> Head:
        """Return the head record as the store holds it."""
        return (await read_head(self._store))[0]

    async def ticket(self, number: int) -> dict[str, t.Any] | None:
        """Return an accepted ticket, or None if it is not known."""
        return await read_ticket(self._store, number)

    async def status(self) -> tuple[Health, list[Alarm], str]:
        """Return the health, the alarms and the status as text.

        Only the watchers read the store regularly, so the head is read here.
        """
        try:
            self._notify(HeadSeen(await self.head()))
        except (StoreDown, StoreReplyLost):
            self._notify(StoreFailed())
        return self._evaluate_status()

    def _evaluate_status(self) -> tuple[Health, list[Alarm], str]:
        wall = self._clock.wall()
        health = build_health(
            self._rollout,
            self._clock.now(),
            audit_waiting=self._log.unflushed,
            audit_lost=self._log.lost,
            audit_failures=self._writer.failures,
            never_fits=self._alarm_tracker.never_fits(self._rollout.state.config),
            **self._health_fields(),
        )
        alarms = self._alarm_tracker.alarms(wall, health)
        return health, alarms, render_status(wall, health, alarms)

    async def audit(self, criteria: AuditFilter) -> list[AuditEvent]:
        """Return matching audit events, oldest first."""
        return await self._writer.search(criteria)

    async def start(self) -> None:
        """Start evaluating the alarms, so that the start of each is known."""
        self._alarm_task = asyncio.create_task(self._track_alarms())

    async def stop(self) -> None:
        """Stop evaluating the alarms."""
        if self._alarm_task is not None:
            self._alarm_task.cancel()
            await asyncio.gather(self._alarm_task, return_exceptions=True)

    async def _track_alarms(self) -> None:
        while True:
            self._evaluate_status()
            await asyncio.sleep(OBSERVE_S)
