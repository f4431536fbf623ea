"""What the balancer has observed of each request class."""

from __future__ import annotations

from indigokeel.balancing.settings import ClassSettings
from indigokeel.balancing.statistics import DecayingSum

ARRIVAL_COUNT_TIME_CONSTANT_S = 4.0  # decay of the arrivals counted by class and by tenant
LATENCY_STEP = 0.05  # weight of a new latency or work estimate in the running mean
INITIAL_LATENCY_RATIO = 0.25  # of the latency objective; used until a response was observed
MIN_WORK_RATIO = 0.5  # fraction of the usual latency that does not depend on the work of a request
MAX_HINT_RATIO = 6.0  # of the usual work estimate; larger estimates are clamped to this multiple


class ClassStatistics:
    """The arrivals, usual latency and usual work estimate of one request class."""

    __slots__ = (
        "arrivals", "consecutive_rejections", "early_rejection_ratio", "name", "usual_hint_s",
        "usual_latency_s",
    )  # fmt: skip

    def __init__(self, settings: ClassSettings) -> None:
        self.name = settings.name
        self.arrivals = DecayingSum(ARRIVAL_COUNT_TIME_CONSTANT_S)
        self.early_rejection_ratio = 0.0  # rejected before any work is done while the sidecar is overloaded
        self.usual_latency_s = settings.latency_objective * INITIAL_LATENCY_RATIO
        self.usual_hint_s = 0.0
        # Consecutive requests without an upstream of enough capacity; reset by an attempt.
        self.consecutive_rejections = 0

    def record_response(self, latency_s: float, hint_s: float) -> None:
        """Record the latency of a response and the work estimate of its request (0: none)."""
        self.usual_latency_s += LATENCY_STEP * (latency_s - self.usual_latency_s)
        if hint_s > 0.0:
            if self.usual_hint_s == 0.0:
                self.usual_hint_s = hint_s
            else:
                self.usual_hint_s += LATENCY_STEP * (hint_s - self.usual_hint_s)

    def expected_latency_s(self, hint_s: float) -> float:
        """Return the usual latency of a request with this work estimate (0: none)."""
        if hint_s <= 0.0 or self.usual_hint_s == 0.0:
            return self.usual_latency_s
        work_ratio = (1.0 - MIN_WORK_RATIO) * min(hint_s / self.usual_hint_s, MAX_HINT_RATIO)
        return self.usual_latency_s * (MIN_WORK_RATIO + work_ratio)
