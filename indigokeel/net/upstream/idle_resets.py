"""Estimates how often attempts on reused connections are reset, by the idle time before the reuse."""

from __future__ import annotations

import math
from dataclasses import dataclass

_SHORTEST_IDLE_S = 0.025  # upper bound of the first bucket of idle times; it doubles with each further one
_BUCKETS = 12
_DECAY_S = 20.0  # time constant of the exponential decay of observations
_RISK_RETENTION_S = 10.0 * _DECAY_S  # from the last reset until no idle time counts as risky
_PRIOR_RESET_RATIO = 0.02
_PRIOR_WEIGHT = 5.0  # in attempts
_MAX_EXTRA_RESET_RATIO = 0.06  # above the reset ratio of new connections
# The limit is stricter for a request that must not be sent again, because a reset makes it fail for good.
_MAX_EXTRA_RESET_RATIO_UNSAFE = 0.012
_NEW_CONNECTION = 0  # index of the bucket for connections that were opened for their attempt
_LOG_OFFSET = 1e-9  # keeps the logarithm of an idle time of 0 defined


@dataclass(slots=True)
class _IdleTimeBucket:
    """Decayed counts of attempts and resets on connections of similar idle time."""

    attempts: float = 0.0
    resets: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the exponential decay up to ``now``."""
        factor = math.exp((self.updated_at - now) / _DECAY_S)
        self.attempts *= factor
        self.resets *= factor
        self.updated_at = now

    def reset_ratio(self) -> float:
        """Return the estimated share of attempts that end in a reset, with the prior included."""
        return (self.resets + _PRIOR_RESET_RATIO * _PRIOR_WEIGHT) / (self.attempts + _PRIOR_WEIGHT)


class IdleResetEstimator:
    """Estimates the risk of reusing an idle connection.

    Some upstreams, or proxies in front of them, drop idle connections silently, well before the keep-alive
    time. A request that is written to such a connection may or may not have run, so it fails unless it is
    safe to send again.
    """

    def __init__(self) -> None:
        self._buckets = [_IdleTimeBucket() for _ in range(_BUCKETS + 1)]
        self._relevant_until = -math.inf

    def record(self, now: float, idle_s: float, was_reset: bool) -> None:
        """Record the result of an attempt; ``idle_s`` is negative for a connection opened for it."""
        bucket = self._buckets[self._index(idle_s)]
        bucket.decay(now)
        bucket.attempts += 1.0
        if was_reset:
            bucket.resets += 1.0
            self._relevant_until = now + _RISK_RETENTION_S

    def is_risky(self, now: float, idle_s: float, unsafe: bool = False) -> bool:
        """Return whether a connection has been idle for too long to be reused.

        ``unsafe`` means that the request must not be sent again.
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
        index = int(math.log2(idle_s / _SHORTEST_IDLE_S + _LOG_OFFSET)) + 2
        return min(max(index, _NEW_CONNECTION + 1), _BUCKETS)
