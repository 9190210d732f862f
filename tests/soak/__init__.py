"""Randomized soak of real entry processes under faults injected from outside."""
