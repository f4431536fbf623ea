"""How long an attempt may take, and when it counts as overdue.

No timeout is derived from the learned latency alone: if attempts timed out before their responses, the longer
latency would never be learned, and further attempts would time out just as early.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from indigokeel.balancing import retry_policy
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.retry_policy import RETRY_PRICE, TIME_LIMIT_MARGIN_S, RetryBudget
from indigokeel.balancing.settings import Idempotency, Settings

MIN_RETRY_TIMEOUT_S = 0.05  # covers a connect, an event loop iteration and a header in whole milliseconds
LAGS_PER_ATTEMPT = 2.0  # event loop lag delays both the write of the request and the read of its response


class AttemptTimes(NamedTuple):
    """The time limits of one attempt, in seconds after it is sent."""

    timeout_s: float  # 0: no timeout before the deadline of the request
    overdue_s: float  # infinite: it never counts as overdue
    objective_s: float = math.inf  # it is then recorded as late but not cancelled; infinite: never


class AttemptTimeouts:
    """Decides the time limits of each attempt."""

    def __init__(self, settings: Settings, budget: RetryBudget, loop_lag_s: Callable[[], float]) -> None:
        """``loop_lag_s`` returns the current lag of the event loop."""
        self._budget = budget
        self._loop_lag_s = loop_lag_s
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._hedging_enabled = settings.limits.hedging

    def times(self, now: float, request: RequestState, expected_s: float) -> AttemptTimes:
        """Return the time limits of an attempt that is sent now and expected to take ``expected_s``."""
        useful_s = request.latest_useful_at - now
        timeout_s, objective_s = 0.0, math.inf
        if request.latest_useful_at < request.deadline:
            if self._times_out_at_objective(request):
                timeout_s = max(useful_s, TIME_LIMIT_MARGIN_S)
            else:
                objective_s = useful_s
        overdue_s = retry_policy.overdue_after_s(now, request, expected_s)
        if not self._hedging_enabled:
            timeout_before_retry_s = max(
                overdue_s, MIN_RETRY_TIMEOUT_S + LAGS_PER_ATTEMPT * self._loop_lag_s()
            )
            if timeout_before_retry_s < useful_s and self._may_retry(now + timeout_before_retry_s, request):
                return AttemptTimes(timeout_before_retry_s, math.inf)
        return AttemptTimes(timeout_s, overdue_s if overdue_s < useful_s else math.inf, objective_s)

    def _times_out_at_objective(self, request: RequestState) -> bool:
        """Return whether an attempt times out when its response loses its value, at the latency objective.

        The timeout frees the upstream for requests that can still meet their objective. For a request that
        must not be repeated, however, even a late response tells the client what it cannot find out
        otherwise: that the request was executed. Its attempts may therefore run longer while most responses
        are timely.
        """
        is_unsafe = request.class_settings.idempotency is Idempotency.UNSAFE
        return not is_unsafe or not self._budget.can_wait_for_late_response()

    def _may_retry(self, at: float, request: RequestState) -> bool:
        """Return whether an attempt that times out at clock time ``at`` may be followed by another one."""
        return (
            request.has_attempts_left()
            and retry_policy.may_repeat(at, request)
            and self._budget.can_retry(RETRY_PRICE)
        )
