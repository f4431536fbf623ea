"""Weighted choice among candidates: busy ones are filtered out, the rest weighted by their reported rate."""

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

BUSY_UTILISATION = 0.95  # upstreams above it are filtered out, because queues grow without bound near 1
# If a larger share of the candidates is busy, the choice is random among all of them and ignores the reported
# rates (BP-65's lowLoadBookieRatio).
MAX_BUSY_RATIO = 0.5
WARMING_KEY_SPREAD = 4  # virtual keys per key among warming-up upstreams, so that a hot key overloads none


def too_few_available(available_warm: int, warm: int) -> bool:
    """Return whether the filter leaves so few warm upstreams that all candidates become eligible."""
    return available_warm < warm * (1.0 - MAX_BUSY_RATIO)


class WeightedSelection:
    """Chooses an upstream from a list of candidates."""

    def __init__(
        self, weights: UpstreamWeights, warm_up: WarmUpAdmission, subset: Subset, random: Random
    ) -> None:
        self._weights = weights
        self._warm_up = warm_up
        self._subset = subset
        self._random = random

    def choose(self, now: float, candidates: list[UpstreamState], key: int) -> UpstreamState | None:
        """Return an upstream, or None if all candidates are warming up and the limit is reached.

        ``key`` is the hash of the routing key, 0 for none.
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
        fallback = _needs_fallback(candidates, available, warm_count)
        if fallback or rate_sum <= 0.0:
            eligible = candidates if fallback else available
            weights = [u.weight for u in eligible]
        else:
            eligible = available
            weights = _weights_by_rate(available, rate_sum / reporting_count)
        penalise_in_flight(eligible, weights)
        if warm_count < len(candidates):
            return self._choose_with_warming(now, dict(zip(eligible, weights, strict=True)), key)
        return self._choose_weighted(eligible, weights, key)

    def _choose_weighted(
        self, upstreams: list[UpstreamState], weights: Iterable[float], key: int
    ) -> UpstreamState:
        if key:
            return choose_by_key(upstreams, weights, key)
        return choose_at(upstreams, weights, self._random.random())

    def _choose_with_warming(
        self, now: float, weights: dict[UpstreamState, float], key: int
    ) -> UpstreamState | None:
        """Choose an upstream where some are warming up.

        Whether to use a warming-up upstream is decided at random and not by the key, because all sidecars map
        a key alike and would overload it together. Without any warm upstream, requests over the limit get
        none.
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
            # The candidates for a key are only a part of the subset, and so is their traffic.
            candidate_ratio = len(weights) / max(len(self._subset.members), len(weights))
            traffic_ratio = warming[upstream] / total * candidate_ratio
            if warm or self._warm_up.try_admit(now, upstream, traffic_ratio):
                return upstream
        return self._choose_weighted(list(warm), warm.values(), key) if warm else None


def _needs_fallback(candidates: list[UpstreamState], available: list[UpstreamState], warm_count: int) -> bool:
    """Return whether too few candidates are available.

    Only warm upstreams are counted: one that is warming up may not have reported yet, so passing the filter
    does not show that it is idle.
    """
    if not available:
        return True
    if not warm_count:
        return too_few_available(len(available), len(candidates))
    if len(available) == len(candidates):
        return too_few_available(warm_count, warm_count)
    return too_few_available(sum(u.warm_up_weight >= 1.0 for u in available), warm_count)


def _weights_by_rate(upstreams: list[UpstreamState], mean_rate: float) -> list[float]:
    """Return weights by 1 / (rate + mean rate); without a load report the mean rate is assumed."""
    return [
        u.weight / ((u.rate / u.relative_capacity if u.rate >= 0.0 else mean_rate) + mean_rate)
        for u in upstreams
    ]
