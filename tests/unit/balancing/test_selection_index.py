"""The index over a large subset."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from indigokeel.balancing.events import (
    EndpointState,
)
from indigokeel.balancing.weighted_selection import BUSY_UTILISATION
from tests.conftest import Driver, make_members, make_settings, sends
from tests.support.balancing import load


def test_partition_sums_are_exact() -> None:
    """After any sequence of news, expiry and membership the sums equal those made anew."""
    random = Random(5)
    driver = Driver(make_settings(), make_members(60))
    index = driver.balancer._subset._index
    for step in range(6000):
        driver.now += random.choice((0.0, 0.001, 0.02))
        _, actions = driver.request()
        send = sends(actions)[0]
        if random.random() < 0.9:
            driver.end(send, elapsed=0.1, load=load(random.uniform(0, 50), random.uniform(0.1, 1.05)))
        if step % 500 == 0:
            gone = replace(make_members(60)[random.randrange(60)], state=EndpointState.GONE)
            driver.news((gone,))
            driver.news(make_members(60))
        index.refresh(driver.now)
        for side in (index.available, index.busy):
            assert side.open_attempts == sum(u.open_attempts for u in side.members)
            assert side.reporting_count == sum(u.rate >= 0.0 for u in side.members)
            assert side.weight_sum() == pytest.approx(sum(u.weight for u in side.members), abs=1e-6)
        if step % 50 == 0:
            for side, busy in ((index.available, False), (index.busy, True)):
                assert all((u.utilisation > BUSY_UTILISATION) is busy for u in side.members)
    assert len(index) == 60
