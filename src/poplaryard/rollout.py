"""Spread of the configuration from the store to every process.

A decision object: `handle(now, msg)` returns messages that a task carries out. Two
watchers per data centre read the store; all others get changes from their peers.
"""

import dataclasses

from .head import ConfigState, Delta, Head
from .messages import Configure, Tick
from .rollout_messages import (
    AskState,
    CentreReport,
    HeadSeen,
    LoadConfig,
    Loaded,
    Members,
    PeerDelta,
    PeerNumber,
    RolloutInput,
    RolloutOutput,
    Send,
    StoreFailed,
    WatchHead,
)

__all__ = [
    "AskState",
    "CentreReport",
    "HeadSeen",
    "LoadConfig",
    "Loaded",
    "Members",
    "PeerDelta",
    "PeerNumber",
    "Rollout",
    "Send",
    "StoreFailed",
    "WatchHead",
]

WATCHERS = 2
# Delay of the second watcher's load; a push of the first one usually saves it.
SECOND_DELAY_S = 0.25
# A watch can miss an event, so the watchers also read the head at this interval.
POLL_S = 1.0
# A process that hears from no watcher for this long reads the store itself.
LONELY_S = 2.0
# A process that knows of a newer number for this long and gets it from no peer reads
# the store itself.
LAG_S = 1.0
REPORT_S = 1.0
ASK_AGAIN_S = 0.5
_SHOWN_BEHIND = 8


