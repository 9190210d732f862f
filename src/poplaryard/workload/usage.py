"""What tenants use in a partition, and what they wait for."""

import typing as t

from ..resources import ZERO, Resources
from .jobtable import JobTable
from .runtime import Run, StepRun, Worker
from .tenancy import Shares, Usage
from .tenancy.accounts import unreported_bound

__all__ = ["MAX_TENANTS_SHOWN", "UsageReporter"]

# Maximum number of tenants with metrics, to bound the number of time series.
MAX_TENANTS_SHOWN = 100


# What a task is charged for at its worker, and at its tenant, and the number of tasks
# that start together. A named tuple would take three times as long to create.
_Unit: t.TypeAlias = tuple[Resources, Resources, int]


class UsageReporter(JobTable):
    """Reports the usage of tenants, also of runs that are not accounted for.

    These are runs that this owner did not adopt but ordered to be stopped, and runs of
    an earlier owner on workers that have not reported yet.
    """

    def __init__(self, *args: t.Any, **fields: t.Any):
        super().__init__(*args, **fields)
        # Workers that were dropped while they may have had runs to be stopped.
        self._dropped: list[Worker] = []
        # Amounts that wait, as of the last pass; None if they are to be computed.
        self._waiting_amounts: dict[str, Resources] | None = None

    def tenant_usage(self, now: float) -> dict[str, Usage]:
        """Return what each tenant uses and waits for.

        `Usage.used` is the full need of all runs that may be in progress. `waiting`
        refers to the last pass and is limited to what the tenant could start soon: the
        free room of the partition, what is missing to the tenant's fair share, and in
        any case one task or gang. A tenant that waits for room which others occupy thus
        doesn't claim a part of its cap that it can't use here.
        """
        if not self._accounts.has_jobs:
            return {}
        used = dict(self._accounts.all_used())
        for tenant, amount in self._unaccounted_usage(now).items():
            used[tenant] = used.get(tenant, ZERO) + amount
        if self._waiting_amounts is None:
            self._waiting_amounts = self._amounts_waiting(now)
        waiting = self._waiting_amounts
        return {
            tenant: Usage(used.get(tenant, ZERO), waiting.get(tenant, ZERO))
            for tenant in used.keys() | waiting.keys()
        }

    def tenant_figures(self, now: float) -> dict[str, dict[str, float]]:
        """Return the figures of the tenants that use or wait for most, for metrics.

        Returns
        -------
        dict of str to dict
            By tenant: `weight`, `share`, `fair_share`, and an amount for each resource
            (such as `used_cpu_m`) of `cap`, `used`, `waiting` and `available`. Limits
            that there are not are left out.
        """
        total = self._total_capacity()
        usage = self.tenant_usage(now)
        shares = self._shares_of(self._waiting)
        if shares is None:
            return {}

        def weight_here(tenant: str) -> float:
            amounts = usage[tenant]
            return (amounts.used + amounts.waiting).dominant_share(total)

        figures = {}
        for tenant in sorted(usage, key=weight_here, reverse=True)[:MAX_TENANTS_SHOWN]:
            found = {
                "share": shares.share(tenant),
                "fair_share": shares.fair_share(tenant),
                **_by_resource("used", usage[tenant].used),
                **_by_resource("waiting", usage[tenant].waiting),
            }
            spec = self._tenants.get(tenant)
            if spec is not None:
                found["weight"] = spec.weight
                cap = _by_resource("cap", spec.cap)
                found |= {name: value for name, value in cap.items() if value}
            available = self.caps.available(tenant)
            if available is not None:
                found |= _by_resource("available", available)
            figures[tenant] = found
        return figures

    def _begin_tenants(self, now: float) -> None:
        """Update, at the start of a pass, what is known of the tenants' usage."""
        self._refused.clear()
        self._waiting_amounts = None
        self._unaccounted = {}
        if self._accounts.has_jobs:
            self._unaccounted = self._unaccounted_usage(now)

    def _unaccounted_usage(self, now: float) -> dict[str, Resources]:
        """Return a bound by tenant on what runs use that are not accounted for."""
        found: dict[str, Resources] = {}

        def add_task(name: str) -> None:
            tenant, need = self._tenant_and_need(name)
            if tenant:
                found[tenant] = found.get(tenant, ZERO) + need

        self._dropped = [
            worker for worker in self._dropped if self._may_run_rejected(worker, now)
        ]
        for worker in [*self.workers.values(), *self._dropped]:
            if worker.rejected_runs and self._may_run_rejected(worker, now):
                for key in worker.rejected_runs - worker.runs.keys():
                    add_task(key[0])
        for suspect in self._current_suspects(now).values():
            for name in suspect.tasks or ():
                add_task(name)
        unreported = self._unreported_workers(now)
        if not unreported:
            return found
        capacities = [self._known_capacity(name) for name in unreported]
        largest = ZERO
        for worker in self.workers.values():
            largest = largest.maximum(worker.info.capacity)
        bound = unreported_bound(capacities, largest)
        for tenant in self._accounts.earlier_tenants():
            amount = bound
            if largest == ZERO:
                # Nothing bounds the workers; the earlier owner kept to the allotment.
                amount = self.caps.available(tenant) or ZERO
            found[tenant] = found.get(tenant, ZERO) + amount
        return found

    def _unreported_workers(self, now: float) -> set[str]:
        """Return the workers that may hold unknown runs of an earlier owner.

        Listed workers count until all leases of the earlier owner have lapsed, also if
        it did not record them. A worker with a record of all its tasks does not count.
        """
        suspects = self._current_suspects(now)
        found = {name for name, suspect in suspects.items() if suspect.tasks is None}
        if now < self._quarantine_until:
            found.update(
                worker.worker_id
                for worker in self.workers.values()
                if worker.listed
                and not worker.synced
                and not worker.gone
                # A suspect either counts already, or all of its tasks are known.
                and worker.worker_id not in suspects
            )
        return found

    def _known_capacity(self, worker_id: str) -> Resources | None:
        worker = self.workers.get(worker_id)
        known = worker is not None and worker.info.capacity != ZERO
        return worker.info.capacity if worker is not None and known else None

    def _tenant_and_need(self, task: str) -> tuple[str, Resources]:
        """Return the tenant and the need of a task by its name.

        The tenant is empty if the job is not known or has none.
        """
        job_id, *numbers = task.split(".")
        job = self.jobs.get(job_id)
        try:
            if job is not None:
                return job.spec.tenant, job.spec.steps[int(numbers[1])].need
        except (IndexError, ValueError):
            pass  # A worker may list a name that no owner has given.
        return "", ZERO

    def _may_run_rejected(self, worker: Worker, now: float) -> bool:
        """Return whether runs that a worker was ordered to stop may be in progress."""
        if worker.gone:
            return False
        if worker.reachable or not self.sole_owner:
            return True
        return now <= worker.leases_expired_at()

    def _worker_dropped(self, worker: Worker) -> None:
        if worker.rejected_runs:
            self._dropped.append(worker)

    def _amounts_waiting(self, now: float) -> dict[str, Resources]:
        """Return what each tenant could start soon; see `tenant_usage`."""
        shares = self._shares
        if shares is None:
            return {}
        free = largest = ZERO
        for worker in self.workers.values():
            if worker.usable(now):
                free = free + worker.free()
                largest = largest.maximum(worker.info.capacity)
        labels = {
            label for worker in self.workers.values() for label in worker.info.labels
        }
        # Number of tasks and gangs that wait, by tenant and what they need.
        counts: dict[str, dict[_Unit, int]] = {}
        for step in self._waiting:
            if not step.tenant or (step.spec.label and step.spec.label not in labels):
                continue
            waiting = len(step.waiting(now))
            size = step.spec.count if step.spec.gang else 1
            if waiting < size or step.job.progress.state.final:
                continue
            units = counts.get(step.tenant)
            if units is None:
                units = counts[step.tenant] = {}
            unit = step.need, step.spec.need, size
            units[unit] = units.get(unit, 0) + waiting // size
        return {
            tenant: _startable(units, free + shares.missing(tenant), largest)
            for tenant, units in counts.items()
        }

    def _has_risen(self, step: StepRun) -> bool:
        """Return whether the tenant's level has risen since the step was due."""
        shares = self._shares
        return shares is not None and shares.level(step.tenant) > step.rank[1]

    def _take_shares(self, step: StepRun, victims: t.Sequence[Run]) -> bool:
        """Take what runs use from the shares of their tenants, as they are preempted.

        Returns False, and changes nothing, if one of the tenants would come below its
        fair share by the others, and the step's tenant is above.
        """
        if self._shares is None:
            return True
        shares = self._shares.copy()
        for run in victims:
            other = run.task.step
            if not shares.may_preempt(step.tenant, other.tenant):
                return False
            shares.charge(other.tenant, ZERO - other.spec.need)
        for run in victims:
            other = run.task.step
            self._shares.charge(other.tenant, ZERO - other.spec.need)
        return True

    def _sort_by_share(self, steps: list[StepRun], shares: Shares) -> None:
        """Sort waiting steps by the shares that the tenants have now."""
        for step in steps:
            priority, _, lateness, due_at = step.rank
            step.rank = priority, shares.level(step.tenant), lateness, due_at
        steps.sort(key=lambda step: step.rank)

    def _log_held(self, step: StepRun, now: float) -> None:
        """Log that a tenant waits for room because it is above its fair share."""
        shares, tenant = self._shares, step.tenant
        if shares is None or not self._tenant_log_due(tenant, now):
            return
        if shares.fair_share(tenant) >= 1.0 or not step.waiting(now):
            return
        extra = {
            "share": round(shares.share(tenant), 3),
            "fair_share": round(shares.fair_share(tenant), 3),
        }
        self._log_tenant("tenant held at its share", tenant, extra, now)


def _startable(
    units: t.Mapping[_Unit, int], room: Resources, largest: Resources
) -> Resources:
    """Return what of a tenant's waiting tasks and gangs fits in a room.

    Of the first that an empty worker could run, one always counts.

    Parameters
    ----------
    units : mapping of _Unit to int
        Numbers of tasks and gangs, the most urgent first.
    largest : Resources
        Largest capacity of a worker.
    """
    found = ZERO
    for (task_charged, need, size), waiting in units.items():
        if not task_charged.fits_in(largest):
            continue
        charged = task_charged.times(size)
        count = min(waiting, charged.fit_count(room) if charged.fits_in(room) else 0)
        if found == ZERO:
            count = max(count, 1)
        if count:
            found = found + need.times(size * count)
            room = room - charged.times(count)
    return found


def _by_resource(name: str, amount: Resources) -> dict[str, float]:
    return {
        f"{name}_cpu_m": amount.cpu_m,
        f"{name}_mem_mb": amount.mem_mb,
        f"{name}_gpus": amount.gpus,
    }
