"""Sums, means and hashes that the decisions rest on. Nothing is decided here.

Decaying sums, means drawn to a parent's, exact sums over a window of time, and hashes that are the same in
every process.
"""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b

CAPACITY_PRIOR = 2.0  # reports that the belief "like others of its kind and cell" is worth

MASK = (1 << 64) - 1


def hash64(text: str) -> int:
    """A hash that is the same in every process, unlike the built-in one."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix(a: int, b: int) -> int:
    """Mix two 64-bit numbers into one that looks random (the finaliser of splitmix64)."""
    h = ((a ^ b) * 0x9E3779B97F4A7C15) & MASK
    h = ((h ^ (h >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    h = ((h ^ (h >> 27)) * 0x94D049BB133111EB) & MASK
    return h ^ (h >> 31)


def trim_max_min(amounts: list[float], weights: list[float], excess: float) -> list[float]:
    """What is left of the amounts once ``excess`` in all is cut off: the largest for their weight first, down
    to one level (max-min fair by weight). What has no weight goes first.
    """
    kept = list(amounts)
    order = sorted(range(len(kept)), key=lambda i: kept[i] / weights[i] if weights[i] > 0.0 else math.inf)
    room = sum(kept) - excess  # what is left in all
    weight = sum(weights)
    for i in order:
        share = max(room, 0.0) * weights[i] / weight if weight > 0.0 else 0.0
        kept[i] = min(kept[i], share)
        room -= kept[i]
        weight -= weights[i]
    return kept


class DecayingSum:
    """A sum whose terms lose their weight over ``tau`` seconds."""

    __slots__ = ("_at", "_sum", "tau")

    def __init__(self, tau: float) -> None:
        self.tau, self._sum, self._at = tau, 0.0, 0.0

    def add(self, now: float, amount: float) -> None:
        self._sum = self._sum * math.exp((self._at - now) / self.tau) + amount if self._sum else amount
        self._at = now

    def state(self) -> tuple[float, float]:
        """The sum, and the time it was true at."""
        return self._sum, self._at

    def set(self, total: float, at: float) -> None:
        self._sum, self._at = total, at

    def value(self, now: float) -> float:
        return self._sum * math.exp((self._at - now) / self.tau) if self._sum else 0.0


class ShrinkageEstimate:
    """A running mean that is drawn to its parent's while it rests on little."""

    __slots__ = ("__weakref__", "_count", "_mean", "_parent", "_slowest")

    def __init__(self, parent: ShrinkageEstimate | None, slowest: float) -> None:
        self._parent, self._slowest = parent, slowest
        self._count, self._mean = 0.0, 0.0

    def add(self, value: float) -> None:
        self._count += 1.0
        self._mean += max(1.0 / self._count, self._slowest) * (value - self._mean)
        if self._parent is not None:
            self._parent.add(value)

    def state(self) -> tuple[float, float]:
        """How much it rests on, and its own mean."""
        return self._count, self._mean

    def set(self, count: float, mean: float) -> None:
        self._count, self._mean = count, mean

    def value(self) -> float:
        """The estimate; 0 where nothing is known."""
        if self._parent is None:
            return self._mean
        weight = min(self._count, 1.0 / self._slowest)
        return (weight * self._mean + CAPACITY_PRIOR * self._parent.value()) / (weight + CAPACITY_PRIOR)


class FrequencyCounter:
    """How often each of many keys came, the rare and old ones forgotten."""

    __slots__ = ("_counts", "_most", "_total")

    def __init__(self, most: int) -> None:
        self._most = most
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def share(self, key: int) -> float:
        """Count a key; what part of all it was before, drawn to 0 where little is known."""
        seen = self._counts.get(key, 0.0)
        share = seen / (self._total + 10.0)
        self._counts[key] = seen + 1.0
        self._total += 1.0
        if len(self._counts) > self._most:
            self.set({k: n / 2.0 for k, n in self._counts.items() if n >= 2.0})
        return share

    def state(self) -> dict[int, float]:
        return self._counts

    def set(self, counts: dict[int, float]) -> None:
        self._counts, self._total = counts, sum(counts.values())


_UNIT = float(1 << 40)  # figures are summed in whole parts of this size, so that no error can add up


class SlidingWindow:
    """The sums of two figures over the last ``span`` seconds, kept as they come and go.

    Exact, without drift: each figure is taken in whole multiples of 2**-40, and sums of whole numbers are
    exact in any order, so what comes in and goes out again leaves nothing behind.
    """

    __slots__ = ("_first", "_items", "_second", "span")

    def __init__(self, span: float) -> None:
        self.span = span
        self._items: deque[tuple[float, int, int]] = deque()
        self._first = self._second = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(self, now: float, first: float, second: float) -> None:
        whole_first, whole_second = int(first * _UNIT), int(second * _UNIT)
        self._items.append((now, whole_first, whole_second))
        self._first += whole_first
        self._second += whole_second

    def means(self, now: float) -> tuple[float, float] | None:
        """The two means, once what is older than the span is let go; None where nothing is left."""
        items, oldest = self._items, now - self.span
        while items and items[0][0] < oldest:
            _, first, second = items.popleft()
            self._first -= first
            self._second -= second
        if not items:
            return None
        parts = len(items) * _UNIT
        return self._first / parts, self._second / parts

    def due(self) -> float:
        """When the oldest falls out; infinite where there is none."""
        return self._items[0][0] + self.span if self._items else math.inf
