"""Outlier ejection: upstreams that keep failing get no requests for a while."""

from __future__ import annotations

import math
from random import Random

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import LogMessage
from indigokeel.balancing.subsetting import Subset
from indigokeel.balancing.traffic_statistics import TrafficStatistics
from indigokeel.balancing.upstream_registry import UpstreamRegistry
from indigokeel.balancing.upstream_state import EJECTION_INITIAL_S, UpstreamState

FALSE_EJECTION_PROBABILITY = 0.0005  # chance that a healthy upstream reaches the required failure count
MAX_REQUIRED_FAILURES = 6  # consecutive failures, however common failures are in the fleet
EJECTION_PROBABILITY = 0.7  # below 1, so that not all sidecars eject an upstream at the same time
MAX_EJECTION_S = 10.0  # the ejection time doubles up to this limit while the upstream keeps failing
MAX_EJECTED_RATIO = 0.5  # share of the serving upstreams that may be ejected at once
# The shortest ejection, relative to the mean time until this sidecar would choose the upstream again.
MIN_EJECTION_RATIO = 0.3
MIN_ARRIVALS_PER_S = 0.1  # added to the request rate, so that it is never zero
INITIAL_FAILURE_RATIO = 0.1  # assumed share of failed attempts on healthy upstreams
FAILURE_RATIO_DECAY = 0.97  # factor for older outcomes, applied with each success or failure
MIN_FAILURE_RATIO = 0.01
MAX_FAILURE_RATIO = 0.99


class OutlierEjection:
    """Ejects an upstream whose consecutive failures are unlikely at the failure ratio of the fleet."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        subset: Subset,
        traffic: TrafficStatistics,
        random: Random,
        sink: ActionSink,
    ) -> None:
        self._registry = registry
        self._subset = subset
        self._traffic = traffic
        self._random = random
        self._sink = sink
        self._failure_ratio = INITIAL_FAILURE_RATIO  # of this sidecar's attempts on healthy upstreams

    def record_success(self, now: float, upstream: UpstreamState) -> None:
        """Record a successful response of an upstream, which ends an ejection for timeouts."""
        self._failure_ratio *= FAILURE_RATIO_DECAY
        # Errors of an upstream count towards the failure ratio of healthy ones only once it serves again.
        if upstream.unattributed_errors:
            self.record_common_failures(upstream.unattributed_errors)
            upstream.unattributed_errors = 0
        upstream.consecutive_failures = 0
        upstream.last_success_at = now
        upstream.ejection_time_s = EJECTION_INITIAL_S
        if upstream.ejected_for_timeouts and upstream.ejected_until > now:
            upstream.ejected_until = now
            self._subset.invalidate()
            self._sink.add(LogMessage(f"ejection of {upstream.member.id} ended: it responds again"))

    def record_common_failures(self, count: int = 1) -> None:
        """Record failures that are attributed to the fleet rather than to one upstream."""
        self._failure_ratio = 1.0 - (1.0 - self._failure_ratio) * FAILURE_RATIO_DECAY**count

    def record_failure(
        self, now: float, upstream: UpstreamState, weight: int = 1, timed_out: bool = False
    ) -> None:
        """Record a failure that counts ``weight`` times, and eject the upstream after too many in a row.

        ``timed_out``: the upstream did not respond at all.
        """
        upstream.consecutive_failures += weight
        required = self._required_failures()
        if upstream.consecutive_failures < required or upstream.ejected_until > now:
            return
        if self._random.random() >= EJECTION_PROBABILITY:
            return
        ejected = sum(1 for u in self._registry.all_serving() if u.ejected_until > now)
        if ejected < self._registry.serving_count() * MAX_EJECTED_RATIO:
            self._eject(now, upstream, timed_out)
            upstream.consecutive_failures = required - 1  # after the ejection one more failure is enough

    def _required_failures(self) -> int:
        """Return a number of consecutive failures that a healthy upstream almost never reaches."""
        ratio = min(max(self._failure_ratio, MIN_FAILURE_RATIO), MAX_FAILURE_RATIO)
        required = math.ceil(math.log(FALSE_EJECTION_PROBABILITY) / math.log(ratio))
        return min(required, MAX_REQUIRED_FAILURES)

    def _eject(self, now: float, upstream: UpstreamState, timed_out: bool) -> None:
        # A sidecar with little traffic would not choose the upstream again for a while anyway; the ejection
        # has to last long enough to make a difference.
        arrivals_per_s = self._traffic.arrivals_per_s(now) + MIN_ARRIVALS_PER_S
        revisit_s = len(self._subset.members) / arrivals_per_s
        ejection_s = max(upstream.ejection_time_s, MIN_EJECTION_RATIO * revisit_s)
        upstream.ejected_until = now + min(ejection_s, MAX_EJECTION_S)
        upstream.ejected_for_timeouts = timed_out
        upstream.ejection_time_s = min(upstream.ejection_time_s * 2.0, MAX_EJECTION_S)
        upstream.unattributed_errors = 0
        self._subset.invalidate()
        self._sink.add(LogMessage(f"ejected {upstream.member.id}: consecutive failures"))