class Rollout:
    """Configuration in force in this process and its way to the others.

    Attributes
    ----------
    state : ConfigState
        State in force; its number never falls.
    ready : bool
        Whether a configuration from the store or a peer is held.
    confirmed : dict
        Last number confirmed by each live local process.
    reports : dict
        Last report of each other data centre with the time of its receipt.
    unreadable : int
        Changes from peers that this version could not read.
    """

    def __init__(self, process: str, data_centre: str):
        self.process = process
        self.data_centre = data_centre
        self.state = ConfigState()
        self.ready = False
        self.confirmed: dict[str, int] = {}
        self.reports: dict[str, tuple[float, CentreReport]] = {}
        self.unreadable = 0
        self.store_ok = True
        self.store_number = 0
        self.in_force_since = 0.0
        self._members = Members((process,))
        self._watching = False
        self._next_poll = 0.0
        self._next_report = 0.0
        self._heard_watcher = -LONELY_S
        self._lag_since: float | None = None
        self._asked: dict[str, float] = {}
        self._pending: tuple[float, Head] | None = None
        self._turn = 0

    @property
    def number(self) -> int:
        """Number in force here, which the heartbeat reports."""
        return self.state.number

    @property
    def watchers(self) -> tuple[str, ...]:
        """Live local members that watch the store."""
        return tuple(sorted(self._members.local)[:WATCHERS])

    def behind(self, number: int) -> list[str]:
        """Return the live local processes that have not confirmed a number."""
        return [
            peer
            for peer in sorted(self._members.local)
            if self._number_at(peer) < number
        ]

    def missing(self, number: int) -> list[str]:
        """Return the local processes and other data centres without a number."""
        found = self.behind(number)
        for centre in sorted(self._members.remote):
            if centre in ("", self.data_centre):
                continue
            _at, report = self.reports.get(centre, (0.0, None))
            if report is None or report.lowest < number:
                found.append(centre)
        return found

    def handle(self, now: float, msg: RolloutInput) -> list[RolloutOutput]:
        """Return the commands that follow from a message.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        match msg:
            case Members():
                return self._on_members(now, msg)
            case HeadSeen():
                return self._on_head(now, msg.head)
            case Loaded():
                return self._on_loaded(now, msg.state)
            case StoreFailed():
                return self._on_store_failed(now)
            case PeerNumber():
                return self._on_number(now, msg.process, msg.number)
            case PeerDelta():
                return self._on_delta(now, msg)
            case AskState():
                return self._on_ask(msg)
            case CentreReport():
                return self._on_report(now, msg)
            case Tick():
                return self._on_tick(now)

    def _on_members(self, now: float, msg: Members) -> list[RolloutOutput]:
        self._members = msg
        for gone in self.confirmed.keys() - set(msg.local):
            del self.confirmed[gone]
        watching = self.process in self.watchers
        if watching == self._watching:
            return []
        self._watching = watching
        self._next_poll = now
        return [WatchHead(watching)]

    def _on_head(self, now: float, head: Head) -> list[RolloutOutput]:
        self.store_ok = True
        self.store_number = head.number
        if head.number <= self.number:
            return []
        if self._watching and self.process != self.watchers[0]:
            due = now + SECOND_DELAY_S
            if self._pending is not None:
                due = self._pending[0]
            self._pending = (due, head)
            return []
        return [LoadConfig(head)]

    def _on_loaded(self, now: float, state: ConfigState) -> list[RolloutOutput]:
        self.store_ok = True
        self.store_number = max(self.store_number, state.number)
        first = not self.ready
        self.ready = True
        if state.number <= self.number:
            return [Configure(self.state.config)] if first else []
        before = self.number
        return [self._adopt(now, state), *self._push(before)]

    def _adopt(self, now: float, state: ConfigState) -> Configure:
        self.state = state
        self._lag_since = None
        self.in_force_since = now
        self.ready = True
        if self._pending is not None and self._pending[1].number <= self.number:
            self._pending = None
        return Configure(state.config)

    def _push(self, before: int) -> list[RolloutOutput]:
        """Send the change to the live local peers, from what each is known to hold."""
        deltas: dict[int, Delta] = {}
        out: list[RolloutOutput] = []
        for peer in self._members.local:
            if peer == self.process or self._number_at(peer) >= self.number:
                continue
            base = min(before, self.confirmed.get(peer, before))
            if base not in deltas:
                deltas[base] = self.state.delta(base)
            out.append(Send(peer, PeerDelta(self.process, deltas[base])))
        return out

    def _number_at(self, peer: str) -> int:
        return self.number if peer == self.process else self.confirmed.get(peer, 0)

    def _on_store_failed(self, now: float) -> list[RolloutOutput]:
        self.store_ok = False
        return [] if self.ready else self._ask_anyone(now)

    def _ask_anyone(self, now: float) -> list[RolloutOutput]:
        """Ask local peers and one peer of each other data centre in turn."""
        peers = [peer for peer in self._members.local if peer != self.process]
        peers += self._one_per_centre()
        return [out for peer in peers for out in self._ask(now, peer)]

    def _one_per_centre(self) -> list[str]:
        self._turn += 1
        return [
            peers[self._turn % len(peers)]
            for centre, peers in sorted(self._members.remote.items())
            if peers and centre != self.data_centre
        ]

    def _ask(self, now: float, peer: str) -> list[RolloutOutput]:
        if now < self._asked.get(peer, now):
            return []
        self._asked[peer] = now + ASK_AGAIN_S
        return [Send(peer, AskState(self.process, self.number))]

    def _on_number(self, now: float, peer: str, number: int) -> list[RolloutOutput]:
        if peer in self._members.local:
            # A restarted peer starts again from 0, so the last report counts.
            self.confirmed[peer] = number
        if peer in self.watchers:
            self._heard_watcher = now
        if number <= self.number:
            return []
        if self._lag_since is None:
            self._lag_since = now
        return self._ask(now, peer)

    def _on_delta(self, now: float, msg: PeerDelta) -> list[RolloutOutput]:
        number = msg.delta.number
        if msg.process in self._members.local:
            known = self.confirmed.get(msg.process, 0)
            self.confirmed[msg.process] = max(known, number)
        if msg.process in self.watchers:
            self._heard_watcher = now
        if number <= self.number:
            return []
        try:
            state = self.state.apply_delta(msg.delta)
        except (ValueError, KeyError, TypeError):
            # A peer of a newer version may send kinds that are unknown here.
            self.unreadable += 1
            return []
        if state is None:
            return self._ask(now, msg.process)
        # Confirming at once tells the watcher a second earlier than the heartbeat.
        confirm = Send(msg.process, AskState(self.process, number))
        return [self._adopt(now, state), confirm]

    def _on_ask(self, msg: AskState) -> list[RolloutOutput]:
        if msg.process in self._members.local:
            self.confirmed[msg.process] = msg.base
        if msg.base >= self.number:
            return []
        delta = self.state.delta(msg.base)
        return [Send(msg.process, PeerDelta(self.process, delta))]

    def _on_report(self, now: float, msg: CentreReport) -> list[RolloutOutput]:
        if msg.data_centre == self.data_centre:
            return []
        self.reports[msg.data_centre] = (now, msg)
        out: list[RolloutOutput] = []
        if not msg.passed_on:
            passed = dataclasses.replace(msg, passed_on=True)
            peers = (peer for peer in self._members.local if peer != self.process)
            out += [Send(peer, passed) for peer in peers]
            if msg.number > self.number:
                # Also brings the change when only this data centre lost the store.
                out += self._ask(now, msg.process)
        return out

    def _on_tick(self, now: float) -> list[RolloutOutput]:
        out: list[RolloutOutput] = []
        if self._pending is not None and now >= self._pending[0]:
            out.append(LoadConfig(self._pending[1]))
            self._pending = None
        lonely = now - self._heard_watcher > LONELY_S
        lagging = self._lag_since is not None and now - self._lag_since > LAG_S
        reads = self._watching or lonely or lagging or not self.ready
        if now >= self._next_poll and reads:
            self._next_poll = now + POLL_S
            out.append(LoadConfig())
            if not self.ready:
                out += self._ask_anyone(now)
        if self._watching and self.ready and now >= self._next_report:
            self._next_report = now + REPORT_S
            report = self._own_report()
            out += [Send(peer, report) for peer in self._one_per_centre()]
        return out

    def _own_report(self) -> CentreReport:
        behind = self.behind(self.number)
        lowest = min(map(self._number_at, self._members.local), default=self.number)
        return CentreReport(
            self.process,
            self.data_centre,
            self.number,
            lowest,
            tuple(behind[:_SHOWN_BEHIND]),
        )
