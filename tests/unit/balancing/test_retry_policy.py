"""Retries and hedged requests."""

from __future__ import annotations

from dataclasses import replace

from indigokeel.balancing.actions import (
    FailRequest,
    RejectRequest,
    SetTimer,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
    ResponseStarted,
    TimerFired,
)
from indigokeel.balancing.settings import Limits
from tests.conftest import KEYED, SAFE, Driver, actions_of_type, make_members, make_settings, sent_attempts


def test_rejected_attempt_is_retried_elsewhere(driver: Driver) -> None:
    driver.serve(20)
    _, actions = driver.request("pay")
    first = sent_attempts(actions)[0]
    second = sent_attempts(driver.end_attempt(first, AttemptOutcome.REJECTED))[0]
    assert second.upstream != first.upstream


def test_unsafe_request_that_may_have_run_fails(driver: Driver) -> None:
    driver.serve(20)
    _, actions = driver.request("pay")
    after = driver.end_attempt(sent_attempts(actions)[0], AttemptOutcome.BROKEN)
    assert (
        actions_of_type(after, FailRequest)
        and not sent_attempts(after)
        and not actions_of_type(after, RejectRequest)
    )


def test_keyed_repeat_stays_in_its_replica_group(driver: Driver) -> None:
    driver.serve(20)
    replica_groups = {m.id: m.replica_group for m in make_members(6)}
    for _ in range(20):
        driver.serve(5)
        _, actions = driver.request("order")
        first = sent_attempts(actions)[0]
        for second in sent_attempts(driver.end_attempt(first, AttemptOutcome.BROKEN)):
            assert replica_groups[second.upstream] == replica_groups[first.upstream]


def test_retry_budget_runs_out(driver: Driver) -> None:
    """Retrying every rejected request would cause a retry storm."""
    retries = 0
    for _ in range(100):
        _, actions = driver.request()
        attempt = 0
        while found := sent_attempts(actions):
            actions = driver.end_attempt(found[0], AttemptOutcome.REJECTED, attempt)
            retries += attempt > 0
            attempt += 1
    assert retries <= 5


def test_overdue_attempt_is_hedged(driver: Driver) -> None:
    driver.serve(20)
    name, actions = driver.request()
    timer = actions_of_type(actions, SetTimer)[0]
    driver.now += timer.delay
    hedged = sent_attempts(driver.balancer.handle(driver.now, TimerFired(timer.token)))
    assert [h.id for h in hedged] == [name] and hedged[0].upstream != sent_attempts(actions)[0].upstream


def test_overdue_attempt_times_out_and_is_retried_where_hedging_is_disabled() -> None:
    limits = Limits(max_attempts=5, hedging=False)
    driver = Driver(make_settings(limits=limits), make_members(6))
    driver.serve(20)
    _, actions = driver.request()
    first = sent_attempts(actions)[0]
    assert 0.0 < first.timeout < 0.5
    driver.now += first.timeout
    retried = sent_attempts(driver.end_attempt(first, AttemptOutcome.TIMED_OUT, elapsed=first.timeout))
    assert retried and retried[0].upstream != first.upstream


def test_retries_avoid_warming_upstreams() -> None:
    warming = [replace(m, started=1000.0) for m in make_members(6)[1:]]
    driver = Driver(make_settings(), (make_members(6)[0], *warming))
    for _ in range(30):
        _, actions = driver.request()
        for send in sent_attempts(actions):
            for retried in sent_attempts(driver.end_attempt(send, AttemptOutcome.REJECTED)):
                assert retried.upstream == make_members(6)[0].id


def test_started_stream_is_not_hedged() -> None:
    stream = replace(SAFE, streaming=True)
    driver = Driver(make_settings(classes=(stream, KEYED)), make_members(6))
    driver.serve(10)
    name, actions = driver.request()
    send, timer = sent_attempts(actions)[0], actions_of_type(actions, SetTimer)[0]
    driver.balancer.handle(driver.now, ResponseStarted(name, send.upstream, 0))
    driver.now += timer.delay
    assert not sent_attempts(driver.balancer.handle(driver.now, TimerFired(timer.token)))
