"""The open requests of one sidecar: each is kept until it is answered and its attempts have ended."""

from __future__ import annotations

import math

from indigokeel.balancing.settings import ClassSettings, DeduplicationScope, Idempotency, Settings
from indigokeel.requests.effects import Effects, FinalAnswer, FinalStatus, Request
from indigokeel.requests.open_request import OpenRequest
from indigokeel.requests.sent_request_ids import SentRequestIds
from indigokeel.requests.timer_queue import TimerQueue
from indigokeel.requests.unserved import Unserved, UnservedCause

# Seconds between the final answer and the client's own time limit, so that the answer can be written and
# arrive in time. The longer margin applies unless it would cut into the latency objective.
RESPONSE_MARGIN_S = 0.05
MIN_RESPONSE_MARGIN_S = 0.01

# Once a request has waited this long behind other requests of its client, a time-out says nothing about the
# upstream.
_MIN_DELAY_BY_CLIENT_S = 0.01


class OpenRequests:
    """The requests that have no final answer yet or have an attempt in flight."""

    def __init__(self, settings: Settings, timers: TimerQueue) -> None:
        """``timers`` is the queue that holds the timers of the requests."""
        self._timers = timers
        self._requests: dict[str, OpenRequest] = {}
        self._answer_by = math.inf  # clock time by which a shutdown needs all answers
        self._sent_ids = SentRequestIds()
        self.unanswered = 0
        self.apply_settings(settings)

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._requests)

    def __contains__(self, request_id: object) -> bool:
        """Return True if a request with this id is open."""
        return request_id in self._requests

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to the requests that arrive after this call."""
        self._settings = settings

    def is_full(self) -> bool:
        """Return True if the limit on unanswered requests (``max_open_requests``) is reached."""
        return self.unanswered >= self._settings.limits.max_open_requests

    def reject_for_capacity(self, request: Request) -> FinalAnswer:
        """Return the final answer of a request that arrives while ``is_full``."""
        unserved = Unserved(UnservedCause.OVERLOAD, request.class_name)
        retry_after_s = self._settings.limits.max_retry_after
        return FinalAnswer(request.id, FinalStatus.REJECTED, retry_after_s, unserved=unserved)

    def get(self, request_id: str) -> OpenRequest | None:
        """Return the open request with this id, or None."""
        return self._requests.get(request_id)

    def limit_to_shutdown(self, answer_by: float) -> list[OpenRequest]:
        """Require all answers, also to later requests, by a clock time; return the unanswered requests."""
        self._answer_by = answer_by
        unanswered = [request for request in self._requests.values() if not request.answered]
        for request in unanswered:
            request.limit_to_shutdown(answer_by)
        return unanswered

    def open(self, now: float, request: Request) -> OpenRequest:
        """Record a request that is accepted now; raise ValueError if its id is in use."""
        if request.id in self._requests:
            raise ValueError(f"a request of this id is open: {request.id}")
        settings = request.settings or self._settings
        class_settings = settings.find_class(request.class_name)
        open_request = OpenRequest(
            id=request.id,
            class_name=request.class_name,
            received_at=now,
            respond_by=self._answer_by,
            answer_by=self._answer_by,
            idempotency_window=_idempotency_window(class_settings),
            max_attempts=settings.limits.max_attempts,
            time_limit=_time_limit(request, class_settings),
            body_streamed=request.body_streamed,
            must_not_repeat=_must_not_repeat(class_settings),
            repeat_scope=_repeat_scope(class_settings),
            budget_limited_by_shutdown=request.limited_by_shutdown,
            delayed_by_client=request.queued_s > _MIN_DELAY_BY_CLIENT_S,
        )
        started_at = request.body_unread_since if request.body_streamed else now
        if started_at is not None:
            open_request.start_time_limit(started_at)
        self._requests[request.id] = open_request
        self.unanswered += 1
        return open_request

    def record_sent(self, now: float, request: OpenRequest) -> None:
        """Record that an attempt of a request is sent now."""
        if request.must_not_repeat:
            self._sent_ids.add(now, request.id)

    def may_have_run(self, now: float, request_id: str) -> bool:
        """Return True if a request with this id that must not run twice was sent to an upstream."""
        return self._sent_ids.contains(now, request_id)

    def mark_answered(self, request: OpenRequest) -> None:
        """Record that a request needs no answer any more."""
        request.answered = True
        self.unanswered -= 1

    def answer(self, request: OpenRequest, answer: FinalAnswer, effects: Effects) -> None:
        """Give a request its final answer."""
        self.mark_answered(request)
        effects.answers.append(answer)

    def answer_unserved(self, request: OpenRequest, unserved: Unserved, effects: Effects) -> None:
        """Give a request that was not served its final answer.

        It is rejected, so that the client may retry, only if no attempt can have run; otherwise it fails.
        """
        status = FinalStatus.FAILED if request.may_have_run() else FinalStatus.REJECTED
        self.answer(request, FinalAnswer(request.id, status, unserved=unserved), effects)

    def close_if_done(self, request: OpenRequest) -> None:
        """Remove a request if it is answered and has no attempt in flight."""
        if request.is_done() and not request.closed:
            request.closed = True
            self._requests.pop(request.id, None)
            if not request.may_have_run():
                self._sent_ids.discard(request.id)
            self._timers.drop_timers_of(request)


def _must_not_repeat(class_settings: ClassSettings | None) -> bool:
    """Return True if the requests of a class must not run twice."""
    return class_settings is not None and class_settings.idempotency is Idempotency.UNSAFE


def _repeat_scope(class_settings: ClassSettings | None) -> DeduplicationScope | None:
    """Return which upstreams detect a repeat of a keyed request; None for requests of other classes."""
    if class_settings is None or class_settings.idempotency is not Idempotency.KEYED:
        return None
    return class_settings.deduplication_scope


def _idempotency_window(class_settings: ClassSettings | None) -> float:
    """Return the seconds after the first attempt in which a retry may be sent."""
    if class_settings is None or class_settings.idempotency is not Idempotency.KEYED:
        return math.inf
    return class_settings.idempotency_window


def _time_limit(request: Request, class_settings: ClassSettings | None) -> float:
    """Return the seconds within which the final answer is given, at least half of the client's limit.

    Only the shorter margin may reduce them below the latency objective.
    """
    objective = 0.0 if class_settings is None else class_settings.latency_objective
    within_objective = min(objective, request.budget - MIN_RESPONSE_MARGIN_S)
    return max(request.budget - RESPONSE_MARGIN_S, within_objective, request.budget / 2.0)
