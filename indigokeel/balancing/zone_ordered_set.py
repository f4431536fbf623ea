"""An order over items of several lanes, kept while items come and go, and read from any place in it."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from heapq import merge
from typing import Generic, TypeVar

T = TypeVar("T")


class ZoneOrderedSet(Generic[T]):
    """Items by lane, each lane sorted by rank and name. A change costs a search and a shift within its lane,
    not a new layout of the whole, so that many changes of a long list stay cheap.
    """

    def __init__(self) -> None:
        self._lanes: dict[str, list[tuple[int, str, T]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._lanes.values()))

    def add(self, lane: str, rank: int, name: str, item: T) -> None:
        """Take in an item; no other of this lane has its rank and name."""
        insort(self._lanes.setdefault(lane, []), (rank, name, item), key=_rank_and_name)

    def discard(self, lane: str, rank: int, name: str) -> None:
        """Take an item out, where it is in the lane."""
        items = self._lanes.get(lane, [])
        at = bisect_left(items, (rank, name), key=_rank_and_name)
        if at < len(items) and _rank_and_name(items[at]) == (rank, name):
            del items[at]
            if not items:
                del self._lanes[lane]

    def order(self, begin: float) -> Iterator[T]:
        """All items from the place ``begin``, a part of the whole, on and round. Each lane has a place for
        each of its items, evenly spread; at one place the lane goes first whose first item does.
        """
        lanes = sorted(self._lanes.values(), key=lambda items: _rank_and_name(items[0]))
        spread = (_spread(number, items, begin) for number, items in enumerate(lanes))
        return (item for _, _, item in merge(*spread, key=lambda placed: placed[:2]))


def _rank_and_name(entry: tuple[int, str, T]) -> tuple[int, str]:
    return entry[:2]


def _spread(number: int, items: list[tuple[int, str, T]], begin: float) -> Iterator[tuple[float, int, T]]:
    """The items of one lane, each with its place and the lane's number, by place."""
    first = math.ceil(begin * len(items) - 0.5)
    for rank in range(first, first + len(items)):
        at = rank % len(items)
        yield ((at + 0.5) / len(items) - begin) % 1.0, number, items[at][2]
