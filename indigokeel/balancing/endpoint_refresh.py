"""Schedules the calls to discovery for changes of the endpoint list."""

from __future__ import annotations

from random import Random

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import WatchEndpoints
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.timers import Timers

DELAY_AFTER_SUCCESS_S = 0.1  # before the next call after one that returned a list; jitter shortens it
INITIAL_RETRY_DELAY_S = 0.5  # after a failed call; doubled with each further failure; jitter shortens it
MAX_RETRY_DELAY_RATIO = 0.4  # of the time within which discovery must be called
MAX_RETRY_DELAY_S = 2.9  # ensures that a change is known within 6 s after discovery recovers
MIN_JITTER = 0.5  # least random factor of the delay


class EndpointRefresh:
    """Calls discovery at the start, and again with exponential backoff after failed calls."""

    def __init__(self, settings: Settings, timers: Timers, random: Random, sink: ActionSink) -> None:
        self._timers = timers
        self._random = random
        self._sink = sink
        self._has_started = False
        self._delay_s = INITIAL_RETRY_DELAY_S
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._is_enabled = settings.polls_membership
        self._max_delay_s = min(MAX_RETRY_DELAY_RATIO * settings.safety.poll_within, MAX_RETRY_DELAY_S)

    def reset_delay(self) -> None:
        """Reset the delay after a successful call."""
        self._delay_s = DELAY_AFTER_SUCCESS_S

    def start(self) -> None:
        """Make the first call to discovery; this method has no effect when called again."""
        if self._is_enabled and not self._has_started:
            self._has_started = True
            self._sink.add(WatchEndpoints())

    def schedule_retry(self) -> None:
        """Schedule another call to discovery after a failed one."""
        if not self._is_enabled:
            return
        delay_s = self._delay_s * self._random.uniform(MIN_JITTER, 1.0)
        self._delay_s = min(max(self._delay_s * 2.0, INITIAL_RETRY_DELAY_S), self._max_delay_s)
        self._timers.start(delay_s, lambda _: self._sink.add(WatchEndpoints()))
