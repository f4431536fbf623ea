"""Decides the next step of a request: an attempt, a wait for an upstream, or its final answer."""

from __future__ import annotations

from indigokeel.balancing import retry_policy
from indigokeel.balancing.attempt_sender import AttemptSender
from indigokeel.balancing.events import AttemptOutcome
from indigokeel.balancing.request_registry import RequestRegistry
from indigokeel.balancing.request_state import AttemptState, RequestState
from indigokeel.balancing.retry_policy import RETRY_PRICE, TIME_LIMIT_MARGIN_S, RetryBudget
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.upstream_registry import UpstreamRegistry
from indigokeel.balancing.upstream_selection import UpstreamSelector


class AttemptDispatcher:
    """Dispatches first attempts, retries and hedged attempts."""

    def __init__(
        self,
        settings: Settings,
        registry: UpstreamRegistry,
        requests: RequestRegistry,
        selector: UpstreamSelector,
        sender: AttemptSender,
        budget: RetryBudget,
    ) -> None:
        self._registry = registry
        self._requests = requests
        self._selector = selector
        self._sender = sender
        self._budget = budget
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._hedging_enabled = settings.limits.hedging

    def dispatch(self, now: float, request: RequestState) -> None:
        """Send an attempt of a request that has none open, or else make the request wait or answer it."""
        if not retry_policy.may_repeat(now, request):
            self._requests.answer_unserved(request)
            return
        upstream = self._selector.select(now, request)
        if upstream is not None:
            self._requests.stop_waiting(request)
            self._sender.send(now, request, upstream, self._handle_overdue)
        elif self._can_wait(now, request):
            self._requests.wait(now, request)
        else:
            self._requests.answer_unserved(request)

    def dispatch_waiting(self, now: float) -> None:
        """Dispatch the requests that are waiting for an upstream."""
        for request in self._requests.waiting():
            self.dispatch(now, request)

    def retry(self, now: float, request: RequestState, outcome: AttemptOutcome) -> None:
        """Retry a request whose last open attempt failed, or answer it if budget or rules forbid a retry.

        A retry is free if the failed attempt did not reach its upstream: the endpoint list may be outdated.
        """
        not_reached = outcome in (AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT)
        price = 0.0 if not_reached else RETRY_PRICE
        if (
            request.response_started
            or not self._budget.can_retry(price)
            or not retry_policy.is_worth_trying(now, request)
        ):
            self._requests.answer_unserved(request)
            return
        self._budget.spend_retry(price)
        self.dispatch(now, request)

    def _can_wait(self, now: float, request: RequestState) -> bool:
        """Return whether an endpoint list update may provide an upstream in time.

        A new request is answered at once if there are serving upstreams, but all are too busy for it.
        """
        if request.deadline - now < TIME_LIMIT_MARGIN_S:
            return False
        return bool(request.attempts) or not self._registry.serving_count()

    def _handle_overdue(self, now: float, request: RequestState, attempt: AttemptState) -> None:
        """Mark an open attempt as overdue, and send a hedged request if that is allowed."""
        if not attempt.open or request.response_started:
            return
        attempt.overdue = True
        attempt.upstream.add_overdue_attempts(1)
        if request.done or not self._hedging_enabled or not self._budget.can_hedge():
            return
        if not retry_policy.is_worth_trying(now, request):
            return
        upstream = self._selector.select(now, request)
        if upstream is not None and all(a.upstream is not upstream for a in request.attempts):
            self._budget.spend_hedge()
            self._sender.send(now, request, upstream, self._handle_overdue).hedged = True
