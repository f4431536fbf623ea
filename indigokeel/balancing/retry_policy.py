"""Rules and budgets of retries, hedged requests and late responses."""

from __future__ import annotations

from typing import Protocol

from indigokeel.balancing.events import Member
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.settings import DeduplicationScope, Idempotency

TIME_LIMIT_MARGIN_S = 0.05  # safety margin before a deadline or the end of an idempotency window
RETRIES_PER_TIMELY_RESPONSE = 0.2
HEDGES_PER_TIMELY_RESPONSE = 0.03
RETRY_PRICE = 1.0  # in tokens
LATE_RESPONSES_PER_TIMELY_RESPONSE = 0.01
MAX_TOKENS = 3.0  # limit of each kind of token, and so of a burst
INITIAL_LATE_RESPONSE_TOKENS = 1.0
INITIAL_HEDGE_TOKENS = 0.5  # less than one: after a start, hedging first has to be earned
OVERDUE_LATENCY_RATIO = 3.0  # of the expected latency, after which an attempt is overdue
MIN_OVERDUE_LATENCY_RATIO = 1.5  # of the expected latency; an attempt is never overdue earlier
RETRY_LATENCY_RATIO = 1.2  # of the expected latency; the time reserved for another attempt
MIN_RETRY_LATENCY_RATIO = 0.5  # of the expected latency; with less time left a retry is pointless


class ScopedUpstream(Protocol):
    """An upstream, as far as it matters for the detection of repeats."""

    @property
    def zone(self) -> str:
        """The zone of the upstream."""

    @property
    def replica_group(self) -> int:
        """The replica group of the upstream."""


def may_repeat(at: float, request: RequestState) -> bool:
    """Return whether the idempotency of the class allows another attempt at clock time ``at``."""
    executed = request.first_possible_execution()
    idempotency = request.class_settings.idempotency
    if executed is None or idempotency is Idempotency.SAFE:
        return True
    window_end = executed.sent_at + request.class_settings.idempotency_window
    return at < window_end - TIME_LIMIT_MARGIN_S and idempotency is not Idempotency.UNSAFE


def deduplicates(request: RequestState, member: Member) -> bool:
    """Return whether an upstream detects a repeat of a request that an earlier attempt may have executed."""
    executed = request.first_possible_execution()
    scope = request.class_settings.deduplication_scope
    if executed is None or request.class_settings.idempotency is not Idempotency.KEYED:
        return True
    return are_in_same_scope(scope, member, executed.member)


def are_in_same_scope(scope: DeduplicationScope, one: ScopedUpstream, other: ScopedUpstream) -> bool:
    """Return whether two upstreams detect repeats of each other's requests."""
    if scope is DeduplicationScope.ALL:
        return True
    if scope is DeduplicationScope.ZONE:
        return one.zone == other.zone
    return one.replica_group == other.replica_group


def is_harmless_to_repeat(request: RequestState) -> bool:
    """Return whether a client may safely repeat the request, given what its attempts may have executed."""
    cls = request.class_settings
    if cls.idempotency is Idempotency.SAFE:
        return True
    if cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL:
        return True
    return request.first_possible_execution() is None


def is_worth_trying(now: float, request: RequestState) -> bool:
    """Return whether another attempt is allowed and likely to get its response in time."""
    if not request.has_attempts_left() or not may_repeat(now, request):
        return False
    expected_s = request.class_statistics.expected_latency_s(request.hint_s)
    return now + MIN_RETRY_LATENCY_RATIO * expected_s < request.latest_useful_at


def overdue_after_s(now: float, request: RequestState, expected_s: float) -> float:
    """Return how long an attempt may take before it counts as overdue.

    The time is long enough for most responses, and short enough to leave time for another attempt.
    """
    latest = request.objective_at - now - RETRY_LATENCY_RATIO * expected_s
    return max(min(OVERDUE_LATENCY_RATIO * expected_s, latest), MIN_OVERDUE_LATENCY_RATIO * expected_s)


class RetryBudget:
    """Token buckets for retries, hedged requests and late responses, refilled by timely responses.

    A fleet that serves few requests in time thus gets few retries, which prevents retry storms, and spends
    little work on responses that come too late.
    """

    def __init__(self) -> None:
        self._retry_tokens = MAX_TOKENS
        self._hedge_tokens = INITIAL_HEDGE_TOKENS
        # May fall below 0 if several attempts are late at once.
        self._late_response_tokens = INITIAL_LATE_RESPONSE_TOKENS

    def credit(self, hedged: bool) -> None:
        """Add tokens for a timely response; a hedged request gets back the token it took."""
        self._retry_tokens = min(self._retry_tokens + RETRIES_PER_TIMELY_RESPONSE, MAX_TOKENS)
        self._hedge_tokens += 1.0 if hedged else HEDGES_PER_TIMELY_RESPONSE
        self._hedge_tokens = min(self._hedge_tokens, MAX_TOKENS)
        self._late_response_tokens = min(
            self._late_response_tokens + LATE_RESPONSES_PER_TIMELY_RESPONSE, MAX_TOKENS
        )

    def can_retry(self, price: float) -> bool:
        """Return whether there are enough tokens for a retry at this price."""
        return self._retry_tokens >= price

    def spend_retry(self, price: float) -> None:
        """Take the tokens for a retry."""
        self._retry_tokens -= price

    def can_hedge(self) -> bool:
        """Return whether there is a token for a hedged request."""
        return self._hedge_tokens >= 1.0

    def spend_hedge(self) -> None:
        """Take the token for a hedged request."""
        self._hedge_tokens -= 1.0

    def can_wait_for_late_response(self) -> bool:
        """Return whether there is a token for an attempt that may miss its objective."""
        return self._late_response_tokens >= 1.0

    def spend_late_response(self) -> None:
        """Take the token for an attempt that missed its objective and was not cancelled."""
        self._late_response_tokens -= 1.0
