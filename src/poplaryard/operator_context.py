"""What the application offers to the routes for operators."""

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
from .status import Alarm, Health, StatusBoard, health_of, screen
from .store import Store
from .tickets import Ticket

__all__ = ["OperatorService"]

# An alarm's begin is known to this accuracy.
OBSERVE_S = 2.0


class OperatorService:
    """Serves the operators' calls from the parts of one process.

    Parameters
    ----------
    notify : callable
        Takes what this learns of the store, for the rollout's task.
    facts : callable
        Returns further fields of `Health`, for example the queue lengths.
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
        facts: t.Callable[[], t.Mapping[str, t.Any]] = dict,
    ):
        self.operator_keys = operator_keys
        self._store = store
        self._clock = clock
        self._acceptance = acceptance
        self._rollout = rollout
        self._notify = notify
        self._log = log
        self._writer = writer
        self._facts = facts
        self._board = StatusBoard()
        self._observer: asyncio.Task[None] | None = None

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
        """Return where a ticket is not in force yet."""
        return self._rollout.missing(number)

    async def head(self) -> Head:
        """Return the head record as the store holds it."""
        return (await read_head(self._store))[0]

    async def ticket(self, number: int) -> dict[str, t.Any] | None:
        """Return an accepted ticket, or None if it is not known."""
        return await read_ticket(self._store, number)

    async def status(self) -> tuple[Health, list[Alarm], str]:
        """Return the health, the alarms, and the screen that tells them.

        Only the watchers read the store regularly, so it is asked here.
        """
        try:
            self._notify(HeadSeen(await self.head()))
        except (StoreDown, StoreReplyLost):
            self._notify(StoreFailed())
        return self._status()

    def _status(self) -> tuple[Health, list[Alarm], str]:
        wall = self._clock.wall()
        health = health_of(
            self._rollout,
            self._clock.now(),
            audit_waiting=self._log.waiting,
            audit_lost=self._log.lost,
            audit_failures=self._writer.failures,
            never_fits=self._board.never_fits(self._rollout.state.config),
            **self._facts(),
        )
        alarms = self._board.alarms(wall, health)
        return health, alarms, screen(wall, health, alarms)

    async def audit(self, wanted: AuditFilter) -> list[AuditEvent]:
        """Return matching audit events, oldest first."""
        return await self._writer.search(wanted)

    async def start(self) -> None:
        """Look at the status regularly, so that alarms show since when they stand."""
        self._observer = asyncio.create_task(self._observe())

    async def stop(self) -> None:
        """Stop looking at the status."""
        if self._observer is not None:
            self._observer.cancel()
            await asyncio.gather(self._observer, return_exceptions=True)

    async def _observe(self) -> None:
        while True:
            self._status()
            await asyncio.sleep(OBSERVE_S)
