"""What this sidecar has sent and received lately."""

from __future__ import annotations

from indigokeel.balancing.statistics import DecayingSum

ARRIVAL_TIME_CONSTANT_S = 5.0
ANSWER_TIME_CONSTANT_S = 1.0  # timely and late answers are counted over this time
ATTEMPT_DECAY = 0.98  # of the counts of attempts and answers, with each attempt


class TrafficStatistics:
    """Arrivals, attempts, and timely and late answers of this sidecar."""

    def __init__(self) -> None:
        self._arrivals = DecayingSum(ARRIVAL_TIME_CONSTANT_S)
        self._timely = DecayingSum(ANSWER_TIME_CONSTANT_S)
        self._late = DecayingSum(ANSWER_TIME_CONSTANT_S)
        self._attempts = 1.0
        self._answers = 1.0

    def record_arrival(self, now: float) -> None:
        """Count a request."""
        self._arrivals.add(now, 1.0)

    def record_attempt(self) -> None:
        """Count an attempt that is sent."""
        self._attempts = ATTEMPT_DECAY * self._attempts + 1.0
        self._answers *= ATTEMPT_DECAY

    def record_answer(self) -> None:
        """Count an answer, late or not."""
        self._answers += 1.0

    def record_timely(self, now: float) -> None:
        """Count a final answer within the latency objective."""
        self._timely.add(now, 1.0)

    def record_late(self, now: float) -> None:
        """Count an attempt that timed out, or has no timely response yet."""
        self._late.add(now, 1.0)

    def arrivals_per_s(self, now: float) -> float:
        """Return the rate of requests."""
        return self._arrivals.value(now) / ARRIVAL_TIME_CONSTANT_S

    def timely_per_s(self, now: float) -> float:
        """Return the rate of timely answers."""
        return self._timely.value(now) / ANSWER_TIME_CONSTANT_S

    def timely_count(self, now: float) -> float:
        """Return the decayed count of timely answers."""
        return self._timely.value(now)

    def late_count(self, now: float) -> float:
        """Return the decayed count of late answers."""
        return self._late.value(now)

    def attempts_per_answer(self) -> float:
        """Return the attempts for each answer, at least 1; more means that the fleet is overloaded."""
        return max(self._attempts / max(self._answers, 1.0), 1.0)
