"""Running statistics: decaying sums, shrinkage estimates, key frequencies and sliding windows."""

from __future__ import annotations

import math
from collections import deque

PRIOR_SAMPLES = 2.0  # samples that the parent's estimate counts for
PRIOR_OBSERVATIONS = 10.0  # of other keys, assumed to precede those that are counted

_FIXED_POINT_SCALE = float(1 << 40)


class DecayingSum:
    """A sum whose terms decay exponentially with time."""

    __slots__ = ("_sum", "_updated_at", "time_constant_s")

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add a term at clock time ``now``."""
        if self._sum:
            self._sum = self._sum * math.exp((self._updated_at - now) / self.time_constant_s) + amount
        else:
            self._sum = amount
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the sum at clock time ``now``."""
        return self._sum * math.exp((self._updated_at - now) / self.time_constant_s) if self._sum else 0.0

    def state(self) -> tuple[float, float]:
        """Return the sum and the clock time at which it had this value."""
        return self._sum, self._updated_at

    def restore(self, total: float, at: float) -> None:
        """Replace the sum by ``total`` as of clock time ``at``."""
        self._sum = total
        self._updated_at = at


class ShrinkageEstimate:
    """A running mean that is shrunk towards its parent's while it is based on few samples."""

    __slots__ = ("__weakref__", "_count", "_mean", "_min_step", "_parent")

    def __init__(self, parent: ShrinkageEstimate | None, min_step: float) -> None:
        """``min_step`` is the minimum weight of a new sample; older samples decay at that rate."""
        self._parent = parent
        self._min_step = min_step
        self._count = 0.0
        self._mean = 0.0

    def add(self, value: float) -> None:
        """Add a sample to this estimate and its ancestors."""
        self._count += 1.0
        self._mean += max(1.0 / self._count, self._min_step) * (value - self._mean)
        if self._parent is not None:
            self._parent.add(value)

    def value(self) -> float:
        """Return the estimate, or 0.0 if there are no samples."""
        if self._parent is None:
            return self._mean
        weight = min(self._count, 1.0 / self._min_step)
        return (weight * self._mean + PRIOR_SAMPLES * self._parent.value()) / (weight + PRIOR_SAMPLES)

    def state(self) -> tuple[float, float]:
        """Return the number of samples and their mean without the parent's."""
        return self._count, self._mean

    def restore(self, count: float, mean: float) -> None:
        """Replace the number of samples and their mean."""
        self._count = count
        self._mean = mean


class FrequencyCounter:
    """Approximate counts of many keys; the counts of rare and old keys are dropped."""

    __slots__ = ("_counts", "_max_keys", "_total")

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def share(self, key: int) -> float:
        """Return the share of this key in all observations, from 0 to 1."""
        return self._counts.get(key, 0.0) / (self._total + PRIOR_OBSERVATIONS)

    def count(self, key: int) -> None:
        """Count one observation of a key."""
        self._counts[key] = self._counts.get(key, 0.0) + 1.0
        self._total += 1.0
        if len(self._counts) > self._max_keys:
            self.restore({k: n / 2.0 for k, n in self._counts.items() if n >= 2.0})

    def state(self) -> dict[int, float]:
        """Return the counts by key."""
        return self._counts

    def restore(self, counts: dict[int, float]) -> None:
        """Replace the counts."""
        self._counts = counts
        self._total = sum(counts.values())


class SlidingWindow:
    """The means of two figures over the last ``span_s`` seconds.

    Each figure is kept as an integer in units of 2**-40. Sums of integers are exact in any order, so no
    rounding error accumulates as samples are added and expire.
    """

    __slots__ = ("_first_sum", "_samples", "_second_sum", "span_s")

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self._samples: deque[tuple[float, int, int]] = deque()  # each with the clock time of its expiry first
        self._first_sum = 0
        self._second_sum = 0

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, now: float, first: float, second: float) -> None:
        """Add a sample at clock time ``now``."""
        fixed_first = int(first * _FIXED_POINT_SCALE)
        fixed_second = int(second * _FIXED_POINT_SCALE)
        self._samples.append((now + self.span_s, fixed_first, fixed_second))
        self._first_sum += fixed_first
        self._second_sum += fixed_second

    def means(self, now: float) -> tuple[float, float] | None:
        """Drop expired samples and return the two means, or None if no sample is left."""
        samples = self._samples
        while samples and samples[0][0] < now:
            _, first, second = samples.popleft()
            self._first_sum -= first
            self._second_sum -= second
        if not samples:
            return None
        divisor = len(samples) * _FIXED_POINT_SCALE
        return self._first_sum / divisor, self._second_sum / divisor

    def next_expiry(self) -> float:
        """Return the last clock time at which the oldest sample counts, or infinity without a sample."""
        return self._samples[0][0] if self._samples else math.inf
