"""Ejection policies weighed against the sliding window."""

__all__ = ["Consecutive", "NoEjection", "SuccessRate"]

_FAILURES = 5
_COOL_S = 5.0
_RATE_WEIGHT = 0.1


class NoEjection:
    """Every VM keeps its full weight."""

    def __init__(self) -> None:
        self._groups: dict[str, str] = {}

    def add(self, vm: str, group: str = "") -> None:
        """Take up a VM."""
        self._groups[vm] = group

    def forget(self, vm: str) -> None:
        """Drop a VM."""

    def record(self, now: float, vm: str, ok: bool, elapsed_s: float) -> None:
        """Take a result."""

    def weight(self, now: float, vm: str) -> float:
        """Return the weight of a VM."""
        return 1.0


class Consecutive(NoEjection):
    """Out for some seconds after a number of failures in a row, then fully back."""

    def __init__(self) -> None:
        super().__init__()
        self._failures: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def record(self, now: float, vm: str, ok: bool, elapsed_s: float) -> None:
        """Take a result."""
        self._failures[vm] = 0 if ok else self._failures.get(vm, 0) + 1
        out = sum(until > now for until in self._until.values())
        if self._failures[vm] >= _FAILURES and out + 1 <= len(self._groups) / 2:
            self._until[vm] = now + _COOL_S
            self._failures[vm] = 0

    def weight(self, now: float, vm: str) -> float:
        """Return the weight of a VM."""
        return 0.0 if self._until.get(vm, 0.0) > now else 1.0


class SuccessRate(NoEjection):
    """Weight by the moving success rate; below one half a VM gets a trickle."""

    def __init__(self) -> None:
        super().__init__()
        self._rates: dict[str, float] = {}

    def record(self, now: float, vm: str, ok: bool, elapsed_s: float) -> None:
        """Take a result."""
        rate = self._rates.get(vm, 1.0)
        self._rates[vm] = rate + _RATE_WEIGHT * (ok - rate)

    def weight(self, now: float, vm: str) -> float:
        """Return the weight of a VM."""
        rate = self._rates.get(vm, 1.0)
        if rate >= 0.5:
            return 1.0
        # `Health` notices a VM by a weight of 0 at the time of a result.
        return 0.0 if rate < 0.02 else 0.05
