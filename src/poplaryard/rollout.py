"""Distribution of the configuration from the store to every process.

`Rollout` does no I/O: `handle(now, msg)` returns commands, which `ConfigTask` carries
out. Two processes per data centre, the watchers, read the store and push changes to
the other processes.
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

# Processes per data centre that watch the head record.
WATCHERS = 2
# Delay before the second watcher reads a change, so that the push of the first watcher
# usually makes the read needless.
SECOND_WATCHER_DELAY_S = 0.25
# Interval at which a process that reads the store polls the head. The watchers poll as
# well, because a watch can miss an event.
POLL_S = 1.0
# A process that hears from no watcher for this long polls the store itself.
WATCHER_TIMEOUT_S = 2.0
# A process that knows of a newer ticket for this long, but got it from no peer, polls
# the store itself.
LAG_S = 1.0
# Interval of the reports to other data centres.
REPORT_S = 1.0
# Minimum pause between two requests for changes to the same peer.
ASK_AGAIN_S = 0.5
_MAX_BEHIND_LISTED = 8


class Rollout:
    """Configuration in force in this process, and its distribution to the others.

    Attributes
    ----------
    state : ConfigState
        State in force; its number never decreases.
    ready : bool
        Whether a configuration was received from the store or a peer.
    confirmed : dict
        Live process of this data centre to the last number that it confirmed.
    reports : dict
        Other data centre to the time when its last report was received, and the report.
    unreadable : int
        Number of deltas from peers that this version could not decode.
    store_ok : bool
        Whether the last read of the store succeeded.
    store_number : int
        Number of the last ticket seen in the store.
    in_force_since : float
        Monotonic time when `state` came into force, in seconds.
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
        self._watcher_heard_at = -WATCHER_TIMEOUT_S
        self._lag_since: float | None = None
        self._next_ask: dict[str, float] = {}
        self._delayed_load: tuple[float, Head] | None = None
        self._rotation = 0

    @property
    def number(self) -> int:
        """Ticket number in force in this process; heartbeats carry it."""
        return self.state.number

    @property
    def watchers(self) -> tuple[str, ...]:
        """Live processes of this data centre that watch the store."""
        return tuple(sorted(self._members.local)[:WATCHERS])

    def behind(self, number: int) -> list[str]:
        """Return the live local processes that have not confirmed a ticket number."""
        return [
            peer
            for peer in sorted(self._members.local)
            if self._confirmed_number(peer) < number
        ]

    def missing(self, number: int) -> list[str]:
        """Return the local processes and other data centres that lack a ticket."""
        lagging = self.behind(number)
        for centre in sorted(self._members.remote):
            if centre in ("", self.data_centre):
                continue
            _at, report = self.reports.get(centre, (0.0, None))
            if report is None or report.lowest < number:
                lagging.append(centre)
        return lagging

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
                return self._on_peer_number(now, msg.process, msg.number)
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
            due = now + SECOND_WATCHER_DELAY_S
            if self._delayed_load is not None:
                due = self._delayed_load[0]
            self._delayed_load = (due, head)
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
        """Put a newer state in force."""
        self.state = state
        self._lag_since = None
        self.in_force_since = now
        self.ready = True
        if (
            self._delayed_load is not None
            and self._delayed_load[1].number <= self.number
        ):
            self._delayed_load = None
        return Configure(state.config)

    def _push(self, before: int) -> list[RolloutOutput]:
        """Return commands that send each live local peer the changes that it lacks.

        A peer that confirmed less than `before` gets the changes after that number.
        """
        deltas: dict[int, Delta] = {}
        out: list[RolloutOutput] = []
        for peer in self._members.local:
            if peer == self.process or self._confirmed_number(peer) >= self.number:
                continue
            base = min(before, self.confirmed.get(peer, before))
            if base not in deltas:
                deltas[base] = self.state.delta(base)
            out.append(Send(peer, PeerDelta(self.process, deltas[base])))
        return out

    def _confirmed_number(self, peer: str) -> int:
        return self.number if peer == self.process else self.confirmed.get(peer, 0)

    def _on_store_failed(self, now: float) -> list[RolloutOutput]:
        self.store_ok = False
        return [] if self.ready else self._ask_all(now)

    def _ask_all(self, now: float) -> list[RolloutOutput]:
        """Ask all local peers and one peer of each other data centre for changes."""
        peers = [peer for peer in self._members.local if peer != self.process]
        peers += self._one_per_centre()
        return [out for peer in peers for out in self._ask(now, peer)]

    def _one_per_centre(self) -> list[str]:
        self._rotation += 1
        return [
            peers[self._rotation % len(peers)]
            for centre, peers in sorted(self._members.remote.items())
            if peers and centre != self.data_centre
        ]

    def _ask(self, now: float, peer: str) -> list[RolloutOutput]:
        if now < self._next_ask.get(peer, now):
            return []
        self._next_ask[peer] = now + ASK_AGAIN_S
        return [Send(peer, AskState(self.process, self.number))]

    def _on_peer_number(
        self, now: float, peer: str, number: int
    ) -> list[RolloutOutput]:
        if peer in self._members.local:
            # Not the maximum: a restarted peer starts again at 0.
            self.confirmed[peer] = number
        if peer in self.watchers:
            self._watcher_heard_at = now
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
            self._watcher_heard_at = now
        if number <= self.number:
            return []
        try:
            state = self.state.apply_delta(msg.delta)
        except (ValueError, KeyError, TypeError):
            # A peer of a newer version may send object kinds that are unknown here.
            self.unreadable += 1
            return []
        if state is None:
            return self._ask(now, msg.process)
        # Confirm now: the next heartbeat may be a second away.
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
                # The change arrives even if this data centre cannot reach the store.
                out += self._ask(now, msg.process)
        return out

    def _on_tick(self, now: float) -> list[RolloutOutput]:
        out: list[RolloutOutput] = []
        if self._delayed_load is not None and now >= self._delayed_load[0]:
            out.append(LoadConfig(self._delayed_load[1]))
            self._delayed_load = None
        watchers_silent = now - self._watcher_heard_at > WATCHER_TIMEOUT_S
        lagging = self._lag_since is not None and now - self._lag_since > LAG_S
        polls = self._watching or watchers_silent or lagging or not self.ready
        if now >= self._next_poll and polls:
            self._next_poll = now + POLL_S
            out.append(LoadConfig())
            if not self.ready:
                out += self._ask_all(now)
        if self._watching and self.ready and now >= self._next_report:
            self._next_report = now + REPORT_S
            report = self._own_report()
            out += [Send(peer, report) for peer in self._one_per_centre()]
        return out

    def _own_report(self) -> CentreReport:
        behind = self.behind(self.number)
        lowest = min(
            map(self._confirmed_number, self._members.local), default=self.number
        )
        return CentreReport(
            self.process,
            self.data_centre,
            self.number,
            lowest,
            tuple(behind[:_MAX_BEHIND_LISTED]),
        )
