"""Tenants: their keys, their caps over all partitions, and their fair shares."""

from .accounts import TenantAccounts
from .shares import ShareOrder, Shares
from .usage import CapLimits, Unlimited, Usage

__all__ = [
    "CapLimits",
    "ShareOrder",
    "Shares",
    "TenantAccounts",
    "Unlimited",
    "Usage",
]
