"""Estimates of the capacity of upstreams, learned from rate / utilisation in their load reports."""

from __future__ import annotations

import math
from weakref import WeakValueDictionary

from indigokeel.balancing.events import Member
from indigokeel.balancing.statistics import ShrinkageEstimate
from indigokeel.balancing.upstream_state import UpstreamState

KIND_MIN_STEP = 0.02  # least weight of a new sample in the estimates of the fleet and of a kind
GROUP_MIN_STEP = 0.05  # ... and of one kind in one replica group


class CapacityEstimates:
    """Logarithms of the capacity of the whole fleet, of each kind, and of each kind in each replica group.

    One sidecar sees few reports of an upstream, and servers of a replica group can share a limit, so the
    estimate of an upstream is shrunken to that of its kind and group.
    """

    def __init__(self) -> None:
        self.fleet = ShrinkageEstimate(None, KIND_MIN_STEP)
        self.kinds: dict[str, ShrinkageEstimate] = {}
        # Weak references, because replica groups come and go under new numbers.
        self._groups: WeakValueDictionary[tuple[str, int], ShrinkageEstimate] = WeakValueDictionary()

    def of_group(self, member: Member) -> ShrinkageEstimate:
        """Return the estimate of the kind and replica group of an upstream."""
        kind = self.kinds.setdefault(member.kind, ShrinkageEstimate(self.fleet, KIND_MIN_STEP))
        group = (member.kind, member.replica_group)
        return self._groups.setdefault(group, ShrinkageEstimate(kind, GROUP_MIN_STEP))

    def relative_capacity(self, upstream: UpstreamState) -> float:
        """Return the full capacity of an upstream, relative to the mean of the fleet."""
        return upstream.scale * math.exp(upstream.log_capacity.value() - self.fleet.value())

    def present_capacity(self, upstream: UpstreamState) -> float:
        """Return the capacity of an upstream at its present warm-up, in requests a second."""
        return upstream.warm_up_weight * upstream.scale * math.exp(upstream.log_capacity.value())
