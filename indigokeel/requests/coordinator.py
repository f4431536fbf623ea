"""The request coordinator: gives each request one final answer and each attempt one outcome.

Network code passes in requests, attempt outcomes, endpoint lists and the time, and carries out the effects
that are returned; the events and actions of the balancer are internal to this package. The coordinator does
no I/O and takes the clock as an argument, so that it works with any protocol.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    LAG_SAMPLE_INTERVAL_S,
    AttemptOutcome,
    ClientDisconnected,
    HealthCheckEnded,
    LagSampled,
    LoadReport,
    MembershipUpdate,
    RequestArrived,
    UpdateKind,
)
from indigokeel.balancing.settings import Settings
from indigokeel.endpoints.cordons import CordonRecord, Cordons
from indigokeel.endpoints.directory import DirectoryChange, EndpointDirectory
from indigokeel.endpoints.endpoint_list import Address, Endpoint, EndpointList
from indigokeel.endpoints.start_times import StartsSnapshot
from indigokeel.hot_restart import learned_state
from indigokeel.requests import repeat_scope
from indigokeel.requests.balancer_driver import BalancerDriver
from indigokeel.requests.effects import Attempt, Effects, Request
from indigokeel.requests.open_requests import OpenRequests
from indigokeel.requests.timer_queue import TimerQueue


class RequestCoordinator:
    """Handles each request of one sidecar from its arrival to its one final answer."""

    def __init__(self, settings: Settings, seed: int, unix_to_clock: float) -> None:
        """Create a coordinator; ``unix_to_clock`` is added to a Unix time to get the clock time."""
        self.unix_to_clock = unix_to_clock
        self._balancer = Balancer(settings, seed)
        self._directory = EndpointDirectory(unix_to_clock, settings.safety.poll_within)
        self._timers = TimerQueue()
        self._requests = OpenRequests(settings, self._timers)
        self._driver = BalancerDriver(self._balancer, self._requests, self._directory, self._timers)
        self._timer_faults = 0
        self._lag_s = 0.0
        self._lag_sampled_at = math.inf
        self.ticks_cut_short = 0  # number of calls of ``tick`` that left a due timer for the next call

    @property
    def cordons(self) -> Cordons:
        """The cordons set by operators."""
        return self._directory.cordons

    @property
    def unanswered(self) -> int:
        """The number of requests that have no final answer yet."""
        return self._requests.unanswered

    @property
    def faults(self) -> int:
        """The number of exceptions raised by the balancer and by timer callbacks."""
        return self._driver.faults + self._timer_faults

    def next_deadline(self) -> float:
        """Return the clock time at which ``tick`` is due, or infinity if no timer is set."""
        return self._timers.next_deadline()

    def has_upstreams(self) -> bool:
        """Return True if any upstream accepts requests."""
        return self._directory.has_upstreams()

    def is_open(self, request_id: str) -> bool:
        """Return True if the request with this id has no answer yet or has an attempt in flight."""
        return request_id in self._requests

    def may_have_run(self, now: float, request_id: str) -> bool:
        """Return True if a request with this id has ended that may have run and must not run twice."""
        return self._requests.may_have_run(now, request_id)

    def address(self, upstream: str) -> Address | None:
        """Return the address of an upstream, or None if it accepts no new requests."""
        return self._directory.address(upstream)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoint list as received from discovery."""
        return self._directory.endpoints()

    def is_overloaded(self) -> bool:
        """Return True if the event loop lags so much that ``shed_early`` may reject requests."""
        return self._balancer.is_overloaded()

    def shed_early(self, now: float, class_name: str, budget: float) -> float | None:
        """Decide whether to reject a request before it is parsed.

        Return None to accept it, or the seconds after which the rejected client may retry.
        """
        return self._balancer.shed_early(now, class_name, budget)

    def pick(self, now: float, request: Request) -> Effects:
        """Accept a request and choose an upstream for it; raise ValueError if its id is in use."""
        effects = Effects()
        if self._requests.is_full():
            effects.answers.append(self._requests.reject_for_capacity(request))
            return effects
        open_request = self._requests.open(now, request)
        self._driver.schedule_expiry(open_request)
        event = RequestArrived(
            request.id,
            request.class_name,
            request.budget,
            request.tenant,
            request.key,
            request.hint,
            request.settings,
        )
        self._driver.deliver(now, event, effects, open_request)
        return effects

    def request_body_sent(self, request_id: str, sent_at: float | None) -> None:
        """Start the time limit of a request at ``sent_at``, or suspend it.

        That is the earliest time at which the client may have sent the last byte of the streamed body, which
        may still be waiting unread; None if it has certainly not sent that byte yet.
        """
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return
        if sent_at is None:
            request.suspend_time_limit()
            return
        request.start_time_limit(sent_at)
        self._driver.schedule_expiry(request)

    def client_disconnected(self, now: float, request_id: str) -> Effects:
        """End a request whose client has disconnected; it needs no answer any more."""
        effects = Effects()
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return effects
        self._requests.mark_answered(request)
        self._driver.deliver(now, ClientDisconnected(request_id), effects, request)
        for number, attempt in enumerate(request.attempts):
            if request.body_streamed:
                self._driver.time_out_attempt(now, request, number, effects)
            elif not attempt.sent and not attempt.ended:
                effects.cancelled_attempts.append((request.id, number))
                self._driver.end_attempt(now, request, number, AttemptOutcome.NOT_SENT, effects)
        return effects

    def limit_deadlines(self, answer_by: float) -> None:
        """Answer all requests, open and later ones, by ``answer_by``, as the process shuts down.

        Time limits that end earlier stay in force, and so do those that start later.
        """
        for request in self._requests.limit_to_shutdown(answer_by):
            self._driver.schedule_expiry(request)

    def may_send_attempt(self, now: float, attempt: Attempt) -> bool:
        """Decide whether an attempt may still be sent; called right before its first byte is written.

        While its connection was being opened, the upstream may have started to drain, the request may have
        been answered, or the time in which a keyed request may be retried may have passed.
        """
        request = self._requests.get(attempt.request_id)
        if request is None or request.answered or self.address(attempt.upstream) is None:
            return False
        open_attempt = request.attempts[attempt.number]
        if open_attempt.ended or now >= open_attempt.send_before:
            return False
        if not repeat_scope.allows_attempt(request, attempt.number, self._directory):
            return False
        open_attempt.sent = True
        self._requests.record_sent(now, request)
        return True

    def report(
        self, now: float, attempt: Attempt, outcome: AttemptOutcome, load: LoadReport | None = None
    ) -> Effects:
        """Record the outcome of an attempt; a second outcome of the same attempt is ignored."""
        effects = Effects()
        request = self._requests.get(attempt.request_id)
        if request is not None and request.open_attempt(attempt.number) is not None:
            self._driver.end_attempt(now, request, attempt.number, outcome, effects, load)
        return effects

    def health_check_ended(
        self,
        now: float,
        upstream: str,
        outcome: AttemptOutcome,
        elapsed: float,
        load: LoadReport | None = None,
    ) -> Effects:
        """Pass the outcome of a health check, which took ``elapsed`` seconds, to the balancer."""
        effects = Effects()
        self._driver.deliver(now, HealthCheckEnded(upstream, outcome, elapsed, load), effects)
        return effects

    def sample_lag(self, now: float, seconds: float) -> Effects:
        """Record a lag sample of the event loop; called every ``LAG_SAMPLE_INTERVAL_S``."""
        self._lag_s = seconds
        self._lag_sampled_at = now
        effects = Effects()
        self._driver.deliver(now, LagSampled(seconds), effects)
        return effects

    def loop_lag_s(self, now: float) -> float:
        """Return the event loop lag: the latest sample, or the delay of the next one if that is longer."""
        return max(self._lag_s, now - self._lag_sampled_at - LAG_SAMPLE_INTERVAL_S)

    def tick(self, now: float) -> Effects:
        """Run the timers that are due; one that a callback sets for ``now`` is left for the next call."""
        effects = Effects()
        for timer in self._timers.pop_due(now):
            if timer.is_dropped():
                continue
            try:
                timer.callback(now, effects)
            except Exception as error:  # affects this timer alone; the effects of the others are kept
                self._timer_faults += 1
                effects.log_messages.append(f"fault in a timer: {type(error).__name__}: {error}")
        if self._timers.next_deadline() <= now:
            self.ticks_cut_short += 1
        return effects

    def apply_settings(self, settings: Settings) -> None:
        """Apply all new settings; raise ValueError and change nothing if they are invalid.

        Open requests keep the class settings and the limit on attempts that were in force on their arrival.
        """
        self._balancer.apply_settings(settings)
        self._requests.apply_settings(settings)
        self._directory.start_times.list_age = settings.safety.poll_within

    def update_endpoints(self, now: float, update: EndpointList, cached: bool = False) -> Effects:
        """Apply a full or partial endpoint list; ``cached`` if it was not just received from discovery."""
        effects = Effects()
        self._apply_change(now, self._directory.apply_update(now, update, cached), effects)
        return effects

    def endpoint_watch_failed(self, now: float) -> Effects:
        """Record that a call to discovery has failed or that a watch has ended."""
        self._directory.start_times.record_discovery_lost(now)
        effects = Effects()
        self._driver.deliver(now, MembershipUpdate(UpdateKind.FAILED), effects)
        return effects

    def cordon(self, now: float, upstream: str) -> Effects | None:
        """Cordon an upstream until ``uncordon``, whatever discovery reports; return None if it is unknown."""
        return self._apply_cordons(now, self._directory.cordon(now, upstream))

    def uncordon(self, now: float, upstream: str) -> Effects | None:
        """Uncordon an upstream, which then warms up; return None if it is unknown."""
        return self._apply_cordons(now, self._directory.uncordon(now, upstream))

    def merge_cordons(self, now: float, records: Iterable[CordonRecord]) -> Effects:
        """Apply the cordon records written by another process of this sidecar."""
        return self._apply_cordon_changes(now, self._directory.merge_cordons(records))

    def export_learned_state(self, now: float) -> dict[str, Any] | None:
        """Return the balancer's learned state, or None if it is not worth passing on."""
        return learned_state.collect(self._balancer, now)

    def restore_learned_state(self, now: float, data: Any) -> Effects:
        """Restore the learned state of another process.

        Call it after the first endpoint list and before the first request.
        """
        effects = Effects()
        try:
            learned_state.restore(self._balancer, now, data)
        except learned_state.LearnedStateError as error:
            effects.log_messages.append(f"learned state of the previous process ignored: {error}")
        return effects

    def export_start_times(self, now: float) -> StartsSnapshot | None:
        """Return the start times of the listed upstreams."""
        return self._directory.snapshot_start_times(now)

    def restore_start_times(self, snapshot: StartsSnapshot) -> None:
        """Restore the start times recorded by another process since the same boot of the host.

        Call it before the first endpoint list.
        """
        self._directory.start_times.inherit(snapshot)

    def _apply_change(self, now: float, change: DirectoryChange, effects: Effects) -> None:
        effects.drain_connections += change.stale_upstreams
        effects.preconnect += change.new_upstreams
        self._driver.deliver(now, change.membership, effects)

    def _apply_cordons(self, now: float, changed: list[str] | None) -> Effects | None:
        """Apply the cordons of the upstreams in ``changed``; None, for an unknown upstream, is returned."""
        return None if changed is None else self._apply_cordon_changes(now, changed)

    def _apply_cordon_changes(self, now: float, changed: list[str]) -> Effects:
        effects = Effects()
        if changed:
            self._apply_change(now, self._directory.apply_cordons(now, changed), effects)
            self._schedule_cordon_expiry(now)
        return effects

    def _schedule_cordon_expiry(self, now: float) -> None:
        expires_at = self._directory.next_cordon_expiry(now)
        if expires_at < math.inf:
            self._timers.schedule(expires_at, self._expire_cordon)

    def _expire_cordon(self, now: float, effects: Effects) -> None:
        self._apply_change(now, self._directory.apply_all_cordons(now), effects)
        self._schedule_cordon_expiry(now)
