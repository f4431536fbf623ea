"""Backoff for system calls that fail for lack of a local resource. No I/O; the caller passes the time.

Shortages of ports, descriptors or memory are brief and requests are urgent, so the delays are a few
milliseconds. Jitter keeps the processes of a machine from retrying at the same time.
"""

from __future__ import annotations

import math
from random import Random

_INITIAL_DELAY_S = 0.002  # a delay is uniform between half of this and this, which doubles after each failure
_MAX_DELAY_S = 0.016
_RETENTION_S = 30.0  # from the end of a suspension until it is dropped


class Backoff:
    """The delays after consecutive failures of one operation."""

    __slots__ = ("_ceiling_s", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._ceiling_s = _INITIAL_DELAY_S

    def next_delay_s(self) -> float:
        """Return the delay after one more failure, in seconds."""
        delay_s = self._random.uniform(self._ceiling_s / 2.0, self._ceiling_s)
        self._ceiling_s = min(self._ceiling_s * 2.0, _MAX_DELAY_S)
        return delay_s

    def reset(self) -> None:
        """Start again with the initial delay, after a success."""
        self._ceiling_s = _INITIAL_DELAY_S


class LocalRetryDelays:
    """The delays before retries of one connection's reads and writes that failed locally."""

    __slots__ = ("_backoff",)

    def __init__(self) -> None:
        self._backoff: Backoff | None = None

    def next_delay_s(self) -> float:
        """Return the delay after one more failed read or write, in seconds."""
        if self._backoff is None:
            self._backoff = Backoff(Random())
        return self._backoff.next_delay_s()

    def reset(self) -> None:
        """Start again with the initial delay, after a successful read or write."""
        self._backoff = None


class _Suspension:
    """The suspension of connects to one upstream, or to all, and its delays."""

    __slots__ = ("backoff", "is_active", "until")

    def __init__(self, random: Random) -> None:
        self.backoff = Backoff(random)
        self.is_active = False
        self.until = -math.inf


class ConnectBackoff:
    """Suspends connects after a local failure: to one upstream, or to all if any connect would fail."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._all = _Suspension(random)
        self._by_upstream: dict[str, _Suspension] = {}

    def suspend(self, now: float, upstream: str | None) -> float:
        """Suspend connects to ``upstream`` (None: to all). Return for how many seconds."""
        suspension = self._all
        if upstream is not None:
            suspension = self._by_upstream.setdefault(upstream, _Suspension(self._random))
        delay_s = suspension.backoff.next_delay_s()
        suspension.is_active = True
        suspension.until = now + delay_s
        return delay_s

    def resume(self, now: float, upstream: str | None) -> None:
        """End a suspension."""
        suspension = self._all if upstream is None else self._by_upstream.get(upstream)
        if suspension is not None:
            suspension.is_active = False
            suspension.until = max(now, suspension.until)

    def on_connect_started(self, upstream: str) -> None:
        """Reset the delays, as a connect has started without a local failure."""
        self._all.backoff.reset()
        suspension = self._by_upstream.get(upstream)
        if suspension is not None:
            suspension.backoff.reset()

    def is_active(self, upstream: str) -> bool:
        """Return whether connects to an upstream are suspended."""
        suspension = self._by_upstream.get(upstream)
        return self._all.is_active or (suspension is not None and suspension.is_active)

    def was_active_since(self, upstream: str, since: float) -> bool:
        """Return whether connects to an upstream were suspended at any time from ``since`` on."""
        if self.is_active(upstream) or self._all.until >= since:
            return True
        suspension = self._by_upstream.get(upstream)
        return suspension is not None and suspension.until >= since

    def drop_expired(self, now: float) -> None:
        """Drop the suspensions that ended long ago."""
        expired = [
            upstream
            for upstream, suspension in self._by_upstream.items()
            if not suspension.is_active and suspension.until < now - _RETENTION_S
        ]
        for upstream in expired:
            del self._by_upstream[upstream]
