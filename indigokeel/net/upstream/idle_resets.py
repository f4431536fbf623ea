"""How often attempts fail on reused connections, by how long these were idle before."""

from __future__ import annotations

import math
from dataclasses import dataclass

_SHORTEST_IDLE_S = 0.025  # upper end of the first bucket; each further one is twice as long
_BUCKETS = 12
_DECAY_S = 20.0  # time constant with which observations lose their weight
_MEMORY_S = 10.0 * _DECAY_S  # after the last reset, until no idle time counts as risky
_PRIOR_RESET_RATIO = 0.02
_PRIOR_WEIGHT = 5.0  # attempts
_MAX_EXTRA_RESET_RATIO = 0.06  # over that of new connections
# A reset loses a request that must not be sent again for good, so the limit is stricter.
_MAX_EXTRA_RESET_RATIO_UNSAFE = 0.012
_NEW_CONNECTION = 0  # index of the bucket of connections that were opened for their attempt
_ROUNDING = 1e-9


@dataclass(slots=True)
class _IdleTimeBucket:
    """Decayed counts of the attempts on connections of similar idle time."""

    attempts: float = 0.0
    resets: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the counts to their weight at ``now``."""
        factor = math.exp((self.updated_at - now) / _DECAY_S)
        self.attempts *= factor
        self.resets *= factor
        self.updated_at = now

    def reset_ratio(self) -> float:
        """Return the estimated ratio of attempts that end in a reset."""
        return (self.resets + _PRIOR_RESET_RATIO * _PRIOR_WEIGHT) / (self.attempts + _PRIOR_WEIGHT)


class IdleResetEstimator:
    """Estimates the risk of reusing an idle connection.

    Some upstreams, or proxies before them, drop idle connections without notice well before the keep-alive
    time. A request written to such a connection may or may not have run, so it is lost unless it is safe to
    send again.
    """

    def __init__(self) -> None:
        self._buckets = [_IdleTimeBucket() for _ in range(_BUCKETS + 1)]
        self._relevant_until = -math.inf

    def record(self, now: float, idle_s: float, was_reset: bool) -> None:
        """Add the result of an attempt; ``idle_s`` is negative for a connection opened for it."""
        bucket = self._buckets[self._index(idle_s)]
        bucket.decay(now)
        bucket.attempts += 1.0
        if was_reset:
            bucket.resets += 1.0
            self._relevant_until = now + _MEMORY_S

    def is_risky(self, now: float, idle_s: float, unsafe: bool = False) -> bool:
        """Return whether a connection was idle for too long to be reused.

        ``unsafe`` marks a request that must not be sent again.
        """
        if now >= self._relevant_until:
            return False
        buckets = self._buckets[_NEW_CONNECTION + 1 : self._index(idle_s) + 1]
        if not any(bucket.resets for bucket in buckets):
            return False
        new = self._buckets[_NEW_CONNECTION]
        new.decay(now)
        limit = new.reset_ratio() + (_MAX_EXTRA_RESET_RATIO_UNSAFE if unsafe else _MAX_EXTRA_RESET_RATIO)
        for bucket in buckets:
            bucket.decay(now)
            if bucket.reset_ratio() > limit:
                return True
        return False

    @staticmethod
    def _index(idle_s: float) -> int:
        if idle_s < 0.0:
            return _NEW_CONNECTION
        octave = int(math.log2(idle_s / _SHORTEST_IDLE_S + _ROUNDING)) + 2
        return min(max(octave, _NEW_CONNECTION + 1), _BUCKETS)
