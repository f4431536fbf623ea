"""How long to wait before a call is made again that this machine could not make. No I/O; the clock is passed
in.

The causes are short (ports and descriptors come free, memory is given back), and requests are in a hurry: the
first delay is a few milliseconds, and the longest still lets one more call be made in the least time that a
request waits for a connection. Each is drawn with jitter, so that many processes of one machine do not ask
for what is scarce at the same moments.
"""

from __future__ import annotations

import math
from random import Random

FIRST, LONGEST = 0.002, 0.016  # s; a delay is drawn from half of this to all of it, doubled each time


class Backoff:
    """The delays between calls that fail one after another."""

    __slots__ = ("_random", "_span")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._span = FIRST

    def next(self) -> float:
        """The delay after one more failure, in seconds."""
        delay = self._random.uniform(self._span / 2.0, self._span)
        self._span = min(self._span * 2.0, LONGEST)
        return delay

    def reset(self) -> None:
        """A call was made: the next failure is a first one."""
        self._span = FIRST


class _Hold:
    __slots__ = ("active", "backoff", "until")

    def __init__(self, random: Random) -> None:
        self.backoff = Backoff(random)
        self.active = False
        self.until = -math.inf  # when it was over, or is to be


class ConnectBackoff:
    """The upstreams to which this machine begins no connect for the moment, because it could not begin the
    last one; or all of them, where what it lacks is needed for any."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._all = _Hold(random)
        self._of: dict[str, _Hold] = {}

    def start(self, now: float, upstream: str | None) -> float:
        """A connect to ``upstream`` (None: to any) could not begin: how long until the next may, in
        seconds."""
        hold = self._all if upstream is None else self._of.setdefault(upstream, _Hold(self._random))
        delay = hold.backoff.next()
        hold.active, hold.until = True, now + delay
        return delay

    def release(self, now: float, upstream: str | None) -> None:
        """That time is over."""
        hold = self._all if upstream is None else self._of.get(upstream)
        if hold is not None:
            hold.active, hold.until = False, max(now, hold.until)

    def begun(self, upstream: str) -> None:
        """A connect has begun: nothing is lacking now."""
        self._all.backoff.reset()
        hold = self._of.get(upstream)
        if hold is not None:
            hold.backoff.reset()

    def active(self, upstream: str) -> bool:
        """Whether no connect to ``upstream`` may begin now."""
        hold = self._of.get(upstream)
        return self._all.active or (hold is not None and hold.active)

    def any_since(self, upstream: str, since: float) -> bool:
        """Whether who waits for ``upstream`` since then was kept waiting by this machine, some of the
        time."""
        if self.active(upstream) or self._all.until >= since:
            return True
        hold = self._of.get(upstream)
        return hold is not None and hold.until >= since

    def forget(self, before: float) -> None:
        """Drop what was over before this time."""
        for upstream in [n for n, hold in self._of.items() if not hold.active and hold.until < before]:
            del self._of[upstream]
