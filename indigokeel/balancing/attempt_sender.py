"""Sends attempts, with their timeouts."""

from __future__ import annotations

from collections.abc import Callable

from indigokeel.balancing import retry_policy
from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import SendAttempt
from indigokeel.balancing.idle_connections import IdleConnections
from indigokeel.balancing.request_state import AttemptState, RequestState
from indigokeel.balancing.retry_policy import RULE_MARGIN_S
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.timers import Timers
from indigokeel.balancing.traffic_statistics import TrafficStatistics
from indigokeel.balancing.upstream_state import UpstreamState

OverdueCallback = Callable[[float, RequestState, AttemptState], None]


class AttemptSender:
    """Orders attempts and watches for overdue ones."""

    def __init__(
        self,
        settings: Settings,
        traffic: TrafficStatistics,
        idle_connections: IdleConnections,
        timers: Timers,
        sink: ActionSink,
    ) -> None:
        self._traffic = traffic
        self._idle_connections = idle_connections
        self._timers = timers
        self._sink = sink
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._hedges = settings.limits.hedging

    def send(
        self, now: float, request: RequestState, upstream: UpstreamState, on_overdue: OverdueCallback
    ) -> AttemptState:
        """Send an attempt; ``on_overdue`` is called, possibly after its end, when it takes too long."""
        expected_s = request.class_statistics.expected_latency_s(request.hint_s)
        attempt = AttemptState(upstream, now, expected_s)
        request.attempts.append(attempt)
        upstream.add_open_attempts(1)
        self._traffic.record_attempt()
        self._idle_connections.mark_used(upstream)
        timeout_s = self._watch(now, request, attempt, on_overdue)
        self._sink.add(SendAttempt(request.id, upstream.member.id, timeout_s))
        return attempt

    def _watch(
        self, now: float, request: RequestState, attempt: AttemptState, on_overdue: OverdueCallback
    ) -> float:
        """Start the timer of an overdue attempt where it is of use, and return the attempt's timeout."""
        useful_s = request.latest_useful_at - now
        timeout_s = 0.0
        if request.latest_useful_at < request.deadline:
            # A response after the objective has no value; ending the attempt frees the upstream for
            # requests that can still meet theirs.
            timeout_s = max(useful_s, RULE_MARGIN_S)
        overdue_s = retry_policy.overdue_after_s(now, request, attempt.expected_s)
        if overdue_s < useful_s:
            if not self._hedges and retry_policy.may_repeat(now + overdue_s, request):
                return overdue_s
            self._timers.start(overdue_s, lambda fired_at: on_overdue(fired_at, request, attempt))
        return timeout_s
