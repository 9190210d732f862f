"""Tenants: their keys, their caps over all partitions, and their fair shares."""

from .accounts import TenantAccounts
from .caps import cap_refusal
from .keys import KeyOutcome, KeyPolicy, KeyTable, RefusalLog, Verdict, is_accessible
from .shares import ShareOrder, Shares
from .usage import CapLimits, Unlimited, Usage

__all__ = [
    "CapLimits",
    "KeyOutcome",
    "KeyPolicy",
    "KeyTable",
    "RefusalLog",
    "ShareOrder",
    "Shares",
    "TenantAccounts",
    "Unlimited",
    "Usage",
    "Verdict",
    "cap_refusal",
    "is_accessible",
]
