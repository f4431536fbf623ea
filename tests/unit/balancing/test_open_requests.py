"""Open requests and their final answers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from indigokeel.balancing.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
    ClientDisconnected,
    TimerFired,
)
from indigokeel.balancing.settings import Limits
from tests.conftest import UNSAFE, Driver, make_members, make_settings, of, sends


@pytest.mark.parametrize("allowed", [True, False])
def test_open_attempts_of_a_finished_request_are_cancelled_once(allowed: bool) -> None:
    driver = Driver(make_settings(limits=Limits(cancellation=allowed)), make_members(2))
    name, actions = driver.request()
    (send,) = sends(actions)
    wanted = [CancelAttempt(name, 0)] if allowed else []
    assert driver.balancer.handle(driver.now, ClientDisconnected(name)) == wanted
    assert driver.balancer.handle(driver.now, ClientDisconnected(name)) == []
    assert of(driver.end(send, AttemptOutcome.CANCELLED), CancelAttempt) == []


@pytest.mark.parametrize(("late_weight", "timeout"), [(0.0, 0.5), (0.5, 0.0)])
def test_attempt_times_out_at_the_objective_where_late_answers_have_no_value(
    late_weight: float, timeout: float
) -> None:
    """A slow fleet must not work on answers without value."""
    driver = Driver(make_settings(classes=(replace(UNSAFE, late_weight=late_weight),)), make_members(2))
    name, actions = driver.request("pay", budget=1.5)
    assert sends(actions)[0].timeout == timeout
    driver.now += 0.5
    (end,) = driver.end(sends(actions)[0], AttemptOutcome.TIMED_OUT, elapsed=0.5)
    assert end == FailRequest(name)


def test_request_without_upstreams_waits_and_is_rejected_in_time() -> None:
    driver = Driver(make_settings(), ())
    name, actions = driver.request(budget=0.5)
    timer = of(actions, SetTimer)[0]
    assert not sends(actions) and timer.delay < 0.25  # answered while the client can still go elsewhere
    assert [s.id for s in sends(driver.news(make_members(2)))] == [name]
    driver = Driver(make_settings(), ())
    name, actions = driver.request("pay", budget=0.5)
    driver.now += timer.delay
    late = driver.balancer.handle(driver.now, TimerFired(of(actions, SetTimer)[0].token))
    assert [r.id for r in of(late, RejectRequest)] == [name]


def test_late_and_unknown_outcomes_are_ignored(driver: Driver) -> None:
    _, actions = driver.request()
    send = sends(actions)[0]
    driver.balancer.handle(driver.now, ClientDisconnected(send.id))
    assert not driver.end(send, AttemptOutcome.TIMED_OUT)
    assert not driver.end(SendAttempt("nobody", send.upstream), AttemptOutcome.OK)
    assert not driver.balancer.handle(driver.now, TimerFired(999))
