"""Choices among weighted entries, by chance or by a key that every process maps alike, and places that lie
evenly apart. Nothing is decided here.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import Protocol, TypeVar

from indigokeel.balancing.statistics import MASK, mix


class Salted(Protocol):
    """What can be chosen by a key."""

    @property
    def salt(self) -> int:
        """A hash of its name."""


S = TypeVar("S", bound=Salted)


def by_chance(entries: Sequence[S], weights: Iterable[float], at: float) -> S:
    """The entry that a roulette wheel stops at; ``at`` tells where, from 0 to 1."""
    ends = list(accumulate(weights))
    return entries[bisect_right(ends, at * ends[-1], 0, len(ends) - 1)]


def by_key(entries: Sequence[S], weights: Iterable[float], key: int) -> S:
    """Spin the wheel by the key (weighted rendezvous hashing): the odds are those of the weights, and
    processes with like weights agree on the entry that has met the key.
    """
    best, best_score = entries[0], math.inf
    for entry, weight in zip(entries, weights, strict=True):
        score = -math.log((mix(entry.salt, key) + 1) / (MASK + 2)) / weight
        if score < best_score:
            best, best_score = entry, score
    return best


def van_der_corput(number: int) -> float:
    """The number's bits mirrored at the point: the first 2**k numbers lie evenly apart between 0 and 1."""
    place, unit = 0.0, 0.5
    while number:
        place, unit, number = place + unit * (number & 1), unit / 2.0, number >> 1
    return place
