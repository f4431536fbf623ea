"""The weight of an upstream in a choice, before its reported rate is taken into account."""

from __future__ import annotations

from indigokeel.balancing import slow_start
from indigokeel.balancing.capacity_estimates import CapacityEstimates
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.upstream_state import UpstreamState

WEIGHT_VALIDITY_S = 0.25  # how long a weight stays valid if the upstream does not change
OVERDUE_WEIGHT_RATIO = 0.1  # weight factor of an upstream with an overdue attempt
SAME_ZONE_WEIGHT_RATIO = 1.5  # weight factor in the sidecar's zone, where cross-zone requests have a price


class UpstreamWeights:
    """Computes weights from capacity, warm-up, observed latency, overdue attempts and zone."""

    def __init__(self, settings: Settings, capacities: CapacityEstimates) -> None:
        self._capacities = capacities
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._safety = settings.safety
        self._preferred_zone = settings.zone if settings.prices.cross_zone > 0.0 else None

    def update(self, now: float, upstream: UpstreamState) -> None:
        """Compute the weight of an upstream and the figures it is derived from."""
        upstream.average_reports(now)
        upstream.relative_capacity = self._capacities.relative_capacity(upstream)
        started = upstream.member.started
        upstream.warm_up_weight = slow_start.warm_up_weight(self._safety, started, now)
        weight = upstream.relative_capacity * upstream.warm_up_weight / upstream.relative_latency(now)
        if upstream.overdue_attempts:
            # An upstream that hangs sends no load reports; only the age of open attempts reveals the hang.
            weight *= OVERDUE_WEIGHT_RATIO
        if upstream.member.zone == self._preferred_zone:
            weight *= SAME_ZONE_WEIGHT_RATIO
        upstream.weight = weight
        upstream.weight_valid_until = now + WEIGHT_VALIDITY_S
