"""What a balancer has learnt, as plain values and back, for the next process of the same sidecar.

Nothing is decided here. Times are those of the monotonic clock, which both processes share, so that they pass
as they are. A process of an older version left Unix seconds: what then has to be added to each stands among
the values, under ``OFFSET``.
"""

from __future__ import annotations

import math
from typing import Any

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.records import AVERAGED_LEAST

_MOST = 300  # upstreams: with more a sidecar uses but a part, and little would be learnt of each
_MOST_KEYS = 200
_REPORTS = 2 * AVERAGED_LEAST  # reports that an average is worth when it is handed on
OFFSET = "clock_offset"  # s
_JAIL = 60.0  # s of ejection that are believed at the most


class LearnedStateError(ValueError):
    """Values that nobody can have learnt."""


def collect(balancer: Balancer, now: float) -> dict[str, Any] | None:
    """What is known at clock time ``now``; None on a fleet too large for it to pay."""
    stats, upstreams, capacity, kinds, keys = balancer.learned_figures()
    if len(upstreams) > _MOST:
        return None
    figures = {}
    for name, upstream in upstreams.items():
        means = upstream.reports.means(now)
        (health, at), (weight, _) = upstream.health_sum.state(), upstream.health_weight.state()
        figures[name] = [
            upstream.member.started,
            upstream.capacity.state(),
            [*means, len(upstream.reports)] if means else None,
            [health, weight, at] if weight else None,
            [upstream.jailed_until, upstream.jail_time] if upstream.jailed_until > now else None,
        ]
    common = sorted(keys.state().items(), key=lambda item: -item[1])[:_MOST_KEYS]
    return {
        "classes": {name: [known.latency, known.hint] for name, known in stats.items()},
        "capacity": capacity.state(),
        "kinds": {kind: known.state() for kind, known in kinds.items()},
        "nodes": figures,
        "keys": common,
    }


def restore(balancer: Balancer, now: float, data: Any) -> None:
    """Teach a balancer, that knows its list and nothing else, what another one collected. Raises LearnedError
    on values that make no sense; what was taken in before that stays, which is harmless.
    """
    try:
        _restore(balancer, now, data)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise LearnedStateError(f"{type(error).__name__}: {error}") from None


def _restore(balancer: Balancer, now: float, data: Any) -> None:
    offset = _figure(data.get(OFFSET, 0.0), -1e12, 1e12)
    stats, upstreams, capacity, kinds, keys = balancer.learned_figures()
    for name, (latency, hint) in data["classes"].items():
        if name in stats:
            stats[name].latency, stats[name].hint = _figure(latency, 1e-6, 3600.0), _figure(hint, 0.0, 3600.0)
    capacity.set(*_estimate(data["capacity"]))
    for kind, state in data["kinds"].items():
        if kind in kinds:
            kinds[kind].set(*_estimate(state))
    keys.set({int(key): _figure(count, 0.0, 1e9) for key, count in data["keys"][:_MOST_KEYS]})
    for name, (started, mean, reports, health, jail) in data["nodes"].items():
        upstream = upstreams.get(name)
        if upstream is None:
            continue
        before = started and _figure(started, 0.0, 1e12) + offset
        if abs(before - upstream.member.started) > 0.001:
            continue  # it has started since: all that was known of it is void
        upstream.capacity.set(*_estimate(mean))
        if reports is not None:
            rate, utilisation, count = (_figure(value, 0.0, 1e6) for value in reports)
            for _ in range(min(int(count), _REPORTS)):
                upstream.reports.add(now, rate, utilisation)
        if health is not None:
            total, weight, at = health
            at = min(_figure(at, 0.0, 1e12) + offset, now)
            upstream.health_sum.set(_figure(total, -1e6, 1e6), at)
            upstream.health_weight.set(_figure(weight, 0.0, 1e6), at)
        if jail is not None:
            until, time = jail
            upstream.jailed_until = min(_figure(until, 0.0, 1e12) + offset, now + _JAIL)
            upstream.jail_time = _figure(time, 0.0, _JAIL)
        upstream.changed()


def _figure(value: Any, least: float, most: float) -> float:
    """A number within bounds."""
    if isinstance(value, bool) or not least <= float(value) <= most or not math.isfinite(value):
        raise LearnedStateError(f"a figure out of range: {value!r}")
    return float(value)


def _estimate(state: Any) -> tuple[float, float]:
    count, mean = state
    return _figure(count, 0.0, 1e12), _figure(mean, -50.0, 50.0)
