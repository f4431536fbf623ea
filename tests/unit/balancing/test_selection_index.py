"""The index over a large subset."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from indigokeel.balancing.events import EndpointState, LoadReport
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.statistics import ShrinkageEstimate
from indigokeel.balancing.upstream_state import UpstreamState
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


class EndlessUpdateError(Exception):
    """A refresh updates one member again and again."""


def test_refresh_ends_at_the_instant_at_which_a_report_expires() -> None:
    """A report is kept at exactly its expiry, and the refresh of that instant takes it for expired."""
    updates = 0

    def update_weight(now: float, upstream: UpstreamState) -> None:
        nonlocal updates
        updates += 1
        if updates > 1000:
            raise EndlessUpdateError
        upstream.average_reports(now)

    index = SelectionIndex(update_weight, BUSY_UTILISATION)
    upstream = UpstreamState(make_members(1)[0], ShrinkageEstimate(None, 0.05))
    upstream.record_load_report(1000.0, LoadReport(rate=20.0, utilisation=0.5))
    index.replace(1000.0, [upstream])
    index.refresh(upstream.reports.next_expiry())
    assert updates < 10
