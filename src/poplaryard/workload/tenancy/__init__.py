"""Tenants: their keys, their caps over all partitions, and their fair shares."""

from .usage import CapLimits, Unlimited, Usage

__all__ = ["CapLimits", "Unlimited", "Usage"]
