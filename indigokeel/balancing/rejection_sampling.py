"""Weighted choice from a large subset, by rejection sampling.

An upstream is sampled uniformly and accepted with a probability equal to the ratio of its weight to the
largest possible weight. The odds are those of the weighted choice among all members, without computing every
weight.
"""

from __future__ import annotations

from random import Random

from indigokeel.balancing.in_flight_penalty import penalty
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.subsetting import Subset
from indigokeel.balancing.upstream_state import UpstreamState
from indigokeel.balancing.warm_up_admission import WarmUpAdmission
from indigokeel.balancing.weighted_selection import WeightedSelection, too_few_available

MAX_SAMPLES = 64  # rejected samples after which one choice computes all weights instead
WARM_SAMPLE_SIZE = 32  # random members whose warm ones limit the weight of a warming-up upstream
# A warm upstream's weight may be outdated by this time: changes and expired load reports update it anyway.
MAX_STALENESS_S = 2.0
MIN_WEIGHT_SUM = 1e-9  # prevents a division by zero


class _Population:
    """The index members that one choice samples from, and the means that their weights are based on."""

    __slots__ = ("_available", "_busy", "fallback", "mean_open_attempts", "mean_rate", "size", "weight_sum")

    def __init__(self, index: SelectionIndex) -> None:
        available = self._available = index.available
        busy = self._busy = index.busy
        warm_count = available.warm_count + busy.warm_count
        self.fallback = not available.members or too_few_available(available.warm_count, warm_count)
        if self.fallback:
            self.mean_rate = 0.0
            self.size = len(available.members) + len(busy.members)
            weight_sum = available.weight_sum() + busy.weight_sum()
            open_attempts = available.open_attempts + busy.open_attempts
        else:
            self.mean_rate = available.mean_rate()
            self.size = len(available.members)
            weight_sum = available.weight_sum()
            open_attempts = available.open_attempts
        self.weight_sum = max(weight_sum, MIN_WEIGHT_SUM)
        self.mean_open_attempts = open_attempts / self.weight_sum + 1.0

    def sample(self, random: Random) -> UpstreamState:
        """Return a member sampled uniformly."""
        position = int(random.random() * self.size)
        members = self._available.members
        return members[position] if position < len(members) else self._busy.members[position - len(members)]

    def update_size(self) -> None:
        """Recompute the number of available members after a sampled one turned out to be busy."""
        self.size = len(self._available.members)

    def weight_by_rate(self, upstream: UpstreamState) -> float:
        """Return the weight of an upstream, scaled by 1 / (rate + mean rate)."""
        mean = self.mean_rate
        if mean <= 0.0:
            return upstream.weight
        rate = upstream.rate / upstream.relative_capacity if upstream.rate >= 0.0 else mean
        return upstream.weight / (rate + mean)


class RejectionSampler:
    """Chooses an upstream from the selection index."""

    def __init__(
        self,
        index: SelectionIndex,
        warm_up: WarmUpAdmission,
        selection: WeightedSelection,
        subset: Subset,
        random: Random,
    ) -> None:
        """Create a sampler; ``selection`` chooses from ``subset`` if too many samples are rejected."""
        self._index = index
        self._warm_up = warm_up
        self._selection = selection
        self._subset = subset
        self._random = random

    def has_members(self) -> bool:
        """Return whether the index has members, which it has only if the subset is large."""
        return len(self._index) > 0

    def choose(self, now: float) -> UpstreamState | None:
        """Return an upstream, or None if all are warming up and the limit is reached."""
        index = self._index
        random = self._random
        index.refresh(now)
        population = _Population(index)
        rate_unit = population.mean_rate or 1.0
        for _ in range(MAX_SAMPLES):
            upstream = population.sample(random)
            if _is_stale(now, upstream):
                index.update(now, upstream)
                if not population.fallback and not index.is_available(upstream):
                    population.update_size()
                    if not population.size:
                        break
                    continue
            weight = self._weight(population, upstream)
            if random.random() * index.max_weight >= weight * rate_unit:
                continue
            return upstream if self._is_admitted(now, population, upstream, weight) else None
        return self._selection.choose(now, self._subset.members, 0)

    def _weight(self, population: _Population, upstream: UpstreamState) -> float:
        weight = population.weight_by_rate(upstream)
        if upstream.open_attempts:
            weight *= penalty(upstream, population.mean_open_attempts)
        if upstream.warm_up_weight < 1.0 and self._warm_up.has_warm_upstreams():
            sampled = [population.sample(self._random) for _ in range(WARM_SAMPLE_SIZE)]
            warm_weights = [population.weight_by_rate(u) for u in sampled if u.warm_up_weight >= 1.0]
            if warm_weights:
                weight = min(weight, upstream.warm_up_weight * self._warm_up.max_weight(warm_weights))
        return weight

    def _is_admitted(
        self, now: float, population: _Population, upstream: UpstreamState, weight: float
    ) -> bool:
        if self._warm_up.has_warm_upstreams():
            return True
        traffic_ratio = weight * (2.0 * population.mean_rate or 1.0) / population.weight_sum
        return self._warm_up.try_admit(now, upstream, traffic_ratio)


def _is_stale(now: float, upstream: UpstreamState) -> bool:
    tolerance = MAX_STALENESS_S if upstream.warm_up_weight >= 1.0 and not upstream.overdue_attempts else 0.0
    return now >= upstream.weight_valid_until + tolerance
