"""Open requests and their final answers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from indigokeel.balancing.actions import (
    CancelAttempt,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
    ClientDisconnected,
    ResponseStarted,
    TimerFired,
)
from indigokeel.balancing.settings import ClassSettings, Limits
from tests.conftest import (
    KEYED,
    SAFE,
    UNSAFE,
    Driver,
    actions_of_type,
    make_members,
    make_settings,
    sent_attempts,
)


@pytest.mark.parametrize("cancellation", [True, False])
def test_open_attempts_of_a_finished_request_are_cancelled_once(cancellation: bool) -> None:
    driver = Driver(make_settings(limits=Limits(cancellation=cancellation)), make_members(2))
    name, actions = driver.request()
    (send,) = sent_attempts(actions)
    expected = [CancelAttempt(name, 0)] if cancellation else []
    assert driver.balancer.handle(driver.now, ClientDisconnected(name)) == expected
    assert driver.balancer.handle(driver.now, ClientDisconnected(name)) == []
    assert actions_of_type(driver.end_attempt(send, AttemptOutcome.CANCELLED), CancelAttempt) == []


@pytest.mark.parametrize(
    ("settings", "late_weight", "timeout"),
    [(SAFE, 0.0, 0.5), (SAFE, 0.5, 0.0), (KEYED, 0.0, 0.5), (UNSAFE, 0.0, 0.0), (UNSAFE, 0.5, 0.0)],
)
def test_attempt_times_out_at_the_objective_where_late_answers_have_no_value(
    settings: ClassSettings, late_weight: float, timeout: float
) -> None:
    """A slow fleet must not work on responses without value, unless the client cannot repeat the request."""
    classes = (replace(settings, late_weight=late_weight),)
    driver = Driver(make_settings(classes=classes, limits=Limits(max_attempts=1)), make_members(2))
    name, actions = driver.request(settings.name, budget=1.5)
    assert sent_attempts(actions)[0].timeout == timeout
    driver.now += timeout or 1.5
    (final_answer,) = driver.end_attempt(
        sent_attempts(actions)[0], AttemptOutcome.TIMED_OUT, elapsed=timeout or 1.5
    )
    assert final_answer == (RejectRequest(name) if settings is SAFE else FailRequest(name))


def test_late_responses_to_unsafe_requests_are_limited_by_the_number_of_timely_ones() -> None:
    """A fleet whose responses are all late is overloaded, even if clients of unsafe requests can use them."""
    driver = Driver(make_settings(classes=(UNSAFE,)), make_members(2))

    def serve(elapsed: float) -> tuple[list[Any], float]:
        _, actions = driver.request("pay", budget=1.5)
        logged = actions_of_type(actions, LogMessage)
        driver.now += 0.5
        for timer in actions_of_type(actions, SetTimer) if elapsed > 0.5 else []:
            driver.balancer.handle(driver.now, TimerFired(timer.token))
        found = sent_attempts(actions)
        for send in found:
            late = elapsed > 0.5
            outcome = AttemptOutcome.TIMED_OUT if late and send.timeout else AttemptOutcome.OK
            driver.end_attempt(send, outcome, elapsed=min(elapsed, send.timeout or elapsed))
        driver.now -= 0.45
        return logged, found[0].timeout if found else -1.0

    # After the first request, no token for a late response is left.
    assert [serve(0.6)[1] for _ in range(3)] == [0.0, 0.5, 0.5]
    for _ in range(110):
        serve(0.1)
    assert serve(0.6)[1] == 0.0
    assert [LogMessage("shedding load")] in [serve(0.6)[0] for _ in range(100)]


@pytest.mark.parametrize("outcome", [AttemptOutcome.OK, AttemptOutcome.TIMED_OUT])
def test_attempt_that_misses_its_objective_is_recorded_as_late_once(outcome: AttemptOutcome) -> None:
    driver = Driver(make_settings(classes=(UNSAFE,)), make_members(2))
    _, actions = driver.request("pay", budget=1.5)
    (send,) = sent_attempts(actions)
    upstream = driver.balancer.learned_statistics().upstreams[send.upstream]
    driver.now += 0.5
    for timer in actions_of_type(actions, SetTimer):
        driver.balancer.handle(driver.now, TimerFired(timer.token))
    latency = upstream.relative_latency(driver.now)
    assert driver.balancer._traffic.late_count(driver.now) == 1.0 and latency > 1.0
    assert upstream.consecutive_failures > 0
    driver.end_attempt(send, outcome, elapsed=0.5)
    assert driver.balancer._traffic.late_count(driver.now) == 1.0
    assert upstream.relative_latency(driver.now) == latency
    assert (upstream.consecutive_failures == 0) is (outcome is AttemptOutcome.OK)


def test_unsafe_request_with_a_started_stream_is_not_late_at_its_objective() -> None:
    driver = Driver(make_settings(classes=(UNSAFE,)), make_members(2))
    _, actions = driver.request("pay", budget=1.5)
    (send,) = sent_attempts(actions)
    driver.balancer.handle(driver.now, ResponseStarted(send.id, send.upstream, 0))
    driver.now += 0.5
    for timer in actions_of_type(actions, SetTimer):
        driver.balancer.handle(driver.now, TimerFired(timer.token))
    assert driver.balancer._traffic.late_count(driver.now) == 0.0


def test_request_without_upstreams_waits_and_is_rejected_in_time() -> None:
    driver = Driver(make_settings(), ())
    name, actions = driver.request(budget=0.5)
    timer = actions_of_type(actions, SetTimer)[0]
    assert (
        not sent_attempts(actions) and timer.delay < 0.25
    )  # answered while its client can still try elsewhere
    assert [s.id for s in sent_attempts(driver.update_members(make_members(2)))] == [name]
    driver = Driver(make_settings(), ())
    name, actions = driver.request("pay", budget=0.5)
    driver.now += timer.delay
    after_wait = driver.balancer.handle(driver.now, TimerFired(actions_of_type(actions, SetTimer)[0].token))
    assert [r.id for r in actions_of_type(after_wait, RejectRequest)] == [name]


def test_outcomes_of_ended_and_unknown_requests_are_ignored(driver: Driver) -> None:
    _, actions = driver.request()
    send = sent_attempts(actions)[0]
    driver.balancer.handle(driver.now, ClientDisconnected(send.id))
    assert not driver.end_attempt(send, AttemptOutcome.TIMED_OUT)
    assert not driver.end_attempt(SendAttempt("nobody", send.upstream), AttemptOutcome.OK)
    assert not driver.balancer.handle(driver.now, TimerFired(999))
