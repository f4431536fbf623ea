"""The mix of request classes, and the order in which classes are rejected."""

from __future__ import annotations

from indigokeel.balancing.class_statistics import ARRIVAL_COUNT_TIME_CONSTANT_S, ClassStatistics
from indigokeel.balancing.settings import ClassSettings, Settings
from indigokeel.balancing.statistics import DecayingSum

MAX_REJECTED_RATIO = 0.9  # of a class; the admitted rest shows when the overload has ended


class RequestMix:
    """The configured classes and the arrivals of each."""

    def __init__(self, settings: Settings) -> None:
        self.statistics: dict[str, ClassStatistics] = {}
        self._arrivals = DecayingSum(ARRIVAL_COUNT_TIME_CONSTANT_S)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; classes that remain configured keep their statistics."""
        self.classes = {cls.name: cls for cls in settings.classes}
        self.statistics = {
            cls.name: self.statistics.get(cls.name) or ClassStatistics(cls) for cls in settings.classes
        }
        self._weight_by_work = settings.weight_by_work

    def statistics_of(self, class_settings: ClassSettings) -> ClassStatistics:
        """Return the statistics of a class: new ones, which are not kept, if it is no longer configured."""
        return self.statistics.get(class_settings.name) or ClassStatistics(class_settings)

    def record_arrival(self, now: float, statistics: ClassStatistics) -> None:
        """Count a request of a class."""
        self._arrivals.add(now, 1.0)
        statistics.arrivals.add(now, 1.0)

    def rejection_ratios(self, now: float, ratio: float) -> list[tuple[ClassStatistics, float]]:
        """Return the fraction of each class to reject so that ``ratio`` of all requests are.

        Classes of the lowest value are rejected first.
        """
        remaining = ratio * self._arrivals.value(now)
        rejection_ratios = []
        for statistics in sorted(self.statistics.values(), key=self._value_density):
            count = statistics.arrivals.value(now)
            class_ratio = min(remaining / count, MAX_REJECTED_RATIO) if count > 0.0 else 0.0
            remaining -= class_ratio * count
            rejection_ratios.append((statistics, class_ratio))
        return rejection_ratios

    def _value_density(self, statistics: ClassStatistics) -> float:
        """Return the value of a request per unit of upstream time."""
        priority_weight = self.classes[statistics.name].priority_weight
        return priority_weight if self._weight_by_work else priority_weight / statistics.usual_latency_s
