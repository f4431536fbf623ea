"""Records the outcomes of attempts in the statistics that decisions are based on."""

from __future__ import annotations

from indigokeel.balancing.events import AttemptEnded, AttemptOutcome
from indigokeel.balancing.outlier_ejection import OutlierEjection
from indigokeel.balancing.request_state import AttemptState, RequestState
from indigokeel.balancing.retry_policy import RetryBudget
from indigokeel.balancing.traffic_statistics import TrafficStatistics

FAILURE_LATENCY_RATIO = 3.0  # a failure is recorded as this multiple of the expected latency
# A timeout after more than this multiple of the expected latency counts as two failures.
HANG_LATENCY_RATIO = 5.0


class AttemptResults:
    """Records outcomes in the statistics of upstreams, classes and traffic."""

    def __init__(self, ejection: OutlierEjection, traffic: TrafficStatistics, budget: RetryBudget) -> None:
        self._ejection = ejection
        self._traffic = traffic
        self._budget = budget

    def record(self, now: float, request: RequestState, attempt: AttemptState, event: AttemptEnded) -> None:
        """Record the outcome of an attempt."""
        outcome = event.outcome
        if outcome is AttemptOutcome.OK:
            self._record_success(now, request, attempt, event)
        elif attempt.missed_objective and outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT):
            return  # already recorded as late when it missed the objective
        elif outcome is AttemptOutcome.CANCELLED:
            # The time until the cancellation is a lower bound of its latency.
            _record_long_latency(now, attempt, event.elapsed)
        elif outcome is AttemptOutcome.TIMED_OUT:
            self._record_timeout(now, attempt, event.elapsed)
        elif outcome is not AttemptOutcome.NOT_SENT:
            self._record_failure(now, attempt, outcome)

    def record_missed_objective(self, now: float, attempt: AttemptState) -> None:
        """Record that an attempt missed the latency objective but is not cancelled.

        It counts as timed out, so that an overload or a hang is detected as early as in other classes.
        """
        attempt.missed_objective = True
        self._budget.spend_late_response()
        self._record_timeout(now, attempt, now - attempt.sent_at)

    def _record_success(
        self, now: float, request: RequestState, attempt: AttemptState, event: AttemptEnded
    ) -> None:
        self._traffic.record_response()
        if event.final and now <= request.objective_at:
            self._traffic.record_timely(now)
            self._budget.credit(attempt.hedged)
        self._ejection.record_success(now, attempt.upstream)
        if attempt.missed_objective:
            return
        attempt.upstream.record_latency(now, event.elapsed / attempt.expected_s)
        request.class_statistics.record_response(event.elapsed, request.hint_s)

    def _record_timeout(self, now: float, attempt: AttemptState, elapsed_s: float) -> None:
        upstream = attempt.upstream
        self._traffic.record_late(now)
        self._ejection.record_common_failures()
        if elapsed_s < attempt.expected_s:
            return  # the client's budget was too short for the timeout to say anything about the upstream
        upstream.record_latency(now, elapsed_s / attempt.expected_s)
        # An upstream that has served another attempt since this one was sent is overloaded rather than
        # hanging; ejecting it would shift its load to the other upstreams.
        if upstream.last_success_at < attempt.sent_at:
            weight = 2 if elapsed_s > HANG_LATENCY_RATIO * attempt.expected_s else 1
            self._ejection.record_failure(now, upstream, weight, timed_out=True)

    def _record_failure(self, now: float, attempt: AttemptState, outcome: AttemptOutcome) -> None:
        upstream = attempt.upstream
        upstream.record_latency(now, FAILURE_LATENCY_RATIO)
        if outcome is AttemptOutcome.REJECTED:
            self._ejection.record_common_failures()
        else:
            upstream.unattributed_errors += 1
        self._ejection.record_failure(now, upstream)


def _record_long_latency(now: float, attempt: AttemptState, elapsed_s: float) -> None:
    if elapsed_s > attempt.expected_s:
        attempt.upstream.record_latency(now, elapsed_s / attempt.expected_s)
