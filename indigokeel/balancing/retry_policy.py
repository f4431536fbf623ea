"""Rules and budgets of retries, hedged attempts and late answers."""

from __future__ import annotations

from indigokeel.balancing.events import Member
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.settings import DeduplicationScope, Idempotency

RULE_MARGIN_S = 0.05  # kept clear of every time limit that a rule states
RETRIES_PER_TIMELY_ANSWER = 0.2
HEDGES_PER_TIMELY_ANSWER = 0.03
RETRY_PRICE = 1.0  # tokens
LATE_ANSWERS_PER_TIMELY_ANSWER = 0.01
MAX_TOKENS = 3.0  # of any kind, saved for a burst
INITIAL_LATE_TOKENS = 1.0
INITIAL_HEDGE_TOKENS = 0.5  # less than one: hedging has to be earned after a start
OVERDUE_LATENCY_RATIO = 3.0  # of the expected latency, after which an attempt is overdue
MIN_OVERDUE_LATENCY_RATIO = 1.5
RETRY_LATENCY_RATIO = 1.2  # of the expected latency, reserved for another attempt
MIN_RETRY_LATENCY_RATIO = 0.5  # of the expected latency; with less time left a retry is pointless


def may_repeat(at: float, request: RequestState) -> bool:
    """Return whether the idempotency of the class allows another attempt at clock time ``at``."""
    executed = request.first_possible_execution()
    idempotency = request.class_settings.idempotency
    if executed is None or idempotency is Idempotency.SAFE:
        return True
    window_end = executed.sent_at + request.class_settings.idempotency_window
    return at < window_end - RULE_MARGIN_S and idempotency is not Idempotency.UNSAFE


def deduplicates(request: RequestState, member: Member) -> bool:
    """Return whether an upstream detects a repeat of what an earlier attempt may have executed."""
    executed = request.first_possible_execution()
    scope = request.class_settings.deduplication_scope
    if executed is None or request.class_settings.idempotency is not Idempotency.KEYED:
        return True
    if scope is DeduplicationScope.ALL:
        return True
    first = executed.upstream.member
    if scope is DeduplicationScope.ZONE:
        return member.zone == first.zone
    return member.replica_group == first.replica_group


def is_harmless_to_repeat(request: RequestState) -> bool:
    """Return whether a client may repeat the request, whatever became of its attempts."""
    cls = request.class_settings
    if cls.idempotency is Idempotency.SAFE:
        return True
    if cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL:
        return True
    return request.first_possible_execution() is None


def is_worth_trying(now: float, request: RequestState) -> bool:
    """Return whether another attempt is allowed and can still be answered in time."""
    if not request.has_attempts_left() or not may_repeat(now, request):
        return False
    expected_s = request.class_statistics.expected_latency_s(request.hint_s)
    return now + MIN_RETRY_LATENCY_RATIO * expected_s < request.latest_useful_at


def overdue_after_s(now: float, request: RequestState, expected_s: float) -> float:
    """Return how long an attempt may take before it counts as overdue.

    It is long enough for most answers, and short enough to leave time for another attempt.
    """
    latest = request.objective_at - now - RETRY_LATENCY_RATIO * expected_s
    return max(min(OVERDUE_LATENCY_RATIO * expected_s, latest), MIN_OVERDUE_LATENCY_RATIO * expected_s)


class RetryBudget:
    """Tokens for retries, hedged attempts and late answers, earned by timely answers.

    A fleet that serves little thus gets few further attempts, which prevents retry storms, and spends little
    on answers that come too late.
    """

    def __init__(self) -> None:
        self._retry_tokens = MAX_TOKENS
        self._hedge_tokens = INITIAL_HEDGE_TOKENS
        self._late_tokens = INITIAL_LATE_TOKENS  # may fall below 0 where several attempts are late at once

    def credit(self, hedged: bool) -> None:
        """Earn tokens for a timely answer; one to a hedged attempt refunds the price of hedging."""
        self._retry_tokens = min(self._retry_tokens + RETRIES_PER_TIMELY_ANSWER, MAX_TOKENS)
        self._hedge_tokens += 1.0 if hedged else HEDGES_PER_TIMELY_ANSWER
        self._hedge_tokens = min(self._hedge_tokens, MAX_TOKENS)
        self._late_tokens = min(self._late_tokens + LATE_ANSWERS_PER_TIMELY_ANSWER, MAX_TOKENS)

    def can_retry(self, price: float) -> bool:
        """Return whether there are tokens for a retry."""
        return self._retry_tokens >= price

    def spend_retry(self, price: float) -> None:
        """Pay for a retry."""
        self._retry_tokens -= price

    def can_hedge(self) -> bool:
        """Return whether there is a token for a hedged attempt."""
        return self._hedge_tokens >= 1.0

    def spend_hedge(self) -> None:
        """Pay for a hedged attempt."""
        self._hedge_tokens -= 1.0

    def can_answer_late(self) -> bool:
        """Return whether there is a token for an attempt that misses its objective."""
        return self._late_tokens >= 1.0

    def spend_late_answer(self) -> None:
        """Pay for an attempt that has missed its objective and is left to end."""
        self._late_tokens -= 1.0
