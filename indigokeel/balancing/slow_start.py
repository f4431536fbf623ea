"""Slow start: how much a warming-up upstream may be sent while its capacity grows. Pure functions.

The limit holds for all sidecars together, and each knows only its own traffic. A limit on the part of its own
requests that each may send to a warming-up upstream adds up to the same limit for all, however many there are
and however unevenly traffic is spread over them.
"""

from __future__ import annotations

import math

from indigokeel.balancing.settings import Safety

WARMING_WEIGHT_RATIO = 0.36  # of the overload multiple, beside upstreams that are warm
MAX_WARMING_WEIGHT_RATIO = 1.5  # of a warm upstream's weight, whatever the overload multiple
OVERLOAD_BUDGET_RATIO = 0.55  # of the estimated amount that overloads an upstream; the rest absorbs bursts
MIN_LOAD_RATIO = 0.05  # of the fleet's capacity; a lower estimated load is not trusted


def warm_up_weight(safety: Safety, started: float, now: float) -> float:
    """Return the part of its full capacity that an upstream is sure to have.

    A start time of 0 means long ago; one in the future counts as now.
    """
    age = max(now - started, 0.0)
    if started == 0.0 or age >= safety.warm_up_time:
        return 1.0
    return safety.warm_up_initial_ratio + (1.0 - safety.warm_up_initial_ratio) * age / safety.warm_up_time


def warming_weight_ratio(safety: Safety, attempts_per_answer: float) -> float:
    """Return the largest weight of a warming-up upstream, relative to a warm one's."""
    return min(
        WARMING_WEIGHT_RATIO * safety.overload_multiple / attempts_per_answer, MAX_WARMING_WEIGHT_RATIO
    )


def warming_traffic_ratio(
    safety: Safety, capacity_ratio: float, load: float | None, attempts_per_answer: float
) -> float:
    """Return the part of a sidecar's own requests that a warming-up upstream may be sent.

    ``capacity_ratio`` is its present capacity relative to that of all used upstreams when warm; ``load`` is
    the utilisation that the requested traffic would cause on these (None: unknown).
    """
    utilisation = OVERLOAD_BUDGET_RATIO if load is None else max(load, MIN_LOAD_RATIO)
    allowed = OVERLOAD_BUDGET_RATIO * safety.overload_multiple * capacity_ratio
    return allowed / (utilisation * attempts_per_answer)


def slot_quota(safety: Safety, capacity: float, share: float) -> int:
    """Return the requests that a sidecar may send to a warming-up upstream in one slot.

    A slot is half of the overload window, so that any window touches three slots. ``capacity`` is the present
    one, in requests a second; ``share`` is the part of the fleet's traffic that passes through this sidecar.
    The square root leaves room for ordinary variance.
    """
    mean = OVERLOAD_BUDGET_RATIO * safety.overload_multiple * capacity * share * safety.overload_window / 2.0
    return int(mean + math.sqrt(mean)) + 1
