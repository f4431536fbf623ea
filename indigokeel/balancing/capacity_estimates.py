"""Capacity estimates of upstreams, learned from rate / utilisation in their load reports."""

from __future__ import annotations

import math
from weakref import WeakValueDictionary

from indigokeel.balancing.events import Member
from indigokeel.balancing.statistics import ShrinkageEstimate
from indigokeel.balancing.upstream_state import UpstreamState

KIND_MIN_STEP = 0.02  # minimum weight of a new sample in the estimates of the fleet and of a kind
GROUP_MIN_STEP = 0.05  # the same in the estimate of one kind in one replica group


class CapacityEstimates:
    """Log capacity of the whole fleet, of each kind of upstream, and of each kind in each replica group.

    One sidecar receives few load reports from an upstream, and the members of a replica group may share a
    limit. So the estimate of an upstream is shrunk towards that of its kind and group.
    """

    def __init__(self) -> None:
        self.fleet = ShrinkageEstimate(None, KIND_MIN_STEP)
        self.kinds: dict[str, ShrinkageEstimate] = {}
        # Weak references, because replica groups are replaced by new ones with new numbers.
        self._groups: WeakValueDictionary[tuple[str, int], ShrinkageEstimate] = WeakValueDictionary()

    def group_estimate(self, member: Member) -> ShrinkageEstimate:
        """Return the estimate for the kind and replica group of an upstream."""
        kind = self.kinds.setdefault(member.kind, ShrinkageEstimate(self.fleet, KIND_MIN_STEP))
        group = (member.kind, member.replica_group)
        return self._groups.setdefault(group, ShrinkageEstimate(kind, GROUP_MIN_STEP))

    def relative_capacity(self, upstream: UpstreamState) -> float:
        """Return the capacity of an upstream when warm, relative to the mean of the fleet."""
        return upstream.scale * math.exp(upstream.log_capacity.value() - self.fleet.value())

    def current_capacity(self, upstream: UpstreamState) -> float:
        """Return the capacity of an upstream at its current warm-up weight, in requests per second."""
        return upstream.warm_up_weight * upstream.scale * math.exp(upstream.log_capacity.value())
