"""Slow start: how much a cold upstream may be given while its capacity grows after a start. Pure functions.

The rule binds all sidecars together, and each knows its own traffic alone. A limit on the part of its own
requests that each may send to a cold upstream adds up to the same limit for all, however many there are and
however unevenly traffic is spread over them.
"""

from __future__ import annotations

import math

from indigokeel.balancing.settings import Safety

COLD_CAP = 0.36  # of tip_multiple beside warm upstreams: the rest is for chance, bursts and stale estimates
COLD_SLICE_MOST = 1.5  # of an even slice, by its ramp, whatever the multiple
BUDGET_PART = 0.55  # of what would push a cold upstream over, once estimated; the rest is for chance
LOAD_LEAST = 0.05  # of the capacity of the upstreams, the least load that an estimate is believed at


def ramp(safety: Safety, started: float, now: float) -> float:
    """The part of its capacity that an upstream is sure to have; a start in the future is one just now."""
    age = max(now - started, 0.0)
    if started == 0.0 or age >= safety.warm_up_time:
        return 1.0
    return safety.warm_up_initial_ratio + (1.0 - safety.warm_up_initial_ratio) * age / safety.warm_up_time


def slice_part(safety: Safety, surplus: float) -> float:
    """What a cold one may have by its ramp of a warm one's slice; ``surplus``: attempts for each answer."""
    return min(COLD_CAP * safety.overload_multiple / surplus, COLD_SLICE_MOST)


def traffic_part(safety: Safety, capacity: float, load: float | None, surplus: float) -> float:
    """The part of a sidecar's own requests that a cold upstream may be given. ``capacity`` is its present
    one, as a part of that of all upstreams in use once warm; ``load`` is how busy what is asked for would
    keep these then (None: not told, and taken as BUDGET_PART). ``surplus`` as above.
    """
    busy = BUDGET_PART if load is None else max(load, LOAD_LEAST)
    return BUDGET_PART * safety.overload_multiple * capacity / (busy * surplus)


def slot_quota(safety: Safety, capacity: float, share: float) -> int:
    """Requests that a sidecar may send to a cold upstream in half of the rule's time, of which a span of the
    rule's length touches three. ``capacity`` is the present one, in requests a second; ``share`` is the part
    of the fleet's traffic that passes through the sidecar. The root leaves room for ordinary chance.
    """
    mean = BUDGET_PART * safety.overload_multiple * capacity * share * safety.overload_window / 2.0
    return int(mean + math.sqrt(mean)) + 1
