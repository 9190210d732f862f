"""Cluster scheduler for mixed workloads on one shared set of VMs."""

from .clock import Clock, SystemClock, VirtualClock
from .codes import Code
from .exceptions import PoplaryardError
from .resources import Resources

__all__ = [
    "Clock",
    "Code",
    "PoplaryardError",
    "Resources",
    "SystemClock",
    "VirtualClock",
]
