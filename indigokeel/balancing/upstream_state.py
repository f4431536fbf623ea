"""The balancer's state of one upstream."""

from __future__ import annotations

import math
from typing import Protocol

from indigokeel.balancing.events import LoadReport, Member
from indigokeel.balancing.hashing import hash64
from indigokeel.balancing.statistics import DecayingSum, ShrinkageEstimate, SlidingWindow

REPORT_WINDOW_S = 3.0  # load reports are averaged over this time
MIN_AVERAGED_REPORTS = 3  # with fewer load reports the utilisation counts as unknown
MIN_CAPACITY_UTILISATION = 0.15  # below it, rate / utilisation is mostly noise
CAPACITY_MIN_STEP = 0.2  # minimum weight of a new sample in the running mean of the capacity
LATENCY_TIME_CONSTANT_S = 10.0
LATENCY_PRIOR_SAMPLES = 2.0  # samples that the prior, the expected latency, counts for
MIN_LATENCY_RATIO = 0.2  # samples, as multiples of the expected latency, are clamped to these bounds
MAX_LATENCY_RATIO = 20.0
EJECTION_INITIAL_S = 2.0  # short, because the upstream may have recovered by then


class UpstreamListener(Protocol):
    """Is notified of changes to an upstream that it keeps figures of."""

    def mark_changed(self, upstream: UpstreamState) -> None:
        """Note that the weight of an upstream must be recomputed."""

    def add_open_attempts(self, upstream: UpstreamState, change: int) -> None:
        """Note that attempts on an upstream began or ended."""


class UpstreamState:
    """Reports, latencies, failures and open attempts of one upstream."""

    __slots__ = (
        "consecutive_failures", "ejected_for_timeouts", "ejected_until", "ejection_time_s",
        "health_check_pending", "health_checked_at", "last_success_at", "latency_log_sum", "latency_weight",
        "listener", "load_reported_at", "log_capacity", "member", "name_hash", "open_attempts",
        "other_in_flight", "overdue_attempts", "quota_remaining", "quota_slot", "rate", "relative_capacity",
        "reports", "scale", "unattributed_errors", "utilisation", "warm_up_weight", "weight",
        "weight_valid_until",
    )  # fmt: skip

    def __init__(self, member: Member, group_capacity: ShrinkageEstimate) -> None:
        self.member = member
        self.name_hash = hash64(member.id)
        self.scale = 1.0
        # The logarithm of the requests per second at full utilisation, per unit of scale.
        self.log_capacity = ShrinkageEstimate(group_capacity, CAPACITY_MIN_STEP)

        self.reports = SlidingWindow(REPORT_WINDOW_S)  # rate and utilisation
        self.rate = -1.0  # mean of the reports; -1: unknown
        self.utilisation = -1.0  # mean of the reports; -1: unknown
        self.load_reported_at = -math.inf  # clock time of the last report with requests in flight
        self.other_in_flight = 0.0  # requests in flight at that time, without this sidecar's

        self.latency_log_sum = DecayingSum(LATENCY_TIME_CONSTANT_S)  # of log(observed / expected latency)
        self.latency_weight = DecayingSum(LATENCY_TIME_CONSTANT_S)
        self.open_attempts = 0
        self.overdue_attempts = 0  # those of the open attempts that are overdue

        # The weight and the figures it is derived from, valid until ``weight_valid_until``.
        self.relative_capacity = 1.0
        self.warm_up_weight = 1.0
        self.weight = 1.0
        self.weight_valid_until = -math.inf
        self.quota_slot = -math.inf  # number of the current time slot of the warm-up quota
        self.quota_remaining = 0  # requests that the quota still allows in that slot
        self.listener: UpstreamListener | None = None

        self.consecutive_failures = 0
        self.unattributed_errors = 0  # errors not yet attributed to the fleet or to this upstream
        self.last_success_at = -math.inf
        self.ejected_until = 0.0
        self.ejection_time_s = EJECTION_INITIAL_S
        self.ejected_for_timeouts = False  # the last ejection was for timeouts, not for errors

        self.health_check_pending = False
        self.health_checked_at = -math.inf

    def invalidate_weight(self) -> None:
        """Have the weight recomputed before the next choice."""
        self.weight_valid_until = -math.inf
        if self.listener is not None:
            self.listener.mark_changed(self)

    def add_open_attempts(self, change: int) -> None:
        """Add the change in the number of open attempts."""
        self.open_attempts += change
        if self.listener is not None:
            self.listener.add_open_attempts(self, change)

    def add_overdue_attempts(self, change: int) -> None:
        """Add the change in the number of open attempts that are overdue."""
        self.overdue_attempts += change
        self.invalidate_weight()

    def record_load_report(self, now: float, report: LoadReport) -> None:
        """Store the figures of a load report; figures that it lacks stay unchanged."""
        if report.in_flight is not None:
            self.other_in_flight = report.in_flight - self.open_attempts
            self.load_reported_at = now
        if report.rate is not None and report.utilisation is not None:
            self._record_rate(now, report.rate, report.utilisation)

    def _record_rate(self, now: float, rate: float, utilisation: float) -> None:
        self.reports.add(now, rate, utilisation)
        self.invalidate_weight()
        if utilisation > MIN_CAPACITY_UTILISATION and rate > 0.0:
            # While the upstream warms up, this estimates the capacity that it will have when warm.
            self.log_capacity.add(math.log(rate / (utilisation * self.scale * self.warm_up_weight)))

    def average_reports(self, now: float) -> None:
        """Drop expired load reports and average the rest."""
        means = self.reports.means(now)
        if means is None:
            self.rate = -1.0
            self.utilisation = -1.0
            return
        rate, utilisation = means
        self.rate = rate
        self.utilisation = utilisation if len(self.reports) >= MIN_AVERAGED_REPORTS else -1.0

    def record_latency(self, now: float, ratio: float) -> None:
        """Record an observed latency, given as a multiple of the expected one."""
        self.latency_log_sum.add(now, math.log(min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)))
        self.latency_weight.add(now, 1.0)
        self.invalidate_weight()

    def relative_latency(self, now: float) -> float:
        """Return the mean of the observed latency / expected latency, shrunk towards 1."""
        weight = self.latency_weight.value(now)
        if not weight:
            return 1.0
        return math.exp(self.latency_log_sum.value(now) / (weight + LATENCY_PRIOR_SAMPLES))
