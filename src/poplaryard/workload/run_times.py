"""Run times of tasks, learned from runs that have ended.

`RunTimes` predicts the run time of a step from its declared one: by a linear regression
of the logarithms for each queue and position of the step in its job, with exponential
decay of old samples. The prediction for a position is shrunk towards that of the queue,
and that towards the declared time. Histograms of the residuals give the quantiles.

All times refer to a worker of usual speed. Nothing here reads a clock or does I/O.

`poplaryard.estimate` serves the product's own cell: its histograms are absolute and by
job class, and its classes are many and unbounded in name. Here declared times differ
from job to job within a queue, and only the error of the declaration is common to them;
the two share no state. Histograms of the hdrhistogram package hold positive integers of
a large range, at several KB each; 28 buckets of a logarithm do, and are additive, too.
"""

import math
import typing as t
from bisect import bisect_left
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import accumulate, pairwise

import msgspec

__all__ = [
    "MAX_SUMMARY_BYTES",
    "NO_RUN_TIME_USES",
    "Expectation",
    "RunTimeUses",
    "RunTimes",
]

# Maximum size of an encoded summary, in bytes; it is part of a transaction that also
# writes progress.
MAX_SUMMARY_BYTES = 8192
# Maximum number of queues kept; the least recently updated is dropped. A deployment has
# a few dozen queues in a group.
MAX_QUEUES = 128
# Number of step positions with a regression of their own; later steps share the last.
MAX_POSITIONS = 6
# Weight of the past, in samples: about twice as many samples after a change of the run
# times of a queue, the prediction has followed it.
REGRESSION_MEMORY = 50.0
# The same for the histograms. Tails are rare, so they need a longer memory.
HISTOGRAM_MEMORY = 200.0
# Number of samples that outweigh the prediction that a regression is shrunk to.
QUEUE_PRIOR = 3.0
POSITION_PRIOR = 5.0
# The same for the slope; in samples times the variance of the logarithm.
SLOPE_PRIOR = 1.0
# Upper limit of the slope: a larger one is an artefact of few samples.
MAX_SLOPE = 1.5
# Number of ended tasks of a step that outweigh the prediction for the step. Tasks of
# one step differ by 0.15 to 0.3, predictions err by 0.2 to 0.5 (logarithms).
STEP_PRIOR = 0.5
# Declared times of a queue are used as they are from this number of samples and up to
# this error (root mean square of the logarithm), by the users' requirements.
ACCURATE_SAMPLES = 20.0
ACCURATE_ERROR = 0.25
# Limit of one error in that mean, so that a task of seven times the usual length does
# not make a declaration inaccurate.
MAX_COUNTED_ERROR = 0.5
# Limit of the ratio of a predicted to the declared time (a logarithm, 30 times), and of
# run times, in seconds.
MAX_CORRECTION = 3.4
MIN_RUN_S = 0.05
MAX_RUN_S = 1e7
# Histograms: number and width of the buckets of the logarithm of measured to predicted
# time. They span a factor of 33 in both directions.
BUCKETS = 28
BUCKET_WIDTH = 0.25
_LOWEST = -BUCKETS * BUCKET_WIDTH / 2
# Spread of run times that is assumed while samples are few, by the users' requirements,
# and number of samples that outweigh it: between steps, and within a step.
BETWEEN_SPREAD = 0.5
WITHIN_SPREAD = 0.25
SPREAD_PRIOR = 4.0
# Number of samples from which the median of the residuals mostly corrects the mean.
SHIFT_PRIOR = 20.0
# Quantile beyond which the tail is not known.
MAX_QUANTILE = 0.999
# Minimum weight of a sample: a step of many tasks counts as one sample for each 16.
MIN_SAMPLE_WEIGHT = 1 / 16
# Expectations of a queue's open steps are renewed once its samples have doubled, or
# after this many samples: until then, few would change by much.
RENEWAL_SAMPLES = 64
# Largest weight that a decoded summary may claim. Decay keeps that of a partition below
# its memory; a merged one has the sum of all partitions.
MAX_WEIGHT = 1e6


