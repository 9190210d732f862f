"""Messages that explain why work waits or can never be placed."""

from .gangs import Gangs
from .jobs import Job
from .messages import WorkKind
from .resources import Resources
from .state import ShardState

__all__ = ["Reasons"]


class Reasons:
    """Builds the reasons that one shard gives in `explain` and in refusals."""

    def __init__(self, state: ShardState):
        self._state = state

    def unplaceable(self, job: Job, gangs: Gangs) -> str:
        """Return why a job can never be placed in this shard; empty if it can."""
        work, fleet = job.work, self._state.fleet
        if work.kind is WorkKind.REQUEST or not fleet.vms:
            return ""
        where = f"VM of group {work.group}" if work.group else "VM"
        if fleet.largest_shape(work.need, work.group) is None:
            need = _resources_text(work.need)
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

    def exceeds_team_limit(self, job: Job) -> str:
        """Return why a job alone exceeds its team's limit; empty if it does not."""
        spec = self._state.config.teams.get(job.work.team)
        if spec is None or spec.limit is None:
            return ""
        work = job.work
        tasks = work.tasks if work.kind is WorkKind.GANG else 1
        if work.need.times(tasks).fits_in(spec.limit):
            return ""
        return f"The work is larger than the limit of team {work.team}."

    def team_at_limit(self, job: Job) -> str:
        """Return that the team of a job is at its limit or over its fair share."""
        team = job.work.team
        return f"Team {team} is at its limit, or has its share while others wait."

    def kept_for_short(self, job: Job) -> str:
        """Return that the free capacity is reserved for short work."""
        return f"The room left in {self._shard} is kept for short work."

    def key_taken(self) -> str:
        """Return that other work runs under the same exclusive key."""
        return f"Other work runs under its exclusive key in {self._shard}."

    def no_room(self, job: Job, charge: Resources) -> str:
        """Return which resource a job waits for: executors, or free capacity."""
        work = job.work
        if work.kind is WorkKind.REQUEST:
            return f"All executors of {work.target} in {self._shard} are busy."
        return f"No VM in {self._shard} has {_resources_text(charge)} free now."

    def gang_waits(self, job: Job, reserved: bool) -> str:
        """Return what a gang waits for."""
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


def _resources_text(need: Resources) -> str:
    """Return an amount of resources as text."""
    text = f"{need.cpu_m / 1000:g} cores and {need.mem_mb} MB"
    return f"{text} and {need.gpus} GPUs" if need.gpus else text
