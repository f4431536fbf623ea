"""Each rejected or failed final answer gives the cause."""

from __future__ import annotations

import math

import pytest

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.balancing.settings import Limits
from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.metrics import Counters
from indigokeel.process.unserved_log import UnservedLog
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import FinalAnswer, FinalStatus, Request
from indigokeel.requests.unserved import Unserved, UnservedCause
from tests.conftest import make_settings
from tests.unit.requests.test_coordinator import ENDPOINTS


def make_coordinator(**limits: object) -> RequestCoordinator:
    settings = make_settings(limits=Limits(max_attempts=1, **limits))  # type: ignore[arg-type]
    coordinator = RequestCoordinator(settings, 1, 0.0)
    coordinator.update_endpoints(100.0, EndpointList(1, True, ENDPOINTS), cached=True)
    return coordinator


def run_timers(coordinator: RequestCoordinator) -> list[FinalAnswer]:
    answers = []
    while coordinator.next_deadline() < math.inf:
        answers += coordinator.tick(coordinator.next_deadline()).answers
    return answers


def unserved_details(answers: list[FinalAnswer]) -> Unserved:
    (answer,) = answers
    assert answer.unserved is not None
    return answer.unserved


@pytest.mark.parametrize(
    ("outcome", "cause", "may_have_run"),
    [
        (AttemptOutcome.ERROR, UnservedCause.UPSTREAM_ERROR, True),
        (AttemptOutcome.BROKEN, UnservedCause.BROKEN_CONNECTION, True),
        (AttemptOutcome.TIMED_OUT, UnservedCause.LATENCY_OBJECTIVE, True),
        (AttemptOutcome.REJECTED, UnservedCause.UPSTREAM_REJECTION, False),
        (AttemptOutcome.NO_CONNECTION, UnservedCause.NO_CONNECTION, False),
    ],
)
def test_outcome_of_the_last_attempt_is_the_cause(
    outcome: AttemptOutcome, cause: UnservedCause, may_have_run: bool
) -> None:
    coordinator = make_coordinator()
    (attempt,) = coordinator.pick(100.0, Request("j", "pay", 1.0)).attempts
    found = unserved_details(coordinator.report(100.25, attempt, outcome).answers)
    assert found == Unserved(cause, "pay", attempt.upstream, may_have_run, 0.25)


def test_attempt_that_times_out_at_the_latency_objective_or_the_deadline() -> None:
    for name, budget, cause in (
        ("view", 1.4, UnservedCause.LATENCY_OBJECTIVE),
        ("view", 0.3, UnservedCause.DEADLINE),
        ("pay", 1.4, UnservedCause.DEADLINE),
    ):
        coordinator = make_coordinator()
        (attempt,) = coordinator.pick(100.0, Request("j", name, budget)).attempts
        assert coordinator.may_send_attempt(100.0, attempt)
        found = unserved_details(run_timers(coordinator))
        assert (found.cause, found.may_have_run) == (cause, True)


def test_request_that_is_cut_off_by_a_shutdown() -> None:
    coordinator = make_coordinator()
    (attempt,) = coordinator.pick(100.0, Request("open", "pay", 1.4)).attempts
    assert coordinator.may_send_attempt(100.0, attempt)
    coordinator.limit_deadlines(100.2)
    coordinator.pick(100.0, Request("late", "pay", 0.2, limited_by_shutdown=True))
    causes = [answer.unserved and answer.unserved.cause for answer in run_timers(coordinator)]
    assert causes == [UnservedCause.SHUTDOWN] * 2


def test_request_without_an_attempt() -> None:
    coordinator = make_coordinator()
    coordinator.update_endpoints(100.0, EndpointList(2, True, ()))
    coordinator.pick(100.0, Request("j", "view", 1.0))
    assert unserved_details(run_timers(coordinator)).cause is UnservedCause.NO_UPSTREAM
    full = make_coordinator(max_open_requests=1)
    full.pick(100.0, Request("first", "view", 1.0))
    assert (
        unserved_details(full.pick(100.0, Request("second", "view", 1.0)).answers).cause
        is UnservedCause.OVERLOAD
    )


def test_fault_in_the_balancer() -> None:
    coordinator = make_coordinator()
    assert unserved_details(coordinator.pick(100.0, Request("j", "unknown class", 1.0)).answers) == Unserved(
        UnservedCause.INTERNAL_ERROR, "unknown class"
    )


def test_loop_lag_is_that_of_the_latest_sample_or_of_an_overdue_one() -> None:
    coordinator = make_coordinator()
    assert coordinator.loop_lag_s(100.0) == 0.0
    coordinator.sample_lag(100.0, 0.02)
    assert coordinator.loop_lag_s(100.01) == pytest.approx(0.02)
    assert coordinator.loop_lag_s(100.35) == pytest.approx(0.3)


def test_each_request_is_counted_and_similar_ones_are_logged_once_per_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    counters = Counters("n0")
    monkeypatch.setattr(counters, "log", lines.append)
    log = UnservedLog(counters)
    late = Unserved(UnservedCause.LATENCY_OBJECTIVE, "pay", "s-1", True, 0.61)
    for now in (10.0, 11.0, 39.0, 41.0):
        log.record(now, FinalStatus.FAILED, late, 0.0123)
    log.record(41.0, FinalStatus.REJECTED, Unserved(UnservedCause.OVERLOAD, "view"), 0.0)
    assert counters["requests_failed_latency_objective"] == 4
    assert counters["requests_rejected_overload"] == 1
    first = (
        "request failed: latency_objective, class pay, last upstream s-1, may have run, after 0.610 s, "
        "event loop 12.3 ms late"
    )
    assert lines == [
        first,
        first + ", 2 more of this kind since the last such line",
        "request rejected: overload, class view, last upstream none, has not run, after 0.000 s, "
        "event loop 0.0 ms late",
    ]
