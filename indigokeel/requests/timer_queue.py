"""Timers by clock time, which may belong to a request and are dropped with it. No I/O; reads no clock."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from indigokeel.requests.effects import Effects

TimerCallback = Callable[[float, Effects], None]

_MAX_DROPPED = 256  # timers of closed owners that may stay in the heap, where they are not half of it


class TimerOwner(Protocol):
    """What a timer belongs to. Its timers no longer fire once it is closed."""

    closed: bool
    pending_timers: int


class Timer(NamedTuple):
    """One call at a clock time."""

    due_at: float
    serial: int  # keeps the order of timers that are due at the same time
    callback: TimerCallback
    owner: TimerOwner | None

    def is_dropped(self) -> bool:
        """Return True if the timer's owner is closed."""
        return self.owner is not None and self.owner.closed


class TimerQueue:
    """A heap of timers. Those of closed owners are removed lazily, within a bound."""

    def __init__(self) -> None:
        self._timers: list[Timer] = []
        self._scheduled = 0
        self._dropped = 0

    def __len__(self) -> int:
        """Return the number of timers in the heap, dropped ones included."""
        return len(self._timers)

    def schedule(self, due_at: float, callback: TimerCallback, owner: TimerOwner | None = None) -> None:
        """Call ``callback`` at clock time ``due_at``, unless ``owner`` is closed by then."""
        self._scheduled += 1
        if owner is not None:
            owner.pending_timers += 1
        heapq.heappush(self._timers, Timer(due_at, self._scheduled, callback, owner))

    def next_deadline(self) -> float:
        """Return the clock time of the next timer, or infinity if there is none."""
        while self._timers and self._timers[0].is_dropped():
            heapq.heappop(self._timers)
            self._dropped -= 1
        return self._timers[0].due_at if self._timers else math.inf

    def take_due(self, now: float) -> list[Timer]:
        """Remove the timers that are due and return them in order.

        A timer may be dropped after that by the callback of one before it.
        """
        due = []
        while self.next_deadline() <= now:
            timer = heapq.heappop(self._timers)
            if timer.owner is not None:
                timer.owner.pending_timers -= 1
            due.append(timer)
        return due

    def drop_timers_of(self, owner: TimerOwner) -> None:
        """Drop the timers of an owner that has just been closed.

        A client may allow an hour for a request that is served at once, so dropped timers must not pile up.
        """
        self._dropped += owner.pending_timers
        if self._dropped > _MAX_DROPPED and self._dropped * 2 > len(self._timers):
            self._timers = [timer for timer in self._timers if not timer.is_dropped()]
            heapq.heapify(self._timers)
            self._dropped = 0
