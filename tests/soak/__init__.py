"""Randomized soak test of real entry processes with faults injected from outside."""
