"""Which idle connections are closed: a full connection table takes capacity from an upstream."""

from __future__ import annotations

from collections import OrderedDict

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import CloseIdleConnections
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.upstream_state import UpstreamState

MAX_IDLE_UPSTREAMS = 64  # without open attempts, that connections are kept to
MAX_IDLE_UPSTREAMS_PRICED = 1  # ... where open connections have a price


class IdleConnections:
    """The upstreams with idle connections, least recently used first."""

    def __init__(self, settings: Settings, sink: ActionSink) -> None:
        self._sink = sink
        self._idle: OrderedDict[str, None] = OrderedDict()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        has_price = settings.prices.connection > 0.0
        self._max_upstreams = MAX_IDLE_UPSTREAMS_PRICED if has_price else MAX_IDLE_UPSTREAMS

    def mark_used(self, upstream: UpstreamState) -> None:
        """Note that an attempt is sent to an upstream."""
        self._idle.pop(upstream.member.id, None)

    def attempt_ended(self, upstream: UpstreamState) -> None:
        """Note that an attempt ended, and close the connections that have been idle longest if too many."""
        if upstream.open_attempts == 0:
            self._idle[upstream.member.id] = None
            self._idle.move_to_end(upstream.member.id)
            if len(self._idle) > self._max_upstreams:
                self._sink.add(CloseIdleConnections(self._idle.popitem(last=False)[0]))
