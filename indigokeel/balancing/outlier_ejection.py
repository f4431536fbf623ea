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

FALSE_EJECTION_PROBABILITY = 0.0005  # of as many failures in a row on an upstream as healthy as the fleet
MAX_REQUIRED_FAILURES = 6  # in a row, however common failures are
EJECTION_PROBABILITY = 0.7  # so that not all sidecars drop an upstream at once
MAX_EJECTION_S = 10.0  # the time doubles up to this while the upstream keeps failing
MAX_EJECTED_RATIO = 0.5  # of the serving upstreams
REVISIT_RATIO = 0.3  # of the mean time until a sidecar would choose the upstream again; the least ejection
MIN_ARRIVALS_PER_S = 0.1  # added to the rate of requests
INITIAL_FAILURE_RATIO = 0.1  # of attempts on healthy upstreams
FAILURE_RATIO_DECAY = 0.97  # with each answer or failure
MIN_FAILURE_RATIO = 0.01
MAX_FAILURE_RATIO = 0.99


class OutlierEjection:
    """Ejects upstreams by their consecutive failures, given how common failures are in the fleet."""

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
        self._failure_ratio = INITIAL_FAILURE_RATIO  # of own attempts on healthy upstreams

    def record_success(self, now: float, upstream: UpstreamState) -> None:
        """Record an answer of an upstream; it ends an ejection for timeouts."""
        self._failure_ratio *= FAILURE_RATIO_DECAY
        # Only the errors of an upstream that serves again show how common they are on a healthy one.
        if upstream.uncounted_errors:
            self.record_common_failures(upstream.uncounted_errors)
            upstream.uncounted_errors = 0
        upstream.consecutive_failures = 0
        upstream.last_success_at = now
        upstream.ejection_time_s = EJECTION_INITIAL_S
        if upstream.ejected_for_silence and upstream.ejected_until > now:
            upstream.ejected_until = now
            self._subset.invalidate()
            self._sink.add(LogMessage(f"ejection of {upstream.member.id} ended: it responds again"))

    def record_common_failures(self, count: int = 1) -> None:
        """Record failures that are attributed to the fleet and not to one upstream."""
        self._failure_ratio = 1.0 - (1.0 - self._failure_ratio) * FAILURE_RATIO_DECAY**count

    def record_failure(
        self, now: float, upstream: UpstreamState, weight: int = 1, silent: bool = False
    ) -> None:
        """Record a failure that counts ``weight`` times, and eject the upstream if there are too many.

        ``silent``: it did not respond at all.
        """
        upstream.consecutive_failures += weight
        required = self._required_failures()
        if upstream.consecutive_failures < required or upstream.ejected_until > now:
            return
        if self._random.random() >= EJECTION_PROBABILITY:
            return
        ejected = sum(1 for u in self._registry.all_serving() if u.ejected_until > now)
        if ejected < self._registry.serving_count() * MAX_EJECTED_RATIO:
            self._eject(now, upstream, silent)
            upstream.consecutive_failures = required - 1  # one more failure is enough after its return

    def _required_failures(self) -> int:
        """Return the consecutive failures that a healthy upstream hardly ever shows."""
        ratio = min(max(self._failure_ratio, MIN_FAILURE_RATIO), MAX_FAILURE_RATIO)
        required = math.ceil(math.log(FALSE_EJECTION_PROBABILITY) / math.log(ratio))
        return min(required, MAX_REQUIRED_FAILURES)

    def _eject(self, now: float, upstream: UpstreamState, silent: bool) -> None:
        # A quiet sidecar would not choose it again for a while anyway; an ejection must outlast that.
        arrivals_per_s = self._traffic.arrivals_per_s(now) + MIN_ARRIVALS_PER_S
        revisit_s = len(self._subset.members) / arrivals_per_s
        ejection_s = max(upstream.ejection_time_s, REVISIT_RATIO * revisit_s)
        upstream.ejected_until = now + min(ejection_s, MAX_EJECTION_S)
        upstream.ejected_for_silence = silent
        upstream.ejection_time_s = min(upstream.ejection_time_s * 2.0, MAX_EJECTION_S)
        upstream.uncounted_errors = 0
        self._subset.invalidate()
        self._sink.add(LogMessage(f"ejected {upstream.member.id}: consecutive failures"))
