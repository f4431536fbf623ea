"""Ejection of upstreams that keep failing."""

from __future__ import annotations

import pytest

from indigokeel.balancing.actions import (
    LogMessage,
    SendAttempt,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
)
from indigokeel.balancing.outlier_ejection import MAX_EJECTION_S
from tests.conftest import Driver, actions_of_type, make_members, sent_attempts


def test_failing_upstream_is_ejected_and_returns(driver: Driver) -> None:
    bad = make_members(6)[0].id
    driver.serve(60, {bad: AttemptOutcome.ERROR})
    counts = driver.serve(30, {bad: AttemptOutcome.ERROR})
    assert counts.get(bad, 0) <= 3
    driver.now += MAX_EJECTION_S + 20.0
    assert driver.serve(60).get(bad, 0) > 0


def test_occasional_failures_cause_no_ejection(driver: Driver) -> None:
    """An ejection moves keys to upstreams that do not have them cached, so errors that are common to all
    upstreams must not cause one."""
    driver.serve(100)
    for _ in range(60):
        _, actions = driver.request("pay")
        logs = actions_of_type(
            driver.end_attempt(sent_attempts(actions)[0], AttemptOutcome.BROKEN), LogMessage
        )
        assert not [log for log in logs if log.text.startswith("ejected")]
        driver.serve(30)


@pytest.mark.parametrize(("served_since", "ejected"), [(True, False), (False, True)])
def test_timeouts_of_an_upstream_that_serves_other_requests_cause_no_ejection(
    driver: Driver, served_since: bool, ejected: bool
) -> None:
    """An overloaded upstream times out as well, but must not be ejected while it serves other requests."""
    driver.serve(100)
    bad = make_members(6)[0].id
    logs = []
    for _ in range(200):
        timed_out, other = sent_attempts(driver.request()[1])[0], sent_attempts(driver.request()[1])[0]
        driver.now += 0.5
        if served_since or other.upstream != bad:
            driver.end_attempt(other)
        outcome = AttemptOutcome.TIMED_OUT if timed_out.upstream == bad else AttemptOutcome.OK
        served_other = served_since and other.upstream == bad
        if outcome is AttemptOutcome.OK or served_other or not served_since:
            logs += actions_of_type(driver.end_attempt(timed_out, outcome, elapsed=0.5), LogMessage)
    assert any(log.text == f"ejected {bad}: consecutive failures" for log in logs) is ejected


@pytest.mark.parametrize(
    ("outcome", "ends"), [(AttemptOutcome.TIMED_OUT, True), (AttemptOutcome.ERROR, False)]
)
def test_ejection_for_timeouts_ends_with_a_response(
    driver: Driver, outcome: AttemptOutcome, ends: bool
) -> None:
    """A short pause of an upstream must not remove its capacity for seconds. After errors, one response is
    not enough."""
    driver.serve(100)
    bad = make_members(6)[0].id
    pending: list[SendAttempt] = []
    driver.now += 0.01
    while len(pending) < 12:  # sent while the upstream is silent
        send = sent_attempts(driver.request()[1])[0]
        if send.upstream == bad:
            pending.append(send)
        else:
            driver.end_attempt(send)
    last, logs = pending.pop(), list[str]()
    driver.now += 0.5
    while pending and f"ejected {bad}: consecutive failures" not in logs:
        logs += [
            log.text
            for log in actions_of_type(driver.end_attempt(pending.pop(), outcome, elapsed=0.5), LogMessage)
        ]
    assert f"ejected {bad}: consecutive failures" in logs
    logs += [log.text for log in actions_of_type(driver.end_attempt(last, elapsed=0.6), LogMessage)]
    assert (f"ejection of {bad} ended: it responds again" in logs) is ends
    driver.now += 0.01
    selected = {sent_attempts(driver.request()[1])[0].upstream for _ in range(60)}
    assert (bad in selected) is ends


def test_most_of_the_fleet_is_never_ejected(driver: Driver) -> None:
    all_bad = {m.id: AttemptOutcome.ERROR for m in make_members(6)}
    assert len(driver.serve(200, all_bad)) >= 3
    driver.now += 60.0
    assert sent_attempts(driver.request()[1])
