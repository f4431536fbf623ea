"""Delivers events to the balancer and turns its actions into effects. No I/O; the clock is passed in."""

from __future__ import annotations

import math
from functools import partial

from indigokeel.balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
)
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    Event,
    LoadReport,
    ResponseStarted,
    TimerFired,
)
from indigokeel.endpoints.directory import EndpointDirectory
from indigokeel.requests.effects import Attempt, Effects, FinalAnswer, FinalStatus
from indigokeel.requests.open_request import OpenRequest
from indigokeel.requests.open_requests import OpenRequests
from indigokeel.requests.timer_queue import TimerQueue
from indigokeel.requests.unserved import Unserved, UnservedCause, explain_unserved

# Bound on the events that one call may cause in the balancer, so that no cycle of events runs forever.
_MAX_EVENTS = 1000
_MAX_EVENTS_PER_OPEN_REQUEST = 8


class BalancerDriver:
    """Runs the balancer for the open requests: one outcome for each attempt, one answer for each request."""

    def __init__(
        self,
        balancer: Balancer,
        requests: OpenRequests,
        directory: EndpointDirectory,
        timers: TimerQueue,
    ) -> None:
        """Create a driver of ``balancer`` that works on a coordinator's state."""
        self._balancer = balancer
        self._requests = requests
        self._directory = directory
        self._timers = timers
        self.faults = 0  # number of exceptions raised by the balancer

    # --- events ---------------------------------------------------------------------------------------

    def deliver(self, now: float, event: Event, effects: Effects, request: OpenRequest | None = None) -> None:
        """Deliver an event and the further events that its actions cause.

        ``request`` is the open request that ``event`` concerns, if any.
        """
        events = [event]
        for number in range(_MAX_EVENTS + _MAX_EVENTS_PER_OPEN_REQUEST * len(self._requests)):
            if number >= len(events):
                break
            try:
                actions = self._balancer.handle(now, events[number])
            except Exception as error:  # fails at most the request, never the process
                self._record_fault(now, error, effects, request)
                continue
            for action in actions:
                self._apply(now, action, effects, events)
        if request is not None:
            self._requests.close_if_done(request)

    def _record_fault(
        self, now: float, error: Exception, effects: Effects, request: OpenRequest | None
    ) -> None:
        self.faults += 1
        effects.log_messages.append(f"fault in the balancer: {type(error).__name__}: {error}")
        if request is not None and not request.answered and request.attempts_in_flight == 0:
            unserved = self._explain(now, request, UnservedCause.INTERNAL_ERROR)
            self._requests.answer(
                request, FinalAnswer(request.id, FinalStatus.FAILED, unserved=unserved), effects
            )

    def _explain(self, now: float, request: OpenRequest, cause: UnservedCause | None = None) -> Unserved:
        return explain_unserved(now, request, self._directory.has_upstreams(), cause)

    def schedule_expiry(self, request: OpenRequest) -> None:
        """Schedule the expiry of a request at its ``respond_by``, unless an earlier timer will do so."""
        if request.respond_by < request.expiry_due_at:
            request.expiry_due_at = request.respond_by
            self._timers.schedule(request.respond_by, partial(self._expire, request), request)

    def _expire(self, request: OpenRequest, now: float, effects: Effects) -> None:
        """Time out the open attempts of a request whose time is over, and answer it if it has no answer."""
        request.expiry_due_at = math.inf
        if now < request.respond_by:  # its time limit was suspended or started anew
            self.schedule_expiry(request)
            return
        for number in range(len(request.attempts)):
            self.time_out_attempt(now, request, number, effects)
        if not request.answered:
            self._requests.answer_unserved(request, self._explain(now, request), effects)
            self.deliver(now, ClientDisconnected(request.id), effects, request)
        self._requests.close_if_done(request)

    def time_out_attempt(self, now: float, request: OpenRequest, number: int, effects: Effects) -> None:
        """Cancel an attempt whose time is over, unless it has already ended."""
        attempt = request.open_attempt(number)
        if attempt is None:
            return
        effects.cancelled_attempts.append((request.id, number))
        # An attempt of which no byte was written cannot have run.
        outcome = AttemptOutcome.TIMED_OUT if attempt.sent else AttemptOutcome.NO_CONNECTION
        self.end_attempt(now, request, number, outcome, effects)

    def end_attempt(
        self,
        now: float,
        request: OpenRequest,
        number: int,
        outcome: AttemptOutcome,
        effects: Effects,
        load: LoadReport | None = None,
    ) -> None:
        """Record the outcome of an open attempt, and let the balancer decide what to do next."""
        attempt = request.end_attempt(number, outcome)
        request.attempts_in_flight -= 1
        if outcome is AttemptOutcome.OK and not request.answered:
            answer = FinalAnswer(request.id, FinalStatus.SERVED, attempt=number)
            self._requests.answer(request, answer, effects)
        if outcome is AttemptOutcome.TIMED_OUT and request.delayed_by_client and now >= request.respond_by:
            outcome = AttemptOutcome.CANCELLED  # the client caused the delay, not the upstream
        elapsed = max(now - attempt.started_at, 0.0)
        event = AttemptEnded(
            request.id, attempt.upstream, number, outcome, elapsed, final=request.answered, load=load
        )
        self.deliver(now, event, effects, request)

    # --- actions --------------------------------------------------------------------------------------

    def _apply(self, now: float, action: Action, effects: Effects, events: list[Event]) -> None:
        if isinstance(action, SendAttempt):  # this and SetTimer come first: every request causes them
            self._start_attempt(now, action, effects, events)
        elif isinstance(action, SetTimer):
            self._timers.schedule(now + action.delay, partial(self._fire_timer, action.token))
        elif isinstance(action, CloseIdleConnections):
            effects.drain_connections.append(action.upstream)
        elif isinstance(action, RejectRequest):
            answer = FinalAnswer(action.id, FinalStatus.REJECTED, action.retry_after_s)
            self._answer_unserved(now, answer, effects)
        elif isinstance(action, FailRequest):
            self._answer_unserved(now, FinalAnswer(action.id, FinalStatus.FAILED), effects)
        elif isinstance(action, CancelAttempt):
            self._cancel_attempt(now, action, effects, events)
        else:
            self._apply_process_action(action, effects)

    @staticmethod
    def _apply_process_action(action: Action, effects: Effects) -> None:
        """Add an action that concerns no request to the effects."""
        if isinstance(action, SendHealthCheck):
            effects.health_checks.append(action.upstream)
        elif isinstance(action, WatchEndpoints):
            effects.start_watch = True
        elif isinstance(action, FetchEndpoints):
            effects.fetch_endpoints = True
        elif isinstance(action, LogMessage):
            effects.log_messages.append(action.text)

    def _fire_timer(self, token: int, now: float, effects: Effects) -> None:
        self.deliver(now, TimerFired(token), effects)

    def _answer_unserved(self, now: float, answer: FinalAnswer, effects: Effects) -> None:
        request = self._requests.get(answer.request_id)
        if request is not None and not request.answered:
            answer.unserved = self._explain(now, request)
            self._requests.answer(request, answer, effects)
            self._requests.close_if_done(request)

    def _cancel_attempt(
        self, now: float, action: CancelAttempt, effects: Effects, events: list[Event]
    ) -> None:
        request = self._requests.get(action.id)
        attempt = request.open_attempt(action.attempt) if request is not None else None
        if request is None or attempt is None:
            return
        outcome = AttemptOutcome.CANCELLED
        request.end_attempt(action.attempt, outcome)
        request.attempts_in_flight -= 1
        effects.cancelled_attempts.append((action.id, action.attempt))
        elapsed = now - attempt.started_at
        events.append(
            AttemptEnded(action.id, attempt.upstream, action.attempt, outcome, elapsed, request.answered)
        )
        self._requests.close_if_done(request)

    def _start_attempt(self, now: float, action: SendAttempt, effects: Effects, events: list[Event]) -> None:
        request = self._requests.get(action.id)
        if request is None:
            return
        number = len(request.attempts)
        request.add_attempt(action.upstream, self._directory.endpoint(action.upstream), now)
        if not request.may_send(now, number) or self._directory.address(action.upstream) is None:
            outcome = AttemptOutcome.NOT_SENT
            request.end_attempt(number, outcome)
            events.append(AttemptEnded(action.id, action.upstream, number, outcome, 0.0, request.answered))
            return
        request.attempts_in_flight += 1
        if request.body_streamed:
            # The streamed body is not kept, so it cannot be sent again. Once the response is reported as
            # started, the balancer neither waits for it nor sends another attempt.
            events.append(ResponseStarted(action.id, action.upstream, number))
            until = min(now + request.time_limit, request.respond_by)
        else:
            until = self._attempt_deadline(now, action, request)
            if until < request.respond_by:
                self._schedule_time_out(until, request, number)
        effects.attempts.append(Attempt(action.id, number, action.upstream, until))

    @staticmethod
    def _attempt_deadline(now: float, action: SendAttempt, request: OpenRequest) -> float:
        """Return the clock time at which an attempt times out."""
        if action.timeout < 0.0:
            return now
        if action.timeout > 0.0:
            return min(now + action.timeout, request.respond_by)
        return request.respond_by

    def _schedule_time_out(self, until: float, request: OpenRequest, number: int) -> None:
        def time_out(now: float, effects: Effects) -> None:
            """Time out the attempt."""
            self.time_out_attempt(now, request, number, effects)

        self._timers.schedule(until, time_out, request)
