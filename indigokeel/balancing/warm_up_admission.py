"""Limits the requests that are sent to upstreams while they warm up."""

from __future__ import annotations

import math
from collections.abc import Collection
from random import Random

from indigokeel.balancing import slow_start
from indigokeel.balancing.capacity_estimates import CapacityEstimates
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.traffic_statistics import TrafficStatistics
from indigokeel.balancing.upstream_registry import MIN_SUBSET_SIZE, UpstreamRegistry
from indigokeel.balancing.upstream_state import UpstreamState

LOAD_DECAY = 0.95  # factor of the measured load with each measurement
RATE_PRIOR_PER_S = 1.0  # added to the rates of arrivals and of responses before they are compared
MIN_FLEET_RATE = 1e-9  # requests per second; avoids a division by zero


class WarmUpAdmission:
    """Decides how much of this sidecar's traffic an upstream is sent while it warms up."""

    def __init__(
        self,
        settings: Settings,
        registry: UpstreamRegistry,
        capacities: CapacityEstimates,
        traffic: TrafficStatistics,
        random: Random,
    ) -> None:
        self._registry = registry
        self._capacities = capacities
        self._traffic = traffic
        self._random = random
        self._load: float | None = None  # utilisation of the used upstreams if all were warm; None: unknown
        self._fleet_traffic_share = 1.0  # fraction of the fleet's traffic that passes through this sidecar
        self._used_capacity = 1.0  # capacity of the used upstreams when warm, in units of the fleet's mean
        self._warm_count = 0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._safety = settings.safety
        self._is_only_sidecar = settings.sidecars <= 1

    def has_warm_upstreams(self) -> bool:
        """Return whether any used upstream was warm at the last measurement."""
        return self._warm_count > 0

    def measure(self, now: float, used: list[UpstreamState]) -> None:
        """Measure the load of the used upstreams and this sidecar's share of the fleet's traffic."""
        self._warm_count = sum(u.warm_up_weight >= 1.0 for u in used)
        mean_capacity = sum(u.relative_capacity for u in used) / max(len(used), 1)
        serving_count = self._registry.serving_count()
        self._used_capacity = mean_capacity * min(max(len(used), MIN_SUBSET_SIZE), serving_count)
        rates = [u.rate / u.relative_capacity for u in used if u.rate >= 0.0]
        if not rates or not self._capacities.fleet.state()[0] > 0.0:
            return
        mean_rate = sum(rates) / len(rates)
        self._measure_load(now, mean_rate)
        if self._is_only_sidecar:
            self._fleet_traffic_share = 1.0
        else:
            fleet_rate = mean_rate * mean_capacity * serving_count + MIN_FLEET_RATE
            self._fleet_traffic_share = min(self._traffic.timely_per_s(now) / fleet_rate, 1.0)

    def _measure_load(self, now: float, mean_rate: float) -> None:
        arrivals_per_s = self._traffic.arrivals_per_s(now)
        timely_per_s = self._traffic.timely_per_s(now)
        unmet_ratio = max((arrivals_per_s + RATE_PRIOR_PER_S) / (timely_per_s + RATE_PRIOR_PER_S), 1.0)
        load = mean_rate / math.exp(self._capacities.fleet.value()) * unmet_ratio
        # It decays slowly, because no upstream reports it after all of them have restarted.
        self._load = max(load, (self._load or 0.0) * LOAD_DECAY)

    def max_weight(self, warm_weights: Collection[float]) -> float:
        """Return the weight limit beside these warm upstreams, to be multiplied by the warm-up weight."""
        ratio = slow_start.warming_weight_ratio(self._safety, self._traffic.attempts_per_response())
        return sum(warm_weights) / len(warm_weights) * ratio

    def try_admit(self, now: float, upstream: UpstreamState, traffic_ratio: float) -> bool:
        """Admit a request to an upstream that would get this fraction of this sidecar's requests.

        Return False if it is not admitted.
        """
        if self._load is not None:
            self._start_slot(now, upstream)
            if upstream.quota_remaining <= 0:
                return False
        capacity_ratio = upstream.warm_up_weight * upstream.relative_capacity / self._used_capacity
        attempts_per_response = self._traffic.attempts_per_response()
        allowed = slow_start.warming_traffic_ratio(
            self._safety, capacity_ratio, self._load, attempts_per_response
        )
        if allowed < traffic_ratio and self._random.random() * traffic_ratio >= allowed:
            return False
        upstream.quota_remaining -= 1
        return True

    def _start_slot(self, now: float, upstream: UpstreamState) -> None:
        """Renew the quota of an upstream if a new slot has started."""
        slot = (now - upstream.member.started) // (self._safety.overload_window / 2.0)
        if slot == upstream.quota_slot:
            return
        upstream.quota_slot = slot
        capacity = self._capacities.current_capacity(upstream)
        upstream.quota_remaining = slow_start.slot_quota(self._safety, capacity, self._fleet_traffic_share)
