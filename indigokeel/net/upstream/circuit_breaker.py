"""A circuit for the connects to one upstream: after some that fail in a row none is made for a while.

Closed, open, half-open, as in Nygard, "Release It!"; the time out is drawn with full jitter (Brooker,
"Exponential Backoff And Jitter"), so that many sidecars do not all try an upstream again at once.
"""

from __future__ import annotations

from random import Random

FAILURES = 4  # connects that fail in a row open the circuit
FIRST, LONGEST = 0.2, 2.0  # s; the time out is drawn from 0 to this, doubled with each failed trial


class CircuitBreaker:
    """The connects to one address. The clock is passed in; nothing is done here."""

    __slots__ = ("_failures", "_random", "_span", "_trial", "open_until")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures = 0
        self._span = FIRST
        self._trial = False  # one is out to see whether the upstream is back
        self.open_until = 0.0

    def allows(self, now: float) -> bool:
        """Whether a connect may begin. Half open, it is one at a time."""
        return self._failures < FAILURES or (now >= self.open_until and not self._trial)

    def began(self) -> None:
        """A connect begins."""
        self._trial = self._failures >= FAILURES

    def came_up(self) -> None:
        """A connect has succeeded: all is well."""
        self._failures, self._span, self._trial = 0, FIRST, False

    def called_off(self) -> None:
        """A connect was given up before it told anything."""
        self._trial = False

    def failed(self, now: float) -> bool:
        """A connect has failed; True where that opens the circuit."""
        self._failures += 1
        self._trial = False
        if self._failures < FAILURES:
            return False
        self.open_until = now + self._random.uniform(0.0, self._span)
        self._span = min(self._span * 2.0, LONGEST)
        return self._failures == FAILURES
