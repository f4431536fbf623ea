"""Weighted choice among candidates."""

from __future__ import annotations

from dataclasses import replace

from indigokeel.balancing.actions import (
    SetTimer,
)
from indigokeel.balancing.events import (
    TimerFired,
)
from tests.conftest import Driver, actions_of_type, make_members, make_settings, sent_attempts
from tests.support.balancing import count_first_choices, load, serve_with_load_reports


def test_lower_rate_is_preferred(driver: Driver) -> None:
    names = [m.id for m in make_members(6)]
    serve_with_load_reports(
        driver, {n: load(40.0 if i < 3 else 10.0, 0.8 if i < 3 else 0.2) for i, n in enumerate(names)}
    )
    counts = count_first_choices(driver)
    assert sum(counts.get(n, 0) for n in names[3:]) > 1.3 * sum(counts.get(n, 0) for n in names[:3])


def test_slow_upstream_with_a_low_rate_is_not_preferred(driver: Driver) -> None:
    """A low rate may mean that the server is slow and has no capacity left."""
    names = [m.id for m in make_members(6)]
    serve_with_load_reports(
        driver, {n: load(8.0, 0.9) if i == 0 else load(30.0, 0.7) for i, n in enumerate(names)}
    )
    counts = count_first_choices(driver)
    assert counts.get(names[0], 0) < 600 / 6 * 0.6


def test_busy_upstreams_are_filtered_out(driver: Driver) -> None:
    names = [m.id for m in make_members(6)]
    serve_with_load_reports(driver, {n: load(20.0, 1.0 if i < 2 else 0.5) for i, n in enumerate(names)})
    counts = count_first_choices(driver)
    assert counts.get(names[0], 0) + counts.get(names[1], 0) == 0


def test_one_or_two_reports_filter_out_no_upstream() -> None:
    """With many sidecars, each gets a load report of an upstream only every few seconds. Filtering by one
    report would move requests with a key away from the upstreams that have it cached."""
    names = [m.id for m in make_members(6)]
    for reports, filtered in ((1, False), (2, False), (20, True)):
        driver = Driver(make_settings(), make_members(6))
        reports_left = dict.fromkeys(names, 20) | {names[0]: reports}
        for _ in range(600):
            driver.now += 0.004  # all requests within the time over which reports are averaged
            _, actions = driver.request()
            send = sent_attempts(actions)[0]
            reports_left[send.upstream] -= 1
            utilisation = 0.99 if send.upstream == names[0] else 0.6
            driver.end_attempt(
                send, load=load(20.0, utilisation) if reports_left[send.upstream] >= 0 else None
            )
        assert (names[0] not in count_first_choices(driver)) == filtered


def test_choice_is_random_when_over_half_are_busy(driver: Driver) -> None:
    names = [m.id for m in make_members(6)]
    serve_with_load_reports(driver, {n: load(20.0, 1.0 if i < 4 else 0.5) for i, n in enumerate(names)})
    assert set(count_first_choices(driver)) == set(names)


def test_upstream_without_reports_gets_the_average_weight(driver: Driver) -> None:
    names = [m.id for m in make_members(6)]
    serve_with_load_reports(driver, {n: load(20.0, 0.5) for n in names[:5]})
    counts = count_first_choices(driver, 1200)
    assert 120 < counts[names[5]] < 290


def test_overdue_attempt_reduces_the_weight(driver: Driver) -> None:
    """An upstream that hangs sends no load reports; only the age of open attempts reveals the hang."""
    driver.serve(20)
    _, actions = driver.request("pay")
    hung = sent_attempts(actions)[0].upstream
    timer = actions_of_type(actions, SetTimer)[0]
    driver.now += timer.delay
    driver.balancer.handle(driver.now, TimerFired(timer.token))
    assert count_first_choices(driver).get(hung, 0) < 600 / 6 * 0.4


def test_many_open_attempts_reduce_the_weight(driver: Driver) -> None:
    """Load reports are delayed; the number of open attempts shows a queue sooner."""
    slow, open_count = make_members(6)[0].id, 0
    for _ in range(200):
        send = sent_attempts(driver.request()[1])[0]
        if send.upstream == slow:
            open_count += 1
        else:
            driver.end_attempt(send)
    assert 0 < open_count < 15  # of 200 requests; an even share is 33


def test_warming_upstreams_do_not_get_the_traffic_of_busy_warm_ones() -> None:
    """Half of the fleet is busy; the other half is warming up and has sent no load reports."""
    members = make_members(4)
    driver = Driver(make_settings(), members)
    serve_with_load_reports(driver, {m.id: load(20.0, 1.0) for m in members[:2]})
    warming = tuple(replace(m, started=driver.now) for m in members[2:])
    driver.update_members(warming)
    counts = count_first_choices(driver, 300)
    assert sum(counts.get(m.id, 0) for m in warming) < 150


def test_choice_is_random_when_few_warm_upstreams_are_available() -> None:
    """One available warm upstream and two that are warming up must not share all traffic."""
    members = make_members(6)
    driver = Driver(make_settings(), members)
    serve_with_load_reports(
        driver, {m.id: load(20.0, 1.0 if i < 3 else 0.5) for i, m in enumerate(members[:4])}
    )
    warming = tuple(replace(m, started=driver.now) for m in members[4:])
    driver.update_members(warming)
    counts = count_first_choices(driver, 300)
    assert all(counts.get(m.id, 0) > 0 for m in members[:3])
    assert sum(counts.get(m.id, 0) for m in warming) < 100


def test_warming_upstream_gets_a_reduced_weight(driver: Driver) -> None:
    cold = replace(make_members(6)[0], started=driver.now)
    driver.update_members((cold,))
    share = count_first_choices(driver, 1200).get(cold.id, 0) / 1200
    assert 0.01 < share < 0.10