@dataclass(frozen=True, slots=True)
class RunTimeUses:
    """Decisions that use learned run times instead of declared ones.

    Attributes
    ----------
    ranking : bool
        Order and lateness of waiting steps, by the time left of their job.
    objective : bool
        Time by which a job should be done.
    ends : bool
        Expected ends of runs, for reservations and early advice.
    copies : bool
        Copies of slow tasks.
    placement : bool
        Fast workers for jobs with a loose objective that have little time left.
    """

    ranking: bool = False
    objective: bool = False
    ends: bool = False
    copies: bool = False
    placement: bool = False

    def __bool__(self) -> bool:
        return (
            self.ranking or self.objective or self.ends or self.copies or self.placement
        )

    @classmethod
    def all(cls) -> "RunTimeUses":
        """Return the uses with all switched on."""
        return cls(True, True, True, True, True)


NO_RUN_TIME_USES = RunTimeUses()


def _normal_weights(spread: float) -> tuple[float, ...]:
    """Return the weights of the buckets under a normal distribution; their sum is 1."""

    def below(edge: float) -> float:
        return 0.5 * (1 + math.erf(edge / (spread * math.sqrt(2))))

    edges = [_LOWEST + BUCKET_WIDTH * number for number in range(BUCKETS + 1)]
    weights = [below(high) - below(low) for low, high in pairwise(edges)]
    total = sum(weights)
    return tuple(weight / total for weight in weights)


def _residual(cdf: t.Sequence[float], quantile: float) -> float:
    """Return a quantile of the residuals; `cdf` is cumulative by bucket."""
    rank = quantile * cdf[-1]
    bucket = min(bisect_left(cdf, rank), BUCKETS - 1)
    below = cdf[bucket - 1] if bucket else 0.0
    inside = cdf[bucket] - below
    share = min(1.0, max(0.0, (rank - below) / inside)) if inside > 0 else 0.0
    return _LOWEST + BUCKET_WIDTH * (bucket + share)


def _share_below(cdf: t.Sequence[float], residual: float) -> float:
    """Return the share of the residuals below a value."""
    place = (residual - _LOWEST) / BUCKET_WIDTH
    if place <= 0:
        return 0.0
    if place >= BUCKETS:
        return 1.0
    bucket = int(place)
    below = cdf[bucket - 1] if bucket else 0.0
    return (below + (place - bucket) * (cdf[bucket] - below)) / cdf[-1]


