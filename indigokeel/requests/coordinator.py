"""The coordinator: one final answer for each request, one outcome for each attempt.

Network code hands in requests, outcomes of attempts, endpoint lists and the time, and carries out the effects
that it gets back; the events and actions of the balancer stay in here. The coordinator does no input or
output and takes the clock as an argument, so that any protocol can stand before it.
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
from indigokeel.requests.balancer_driver import BalancerDriver
from indigokeel.requests.effects import Attempt, Effects, Request
from indigokeel.requests.open_requests import OpenRequests
from indigokeel.requests.timer_queue import TimerQueue


class RequestCoordinator:
    """Carries each request of one sidecar from its arrival to its one final answer."""

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
        self.ticks_cut_short = 0  # calls of ``tick`` that left a due timer for the next call

    @property
    def cordons(self) -> Cordons:
        """The cordons of the operators."""
        return self._directory.cordons

    @property
    def unanswered(self) -> int:
        """The number of requests that have no final answer yet."""
        return self._requests.unanswered

    @property
    def faults(self) -> int:
        """The number of exceptions of the balancer and of timers."""
        return self._driver.faults + self._timer_faults

    def next_deadline(self) -> float:
        """Return the clock time at which ``tick`` is due, or infinity."""
        return self._timers.next_deadline()

    def has_upstreams(self) -> bool:
        """Return True if any upstream accepts requests."""
        return self._directory.has_upstreams()

    def is_open(self, request_id: str) -> bool:
        """Return True if a request of this id is open, or has an attempt in flight."""
        return request_id in self._requests

    def address(self, upstream: str) -> Address | None:
        """Return the address of an upstream, or None if it accepts no new requests."""
        return self._directory.address(upstream)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoint list as discovery sent it."""
        return self._directory.endpoints()

    def is_overloaded(self) -> bool:
        """Return True if this process runs so late that ``shed_early`` may reject requests."""
        return self._balancer.is_overloaded()

    def shed_early(self, now: float, class_name: str, budget: float) -> float | None:
        """Return the seconds after which a client rejected before parsing may retry, None to accept it."""
        return self._balancer.shed_early(now, class_name, budget)

    def pick(self, now: float, request: Request) -> Effects:
        """Accept a request and choose an upstream for it; raise ValueError if its id is in use."""
        effects = Effects()
        if self._requests.is_full():
            effects.answers.append(self._requests.reject_for_capacity(request))
            return effects
        opened = self._requests.open(now, request)
        if not request.long:
            self._driver.expire_at_deadline(opened)
        event = RequestArrived(
            request.id, request.class_name, request.budget, request.tenant, request.key, request.hint
        )
        self._driver.deliver(now, event, effects, opened)
        return effects

    def request_body_received(self, now: float, request_id: str) -> None:
        """Start the time limit of a request with a long body, whose last byte was received."""
        request = self._requests.get(request_id)
        if request is not None and not request.answered and request.respond_by == math.inf:
            request.restart_clock(now)
            self._driver.expire_at_deadline(request)

    def client_disconnected(self, now: float, request_id: str) -> Effects:
        """End a request whose client has disconnected: nothing more is owed."""
        effects = Effects()
        request = self._requests.get(request_id)
        if request is None or request.answered:
            return effects
        self._requests.mark_answered(request)
        self._driver.deliver(now, ClientDisconnected(request_id), effects, request)
        for number, attempt in enumerate(request.attempts):
            if request.long:
                self._driver.time_out_attempt(now, request, number, effects)
            elif not attempt.sent and not attempt.ended:
                effects.cancelled.append((request.id, number))
                self._driver.end_attempt(now, request, number, AttemptOutcome.NOT_SENT, effects)
        return effects

    def limit_deadlines(self, respond_by: float) -> None:
        """Give every open request its final answer by this clock time, because the process ends."""
        for request in self._requests.unanswered_requests():
            if request.respond_by > respond_by:
                request.respond_by = respond_by
                request.limited_by_shutdown = True
                self._driver.expire_at_deadline(request)

    def may_begin(self, now: float, attempt: Attempt) -> bool:
        """Decide, right before its first byte is written, whether an attempt may still be sent.

        While its connection was opened the upstream may have begun to drain, the request may have been
        answered, or the window may have closed in which a keyed request may be retried.
        """
        request = self._requests.get(attempt.request_id)
        if request is None or request.answered or self.address(attempt.upstream) is None:
            return False
        opened = request.attempts[attempt.number]
        if opened.ended or now >= opened.send_before:
            return False
        opened.sent = True
        return True

    def report(
        self, now: float, attempt: Attempt, outcome: AttemptOutcome, load: LoadReport | None = None
    ) -> Effects:
        """Take the outcome of an attempt; one that has an outcome already is ignored."""
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
        """Take the outcome of a health check, which took ``elapsed`` seconds."""
        effects = Effects()
        self._driver.deliver(now, HealthCheckEnded(upstream, outcome, elapsed, load), effects)
        return effects

    def sample_lag(self, now: float, seconds: float) -> Effects:
        """Take a sample of how late this process runs; called at a steady interval."""
        self._lag_s = seconds
        self._lag_sampled_at = now
        effects = Effects()
        self._driver.deliver(now, LagSampled(seconds), effects)
        return effects

    def loop_lag_s(self, now: float) -> float:
        """Return how late this process runs: by the newest sample, or by one that is overdue."""
        return max(self._lag_s, now - self._lag_sampled_at - LAG_SAMPLE_INTERVAL_S)

    def tick(self, now: float) -> Effects:
        """Run the timers that are due; one that they set for this instant is left for the next call."""
        effects = Effects()
        for timer in self._timers.take_due(now):
            if timer.is_dropped():
                continue
            try:
                timer.callback(now, effects)
            except Exception as error:  # costs this timer, and none of the effects of the others
                self._timer_faults += 1
                effects.notes.append(f"fault in a timer: {type(error).__name__}: {error}")
        if self._timers.next_deadline() <= now:
            self.ticks_cut_short += 1
        return effects

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings, whole; raise ValueError and change nothing where they are invalid.

        Open requests keep the class and the number of attempts that they arrived under.
        """
        self._balancer.apply_settings(settings)
        self._requests.apply_settings(settings)
        self._directory.start_times.list_age = settings.safety.poll_within

    def update_endpoints(self, now: float, update: EndpointList, cached: bool = False) -> Effects:
        """Apply an endpoint list, whole or in part; ``cached`` if discovery did not send it just now."""
        effects = Effects()
        self._apply_change(now, self._directory.apply_update(now, update, cached), effects)
        return effects

    def endpoint_watch_failed(self, now: float) -> Effects:
        """Record that a call to discovery failed, or that a watch has ended."""
        self._directory.start_times.list_lost(now)
        effects = Effects()
        self._driver.deliver(now, MembershipUpdate(UpdateKind.FAILED), effects)
        return effects

    def cordon(self, now: float, upstream: str) -> Effects | None:
        """Cordon an upstream until ``uncordon``, whatever discovery lists; None if it is unknown."""
        return self._apply_cordons(now, self._directory.cordon(now, upstream))

    def uncordon(self, now: float, upstream: str) -> Effects | None:
        """Lift a cordon; the upstream warms up. None if it is unknown."""
        return self._apply_cordons(now, self._directory.uncordon(now, upstream))

    def merge_cordons(self, now: float, records: Iterable[CordonRecord]) -> Effects:
        """Apply the cordon records of another process of this sidecar."""
        return self._apply_cordon_changes(now, self._directory.merge_cordons(records))

    def export_learned_state(self, now: float) -> dict[str, Any] | None:
        """Return what the balancer has learnt, or None where handing it on does not pay."""
        return learned_state.collect(self._balancer, now)

    def restore_learned_state(self, now: float, data: Any) -> Effects:
        """Restore what another process had learnt, between the first endpoint list and the first request."""
        effects = Effects()
        try:
            learned_state.restore(self._balancer, now, data)
        except learned_state.LearnedStateError as error:
            effects.notes.append(f"learned state of the previous process ignored: {error}")
        return effects

    def export_start_times(self, now: float) -> StartsSnapshot | None:
        """Return the start times of the listed upstreams."""
        return self._directory.snapshot_start_times(now)

    def restore_start_times(self, snapshot: StartsSnapshot) -> None:
        """Restore the start times that another process of this boot knew: before the first endpoint list."""
        self._directory.start_times.inherit(snapshot)

    def _apply_change(self, now: float, change: DirectoryChange, effects: Effects) -> None:
        effects.close_idle += change.moved
        effects.warm += change.added
        self._driver.deliver(now, change.membership, effects)

    def _apply_cordons(self, now: float, changed: list[str] | None) -> Effects | None:
        """Apply the cordons of the upstreams in ``changed``; None, for an unknown upstream, stays None."""
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
