"""Early admission control: reject requests before any work is done while the sidecar is overloaded."""

from __future__ import annotations

from random import Random

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import LogMessage
from indigokeel.balancing.events import LAG_SAMPLE_INTERVAL_S
from indigokeel.balancing.request_mix import MAX_REJECTED_RATIO, RequestMix
from indigokeel.balancing.retry_after import retry_after_s
from indigokeel.balancing.settings import Settings

LAG_SMOOTHING = 0.25  # weight of the newest sample in the smoothed lag
MAX_LAG_RATIO = 0.5  # multiple of the shortest latency objective; with more lag the sidecar is overloaded
ADMITTED_DECREASE = 0.85  # factor of the admitted ratio with each late sample while overloaded
ADMITTED_INCREASE = 0.015  # added to the admitted ratio with each other sample, scaled by the headroom
MAX_MISSED_SAMPLES = 4.0  # limit of the number of samples that one late sample counts as
LAGS_PER_REQUEST = 2.0  # a request waits for the sidecar for this multiple of the event loop lag


class EarlyAdmissionControl:
    """Adapts the fraction of admitted requests to the lag of the sidecar's event loop."""

    def __init__(self, settings: Settings, mix: RequestMix, random: Random, sink: ActionSink) -> None:
        self._mix = mix
        self._random = random
        self._sink = sink
        self._smoothed_lag_s = 0.0
        self._last_sample_was_late = False
        self._admitted_ratio = 1.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._max_lag_s = MAX_LAG_RATIO * min(cls.latency_objective for cls in settings.classes)
        self._retry_after_s = retry_after_s(settings.limits)

    def loop_lag_s(self) -> float:
        """Return the smoothed lag of the event loop."""
        return self._smoothed_lag_s

    def is_overloaded(self) -> bool:
        """Return whether any request may be rejected early."""
        return self._admitted_ratio < 1.0 or self._smoothed_lag_s > self._max_lag_s

    def record_lag(self, now: float, lag_s: float) -> None:
        """Record a lag sample and adapt the admitted ratio."""
        previous_was_late = self._last_sample_was_late
        is_late = lag_s > self._max_lag_s
        self._last_sample_was_late = is_late
        samples = 1.0
        if previous_was_late and is_late:
            # A second late sample in a row also counts for the samples missed before it; a single one, as
            # after a pause, does not.
            samples = min(max(lag_s / LAG_SAMPLE_INTERVAL_S, 1.0), MAX_MISSED_SAMPLES)
        self._smoothed_lag_s += (1.0 - (1.0 - LAG_SMOOTHING) ** samples) * (lag_s - self._smoothed_lag_s)
        was_rejecting = self._admitted_ratio < 1.0
        self._update_admitted_ratio(samples, is_late)
        is_rejecting = self._admitted_ratio < 1.0
        if was_rejecting or is_rejecting:
            for statistics, ratio in self._mix.rejection_ratios(now, 1.0 - self._admitted_ratio):
                statistics.early_rejection_ratio = ratio
        if was_rejecting != is_rejecting:
            self._log_change(is_rejecting)

    def _update_admitted_ratio(self, samples: float, is_late: bool) -> None:
        if self._smoothed_lag_s > self._max_lag_s:
            if is_late:
                decreased = self._admitted_ratio * ADMITTED_DECREASE**samples
                self._admitted_ratio = max(decreased, 1.0 - MAX_REJECTED_RATIO)
        elif self._admitted_ratio < 1.0:
            headroom = 1.0 - self._smoothed_lag_s / self._max_lag_s
            self._admitted_ratio = min(self._admitted_ratio + ADMITTED_INCREASE * headroom, 1.0)

    def _log_change(self, is_rejecting: bool) -> None:
        if is_rejecting:
            text = "sidecar overloaded: rejecting some requests early"
        else:
            text = "sidecar no longer overloaded"
        self._sink.add(LogMessage(text))

    def rejection_delay_s(self, now: float, class_name: str, budget_s: float) -> float | None:
        """Return None to admit a request, or the retry delay in seconds to advise if it is rejected.

        A request is rejected if its budget is too short for the current lag, or at random, with a higher
        probability for classes of less value.
        """
        statistics = self._mix.statistics.get(class_name)
        if statistics is None or not self.is_overloaded():
            return None
        expected_s = LAGS_PER_REQUEST * self._smoothed_lag_s + statistics.usual_latency_s
        if expected_s <= budget_s and self._random.random() >= statistics.early_rejection_ratio:
            return None
        self._mix.record_arrival(now, statistics)
        return self._retry_after_s
