"""Slow start: how many requests a warming-up upstream may receive while its capacity grows.

The limit applies to all sidecars together, but each knows only its own traffic. Each sidecar therefore limits
the share of its own requests that it sends to a warming-up upstream. This adds up to the same limit for the
fleet, however many sidecars there are and however unevenly the traffic is spread over them.

All functions are pure.
"""

from __future__ import annotations

import math

from indigokeel.balancing.settings import Safety

# The largest weight of a warming-up upstream relative to that of a warm one, per unit of overload multiple.
WARMING_WEIGHT_RATIO = 0.36
MAX_WARMING_WEIGHT_RATIO = 1.5  # upper bound of the same, whatever the overload multiple
# Share of the estimated overload threshold of an upstream that is used; the rest absorbs bursts.
OVERLOAD_BUDGET_RATIO = 0.55
MIN_LOAD_RATIO = 0.05  # of the fleet's capacity; a lower load estimate is unreliable


def warm_up_weight(safety: Safety, started: float, now: float) -> float:
    """Return the share of its full capacity that an upstream is guaranteed to have.

    A start time of 0 means that it started long ago; one in the future counts as now.
    """
    age = max(now - started, 0.0)
    if started == 0.0 or age >= safety.warm_up_time:
        return 1.0
    return safety.warm_up_initial_ratio + (1.0 - safety.warm_up_initial_ratio) * age / safety.warm_up_time


def warming_weight_ratio(safety: Safety, attempts_per_answer: float) -> float:
    """Return the largest weight of a warming-up upstream, relative to that of a warm one."""
    return min(
        WARMING_WEIGHT_RATIO * safety.overload_multiple / attempts_per_answer, MAX_WARMING_WEIGHT_RATIO
    )


def warming_traffic_ratio(
    safety: Safety, capacity_ratio: float, load: float | None, attempts_per_answer: float
) -> float:
    """Return the share of a sidecar's own requests that a warming-up upstream may receive.

    ``capacity_ratio`` is its current capacity relative to that of all used upstreams when warm; ``load`` is
    the utilisation that the requested traffic would cause on those (None: unknown).
    """
    utilisation = OVERLOAD_BUDGET_RATIO if load is None else max(load, MIN_LOAD_RATIO)
    allowed = OVERLOAD_BUDGET_RATIO * safety.overload_multiple * capacity_ratio
    return allowed / (utilisation * attempts_per_answer)


def slot_quota(safety: Safety, capacity: float, share: float) -> int:
    """Return the number of requests that a sidecar may send to a warming-up upstream in one slot.

    A slot lasts half of the overload window, so any window overlaps at most three slots. ``capacity`` is the
    current capacity in requests per second; ``share`` is the part of the fleet's traffic that passes through
    this sidecar. The square root leaves room for the usual variance of the request count.
    """
    mean = OVERLOAD_BUDGET_RATIO * safety.overload_multiple * capacity * share * safety.overload_window / 2.0
    return int(mean + math.sqrt(mean)) + 1
