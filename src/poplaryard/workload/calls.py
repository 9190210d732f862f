"""Calls to a worker that may still take effect, and the leases that they give.

A worker that restarts keeps its id, so that it also carries out calls that were meant
for the instance before it. What a call states by the numbers of that instance, such as
a deadline on its clock, means something else to the next one, since each instance
counts anew.
"""

from dataclasses import dataclass

__all__ = ["DEFAULT_LEASES", "LeaseLimits", "OpenCalls", "SentCall"]

# Fraction by which a worker's monotonic clock may run slow.
CLOCK_DRIFT = 0.02
# Added to the time at which a worker's leases must have expired, in seconds: the worker
# checks its leases, and reports the ended runs, slightly later.
LAPSE_SLACK_S = 0.5
# Time after which an unanswered call is no longer carried out, in seconds: the platform
# documents a delay of up to 12.
MAX_CALL_DELAY_S = 12.5
# Time within which a call arrives unless its worker delays it, in seconds; callers give
# up earlier.
MAX_TRANSIT_S = 1.0
# Largest difference between the wall clocks of two VMs, in seconds.
MAX_CLOCK_SKEW_S = 5.0
# Longest time for which an owner goes on to call a worker that has restarted without
# noticing, in seconds: a call that waits for an end times out before.
MAX_UNNOTICED_S = 2.0


@dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Durations of the leases of runs, in seconds.

    Attributes
    ----------
    given_s : float
        Duration of a lease that an owner gives.
    longest_s : float
        Longest lease that a worker accepts. A deadline that is far ahead on the clock
        of the worker, as one meant for an earlier instance may be, gives this lease.
    """

    given_s: float
    longest_s: float

    def lapsed_at(self, arrived_at: float) -> float:
        """Return the time by which the longest lease has lapsed.

        Parameters
        ----------
        arrived_at : float
            Latest time at which the call that gave it arrived.
        """
        return arrived_at + self.longest_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S

    def deadline_lapsed_at(self, arrives_at: float, left_s: float, now: float) -> float:
        """Return the time by which a lease up to a deadline has lapsed.

        Parameters
        ----------
        arrives_at : float
            Latest time at which the call that gives it arrives.
        left_s : float
            Time from now until the deadline on the worker's clock, in seconds.
        """
        deadline_at = now + max(0.0, left_s) / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S
        return min(deadline_at, self.lapsed_at(arrives_at))

    def longest_until(self, given_until: float, started_at: float) -> float:
        """Return the time by which leases have lapsed that earlier owners gave.

        Calls meant for the instance before may have given longer ones to a worker that
        had just started.

        Parameters
        ----------
        given_until : float
            Time by which leases of the duration that owners give have lapsed.
        started_at : float
            Start time of the worker.
        """
        longer_s = (self.longest_s - self.given_s) / (1 - CLOCK_DRIFT)
        last_stray_at = started_at + MAX_CALL_DELAY_S + MAX_UNNOTICED_S
        strays_until = self.lapsed_at(last_stray_at)
        return max(given_until, min(given_until + longer_s, strays_until))

    def strays_lapsed_at(self, started_at: float, now: float) -> float:
        """Return the time by which leases from calls of earlier owners have lapsed.

        The instance that answers this owner for the first time does no more for earlier
        ones, so that their calls have arrived before, and soon after its start.
        """
        last_stray_at = started_at + MAX_CALL_DELAY_S + MAX_UNNOTICED_S
        return self.lapsed_at(min(now, last_stray_at))


DEFAULT_LEASES = LeaseLimits(given_s=6.0, longest_s=10.0)


@dataclass(slots=True, eq=False)
class SentCall:
    """Call to a worker.

    Attributes
    ----------
    sent_at : float
        Time of the call.
    deadline_s : float or None
        End of the leases that it gives, on the worker's clock, in seconds.
    acknowledged : int
        Highest sequence number of an ended run that the worker may forget; 0 for none.
    listed_born_ms : int
        Start time in the worker's entry when it was sent, in milliseconds since 1970.
    run : tuple, optional
        Key of the run that it is to start.
    has_ticket : bool
        Whether it carries a ticket of the advice service. Instances of the worker that
        start after the ticket was issued refuse it.
    refused_later : bool
        Whether the present instance and all later ones refuse it.
    """

    sent_at: float
    deadline_s: float | None = None
    acknowledged: int = 0
    listed_born_ms: int = 0
    run: tuple[str, int] | None = None
    has_ticket: bool = False
    refused_later: bool = False

    @property
    def late_until(self) -> float:
        """Time after which it is not carried out any more."""
        return self.sent_at + MAX_CALL_DELAY_S

    @property
    def has_effect(self) -> bool:
        """Whether it changes anything at the worker."""
        return self.deadline_s is not None or self.acknowledged > 0


class OpenCalls:
    """Calls to one worker that have not been answered and may be carried out later."""

    def __init__(self) -> None:
        self._calls: dict[SentCall, None] = {}
        self._last_expired_grant = float("-inf")

    def add(self, call: SentCall) -> None:
        """Add a call that is about to be sent."""
        self._calls[call] = None

    def discard(self, call: SentCall) -> None:
        """Remove a call that was answered or certainly not sent."""
        self._calls.pop(call, None)

    def contains(self, call: SentCall, now: float) -> bool:
        """Return whether a call may still be carried out."""
        return call in self._calls and now < call.late_until

    def current(self, now: float) -> list[SentCall]:
        """Return the calls that may still be carried out."""
        for call in list(self._calls):
            if now >= call.late_until:
                del self._calls[call]
                if call.deadline_s is not None:
                    self._last_expired_grant = max(
                        self._last_expired_grant, call.sent_at
                    )
        return list(self._calls)

    def last_expired_grant_at(self, now: float) -> float:
        """Return the latest time at which a call may have arrived that no longer can.

        Only calls that give leases count. That is minus infinity if there are none.
        """
        self.current(now)
        return self._last_expired_grant + MAX_CALL_DELAY_S

    def acknowledgements_until(self, now: float) -> float:
        """Return the time until which acknowledgements may still be carried out.

        That is minus infinity if there are none.
        """
        acks = (call.sent_at for call in self.current(now) if call.acknowledged)
        return max(acks, default=float("-inf")) + MAX_CALL_DELAY_S

    def last_grant_sent_at(self, now: float) -> float:
        """Return when the last call was sent that gives leases and has no answer.

        That is minus infinity without one.
        """
        sent = (c.sent_at for c in self.current(now) if c.deadline_s is not None)
        return max(sent, default=self._last_expired_grant)
