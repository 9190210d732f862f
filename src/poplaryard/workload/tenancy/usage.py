"""Resources that a tenant uses in a partition, and the limit on them."""

import typing as t
from dataclasses import dataclass

from ...resources import ZERO, Resources

__all__ = ["CapLimits", "Unlimited", "Usage"]


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources of a tenant in one partition.

    Attributes
    ----------
    used : Resources
        Full needs of all runs that may be in progress.
    waiting : Resources
        Needs of the waiting tasks that could start if nothing but the cap held them.
    """

    used: Resources = ZERO
    waiting: Resources = ZERO


class CapLimits(t.Protocol):
    """Limit on what each tenant may run in one partition."""

    def may_start(self, tenant: str, used: Resources, need: Resources) -> bool:
        """Return whether `need` may be started beside what the tenant uses here."""

    def available(self, tenant: str) -> Resources | None:
        """Return what the tenant may use here; None without a limit."""


class Unlimited:
    """Limit of a deployment without tenants."""

    def may_start(self, tenant: str, used: Resources, need: Resources) -> bool:
        """Return True."""
        return True

    def available(self, tenant: str) -> Resources | None:
        """Return None."""
        return None
