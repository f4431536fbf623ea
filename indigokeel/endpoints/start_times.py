"""When each upstream started, on this process's clock, from the Unix times that discovery lists. No I/O.

A listed start is mapped by one offset between the wall clock and the monotonic clock, taken once. The wall
clock may have been wrong at that time, so the offset is an estimate, and these rules keep the slow-start
budget while it is wrong by up to ``CLOCK_ERROR_S`` either way:

1. A start of 0 is long ago, as discovery defines it.
2. A start that was mapped before, by this process or by the one before it on the same boot, stays as it was
   mapped: a step of the wall clock between two processes changes nothing.
3. A start that appears while lists come (a new upstream, or a new start of a known one) lies between the last
   time at which the list was known without it, less the age that a list may have, and now. Where the mapped
   time lies outside, the offset is wrong, and the upstream counts as started now, at first sight.
4. For the first list of a process to which nothing was handed over, no start lies in the future: one that
   seems to counts as started now, so that a clock that is behind keeps no upstream cold for an hour. A clock
   that is ahead makes all starts look older, and by no more than the age of the newest of them: so all are
   taken to be later by that, or by ``CLOCK_ERROR_S`` where it is more. On a calm day (no listed start, or the
   newest over an hour ago and warm by then) this changes nothing; else the newest warm up once more.

Limits: an error beyond ``CLOCK_ERROR_S`` on the first list; whether
the newest start of a first list is as old as it looks; within an outage of discovery, how long ago what
appeared in it started, where an error hides inside the outage's length; and an error smaller than the age
that a list may have.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

CLOCK_ERROR_S = 3600.0  # by which the wall clock may be wrong when the offset is taken
_MAX_UNLISTED = 1024  # starts kept of upstreams that are listed no more: listed again, they are not new
_EARLIEST_S = 1e-6  # clock time of a recent start before the clock began, as 0 means long ago


@dataclass(frozen=True, slots=True)
class StartsSnapshot:
    """The start times that one process knows, for the next one on the same boot."""

    current_at: float  # clock time at which the endpoint list was last known to be up to date
    starts: Mapping[str, tuple[float, float]] = field(default_factory=dict)  # name: listed start, clock time


class StartTimes:
    """Maps each listed start to the clock, once."""

    def __init__(self, unix_to_clock: float, list_age: float) -> None:
        """Start without a list.

        ``unix_to_clock`` is added to a Unix time to get the clock time; ``list_age`` is the age in seconds at
        which a list still counts as up to date.
        """
        self._unix_to_clock = unix_to_clock
        self.list_age = list_age
        self._starts: dict[str, tuple[float, float]] = {}
        self._current_at: float | None = None  # None: no list was received
        self._lost = False  # the list may have changed unnoticed since ``_current_at``

    def inherit(self, snapshot: StartsSnapshot) -> None:
        """Restore the start times that the previous process knew, before the first list."""
        self._starts.update(snapshot.starts)
        self._current_at = snapshot.current_at
        self._lost = True

    def snapshot(self, now: float, names: Iterable[str]) -> StartsSnapshot | None:
        """Return the start times of these upstreams; None before any list was received."""
        current_at = self._list_current_at(now)
        if current_at is None:
            return None
        return StartsSnapshot(current_at, {n: self._starts[n] for n in names if n in self._starts})

    def list_lost(self, now: float) -> None:
        """Record that a call to discovery failed, or that a watch has ended."""
        if self._current_at is not None and not self._lost:
            self._current_at = now
            self._lost = True

    def note(self, now: float, listed: Mapping[str, float], cached: bool) -> None:
        """Map the listed starts, by name; ``cached`` if discovery did not send the list just now."""
        unmapped = {
            name: since
            for name, since in listed.items()
            if since > 0.0 and (name not in self._starts or self._starts[name][0] != since)
        }
        mapped = self._map_new_starts(now, unmapped, listed) if unmapped else {}
        for name, since in listed.items():
            if name in mapped:
                self._starts[name] = since, mapped[name]
            elif name in self._starts:
                self._starts[name] = self._starts.pop(name)  # the latest listed are the last to go
        if not cached:
            self._current_at = now
            self._lost = False

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Keep the start times of these upstreams, and of a bounded number that were listed before."""
        if len(self._starts) - len(listed) <= _MAX_UNLISTED:
            return
        unlisted = [name for name in self._starts if name not in listed]  # the latest listed are the last
        for name in unlisted[:-_MAX_UNLISTED]:
            del self._starts[name]

    def started(self, name: str, since: float) -> float:
        """Return the clock time of a listed start; 0 for long ago."""
        known = self._starts.get(name)
        return known[1] if known is not None and since > 0.0 and known[0] == since else 0.0

    def _list_current_at(self, now: float) -> float | None:
        return self._current_at if self._lost or self._current_at is None else now

    def _map_new_starts(
        self, now: float, unmapped: Mapping[str, float], listed: Mapping[str, float]
    ) -> dict[str, float]:
        current_at = self._list_current_at(now)
        if current_at is None:
            newest = max(listed.values()) + self._unix_to_clock
            later = min(max(now - newest, 0.0), CLOCK_ERROR_S)
            starts = {name: min(since + self._unix_to_clock + later, now) for name, since in unmapped.items()}
        else:
            earliest = current_at - self.list_age
            starts = {
                name: start if earliest <= (start := since + self._unix_to_clock) <= now else now
                for name, since in unmapped.items()
            }
        return {name: self._after_zero(start, now) for name, start in starts.items()}

    @staticmethod
    def _after_zero(start: float, now: float) -> float:
        """Map a start before this machine's own to long ago, unless it may be recent."""
        if start > 0.0:
            return start
        return _EARLIEST_S if now - start < CLOCK_ERROR_S else 0.0
