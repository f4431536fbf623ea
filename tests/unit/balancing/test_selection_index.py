"""The selection index over a large subset."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from indigokeel.balancing.events import EndpointState, LoadReport
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.statistics import ShrinkageEstimate
from indigokeel.balancing.upstream_state import UpstreamState
from indigokeel.balancing.weighted_selection import BUSY_UTILISATION
from tests.conftest import Driver, make_members, make_settings, sent_attempts
from tests.support.balancing import load


def test_partition_sums_are_exact() -> None:
    """After any sequence of load reports, expiries and membership updates, the sums equal recomputed ones."""
    random = Random(5)
    driver = Driver(make_settings(), make_members(60))
    index = driver.balancer._subset._index
    for step in range(6000):
        driver.now += random.choice((0.0, 0.001, 0.02))
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        if random.random() < 0.9:
            driver.end_attempt(send, elapsed=0.1, load=load(random.uniform(0, 50), random.uniform(0.1, 1.05)))
        if step % 500 == 0:
            gone = replace(make_members(60)[random.randrange(60)], state=EndpointState.GONE)
            driver.update_members((gone,))
            driver.update_members(make_members(60))
        index.refresh(driver.now)
        for partition in (index.available, index.busy):
            assert partition.open_attempts == sum(u.open_attempts for u in partition.members)
            assert partition.reporting_count == sum(u.rate >= 0.0 for u in partition.members)
            assert partition.weight_sum() == pytest.approx(sum(u.weight for u in partition.members), abs=1e-6)
        if step % 50 == 0:
            for partition, busy in ((index.available, False), (index.busy, True)):
                assert all((u.utilisation > BUSY_UTILISATION) is busy for u in partition.members)
    assert len(index) == 60


class EndlessUpdateError(Exception):
    """Raised when a refresh updates one member again and again."""


def test_refresh_ends_at_the_instant_at_which_a_report_expires() -> None:
    """Guards against an endless refresh: at exactly its expiry a report is still kept, so a refresh at that
    instant must not treat it as expired again and again."""
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


CLOCK_S = st.one_of(
    st.floats(0.0, 1e-3),
    st.floats(0.0, 3.2e7),  # up to an uptime of one year
    st.integers(0, 32 * 10**9).map(lambda ms: ms / 1000.0),  # a clock with a resolution of 1 ms
)


@given(st.lists(CLOCK_S, min_size=1, max_size=6, unique=True), st.sampled_from((-2, -1, 0, 1, 2)))
def test_refresh_updates_each_member_once_at_and_beside_each_expiry(
    times: list[float], float_steps: int
) -> None:
    """Guards against a refresh that never ends: the scheduled expiry and the expiry check must agree exactly,
    without any rounding difference."""
    updates: list[UpstreamState] = []

    def update_weight(now: float, upstream: UpstreamState) -> None:
        updates.append(upstream)
        if len(updates) > 1000:
            raise EndlessUpdateError
        upstream.average_reports(now)

    index = SelectionIndex(update_weight, BUSY_UTILISATION)
    upstream = UpstreamState(make_members(1)[0], ShrinkageEstimate(None, 0.05))
    for reported_at in sorted(times):
        upstream.record_load_report(reported_at, LoadReport(rate=20.0, utilisation=0.5))
    index.replace(min(times), [upstream])
    while upstream.reports:
        expiry = upstream.reports.next_expiry()
        now = expiry
        for _ in range(abs(float_steps)):
            now = math.nextafter(now, math.inf if float_steps > 0 else -math.inf)
        left = len(upstream.reports)
        updates.clear()
        index.refresh(now)
        assert len(updates) <= 1
        assert (len(upstream.reports) < left) is (expiry < now)
        index.refresh(math.nextafter(expiry, math.inf))
        assert len(upstream.reports) < left
