"""What a balancer has learned, to be passed on to the next process of the same sidecar."""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.balancing.class_statistics import ClassStatistics
from indigokeel.balancing.statistics import FrequencyCounter, ShrinkageEstimate
from indigokeel.balancing.upstream_state import UpstreamState


@dataclass(frozen=True, slots=True)
class LearnedStatistics:
    """References to live state of a balancer: read to export what it has learned, changed to restore it."""

    classes: dict[str, ClassStatistics]
    upstreams: dict[str, UpstreamState]
    fleet_capacity: ShrinkageEstimate
    kind_capacities: dict[str, ShrinkageEstimate]
    key_counts: FrequencyCounter
