"""Tenants: their keys, their caps over all partitions, and their fair shares."""

from .caps import cap_refusal
from .keys import KeyOutcome, KeyPolicy, KeyTable, RefusalLog, Verdict, is_accessible
from .usage import CapLimits, Unlimited, Usage

__all__ = [
    "CapLimits",
    "KeyOutcome",
    "KeyPolicy",
    "KeyTable",
    "RefusalLog",
    "Unlimited",
    "Usage",
    "Verdict",
    "cap_refusal",
    "is_accessible",
]
