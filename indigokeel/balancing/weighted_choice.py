"""Choices among weighted entries, by a random number or by a key that all processes map alike."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import Protocol, TypeVar

from indigokeel.balancing.hashing import UINT64_MAX, mix64


class Hashed(Protocol):
    """An entry that can be chosen by a key."""

    @property
    def name_hash(self) -> int:
        """Return a hash of the entry's name that is the same in every process."""


HashedT = TypeVar("HashedT", bound=Hashed)


def choose_at(entries: Sequence[HashedT], weights: Iterable[float], position: float) -> HashedT:
    """Return the entry at ``position``, a fraction (0 to 1) of the sum of weights."""
    ends = list(accumulate(weights))
    return entries[bisect_right(ends, position * ends[-1], 0, len(ends) - 1)]


def choose_by_key(entries: Sequence[HashedT], weights: Iterable[float], key: int) -> HashedT:
    """Return an entry by weighted rendezvous hashing.

    Over many keys, entries are chosen in proportion to their weights. For a given key, processes with similar
    weights choose the same entry.
    """
    best = entries[0]
    best_score = math.inf
    for entry, weight in zip(entries, weights, strict=True):
        score = -math.log((mix64(entry.name_hash, key) + 1) / (UINT64_MAX + 2)) / weight
        if score < best_score:
            best = entry
            best_score = score
    return best


def van_der_corput(number: int) -> float:
    """Return an element of the base-2 van der Corput sequence.

    The first 2**k elements are evenly spaced in the interval from 0 to 1.
    """
    value = 0.0
    unit = 0.5
    while number:
        value += unit * (number & 1)
        unit /= 2.0
        number >>= 1
    return value
