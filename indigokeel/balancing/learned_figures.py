"""What a balancer has learned, for the next process of the same sidecar."""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.balancing.class_statistics import ClassStatistics
from indigokeel.balancing.statistics import FrequencyCounter, ShrinkageEstimate
from indigokeel.balancing.upstream_state import UpstreamState


@dataclass(frozen=True, slots=True)
class LearnedFigures:
    """The live figures of a balancer: reading them exports, changing them restores what was learned."""

    classes: dict[str, ClassStatistics]
    upstreams: dict[str, UpstreamState]
    fleet_capacity: ShrinkageEstimate
    kind_capacities: dict[str, ShrinkageEstimate]
    key_counts: FrequencyCounter
