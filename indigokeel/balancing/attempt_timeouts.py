"""How long an attempt may take, and from when on it counts as overdue.

No time in here follows from a learned latency alone: an attempt that was given up too early to be answered
would teach no longer latency, and the next one would be given up as early.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from indigokeel.balancing import retry_policy
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.retry_policy import RETRY_PRICE, RULE_MARGIN_S, RetryBudget
from indigokeel.balancing.settings import Idempotency, Settings

MIN_TIME_S = 0.05  # for a connection, a turn of the event loop and a header in whole milliseconds
LAGS_PER_ATTEMPT = 2.0  # times the lag of the event loop: until it is written, and until its answer is read


class AttemptTimes(NamedTuple):
    """The times of one attempt, in seconds from when it is sent."""

    timeout_s: float  # 0: until the client gives up
    overdue_s: float  # infinite: nothing is done when it is overdue
    objective_s: float = math.inf  # at which it is recorded as late and left to end; infinite: it is not


class AttemptTimeouts:
    """Decides the times of each attempt."""

    def __init__(self, settings: Settings, budget: RetryBudget, loop_lag_s: Callable[[], float]) -> None:
        """``loop_lag_s`` returns the present lag of the event loop."""
        self._budget = budget
        self._loop_lag_s = loop_lag_s
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._hedges = settings.limits.hedging

    def times(self, now: float, request: RequestState, expected_s: float) -> AttemptTimes:
        """Return the times of an attempt that is sent now and expected to take ``expected_s``."""
        useful_s = request.latest_useful_at - now
        timeout_s, objective_s = 0.0, math.inf
        if request.latest_useful_at < request.deadline:
            if self._is_given_up_at_objective(request):
                timeout_s = max(useful_s, RULE_MARGIN_S)
            else:
                objective_s = useful_s
        overdue_s = retry_policy.overdue_after_s(now, request, expected_s)
        if not self._hedges:
            retry_after_s = max(overdue_s, MIN_TIME_S + LAGS_PER_ATTEMPT * self._loop_lag_s())
            if retry_after_s < useful_s and self._may_retry(now + retry_after_s, request):
                return AttemptTimes(retry_after_s, math.inf)
        return AttemptTimes(timeout_s, overdue_s if overdue_s < useful_s else math.inf, objective_s)

    def _is_given_up_at_objective(self, request: RequestState) -> bool:
        """Return whether an attempt is given up once its response has no value.

        That frees the upstream for requests that can still meet their objective. Of a request that must not
        be repeated, even a late response tells the client what it cannot find out otherwise: that it was
        executed. Such an attempt is left to end while most answers are timely.
        """
        is_unsafe = request.class_settings.idempotency is Idempotency.UNSAFE
        return not is_unsafe or not self._budget.can_answer_late()

    def _may_retry(self, at: float, request: RequestState) -> bool:
        """Return whether another attempt may follow one that is given up at clock time ``at``."""
        return (
            request.has_attempts_left()
            and retry_policy.may_repeat(at, request)
            and self._budget.can_retry(RETRY_PRICE)
        )
