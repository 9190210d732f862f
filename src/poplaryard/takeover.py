"""Take-over of one shard: claims of its workers, and what may be served meanwhile."""

import typing as t
from dataclasses import dataclass

from .fencing import lease_wait_s
from .messages import ClaimReply, ClaimWorker, Tick, VmGone, VmUpdate
from .statechart import load_chart

__all__ = ["EpochRefused", "Takeover", "VmListRead"]

_CHART = load_chart("takeover")

# Interval between claims of a worker that has not answered.
CLAIM_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class EpochRefused:
    """A worker has seen a higher epoch, so this process no longer owns the shard."""

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The VM list was read after the take-over began; its changes were passed on."""


class Takeover:
    """Progress of a take-over, from the write that raised the epoch to the last claim.

    It processes `Tick`, `VmUpdate`, `VmGone`, `VmListRead` and `ClaimReply`. It returns
    `ClaimWorker` commands, and `EpochRefused` when a worker refuses the epoch.

    Parameters
    ----------
    now, wall : float
        Monotonic and wall-clock time at which the write of the epoch was confirmed.
    workers : iterable of str
        Names of the shard's VMs.
    known : bool
        Whether the old owner knew this process as a member. If so, the authority of the
        owner depended on a promise of this process and had ended at `now`. False if
        this process joined later.
    first : bool
        Whether the shard never had an owner.
    handed_over : bool
        Whether the old owner handed over its whole ledger.
    listed_since : float
        Wall-clock time since which this process has known the VMs of the shard without
        a gap, and none of them has left; 0 if there is no such limit. A VM that left
        earlier may have run ids issued before that time.
    list_read : bool
        Whether `workers` was read after the take-over began. If not, the claims are
        complete only after `VmListRead`, because the old owner may use a VM that is
        missing in an older list.
    skew_s : float
        Largest difference between two wall clocks in seconds.
    wait_s : float, optional
        Time in seconds after `now` at which the tasks of the old owner have ended; the
        default is `lease_wait_s()`.

    Attributes
    ----------
    claims_new : bool
        Whether VMs that were not listed at the take-over may be claimed. True only
        while this process holds its store lease: a successor reads the list after that
        lease has ended, and so knows every VM that this process has claimed.
    """

    state: str

    def __init__(
        self,
        shard: str,
        epoch: int,
        now: float,
        wall: float,
        workers: t.Iterable[str],
        *,
        known: bool,
        first: bool = False,
        handed_over: bool = False,
        listed_since: float = 0.0,
        list_read: bool = True,
        skew_s: float = 5.0,
        wait_s: float | None = None,
    ):
        self.shard = shard
        self.epoch = epoch
        self.claims_new = True
        self._known = known
        self._list_read = list_read
        # Missing workers that were not listed at the take-over.
        self._unlisted: set[str] = set()
        self._first = first
        self._handed_over = handed_over
        self._skew_s = skew_s
        self._wait_until = now + (lease_wait_s() if wait_s is None else wait_s)
        self._wall_offset = wall - now
        # Workers to be claimed, each with the time of its next claim.
        self._missing: dict[str, float] = dict.fromkeys(workers, 0.0)
        self._claimed: set[str] = set()
        # Ids issued before this wall-clock time may have run on VMs that have left and
        # cannot be claimed any more.
        self._unknown_before = listed_since + skew_s if listed_since else 0.0
        self._begun_wall = wall
        self.state = _CHART.initial
        self._step(now)

    @property
    def missing(self) -> frozenset[str]:
        """Workers that have not been claimed yet; nothing is placed on them."""
        return frozenset(self._missing)

    def handle(self, now: float, message: t.Any) -> list[t.Any]:
        """Process one message; return the resulting commands."""
        if isinstance(message, Tick):
            out = self._due_claims(now)
        elif isinstance(message, ClaimReply):
            out = self._process_reply(message)
        elif isinstance(message, VmListRead):
            self._list_read, out = True, []
        else:
            out = self._vm_change(now, message)
        self._step(now)
        return out

    def may_place(self, vm: str) -> bool:
        """Return whether new work may be placed on a worker."""
        return vm in self._claimed and self.state != "superseded"

    def serves_exclusive(self) -> bool:
        """Return whether exclusive and non-idempotent work may be started."""
        return self.state in ("lapsed", "complete")

    def may_run_unreported(self, issued_at: float) -> bool:
        """Return whether a non-idempotent id that no report names may be run.

        It may be run if it surely has not run before. Otherwise the answer to it is
        "unknown outcome".

        Parameters
        ----------
        issued_at : float
            Issue time of the id, in seconds since the Unix epoch.
        """
        if self._first or self._handed_over:
            return True
        if issued_at <= self._unknown_before:
            return False
        if self.state == "complete":
            return True
        return self.state == "lapsed" and issued_at > self._begun_wall + self._skew_s

    def _due_claims(self, now: float, only: set[str] | None = None) -> list[t.Any]:
        names = set(self._missing) if only is None else only
        if not self.claims_new:
            names -= self._unlisted
        due = [v for v, at in self._missing.items() if at <= now and v in names]
        for vm in due:
            self._missing[vm] = now + CLAIM_RETRY_S
        return [ClaimWorker(vm, self.epoch) for vm in due]

    def _process_reply(self, reply: ClaimReply) -> list[t.Any]:
        if reply.epoch != self.epoch and reply.accepted:
            return []
        if not reply.accepted:
            return self._refused(reply)
        self._unlisted.discard(reply.vm)
        if reply.vm in self._missing:
            del self._missing[reply.vm]
            self._claimed.add(reply.vm)
        return []

    def _refused(self, reply: ClaimReply) -> list[t.Any]:
        if reply.epoch <= self.epoch:
            return []
        self._trigger("refused")
        return [EpochRefused(self.shard, self.epoch)]

    def _vm_change(self, now: float, message: t.Any) -> list[t.Any]:
        if isinstance(message, VmUpdate) and message.vm.name not in self._claimed:
            if message.vm.name not in self._missing:
                self._missing[message.vm.name] = 0.0
                self._unlisted.add(message.vm.name)
            # Only this VM is claimed here. The scheduler may not know the others yet;
            # the next tick claims them.
            return self._due_claims(now, {message.vm.name})
        if isinstance(message, VmGone):
            self._vm_gone(now, message.vm)
        return []

    def _vm_gone(self, now: float, vm: str) -> None:
        self._claimed.discard(vm)
        self._unlisted.discard(vm)
        if self._missing.pop(vm, None) is not None:
            # The VM was never claimed, so it is not known which ids it ran until now.
            wall = now + self._wall_offset
            self._unknown_before = max(self._unknown_before, wall + self._skew_s)

    def _step(self, now: float) -> None:
        if self.state in ("complete", "superseded"):
            return
        if not self._missing and self._list_read:
            self._trigger("all_claimed")
        elif self._known and now >= self._wait_until:
            self._trigger("old_owner_lapsed")

    def _trigger(self, event: str) -> None:
        self.state = _CHART.step(self.state, event)
