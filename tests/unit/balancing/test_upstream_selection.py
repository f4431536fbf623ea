"""Selection of upstreams that have capacity for a request."""

from __future__ import annotations

from indigokeel.balancing.actions import (
    RejectRequest,
    SetTimer,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
)
from tests.conftest import Driver, actions_of_type, sent_attempts
from tests.support.balancing import HEALTH_CHECK_SETTINGS, make_named_members, report_in_flight


def test_upstream_without_capacity_gets_no_request() -> None:
    """At a latency objective of 0.5 s and an initial usual latency of 0.125 s, two requests may be in flight
    at an upstream, whichever sidecar sent them."""
    for seed in range(20):
        driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a", "b", "c"), seed)
        report_in_flight(driver, a=9, b=9, c=1)
        _, actions = driver.request()
        (send,) = sent_attempts(actions)
        assert send.upstream == "c"
        _, actions = driver.request()  # the open attempt makes two requests in flight at "c"
        assert not sent_attempts(actions) and [
            type(action) for action in actions if actions_of_type([action], RejectRequest)
        ]
        # No further attempt is sent while no upstream has capacity.
        assert not sent_attempts(driver.end_attempt(send, AttemptOutcome.ERROR))
        report_in_flight(driver, a=0, b=9, c=9)
        assert driver.serve(1) == {"a": 1}


def test_request_without_capacity_is_rejected_at_once() -> None:
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a", "b"))
    report_in_flight(driver, a=9, b=9)
    name, actions = driver.request()
    assert [action.id for action in actions_of_type(actions, RejectRequest)] == [
        name
    ] and not actions_of_type(actions, SetTimer)


def test_attempts_that_have_not_arrived_do_not_count_as_in_flight() -> None:
    """While long request bodies are being sent, their upstream has no requests in flight yet."""
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a"))
    for _ in range(5):
        assert sent_attempts(driver.request()[1])
    report_in_flight(driver, a=0)
    assert [bool(sent_attempts(driver.request()[1])) for _ in range(4)] == [True, True, False, False]


def test_old_reports_of_requests_in_flight_are_ignored() -> None:
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a"))
    report_in_flight(driver, a=9)
    assert not sent_attempts(driver.request()[1])
    driver.now += 3.01
    assert sent_attempts(driver.request()[1])


def test_warming_upstream_does_not_get_the_requests_of_full_ones() -> None:
    """While the warm upstreams are full, the one that is warming up gets its own small share and none of
    theirs."""
    driver = Driver(
        HEALTH_CHECK_SETTINGS,
        (*make_named_members("a", "b", "c"), *make_named_members("cold", started=1000.0)),
    )
    cold_counts: dict[bool, int] = {}
    for full in (False, True):
        cold_counts[full] = 0
        for _ in range(600):
            report_in_flight(driver, a=9.0 * full, b=9.0 * full, c=9.0 * full, cold=0)
            _, actions = driver.request()
            for send in sent_attempts(actions):
                cold_counts[full] += send.upstream == "cold"
                driver.end_attempt(send)
    assert 0 < cold_counts[True] < 1.5 * cold_counts[False] < 200


def test_class_rejected_for_its_learned_latency_learns_the_current_one() -> None:
    """Guards against rejecting a class forever: the upstreams respond quickly by now, but the learned latency
    is still high, and without any attempt it would never be corrected."""
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a", "b"))
    driver.balancer.learned_statistics().classes["view"].usual_latency_s = 10.0
    served = []
    for _ in range(4000):
        report_in_flight(driver, a=3, b=3)
        _, actions = driver.request()
        found = sent_attempts(actions)
        served.append(bool(found))
        driver.now += 0.05
        for send in found:
            driver.end_attempt(send, elapsed=0.02)
    assert served[:20] == [False] * 20 and served[20]
    assert all(served[-1000:])


def test_most_requests_are_rejected_while_no_upstream_has_capacity() -> None:
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a", "b"))
    sent = 0
    for _ in range(1000):
        report_in_flight(driver, a=9, b=9)
        found = sent_attempts(driver.request()[1])
        sent += len(found)
        driver.now += 0.2
        for send in found:
            driver.end_attempt(send, elapsed=0.2)
    assert sent == 1000 // 21
