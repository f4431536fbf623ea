"""A penalty on upstreams that hold far more of the own open attempts than their part.

Load reports are old and averaged: until they show a queue, every choice would make it longer.
"""

from __future__ import annotations

from indigokeel.balancing.upstream_state import UpstreamState

PENALTY_THRESHOLD_RATIO = 2.0  # of its part of the open attempts; below, keys must stay where they are cached
PENALTY_EXPONENT = 4.0


def penalise_in_flight(upstreams: list[UpstreamState], weights: list[float]) -> None:
    """Reduce, in place, the weights of upstreams over their part of the open attempts."""
    open_attempts = sum([u.open_attempts for u in upstreams])
    mean_by_weight = open_attempts / sum([u.weight for u in upstreams]) + 1.0
    for i, upstream in enumerate(upstreams):
        if upstream.open_attempts:
            excess = upstream.open_attempts / (mean_by_weight * upstream.weight * PENALTY_THRESHOLD_RATIO)
            if excess > 1.0:
                weights[i] *= excess**-PENALTY_EXPONENT


def penalty(upstream: UpstreamState, mean_by_weight: float) -> float:
    """Return the factor, at most 1, for an upstream; ``mean_by_weight`` is the mean of open attempts."""
    excess = upstream.open_attempts / (mean_by_weight * upstream.weight * PENALTY_THRESHOLD_RATIO)
    return excess**-PENALTY_EXPONENT if excess > 1.0 else 1.0
