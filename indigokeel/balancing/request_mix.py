"""The mix of request classes, and which of them go first when requests have to be rejected."""

from __future__ import annotations

from indigokeel.balancing.class_statistics import ARRIVALS_TIME_CONSTANT_S, ClassStatistics
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.statistics import DecayingSum

MAX_REJECTED_RATIO = 0.9  # of a class; the rest shows when the overload is over


class RequestMix:
    """The classes of the settings with the arrivals of each."""

    def __init__(self, settings: Settings) -> None:
        self.statistics: dict[str, ClassStatistics] = {}
        self._arrivals = DecayingSum(ARRIVALS_TIME_CONSTANT_S)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on; classes that stay keep their statistics."""
        self.classes = {cls.name: cls for cls in settings.classes}
        self.statistics = {
            cls.name: self.statistics.get(cls.name) or ClassStatistics(cls) for cls in settings.classes
        }
        self._weight_by_work = settings.weight_by_work

    def record_arrival(self, now: float, statistics: ClassStatistics) -> None:
        """Count a request of a class."""
        self._arrivals.add(now, 1.0)
        statistics.arrivals.add(now, 1.0)

    def apportion(self, now: float, ratio: float) -> list[tuple[ClassStatistics, float]]:
        """Return the part of each class to reject for ``ratio`` of all requests, lowest value first."""
        remaining = ratio * self._arrivals.value(now)
        parts = []
        for statistics in sorted(self.statistics.values(), key=self._value_density):
            count = statistics.arrivals.value(now)
            part = min(remaining / count, MAX_REJECTED_RATIO) if count > 0.0 else 0.0
            remaining -= part * count
            parts.append((statistics, part))
        return parts

    def _value_density(self, statistics: ClassStatistics) -> float:
        """Return the value of a request for each unit of upstream time."""
        priority_weight = self.classes[statistics.name].priority_weight
        return priority_weight if self._weight_by_work else priority_weight / statistics.usual_latency_s
