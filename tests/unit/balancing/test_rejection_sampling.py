"""Weighted choice from a large subset."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.conftest import Driver, make_members, make_settings, sent_attempts
from tests.support.balancing import count_first_choices, load


def fleet_with_reports(count: int, rates: list[float], **changes: object) -> Driver:
    """Return a driver whose balancer has load reports with these rates, all at the same clock time."""
    driver = Driver(make_settings(**changes), make_members(count))
    names = [m.id for m in make_members(count)]
    count_first_choices(driver, 600)  # enough traffic for the subset to be the whole fleet
    driver.now += 0.3
    reported: set[str] = set()
    for _ in range(100 * count):
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        # At so low a utilisation no capacity is learned, so the weights depend on the rates alone.
        driver.end_attempt(send, elapsed=0.125, load=load(rates[names.index(send.upstream)], 0.1))
        reported.add(send.upstream)
    assert len(reported) == count
    return driver


@pytest.mark.parametrize("reporting_count", [100, 70])
def test_odds_equal_those_of_the_weighted_choice_among_all(reporting_count: int) -> None:
    """Chi-square test of 20,000 choices against the weights of docs/design.md; upstreams without a load
    report get the average weight."""
    rates = [5.0 + 3.0 * (i % 20) for i in range(100)]
    driver = fleet_with_reports(100, rates)
    if reporting_count < 100:  # the reports of the other upstreams expire
        silent = {f"10.0.0.{i}:80" for i in range(reporting_count, 100)}
        driver.now += 2.0
        reported: set[str] = set()
        for _ in range(10_000):
            _, actions = driver.request()
            send = sent_attempts(actions)[0]
            number = int(send.upstream.split(".")[3].split(":")[0])
            driver.end_attempt(
                send, elapsed=0.125, load=None if send.upstream in silent else load(rates[number], 0.1)
            )
            reported |= {send.upstream} - silent
        assert len(reported) == reporting_count
        driver.now += 1.5
    mean = sum(rates[:reporting_count]) / reporting_count
    weights = [1.0 / ((rates[i] if i < reporting_count else mean) + mean) for i in range(100)]
    counts = dict.fromkeys((m.id for m in make_members(100)), 0)
    for _ in range(20_000):
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        counts[send.upstream] += 1
        driver.end_attempt(send, elapsed=0.125)
    expected = [20_000 * weight / sum(weights) for weight in weights]
    chi_square = sum((n - e) ** 2 / e for n, e in zip(counts.values(), expected, strict=True))
    assert chi_square < 148.2  # the critical value at 0.1% for 99 degrees of freedom


def test_large_fleet_falls_back_to_random_choice_and_limits_warming_upstreams() -> None:
    driver = Driver(make_settings(), make_members(100))
    for _ in range(4000):
        driver.now += 0.0005
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        number = int(send.upstream.split(".")[3].split(":")[0])
        driver.end_attempt(send, elapsed=0.125, load=load(20.0, 1.0 if number < 40 else 0.2))
    assert not any(int(name.split(".")[3].split(":")[0]) < 40 for name in count_first_choices(driver, 300))
    driver.now += 3.1
    for _ in range(4000):
        driver.now += 0.0005
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        driver.end_attempt(send, elapsed=0.125, load=load(20.0, 1.0))
    cold = tuple(replace(m, started=driver.now) for m in make_members(110)[100:])
    driver.update_members(cold)
    counts = count_first_choices(driver, 6000)
    cold_count = sum(counts.get(m.id, 0) for m in cold)
    # The choice is random among all, by warm-up weight, which is 0.3 for each of the 10 new ones of 110.
    assert len(counts) > 100 and 0.3 < cold_count / (6000 * 3.0 / 103.0) < 1.6