@dataclass(frozen=True, slots=True)
class Expectation:
    """Expected run time of a task on a worker of usual speed.

    Attributes
    ----------
    median_s : float
        Median in seconds.
    cdf : tuple of float, shape (BUCKETS,)
        Cumulative histogram of the logarithm of measured to predicted time.
    """

    median_s: float
    cdf: tuple[float, ...]

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the run time in seconds."""
        offset = _residual(self.cdf, quantile) - _residual(self.cdf, 0.5)
        return self.median_s * math.exp(offset)

    def remaining_s(self, age_s: float) -> float:
        """Return the median time left of a run that has run for `age_s`, in seconds.

        A run that is older than all known ones has no time left.
        """
        if age_s <= 0:
            return self.median_s
        center = _residual(self.cdf, 0.5)
        # The difference of logarithms, as the quotient may be too small for a float.
        residual = math.log(age_s) - math.log(self.median_s) + center
        share = _share_below(self.cdf, residual)
        quantile = min(share + (1 - share) / 2, MAX_QUANTILE)
        return max(0.0, self.quantile_s(quantile) - age_s)


@dataclass(slots=True)
class _Regression:
    """Weighted regression of log run time on log declared time.

    Means and centred sums stay accurate where plain sums would cancel.
    """

    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    sum_errors: float = 0.0

    def add(self, x: float, y: float, weight: float) -> None:
        kept = math.exp(-weight / REGRESSION_MEMORY)
        self.weight *= kept
        self.sum_xx *= kept
        self.sum_xy *= kept
        self.sum_errors *= kept
        error = min(abs(y - x), MAX_COUNTED_ERROR)
        self.merge(_Regression(weight, x, y, 0.0, 0.0, weight * error * error))

    def merge(self, other: "_Regression") -> None:
        weight = self.weight + other.weight
        if weight <= 0 or other.weight <= 0:
            return
        share = other.weight / weight
        dx, dy = other.mean_x - self.mean_x, other.mean_y - self.mean_y
        self.sum_xx += other.sum_xx + dx * dx * self.weight * share
        self.sum_xy += other.sum_xy + dx * dy * self.weight * share
        self.sum_errors += other.sum_errors
        self.mean_x += dx * share
        self.mean_y += dy * share
        self.weight = weight

    @property
    def accurate(self) -> bool:
        """Whether declared times have proven accurate."""
        limit = ACCURATE_ERROR**2 * self.weight
        return self.weight >= ACCURATE_SAMPLES and self.sum_errors < limit

    def line(
        self, prior: t.Callable[[float], float], prior_slope: float, strength: float
    ) -> tuple[float, float]:
        """Return value at the mean and slope, shrunk towards the line of a prior."""
        total = self.weight + strength
        level = (self.weight * self.mean_y + strength * prior(self.mean_x)) / total
        slope = (self.sum_xy + SLOPE_PRIOR * prior_slope) / (self.sum_xx + SLOPE_PRIOR)
        return level, min(MAX_SLOPE, max(0.0, slope))

    def encoded(self) -> list[float]:
        values = (
            self.weight,
            self.mean_x,
            self.mean_y,
            self.sum_xx,
            self.sum_xy,
            self.sum_errors,
        )
        return [round(value, 4) for value in values]


class _Histogram:
    """Weighted histogram of residuals, mixed with a prior spread."""

    def __init__(self, prior: tuple[float, ...]):
        self._prior = prior
        self._cdf: tuple[float, ...] | None = None
        self.weights = [0.0] * BUCKETS

    def add(self, residual: float, weight: float) -> None:
        kept = math.exp(-weight / HISTOGRAM_MEMORY)
        weights = [kept * other for other in self.weights]
        bucket = int((residual - _LOWEST) / BUCKET_WIDTH)
        weights[min(BUCKETS - 1, max(0, bucket))] += weight
        self.weights = weights
        self._cdf = None

    def merge(self, weights: t.Sequence[float]) -> None:
        self.weights = [
            mine + other for mine, other in zip(self.weights, weights, strict=True)
        ]
        self._cdf = None

    def cdf(self) -> tuple[float, ...]:
        if self._cdf is None:
            pairs = zip(self.weights, self._prior, strict=True)
            mixed = (weight + SPREAD_PRIOR * prior for weight, prior in pairs)
            self._cdf = tuple(accumulate(mixed))
        return self._cdf

    def shift(self) -> float:
        """Return the median of the residuals, shrunk towards 0 while they are few."""
        weight = sum(self.weights)
        return _residual(self.cdf(), 0.5) * weight / (weight + SHIFT_PRIOR)


_BETWEEN_PRIOR = _normal_weights(BETWEEN_SPREAD)
_WITHIN_PRIOR = _normal_weights(WITHIN_SPREAD)


def _identity(x: float) -> float:
    return x


@dataclass(slots=True)
class _QueueTimes:
    """Samples of a queue: of all steps, and by position.

    Attributes
    ----------
    samples, renew_at : int
        Number of samples, and the number at which expectations are renewed next.
    """

    all: _Regression = field(default_factory=_Regression)
    positions: dict[int, _Regression] = field(default_factory=dict)
    between: _Histogram = field(default_factory=lambda: _Histogram(_BETWEEN_PRIOR))
    within: _Histogram = field(default_factory=lambda: _Histogram(_WITHIN_PRIOR))
    samples: int = 0
    renew_at: int = 1

    def predicted(self, position: int, x: float) -> float:
        """Return the predicted mean of the log run time of a step."""
        if self.all.accurate:
            return x
        level, slope = self.all.line(_identity, 1.0, QUEUE_PRIOR)

        def of_queue(at: float) -> float:
            return level + slope * (at - self.all.mean_x)

        found = self.positions.get(min(position, MAX_POSITIONS - 1))
        if found is None:
            y = of_queue(x)
        else:
            level_at, slope_at = found.line(of_queue, slope, POSITION_PRIOR)
            y = level_at + slope_at * (x - found.mean_x)
        return min(x + MAX_CORRECTION, max(x - MAX_CORRECTION, y))


class _QueueSummary(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    regression: list[float]
    positions: dict[int, list[float]]
    between: list[float]
    within: list[float]


_decoder = msgspec.json.Decoder(dict[str, _QueueSummary])
_encoder = msgspec.json.Encoder()


def _checked_regression(values: list[float]) -> _Regression:
    """Return a decoded regression; raises `msgspec.ValidationError`."""
    if len(values) != 6:
        raise msgspec.ValidationError("wrong number of sums")
    found = _Regression(*values)
    low, high = math.log(MIN_RUN_S) - 1, math.log(MAX_RUN_S) + 1
    spread = found.weight * (high - low) ** 2 + 1
    if not (
        0 <= found.weight <= MAX_WEIGHT
        and low <= found.mean_x <= high
        and low <= found.mean_y <= high
        and 0 <= found.sum_xx <= spread
        and abs(found.sum_xy) <= spread
        and 0 <= found.sum_errors <= spread
    ):
        raise msgspec.ValidationError("sum out of range")
    return found


def _checked_weights(values: list[float]) -> list[float]:
    """Return the weights of a decoded histogram; raises `msgspec.ValidationError`."""
    if len(values) != BUCKETS or not all(0 <= value <= MAX_WEIGHT for value in values):
        raise msgspec.ValidationError("invalid histogram")
    return values


class RunTimes:
    """Expected run times by queue and step position.

    Attributes
    ----------
    changed : bool
        Whether samples came in since the last `encoded` that was written; the caller
        resets it.
    improved : set of str
        Queues whose expectations should be renewed; the caller clears it.
    """

    def __init__(self) -> None:
        self._queues: OrderedDict[str, _QueueTimes] = OrderedDict()
        self.changed = False
        self.improved: set[str] = set()

    def __len__(self) -> int:
        return len(self._queues)

    def add(
        self,
        queue: str,
        position: int,
        declared_s: float,
        run_s: float,
        weight: float = 1.0,
    ) -> None:
        """Add the run time of a task, scaled to a worker of usual speed.

        Parameters
        ----------
        declared_s, run_s : float
            Declared and measured time in seconds. Values that are not finite are
            ignored.
        weight : float
            Weight of the sample, at least `MIN_SAMPLE_WEIGHT` and at most 1.
        """
        if not (math.isfinite(declared_s) and math.isfinite(run_s) and run_s >= 0):
            return
        weight = min(1.0, max(MIN_SAMPLE_WEIGHT, weight))
        x, y = _log(declared_s), _log(run_s)
        found = self._of_queue(queue)
        found.between.add(y - found.predicted(position, x), weight)
        found.all.add(x, y, weight)
        slot = min(max(0, position), MAX_POSITIONS - 1)
        found.positions.setdefault(slot, _Regression()).add(x, y, weight)
        self.changed = True
        found.samples += 1
        if found.samples >= found.renew_at:
            found.renew_at += min(found.samples, RENEWAL_SAMPLES)
            self.improved.add(queue)

    def add_within(self, queue: str, ratio: float) -> None:
        """Add the ratio of a task's run time to the mean of others of its step."""
        if math.isfinite(ratio) and ratio > 0:
            self._of_queue(queue).within.add(math.log(ratio), 1.0)
            self.changed = True

    def expected(
        self,
        queue: str,
        position: int,
        declared_s: float,
        ended: int = 0,
        ended_log_mean: float = 0.0,
    ) -> Expectation:
        """Return the expected run time of the tasks of a step.

        Parameters
        ----------
        declared_s : float
            Declared run time in seconds.
        ended : int
            Number of the step's tasks that have ended.
        ended_log_mean : float
            Mean logarithm of their run times, scaled to a worker of usual speed.
        """
        x = _log(declared_s)
        found = self._queues.get(queue) or _QueueTimes()
        y = found.predicted(position, x)
        if not found.all.accurate:
            y += found.between.shift()
        if not ended:
            return Expectation(math.exp(y), found.between.cdf())
        mean = min(_log(MAX_RUN_S), max(_log(0.0), ended_log_mean))
        y = (STEP_PRIOR * y + ended * mean) / (STEP_PRIOR + ended)
        return Expectation(math.exp(y), found.within.cdf())

    def merge(self, other: "RunTimes") -> None:
        """Add the samples of another instance; the order of merges doesn't matter."""
        for name, theirs in other._queues.items():
            mine = self._of_queue(name)
            mine.all.merge(theirs.all)
            for position, regression in theirs.positions.items():
                mine.positions.setdefault(position, _Regression()).merge(regression)
            mine.between.merge(theirs.between.weights)
            mine.within.merge(theirs.within.weights)

    def encoded(self) -> bytes:
        """Return a summary of at most `MAX_SUMMARY_BYTES`.

        If it would be larger, the least recently updated queues are left out.
        """
        parts: list[bytes] = []
        size = len(b"{}")
        for name, times in reversed(self._queues.items()):
            summary = _QueueSummary(
                times.all.encoded(),
                {
                    position: item.encoded()
                    for position, item in times.positions.items()
                },
                [round(weight, 1) or 0 for weight in times.between.weights],
                [round(weight, 1) or 0 for weight in times.within.weights],
            )
            part = _encoder.encode({name: summary})[1:-1]
            if size + len(part) + 1 > MAX_SUMMARY_BYTES:
                continue
            size += len(part) + 1
            parts.append(part)
        return b"{" + b",".join(reversed(parts)) + b"}"

    @classmethod
    def decoded(cls, value: bytes) -> "RunTimes":
        """Return the samples of a summary; raises `msgspec.DecodeError`.

        A summary with an invalid part is invalid as a whole.
        """
        if len(value) > MAX_SUMMARY_BYTES:
            raise msgspec.ValidationError("summary is too large")
        found = cls()
        for name, summary in _decoder.decode(value).items():
            times = found._of_queue(name)
            times.all = _checked_regression(summary.regression)
            for position, values in summary.positions.items():
                if not 0 <= position < MAX_POSITIONS:
                    raise msgspec.ValidationError("position out of range")
                times.positions[position] = _checked_regression(values)
            times.between.merge(_checked_weights(summary.between))
            times.within.merge(_checked_weights(summary.within))
        return found

    def _of_queue(self, queue: str) -> _QueueTimes:
        found = self._queues.get(queue)
        if found is None:
            found = self._queues[queue] = _QueueTimes()
            if len(self._queues) > MAX_QUEUES:
                dropped, _ = self._queues.popitem(last=False)
                self.improved.discard(dropped)
        else:
            self._queues.move_to_end(queue)
        return found


def _log(seconds: float) -> float:
    """Return the logarithm of a time, which is limited to a range."""
    return math.log(min(MAX_RUN_S, max(MIN_RUN_S, seconds)))
