"""Helpers of the balancer's unit tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from indigokeel.balancing.events import (
    AttemptOutcome,
    HealthCheckEnded,
    LoadReport,
    Member,
)
from indigokeel.balancing.settings import Limits, LoadReportSource
from tests.conftest import Driver, make_members, make_settings, sent_attempts


def load(rate: float, utilisation: float) -> LoadReport:
    return LoadReport(rate=rate, utilisation=utilisation)


def serve_with_load_reports(driver: Driver, loads: dict[str, LoadReport], rounds: int = 400) -> None:
    """Serve requests until every upstream has sent its load report; responses carry the reports."""
    for _ in range(rounds):
        driver.now += 0.02
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        driver.end_attempt(send, load=loads.get(send.upstream))


def count_first_choices(driver: Driver, count: int = 600) -> dict[str, int]:
    """Count the first choices of upstreams, while the clock stands still and no load report arrives."""
    counts: dict[str, int] = {}
    for _ in range(count):
        _, actions = driver.request()
        send = sent_attempts(actions)[0]
        counts[send.upstream] = counts.get(send.upstream, 0) + 1
        driver.end_attempt(send, elapsed=0.12)
    return counts


def report_in_flight(driver: Driver, **in_flight_counts: float) -> None:
    """Report by health check how many requests each upstream has in flight."""
    for name, count in in_flight_counts.items():
        ended = HealthCheckEnded(name, AttemptOutcome.OK, 0.001, LoadReport(in_flight=count))
        driver.balancer.handle(driver.now, ended)


def make_named_members(*names: str, **changes: Any) -> tuple[Member, ...]:
    return tuple(replace(make_members(1)[0], id=name, replica_group=-1, **changes) for name in names)


HEALTH_CHECK_SETTINGS = make_settings(
    load_report_source=LoadReportSource.HEALTH_CHECKS, limits=Limits(health_checks=True, max_attempts=5)
)
