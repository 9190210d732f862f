"""Jobs that their tenant's cap can never admit."""

from ...resources import Resources
from ..model import JobSpec, Tenant

__all__ = ["cap_refusal"]


def cap_refusal(spec: JobSpec, tenant: Tenant | None) -> str:
    """Return why a job could never run within its tenant's cap; empty if it could.

    One task, or all tasks of a gang, must fit in the cap. A resource whose cap is 0 has
    no limit.
    """
    if tenant is None:
        return ""
    if tenant.blocked:
        return "the tenant's cap is unreadable"
    for number, step in enumerate(spec.steps):
        need = step.need.times(step.count) if step.gang else step.need
        if _exceeds(need, tenant.cap):
            return f"step {number} exceeds the tenant's cap"
    return ""


def _exceeds(need: Resources, cap: Resources) -> bool:
    return (
        0 < cap.cpu_m < need.cpu_m
        or 0 < cap.mem_mb < need.mem_mb
        or 0 < cap.gpus < need.gpus
    )
