"""An index over a large pool of entries (upstreams): lists and sums that a spin needs. It decides nothing.

Each member stands on one of two sides, survivor or struck out, with what was last seen of it. The sums of a
side are kept as members come, change and go, in whole parts of 2**-32, so that they are exact and no error
adds up. A member is looked at again on news of it, when its oldest report falls due, or when it is drawn.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any, Generic, Protocol, TypeVar

from indigokeel.balancing.statistics import SlidingWindow

_UNIT = float(1 << 32)


class Entry(Protocol):
    """What can stand in the index."""

    rate: float  # -1: it has not reported
    utilisation: float
    size: float
    ramp: float
    view: float
    open: int  # own attempts out
    fresh_until: float  # clock time; until then the figures above hold
    reports: SlidingWindow
    index: SelectionIndex[Any] | None  # the index it stands in


E = TypeVar("E", bound=Entry)


class Side(Generic[E]):
    """The members on one side, in a list from which one can be drawn, and their sums."""

    __slots__ = ("_known", "_rates", "_views", "known", "members", "open", "warm")

    def __init__(self) -> None:
        self.members: list[E] = []
        self._rates = self._views = 0
        self.known = 0  # members with reports
        self.warm = 0
        self.open = 0  # own attempts out

    def rate(self) -> float:
        """The mean rate by size of those with reports; 0 where there is none."""
        return self._rates / _UNIT / self.known if self.known else 0.0

    def views(self) -> float:
        return self._views / _UNIT

    def count(self, seen: _Seen[E], sign: int) -> None:
        self._rates += sign * seen.rate
        self._views += sign * seen.view
        self.known += sign * seen.known
        self.warm += sign * seen.warm
        self.open += sign * seen.open


class _Seen(Generic[E]):
    """What a member adds to the sums of its side, and where in its list it stands."""

    __slots__ = ("known", "open", "place", "rate", "side", "view", "warm")

    def __init__(self, side: Side[E]) -> None:
        self.side, self.place = side, -1
        self.rate = self.view = self.known = self.warm = self.open = 0

    def take(self, upstream: Entry) -> None:
        self.known = int(upstream.rate >= 0.0)
        self.rate = int(upstream.rate / upstream.size * _UNIT) if self.known else 0
        self.view = int(upstream.view * _UNIT)
        self.warm = int(upstream.ramp >= 1.0)
        self.open = upstream.open


class SelectionIndex(Generic[E]):
    """A pool of entries, ready to be drawn from."""

    def __init__(self, look: Callable[[float, E], None], busy: float) -> None:
        """``look`` brings what is known of an upstream up to date; over ``busy`` it is struck out."""
        self._look, self._busy = look, busy
        self._seen: dict[E, _Seen[E]] = {}
        self._due: list[tuple[float, int, E]] = []  # when a report falls out of a member's window
        self._queued: set[E] = set()
        self._serial = count()
        self.survivors, self.struck = Side[E](), Side[E]()
        self.news: dict[E, None] = {}  # members that there is news of
        self.most = 0.0  # no member's view is over this

    def __len__(self) -> int:
        return len(self._seen)

    def fill(self, now: float, members: Iterable[E]) -> None:
        """Make the pool consist of these."""
        wanted = dict.fromkeys(members)
        for upstream in [u for u in self._seen if u not in wanted]:
            seen = self._seen.pop(upstream)
            upstream.index = None
            self._leave(upstream, seen)
            self.news.pop(upstream, None)
        for upstream in wanted:
            if upstream not in self._seen:
                upstream.index = self
                if now >= upstream.fresh_until:
                    self._look(now, upstream)
                seen = self._seen[upstream] = _Seen(self._side(upstream))
                self._join(now, upstream, seen)
        self.most = max((u.view for u in self._seen), default=0.0)

    def refresh(self, now: float) -> None:
        """Look again at those that there is news of, and those whose time is due."""
        while self.news:
            self.look(now, self.news.popitem()[0])
        while self._due and self._due[0][0] <= now:
            upstream = heapq.heappop(self._due)[2]
            self._queued.discard(upstream)
            if upstream.index is self:
                self.look(now, upstream)

    def look(self, now: float, upstream: E) -> bool:
        """Look at a member now; whether it is a survivor."""
        self._look(now, upstream)
        seen = self._seen[upstream]
        side = self._side(upstream)
        if side is seen.side:
            side.count(seen, -1)
            seen.take(upstream)
            side.count(seen, 1)
            self._queue(upstream)
        else:
            self._leave(upstream, seen)
            seen.side = side
            self._join(now, upstream, seen)
        if upstream.view > self.most:
            self.most = upstream.view
        return side is self.survivors

    def opened(self, upstream: E, change: int) -> None:
        """An attempt on a member began or ended."""
        seen = self._seen[upstream]
        seen.open += change
        seen.side.open += change

    def _side(self, upstream: E) -> Side[E]:
        return self.survivors if upstream.utilisation <= self._busy else self.struck

    def _join(self, now: float, upstream: E, seen: _Seen[E]) -> None:
        seen.take(upstream)
        seen.place = len(seen.side.members)
        seen.side.members.append(upstream)
        seen.side.count(seen, 1)
        self._queue(upstream)

    def _leave(self, upstream: E, seen: _Seen[E]) -> None:
        members = seen.side.members
        last = members.pop()
        if last is not upstream:
            members[seen.place] = last
            self._seen[last].place = seen.place
        seen.side.count(seen, -1)

    def _queue(self, upstream: E) -> None:
        if upstream not in self._queued and upstream.reports:
            self._queued.add(upstream)
            heapq.heappush(self._due, (upstream.reports.due(), next(self._serial), upstream))
