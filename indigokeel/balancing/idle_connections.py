"""Closes idle connections, because a full connection table costs an upstream capacity."""

from __future__ import annotations

from collections import OrderedDict

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import CloseIdleConnections
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.upstream_state import UpstreamState

MAX_IDLE_UPSTREAMS = 64  # upstreams without open attempts whose connections are kept open
MAX_IDLE_UPSTREAMS_PRICED = 1  # the same limit where open connections have a price


class IdleConnections:
    """The upstreams with idle connections, least recently used first."""

    def __init__(self, settings: Settings, sink: ActionSink) -> None:
        self._sink = sink
        self._idle: OrderedDict[str, None] = OrderedDict()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        has_price = settings.prices.connection > 0.0
        self._max_upstreams = MAX_IDLE_UPSTREAMS_PRICED if has_price else MAX_IDLE_UPSTREAMS

    def mark_used(self, upstream: UpstreamState) -> None:
        """Record that an attempt is sent to an upstream."""
        self._idle.pop(upstream.member.id, None)

    def attempt_ended(self, upstream: UpstreamState) -> None:
        """Record the end of an attempt, and close the connections idle for longest if too many are idle."""
        if upstream.open_attempts == 0:
            self._idle[upstream.member.id] = None
            self._idle.move_to_end(upstream.member.id)
            if len(self._idle) > self._max_upstreams:
                self._sink.add(CloseIdleConnections(self._idle.popitem(last=False)[0]))
