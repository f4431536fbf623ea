"""The weighted choice from a large subset."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.conftest import Driver, make_members, make_settings, sends
from tests.support.balancing import load, picks


def known_fleet(count: int, rates: list[float], **more: object) -> Driver:
    """A driver whose module has heard each rate at each upstream, all at a standing clock."""
    driver = Driver(make_settings(**more), make_members(count))
    names = [m.id for m in make_members(count)]
    picks(driver, 600)  # traffic for which the subset is the whole fleet
    driver.now += 0.3
    heard: set[str] = set()
    for _ in range(100 * count):
        _, actions = driver.request()
        send = sends(actions)[0]
        # Of so low a utilisation nothing is learnt of sizes: all slices come from the rates.
        driver.end(send, elapsed=0.125, load=load(rates[names.index(send.upstream)], 0.1))
        heard.add(send.upstream)
    assert len(heard) == count
    return driver


@pytest.mark.parametrize("known", [100, 70])
def test_odds_equal_those_of_the_weighted_choice_among_all(known: int) -> None:
    """Chi-square of 20,000 choices against the weights of docs/design.md; upstreams without a report get the
    average weight."""
    rates = [5.0 + 3.0 * (i % 20) for i in range(100)]
    driver = known_fleet(100, rates)
    if known < 100:  # the reports of some fall out of the window
        silent = {f"10.0.0.{i}:80" for i in range(known, 100)}
        driver.now += 2.0
        heard: set[str] = set()
        for _ in range(10_000):
            _, actions = driver.request()
            send = sends(actions)[0]
            number = int(send.upstream.split(".")[3].split(":")[0])
            driver.end(
                send, elapsed=0.125, load=None if send.upstream in silent else load(rates[number], 0.1)
            )
            heard |= {send.upstream} - silent
        assert len(heard) == known
        driver.now += 1.5
    mean = sum(rates[:known]) / known
    slices = [1.0 / ((rates[i] if i < known else mean) + mean) for i in range(100)]
    got = dict.fromkeys((m.id for m in make_members(100)), 0)
    for _ in range(20_000):
        _, actions = driver.request()
        send = sends(actions)[0]
        got[send.upstream] += 1
        driver.end(send, elapsed=0.125)
    expected = [20_000 * part / sum(slices) for part in slices]
    chi = sum((n - e) ** 2 / e for n, e in zip(got.values(), expected, strict=True))
    assert chi < 148.2  # the 0.1% point for 99 degrees of freedom


def test_large_fleet_falls_back_to_random_and_limits_warming_upstreams() -> None:
    driver = Driver(make_settings(), make_members(100))
    for _ in range(4000):
        driver.now += 0.0005
        _, actions = driver.request()
        send = sends(actions)[0]
        number = int(send.upstream.split(".")[3].split(":")[0])
        driver.end(send, elapsed=0.125, load=load(20.0, 1.0 if number < 40 else 0.2))
    assert not any(int(name.split(".")[3].split(":")[0]) < 40 for name in picks(driver, 300))
    driver.now += 3.1
    for _ in range(4000):
        driver.now += 0.0005
        _, actions = driver.request()
        send = sends(actions)[0]
        driver.end(send, elapsed=0.125, load=load(20.0, 1.0))
    cold = tuple(replace(m, started=driver.now) for m in make_members(110)[100:])
    driver.news(cold)
    got = picks(driver, 6000)
    new = sum(got.get(m.id, 0) for m in cold)
    # At random among all, those that warm up by their warm-up weight: 10 of 110 at 0.3 of a part each.
    assert len(got) > 100 and 0.3 < new / (6000 * 3.0 / 103.0) < 1.6
