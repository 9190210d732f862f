"""Account of what each tenant may have running in one partition."""

import typing as t

from ...resources import ZERO, Resources

__all__ = ["TenantAccounts", "unreported_bound"]


class TenantAccounts:
    """Needs of the known runs by tenant, and the number of jobs by tenant.

    Each method takes constant time, except `earlier_tenants`. The empty name, which
    jobs without a tenant have, is not accounted for.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}
        self._runs: dict[str, int] = {}
        self._jobs: dict[str, int] = {}
        self._earlier_jobs: dict[str, int] = {}

    @property
    def has_jobs(self) -> bool:
        """Whether any job belongs to a tenant."""
        return bool(self._jobs)

    def add_job(self, tenant: str, fresh: bool) -> None:
        """Count a job; a job is fresh if no earlier owner can have started it."""
        _count(self._jobs, tenant, 1)
        if not fresh:
            _count(self._earlier_jobs, tenant, 1)

    def remove_job(self, tenant: str, fresh: bool) -> None:
        """Count one job fewer."""
        _count(self._jobs, tenant, -1)
        if not fresh:
            _count(self._earlier_jobs, tenant, -1)

    def add_run(self, tenant: str, need: Resources) -> None:
        """Charge a tenant with the need of a run."""
        if tenant:
            self._used[tenant] = self._used.get(tenant, ZERO) + need
            _count(self._runs, tenant, 1)

    def remove_run(self, tenant: str, need: Resources) -> None:
        """Take back the charge for a run that is certainly not in progress."""
        if tenant:
            self._used[tenant] = self._used[tenant] - need
            _count(self._runs, tenant, -1)
            if tenant not in self._runs:
                del self._used[tenant]

    def used(self, tenant: str) -> Resources:
        """Return the needs of the known runs of a tenant."""
        return self._used.get(tenant, ZERO)

    def all_used(self) -> t.Mapping[str, Resources]:
        """Return the needs of the known runs of all tenants that have any."""
        return self._used

    def earlier_tenants(self) -> t.Collection[str]:
        """Return the tenants with jobs that an earlier owner may have started."""
        return self._earlier_jobs.keys()


def _count(counts: dict[str, int], tenant: str, change: int) -> None:
    """Change a count; counts of 0 are removed."""
    if not tenant:
        return
    counts[tenant] = counts.get(tenant, 0) + change
    if not counts[tenant]:
        del counts[tenant]


def unreported_bound(
    capacities: t.Iterable[Resources | None], largest: Resources
) -> Resources:
    """Return a bound on what workers may run whose runs are not known.

    Parameters
    ----------
    capacities : iterable of Resources or None
        Capacity of each worker; None if it is not known.
    largest : Resources
        Counted for each worker whose capacity is not known.
    """
    return sum(
        (largest if capacity is None else capacity for capacity in capacities), ZERO
    )
