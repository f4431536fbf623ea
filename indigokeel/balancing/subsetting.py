"""Subsetting: each sidecar uses a stable subset of the fleet, large enough for its traffic."""

from __future__ import annotations

import math
from bisect import bisect_left
from itertools import islice
from random import Random

from indigokeel.balancing.hashing import mix64
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.statistics import FrequencyCounter
from indigokeel.balancing.traffic_statistics import TrafficStatistics
from indigokeel.balancing.upstream_registry import MIN_SUBSET_SIZE, UpstreamRegistry
from indigokeel.balancing.upstream_state import UpstreamState
from indigokeel.balancing.warm_up_admission import WarmUpAdmission

TRAFFIC_PER_SUBSET_S = 1.0  # a subset has one upstream for each request that arrives in this time
SUBSET_VALIDITY_S = 0.25  # how long a subset is kept if it is not invalidated
MAX_SCANNED_UPSTREAMS = 16  # larger subsets are sampled by means of the selection index
KEY_WINDOW_SIZE = 20  # upstreams that are candidates for a key
HOT_KEY_SPREAD = 2.0  # virtual keys added for each average upstream's worth of traffic on a key
MAX_COUNTED_KEYS = 500


class Subset:
    """The upstreams that this sidecar uses; ejected ones are replaced by the next ones in subset order."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        traffic: TrafficStatistics,
        warm_up: WarmUpAdmission,
        index: SelectionIndex,
    ) -> None:
        """``index`` holds the members of a large subset; it is kept empty while the subset is small."""
        self._registry = registry
        self._traffic = traffic
        self._warm_up = warm_up
        self._index = index
        self.members: list[UpstreamState] = []  # as of the last refresh
        self._ring: list[UpstreamState] = []  # the same members, sorted by name hash
        self._ring_hashes: list[int] = []
        self._valid_until = -math.inf

    def invalidate(self) -> None:
        """Have the subset rebuilt before its next use."""
        self._valid_until = -math.inf

    def refresh(self, now: float) -> list[UpstreamState]:
        """Rebuild the subset if it has expired, and return it."""
        if now >= self._valid_until:
            self._rebuild(now)
        return self.members

    def _rebuild(self, now: float) -> None:
        size = max(MIN_SUBSET_SIZE, int(self._traffic.arrivals_per_s(now) * TRAFFIC_PER_SUBSET_S))
        usable = (u for u in self._registry.iterate_serving() if u.ejected_until <= now)
        self.members = list(islice(usable, size))
        self._ring = sorted(self.members, key=lambda u: u.name_hash)
        self._ring_hashes = [u.name_hash for u in self._ring]
        self._valid_until = now + SUBSET_VALIDITY_S
        self._warm_up.measure(now, self.members or self._registry.all_serving())
        self._index.replace(now, self.members if len(self.members) > MAX_SCANNED_UPSTREAMS else ())

    def ring_size(self) -> int:
        """Return the number of upstreams that keys are mapped to."""
        return len(self._ring)

    def key_window(self, now: float, key: int) -> list[UpstreamState]:
        """Return the upstreams that follow a key on the hash ring."""
        self.refresh(now)
        if len(self._ring) <= KEY_WINDOW_SIZE:
            return self._ring
        start = bisect_left(self._ring_hashes, key)
        window = self._ring[start : start + KEY_WINDOW_SIZE]
        return window + self._ring[: KEY_WINDOW_SIZE - len(window)]


class HotKeySpreader:
    """Spreads a hot key over several upstreams, so that it overloads none of them."""

    def __init__(self, subset: Subset, random: Random) -> None:
        self._subset = subset
        self._random = random
        self.key_counts = FrequencyCounter(MAX_COUNTED_KEYS)

    def spread(self, key: int) -> int:
        """Count a request with this key, and return one of the virtual keys that replace it."""
        share = self.key_counts.share(key)
        self.key_counts.count(key)
        virtual_keys = 1 + int(share * self._subset.ring_size() * HOT_KEY_SPREAD)
        if virtual_keys == 1:
            return mix64(key, 1)
        return mix64(key, self._random.randrange(virtual_keys) + 1)
