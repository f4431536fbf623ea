"""Health checks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from indigokeel.balancing.actions import (
    LogMessage,
    SendHealthCheck,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
    HealthCheckEnded,
    LoadReport,
)
from indigokeel.balancing.settings import Limits, LoadReportSource, Prices
from tests.conftest import Driver, actions_of_type, make_members, make_settings, sent_attempts
from tests.support.balancing import HEALTH_CHECK_SETTINGS, load, make_named_members, report_in_flight


def test_health_checks_are_few_and_only_where_allowed() -> None:
    def health_checks(**changes: object) -> int:
        driver, count = Driver(make_settings(**changes), make_members(6)), 0
        for _ in range(100):
            driver.now += 0.5
            _, actions = driver.request()
            driver.end_attempt(sent_attempts(actions)[0])
            for health_check in actions_of_type(actions, SendHealthCheck):
                count += 1
                driver.balancer.handle(
                    driver.now,
                    HealthCheckEnded(health_check.upstream, AttemptOutcome.OK, 0.001, load(20.0, 0.5)),
                )
        return count

    allowed = Limits(health_checks=True)
    assert 5 <= health_checks(limits=allowed, load_report_source=LoadReportSource.HEALTH_CHECKS) <= 40
    assert health_checks(limits=Limits(), load_report_source=LoadReportSource.HEALTH_CHECKS) == 0
    assert health_checks(limits=allowed, load_report_source=LoadReportSource.ANSWERS) == 0


def test_health_check_without_figures_changes_nothing() -> None:
    """A load report without a figure must leave the known figure unchanged."""
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a"))
    report_in_flight(driver, a=9)
    for report in (None, LoadReport(), LoadReport(rate=0.0, utilisation=0.0)):
        driver.balancer.handle(driver.now, HealthCheckEnded("a", AttemptOutcome.OK, 0.001, report))
        assert not sent_attempts(driver.request()[1])
    for outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION):
        driver.balancer.handle(driver.now, HealthCheckEnded("a", outcome, 0.001))
        assert not sent_attempts(driver.request()[1])


@pytest.mark.parametrize("price", [0.0, 0.002, 0.02, 1.0])
def test_health_checks_stay_within_their_share_of_the_cost(price: float) -> None:
    prices, count = Prices(health_check=price), 0
    driver = Driver(replace(HEALTH_CHECK_SETTINGS, prices=prices), make_named_members("a", "b", "c"))
    for _ in range(2000):
        driver.now += 0.05
        _, actions = driver.request()
        driver.end_attempt(sent_attempts(actions)[0])
        for health_check in actions_of_type(actions, SendHealthCheck):
            count += 1
            report_in_flight(driver, **{health_check.upstream: 0})
    assert (count - 8) / 2000 * price <= 0.002 and count <= 2000 and (price > 0.1 or count > 100)


def test_health_check_that_was_not_sent_counts_as_no_failure() -> None:
    driver = Driver(HEALTH_CHECK_SETTINGS, make_named_members("a", "b", "c"))
    for _ in range(40):
        driver.now += 0.2
        _, actions = driver.request()
        for health_check in actions_of_type(actions, SendHealthCheck):
            ended = HealthCheckEnded(health_check.upstream, AttemptOutcome.NOT_SENT, 0.001, None)
            assert not actions_of_type(driver.balancer.handle(driver.now, ended), LogMessage)
            assert (
                driver.balancer.learned_statistics().upstreams[health_check.upstream].consecutive_failures
                == 0
            )
        (send,) = sent_attempts(actions)
        driver.end_attempt(send)
