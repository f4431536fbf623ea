"""Converts what a balancer has learned to JSON values and back, for the next process of the same sidecar.

Times are those of the monotonic clock, which both processes share. A process of an older version stored Unix
times in seconds; the state snapshot then holds, under ``OFFSET``, the offset to be added to each of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.class_statistics import ClassStatistics
from indigokeel.balancing.statistics import ShrinkageEstimate
from indigokeel.balancing.upstream_state import MIN_AVERAGED_REPORTS, UpstreamState

OFFSET = "clock_offset"  # in seconds

MAX_UPSTREAMS = 300  # of a larger fleet a sidecar uses a subset only, and learns little about each upstream
MAX_KEYS = 200
MAX_RESTORED_REPORTS = 2 * MIN_AVERAGED_REPORTS
MAX_EJECTION_S = 60.0  # stored ejections that exceed this are not trusted
STORED_UPSTREAM_VALUES = 4  # in addition to the start time
MAX_START_DIFFERENCE_S = 0.001  # between the stored and the listed time of the same start

MAX_CLOCK_S = 1e12
MIN_LATENCY_S = 1e-6
MAX_LATENCY_S = 3600.0
MAX_KEY_COUNT = 1e9
MAX_REPORT_FIGURE = 1e6
MAX_LATENCY_SUM = 1e6
MAX_SAMPLES = 1e12
MAX_LOG_CAPACITY = 50.0


class LearnedStateError(ValueError):
    """Stored values that are invalid or out of range."""


@dataclass(frozen=True, slots=True)
class ClassRecord:
    """The usual latency and work estimate of a request class, in seconds."""

    latency_s: float
    hint_s: float

    @staticmethod
    def capture(statistics: ClassStatistics) -> ClassRecord:
        """Return what was learned about a class."""
        return ClassRecord(statistics.usual_latency_s, statistics.usual_hint_s)

    @staticmethod
    def decode(latency: Any, hint: Any) -> ClassRecord:
        """Decode stored values; raises ValueError or TypeError on invalid ones."""
        return ClassRecord(_figure(latency, MIN_LATENCY_S, MAX_LATENCY_S), _figure(hint, 0.0, MAX_LATENCY_S))

    def encode(self) -> list[float]:
        """Return the stored form."""
        return [self.latency_s, self.hint_s]

    def apply(self, statistics: ClassStatistics) -> None:
        """Restore what was learned about a class."""
        statistics.usual_latency_s = self.latency_s
        statistics.usual_hint_s = self.hint_s


@dataclass(frozen=True, slots=True)
class EstimateRecord:
    """A capacity estimate: the number of samples and their mean."""

    count: float
    mean: float

    @staticmethod
    def capture(estimate: ShrinkageEstimate) -> EstimateRecord:
        """Return the state of an estimate."""
        return EstimateRecord(*estimate.state())

    @staticmethod
    def decode(values: Any) -> EstimateRecord:
        """Decode stored values; raises ValueError or TypeError on invalid ones."""
        count, mean = values
        decoded_count = _figure(count, 0.0, MAX_SAMPLES)
        return EstimateRecord(decoded_count, _figure(mean, -MAX_LOG_CAPACITY, MAX_LOG_CAPACITY))

    def encode(self) -> list[float]:
        """Return the stored form."""
        return [self.count, self.mean]

    def apply(self, estimate: ShrinkageEstimate) -> None:
        """Restore an estimate."""
        estimate.restore(self.count, self.mean)


@dataclass(frozen=True, slots=True)
class ReportsRecord:
    """The means of the load reports of an upstream, and their number."""

    rate: float
    utilisation: float
    count: int

    @staticmethod
    def capture(upstream: UpstreamState, now: float) -> ReportsRecord | None:
        """Return the means at clock time ``now``, or None if there are no reports."""
        means = upstream.reports.means(now)
        if means is None:
            return None
        rate, utilisation = means
        return ReportsRecord(rate, utilisation, len(upstream.reports))

    @staticmethod
    def decode(values: Any) -> ReportsRecord:
        """Decode stored values; raises ValueError or TypeError on invalid ones."""
        rate, utilisation, count = (_figure(value, 0.0, MAX_REPORT_FIGURE) for value in values)
        return ReportsRecord(rate, utilisation, int(count))

    def encode(self) -> list[float]:
        """Return the stored form."""
        return [self.rate, self.utilisation, self.count]

    def apply(self, upstream: UpstreamState, now: float) -> None:
        """Restore the reports, as of clock time ``now``."""
        for _ in range(min(self.count, MAX_RESTORED_REPORTS)):
            upstream.reports.add(now, self.rate, self.utilisation)


@dataclass(frozen=True, slots=True)
class LatencyRecord:
    """The decaying sums of the observed latencies of an upstream, valid at one clock time."""

    log_sum: float
    weight: float
    at: float

    @staticmethod
    def capture(upstream: UpstreamState) -> LatencyRecord | None:
        """Return the sums, or None if there are no observations."""
        log_sum, at = upstream.latency_log_sum.state()
        weight, _ = upstream.latency_weight.state()
        return LatencyRecord(log_sum, weight, at) if weight else None

    @staticmethod
    def decode(values: Any, offset: float, now: float) -> LatencyRecord:
        """Decode stored values; raises ValueError or TypeError on invalid ones."""
        log_sum, weight, at = values
        decoded_at = min(_figure(at, 0.0, MAX_CLOCK_S) + offset, now)
        return LatencyRecord(
            _figure(log_sum, -MAX_LATENCY_SUM, MAX_LATENCY_SUM),
            _figure(weight, 0.0, MAX_LATENCY_SUM),
            decoded_at,
        )

    def encode(self) -> list[float]:
        """Return the stored form."""
        return [self.log_sum, self.weight, self.at]

    def apply(self, upstream: UpstreamState) -> None:
        """Restore the sums."""
        upstream.latency_log_sum.restore(self.log_sum, self.at)
        upstream.latency_weight.restore(self.weight, self.at)


@dataclass(frozen=True, slots=True)
class EjectionRecord:
    """The ejection of an upstream: its end, and the duration of the next one."""

    until: float
    next_s: float

    @staticmethod
    def capture(upstream: UpstreamState, now: float) -> EjectionRecord | None:
        """Return the ejection at clock time ``now``, or None if the upstream is not ejected."""
        if upstream.ejected_until <= now:
            return None
        return EjectionRecord(upstream.ejected_until, upstream.ejection_time_s)

    @staticmethod
    def decode(values: Any, offset: float, now: float) -> EjectionRecord:
        """Decode stored values; raises ValueError or TypeError on invalid ones."""
        until, next_s = values
        decoded_until = min(_figure(until, 0.0, MAX_CLOCK_S) + offset, now + MAX_EJECTION_S)
        return EjectionRecord(decoded_until, _figure(next_s, 0.0, MAX_EJECTION_S))

    def encode(self) -> list[float]:
        """Return the stored form."""
        return [self.until, self.next_s]

    def apply(self, upstream: UpstreamState) -> None:
        """Restore the ejection."""
        upstream.ejected_until = self.until
        upstream.ejection_time_s = self.next_s


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """All that is stored about one upstream."""

    started: float
    capacity: EstimateRecord
    reports: ReportsRecord | None
    latency: LatencyRecord | None
    ejection: EjectionRecord | None

    @staticmethod
    def capture(upstream: UpstreamState, now: float) -> UpstreamRecord:
        """Return what is known about an upstream at clock time ``now``."""
        return UpstreamRecord(
            upstream.member.started,
            EstimateRecord.capture(upstream.log_capacity),
            ReportsRecord.capture(upstream, now),
            LatencyRecord.capture(upstream),
            EjectionRecord.capture(upstream, now),
        )

    @staticmethod
    def decode(started: float, values: list[Any], offset: float, now: float) -> UpstreamRecord:
        """Decode the values stored after the start time; raises ValueError or TypeError on invalid ones."""
        capacity, reports, latency, ejection = values
        return UpstreamRecord(
            started,
            EstimateRecord.decode(capacity),
            None if reports is None else ReportsRecord.decode(reports),
            None if latency is None else LatencyRecord.decode(latency, offset, now),
            None if ejection is None else EjectionRecord.decode(ejection, offset, now),
        )

    def encode(self) -> list[Any]:
        """Return the stored form."""
        return [
            self.started,
            self.capacity.encode(),
            self.reports and self.reports.encode(),
            self.latency and self.latency.encode(),
            self.ejection and self.ejection.encode(),
        ]

    def apply(self, upstream: UpstreamState, now: float) -> None:
        """Restore what was known about an upstream."""
        self.capacity.apply(upstream.log_capacity)
        if self.reports is not None:
            self.reports.apply(upstream, now)
        if self.latency is not None:
            self.latency.apply(upstream)
        if self.ejection is not None:
            self.ejection.apply(upstream)
        upstream.invalidate_weight()


def collect(balancer: Balancer, now: float) -> dict[str, Any] | None:
    """Return what is known at clock time ``now``, in its stored form; None if the fleet is too large."""
    figures = balancer.learned_statistics()
    if len(figures.upstreams) > MAX_UPSTREAMS:
        return None
    frequent_keys = sorted(figures.key_counts.state().items(), key=lambda item: -item[1])[:MAX_KEYS]
    return {
        "classes": {name: ClassRecord.capture(known).encode() for name, known in figures.classes.items()},
        "capacity": EstimateRecord.capture(figures.fleet_capacity).encode(),
        "kinds": {
            kind: EstimateRecord.capture(known).encode() for kind, known in figures.kind_capacities.items()
        },
        "nodes": {
            name: UpstreamRecord.capture(known, now).encode() for name, known in figures.upstreams.items()
        },
        "keys": frequent_keys,
    }


def restore(balancer: Balancer, now: float, data: Any) -> None:
    """Restore what another process collected, in a balancer that knows only its endpoint list.

    Raises LearnedStateError on an invalid value. Values restored before it stay restored, which is harmless.
    """
    try:
        _restore(balancer, now, data)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise LearnedStateError(f"{type(error).__name__}: {error}") from None


def _restore(balancer: Balancer, now: float, data: Any) -> None:
    offset = _figure(data.get(OFFSET, 0.0), -MAX_CLOCK_S, MAX_CLOCK_S)
    figures = balancer.learned_statistics()
    for name, (latency, hint) in data["classes"].items():
        if name in figures.classes:
            ClassRecord.decode(latency, hint).apply(figures.classes[name])
    EstimateRecord.decode(data["capacity"]).apply(figures.fleet_capacity)
    for kind, estimate in data["kinds"].items():
        if kind in figures.kind_capacities:
            EstimateRecord.decode(estimate).apply(figures.kind_capacities[kind])
    stored_keys = data["keys"][:MAX_KEYS]
    figures.key_counts.restore({int(key): _figure(count, 0.0, MAX_KEY_COUNT) for key, count in stored_keys})
    for name, (stored_start, *values) in data["nodes"].items():
        _check_length(values)
        upstream = figures.upstreams.get(name)
        if upstream is None:
            continue
        started = _decode_start(stored_start, offset)
        # What was learned about an upstream does not apply after its restart.
        if abs(started - upstream.member.started) <= MAX_START_DIFFERENCE_S:
            UpstreamRecord.decode(started, values, offset, now).apply(upstream, now)


def _check_length(values: list[Any]) -> None:
    if len(values) != STORED_UPSTREAM_VALUES:
        raise LearnedStateError(f"{len(values)} values of an upstream instead of {STORED_UPSTREAM_VALUES}")


def _decode_start(stored: Any, offset: float) -> float:
    """Decode a start time; 0 means long ago."""
    return _figure(stored, 0.0, MAX_CLOCK_S) + offset if stored else stored


def _figure(value: Any, least: float, most: float) -> float:
    """Decode a number within bounds."""
    if isinstance(value, bool) or not least <= float(value) <= most or not math.isfinite(value):
        raise LearnedStateError(f"figure out of range: {value!r}")
    return float(value)
