"""Sends attempts and sets the timers for those that take too long."""

from __future__ import annotations

import math
from collections.abc import Callable

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import SendAttempt
from indigokeel.balancing.attempt_results import AttemptResults
from indigokeel.balancing.attempt_timeouts import AttemptTimeouts
from indigokeel.balancing.idle_connections import IdleConnections
from indigokeel.balancing.request_state import AttemptState, RequestState
from indigokeel.balancing.timers import Timers
from indigokeel.balancing.traffic_statistics import TrafficStatistics
from indigokeel.balancing.upstream_state import UpstreamState

OverdueCallback = Callable[[float, RequestState, AttemptState], None]


class AttemptSender:
    """Sends attempts and detects those that are overdue or miss the latency objective."""

    def __init__(
        self,
        timeouts: AttemptTimeouts,
        results: AttemptResults,
        traffic: TrafficStatistics,
        idle_connections: IdleConnections,
        timers: Timers,
        sink: ActionSink,
    ) -> None:
        self._timeouts = timeouts
        self._results = results
        self._traffic = traffic
        self._idle_connections = idle_connections
        self._timers = timers
        self._sink = sink

    def send(
        self, now: float, request: RequestState, upstream: UpstreamState, on_overdue: OverdueCallback
    ) -> AttemptState:
        """Send an attempt, and have ``on_overdue`` called once it would be overdue, even if it has ended."""
        expected_s = request.class_statistics.expected_latency_s(request.hint_s)
        attempt = AttemptState(upstream, now, expected_s)
        request.attempts.append(attempt)
        request.class_statistics.consecutive_rejections = 0
        upstream.add_open_attempts(1)
        self._traffic.record_attempt()
        self._idle_connections.mark_used(upstream)
        times = self._timeouts.times(now, request, expected_s)
        if times.overdue_s < math.inf:
            self._timers.start(times.overdue_s, lambda fired_at: on_overdue(fired_at, request, attempt))
        if times.objective_s < math.inf:
            self._timers.start(
                times.objective_s, lambda fired_at: self._check_objective(fired_at, request, attempt)
            )
        self._sink.add(SendAttempt(request.id, upstream.member.id, times.timeout_s))
        return attempt

    def _check_objective(self, now: float, request: RequestState, attempt: AttemptState) -> None:
        if attempt.open and not attempt.cancelled and not request.response_started:
            self._results.record_missed_objective(now, attempt)
