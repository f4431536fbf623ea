"""The weighted choice among candidates: filter the busy ones, weigh the rest by their reported rate."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from indigokeel.balancing.hashing import mix64
from indigokeel.balancing.in_flight_penalty import penalise_in_flight
from indigokeel.balancing.subsetting import Subset
from indigokeel.balancing.upstream_state import UpstreamState
from indigokeel.balancing.upstream_weights import UpstreamWeights
from indigokeel.balancing.warm_up_admission import WarmUpAdmission
from indigokeel.balancing.weighted_choice import choose_at, choose_by_key

BUSY_UTILISATION = 0.95  # an upstream over it is filtered out: queues grow without bound near 1
MAX_BUSY_RATIO = 0.5  # with a larger part filtered out, the choice is random (BP-65's lowLoadBookieRatio)
WARMING_KEY_SPREAD = 4  # warming-up upstreams that a key is spread over, so that a hot key overloads none


def is_fallback(available_warm: int, warm: int) -> bool:
    """Return whether so few are left by the filter that the choice is random among all."""
    return available_warm < warm * (1.0 - MAX_BUSY_RATIO)


class WeightedSelection:
    """Chooses among a list of candidates."""

    def __init__(
        self, weights: UpstreamWeights, warm_up: WarmUpAdmission, subset: Subset, random: Random
    ) -> None:
        self._weights = weights
        self._warm_up = warm_up
        self._subset = subset
        self._random = random

    def choose(self, now: float, candidates: list[UpstreamState], key: int) -> UpstreamState | None:
        """Return an upstream, or None if all candidates warm up and are to be spared.

        ``key`` is the hash of the key to be routed by, 0 for none.
        """
        available: list[UpstreamState] = []
        rate_sum = 0.0
        reporting_count = 0
        for upstream in candidates:
            if now >= upstream.weight_valid_until:
                self._weights.update(now, upstream)
            if upstream.utilisation <= BUSY_UTILISATION:
                available.append(upstream)
                if upstream.rate >= 0.0:
                    rate_sum += upstream.rate / upstream.relative_capacity
                    reporting_count += 1
        warm_count = len([u for u in candidates if u.warm_up_weight >= 1.0])
        fallback = _falls_back(candidates, available, warm_count)
        if fallback or rate_sum <= 0.0:
            chosen = candidates if fallback else available
            weights = [u.weight for u in chosen]
        else:
            chosen = available
            weights = _weights_by_rate(available, rate_sum / reporting_count)
        penalise_in_flight(chosen, weights)
        if warm_count < len(candidates):
            return self._choose_with_warming(now, dict(zip(chosen, weights, strict=True)), key)
        return self._choose_weighted(chosen, weights, key)

    def _choose_weighted(
        self, upstreams: list[UpstreamState], weights: Iterable[float], key: int
    ) -> UpstreamState:
        if key:
            return choose_by_key(upstreams, weights, key)
        return choose_at(upstreams, weights, self._random.random())

    def _choose_with_warming(
        self, now: float, weights: dict[UpstreamState, float], key: int
    ) -> UpstreamState | None:
        """Choose where some upstreams warm up.

        Whether a warming-up one is chosen is decided by chance and not by the key, because all sidecars agree
        on a key. Without any warm upstream, requests over the limit get no upstream.
        """
        total = sum(weights.values())
        warm = {u: weight for u, weight in weights.items() if u.warm_up_weight >= 1.0}
        warming = {u: weight for u, weight in weights.items() if u.warm_up_weight < 1.0}
        if warm:
            limit = self._warm_up.max_weight(warm.values())
            warming = {u: min(weight, u.warm_up_weight * limit) for u, weight in warming.items()}
            total = sum(warm.values()) + sum(warming.values())
        if self._random.random() * total < sum(warming.values()):
            virtual_key = mix64(key, self._random.randrange(WARMING_KEY_SPREAD) + 1) if key else 0
            upstream = self._choose_weighted(list(warming), warming.values(), virtual_key)
            # The candidates for a key are only a part of the subset.
            seen_ratio = len(weights) / max(len(self._subset.members), len(weights))
            traffic_ratio = warming[upstream] / total * seen_ratio
            if warm or self._warm_up.try_admit(now, upstream, traffic_ratio):
                return upstream
        return self._choose_weighted(list(warm), warm.values(), key) if warm else None


def _falls_back(candidates: list[UpstreamState], available: list[UpstreamState], warm_count: int) -> bool:
    """Return whether too few candidates are available.

    Only warm upstreams are counted: one that warms up has not reported yet, so its passing the filter does
    not show that it is idle.
    """
    if not available:
        return True
    if not warm_count:
        return is_fallback(len(available), len(candidates))
    if len(available) == len(candidates):
        return is_fallback(warm_count, warm_count)
    return is_fallback(sum(u.warm_up_weight >= 1.0 for u in available), warm_count)


def _weights_by_rate(upstreams: list[UpstreamState], mean_rate: float) -> list[float]:
    """Weigh upstreams by 1 / (rate + mean rate); without a report, the mean rate is assumed."""
    return [
        u.weight / ((u.rate / u.relative_capacity if u.rate >= 0.0 else mean_rate) + mean_rate)
        for u in upstreams
    ]
