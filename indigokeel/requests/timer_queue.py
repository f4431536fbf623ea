"""Timers by clock time. No I/O; the clock is passed in.

A timer may have an owner, such as a request, and is dropped when its owner is closed.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from indigokeel.requests.effects import Effects

TimerCallback = Callable[[float, Effects], None]

# Timers of closed owners may stay in the heap up to this number, or while they are at most half of it.
_MAX_DROPPED = 256


class TimerOwner(Protocol):
    """The owner of a timer; the timer does not fire once its owner is closed."""

    closed: bool
    pending_timers: int


class Timer(NamedTuple):
    """A callback that is due at a clock time."""

    due_at: float
    serial: int  # timers that are due at the same time fire in the order in which they were scheduled
    callback: TimerCallback
    owner: TimerOwner | None

    def is_dropped(self) -> bool:
        """Return True if the timer's owner is closed."""
        return self.owner is not None and self.owner.closed


class TimerQueue:
    """A heap of timers; those of closed owners are removed lazily, and their number is bounded."""

    def __init__(self) -> None:
        self._timers: list[Timer] = []
        self._last_serial = 0
        self._dropped = 0

    def __len__(self) -> int:
        """Return the number of timers in the heap, including dropped ones."""
        return len(self._timers)

    def schedule(self, due_at: float, callback: TimerCallback, owner: TimerOwner | None = None) -> None:
        """Schedule ``callback`` for clock time ``due_at``, unless ``owner`` is closed by then."""
        self._last_serial += 1
        if owner is not None:
            owner.pending_timers += 1
        heapq.heappush(self._timers, Timer(due_at, self._last_serial, callback, owner))

    def next_deadline(self) -> float:
        """Return the clock time of the next timer, or infinity if there is none."""
        while self._timers and self._timers[0].is_dropped():
            heapq.heappop(self._timers)
            self._dropped -= 1
        return self._timers[0].due_at if self._timers else math.inf

    def pop_due(self, now: float) -> list[Timer]:
        """Remove the timers that are due and return them in order.

        The callback of one of them may still drop a later one.
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

        A client may allow an hour for a request that is served at once, so dropped timers must not stay in
        the heap until they are due.
        """
        self._dropped += owner.pending_timers
        if self._dropped > _MAX_DROPPED and self._dropped * 2 > len(self._timers):
            self._timers = [timer for timer in self._timers if not timer.is_dropped()]
            heapq.heapify(self._timers)
            self._dropped = 0
