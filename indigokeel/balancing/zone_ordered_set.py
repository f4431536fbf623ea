"""A set of items in several zones, with a stable order that can be iterated from any position."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from heapq import merge
from typing import Generic, TypeVar

T = TypeVar("T")


class ZoneOrderedSet(Generic[T]):
    """Items by zone, those of each zone sorted by rank and name.

    A change costs a binary search and a shift within one zone; the order as a whole is never rebuilt.
    """

    def __init__(self) -> None:
        self._zones: dict[str, list[tuple[int, str, T]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._zones.values()))

    def add(self, zone: str, rank: int, name: str, item: T) -> None:
        """Add an item; the pair of rank and name must be unique within the zone."""
        insort(self._zones.setdefault(zone, []), (rank, name, item), key=_rank_and_name)

    def discard(self, zone: str, rank: int, name: str) -> None:
        """Remove an item if it is in the zone."""
        items = self._zones.get(zone, [])
        index = bisect_left(items, (rank, name), key=_rank_and_name)
        if index < len(items) and _rank_and_name(items[index]) == (rank, name):
            del items[index]
            if not items:
                del self._zones[zone]

    def iterate_from(self, position: float) -> Iterator[T]:
        """Iterate over all items once, starting at ``position`` (0 to 1) and wrapping around.

        The items of each zone are spread evenly over the interval from 0 to 1. Items at the same position
        are ordered by zone, the zone with the lowest first item first.
        """
        zones = sorted(self._zones.values(), key=lambda items: _rank_and_name(items[0]))
        spread = (_spread(number, items, position) for number, items in enumerate(zones))
        return (item for _, _, item in merge(*spread, key=lambda placed: placed[:2]))


def _rank_and_name(entry: tuple[int, str, T]) -> tuple[int, str]:
    return entry[:2]


def _spread(number: int, items: list[tuple[int, str, T]], begin: float) -> Iterator[tuple[float, int, T]]:
    """Yield the distance from ``begin``, the zone number and the item for a zone's items, nearest first."""
    first = math.ceil(begin * len(items) - 0.5)
    for unwrapped in range(first, first + len(items)):
        index = unwrapped % len(items)
        yield ((index + 0.5) / len(items) - begin) % 1.0, number, items[index][2]
