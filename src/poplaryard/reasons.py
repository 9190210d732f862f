"""Sentences that say why work waits or can never be placed."""

from .gangs import Gangs
from .jobs import Job
from .messages import WorkKind
from .resources import Resources
from .state import ShardState

__all__ = ["Reasons"]


class Reasons:
    """Reasons in one shard, as `explain` and refusals give them."""

    def __init__(self, state: ShardState):
        self._state = state

    def never(self, job: Job, gangs: Gangs) -> str:
        """Say why a job can never be placed here; empty if it can."""
        work, fleet = job.work, self._state.fleet
        if work.kind is WorkKind.REQUEST or not fleet.vms:
            return ""
        where = f"VM of group {work.group}" if work.group else "VM"
        if fleet.largest_shape(work.need, work.group) is None:
            need = _text(work.need)
            return f"No {where} in {self._shard} is large enough for {need}."
        if work.kind is not WorkKind.GANG:
            return ""
        limit = gangs.max_parallel(work.need, work.group)
        if limit >= work.tasks:
            return ""
        return (
            f"At most {limit} of the {work.tasks} tasks of the gang can run at once "
            f"in {self._shard}."
        )

    def beyond_quota(self, job: Job) -> str:
        """Say why a job exceeds its team's limit even alone; empty if it does not."""
        spec = self._state.config.teams.get(job.work.team)
        if spec is None or spec.limit is None:
            return ""
        work = job.work
        whole = work.tasks if work.kind is WorkKind.GANG else 1
        if work.need.times(whole).fits_in(spec.limit):
            return ""
        return f"The work is larger than the limit of team {work.team}."

    def over_quota(self, job: Job) -> str:
        """Say that a team must wait for others, or for its own work to end."""
        team = job.work.team
        return f"Team {team} is at its limit, or has its share while others wait."

    def kept_for_short(self, job: Job) -> str:
        """Say that long work may not take more room now."""
        return f"The room left in {self._shard} is kept for short work."

    def key_taken(self) -> str:
        """Say that other work runs under the same exclusive key."""
        return f"Other work runs under its exclusive key in {self._shard}."

    def no_room(self, job: Job, charge: Resources) -> str:
        """Say what a job does not find now."""
        work = job.work
        if work.kind is WorkKind.REQUEST:
            return f"All executors of {work.target} in {self._shard} are busy."
        return f"No VM in {self._shard} has {_text(charge)} free now."

    def gang_waits(self, job: Job, reserved: bool) -> str:
        """Say what a gang waits for."""
        count = len(job.pending)
        if reserved:
            return (
                f"Room for all {count} tasks is reserved in {self._shard} and becomes "
                "free as other tasks end."
            )
        return (
            f"There is no room for all {count} tasks at once in {self._shard}, and "
            "another gang holds the reservation."
        )

    @property
    def _shard(self) -> str:
        return f"shard {self._state.shard}"


def _text(need: Resources) -> str:
    """Return an amount as words."""
    text = f"{need.cpu_m / 1000:g} cores and {need.mem_mb} MB"
    return f"{text} and {need.gpus} GPUs" if need.gpus else text
