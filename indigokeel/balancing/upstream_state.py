"""What the balancer knows of one upstream."""

from __future__ import annotations

import math
from typing import Protocol

from indigokeel.balancing.events import LoadReport, Member
from indigokeel.balancing.hashing import hash64
from indigokeel.balancing.statistics import DecayingSum, ShrinkageEstimate, SlidingWindow

REPORT_WINDOW_S = 3.0  # load reports are averaged over this time
MIN_AVERAGED_REPORTS = 3  # with fewer the utilisation counts as unknown
MIN_CAPACITY_UTILISATION = 0.15  # below it, rate / utilisation is mostly noise
CAPACITY_MIN_STEP = 0.2  # least weight of a new capacity sample
LATENCY_TIME_CONSTANT_S = 10.0
LATENCY_PRIOR_ANSWERS = 2.0  # answers that the assumption of an ordinary latency counts for
MIN_LATENCY_RATIO = 0.2  # of the expected latency; observations are clamped to these bounds
MAX_LATENCY_RATIO = 20.0
EJECTION_INITIAL_S = 2.0  # short, because the upstream may have recovered


class UpstreamListener(Protocol):
    """Is informed of changes to an upstream that it keeps figures of."""

    def mark_changed(self, upstream: UpstreamState) -> None:
        """Note that the weight of an upstream must be computed anew."""

    def add_open_attempts(self, upstream: UpstreamState, change: int) -> None:
        """Note that attempts on an upstream began or ended."""


class UpstreamState:
    """Reports, latencies, failures and open attempts of one upstream."""

    __slots__ = (
        "consecutive_failures", "ejected_for_silence", "ejected_until", "ejection_time_s",
        "health_check_pending", "health_checked_at", "last_success_at", "latency_log_sum", "latency_weight",
        "listener", "load_reported_at", "log_capacity", "member", "name_hash", "open_attempts",
        "other_in_flight", "overdue_attempts", "rate", "relative_capacity", "reports", "scale", "slot",
        "slot_remaining", "uncounted_errors", "utilisation", "warm_up_weight", "weight", "weight_valid_until",
    )  # fmt: skip

    def __init__(self, member: Member, group_capacity: ShrinkageEstimate) -> None:
        self.member = member
        self.name_hash = hash64(member.id)
        self.scale = 1.0
        # The logarithm of requests a second at full utilisation, for each unit of scale.
        self.log_capacity = ShrinkageEstimate(group_capacity, CAPACITY_MIN_STEP)

        self.reports = SlidingWindow(REPORT_WINDOW_S)  # of rate and utilisation
        self.rate = -1.0  # mean of the reports; -1: unknown
        self.utilisation = -1.0  # mean of the reports; -1: unknown
        self.load_reported_at = -math.inf  # clock time of the last report of requests in flight
        self.other_in_flight = 0.0  # requests that it held then, besides this sidecar's

        self.latency_log_sum = DecayingSum(LATENCY_TIME_CONSTANT_S)  # of log(own latency / expected)
        self.latency_weight = DecayingSum(LATENCY_TIME_CONSTANT_S)
        self.open_attempts = 0
        self.overdue_attempts = 0  # of the open ones

        # The figures of selection, valid until ``weight_valid_until``.
        self.relative_capacity = 1.0
        self.warm_up_weight = 1.0
        self.weight = 1.0
        self.weight_valid_until = -math.inf
        self.slot = -math.inf  # number of the current slot of its warm-up quota
        self.slot_remaining = 0  # requests left in that slot
        self.listener: UpstreamListener | None = None

        self.consecutive_failures = 0
        self.uncounted_errors = 0  # errors not yet attributed to the fleet or to this upstream
        self.last_success_at = -math.inf
        self.ejected_until = 0.0
        self.ejection_time_s = EJECTION_INITIAL_S
        self.ejected_for_silence = False  # it was ejected for timeouts, not for errors

        self.health_check_pending = False
        self.health_checked_at = -math.inf

    def invalidate_weight(self) -> None:
        """Have the weight computed anew before the next choice."""
        self.weight_valid_until = -math.inf
        if self.listener is not None:
            self.listener.mark_changed(self)

    def add_open_attempts(self, change: int) -> None:
        """Count attempts that began (positive) or ended (negative)."""
        self.open_attempts += change
        if self.listener is not None:
            self.listener.add_open_attempts(self, change)

    def add_overdue_attempts(self, change: int) -> None:
        """Count attempts that became overdue (positive) or, being overdue, ended (negative)."""
        self.overdue_attempts += change
        self.invalidate_weight()

    def record_load_report(self, now: float, report: LoadReport) -> None:
        """Store the figures of a load report; those it lacks stay as they are."""
        if report.in_flight is not None:
            self.other_in_flight = report.in_flight - self.open_attempts
            self.load_reported_at = now
        if report.rate is not None and report.utilisation is not None:
            self._record_rate(now, report.rate, report.utilisation)

    def _record_rate(self, now: float, rate: float, utilisation: float) -> None:
        self.reports.add(now, rate, utilisation)
        self.invalidate_weight()
        if utilisation > MIN_CAPACITY_UTILISATION and rate > 0.0:
            # While warming up, the capacity that it would have when warm.
            self.log_capacity.add(math.log(rate / (utilisation * self.scale * self.warm_up_weight)))

    def average_reports(self, now: float) -> None:
        """Drop expired reports and average the rest."""
        means = self.reports.means(now)
        if means is None:
            self.rate = -1.0
            self.utilisation = -1.0
            return
        rate, utilisation = means
        self.rate = rate
        self.utilisation = utilisation if len(self.reports) >= MIN_AVERAGED_REPORTS else -1.0

    def record_latency(self, now: float, ratio: float) -> None:
        """Record an observed latency as a multiple of the expected one."""
        self.latency_log_sum.add(now, math.log(min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)))
        self.latency_weight.add(now, 1.0)
        self.invalidate_weight()

    def slowness(self, now: float) -> float:
        """Return the mean observed latency as a multiple of the expected one, shrunken to 1."""
        weight = self.latency_weight.value(now)
        if not weight:
            return 1.0
        return math.exp(self.latency_log_sum.value(now) / (weight + LATENCY_PRIOR_ANSWERS))
