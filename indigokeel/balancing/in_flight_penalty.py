"""A penalty on upstreams with far more than their share of this sidecar's open attempts.

Load reports are delayed and averaged: until they show a queue, the upstream would keep being chosen, and its
queue would grow.
"""

from __future__ import annotations

from indigokeel.balancing.upstream_state import UpstreamState

# The penalty applies above this multiple of an upstream's share of the open attempts. Below it, keys must
# stay on the upstreams that have them cached.
PENALTY_THRESHOLD_RATIO = 2.0
PENALTY_EXPONENT = 4.0


def penalise_in_flight(upstreams: list[UpstreamState], weights: list[float]) -> None:
    """Reduce, in place, the weights of upstreams that exceed their share of the open attempts."""
    open_attempts = sum([u.open_attempts for u in upstreams])
    mean_by_weight = open_attempts / sum([u.weight for u in upstreams]) + 1.0
    for i, upstream in enumerate(upstreams):
        if upstream.open_attempts:
            excess = upstream.open_attempts / (mean_by_weight * upstream.weight * PENALTY_THRESHOLD_RATIO)
            if excess > 1.0:
                weights[i] *= excess**-PENALTY_EXPONENT


def penalty(upstream: UpstreamState, mean_by_weight: float) -> float:
    """Return the weight factor of an upstream, at most 1.

    ``mean_by_weight`` is the mean number of open attempts per unit of weight.
    """
    excess = upstream.open_attempts / (mean_by_weight * upstream.weight * PENALTY_THRESHOLD_RATIO)
    return excess**-PENALTY_EXPONENT if excess > 1.0 else 1.0
