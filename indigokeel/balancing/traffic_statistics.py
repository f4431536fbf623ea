"""Statistics of the recent traffic of this sidecar."""

from __future__ import annotations

from indigokeel.balancing.statistics import DecayingSum

ARRIVAL_RATE_TIME_CONSTANT_S = 5.0
RESPONSE_COUNT_TIME_CONSTANT_S = 1.0  # decay of the counts of timely and late responses
ATTEMPT_DECAY = 0.98  # factor of the counts of attempts and responses with each attempt


class TrafficStatistics:
    """Arrivals, attempts, and timely and late responses of this sidecar."""

    def __init__(self) -> None:
        self._arrivals = DecayingSum(ARRIVAL_RATE_TIME_CONSTANT_S)
        self._timely = DecayingSum(RESPONSE_COUNT_TIME_CONSTANT_S)
        self._late = DecayingSum(RESPONSE_COUNT_TIME_CONSTANT_S)
        self._attempts = 1.0
        self._responses = 1.0

    def record_arrival(self, now: float) -> None:
        """Count a request."""
        self._arrivals.add(now, 1.0)

    def record_attempt(self) -> None:
        """Count an attempt that is sent."""
        self._attempts = ATTEMPT_DECAY * self._attempts + 1.0
        self._responses *= ATTEMPT_DECAY

    def record_response(self) -> None:
        """Count a response, late or not."""
        self._responses += 1.0

    def record_timely(self, now: float) -> None:
        """Count a request that was served within its latency objective."""
        self._timely.add(now, 1.0)

    def record_late(self, now: float) -> None:
        """Count an attempt that timed out or missed the latency objective."""
        self._late.add(now, 1.0)

    def arrivals_per_s(self, now: float) -> float:
        """Return the rate of requests."""
        return self._arrivals.value(now) / ARRIVAL_RATE_TIME_CONSTANT_S

    def timely_per_s(self, now: float) -> float:
        """Return the rate of timely responses."""
        return self._timely.value(now) / RESPONSE_COUNT_TIME_CONSTANT_S

    def timely_count(self, now: float) -> float:
        """Return the decaying count of timely responses."""
        return self._timely.value(now)

    def late_count(self, now: float) -> float:
        """Return the decaying count of late responses."""
        return self._late.value(now)

    def attempts_per_response(self) -> float:
        """Return the attempts per response, at least 1; more than 1 indicates an overloaded fleet."""
        return max(self._attempts / max(self._responses, 1.0), 1.0)
