"""Upstreams that have capacity for a request."""

from __future__ import annotations

from indigokeel.balancing.actions import (
    RejectRequest,
    SetTimer,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
)
from tests.conftest import Driver, of, sends
from tests.support.balancing import PROBED, in_flight, named


def test_upstream_without_capacity_gets_no_request() -> None:
    """The objective is 0.5 s and the initial usual latency 0.125 s: two may be held, of any sidecar."""
    for seed in range(20):
        driver = Driver(PROBED, named("a", "b", "c"), seed)
        in_flight(driver, a=9, b=9, c=1)
        _, actions = driver.request()
        (send,) = sends(actions)
        assert send.upstream == "c"
        _, actions = driver.request()  # by its own attempt since, it holds two now
        assert not sends(actions) and [type(action) for action in actions if of([action], RejectRequest)]
        assert not sends(driver.end(send, AttemptOutcome.ERROR))  # no further attempt where none has capacity
        in_flight(driver, a=0, b=9, c=9)
        assert driver.serve(1) == {"a": 1}


def test_request_without_capacity_is_rejected_at_once() -> None:
    driver = Driver(PROBED, named("a", "b"))
    in_flight(driver, a=9, b=9)
    name, actions = driver.request()
    assert [action.id for action in of(actions, RejectRequest)] == [name] and not of(actions, SetTimer)


def test_attempts_that_have_not_arrived_do_not_count_as_in_flight() -> None:
    """While long bodies are under way, their upstream holds no requests yet."""
    driver = Driver(PROBED, named("a"))
    for _ in range(5):
        assert sends(driver.request()[1])
    in_flight(driver, a=0)
    assert [bool(sends(driver.request()[1])) for _ in range(4)] == [True, True, False, False]


def test_old_reports_of_requests_in_flight_are_ignored() -> None:
    driver = Driver(PROBED, named("a"))
    in_flight(driver, a=9)
    assert not sends(driver.request()[1])
    driver.now += 3.01
    assert sends(driver.request()[1])


def test_warming_upstreams_do_not_get_the_overflow() -> None:
    """While the warm upstreams are full, the one that warms up gets its own small part and none of theirs."""
    driver = Driver(PROBED, (*named("a", "b", "c"), *named("cold", started=1000.0)))
    got: dict[bool, int] = {}
    for full in (False, True):
        got[full] = 0
        for _ in range(600):
            in_flight(driver, a=9.0 * full, b=9.0 * full, c=9.0 * full, cold=0)
            _, actions = driver.request()
            for send in sends(actions):
                got[full] += send.upstream == "cold"
                driver.end(send)
    assert 0 < got[True] < 1.5 * got[False] < 200


def test_class_that_is_refused_for_its_learned_latency_learns_the_present_one() -> None:
    """Guards against refusing a class for good: upstreams that others use answer at once, and nobody asks."""
    driver = Driver(PROBED, named("a", "b"))
    driver.balancer.learned_figures().classes["view"].usual_latency_s = 10.0
    served = []
    for _ in range(4000):
        in_flight(driver, a=3, b=3)
        _, actions = driver.request()
        found = sends(actions)
        served.append(bool(found))
        driver.now += 0.05
        for send in found:
            driver.end(send, elapsed=0.02)
    assert served[:20] == [False] * 20 and served[20]
    assert all(served[-1000:])


def test_most_requests_are_refused_while_no_upstream_has_capacity() -> None:
    driver = Driver(PROBED, named("a", "b"))
    sent = 0
    for _ in range(1000):
        in_flight(driver, a=9, b=9)
        found = sends(driver.request()[1])
        sent += len(found)
        driver.now += 0.2
        for send in found:
            driver.end(send, elapsed=0.2)
    assert sent == 1000 // 21
