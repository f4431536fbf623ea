"""When discovery is asked for changes of the endpoint list."""

from __future__ import annotations

from random import Random

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import WatchEndpoints
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.timers import Timers

DELAY_AFTER_SUCCESS_S = 0.1  # until the next call after one that returned a list; with jitter
INITIAL_RETRY_DELAY_S = 0.5  # after a failed call, doubled with each further failure; with jitter
MAX_RETRY_DELAY_RATIO = 0.4  # of the time within which discovery must be asked
MAX_RETRY_DELAY_S = 2.9  # so that a change is known within 6 s after discovery recovers
MIN_JITTER = 0.5  # of the delay


class EndpointRefresh:
    """Asks discovery at the start, and again with a growing delay after failed calls."""

    def __init__(self, settings: Settings, timers: Timers, random: Random, sink: ActionSink) -> None:
        self._timers = timers
        self._random = random
        self._sink = sink
        self._has_asked = False
        self._delay_s = INITIAL_RETRY_DELAY_S
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._is_enabled = settings.polls_membership
        self._max_delay_s = min(MAX_RETRY_DELAY_RATIO * settings.safety.poll_within, MAX_RETRY_DELAY_S)

    def reset_delay(self) -> None:
        """Note that a call of discovery succeeded."""
        self._delay_s = DELAY_AFTER_SUCCESS_S

    def start(self) -> None:
        """Ask discovery for the first time; later calls of this method do nothing."""
        if self._is_enabled and not self._has_asked:
            self._has_asked = True
            self._sink.add(WatchEndpoints())

    def schedule_retry(self) -> None:
        """Have discovery asked again after a failed call."""
        if not self._is_enabled:
            return
        delay_s = self._delay_s * self._random.uniform(MIN_JITTER, 1.0)
        self._delay_s = min(max(self._delay_s * 2.0, INITIAL_RETRY_DELAY_S), self._max_delay_s)
        self._timers.start(delay_s, lambda _: self._sink.add(WatchEndpoints()))
